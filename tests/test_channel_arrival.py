"""Answers that arrive bit by bit over one connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.channel import ResponseIncompleteError, open_channel

from .support import on_loop

PIECES = 8
GAP = 0.03
"""Seconds between two pieces; all take longer than the timeout."""

TIMEOUT = 0.1
PATIENT = 30.0
IMPATIENT = 0.2


@asynccontextmanager
async def answering(pieces: int) -> AsyncIterator[str]:
    """Yield the address of a server whose answer has eight pieces.

    :param pieces: how many of them it sends.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % PIECES)
        for _ in range(pieces):
            await asyncio.sleep(GAP)
            writer.write(b"x")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


@on_loop
async def test_an_answer_that_goes_on_is_waited_for() -> None:
    async with answering(PIECES) as address:
        channel = await open_channel(address, PATIENT)
        answer = await channel.exchange("", b"", TIMEOUT, progress_timeout=PATIENT)
        assert answer.body == b"x" * PIECES
        assert answer.transfer_seconds > 0.0
        channel.close()


@pytest.mark.parametrize("patience", [0.0, IMPATIENT])
@on_loop
async def test_an_answer_that_stops_is_given_up(patience: float) -> None:
    async with answering(1) as address:
        channel = await open_channel(address, PATIENT)
        with pytest.raises(ResponseIncompleteError):
            await channel.exchange("", b"", TIMEOUT, progress_timeout=patience)
        assert channel.closed
