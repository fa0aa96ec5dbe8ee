"""Settings files: all errors are reported at once, without secrets."""

from pathlib import Path

import pytest
import trustme
import yaml

from reedhook.address import split_address
from reedhook.process.settings import Settings, load_settings, parse_settings
from reedhook.process.settings_check import SettingsError

DIGEST = "ab" * 32


def document() -> dict[str, object]:
    """Return a valid settings document."""
    return {
        "host": "vittoria-1",
        "zone": "vittoria",
        "listen": "127.0.0.1:18001",
        "peer_listen": "127.0.0.1:18011",
        "admin_listen": "127.0.0.1:18021",
        "store": "127.0.0.1:18090",
        "hostlist": "127.0.0.1:18091",
        "seeds": ["127.0.0.1:18012"],
        "peer_credential": "peers-peers-peers",
        "token_secret": "tokens-tokens-tokens",
        "admins": {"anna": DIGEST},
    }


def parse(changes: dict[str, object], folder: Path = Path(".")) -> Settings:
    """Parse the valid settings with `changes`; a value of None removes a setting."""
    changed = document() | changes
    kept = {name: value for name, value in changed.items() if value is not None}
    return parse_settings(yaml.safe_dump(kept), folder)


def errors_of(changes: dict[str, object], folder: Path = Path(".")) -> dict[str, str]:
    """Return the reasons of the errors that `changes` cause, by path."""
    with pytest.raises(ExceptionGroup) as caught:
        parse(changes, folder)
    errors = caught.value.exceptions
    assert all(isinstance(error, SettingsError) for error in errors)
    return {e.path: e.reason for e in errors if isinstance(e, SettingsError)}


def test_valid_settings_are_parsed() -> None:
    settings = parse({"limits": {"body_bytes": 2048}})
    assert settings.seeds == ("127.0.0.1:18012",)
    assert settings.limits.body_bytes == 2048
    assert settings.tls is None
    assert "tokens-tokens" not in repr(settings)


def test_all_errors_are_reported_at_once() -> None:
    found = errors_of(
        {
            "host": "Vittoria 1",
            "zone": None,
            "listen": "localhost:18001",
            "store": "0.0.0.0:1",
            "seeds": ["127.0.0.1:18012", "peer:1"],
            "admins": {"anna": "plain"},
            "limits": {"body_bytes": 1, "boddy": 2},
            "log_level": "loud",
            "colour": "red",
        }
    )
    assert set(found) == {
        "host",
        "zone",
        "listen",
        "store",
        "seeds[1]",
        "admins.anna",
        "limits.body_bytes",
        "limits.boddy",
        "log_level",
        "colour",
    }
    assert found["zone"] == "the setting is missing"
    assert "IP number" in found["listen"]


def test_two_servers_may_not_share_an_address() -> None:
    assert set(errors_of({"admin_listen": "127.0.0.1:18001"})) == {"admin_listen"}


def test_errors_contain_no_secret() -> None:
    found = errors_of({"token_secret": "short", "peer_credential": 4711})
    assert set(found) == {"token_secret", "peer_credential"}
    assert "short" not in str(found)
    assert "4711" not in str(found)


def test_secret_file_path_is_relative_to_the_settings(tmp_path: Path) -> None:
    (tmp_path / "token").write_text("from-a-file-from-a-file\n")
    settings = parse({"token_secret": {"file": "token"}}, tmp_path)
    assert settings.token_secret == "from-a-file-from-a-file"


def test_former_secrets_are_validated_and_read(tmp_path: Path) -> None:
    (tmp_path / "old").write_text("old-old-old-old-old\n")
    former = [{"file": "old"}, "older-older-older-older"]
    settings = parse({"former_token_secrets": former}, tmp_path)
    expected = ("old-old-old-old-old", "older-older-older-older")
    assert settings.former_token_secrets == expected
    wrong: dict[str, object] = {"former_token_secrets": ["short", {"file": "absent"}]}
    assert set(errors_of(wrong, tmp_path)) == {
        "former_token_secrets[0]",
        "former_token_secrets[1].file",
    }


def test_missing_or_invalid_files_are_reported(tmp_path: Path) -> None:
    (tmp_path / "token").write_text("short\n")
    found = errors_of(
        {
            "token_secret": {"file": "token"},
            "peer_credential": {"file": "absent"},
            "tls": {"cert": "c.pem", "key": "k.pem", "ca": "a.pem"},
        },
        tmp_path,
    )
    assert set(found) == {
        "token_secret.file",
        "peer_credential.file",
        "tls.cert",
        "tls.key",
        "tls.ca",
    }


@pytest.mark.parametrize("text", ["host: [", "- 1", "", "host: a\nhost: b\n"])
def test_invalid_yaml_document_is_rejected(text: str) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        parse_settings(text, Path("."))
    assert caught.group_contains(SettingsError)


def test_missing_settings_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ExceptionGroup, match="settings"):
        load_settings(tmp_path / "absent.yaml")


def test_ipv6_addresses_require_brackets() -> None:
    assert split_address("[::1]:80") == ("::1", 80)
    for address in ("::1:80", "[127.0.0.1]:80", "1.2.3.4", "1.2.3.4:99999", "a:1"):
        with pytest.raises(ValueError):
            split_address(address)


def test_certificate_files_are_validated(tmp_path: Path) -> None:
    authority, other = trustme.CA(), trustme.CA()
    issued, stranger = (one.issue_cert("127.0.0.1") for one in (authority, other))
    authority.cert_pem.write_to_path(str(tmp_path / "ca"))
    issued.private_key_and_cert_chain_pem.write_to_path(str(tmp_path / "pair"))
    stranger.private_key_pem.write_to_path(str(tmp_path / "key"))
    (tmp_path / "text").write_text("not PEM\n")
    good = {"cert": "pair", "key": "pair", "ca": "ca"}
    assert parse({"tls": good}, tmp_path).tls is not None
    assert set(errors_of({"tls": good | {"key": "key"}}, tmp_path)) == {"tls.cert"}
    assert set(errors_of({"tls": good | {"ca": "text"}}, tmp_path)) == {"tls.ca"}
