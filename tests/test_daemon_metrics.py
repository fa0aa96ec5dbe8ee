"""Metrics by UDP are batched and bounded."""

import asyncio
import socket

from reedhook.clock import SystemClock
from reedhook.process.statsd_metrics import TIMINGS_PER_FLUSH, StatsdMetrics

from .support import run


def receive(server: socket.socket) -> list[str]:
    """Return the received lines, sorted."""
    lines: list[str] = []
    while True:
        try:
            lines += server.recv(65536).decode().split("\n")
        except BlockingIOError:
            return sorted(lines)


def test_counters_and_timings_are_sent_once() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.setblocking(False)
        metrics = StatsdMetrics(f"127.0.0.1:{server.getsockname()[1]}", "reedhook.v1")
        metrics.increment("statement")
        metrics.increment("statement", 2)
        metrics.gauge("queue", 4)
        metrics.timing("write", 0.25)
        metrics.flush()
        assert receive(server) == [
            "reedhook.v1.queue:4|g",
            "reedhook.v1.statement:3|c",
            "reedhook.v1.write.count:1|c",
            "reedhook.v1.write:250.000000|ms",
        ]
        metrics.flush()
        assert receive(server) == ["reedhook.v1.queue:4|g"]
        metrics.close()


def test_remaining_metrics_are_sent_on_cancellation() -> None:
    async def main(metrics: StatsdMetrics) -> None:
        running = asyncio.create_task(metrics.run(SystemClock()))
        await asyncio.sleep(0)
        metrics.increment("statement")
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.setblocking(False)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        run(main(StatsdMetrics(address, "reedhook.v1")))
        assert receive(server) == ["reedhook.v1.statement:1|c"]


def test_timings_per_interval_are_limited() -> None:
    metrics = StatsdMetrics("127.0.0.1:9", "reedhook.v1")
    for _ in range(TIMINGS_PER_FLUSH * 3):
        metrics.timing("read", 0.001)
    assert len(metrics.timings["read"]) == TIMINGS_PER_FLUSH
    assert metrics.counters["read.count"] == TIMINGS_PER_FLUSH * 3
    metrics.close()
