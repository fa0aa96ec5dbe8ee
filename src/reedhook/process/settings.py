"""Settings of one host, read from a YAML file and checked as a whole."""

import ssl
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import yaml
from jsonschema import Draft202012Validator, ValidationError

from ..record import Record
from .settings_schema import FORMATS, SETTINGS, SHORTEST_SECRET

LISTENERS: Final = ("listen", "peer_listen", "admin_listen")
TLS_FILES: Final = ("cert", "key", "ca")
SECRETS: Final = ("peer_credential", "token_secret")
FORMER: Final = "former_token_secrets"
REASONS: Final = {
    "format": "an IP number with a port is expected, such as 10.0.0.1:8000",
    "additionalProperties": "unknown setting",
    "oneOf": f"a text of {SHORTEST_SECRET} characters or more, or 'file: PATH',"
    " is expected",
    "uniqueItems": "an entry stands twice",
    "minProperties": "at least one entry is expected",
}


class SettingsError(Exception):
    """Say what is wrong with one setting.

    :param path: names the setting, such as ``limits.body_bytes``.
    :param reason: one sentence for a person; never shows a secret.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


class TlsSettings(Record):
    """Name the files of the host's certificate.

    :param cert: the certificate with its chain, PEM.
    :param key: its private key, PEM.
    :param ca: the authorities that other hosts' certificates come from, PEM.
    """

    __slots__ = TLS_FILES

    def __init__(self, cert: Path, key: Path, ca: Path) -> None:
        self.cert = cert
        self.key = key
        self.ca = ca


class ServerLimits(Record):
    """Bound what a host accepts from a connection.

    :param body_bytes: size of a caller's or peer's request body.
    :param admin_body_bytes: size of an operator's request body.
    :param header_bytes: size of one header line.
    :param keepalive_s: idle time after which a connection is closed.
    :param shutdown_s: time for a graceful shutdown; past it the process ends
        with an error.
    """

    __slots__ = (
        "body_bytes",
        "admin_body_bytes",
        "header_bytes",
        "keepalive_s",
        "shutdown_s",
    )

    def __init__(
        self,
        body_bytes: int = 1048576,
        admin_body_bytes: int = 16777216,
        header_bytes: int = 8190,
        keepalive_s: int = 75,
        shutdown_s: int = 30,
    ) -> None:
        self.body_bytes = body_bytes
        self.admin_body_bytes = admin_body_bytes
        self.header_bytes = header_bytes
        self.keepalive_s = keepalive_s
        self.shutdown_s = shutdown_s


class Settings(Record):
    """Carry the settings of one host; addresses are ``IP:port``.

    :param host: the host's id, unique in the deployment.
    :param zone: its availability zone.
    :param listen: where callers reach it.
    :param peer_listen: where other hosts reach it.
    :param admin_listen: where operators reach it.
    :param store: the platform's key-value service.
    :param hostlist: the platform's list of hosts.
    :param seeds: peer addresses of some other hosts.
    :param peer_credential: shared by all hosts of the deployment.
    :param token_secret: signs session tokens; shared by all hosts.
    :param former_token_secrets: verify tokens besides, while the secret is
        being replaced.
    :param admins: SHA-256 hex digest of each operator's credential, by name.
    :param statsd: where metrics go; None for nowhere.
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
    """Read and check a settings file; relative paths in it start at its folder.

    :raises ExceptionGroup: of `SettingsError`, one for each fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = f"the file cannot be read: {error}"
        raise ExceptionGroup("settings", [SettingsError("", reason)]) from error
    return parse_settings(text, path.parent)


def parse_settings(text: str, folder: Path) -> Settings:
    """Read and check settings; see `load_settings`."""
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
    """Load YAML and refuse a key that stands twice in one mapping."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        """Build a mapping.

        :raises yaml.constructor.ConstructorError: if a key stands twice.
        """
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key '{key}' stands twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def schema_errors(document: object) -> Iterator[SettingsError]:
    """Check `document` against the schema."""
    validator = Draft202012Validator(SETTINGS, format_checker=FORMATS)
    errors = validator.iter_errors(document)
    for error in sorted(errors, key=lambda one: one.json_path):
        yield from describe(error)


def describe(error: ValidationError) -> Iterator[SettingsError]:
    """Turn an error of the validator into errors that show no value."""
    place = dotted(error.absolute_path)
    if error.validator == "required":
        for name in missing(error):
            yield SettingsError(join(place, name), "the setting is missing")
        return
    if error.validator == "additionalProperties":
        for name in unknown(error):
            yield SettingsError(join(place, name), REASONS["additionalProperties"])
        return
    yield SettingsError(place, reason_of(error))


def missing(error: ValidationError) -> list[str]:
    """Return the one required name that `error` is about."""
    required: Any = error.validator_value
    return [name for name in required if error.message.startswith(f"'{name}'")]


def unknown(error: ValidationError) -> list[str]:
    """Return the names that the schema does not know."""
    schema: Any = error.schema
    allowed = schema["properties"]
    instance: Any = error.instance
    return [str(name) for name in instance if name not in allowed]


def reason_of(error: ValidationError) -> str:
    """Say in a few words what was expected."""
    expected: Any = error.validator_value
    match error.validator:
        case "type":
            return f"{expected} is expected"
        case "enum":
            choices = ", ".join(expected)
            return f"one of {choices} is expected"
        case "pattern":
            return f"text of the form {expected} is expected"
        case "minimum":
            return f"{expected} or more is expected"
        case "maximum":
            return f"{expected} or less is expected"
    return REASONS.get(str(error.validator), "not accepted")


def listener_errors(document: dict[Any, Any]) -> Iterator[SettingsError]:
    """Report an address on which two interfaces would listen."""
    taken: dict[str, str] = {}
    for name in LISTENERS:
        address = document.get(name)
        if not isinstance(address, str):
            continue
        first = taken.setdefault(address, name)
        if first != name:
            yield SettingsError(name, f"the address is that of {first}")


def file_errors(document: dict[Any, Any], folder: Path) -> Iterator[SettingsError]:
    """Report files that are named and cannot be used."""
    for name in SECRETS:
        yield from secret_file_errors(name, document.get(name), folder)
    former = document.get(FORMER)
    for index, one in enumerate(former if isinstance(former, list) else ()):
        yield from secret_file_errors(f"{FORMER}[{index}]", one, folder)
    tls = document.get("tls")
    if isinstance(tls, dict):
        yield from tls_errors(tls, folder)


def tls_errors(tls: dict[Any, Any], folder: Path) -> Iterator[SettingsError]:
    """Report certificate files that cannot be used."""
    stated = [name for name in TLS_FILES if isinstance(tls.get(name), str)]
    paths = {name: folder / str(tls[name]) for name in stated}
    absent = [name for name, path in paths.items() if not path.is_file()]
    for name in absent:
        yield SettingsError(f"tls.{name}", "the file does not exist")
    if absent or len(paths) < len(TLS_FILES):
        return
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(paths["cert"], paths["key"])
    except OSError as error:
        yield SettingsError("tls.cert", f"not a certificate with its key: {error}")
    try:
        context.load_verify_locations(paths["ca"])
    except OSError as error:
        yield SettingsError("tls.ca", f"not a list of authorities: {error}")


def secret_file_errors(
    name: str, value: object, folder: Path
) -> Iterator[SettingsError]:
    """Report a secret's file that cannot be read or is too short."""
    if not isinstance(value, dict) or not isinstance(value.get("file"), str):
        return
    try:
        secret = read_secret(value, folder)
    except (OSError, UnicodeDecodeError) as error:
        detail = getattr(error, "strerror", None) or "not UTF-8"
        yield SettingsError(f"{name}.file", f"the file cannot be read: {detail}")
        return
    if len(secret) < SHORTEST_SECRET:
        reason = f"the file holds fewer than {SHORTEST_SECRET} characters"
        yield SettingsError(f"{name}.file", reason)


def read_secret(value: Any, folder: Path) -> str:
    """Return a secret that stands inline or in a file."""
    if isinstance(value, str):
        return value
    path: Path = folder / value["file"]
    return path.read_text(encoding="utf-8").strip()


def build(document: dict[str, Any], folder: Path) -> Settings:
    """Make typed settings of a checked document."""
    values = dict(document)
    for name in SECRETS:
        values[name] = read_secret(document[name], folder)
    former = document.get(FORMER, ())
    values[FORMER] = tuple(read_secret(one, folder) for one in former)
    values["seeds"] = tuple(document.get("seeds", ()))
    tls = document.get("tls")
    if tls is not None:
        files = {name: folder / tls[name] for name in TLS_FILES}
        values["tls"] = TlsSettings(**files)
    values["limits"] = ServerLimits(**document.get("limits", {}))
    return Settings(**values)


def dotted(path: Any) -> str:
    """Return the path of a setting as text, such as ``seeds[1]``."""
    text = ""
    for part in path:
        text = f"{text}[{part}]" if isinstance(part, int) else join(text, str(part))
    return text


def join(place: str, name: str) -> str:
    """Return the path of `name` below `place`."""
    return f"{place}.{name}" if place else name
