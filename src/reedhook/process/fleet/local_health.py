"""How far this host can trust its own view of others."""

from typing import Final

from ...clock import Clock
from ...record import Record
from ..network.peer import HostRef

MOST: Final = 5
WINDOW: Final = 3.0
KEPT: Final = 16
CALM: Final = 3.0


class Outcome(Record):
    """Say how the last question to a host ended.

    :param at: monotonic time in seconds.
    :param answered: whether the answer came in time.
    """

    __slots__ = ("at", "zone", "answered")

    def __init__(self, at: float, zone: str, answered: bool) -> None:
        self.at = at
        self.zone = zone
        self.answered = answered


class LocalHealth:
    """Slow all timers down while this host, or all around it, is slow.

    One host without an answer says something of that host, and a zone without
    answers something of the way there. When two signs more are silent than
    answer, or timers are late, or others suspect this host wrongly, that says something
    of this host: it then waits longer before it suspects anyone, and asks
    less.

    :param zone: the availability zone of this host.
    :ivar level: 0 while all is well; grows with each bad sign.
    """

    def __init__(self, zone: str, clock: Clock) -> None:
        self.zone = zone
        self.clock = clock
        self.level = 0
        self.changed = clock.monotonic()
        self.last: dict[str, Outcome] = {}

    @property
    def factor(self) -> int:
        """Return how many times longer than usual to wait."""
        return 1 + self.level

    def missed(self, ref: HostRef) -> None:
        """Take note that a host gave no answer in time."""
        self.note(ref, False)
        if self.signs(False) > 1 + self.signs(True):
            self.worsen()

    def answered(self, ref: HostRef) -> None:
        """Take note of an answer in time; trust grows slowly."""
        self.note(ref, True)
        now = self.clock.monotonic()
        if self.level > 0 and now - self.changed >= CALM:
            self.level -= 1
            self.changed = now

    def note(self, ref: HostRef, answered: bool) -> None:
        """Keep the newest outcomes, a bounded number."""
        self.last.pop(ref.host, None)
        self.last[ref.host] = Outcome(self.clock.monotonic(), ref.zone, answered)
        if len(self.last) > KEPT:
            del self.last[next(iter(self.last))]

    def signs(self, answered: bool) -> int:
        """Count recent outcomes: hosts of the own zone, and other zones.

        A zone counts as answering if one of its hosts does.
        """
        since = self.clock.monotonic() - WINDOW
        recent = [one for one in self.last.values() if one.at >= since]
        near = sum(one.zone == self.zone and one.answered is answered for one in recent)
        far = {one.zone for one in recent if one.zone != self.zone}
        speaking = {one.zone for one in recent if one.answered} & far
        return near + len(speaking if answered else far - speaking)

    def worsen(self) -> None:
        """Take note of a bad sign."""
        self.level = min(self.level + 1, MOST)
        self.changed = self.clock.monotonic()
