"""Responses that arrive in pieces: progress extends the timeout, a stall does not."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.channel import ResponseIncompleteError, open_channel

from .support import on_loop

PIECES = 8
PIECE_INTERVAL = 0.03
"""Seconds between two pieces; the whole response takes longer than the timeout."""

TIMEOUT = 0.1
LONG_TIMEOUT = 30.0
SHORT_PROGRESS_TIMEOUT = 0.2


@asynccontextmanager
async def response_server(pieces: int) -> AsyncIterator[str]:
    """Yield the address of a server that announces a body of eight pieces.

    :param pieces: how many of them it sends.
    """

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PIECES)
        for _ in range(pieces):
            await asyncio.sleep(PIECE_INTERVAL)
            writer.write(b"x")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


@on_loop
async def test_progress_extends_the_timeout() -> None:
    async with response_server(PIECES) as address:
        channel = await open_channel(address, LONG_TIMEOUT)
        response = await channel.exchange(
            "", b"", TIMEOUT, progress_timeout=LONG_TIMEOUT
        )
        assert response.body == b"x" * PIECES
        assert response.transfer_seconds > 0.0
        channel.close()


@pytest.mark.parametrize("progress_timeout", [0.0, SHORT_PROGRESS_TIMEOUT])
@on_loop
async def test_stalled_response_times_out(progress_timeout: float) -> None:
    async with response_server(1) as address:
        channel = await open_channel(address, LONG_TIMEOUT)
        with pytest.raises(ResponseIncompleteError):
            await channel.exchange("", b"", TIMEOUT, progress_timeout=progress_timeout)
        assert channel.closed
