"""The lead of one service as this host holds it: the only user of its primary."""

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
from .holder_ranking import LeaseHolderRanking
from .indirect_prober import IndirectProber, TargetObservation
from .lease_claim import LeaseClaim
from .lease_validity import RENEWAL_INTERVAL_SECONDS
from .other_holders import OtherHolders
from .primary_client import PROBE_TIMEOUT_SECONDS, HomeFactory, PrimaryClient
from .primary_replacement import PrimaryReplacement
from .target_status import STATUS_TIMEOUT_SECONDS, TargetStatusClient

CHECK_INTERVAL_SECONDS: Final = 0.1
"""Seconds between two looks at the primary."""

PROBE_AFTER_SECONDS: Final = 0.2
"""Seconds without an answer after which the primary is asked for one; the
longest usual statements take 110 ms."""

INDIRECT_PROBE_DELAY_SECONDS: Final = 0.1
"""Seconds without that answer after which others are asked, too, while it is waited
for. Both together bring the next primary 0.2 s sooner; in a cut zone writes waited
1.4 s for it. Nothing is decided on less evidence."""

GONE_AFTER_SECONDS: Final = 3.0
"""Seconds after which a target that announces itself no more counts as gone,
while the store answers; entries that lapsed with the store are back in 2 s."""

DRAIN_TIMEOUT_SECONDS: Final = 1.5
"""Seconds for which a planned change lets open transactions end."""

MAX_STORE_CHECKS: Final = 3
STORE_CHECK_PAUSE_SECONDS: Final = 0.15
"""Looks at a store that gave no answer, and seconds before each, until a primary
in doubt is asked for again; a store that is busy refuses in 4 ms."""

DEMOTE_INTERVAL_SECONDS: Final = 1.0
"""Seconds between two orders to a target that wrongly believes to lead."""

PLACEMENT_INTERVAL_SECONDS: Final = 2.0
"""Seconds between two changes of the deputy, each one write."""


