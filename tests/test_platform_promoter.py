"""Orders of promotions over HTTP.

Guards against an order that is sent after its permission has ended.
"""

import asyncio
from typing import Final

import pytest

from reedhook.clock import SystemClock
from reedhook.platform.promoter import PlatformPromoter
from reedhook.process.primary_lease.promotion_coordinator import OrderOutcome

from .support import on_loop

ANSWER: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class PausedClock(SystemClock):
    """Show a pause of the process between the first and the second reading.

    :param pause: in seconds.
    """

    def __init__(self, pause: float) -> None:
        self.pause = pause
        self.readings = 0

    def boottime(self) -> float:
        self.readings += 1
        return super().boottime() + (self.pause if self.readings > 1 else 0.0)


@pytest.mark.parametrize(
    ("pause", "outcome", "sent"),
    [(0.0, OrderOutcome.DONE, True), (5.0, OrderOutcome.UNANSWERED, False)],
)
@on_loop
async def test_order_is_not_sent_after_a_pause_while_connecting(
    pause: float, outcome: OrderOutcome, sent: bool
) -> None:
    """The connection was open when the process ran again, and the order went out."""
    received = bytearray()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.extend(await reader.read(1000))
        writer.write(ANSWER)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()[:2]
        promoter = PlatformPromoter(f"{host}:{port}", PausedClock(pause))
        assert await promoter.promote("db", "m1", "h1", 7, 0.7) is outcome
    assert bool(received) is sent
