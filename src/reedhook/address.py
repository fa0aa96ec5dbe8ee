"""Addresses of the form ``IP:port``."""

import ipaddress
from typing import Final

MAX_PORT: Final = 65535


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``; an IPv6 address is in brackets.

    :raises ValueError: if the host is not an IP address or the port is invalid.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError("the port is missing")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
        host = host[1:-1]
    else:
        ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise ValueError("the port is not a number from 0 to 65535")
    return host, int(port)
