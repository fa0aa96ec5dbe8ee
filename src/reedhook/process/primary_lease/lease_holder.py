"""The holder of the primary lease of one service.

Only the holder uses the primary, monitors it and replaces it.
"""

import asyncio
from typing import Final

from ...clock import Clock
from ...connection.session_target import (
    SessionTargetDriver,
    SessionTargetNoReplyError,
    SessionTargetStatus,
    SessionTargetUnreachableError,
    StatementDialect,
    TargetQuery,
)
from ...connection.session_target_home import SessionTargetHome
from ...decision_log import DecisionLog
from ...peer import HostRef
from ...record import Record
from ...request.refusal import RefusalError
from ...version.route_table import TargetAnnouncement
from ..discovery.announcements import Announcements
from ..discovery.key_value_store import KeyValueStoreError
from .epoch_age import EpochAge
from .holder_ranking import LeaseHolderRanking
from .indirect_prober import IndirectProber, TargetObservation
from .lease_challenge import LeaseChallenges
from .lease_claim import HolderClaim
from .lease_record import PrimaryLeaseRecord
from .lease_validity import RENEWAL_INTERVAL_SECONDS
from .other_holders import OtherHolders
from .primary_client import (
    PRIMARY_WAIT_LIMIT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    HomeFactory,
    PrimaryClient,
)
from .primary_proof import (
    CLAIM_WAIT_SECONDS,
    SETTLING_SECONDS,
    Report,
    proven_primary,
)
from .primary_replacement import PrimaryReplacement
from .target_status import STATUS_TIMEOUT_SECONDS, TargetStatusClient

CHECK_INTERVAL_SECONDS: Final = 0.1

PROBE_AFTER_SECONDS: Final = 0.2
"""Time without a reply before the primary is probed; exceeds the duration of
ordinary statements."""

INDIRECT_PROBE_DELAY_SECONDS: Final = 0.1
"""Time without a probe reply before other hosts probe the primary in parallel."""

DRAIN_TIMEOUT_SECONDS: Final = 1.5
"""Time for open transactions to end before a planned change of primary."""

MAX_STORE_CHECKS: Final = 3
STORE_CHECK_PAUSE_SECONDS: Final = 0.15
"""Retries of an unresponsive store before the primary is diagnosed again."""

DEMOTE_INTERVAL_SECONDS: Final = 1.0
"""Interval of demote requests to targets that wrongly claim to be primary."""

PLACEMENT_INTERVAL_SECONDS: Final = 2.0
"""Interval of checks of the holder and backup holder; each may write the record."""

MAX_BLOCKED_RETRY_MS: Final = 1000
"""Limit of the retry delay while a change of primary waits for former holders, which
may still confirm that they have stopped."""

ENTRY_TIMEOUT_SECONDS: Final = 0.25
"""Timeout to read an announcement, while statements wait for the primary."""

FORGET_INTERVAL_SECONDS: Final = 1.0
"""Interval of writes that remove former holders from the record."""

WRITE_AGAIN_RETRY_SECONDS: Final = 0.5
"""Interval of attempts to write the record in a new epoch of the store."""


class PrimaryProbeResult(Record):
    """Carry the diagnosis of a primary that does not respond.

    :param reachable: whether it accepts a new connection from here.
    :param observations: probe results of other hosts.
    :param store_reachable: whether the store responds to this host.
    """

    __slots__ = ("entry", "reachable", "observations", "store_reachable")

    def __init__(
        self,
        entry: TargetAnnouncement,
        reachable: bool,
        observations: list[TargetObservation],
        store_reachable: bool,
    ) -> None:
        self.entry = entry
        self.reachable = reachable
        self.observations = observations
        self.store_reachable = store_reachable

    @property
    def reaching_host(self) -> HostRef | None:
        """Return a host that reaches the target, or None."""
        for one in self.observations:
            if one.target_reachable:
                return one.host
        return None


