"""Token buckets: the rate of each workspace, and budgets of retries and hedges."""

import math
from typing import Final

from ..version.workspace import Workspace
from .refusal import Reason, not_run

MIN_BURST: Final = 1.0


class TokenBucket:
    """Admit `rate` units a second and bursts of up to `burst` units.

    Times are monotonic, in seconds.

    :param level: units that are there at first; `burst` if it is not given.
    """

    __slots__ = ("rate", "burst", "level", "filled_at")

    def __init__(
        self, rate: float, burst: float, now: float, level: float | None = None
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst if level is None else level
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Take one unit; return whether there was one."""
        return self.take_up_to(1, now) == 1

    def take_up_to(self, count: int, now: float) -> int:
        """Take as many whole units as there are, `count` at most; return how many."""
        self.fill(now)
        taken = min(count, max(0, math.floor(self.level)))
        self.level -= taken
        return taken

    def fill(self, now: float) -> None:
        """Add what has come since the last time."""
        filled = self.level + (now - self.filled_at) * self.rate
        self.level = min(self.burst, filled)
        self.filled_at = now

    def change(self, rate: float, burst: float, now: float) -> None:
        """Go on at another rate and burst."""
        self.fill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(burst, self.level)

    def spend(self, count: int) -> None:
        """Take note of units taken elsewhere, or given back if less than 0."""
        self.level = min(self.burst, max(self.level - count, min(self.level, 0.0)))

    def wait(self) -> float:
        """Return in how many seconds the next unit is there."""
        return max(0.0, 1.0 - self.level) / self.rate


class Budget:
    """Bound extra work to a share of the ordinary work, plus a small burst.

    :param share: units gained by each ordinary request.
    :param burst: the most units that are kept.
    """

    __slots__ = ("share", "burst", "level")

    def __init__(self, share: float, burst: float) -> None:
        self.share = share
        self.burst = burst
        self.level = burst

    def earn(self) -> None:
        """Note one ordinary request."""
        self.level = min(self.burst, self.level + self.share)

    def spend(self) -> bool:
        """Take the unit of one extra request; return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class WorkspaceRates:
    """Hold each workspace to its rate on this host."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def admit(self, workspace: Workspace, now: float) -> None:
        """Admit one request of `workspace`.

        :raises Refusal: ``rate_limited``, with the time to come back.
        """
        if workspace.rate is None:
            return
        bucket = self.buckets.get(workspace.name)
        if bucket is None or bucket.rate != workspace.rate:
            burst = max(MIN_BURST, workspace.burst)
            bucket = TokenBucket(workspace.rate, burst, now)
            self.buckets[workspace.name] = bucket
        if bucket.take(now):
            return
        retry_after_ms = int(bucket.wait() * 1000) + 1
        raise not_run(
            Reason.RATE_LIMITED,
            f"the workspace {workspace.name} exceeds its rate of "
            f"{workspace.rate:g} a second",
            retry_after_ms,
        )
