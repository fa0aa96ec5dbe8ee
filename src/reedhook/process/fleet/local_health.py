"""How far this host can trust its own view of others."""

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
    """Say how the last question to a host ended.

    :param at: monotonic time in seconds.
    :param zone: the availability zone of the host.
    :param took: seconds until the answer; infinite if none came in time.
    """

    __slots__ = ("at", "zone", "took")

    def __init__(self, at: float, zone: str, took: float) -> None:
        self.at = at
        self.zone = zone
        self.took = took


class LocalHealth:
    """Slow all timers down while this host, or all around it, is slow.

    One host without an answer says something of that host, and a zone without
    answers something of the way there. When two signs more are silent than
    answer, or timers are late, or others suspect this host wrongly, that says something
    of this host: it then waits longer before it suspects anyone, and asks
    less. It goes back to shorter waits once the answers of late would have come
    within them; tried before that, each try would suspect hosts that live.

    :param zone: the availability zone of this host.
    :param answer: seconds that an answer may take while all is well.
    :ivar level: 0 while all is well; grows with each bad sign.
    """

    def __init__(self, zone: str, answer: float, clock: Clock) -> None:
        self.zone = zone
        self.answer = answer
        self.clock = clock
        self.level = 0
        self.changed = clock.monotonic()
        self.last: dict[str, ProbeResult] = {}

    @property
    def timeout_factor(self) -> int:
        """Return how many times longer than usual to wait."""
        return 1 + self.level

    def record_timeout(self, ref: HostRef) -> None:
        """Take note that a host gave no answer in time."""
        self.record_result(ref, math.inf)
        if self.mostly_later_than(math.inf):
            self.worsen()

    def record_answer(self, ref: HostRef, took: float) -> None:
        """Take note of an answer after `took` seconds; trust grows slowly."""
        self.record_result(ref, took)
        now = self.clock.monotonic()
        if self.level == 0 or now - self.changed < MIN_RECOVERY_SECONDS:
            return
        self.changed = now
        if not self.mostly_later_than(self.answer * self.level):
            self.level -= 1

    def record_result(self, ref: HostRef, took: float) -> None:
        """Keep the newest outcomes, a bounded number."""
        self.last.pop(ref.host, None)
        self.last[ref.host] = ProbeResult(self.clock.monotonic(), ref.zone, took)
        if len(self.last) > MAX_RESULTS:
            del self.last[next(iter(self.last))]

    def mostly_later_than(self, limit: float) -> bool:
        """Say whether two signs more are later than `limit` seconds than within it.

        A sign is a host of the own zone that was asked of late, or another zone,
        which is within the limit if one of its hosts is.
        """
        since = self.clock.monotonic() - RESULT_WINDOW_SECONDS
        recent = [one for one in self.last.values() if one.at >= since]
        near = [one.took < limit for one in recent if one.zone == self.zone]
        far = {one.zone for one in recent if one.zone != self.zone}
        speaking = {one.zone for one in recent if one.took < limit} & far
        within = near.count(True) + len(speaking)
        late = near.count(False) + len(far - speaking)
        return late > 1 + within

    def worsen(self) -> None:
        """Take note of a bad sign."""
        self.level = min(self.level + 1, MAX_LEVEL)
        self.changed = self.clock.monotonic()
