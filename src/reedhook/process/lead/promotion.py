"""A change of primary: who follows, written down first, ordered and awaited."""

from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...connection.member import SessionTargetStatus
from ...decisions import Decisions
from ...record import Record
from ...request.position import ORIGIN, Position
from ...version.registry import TargetEntry
from .claim import Claim
from .duty import Duty, OrderOutcome
from .others import OtherUsers
from .states import TargetStates

CATCH_UP: Final = 2.0
"""Seconds for which a planned change waits for a replica to hold everything."""

LEADING_TIMEOUT: Final = 3.0
"""Seconds in which an ordered promotion takes effect; it needs 0.3 to 0.6."""

POLL: Final = 0.05
"""Seconds between two looks at how far replicas are before a planned change."""

LEADING_POLL: Final = 0.02
"""Seconds between two questions whether an ordered promotion has taken effect, in
which all writes of the service wait. With 0.05 they wait 0.03 s longer, in the mean
of 49 simulated losses; 15 to 30 questions of under 1 KB each go to one target."""


class Promoted(Record):
    """Name a target that leads now, with its state."""

    __slots__ = ("entry", "status")

    def __init__(self, entry: TargetEntry, status: SessionTargetStatus) -> None:
        self.entry = entry
        self.status = status


class Promotion:
    """Replace the primary of one service."""

    def __init__(
        self,
        claim: Claim,
        others: OtherUsers,
        states: TargetStates,
        duty: Duty,
        clock: Clock,
        decisions: Decisions,
    ) -> None:
        self.claim = claim
        self.service = claim.service
        self.others = others
        self.states = states
        self.duty = duty
        self.clock = clock
        self.decisions = decisions

    async def decide(
        self, cause: str, old: TargetEntry, planned: bool, top: Position | None
    ) -> bool:
        """Choose a successor and write it down; return whether that was done.

        Nothing is lost by a planned change: a replica holds everything first.

        :param planned: whether the primary still serves.
        :param top: the highest position that the primary has answered with.
        """
        if not await self.others.stopped():
            return False
        successor = await self.successor(old, planned, top)
        if successor is None:
            self.decisions.note("no_change", service=self.service, cause=cause)
            return False
        self.decisions.note(
            "primary_change",
            service=self.service,
            cause=cause,
            primary=old.target,
            successor=successor.target,
        )
        return await self.claim.write(self.claim.record.with_successor(successor))

    async def successor(
        self, old: TargetEntry, planned: bool, top: Position | None
    ) -> TargetEntry | None:
        """Return the target that holds the most of those that answer.

        One that holds nothing has started again; it is left out unless all answer
        and none holds more, since what was acknowledged may be at the others.
        """
        deadline = self.clock.monotonic() + (CATCH_UP if planned else 0.0)
        goal = await self.goal(old, top) if planned else ORIGIN
        while True:
            others = [
                one
                for one in self.states.announced(self.service)
                if one.target != old.target and not one.leaving
            ]
            found = await self.states.all(others)
            complete = len(found) == len(others)
            if not found or not (complete or any(map(holds_something, found))):
                return None
            entry, status = max(found, key=self.fitness)
            if status.received >= goal or self.clock.monotonic() >= deadline:
                return entry
            await self.clock.sleep(POLL)

    async def goal(self, old: TargetEntry, top: Position | None) -> Position:
        """Return what a successor must hold, as far as it can be known."""
        status = await self.states.status(old)
        if status is not None:
            return status.received
        return ORIGIN if top is None else top

    def fitness(
        self, pair: tuple[TargetEntry, SessionTargetStatus]
    ) -> tuple[Position, bool]:
        """Return the order in which targets are preferred as primary.

        A primary in another availability zone than its user can be told from
        a cut-off zone, and replaced, by whichever side lives on.
        """
        entry, status = pair
        return status.received, entry.zone != self.claim.me.ref.zone

    async def carry_out(self, wanted: Callable[[], bool]) -> Promoted | None:
        """Have the successor that is written down ordered, and wait for it.

        :param wanted: whether to go on waiting.
        :returns: None while it does not lead; to be tried again then.
        """
        target = self.claim.record.successor
        entry = self.states.known(target)
        if entry is not None and not entry.is_life(self.claim.record.successor_born):
            # It holds nothing by now, and was chosen since it held the most.
            self.decisions.note("successor_reborn", target=target, born=entry.born)
            await self.choose_again()
            return None
        outcome = await self.duty.order(self.service, target)
        if outcome is OrderOutcome.NOT_RUNNING:
            await self.choose_again()
            return None
        if entry is None:
            # The order may have taken effect; another target would be wrong.
            self.decisions.note("successor_unknown", target=target)
            return None
        deadline = self.clock.monotonic() + LEADING_TIMEOUT
        while self.clock.monotonic() < deadline and wanted():
            status = await self.states.status(entry)
            if status is not None and status.is_primary:
                return self.promoted(entry, status)
            if outcome is OrderOutcome.UNANSWERED:
                return None
            await self.clock.sleep(LEADING_POLL)
        return None

    async def choose_again(self) -> None:
        """Decide on another target after one that was found not to run."""
        record = self.claim.record
        found = await self.states.all(self.states.announced(self.service))
        usable = [pair for pair in found if pair[0].target != record.successor]
        if not usable:
            return
        entry, _ = max(usable, key=self.fitness)
        await self.claim.write(record.with_successor(entry))

    def promoted(self, entry: TargetEntry, status: SessionTargetStatus) -> Promoted:
        """Take note of the new primary; it is yet to be written down."""
        self.decisions.note(
            "primary_promoted",
            service=self.service,
            primary=entry.target,
            term=status.term,
            received=status.received.to_json(),
        )
        self.claim.unsaved(self.claim.record.with_primary(entry, status.term))
        return Promoted(entry, status)


def holds_something(pair: tuple[TargetEntry, SessionTargetStatus]) -> bool:
    """Say whether anything was ever committed in the log of a target."""
    return pair[1].received.index > 0
