"""How far this host can trust its own view of others."""

from collections import deque
from typing import Final

from ..clock import Clock

MOST: Final = 5
WINDOW: Final = 3.0
KEPT: Final = 16
CALM: Final = 3.0


class LocalHealth:
    """Slow all timers down while this host, or all around it, is slow.

    One host without an answer says something of that host. Several at once,
    late timers, or others who suspect this host wrongly, say something of
    this host: it then waits longer before it suspects anyone, and asks less.

    :ivar level: 0 while all is well; grows with each bad sign.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.level = 0
        self.changed = clock.monotonic()
        self.silent: deque[tuple[float, str]] = deque(maxlen=KEPT)

    @property
    def factor(self) -> int:
        """Return how many times longer than usual to wait."""
        return 1 + self.level

    def missed(self, host: str) -> None:
        """Take note that `host` gave no answer in time."""
        now = self.clock.monotonic()
        self.silent.append((now, host))
        recent = {one for at, one in self.silent if now - at <= WINDOW}
        if len(recent) > 1:
            self.worsen()

    def worsen(self) -> None:
        """Take note of a bad sign."""
        self.level = min(self.level + 1, MOST)
        self.changed = self.clock.monotonic()

    def improve(self) -> None:
        """Take note of an answer in time; trust grows slowly."""
        now = self.clock.monotonic()
        if self.level > 0 and now - self.changed >= CALM:
            self.level -= 1
            self.changed = now
