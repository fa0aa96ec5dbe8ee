"""Listening sockets that close without resetting connections."""

import asyncio
import socket
from typing import Final

from ...address import split_address

BACKLOG: Final = 1024
"""Length of the accept queue."""

ACCEPT_TIME_SECONDS: Final = 0.05
"""Time for accepting the queued connections before the socket is closed."""


async def end_listening(listener: socket.socket) -> None:
    """Wait until the accept queue of a listening socket is empty.

    The caller closes the socket afterwards. Closing it would reset connections in
    the queue. With a backlog of 0, new clients are not queued; they wait and get
    "connection refused" once it is closed, which proves that nothing ran.
    """
    listener.listen(0)
    await asyncio.sleep(ACCEPT_TIME_SECONDS)


def bound_socket(address: str) -> socket.socket:
    """Return a non-blocking TCP socket that is bound to ``IP:port``.

    :raises OSError: if the address cannot be bound.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        raise OSError(error.errno, f"{address}: {error.strerror}") from error
    return listener


def address_of(listener: socket.socket) -> str:
    """Return the ``IP:port`` that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
