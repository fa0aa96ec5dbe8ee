"""Where the tool finds the hosts, and with which credentials."""

import ssl
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import yaml

from ...address import split_address
from ...record import Record
from .command_error import CommandError, ToolExitCode

FILE_VARIABLE: Final = "REEDHOOK_ACCESS"
FIELDS: Final = {
    "admin": "REEDHOOK_ADMIN",
    "credential": "REEDHOOK_CREDENTIAL",
    "callers": "REEDHOOK_CALLERS",
    "caller_credential": "REEDHOOK_CALLER_CREDENTIAL",
    "ca": "REEDHOOK_CA",
}


class Endpoint(Record):
    """Name hosts that can each answer, and the credential for them.

    :param addresses: ``IP:port`` of the hosts, tried in this order.
    :param tls: None for plain HTTP.
    """

    __slots__ = ("addresses", "credential", "tls")

    def __init__(
        self,
        addresses: tuple[str, ...],
        credential: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.addresses = addresses
        self.credential = credential
        self.tls = tls

    @property
    def scheme(self) -> str:
        """Return the scheme of URLs."""
        return "http" if self.tls is None else "https"


class Access:
    """Take each value from the option, the environment or the access file.

    :param options: values from the command line; None where not given.
    """

    __slots__ = ("options", "environment", "file")

    def __init__(
        self, options: Mapping[str, str | None], environment: Mapping[str, str]
    ) -> None:
        self.options = options
        self.environment = environment
        self.file: dict[str, Any] = {}
        path = options.get("access") or environment.get(FILE_VARIABLE)
        if path:
            self.file = read_access(Path(path))

    def admin(self) -> Endpoint:
        """Return where operators are answered."""
        return self.endpoint("admin", "credential")

    def callers(self) -> Endpoint:
        """Return where callers are answered."""
        return self.endpoint("callers", "caller_credential")

    def endpoint(self, addresses: str, credential: str) -> Endpoint:
        """Return an endpoint from the values of these names."""
        found = self.needed(addresses)
        listed = found.split(",") if isinstance(found, str) else found
        ca = self.value("ca")
        return Endpoint(
            tuple(checked_address(addresses, one) for one in listed),
            str(self.needed(credential)),
            None if ca is None else create_tls_context(str(ca)),
        )

    def needed(self, name: str) -> Any:
        """Return a value that must be there.

        :raises CommandError: if it is nowhere.
        """
        value = self.value(name)
        if value:
            return value
        variable = FIELDS[name]
        problem = f"no value for '{name}'"
        advice = f"set {variable}, or '{name}' in the file given by --access"
        raise CommandError(ToolExitCode.USAGE, problem, advice)

    def value(self, name: str) -> Any:
        """Return a value, or None."""
        given = self.options.get(name)
        if given is not None:
            return given
        return self.environment.get(FIELDS[name]) or self.file.get(name)


def read_access(path: Path) -> dict[str, Any]:
    """Read an access file.

    :raises CommandError: if it cannot be read or has another form.
    """
    try:
        content = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        problem = f"{path} cannot be read: {error}"
        raise CommandError(
            ToolExitCode.USAGE, problem, "give another --access"
        ) from error
    known = ", ".join(FIELDS)
    if not isinstance(content, dict) or set(content) - set(FIELDS):
        advice = f"it may hold only: {known}"
        raise CommandError(ToolExitCode.USAGE, f"{path} has another form", advice)
    return content


def checked_address(name: str, text: Any) -> str:
    """Return an address without blanks around it.

    :raises CommandError: if it is no ``IP:port``.
    """
    address = str(text).strip()
    try:
        split_address(address)
    except ValueError as error:
        problem = f"'{address}' in '{name}' is no address"
        advice = "give an IP number with a port, such as 10.0.0.1:18021"
        raise CommandError(ToolExitCode.USAGE, problem, advice) from error
    return address


def create_tls_context(file: str) -> ssl.SSLContext:
    """Return a context that trusts the authorities in `file`.

    Certificates hold for hosts of a deployment and may name no IP number.

    :raises CommandError: if the file cannot be used.
    """
    try:
        return ssl.create_default_context(cafile=file)
    except (OSError, ssl.SSLError) as error:
        problem = f"{file} cannot be used: {error}"
        raise CommandError(ToolExitCode.USAGE, problem, "give a PEM file") from error
