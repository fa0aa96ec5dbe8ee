"""Bytes that a connection has received and the event loop has not read yet.

A stalled event loop runs timers that are due before it reads. A timer that closes idle
connections would then close one whose request has arrived, and closing a socket with
unread bytes resets the connection, which can also discard an answer in transit.
"""

import asyncio
import select


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes, or the end of the stream, wait to be read."""
    if transport is None or transport.is_closing():
        return False
    connected_socket = transport.get_extra_info("socket")
    if connected_socket is None:
        return False
    poller = select.poll()
    poller.register(connected_socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))