class PrimaryLeaseHolder(PrimaryClient):
    """Use the primary of one service, monitor it and replace it on failure.

    :param claim: names this host as the holder.
    :ivar entry_refreshed: whether the announcement of the recorded primary was read
        from the store since the lease was acquired.
    :ivar primary_unproven: whether the recorded primary may be outdated; see
        `proven_primary`.
    """

    def __init__(
        self,
        claim: HolderClaim,
        others: OtherHolders,
        promotion: PrimaryReplacement,
        ranking: LeaseHolderRanking,
        indirect_prober: IndirectProber,
        announcements: Announcements,
        states: TargetStatusClient,
        driver: SessionTargetDriver,
        phrases: StatementDialect,
        make_home: HomeFactory,
        epoch_age: EpochAge,
        challenges: LeaseChallenges,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        super().__init__(claim, states, make_home, clock, decisions)
        self.holder_claim = claim
        self.challenges = challenges
        self.epoch_age = epoch_age
        self.primary_unproven = needs_proof(claim.record)
        self.written_again_at = float("-inf")
        self.others = others
        self.promotion = promotion
        self.ranking = ranking
        self.indirect_prober = indirect_prober
        self.announcements = announcements
        self.driver = driver
        self.phrases = phrases
        self.demoted_at = float("-inf")
        self.placement_checked_at = float("-inf")
        self.forgotten_at = float("-inf")
        self.entry_refreshed = False

    def start(self) -> None:
        """Start to renew the lease and to monitor the primary."""
        self.background.spawn(self.renew())
        self.background.spawn(self.monitor_primary())
        self.background.spawn(self.others.keep_confirming())

    async def renew(self) -> None:
        """Renew the lease periodically until cancelled."""
        while True:
            await self.clock.sleep(RENEWAL_INTERVAL_SECONDS)
            await self.claim.refresh()

    async def monitor_primary(self) -> None:
        """Check the primary periodically until cancelled."""
        while True:
            if not self.draining:
                await self.follow_epoch()
            if not self.draining and self.validity.valid:
                await self.check_once()
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)

    def handle_epoch(self) -> None:
        """Prepare for a restored store; the lease was valid at the restore."""
        if self.claim.handle_epoch():
            self.primary_unproven = True
        self.others.handle_epoch()
        self.written_again_at = float("-inf")

    def handle_ended(self, incarnation: str) -> None:
        """Process the statement of a host that it has stopped for good.

        It is replaced as the backup holder, and removed as a former one, at once.
        """
        self.others.handle_ended(incarnation)
        self.placement_checked_at = self.forgotten_at = float("-inf")

    async def follow_epoch(self) -> None:
        """Write the record in the present epoch of the store, if it was not yet.

        Called between checks of the primary, so that no other write is in progress.
        """
        now = self.clock.monotonic()
        if self.claim.current or now - self.written_again_at < (
            WRITE_AGAIN_RETRY_SECONDS
        ):
            return
        self.written_again_at = now
        await self.holder_claim.write_again()

    async def check_once(self) -> None:
        """Run one check of the primary, the lease record and its holders."""
        if self.claim.successor_pending and not await self.claim.settle():
            await self.transfer_to_any()
            return
        if not self.claim.saved or await self.must_answer_challenge():
            await self.claim.write(self.record)
        if self.primary_unproven:
            await self.prove_primary()
        elif self.record.successor:
            await self.finish()
        elif self.home is None:
            await self.find_primary()
        else:
            await self.check_primary(self.home)
        await self.demote_false_primaries()
        if self.home is not None and self.ready.is_set():
            await self.check_placement(self.home)
        await self.forget_former()

    async def must_answer_challenge(self) -> bool:
        """Return whether to show by a write of the record that this host is alive.

        A host that reaches no target leaves the lease to the one that challenges it.
        """
        if not self.claim.current or not self.challenges.is_challenged(self.record):
            return False
        if self.ready.is_set():
            return True
        return bool(await self.states.all(self.states.announced(self.service)))

    # The primary in use

    async def check_primary(self, home: SessionTargetHome) -> None:
        """Check the primary in use, and replace it if necessary."""
        target = home.entry.target
        entry = self.announcements.targets.get(target)
        if self.announcements.is_leaving(target):
            await self.change("leaving", target, planned=True)
            return
        if entry is None and self.announcements.is_gone(target):
            await self.change("gone", target, planned=True)
            return
        if entry is not None and not entry.is_incarnation(home.entry.started_at_ms):
            await self.change("reborn", target, planned=False)
            return
        if self.leadership_questioned and await self.has_lost_leadership(home.entry):
            await self.change("leads no more", target, planned=False)
            return
        if self.clock.monotonic() - home.last_reply_at < PROBE_AFTER_SECONDS:
            self.mark_usable()
            return
        if not self.ready.is_set():
            await self.handle_probe_result(await self.diagnose_primary(home.entry))
            return
        await self.probe_primary(home)

    async def probe_primary(self, home: SessionTargetHome) -> None:
        """Probe an idle primary, and handle a missing reply."""
        reply_task = asyncio.ensure_future(self.is_responding(home))
        diagnosis_task: asyncio.Future[PrimaryProbeResult] | None = None
        try:
            done, _ = await asyncio.wait(
                {reply_task}, timeout=INDIRECT_PROBE_DELAY_SECONDS
            )
            if not done or not reply_task.result():
                diagnosis_task = asyncio.ensure_future(
                    self.diagnose_primary(home.entry)
                )
            if await reply_task:
                return
            self.mark_doubtful()
            assert diagnosis_task is not None
            await self.handle_probe_result(await diagnosis_task)
        finally:
            reply_task.cancel()
            if diagnosis_task is not None:
                diagnosis_task.cancel()

    async def has_lost_leadership(self, entry: TargetAnnouncement) -> bool:
        """Return whether the target reports a lost role or missing data.

        Without a reply, it is queried again at the next indication.
        """
        self.leadership_questioned = False
        status = await self.states.status(entry)
        if status is None:
            return False
        holds = (
            self.highest_answered is None or status.received >= self.highest_answered
        )
        return not (status.is_primary and holds)

    def mark_usable(self) -> None:
        """Admit statements to the primary again, unless it leaves."""
        if not self.ready.is_set() and self.accepts_new_work():
            self.decisions.record(
                "primary_usable", service=self.service, primary=self.record.primary
            )
            self.ready.set()

    async def is_responding(self, home: SessionTargetHome) -> bool:
        """Return whether the primary replies; False if all connections are in use."""
        if home.connections.exhausted():
            return False
        try:
            await home.probe_position(PROBE_TIMEOUT_SECONDS)
        except (SessionTargetNoReplyError, SessionTargetUnreachableError, RefusalError):
            home.connections.drop_idle()
            return False
        return True

    def mark_doubtful(self) -> None:
        """Hold statements back until the state of the primary is known."""
        if self.ready.is_set():
            self.doubted_at = self.clock.monotonic()
            self.ready.clear()

    async def diagnose_primary(self, entry: TargetAnnouncement) -> PrimaryProbeResult:
        """Probe the primary on a new connection and from other hosts, and the store."""
        reachable, observations, store_reachable = await asyncio.gather(
            self.states.is_reachable(entry),
            self.indirect_prober.probe(entry),
            self.claim.refresh(),
        )
        return PrimaryProbeResult(entry, reachable, observations, store_reachable)

    async def handle_probe_result(self, probe_result: PrimaryProbeResult) -> None:
        """Resume the primary, transfer the lease, or replace the primary."""
        if probe_result.reachable:
            self.mark_usable()
            return
        reaching_host = probe_result.reaching_host
        if reaching_host is not None:
            self.decisions.record(
                "primary_reached_by_other",
                service=self.service,
                primary=probe_result.entry.target,
                host=reaching_host.host,
            )
            await self.indirect_prober.transfer_lease(self.service, reaching_host)
            return
        if not probe_result.store_reachable and not await self.wait_for_store(
            probe_result
        ):
            return
        await self.change("unreachable", probe_result.entry.target, planned=False)

    async def wait_for_store(self, probe_result: PrimaryProbeResult) -> bool:
        """Transfer the lease to a host that reaches the store, or wait for the store.

        A promotion requires a write to the store. The diagnosis of the primary is
        reused after the wait, since a new one would delay the promotion.

        :returns: whether this host reaches the store and still holds the lease.
        """
        if await self.indirect_prober.transfer_lease_to_any(
            self.service, probe_result.observations
        ):
            return False
        for _ in range(MAX_STORE_CHECKS):
            await self.clock.sleep(STORE_CHECK_PAUSE_SECONDS)
            if await self.claim.refresh():
                return not self.draining
        return False

    async def prove_primary(self) -> None:
        """Use the primary that the targets prove; handle its loss after the wait.

        An inherited successor that reports and does not lead will not be promoted any
        more, since orders of an earlier epoch have ended. One that does not report may
        lead, so that it is promoted again after the wait.
        """
        if self.epoch_age.seconds() < SETTLING_SECONDS:
            return
        waited = self.others.former_expired()
        entries = self.states.known(self.service, CLAIM_WAIT_SECONDS)
        found = await self.states.all(entries)
        complete = bool(found) and len(found) == len(entries)
        proven = proven_primary(found, complete, waited)
        if self.may_lead_unseen(found):
            if waited:
                await self.claim.write(self.record.with_adopted_successor())
                self.primary_unproven = self.record.successor_inherited
            return
        if proven is not None and await self.use_if_primary(*proven):
            self.primary_unproven = False
            return
        self.decisions.record(
            "primary_unproven",
            service=self.service,
            reported=len(found),
            targets=len(entries),
            waited=waited,
        )
        leading = [report for report in found if report[1].is_primary]
        if found and waited and not leading:
            self.primary_unproven = False
        if waited:
            await self.demote_superseded(found)

    def may_lead_unseen(self, found: list[Report]) -> bool:
        """Return whether an inherited successor may lead and does not report.

        A target that leads in a later term than the recorded one was promoted after it.
        """
        record = self.record
        if not record.successor:
            return False
        return not any(
            entry.target == record.successor
            or (status.is_primary and status.term > record.term)
            for entry, status in found
        )

    async def demote_superseded(self, found: list[Report]) -> None:
        """Turn targets that lead in a lower term than any reported into replicas.

        The target that leads in the highest term may not respond; until a superseded
        one is demoted, no target is used and none is promoted.
        """
        newest = max((status.term for _, status in found), default=0)
        for entry, status in found:
            if status.is_primary and status.term < newest:
                await self.demote(entry, newest)

    async def find_primary(self) -> None:
        """Find the primary and use it, or handle its loss.

        The recorded primary is used as soon as it reports its role, without waiting
        for unreachable targets: there can be no other one, since a promotion is
        recorded before it is ordered.
        """
        known = self.states.last_entry(self.record.primary)
        survey = asyncio.ensure_future(self.survey(known))
        try:
            if known is not None:
                status, _ = await asyncio.gather(
                    self.states.status(known), self.refresh_entry(known.target)
                )
                if status is not None and await self.use_if_primary(known, status):
                    return
            await self.choose(*await survey)
        finally:
            survey.cancel()

    async def refresh_entry(self, target: str) -> None:
        """Read the announcement of the recorded primary from the store, once.

        The host that relayed announcements to this one may be the lost holder, so that
        a restart of the primary is not known here yet.
        """
        if self.entry_refreshed:
            return
        self.entry_refreshed = True
        key = self.announcements.parser.target_key(target)
        try:
            item = await self.claim.keyspace.get(key, ENTRY_TIMEOUT_SECONDS)
        except KeyValueStoreError as error:
            self.decisions.record(
                "entry_not_refreshed", target=target, error=str(error)
            )
            return
        if item is not None:
            self.announcements.try_process_item(item)

    async def survey(
        self, known: TargetAnnouncement | None
    ) -> tuple[
        list[tuple[TargetAnnouncement, SessionTargetStatus]], PrimaryProbeResult | None
    ]:
        """Query all targets of the service, and diagnose the known primary."""
        entries = self.states.announced(self.service)
        if known is None:
            return await self.states.all(entries), None
        if known not in entries:
            entries.append(known)
        return await asyncio.gather(
            self.states.all(entries), self.diagnose_primary(known)
        )

    async def choose(
        self,
        found: list[tuple[TargetAnnouncement, SessionTargetStatus]],
        probe_result: PrimaryProbeResult | None,
    ) -> None:
        """Use the target that is primary, or handle a primary that does not reply."""
        primaries = [pair for pair in found if pair[1].is_primary]
        if primaries:
            entry, status = max(primaries, key=lambda pair: pair[1].term)
            if await self.use_if_primary(entry, status):
                return
        if probe_result is None:
            await self.replace_unknown()
            return
        self.mark_doubtful()
        if any(entry.target == probe_result.entry.target for entry, _ in found):
            # It replies but is not primary. No other target was promoted, so its
            # process has restarted without data.
            await self.change("leads no more", probe_result.entry.target, planned=False)
            return
        await self.handle_probe_result(probe_result)

    async def replace_unknown(self) -> None:
        """Replace a recorded primary that had left before this host started."""
        target = self.record.primary
        if target and self.announcements.is_gone(target):
            await self.change("gone", target, planned=False)

    async def use_if_primary(
        self, entry: TargetAnnouncement, status: SessionTargetStatus
    ) -> bool:
        """Use a target if it is the primary of the current term.

        A restarted process of a target is not used by its former announcement, nor as
        the recorded primary. One that leaves is replaced at once, rather than with the
        next check.

        :returns: whether it is used, or was replaced.
        """
        record = self.record
        if not status.is_primary or status.term < record.term:
            return False
        latest = self.states.last_entry(entry.target) or entry
        if not latest.is_incarnation(entry.started_at_ms):
            return False
        if entry.target == record.primary and not entry.is_incarnation(
            record.primary_started_at_ms
        ):
            return False
        if not await self.record_and_use(entry, status):
            return False
        if self.home is not None and not self.ready.is_set():
            await self.check_primary(self.home)
        return True

    async def record_and_use(
        self, entry: TargetAnnouncement, status: SessionTargetStatus
    ) -> bool:
        """Record a target as the primary if necessary, and use it.

        While the stored record may name a successor, no target is used: whoever claims
        the lease may promote that one at once.

        :returns: whether it is used.
        """
        record = self.record.with_primary(entry, status.term)
        if record != self.record and not await self.claim.write(record):
            if self.record.successor or self.claim.successor_pending:
                return False
            # `check_once` writes it.
            self.claim.set_unsaved(self.record.with_primary(entry, status.term))
        self.use_primary(entry, status)
        return True

    # Change of primary

    async def change(self, cause: str, old: str, planned: bool) -> None:
        """Replace the primary.

        :param cause: recorded with the decision.
        :param old: the target that is replaced.
        :param planned: whether the old primary still serves and is drained first.
        """
        self.ready.clear()
        if not await self.claim.settle():
            return
        if planned and self.home is not None:
            await self.until_quiet(self.home, DRAIN_TIMEOUT_SECONDS)
        if await self.promotion.decide_successor(
            cause, old, planned, self.highest_position, self.close_home
        ):
            await self.finish()

    async def close_home(self) -> None:
        """Stop using the primary; statements in progress get no reply."""
        self.ready.clear()
        home, self.home = self.home, None
        if home is not None:
            # Reads in progress are retried; the outcome of writes remains unknown.
            await home.close()

    def expects_primary(self) -> bool:
        if self.seconds_blocked() > PRIMARY_WAIT_LIMIT_SECONDS:
            return False
        return bool(self.record.successor) or super().expects_primary()

    def retry_ms(self) -> int:
        blocked = self.seconds_blocked()
        if blocked <= PRIMARY_WAIT_LIMIT_SECONDS:
            return super().retry_ms()
        return min(round(blocked * 1000.0), MAX_BLOCKED_RETRY_MS)

    def seconds_blocked(self) -> float:
        """Return how long a change of primary has to wait for former holders."""
        if self.ready.is_set() or self.record.successor or not self.others.awaited:
            return 0.0
        return self.others.former_wait().seconds

    async def finish(self) -> None:
        """Order the recorded promotion, and use the new primary."""
        await self.close_home()
        promoted = await self.promotion.execute(lambda: not self.draining)
        if promoted is None:
            if not await self.claim.refresh():
                await self.transfer_to_any()
            return
        self.use_primary(promoted.entry, promoted.status)
        # If this write fails, `check_once` repeats it.
        await self.claim.write(self.record)

    async def transfer_to_any(self) -> None:
        """Transfer the lease to a host that reaches the store.

        For a change of primary that needs the store, which does not respond here. This
        host uses no target meanwhile, so that whoever claims the lease may act by the
        record that the store holds.
        """
        entry = self.states.last_entry(self.record.primary)
        if entry is None or self.draining:
            return
        observations = await self.indirect_prober.probe(entry)
        await self.indirect_prober.transfer_lease_to_any(self.service, observations)

    async def demote_false_primaries(self) -> None:
        """Demote targets that wrongly claim to be primary."""
        now = self.clock.monotonic()
        if now - self.demoted_at < DEMOTE_INTERVAL_SECONDS or not self.ready.is_set():
            return
        self.demoted_at = now
        for entry in self.states.announced(self.service):
            if entry.claims_primary and entry.target != self.record.primary:
                await self.demote(entry, self.record.term)

    async def demote(self, entry: TargetAnnouncement, term: int) -> None:
        """Turn a former primary into a replica.

        :param term: term of the present primary.
        """
        try:
            connection = await self.driver.connect(entry, STATUS_TIMEOUT_SECONDS)
        except SessionTargetUnreachableError:
            return
        query = TargetQuery("", self.phrases.demote(term))
        try:
            (reply,) = await connection.exchange([query], STATUS_TIMEOUT_SECONDS)
            self.decisions.record(
                "demoted", target=entry.target, fault=reply.fault.value
            )
        except SessionTargetNoReplyError as error:
            self.decisions.record(
                "demote_unanswered", target=entry.target, error=str(error)
            )
        finally:
            connection.close()

    async def forget_former(self) -> None:
        """Remove former holders from the record, unless a change is in progress."""
        now = self.clock.monotonic()
        if self.record.successor or not self.announcements.store_reached:
            return
        if now - self.forgotten_at < FORGET_INTERVAL_SECONDS:
            return
        self.forgotten_at = now
        await self.others.forget_former()

    # Placement of the lease

    async def check_placement(self, home: SessionTargetHome) -> None:
        """Transfer the lease to a better placed host, or update the backup holder."""
        backup_holder = self.record.backup_holder
        if backup_holder is not None:
            self.others.failure_detector.probe_if_due(backup_holder.ref)
        now = self.clock.monotonic()
        if now - self.placement_checked_at < PLACEMENT_INTERVAL_SECONDS:
            return
        self.placement_checked_at = now
        if not await self.claim.settle():
            return
        better = self.ranking.better_holder(self.service, home.entry)
        if better is not None and await self.indirect_prober.transfer_lease(
            self.service, better, self.others.former_wait()
        ):
            self.decisions.record(
                "lease_transferred", service=self.service, to=better.host
            )
            return
        await self.others.update_backup_holder(home)


def needs_proof(record: PrimaryLeaseRecord) -> bool:
    """Return whether the primary of a claimed record may be outdated.

    A successor that was recorded in the present epoch is promoted as ever: its order
    may be in flight, so that what targets report proves nothing.
    """
    if record.epoch == 0 or record.former_complete:
        return False
    return not record.successor or record.successor_inherited
