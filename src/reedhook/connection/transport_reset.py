"""Reset of a connection whose undelivered bytes must not arrive later."""

import asyncio
import socket
import struct
from typing import Final

LINGER_NONE: Final = struct.pack("ii", 1, 0)
"""``SO_LINGER`` of zero: discard undelivered data and send a reset on close."""


def reset_transport(transport: asyncio.Transport | None) -> None:
    """Close a connection and discard data that was sent and not yet delivered.

    Otherwise the operating system would deliver an abandoned statement once a network
    partition has healed, and the target would run it with outdated settings.
    """
    if transport is None:
        return
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is not None:
        try:
            connected_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
            )
        except (OSError, ValueError):
            # The connection has already ended; no data is pending. uvloop raises
            # ValueError for its closed socket.
            pass
    transport.abort()
