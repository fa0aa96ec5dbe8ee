"""Backup use of a primary while its holder is lost and the store is unreachable."""

from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ..discovery.announcements import Announcements
from .lease_claim import LeaseClaim
from .primary_client import HomeFactory, PrimaryClient
from .target_status import TargetStatusClient

CHECK_INTERVAL_SECONDS: Final = 4.0
"""Renewal interval; well below LEASE_VALIDITY_SECONDS, so that time is left to act
when the store becomes unreachable."""

RETRY_INTERVAL_SECONDS: Final = 0.5
"""Renewal interval while the lease is not valid."""

DRAIN_TIMEOUT_SECONDS: Final = 1.0
"""Time for open transactions to end after the holder is back."""


class BackupHolder(PrimaryClient):
    """Use the primary of a service in place of its holder.

    It orders no promotion. Before a promotion, the holder or the host that claims the
    lease has the backup holder confirm that it stopped, or waits until its lease has
    expired.

    :param claim: names this host as the backup holder.
    """

    def __init__(
        self,
        claim: LeaseClaim,
        announcements: Announcements,
        states: TargetStatusClient,
        make_home: HomeFactory,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        super().__init__(claim, states, make_home, clock, decisions)
        self.announcements = announcements
        self.active = False

    def start(self) -> None:
        """Start to renew the lease."""
        self.background.spawn(self.renew())

    async def renew(self) -> None:
        """Renew the lease periodically until cancelled."""
        while True:
            await self.clock.sleep(
                CHECK_INTERVAL_SECONDS
                if self.validity.valid
                else RETRY_INTERVAL_SECONDS
            )
            await self.claim.refresh()

    async def activate(self) -> None:
        """Use the primary if its status matches the record and it does not leave."""
        if self.active or self.draining or not self.validity.valid:
            return
        self.active = True
        entry = self.announcements.targets.get(self.record.primary)
        status = None if entry is None else await self.states.status(entry)
        promoting = bool(self.record.successor)
        if entry is None or status is None or not status.is_primary or promoting:
            self.active = False
            return
        matches_record = status.term == self.record.term and entry.is_incarnation(
            self.record.primary_started_at_ms
        )
        leaves = not self.states.accepts_new_work(entry.target)
        if not matches_record or leaves or self.draining:
            self.active = False
            return
        self.decisions.record(
            "backup_holder_active",
            service=self.service,
            holder=self.record.holder.ref.host,
            revision=self.record.revision.to_json(),
            left=round(self.validity.expires_at - self.clock.boottime(), 2),
        )
        self.use_primary(entry, status)

    async def deactivate(self) -> None:
        """Stop using the primary: its holder is back, or it leaves."""
        if not self.active:
            return
        self.decisions.record("backup_holder_inactive", service=self.service)
        self.ready.clear()
        home = self.home
        if home is not None:
            # A release meanwhile closes it before the stop is confirmed.
            await self.until_quiet(home, DRAIN_TIMEOUT_SECONDS)
            await home.close()
        self.home = None
        self.active = False

    def log_released(self) -> None:
        self.decisions.record("backup_holder_dismissed", service=self.service)
