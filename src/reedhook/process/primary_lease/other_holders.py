"""Who else may still use the primary of a service, as its holder knows it."""

import asyncio
from typing import Final

from ...clock import Clock
from ...connection.session_target_home import SessionTargetHome
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from .holder_failure_detector import HolderFailureDetector
from .holder_ranking import LeaseHolderRanking
from .lease_claim import LeaseClaim
from .lease_record import HostIncarnation
from .lease_validity import EXPIRY_MARGIN_SECONDS, LEASE_VALIDITY_SECONDS

STOP_CONFIRMATION_TIMEOUT_SECONDS: Final = 0.5
"""Seconds in which a former holder says that it has stopped."""

LEASE_STATUS_PATH: Final = "lead"
INCARNATION_PATH: Final = "life"


class OtherHolders:
    """Name the deputy, and have former holders and deputies stop.

    :ivar former_at: when somebody last became a former holder.
    :ivar stopped_incarnations: lives of former holders that have said that they
        stopped.
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
        self.stopped_incarnations: set[str] = set()

    async def stop_all(self) -> bool:
        """Have all others stop; return whether none can use the primary.

        The deputy may do so at any time and is always asked.
        """
        record = self.claim.record
        asked = [
            one
            for one in record.former
            if one.incarnation not in self.stopped_incarnations
        ]
        if self.former_expired():
            asked = []
        elif not record.former_complete:
            return False
        deputy = record.backup_holder
        if deputy is not None:
            asked.append(deputy)
        words = await asyncio.gather(*(self.confirm_stopped(one) for one in asked))
        if deputy is not None and not words[-1]:
            # It cannot be told apart from one that acts until its time is over.
            await self.set_backup_holder(None)
        return all(words)

    def former_expired(self) -> bool:
        """Say whether the permission of each former holder has ended by itself."""
        return (
            self.clock.boottime() - self.former_at
            >= LEASE_VALIDITY_SECONDS + EXPIRY_MARGIN_SECONDS
        )

    async def confirm_stopped(self, former: HostIncarnation) -> bool:
        """Ask a former holder whether it has stopped, or is another life."""
        record = self.claim.record
        body = {
            "service": self.service,
            "records": self.claim.registry.to_json(),
            "revision": record.revision,
        }
        try:
            answer = await self.peers.call(
                former.ref, LEASE_STATUS_PATH, body, STOP_CONFIRMATION_TIMEOUT_SECONDS
            )
        except PeerError as error:
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
        if stopped and former != self.claim.record.backup_holder:
            self.stopped_incarnations.add(former.incarnation)
        return stopped

    async def update_backup_holder(self, home: SessionTargetHome) -> None:
        """Have a living host in a third zone stand in, should this one be lost."""
        deputy = self.claim.record.backup_holder
        chosen = self.ranking.deputy(self.service, home.entry)
        if deputy is not None and not self.failure_detector.is_lost(deputy.ref):
            if chosen is None or deputy.ref.zone == chosen.zone:
                chosen = deputy.ref
        if chosen is None:
            return
        life = await self.query_incarnation(chosen)
        if life is not None:
            await self.set_backup_holder(HostIncarnation(chosen, life))

    async def query_incarnation(self, host: HostRef) -> str | None:
        """Ask a host for the life of its process; None without an answer."""
        try:
            answer = await self.peers.call(
                host, INCARNATION_PATH, {}, STOP_CONFIRMATION_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return None
        life = answer.get("life")
        return life if isinstance(life, str) else None

    async def set_backup_holder(self, backup_holder: HostIncarnation | None) -> None:
        """Write down who stands in from now on."""
        record = self.claim.record
        if backup_holder == record.backup_holder:
            return
        if await self.claim.write(record.with_backup_holder(backup_holder)):
            self.former_at = self.clock.boottime()

    async def forget_former(self) -> None:
        """Write down that nobody but the deputy can still use the primary."""
        record = self.claim.record
        if (record.former or not record.former_complete) and self.former_expired():
            await self.claim.write(record.without_former())
