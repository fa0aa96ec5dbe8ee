"""Expiry of a primary lease, which must be renewed from the store."""

from typing import Final

from ...clock import Clock
from ...request.refusal import RefusalReason, not_run

LEASE_VALIDITY_SECONDS: Final = 12.0
"""Longer than a store outage of 9 s plus a renewal interval. A new holder waits as
long before a promotion if its predecessor does not confirm that it has stopped."""

RENEWAL_INTERVAL_SECONDS: Final = 2.5

EXPIRY_MARGIN_SECONDS: Final = 0.5
"""Extra wait of a new holder, for statements still in flight."""

RETRY_MS: Final = 100


class LeaseValidity:
    """Track until when this host may use a primary, as a `Clock.boottime` time.

    The lease counts from when the read that found this host named was sent. A host
    that claims the record later promotes no target until that lease has expired or
    this host has confirmed that it stopped.
    """

    __slots__ = ("clock", "expires_at", "revoked")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.expires_at = float("-inf")
        self.revoked = False

    def extend(self, requested_at: float) -> None:
        """Extend the lease after a request sent at `requested_at` confirmed it."""
        if not self.revoked:
            self.expires_at = max(
                self.expires_at, requested_at + LEASE_VALIDITY_SECONDS
            )

    def revoke(self) -> None:
        """End the lease permanently; later extensions have no effect."""
        self.revoked = True
        self.expires_at = float("-inf")

    @property
    def valid(self) -> bool:
        """Return whether the lease is valid now."""
        return self.clock.boottime() < self.expires_at

    def check(self) -> None:
        """Check that the lease is valid now.

        :raises RefusalError: if it has expired; nothing ran.
        """
        if not self.valid:
            raise not_run(
                RefusalReason.WRONG_HOME, "this host may not use the primary", RETRY_MS
            )
