"""The permission to use a primary, which ends by itself unless it is renewed."""

from typing import Final

from ...clock import Clock
from ...request.refusal import RefusalReason, not_run

TENURE: Final = 12.0
"""Seconds for which a look at the store permits the use of a primary. Longer
than the store is silent for at a time (9 s) with a renewal before; a successor
that gets no word from its predecessor waits as long before it promotes."""

RENEW: Final = 2.5
"""Seconds between two looks; each is one reading call."""

MARGIN: Final = 0.5
"""Seconds by which a successor waits longer, for statements on their way."""

RETRY_MS: Final = 100
"""When to come back to a host that lost its permission, in milliseconds."""


class Tenure:
    """Keep until when this host may use a primary, by `Clock.elapsed`.

    The look that permits it was sent at a moment when the record named this
    host; whoever takes the record over later does not promote before the time
    is over, or this host has said that it has stopped.
    """

    __slots__ = ("clock", "until", "over")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.until = float("-inf")
        self.over = False

    def confirmed(self, asked: float) -> None:
        """Take note that a question sent at `asked` found this host named."""
        if not self.over:
            self.until = max(self.until, asked + TENURE)

    def end(self) -> None:
        """Give the permission up for good, whatever a later look finds."""
        self.over = True
        self.until = float("-inf")

    @property
    def valid(self) -> bool:
        """Say whether the primary may be used right now."""
        return self.clock.elapsed() < self.until

    def check(self) -> None:
        """Raise unless the primary may be used right now.

        :raises Refusal: not run.
        """
        if not self.valid:
            raise not_run(
                RefusalReason.WRONG_HOME, "this host may not use the primary", RETRY_MS
            )
