"""Check and read the files that settings name: secrets and certificates."""

import ssl
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from .settings_check import SettingsError
from .settings_schema import MIN_SECRET_CHARACTERS

SECRETS: Final = ("peer_credential", "token_secret")
FORMER: Final = "former_token_secrets"
TLS_FILES: Final = ("cert", "key", "ca")


def file_errors(document: dict[Any, Any], folder: Path) -> Iterator[SettingsError]:
    """Report files that are missing, unreadable or invalid."""
    for name in SECRETS:
        yield from secret_file_errors(name, document.get(name), folder)
    former = document.get(FORMER)
    for index, secret in enumerate(former if isinstance(former, list) else ()):
        yield from secret_file_errors(f"{FORMER}[{index}]", secret, folder)
    tls = document.get("tls")
    if isinstance(tls, dict):
        yield from tls_errors(tls, folder)


def tls_errors(tls: dict[Any, Any], folder: Path) -> Iterator[SettingsError]:
    """Report certificate files that are missing or invalid."""
    given = [name for name in TLS_FILES if isinstance(tls.get(name), str)]
    paths = {name: folder / str(tls[name]) for name in given}
    missing = [name for name, path in paths.items() if not path.is_file()]
    for name in missing:
        yield SettingsError(f"tls.{name}", "the file does not exist")
    if missing or len(paths) < len(TLS_FILES):
        return
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(paths["cert"], paths["key"])
    except OSError as error:
        yield SettingsError(
            "tls.cert", f"not a certificate with its private key: {error}"
        )
    try:
        context.load_verify_locations(paths["ca"])
    except OSError as error:
        yield SettingsError("tls.ca", f"not a list of CA certificates: {error}")


def secret_file_errors(
    name: str, value: object, folder: Path
) -> Iterator[SettingsError]:
    """Report a secret file that cannot be read or is too short."""
    if not isinstance(value, dict) or not isinstance(value.get("file"), str):
        return
    try:
        secret = read_secret(value, folder)
    except (OSError, UnicodeDecodeError) as error:
        detail = getattr(error, "strerror", None) or "not UTF-8"
        yield SettingsError(f"{name}.file", f"the file cannot be read: {detail}")
        return
    if len(secret) < MIN_SECRET_CHARACTERS:
        reason = f"the file contains fewer than {MIN_SECRET_CHARACTERS} characters"
        yield SettingsError(f"{name}.file", reason)


def read_secret(value: Any, folder: Path) -> str:
    """Return a secret that is given inline or in a file."""
    if isinstance(value, str):
        return value
    path: Path = folder / value["file"]
    return path.read_text(encoding="utf-8").strip()
