"""Listening sockets, and how one ends without a reset."""

import asyncio
import socket
from typing import Final

from ...address import split_address

BACKLOG: Final = 1024
"""New connections that may wait to be accepted."""

ACCEPT_TIME: Final = 0.05
"""Seconds in which the connections that wait are accepted."""


async def end_listening(listener: socket.socket) -> None:
    """Return once the queue of a listening socket is empty; then close it.

    The kernel resets connections that wait to be accepted. With the shortest
    queue, new clients wait for the socket's end instead, and are then told that
    nobody listens, which proves that nothing ran.
    """
    listener.listen(0)
    await asyncio.sleep(ACCEPT_TIME)


def bound_socket(address: str) -> socket.socket:
    """Return a socket that is bound to ``IP:port``.

    :raises OSError: if the address cannot be had.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    found = socket.socket(family, socket.SOCK_STREAM)
    try:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        found.setblocking(False)
        found.bind((host, port))
    except OSError as error:
        found.close()
        raise OSError(error.errno, f"{address}: {error.strerror}") from error
    return found


def address_of(listener: socket.socket) -> str:
    """Return ``IP:port`` that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
