"""Settings of one host, read from a YAML file and validated as a whole."""

from pathlib import Path
from typing import Any

import yaml

from ..record import Record
from .network.limits import ServerLimits
from .settings_check import SettingsError, listener_errors, schema_errors
from .settings_files import FORMER, SECRETS, TLS_FILES, file_errors, read_secret


class TlsSettings(Record):
    """Name the files of the host's certificate.

    :param cert: the certificate with its chain, PEM.
    :param key: its private key, PEM.
    :param ca: the certificate authorities of other hosts, PEM.
    """

    __slots__ = TLS_FILES

    def __init__(self, cert: Path, key: Path, ca: Path) -> None:
        self.cert = cert
        self.key = key
        self.ca = ca


class Settings(Record):
    """Represent the settings of one host; addresses are ``IP:port``.

    :param host: the host's id, unique in the deployment.
    :param zone: its availability zone.
    :param listen: listen address for callers.
    :param peer_listen: listen address for other hosts.
    :param admin_listen: listen address for operators.
    :param store: address of the platform's key-value service.
    :param hostlist: address of the platform's host list.
    :param seeds: peer addresses of some other hosts.
    :param peer_credential: shared by all hosts of the deployment.
    :param token_secret: signs session tokens; shared by all hosts.
    :param former_token_secrets: also accepted for verification, during a rotation
        of the secret.
    :param admins: SHA-256 hex digest of each operator's credential, by name.
    :param statsd: address of the statsd server; None to send no metrics.
    :param log_level: the lowest level that is logged.
    :param tls: the host's certificate; None for plain TCP.
    """

    __slots__ = (
        "host",
        "zone",
        "listen",
        "peer_listen",
        "admin_listen",
        "store",
        "hostlist",
        "seeds",
        "peer_credential",
        "token_secret",
        "former_token_secrets",
        "admins",
        "statsd",
        "log_level",
        "tls",
        "limits",
    )

    def __init__(
        self,
        host: str,
        zone: str,
        listen: str,
        peer_listen: str,
        admin_listen: str,
        store: str,
        hostlist: str,
        peer_credential: str,
        token_secret: str,
        admins: dict[str, str],
        seeds: tuple[str, ...] = (),
        former_token_secrets: tuple[str, ...] = (),
        statsd: str | None = None,
        log_level: str = "info",
        tls: TlsSettings | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        self.host = host
        self.zone = zone
        self.listen = listen
        self.peer_listen = peer_listen
        self.admin_listen = admin_listen
        self.store = store
        self.hostlist = hostlist
        self.seeds = seeds
        self.peer_credential = peer_credential
        self.token_secret = token_secret
        self.former_token_secrets = former_token_secrets
        self.admins = admins
        self.statsd = statsd
        self.log_level = log_level
        self.tls = tls
        self.limits = limits or ServerLimits()

    def __repr__(self) -> str:
        return f"Settings(host={self.host!r}, zone={self.zone!r})"


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file; its paths are relative to its directory.

    :raises ExceptionGroup: of `SettingsError`, one for each error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = f"the file cannot be read: {error}"
        raise ExceptionGroup("settings", [SettingsError("", reason)]) from error
    return parse_settings(text, path.parent)


def parse_settings(text: str, folder: Path) -> Settings:
    """Parse and validate settings; see `load_settings`."""
    try:
        document = yaml.load(text, Loader=UniqueKeyLoader)
    except yaml.YAMLError as error:
        reason = " ".join(f"not YAML: {error}".split())
        raise ExceptionGroup("settings", [SettingsError("", reason)]) from error
    errors = list(schema_errors(document))
    if isinstance(document, dict):
        errors += listener_errors(document)
        errors += file_errors(document, folder)
    if errors:
        raise ExceptionGroup("settings", errors)
    return build(document, folder)


class UniqueKeyLoader(yaml.SafeLoader):
    """Load YAML and reject duplicate keys in a mapping."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        """Construct a mapping.

        :raises yaml.constructor.ConstructorError: if a key is duplicated.
        """
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key '{key}'", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def build(document: dict[str, Any], folder: Path) -> Settings:
    """Return typed settings from a valid document."""
    values = dict(document)
    for name in SECRETS:
        values[name] = read_secret(document[name], folder)
    former = document.get(FORMER, ())
    values[FORMER] = tuple(read_secret(secret, folder) for secret in former)
    values["seeds"] = tuple(document.get("seeds", ()))
    tls = document.get("tls")
    if tls is not None:
        files = {name: folder / tls[name] for name in TLS_FILES}
        values["tls"] = TlsSettings(**files)
    values["limits"] = ServerLimits(**document.get("limits", {}))
    return Settings(**values)
