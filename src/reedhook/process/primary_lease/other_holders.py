"""Other hosts that may still use the primary of a service, seen from its holder."""

import asyncio
import math
from typing import Final

from ...clock import Clock
from ...connection.session_target_home import SessionTargetHome
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from .former_wait import MAX_WAIT_SECONDS, FormerHolderWait
from .holder_failure_detector import HolderFailureDetector
from .holder_ranking import LeaseHolderRanking
from .lease_claim import LeaseClaim
from .lease_record import HostIncarnation, PrimaryLeaseRecord

STOP_CONFIRMATION_TIMEOUT_SECONDS: Final = 0.5
"""Timeout for a former holder to confirm that it has stopped."""

CONFIRMATION_INTERVAL_SECONDS: Final = 0.5
"""Interval at which former holders that have not confirmed it are asked."""

MAX_BACKUP_CANDIDATES: Final = 3
"""Hosts asked in turn to be the backup holder."""

LEASE_STATUS_PATH: Final = "lead"
INCARNATION_PATH: Final = "life"


class OtherHolders:
    """Choose the backup holder, and stop former holders and the backup holder.

    :ivar unnamed_expire_at: `Clock.boottime` at which the leases of former holders that
        no record names have expired.
    :ivar expire_at: the same of each former holder that the record names, without its
        backup holder.
    :ivar stopped_incarnations: incarnations of former holders that have confirmed that
        they stopped, and were not backup holders since.
    :ivar ended_incarnations: incarnations that have stated that they stopped for good.
    :ivar awaited: whether the last attempt to stop them all was not confirmed.
    :ivar backup: the backup holder that was noticed last.
    :ivar backup_changes: number of changes of the backup holder that were noticed.
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
        self.unnamed_expire_at = clock.boottime() + MAX_WAIT_SECONDS
        self.expire_at: dict[HostIncarnation, float] = {}
        self.stopped_incarnations: set[str] = set()
        self.ended_incarnations: set[str] = set()
        self.awaited = False
        self.backup: HostIncarnation | None = None
        self.backup_changes = 0
        self.note_record()

    async def stop_all(self) -> bool:
        """Have all others stop; return whether none can use the primary.

        The backup holder may become active at any time, so it is always asked.
        """
        complete = self.names_all_former()
        unconfirmed = self.unconfirmed_former()
        backup = self.claim.record.backup_holder
        if backup is not None and self.has_ended(backup):
            backup = None
        if backup is not None:
            unconfirmed.append(backup)
        confirmations = await asyncio.gather(
            *(self.confirm_stopped(one) for one in unconfirmed)
        )
        if backup is not None and not confirmations[-1]:
            # It may be active until its lease expires, so it becomes a former holder.
            # Where others are waited for anyway, both waits run at the same time.
            await self.set_backup_holder(None)
        self.awaited = not (complete and all(confirmations))
        return not self.awaited

    def names_all_former(self) -> bool:
        """Return whether the record names all hosts that may still use the primary."""
        return self.former_expired() or self.claim.record.former_complete

    def unconfirmed_former(self) -> list[HostIncarnation]:
        """Return the named former holders that may still use the primary."""
        self.note_record()
        now = self.clock.boottime()
        return [
            one
            for one in self.claim.record.former
            if not self.has_stopped(one) and self.expire_at.get(one, math.inf) > now
        ]

    def unconfirmed_others(self) -> list[HostIncarnation]:
        """Return the same hosts without the backup holder, which may be one of them."""
        backup = self.claim.record.backup_holder
        return [one for one in self.unconfirmed_former() if one != backup]

    def has_stopped(self, host: HostIncarnation) -> bool:
        """Return whether a host has confirmed that it stopped."""
        return host.incarnation in self.stopped_incarnations or self.has_ended(host)

    def has_ended(self, host: HostIncarnation) -> bool:
        """Return whether a host has stated that it stopped for good."""
        return host.incarnation in self.ended_incarnations

    def former_expired(self) -> bool:
        """Return whether the leases of all former holders have expired.

        This includes those that the record does not name.
        """
        self.note_record()
        limits = [self.unnamed_expire_at, *self.expire_at.values()]
        return self.clock.boottime() >= max(limits)

    def former_wait(self) -> FormerHolderWait:
        """State for the next holder how long it has to wait for former holders.

        The backup holder does not count; the claim makes it a former holder.
        """
        limits = [self.expire_at[one] for one in self.unconfirmed_others()]
        if not self.claim.record.former_complete:
            limits.append(self.unnamed_expire_at)
        left = max(limits, default=0.0) - self.clock.boottime()
        return FormerHolderWait(
            self.claim.record.order, min(max(left, 0.0), MAX_WAIT_SECONDS)
        )

    def adopt_wait(self, record: PrimaryLeaseRecord, expire_at: float) -> None:
        """Wait for former holders only as long as the holder before this host.

        :param record: its last record.
        :param expire_at: `Clock.boottime` at which the leases of the former holders of
            that record have expired, also of those that it does not name.
        """
        self.note_record()
        self.unnamed_expire_at = min(self.unnamed_expire_at, expire_at)
        for one in record.former:
            if one in self.expire_at and one != record.backup_holder:
                self.expire_at[one] = min(self.expire_at[one], expire_at)

    def note_record(self) -> None:
        """Process the record of the claim, which may have been written late.

        Called before a backup holder is replaced, so that each one is noticed. The
        lease of a former holder counts until the record that replaced it took effect,
        which is no later than when this host first knows of that record.
        """
        record, now = self.claim.record, self.clock.boottime()
        backup = record.backup_holder
        if backup != self.backup:
            self.backup = backup
            self.backup_changes += 1
        if backup is not None:
            self.stopped_incarnations.discard(backup.incarnation)
        named = {one for one in record.former if one != backup}
        for one in self.expire_at.keys() - named:
            if one != backup and not self.has_stopped(one):
                # The record names the latest former holders only.
                self.unnamed_expire_at = max(
                    self.unnamed_expire_at, self.expire_at[one]
                )
        self.expire_at = {
            one: self.expire_at.get(one, now + MAX_WAIT_SECONDS) for one in named
        }

    def handle_epoch(self) -> None:
        """Count unknown former holders from now: all their claims precede a restore."""
        self.unnamed_expire_at = self.clock.boottime() + MAX_WAIT_SECONDS
        self.expire_at.clear()

    def handle_ended(self, incarnation: str) -> None:
        """Process the statement of a host that it has stopped for good."""
        self.ended_incarnations.add(incarnation)

    async def keep_confirming(self) -> None:
        """Ask the former holders whether they have stopped, until cancelled.

        A host that is shutting down can answer only for a while.
        """
        while True:
            unconfirmed = self.unconfirmed_others()
            await asyncio.gather(*(self.confirm_stopped(one) for one in unconfirmed))
            await self.clock.sleep(CONFIRMATION_INTERVAL_SECONDS)

    async def confirm_stopped(self, former: HostIncarnation) -> bool:
        """Return whether a former holder confirms that it stopped or has restarted."""
        self.note_record()
        record, backup_changes = self.claim.record, self.backup_changes
        body = {
            "service": self.service,
            "records": self.claim.registry.to_json(self.service),
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
                wait=round(self.former_wait().seconds, 2),
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
        self.note_record()
        if stopped and former != self.backup and self.backup_changes == backup_changes:
            # It was not named as backup holder again since it was asked.
            self.stopped_incarnations.add(former.incarnation)
        return stopped

    async def update_backup_holder(self, home: SessionTargetHome) -> None:
        """Set a live host as the backup holder, in a third zone where possible."""
        current = self.claim.record.backup_holder
        chosen = self.ranking.rank_backups(self.service, home.entry)
        if current is not None and not self.failure_detector.is_lost(current.ref):
            if not chosen or current.ref.zone == chosen[0].zone:
                chosen.insert(0, current.ref)
        for host in chosen[:MAX_BACKUP_CANDIDATES]:
            incarnation = await self.query_incarnation(host)
            if incarnation is not None:
                await self.set_backup_holder(HostIncarnation(host, incarnation))
                return

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
        """Remove former holders that cannot use the primary from the record.

        The next holder then neither asks nor waits for them.
        """
        if not self.claim.current:
            return
        record = self.claim.record
        if self.former_expired():
            remaining = record.without_former()
        else:
            remaining = record.with_former(self.unconfirmed_former())
        if remaining != record:
            await self.claim.write(remaining)
