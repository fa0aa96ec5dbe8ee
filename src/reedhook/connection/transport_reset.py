"""The end of a connection whose bytes must not arrive any more."""

import asyncio
import socket
import struct
from typing import Final

LINGER_NONE: Final = struct.pack("ii", 1, 0)
"""Has the operating system drop what is not delivered, and send a reset."""


def reset_transport(transport: asyncio.Transport | None) -> None:
    """Close a connection and drop what was sent on it and not delivered.

    Else the operating system goes on delivering after a partition has healed: a
    statement that was given up arrived 12 s later, and ran with values that its
    session had changed since.
    """
    if transport is None:
        return
    connected = transport.get_extra_info("socket")
    if connected is not None:
        try:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        except OSError:
            # The connection has ended already, and its bytes with it.
            pass
    transport.abort()
