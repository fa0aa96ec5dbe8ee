"""Send metrics to a statsd server in batches."""

from collections import Counter, defaultdict
from typing import Final

from statsd import StatsClient

from ..address import split_address
from ..clock import Clock
from ..metrics import MemoryMetrics

FLUSH_INTERVAL_SECONDS: Final = 1.0
TIMINGS_PER_FLUSH: Final = 50


class StatsdMetrics(MemoryMetrics):
    """Collect metrics in memory and send them by UDP every `FLUSH_INTERVAL_SECONDS`.

    This avoids a system call per statement. Of each timing, the first
    `TIMINGS_PER_FLUSH` values of an interval are sent.

    :param address: ``IP:port`` of the server; host names are not resolved.
    :param prefix: prefix of all metric names.
    """

    __slots__ = ("client", "sent", "timings")

    def __init__(self, address: str, prefix: str) -> None:
        super().__init__()
        host, port = split_address(address)
        self.client = StatsClient(host, port, prefix=prefix, ipv6=":" in host)
        # A full socket buffer must drop metrics rather than block statements.
        self.client._sock.setblocking(False)
        self.sent: Counter[str] = Counter()
        self.timings: defaultdict[str, list[float]] = defaultdict(list)

    def timing(self, name: str, seconds: float) -> None:
        super().timing(name, seconds)
        durations = self.timings[name]
        if len(durations) < TIMINGS_PER_FLUSH:
            durations.append(seconds)

    async def run(self, clock: Clock) -> None:
        """Send metrics at each interval until cancelled, then send the rest."""
        try:
            while True:
                await clock.sleep(FLUSH_INTERVAL_SECONDS)
                self.flush()
        finally:
            self.close()

    def flush(self) -> None:
        """Send what has changed since the last flush."""
        with self.client.pipeline() as batch:
            for name, total in self.counters.items():
                if total != self.sent[name]:
                    batch.incr(name, total - self.sent[name])
            for name, value in self.gauges.items():
                batch.gauge(name, value)
            for name, durations in self.timings.items():
                for seconds in durations:
                    batch.timing(name, seconds * 1000)
        self.sent = Counter(self.counters)
        self.timings.clear()

    def close(self) -> None:
        """Send the rest and close the socket."""
        self.flush()
        self.client.close()
