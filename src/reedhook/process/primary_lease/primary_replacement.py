"""Replacement of a primary: choose a successor, record it, then promote it."""

from collections.abc import Awaitable, Callable
from typing import Final

from ...clock import Clock
from ...connection.session_target import SessionTargetStatus
from ...decision_log import DecisionLog
from ...record import Record
from ...request.position import ORIGIN, Position
from ...version.route_table import TargetAnnouncement
from .lease_claim import LeaseClaim
from .other_holders import OtherHolders
from .promotion_attempt import PromotionAttempt, attempt_for
from .promotion_coordinator import OrderOutcome, PromotionCoordinator
from .successor_choice import TargetReport, TargetSurvey
from .target_status import TargetStatusClient

CATCH_UP_TIMEOUT_SECONDS: Final = 2.0
"""Time that a planned change waits for a replica to catch up."""

LEADING_TIMEOUT_SECONDS: Final = 3.0
"""Timeout for an ordered promotion to take effect."""

CATCH_UP_POLL_SECONDS: Final = 0.05

SLOW_STATUS_TIMEOUT_SECONDS: Final = 2.5
"""Timeout of a status without which no successor can be chosen."""

LEADING_POLL_SECONDS: Final = 0.02
"""Short, since all writes of the service wait for the promotion."""


class LeadingTarget(Record):
    """Carry a promoted target with its status."""

    __slots__ = ("entry", "status")

    def __init__(self, entry: TargetAnnouncement, status: SessionTargetStatus) -> None:
        self.entry = entry
        self.status = status


