"""Addresses and credentials of the hosts that the tool calls."""

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
    """Hold the addresses of equivalent hosts and the credential for them.

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
        """Return the URL scheme."""
        return "http" if self.tls is None else "https"


class Access:
    """Look up values in the options, the environment and the access file.

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
        """Return the endpoint for operators."""
        return self.endpoint("admin", "credential")

    def callers(self) -> Endpoint:
        """Return the endpoint for callers."""
        return self.endpoint("callers", "caller_credential")

    def endpoint(self, addresses: str, credential: str) -> Endpoint:
        """Return the endpoint with the values called `addresses` and `credential`."""
        value = self.needed(addresses)
        listed = value.split(",") if isinstance(value, str) else value
        ca = self.value("ca")
        return Endpoint(
            tuple(checked_address(addresses, address) for address in listed),
            str(self.needed(credential)),
            None if ca is None else create_tls_context(str(ca)),
        )

    def needed(self, name: str) -> Any:
        """Return a required value.

        :raises CommandError: if it is missing or empty.
        """
        value = self.value(name)
        if value:
            return value
        variable = FIELDS[name]
        problem = f"no value for '{name}'"
        advice = f"set {variable}, or '{name}' in the file given by --access"
        raise CommandError(ToolExitCode.USAGE, problem, advice)

    def value(self, name: str) -> Any:
        """Return a value, or None if it is missing."""
        option = self.options.get(name)
        if option is not None:
            return option
        return self.environment.get(FIELDS[name]) or self.file.get(name)


def read_access(path: Path) -> dict[str, Any]:
    """Read an access file.

    :raises CommandError: if it cannot be read or is malformed.
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
        raise CommandError(ToolExitCode.USAGE, f"{path} is malformed", advice)
    return content


def checked_address(name: str, text: Any) -> str:
    """Return an address without surrounding whitespace.

    :raises CommandError: if it is not an ``IP:port``.
    """
    address = str(text).strip()
    try:
        split_address(address)
    except ValueError as error:
        problem = f"'{address}' in '{name}' is not an address"
        advice = "give an IP number with a port, such as 10.0.0.1:18021"
        raise CommandError(ToolExitCode.USAGE, problem, advice) from error
    return address


def create_tls_context(file: str) -> ssl.SSLContext:
    """Return a TLS context that trusts the authorities in `file`.

    :raises CommandError: if the file cannot be used.
    """
    try:
        return ssl.create_default_context(cafile=file)
    except (OSError, ssl.SSLError) as error:
        problem = f"{file} cannot be used: {error}"
        raise CommandError(ToolExitCode.USAGE, problem, "give a PEM file") from error
