"""Budget of the statements that one host runs again at another target."""

from typing import Final

from ..clock import Clock

TOKENS_PER_SUCCESS: Final = 0.2

MIN_TOKENS: Final = 10.0
"""Tokens at the start, and those granted again to an exhausted budget."""

MAX_TOKENS: Final = 100.0

TOKENS_PER_RETRY: Final = 1.0

REFUSAL_RESERVE: Final = MIN_TOKENS
"""Tokens that refused statements leave. The budget is for all services of the host; an
overloaded one would spend it all, and reads that failed elsewhere would not be
repeated."""

EXHAUSTED_SECONDS: Final = 10.0
"""Time without a token after which `MIN_TOKENS` are granted again. A host whose
statements all fail could never find out otherwise that a retry would succeed."""


class RetryBudget:
    """Limit retries to a share of the successes, so that they cannot feed an overload.

    :ivar tokens: the tokens left.
    :ivar exhausted_at: monotonic time since which no retry was possible; None if one
        is.
    """

    __slots__ = ("clock", "tokens", "exhausted_at")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tokens = MIN_TOKENS
        self.exhausted_at: float | None = None

    def record_success(self) -> None:
        """Earn the tokens of a successful statement."""
        self.tokens = min(self.tokens + TOKENS_PER_SUCCESS, MAX_TOKENS)
        if self.tokens >= TOKENS_PER_RETRY:
            self.exhausted_at = None

    def try_spend(self, reserve: float = 0.0) -> bool:
        """Take the token of one retry; return whether there was one.

        :param reserve: tokens that this retry must leave.
        """
        if self.tokens < TOKENS_PER_RETRY and not self.refill_exhausted():
            return False
        if self.tokens < TOKENS_PER_RETRY + reserve:
            return False
        self.tokens -= TOKENS_PER_RETRY
        if self.tokens < TOKENS_PER_RETRY:
            self.exhausted_at = self.clock.monotonic()
        return True

    def refill_exhausted(self) -> bool:
        """Grant tokens again if there was none for long; return whether it did."""
        now = self.clock.monotonic()
        if self.exhausted_at is None or now - self.exhausted_at < EXHAUSTED_SECONDS:
            return False
        self.tokens = MIN_TOKENS
        self.exhausted_at = None
        return True
