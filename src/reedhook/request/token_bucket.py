"""Token buckets for workspace rate limits and for budgets of retries and hedges."""

import math
from typing import Final

from ..version.workspace import Workspace
from .refusal import RefusalReason, not_run

MIN_BURST: Final = 1.0


class TokenBucket:
    """Admit `rate` tokens per second and bursts of up to `burst` tokens.

    Times are monotonic, in seconds.

    :param level: initial tokens; `burst` if None.
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
        """Take one token; return whether one was available."""
        return self.acquire_up_to(1, now) == 1

    def acquire_up_to(self, count: int, now: float) -> int:
        """Take up to `count` whole tokens; return how many were taken."""
        self.refill(now)
        taken = min(count, max(0, math.floor(self.level)))
        self.level -= taken
        return taken

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill."""
        filled = self.level + (now - self.filled_at) * self.rate
        self.level = min(self.burst, filled)
        self.filled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst; keep the current tokens."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.level = min(burst, self.level)

    def deduct(self, count: int) -> None:
        """Deduct tokens taken elsewhere; a negative `count` returns tokens.

        A deduction does not lower the level below 0.
        """
        self.level = min(self.burst, max(self.level - count, min(self.level, 0.0)))

    def seconds_until_available(self) -> float:
        """Return the time until the next token is available, in seconds."""
        return max(0.0, 1.0 - self.level) / self.rate


class RetryBudget:
    """Limit extra requests to a fraction of ordinary requests plus a burst.

    :param gain_per_request: tokens gained by each ordinary request.
    :param burst: the maximum number of tokens.
    """

    __slots__ = ("gain_per_request", "burst", "level")

    def __init__(self, gain_per_request: float, burst: float) -> None:
        self.gain_per_request = gain_per_request
        self.burst = burst
        self.level = burst

    def record_request(self) -> None:
        """Add the tokens of one ordinary request."""
        self.level = min(self.burst, self.level + self.gain_per_request)

    def try_spend(self) -> bool:
        """Take the token of one extra request; return whether one was available."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


class LocalRateLimiter:
    """Enforce the rate limit of each workspace on this host."""

    __slots__ = ("buckets",)

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def admit(self, workspace: Workspace, now: float) -> None:
        """Admit one request of `workspace`.

        :raises RefusalError: ``rate_limited``, with the time until a retry.
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
            f"the workspace {workspace.name} exceeds its rate limit of "
            f"{workspace.rate:g} requests per second",
            retry_after_ms,
        )
