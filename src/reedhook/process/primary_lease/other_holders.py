"""Other hosts that may still use the primary of a service, seen from its holder."""

import asyncio
from typing import Final

from ...clock import Clock
from ...connection.session_target_home import SessionTargetHome
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from ..discovery.store_revision import StoreRevision
from .holder_failure_detector import HolderFailureDetector
from .holder_ranking import LeaseHolderRanking
from .lease_claim import LeaseClaim
from .lease_record import HostIncarnation
from .lease_validity import EXPIRY_MARGIN_SECONDS, LEASE_VALIDITY_SECONDS

STOP_CONFIRMATION_TIMEOUT_SECONDS: Final = 0.5
"""Timeout for a former holder to confirm that it has stopped."""

LEASE_STATUS_PATH: Final = "lead"
INCARNATION_PATH: Final = "life"


class OtherHolders:
    """Choose the backup holder, and stop former holders and the backup holder.

    :ivar former_at: `Clock.boottime` when the latest former holder was first noticed.
    :ivar former: former holders noticed in the record, without its backup holder.
    :ivar stopped_incarnations: incarnations of former holders that have confirmed that
        they stopped, and were not backup holders since.
    """

    def __init__(
        self,
        claim: LeaseClaim,
        ranking: LeaseHolderRanking,
        failure_detector: HolderFailureDetector,
        peers: PeerClient,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.claim = claim
        self.service = claim.service
        self.ranking = ranking
        self.failure_detector = failure_detector
        self.peers = peers
        self.clock = clock
        self.decisions = decisions
        self.former_at = clock.boottime()
        self.former: set[HostIncarnation] = set()
        self.stopped_incarnations: set[str] = set()
        self.note_record()

    async def stop_all(self) -> bool:
        """Have all others stop; return whether none can use the primary.

        The backup holder may become active at any time, so it is always asked.
        """
        complete = self.names_all_former()
        unconfirmed = self.unconfirmed_former()
        backup = self.claim.record.backup_holder
        if backup is not None:
            unconfirmed.append(backup)
        confirmations = await asyncio.gather(
            *(self.confirm_stopped(one) for one in unconfirmed)
        )
        if backup is not None and not confirmations[-1]:
            # It may be active until its lease expires, so it becomes a former holder.
            # Where others are waited for anyway, both waits run at the same time.
            await self.set_backup_holder(None)
        return complete and all(confirmations)

    def names_all_former(self) -> bool:
        """Return whether the record names all hosts that may still use the primary."""
        return self.former_expired() or self.claim.record.former_complete

    def unconfirmed_former(self) -> list[HostIncarnation]:
        """Return the named former holders that may still use the primary."""
        if self.former_expired():
            return []
        return [
            one
            for one in self.claim.record.former
            if one.incarnation not in self.stopped_incarnations
        ]

    def former_expired(self) -> bool:
        """Return whether the leases of all former holders have expired."""
        self.note_record()
        return (
            self.clock.boottime() - self.former_at
            >= LEASE_VALIDITY_SECONDS + EXPIRY_MARGIN_SECONDS
        )

    def sole_holder_at(self) -> StoreRevision | None:
        """Return the order of the record if no former holder of it can use the primary.

        Any later record may name another one. None if some may still use it.
        """
        return self.claim.record.order if self.former_expired() else None

    def note_record(self) -> None:
        """Process the record of the claim, which may have been written late.

        Called before a backup holder is replaced, so that each one is noticed. The
        lease of a former holder counts until the record that replaced it took effect,
        which is no later than when this host first knows of that record.
        """
        backup = self.claim.record.backup_holder
        if backup is not None:
            self.stopped_incarnations.discard(backup.incarnation)
        former = {one for one in self.claim.record.former if one != backup}
        if not former <= self.former:
            self.former_at = self.clock.boottime()
        self.former = former

    def handle_epoch(self) -> None:
        """Count unknown former holders from now: all their claims precede a restore."""
        self.former_at = self.clock.boottime()

    async def confirm_stopped(self, former: HostIncarnation) -> bool:
        """Return whether a former holder confirms that it stopped or has restarted."""
        record = self.claim.record
        body = {
            "service": self.service,
            "records": self.claim.registry.to_json(),
            "revision": record.order.to_json(),
        }
        try:
            answer = await self.peers.call(
                former.ref, LEASE_STATUS_PATH, body, STOP_CONFIRMATION_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError) as error:
            # A refusal, such as for a fault of the handler, confirms nothing.
            self.decisions.record(
                "former_holder_silent",
                service=self.service,
                host=former.ref.host,
                wait=round(
                    self.former_at
                    + LEASE_VALIDITY_SECONDS
                    + EXPIRY_MARGIN_SECONDS
                    - self.clock.boottime(),
                    2,
                ),
                error=str(error),
            )
            return False
        stopped = (
            answer.get("life") != former.incarnation or answer.get("holds") is False
        )
        self.decisions.record(
            "former_holder_answered",
            service=self.service,
            host=former.ref.host,
            revision=record.order.to_json(),
            stopped=stopped,
        )
        if stopped and former != self.claim.record.backup_holder:
            self.stopped_incarnations.add(former.incarnation)
        return stopped

    async def update_backup_holder(self, home: SessionTargetHome) -> None:
        """Set a live host as the backup holder, in a third zone where possible."""
        current = self.claim.record.backup_holder
        chosen = self.ranking.choose_backup(self.service, home.entry)
        if current is not None and not self.failure_detector.is_lost(current.ref):
            if chosen is None or current.ref.zone == chosen.zone:
                chosen = current.ref
        if chosen is None:
            return
        incarnation = await self.query_incarnation(chosen)
        if incarnation is not None:
            await self.set_backup_holder(HostIncarnation(chosen, incarnation))

    async def query_incarnation(self, host: HostRef) -> str | None:
        """Return the incarnation of a host, or None if it does not respond."""
        try:
            answer = await self.peers.call(
                host, INCARNATION_PATH, {}, STOP_CONFIRMATION_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return None
        incarnation = answer.get("life")
        return incarnation if isinstance(incarnation, str) else None

    async def set_backup_holder(self, backup_holder: HostIncarnation | None) -> None:
        """Record the backup holder; the previous one becomes a former holder."""
        self.note_record()
        record = self.claim.record
        if backup_holder == record.backup_holder:
            return
        await self.claim.write(record.with_backup_holder(backup_holder))
        self.note_record()

    async def forget_former(self) -> None:
        """Remove former holders from the record once their leases have expired."""
        record = self.claim.record
        if not self.claim.current:
            return
        if (record.former or not record.former_complete) and self.former_expired():
            await self.claim.write(record.without_former())
