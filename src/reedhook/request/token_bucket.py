"""Token buckets: the rate of each workspace, and budgets of retries and hedges."""

import math
from typing import Final

from ..version.workspace import Workspace
from .refusal import RefusalReason, not_run

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

    def try_acquire(self, now: float) -> bool:
        """Take one unit; return whether there was one."""
        return self.acquire_up_to(1, now) == 1

    def acquire_up_to(self, count: int, now: float) -> int:
        """Take as many whole units as there are, `count` at most; return how many."""
        self.refill(now)
        taken = min(count, max(0, math.floor(self.level)))
        self.level -= taken
        return taken

    def refill(self, now: float) -> None:
        """Add what has come since the last time."""
        filled = self.level + (now - self.filled_at) * self.rate
        self.level = min(self.burst, filled)
        self.filled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Go on at another rate and burst."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(burst, self.level)

    def deduct(self, count: int) -> None:
        """Take note of units taken elsewhere, or given back if less than 0."""
        self.level = min(self.burst, max(self.level - count, min(self.level, 0.0)))

    def seconds_until_available(self) -> float:
        """Return in how many seconds the next unit is there."""
        return max(0.0, 1.0 - self.level) / self.rate


class RetryBudget:
    """Bound extra work to a share of the ordinary work, plus a small burst.

    :param gain_per_request: units gained by each ordinary request.
    :param burst: the most units that are kept.
    """

    __slots__ = ("gain_per_request", "burst", "level")

    def __init__(self, gain_per_request: float, burst: float) -> None:
        self.gain_per_request = gain_per_request
        self.burst = burst
        self.level = burst

    def record_request(self) -> None:
        """Note one ordinary request."""
        self.level = min(self.burst, self.level + self.gain_per_request)

    def try_spend(self) -> bool:
        """Take the unit of one extra request; return whether there was one."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class LocalRateLimiter:
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
        if bucket.try_acquire(now):
            return
        retry_after_ms = int(bucket.seconds_until_available() * 1000) + 1
        raise not_run(
            RefusalReason.RATE_LIMITED,
            f"the workspace {workspace.name} exceeds its rate of "
            f"{workspace.rate:g} a second",
            retry_after_ms,
        )
