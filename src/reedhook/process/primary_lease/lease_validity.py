"""The permission to use a primary, which ends by itself unless it is renewed."""

from typing import Final

from ...clock import Clock
from ...request.refusal import RefusalReason, not_run

LEASE_VALIDITY_SECONDS: Final = 12.0
"""Seconds for which a look at the store permits the use of a primary. Longer
than the store is silent for at a time (9 s) with a renewal before; a successor
that gets no word from its predecessor waits as long before it promotes."""

RENEWAL_INTERVAL_SECONDS: Final = 2.5
"""Seconds between two looks; each is one reading call."""

EXPIRY_MARGIN_SECONDS: Final = 0.5
"""Seconds by which a successor waits longer, for statements on their way."""

RETRY_MS: Final = 100
"""When to come back to a host that lost its permission, in milliseconds."""


class LeaseValidity:
    """Keep until when this host may use a primary, by `Clock.elapsed`.

    The look that permits it was sent at a moment when the record named this
    host; whoever takes the record over later does not promote before the time
    is over, or this host has said that it has stopped.
    """

    __slots__ = ("clock", "expires_at", "revoked")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.expires_at = float("-inf")
        self.revoked = False

    def extend(self, requested_at: float) -> None:
        """Take note that a question sent at `asked` found this host named."""
        if not self.revoked:
            self.expires_at = max(
                self.expires_at, requested_at + LEASE_VALIDITY_SECONDS
            )

    def revoke(self) -> None:
        """Give the permission up for good, whatever a later look finds."""
        self.revoked = True
        self.expires_at = float("-inf")

    @property
    def valid(self) -> bool:
        """Say whether the primary may be used right now."""
        return self.clock.boottime() < self.expires_at

    def check(self) -> None:
        """Raise unless the primary may be used right now.

        :raises Refusal: not run.
        """
        if not self.valid:
            raise not_run(
                RefusalReason.WRONG_HOME, "this host may not use the primary", RETRY_MS
            )
