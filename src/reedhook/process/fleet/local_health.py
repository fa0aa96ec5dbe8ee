"""Estimate of this host's own health, used to scale its timeouts."""

import math
from typing import Final

from ...clock import Clock
from ...peer import HostRef
from ...record import Record

MAX_LEVEL: Final = 5
RESULT_WINDOW_SECONDS: Final = 3.0
MAX_RESULTS: Final = 16
MIN_RECOVERY_SECONDS: Final = 3.0


class ProbeResult(Record):
    """Describe the result of the last probe of a host.

    :param at: monotonic time in seconds of the result.
    :param zone: the availability zone of the host.
    :param took: seconds until the response; infinite after a timeout.
    """

    __slots__ = ("at", "zone", "took")

    def __init__(self, at: float, zone: str, took: float) -> None:
        self.at = at
        self.zone = zone
        self.took = took


class LocalHealth:
    """Lengthen timeouts while this host or its network is slow.

    A single unresponsive host or zone indicates a fault there. Timeouts of most
    hosts and zones, late timers or wrong suspicions of this host indicate a fault
    here: timeouts then grow and probes become less frequent, so that live hosts are
    not suspected. The level falls again once recent responses would have met the
    shorter timeout.

    :param zone: the availability zone of this host.
    :param answer: the probe timeout in seconds at level 0.
    :ivar level: 0 while healthy; grows with each sign of a local fault.
    """

    def __init__(self, zone: str, answer: float, clock: Clock) -> None:
        self.zone = zone
        self.answer = answer
        self.clock = clock
        self.level = 0
        self.changed = clock.monotonic()
        self.results: dict[str, ProbeResult] = {}

    @property
    def timeout_factor(self) -> int:
        """Return the factor by which to multiply timeouts."""
        return 1 + self.level

    def record_timeout(self, ref: HostRef) -> None:
        """Record that a probe of a host timed out."""
        self.record_result(ref, math.inf)
        if self.mostly_later_than(math.inf):
            self.worsen()

    def record_answer(self, ref: HostRef, took: float) -> None:
        """Record a response after `took` seconds; lower the level if due."""
        self.record_result(ref, took)
        now = self.clock.monotonic()
        if self.level == 0 or now - self.changed < MIN_RECOVERY_SECONDS:
            return
        self.changed = now
        if not self.mostly_later_than(self.answer * self.level):
            self.level -= 1

    def record_result(self, ref: HostRef, took: float) -> None:
        """Store the result of a probe; keep the newest `MAX_RESULTS`."""
        self.results.pop(ref.host, None)
        self.results[ref.host] = ProbeResult(self.clock.monotonic(), ref.zone, took)
        if len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]

    def mostly_later_than(self, limit: float) -> bool:
        """Return whether late results outnumber timely ones by at least two.

        Each recently probed host of this zone counts as one result, and so does each
        other zone, which is timely if any of its hosts responded within `limit`
        seconds.
        """
        since = self.clock.monotonic() - RESULT_WINDOW_SECONDS
        recent = [result for result in self.results.values() if result.at >= since]
        near = [result.took < limit for result in recent if result.zone == self.zone]
        far = {result.zone for result in recent if result.zone != self.zone}
        responsive = {result.zone for result in recent if result.took < limit} & far
        within = near.count(True) + len(responsive)
        late = near.count(False) + len(far - responsive)
        return late > 1 + within

    def worsen(self) -> None:
        """Raise the level after a sign of a local fault."""
        self.level = min(self.level + 1, MAX_LEVEL)
        self.changed = self.clock.monotonic()