class PrimaryReplacement:
    """Replace the primary of one service."""

    def __init__(
        self,
        claim: LeaseClaim,
        others: OtherHolders,
        states: TargetStatusClient,
        coordinator: PromotionCoordinator,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.claim = claim
        self.service = claim.service
        self.others = others
        self.states = states
        self.coordinator = coordinator
        self.clock = clock
        self.decisions = decisions
        self.attempt: PromotionAttempt | None = None

    async def decide_successor(
        self,
        cause: str,
        old: str,
        planned: bool,
        highest_position: Position | None,
        stop_use: Callable[[], Awaitable[None]],
    ) -> bool:
        """Choose a successor and record it; return whether it is stored.

        A planned change waits for a replica to catch up, so that no commit is lost.

        :param cause: recorded with the decision.
        :param old: the target that is replaced.
        :param planned: whether the primary still serves.
        :param highest_position: highest known position of the primary.
        :param stop_use: stops this host's use of the primary. Called before the record
            is written: another host that claims the lease promotes the successor at
            once, even while this host does not know whether its write took effect.
        """
        epoch = self.claim.record.epoch
        if not self.claim.current or not await self.others.stop_all():
            return False
        sync_replicas = self.states.announcements.sync_replicas(self.service)
        if sync_replicas and not planned:
            # A commit that is acknowledged after the choice may be at another target.
            await stop_use()
        successor = await self.choose_successor(old, planned, highest_position)
        if successor is not None:
            await stop_use()
            if sync_replicas and planned:
                successor = await self.choose_successor(old, planned, highest_position)
        if successor is None:
            self.decisions.record(
                "primary_change_cancelled", service=self.service, cause=cause
            )
            return False
        if self.claim.record.epoch != epoch:
            # The record was written again meanwhile, so that the others may act anew.
            return False
        self.decisions.record(
            "primary_change",
            service=self.service,
            cause=cause,
            primary=old,
            successor=successor.target,
            former=[one.ref.host for one in self.claim.record.former],
            former_expired=self.others.former_expired(),
        )
        return await self.claim.write(self.claim.record.with_successor(successor))

    async def choose_successor(
        self, old: str, planned: bool, highest_position: Position | None
    ) -> TargetAnnouncement | None:
        """Return the responding target with the highest position, or None.

        Without `sync_replicas`, a planned change does not wait longer than
        CATCH_UP_TIMEOUT_SECONDS, and no change waits for a target that leaves or does
        not respond.
        """
        deadline = self.clock.monotonic() + (
            CATCH_UP_TIMEOUT_SECONDS if planned else 0.0
        )
        goal = (
            await self.required_position(old, highest_position) if planned else ORIGIN
        )
        patient = False
        while True:
            survey = await self.survey(old, highest_position, patient=patient)
            chosen = survey.best(self.fitness, planned)
            if chosen is None:
                return None
            entry, status = chosen
            # What a target that still responds holds need not be lost.
            binding = planned and survey.former_position is not None
            awaited = [] if binding else survey.awaited()
            reached = status.received >= goal
            if reached and (goal.index > 0 or not awaited):
                return entry
            expired = self.clock.monotonic() >= deadline
            if expired and not awaited and not binding:
                return entry
            if expired and (patient or binding):
                self.log_awaited(awaited, entry, status)
                return None
            patient = bool(awaited)
            await self.clock.sleep(CATCH_UP_POLL_SECONDS)

    async def survey(
        self,
        excluded: str,
        highest_position: Position | None,
        leaving: bool = False,
        patient: bool = False,
    ) -> TargetSurvey:
        """Query the targets that may be promoted, and with `sync_replicas` all others.

        :param excluded: the target that is to be replaced.
        :param leaving: whether targets that leave are queried in any case.
        :param patient: whether to wait for slow responses.
        """
        announcements = self.states.announcements
        sync_replicas = announcements.sync_replicas(self.service)
        if not sync_replicas:
            entries = [
                one
                for one in self.states.announced(self.service)
                if one.target != excluded and (leaving or not one.leaving)
            ]
            found = await self.states.all(entries)
            return TargetSurvey(found, without(entries, found))
        entries = self.states.running(self.service)
        found = await self.states.all(entries)
        silent = without(entries, found)
        if patient and silent:
            found += await self.states.all(silent, SLOW_STATUS_TIMEOUT_SECONDS)
            silent = without(entries, found)
        positions = {entry.target: status.received for entry, status in found}
        return TargetSurvey(
            [report for report in found if report[0].target != excluded],
            [one for one in silent if one.target != excluded],
            next((one for one in silent if one.target == excluded), None),
            positions.get(excluded),
            sync_replicas,
            self.claim.record.term,
            highest_position,
            frozenset(announcements.restarted),
        )

    def log_awaited(
        self,
        awaited: list[TargetAnnouncement],
        entry: TargetAnnouncement,
        status: SessionTargetStatus,
    ) -> None:
        """Record for which targets a promotion waits, and what the others hold.

        Without any, it waits for a replica to receive what the former primary holds.
        """
        self.decisions.record(
            "successor_awaits",
            service=self.service,
            awaited=[one.target for one in awaited],
            best=entry.target,
            received=status.received.to_json(),
        )

    async def required_position(
        self, old: str, highest_position: Position | None
    ) -> Position:
        """Return the position that a successor must reach, as far as known."""
        entry = self.states.last_entry(old)
        status = None if entry is None else await self.states.status(entry)
        if status is not None:
            return status.received
        return ORIGIN if highest_position is None else highest_position

    def fitness(self, report: TargetReport) -> tuple[Position, bool]:
        """Return the sort key of a candidate; the highest one is preferred.

        Among equal positions, a target outside the holder's availability zone is
        preferred: the loss of one zone then takes the primary or its holder, not both.
        """
        entry, status = report
        return status.received, entry.zone != self.claim.me.ref.zone

    async def execute(
        self, should_continue: Callable[[], bool]
    ) -> LeadingTarget | None:
        """Order the promotion of the recorded successor, and wait for it.

        :param should_continue: whether to keep waiting.
        :returns: None if it is not primary yet; the caller retries.
        """
        if not self.claim.current:
            # Another host may claim the lease in the present epoch of the store.
            return None
        target = self.claim.record.successor
        entry = self.states.last_entry(target)
        if entry is not None and not entry.is_incarnation(
            self.claim.record.successor_started_at_ms
        ):
            # It has restarted and lost the data for which it was chosen.
            self.decisions.record(
                "successor_restarted", target=target, born=entry.started_at_ms
            )
            await self.choose_again()
            return None
        attempt = await self.current_attempt(entry)
        if attempt.is_overdue(self.clock.monotonic()) and await self.choose_again():
            return None
        outcome = await self.coordinator.order(
            self.service, target, self.claim.record.epoch
        )
        if outcome is OrderOutcome.NOT_RUNNING:
            await self.choose_again()
            return None
        if outcome is OrderOutcome.DONE:
            attempt.note_ordered(self.clock.monotonic())
        if entry is None:
            # The promotion may have taken effect, so no other target is chosen.
            self.decisions.record("successor_unknown", target=target)
            return None
        deadline = self.clock.monotonic() + LEADING_TIMEOUT_SECONDS
        while self.clock.monotonic() < deadline and should_continue():
            requested_at = self.clock.monotonic()
            status = await self.states.status(entry)
            if status is not None and attempt.leads(status, requested_at):
                return self.record_promoted(entry, status)
            if outcome is OrderOutcome.UNANSWERED:
                return None
            await self.clock.sleep(LEADING_POLL_SECONDS)
        return None

    async def current_attempt(
        self, entry: TargetAnnouncement | None
    ) -> PromotionAttempt:
        """Return the attempt to promote the recorded successor.

        :param entry: announcement of the successor; None if it never had one.
        """
        if self.attempt is None or not self.attempt.concerns(self.claim.record):
            self.attempt = attempt_for(self.claim.record)
            if self.attempt.contested and entry is not None:
                status = await self.states.status(entry)
                if status is not None:
                    self.attempt.note_before(status)
        return self.attempt

    async def choose_again(self) -> bool:
        """Record another successor if the recorded one does not run or lead.

        A former holder may have seen the recorded one lead, and use it.

        :returns: whether it is stored.
        """
        if not await self.others.stop_all():
            return False
        record = self.claim.record
        survey = await self.survey(record.successor, None, leaving=True)
        if survey.awaited():
            survey = await self.survey(
                record.successor, None, leaving=True, patient=True
            )
        chosen = survey.best(self.fitness)
        if chosen is None:
            return False
        entry, status = chosen
        if awaited := survey.awaited():
            self.log_awaited(awaited, entry, status)
            return False
        self.decisions.record(
            "successor_replaced",
            service=self.service,
            successor=record.successor,
            chosen=entry.target,
        )
        return await self.claim.write(record.with_successor(entry))

    def record_promoted(
        self, entry: TargetAnnouncement, status: SessionTargetStatus
    ) -> LeadingTarget:
        """Set the new primary in the record, which is still to be written."""
        self.decisions.record(
            "primary_promoted",
            service=self.service,
            primary=entry.target,
            term=status.term,
            received=status.received.to_json(),
        )
        self.claim.set_unsaved(self.claim.record.with_primary(entry, status.term))
        return LeadingTarget(entry, status)


def without(
    entries: list[TargetAnnouncement], found: list[TargetReport]
) -> list[TargetAnnouncement]:
    """Return the targets that have not responded."""
    responded = {entry.target for entry, _ in found}
    return [one for one in entries if one.target not in responded]