class PrimaryProbeResult(Record):
    """Carry what is known of a primary that gives no answer.

    :param reachable: whether it accepts a new connection from here.
    :param observations: what other hosts say of it.
    :param store_reachable: whether the store answers this host.
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
    """Use the primary of one service, watch over it and have it replaced.

    :param claim: names this host as the holder.
    """

    def __init__(
        self,
        claim: LeaseClaim,
        others: OtherHolders,
        promotion: PrimaryReplacement,
        ranking: LeaseHolderRanking,
        indirect_prober: IndirectProber,
        announcements: Announcements,
        states: TargetStatusClient,
        driver: SessionTargetDriver,
        phrases: StatementDialect,
        make_home: HomeFactory,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        super().__init__(claim, states, make_home, clock, decisions)
        self.others = others
        self.promotion = promotion
        self.ranking = ranking
        self.indirect_prober = indirect_prober
        self.announcements = announcements
        self.driver = driver
        self.phrases = phrases
        self.demoted_at = float("-inf")
        self.deputized_at = float("-inf")

    def start(self) -> None:
        """Begin to renew the permission and to look after the primary."""
        self.background.spawn(self.renew())
        self.background.spawn(self.monitor_primary())

    async def renew(self) -> None:
        """Look into the store again and again whether this host is named."""
        while True:
            await self.clock.sleep(RENEWAL_INTERVAL_SECONDS)
            await self.claim.refresh()

    async def monitor_primary(self) -> None:
        """Keep a primary in use until cancelled."""
        while True:
            if not self.draining and self.validity.valid:
                await self.check_once()
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)

    async def check_once(self) -> None:
        """Do what the state of the primary demands now."""
        if not self.claim.saved:
            await self.claim.write(self.record)
        if self.record.successor:
            await self.finish()
        elif self.home is None:
            await self.find_primary()
        else:
            await self.check_primary(self.home)
        await self.demote_false_primaries()
        if self.home is not None and self.ready.is_set():
            await self.check_placement(self.home)
            await self.others.forget_former()

    # The primary in use

    async def check_primary(self, home: SessionTargetHome) -> None:
        """Decide whether the primary is to be replaced."""
        target = home.entry.target
        entry = self.announcements.targets.get(target)
        if entry is not None and entry.leaving:
            await self.change("leaving", home.entry, planned=True)
            return
        if entry is None and self.is_gone(target):
            await self.change("gone", home.entry, planned=True)
            return
        if entry is not None and not entry.is_incarnation(home.entry.started_at_ms):
            await self.change("reborn", home.entry, planned=False)
            return
        if self.leadership_questioned and await self.has_lost_leadership(home.entry):
            await self.change("leads no more", home.entry, planned=False)
            return
        if self.clock.monotonic() - home.last_reply_at < PROBE_AFTER_SECONDS:
            self.mark_usable()
            return
        if not self.ready.is_set():
            await self.handle_probe_result(await self.diagnose_primary(home.entry))
            return
        await self.probe_primary(home)

    async def probe_primary(self, home: SessionTargetHome) -> None:
        """Ask a quiet primary for an answer, and act if none comes."""
        sighting = asyncio.ensure_future(self.is_responding(home))
        inquiry: asyncio.Future[PrimaryProbeResult] | None = None
        try:
            done, _ = await asyncio.wait(
                {sighting}, timeout=INDIRECT_PROBE_DELAY_SECONDS
            )
            if not done or not sighting.result():
                inquiry = asyncio.ensure_future(self.diagnose_primary(home.entry))
            if await sighting:
                return
            self.mark_doubtful()
            assert inquiry is not None
            await self.handle_probe_result(await inquiry)
        finally:
            sighting.cancel()
            if inquiry is not None:
                inquiry.cancel()

    async def has_lost_leadership(self, entry: TargetAnnouncement) -> bool:
        """Say whether the primary itself says that it does not lead, or holds less.

        Without an answer that is asked again at the next sign.
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
        """Let statements through to the primary."""
        if not self.ready.is_set():
            self.decisions.record(
                "primary_usable", service=self.service, primary=self.record.primary
            )
            self.ready.set()

    def is_gone(self, target: str) -> bool:
        """Say whether a target that announces itself no more has left."""
        now = self.clock.boottime()
        announced = self.announcements
        if (
            not announced.store_reached
            or now - announced.reached_since < GONE_AFTER_SECONDS
        ):
            return False
        return now - announced.missing_since.get(target, now) >= GONE_AFTER_SECONDS

    async def is_responding(self, home: SessionTargetHome) -> bool:
        """Ask the primary for a sign of life, unless all connections are in use."""
        if home.connections.exhausted():
            return False
        try:
            await home.probe_position(PROBE_TIMEOUT_SECONDS)
        except (SessionTargetNoReplyError, SessionTargetUnreachableError, RefusalError):
            home.connections.drop_idle()
            return False
        return True

    def mark_doubtful(self) -> None:
        """Let statements wait, and be refused soon, until more is known."""
        if self.ready.is_set():
            self.doubted_at = self.clock.monotonic()
            self.ready.clear()

    async def diagnose_primary(self, entry: TargetAnnouncement) -> PrimaryProbeResult:
        """Look for a target on a new connection, by others, and for the store."""
        reached, sightings, stored = await asyncio.gather(
            self.states.is_reachable(entry),
            self.indirect_prober.probe(entry),
            self.claim.refresh(),
        )
        return PrimaryProbeResult(entry, reached, sightings, stored)

    async def handle_probe_result(self, probe_result: PrimaryProbeResult) -> None:
        """Go on with a primary in doubt, pass the lead on, or replace it."""
        if probe_result.reachable:
            self.mark_usable()
            return
        witness = probe_result.reaching_host
        if witness is not None:
            self.decisions.record(
                "primary_reached_by_other",
                service=self.service,
                primary=probe_result.entry.target,
                host=witness.host,
            )
            await self.indirect_prober.transfer_lease(self.service, witness)
            return
        if not probe_result.store_reachable and not await self.wait_for_store(
            probe_result
        ):
            return
        await self.change("unreachable", probe_result.entry, planned=False)

    async def wait_for_store(self, probe_result: PrimaryProbeResult) -> bool:
        """Pass the lead on to who reaches the store; else wait for it a little.

        Without the store no promotion can be written down from here. What was
        found of the primary holds for as long: asking anew takes 0.45 s, by
        which writes would flow later once the store is back.
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

    async def find_primary(self) -> None:
        """Find out who leads, and use it; act on a primary that is not found.

        The primary in the record is used as soon as it says that it leads: no
        other can, since a promotion stands in the record before it is ordered.
        To wait for targets of a zone that is cut off would cost 0.45 s.
        """
        known = self.states.last_entry(self.record.primary)
        survey = asyncio.ensure_future(self.survey(known))
        try:
            if known is not None:
                status = await self.states.status(known)
                if status is not None and await self.use_if_leading(known, status):
                    return
            await self.choose(*await survey)
        finally:
            survey.cancel()

    async def survey(
        self, known: TargetAnnouncement | None
    ) -> tuple[
        list[tuple[TargetAnnouncement, SessionTargetStatus]], PrimaryProbeResult | None
    ]:
        """Ask all targets of the service, and others for the primary if known."""
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
        finding: PrimaryProbeResult | None,
    ) -> None:
        """Use the target that leads, or act on a primary that gives no answer."""
        leading = [pair for pair in found if pair[1].is_primary]
        if leading:
            entry, status = max(leading, key=lambda pair: pair[1].term)
            if await self.use_if_leading(entry, status):
                return
        if finding is None:
            return
        self.mark_doubtful()
        if any(entry.target == finding.entry.target for entry, _ in found):
            # It answers, and says that it does not lead: no other was promoted, so
            # that it has started again and holds nothing.
            await self.change("leads no more", finding.entry, planned=False)
            return
        await self.handle_probe_result(finding)

    async def use_if_leading(
        self, entry: TargetAnnouncement, status: SessionTargetStatus
    ) -> bool:
        """Use a target unless another one leads, or it has started again since."""
        record = self.record
        if not status.is_primary or status.term < record.term:
            return False
        if entry.target == record.primary and not entry.is_incarnation(
            record.primary_started_at_ms
        ):
            return False
        await self.established(entry, status)
        return True

    async def established(
        self, entry: TargetAnnouncement, status: SessionTargetStatus
    ) -> None:
        """Use the target that leads by its own word, of the highest term."""
        record = self.record
        stands = (record.primary, record.term, record.primary_started_at_ms)
        if stands != (entry.target, status.term, entry.started_at_ms):
            await self.claim.write(record.with_primary(entry, status.term))
        self.use_primary(entry, status)

    # Change of primary

    async def change(self, cause: str, old: TargetAnnouncement, planned: bool) -> None:
        """Have another target promoted."""
        self.ready.clear()
        if planned and self.home is not None:
            await self.until_quiet(self.home, DRAIN_TIMEOUT_SECONDS)
        if await self.promotion.decide_successor(
            cause, old, planned, self.highest_position
        ):
            await self.finish()

    def expects_primary(self) -> bool:
        return bool(self.record.successor) or super().expects_primary()

    async def finish(self) -> None:
        """Have the promotion that was decided ordered, and use the new primary."""
        self.ready.clear()
        home, self.home = self.home, None
        if home is not None:
            # Reads in progress are sent anew; writes are in doubt for good.
            await home.close()
        promoted = await self.promotion.execute(lambda: not self.draining)
        if promoted is None:
            return
        self.use_primary(promoted.entry, promoted.status)
        # The store learns of it as soon as it answers.
        await self.claim.write(self.record)

    async def demote_false_primaries(self) -> None:
        """Tell targets that wrongly believe to lead that they do not."""
        now = self.clock.monotonic()
        if now - self.demoted_at < DEMOTE_INTERVAL_SECONDS or not self.ready.is_set():
            return
        self.demoted_at = now
        for entry in self.states.announced(self.service):
            if entry.claims_primary and entry.target != self.record.primary:
                await self.demote(entry)

    async def demote(self, entry: TargetAnnouncement) -> None:
        """Make a former primary a replica."""
        try:
            connection = await self.driver.connect(entry, STATUS_TIMEOUT_SECONDS)
        except SessionTargetUnreachableError:
            return
        query = TargetQuery("", self.phrases.demote(self.record.term))
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

    # This host's place

    async def check_placement(self, home: SessionTargetHome) -> None:
        """Pass the lead on to a host that is placed better, or name a deputy."""
        deputy = self.record.backup_holder
        if deputy is not None:
            self.others.failure_detector.probe_if_due(deputy.ref)
        now = self.clock.monotonic()
        if now - self.deputized_at < PLACEMENT_INTERVAL_SECONDS:
            return
        self.deputized_at = now
        better = self.ranking.better(self.service, home.entry)
        if better is not None and await self.indirect_prober.transfer_lease(
            self.service, better, self.others.former_expired()
        ):
            self.decisions.record(
                "lead_passed_on", service=self.service, to=better.host
            )
            return
        await self.others.update_backup_holder(home)
