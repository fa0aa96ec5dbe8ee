"""Early replacement of a lost promotion coordinator, before a promotion needs it.

The wait of a new coordinator then runs while the loss of a primary is being detected,
so that an order rarely waits. After a restore of the store, the coordinator claims its
role again in the same way.
"""

from typing import Final

from ...clock import Clock
from ...peer import HostRef
from ..fleet.membership_directory import MembershipDirectory
from .coordinator_role import CoordinatorRole
from .holder_failure_detector import HolderFailureDetector
from .lease_record import PROMOTION_COORDINATOR_KEY

CHECK_INTERVAL_SECONDS: Final = 0.1
"""Short against PROBE_INTERVAL_SECONDS, since the wait starts with the claim."""

CLAIM_RETRY_SECONDS: Final = 0.3
"""Pause after a claim, so that a store that does not respond is not flooded."""


class CoordinatorStandby:
    """Probe the promotion coordinator, and claim its role once it is lost."""

    def __init__(
        self,
        me: HostRef,
        role: CoordinatorRole,
        directory: MembershipDirectory,
        failure_detector: HolderFailureDetector,
        clock: Clock,
    ) -> None:
        self.me = me
        self.role = role
        self.directory = directory
        self.failure_detector = failure_detector
        self.clock = clock
        self.tried_at = float("-inf")

    async def run(self) -> None:
        """Check the coordinator periodically until cancelled."""
        while True:
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)
            await self.check()

    async def check(self) -> None:
        """Probe the coordinator if this host is a standby; claim the role if lost."""
        known = self.role.known
        if known is None or known.holder is None:
            return
        holder = known.holder
        if holder == self.role.me:
            await self.claim_again()
            return
        if self.me not in self.standbys(holder.ref):
            return
        self.failure_detector.probe_if_due(holder.ref)
        now = self.clock.monotonic()
        if (
            not self.failure_detector.is_lost(holder.ref)
            or now - self.tried_at < CLAIM_RETRY_SECONDS
        ):
            return
        self.tried_at = now
        reading = await self.role.read()
        if reading is None or reading.record is None:
            return
        if reading.holder in (holder, None):
            await self.role.claim(reading)

    async def claim_again(self) -> None:
        """Claim the role in a new epoch of the store, if this host held it before."""
        known, now = self.role.known, self.clock.monotonic()
        if known is None or known.epoch >= self.role.keyspace.epoch.current:
            return
        if now - self.tried_at < CLAIM_RETRY_SECONDS:
            return
        self.tried_at = now
        reading = await self.role.read()
        if reading is not None and reading.holder is None:
            await self.role.claim(reading)

    def standbys(self, holder: HostRef) -> list[HostRef]:
        """Return the hosts that replace a lost coordinator.

        These are the first two in rank that are in different zones, so that at least
        one is not partitioned together with the coordinator.
        """
        ranked = [
            ref
            for ref in self.directory.ranked(PROMOTION_COORDINATOR_KEY, "")
            if ref.host != holder.host
        ]
        chosen = ranked[:1]
        chosen += [ref for ref in ranked if ref.zone != ranked[0].zone][:1]
        return chosen
