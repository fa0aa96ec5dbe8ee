"""When and by whom a change of primary is tried, and how often."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final, TypeAlias

from logbook import Logger

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, Role
from ...directory import Directory
from ...metrics import Metrics
from ...record import Record
from ...request.refusal import RefusalError
from ..events.timeline import EventKind, Timeline
from .control import Control, Controller, Op
from .knowledge import Knowledge
from .promotion import STEP_TIMEOUT, Promoted, Promotion, PromotionFailed
from .suspicion import Cause

STAGGER: Final = 0.1
RAISE_PATIENCE: Final = 0.3
PATIENCE_STEP: Final = 0.02
LAST_CHANCE: Final = 0.02
BACKOFF: Final = 0.03
BACKOFF_LIMIT: Final = 1.0
NONCE_BITS: Final = 48

log = Logger("promotion")


class Outcome(Record):
    """Name the primary that a change of primary brought."""

    __slots__ = ("group", "term", "primary")

    def __init__(self, group: str, term: int, primary: str) -> None:
        self.group = group
        self.term = term
        self.primary = primary


OutcomeCallback: TypeAlias = Callable[[Outcome], None]


class Survey(Record):
    """Carry the states that the members gave just now."""

    __slots__ = ("states",)

    def __init__(self, states: dict[str, MemberState]) -> None:
        self.states = states

    @property
    def promised(self) -> int:
        """Return the highest promise among the answers."""
        return max((state.promised for state in self.states.values()), default=0)

    def leads(self, member: str | None) -> bool:
        """Say whether `member` answered as a primary that nobody has fenced."""
        state = self.states.get(member or "")
        return (
            state is not None
            and state.role is Role.PRIMARY
            and state.leader_term == self.promised
        )


class Coordinator:
    """Carry out changes of primary for one group, one at a time.

    :ivar cut_off: whether the last survey reached no majority of the members.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        controller: Controller,
        homes: Callable[[], Iterable[Home]],
        directory: Directory,
        clock: Clock,
        random: Random,
        timeline: Timeline,
        metrics: Metrics,
        on_outcome: OutcomeCallback,
    ) -> None:
        self.knowledge = knowledge
        self.controller = controller
        self.homes = homes
        self.directory = directory
        self.clock = clock
        self.random = random
        self.timeline = timeline
        self.metrics = metrics
        self.on_outcome = on_outcome
        self.attempts = 0
        self.own_term = 0
        self.last_failure: tuple[Cause, str, str] | None = None
        self.followers: list[Promotion] = []
        self.cut_off = False
        self.asking: set[asyncio.Task[None]] = set()

    async def change(self, cause: Cause, suspicion: float) -> bool:
        """Try once to bring about a new primary.

        :param suspicion: seconds from the first sign to the decision.
        :returns: whether a leader of a new term is known.
        """
        term = self.knowledge.term
        former = self.knowledge.primary
        await self.clock.sleep(self.rank(cause, former) * STAGGER)
        if await self.overtaken(term):
            return True
        grace = LAST_CHANCE if cause is Cause.SILENT else 0.0
        survey = await self.survey(avoided(cause, former), grace)
        healed = self.cut_off and self.reaches_majority(survey)
        self.cut_off = not self.reaches_majority(survey)
        if self.settled(term, former, survey, cause) or await self.overtaken(term):
            return True
        if healed:
            # What was found of the primary is from before the cut healed. To ask
            # anew takes 0.1 s; a promotion that nobody needs stops writes for 0.2.
            return False
        if self.cut_off:
            self.attempts += 1
            self.failed(cause, "survey", f"{len(survey.states)} members answered")
            await self.back_off()
            return False
        return await self.attempt(cause, former, suspicion)

    def reaches_majority(self, survey: Survey) -> bool:
        """Say whether most members have answered."""
        return len(survey.states) >= self.knowledge.group.majority

    def rank(self, cause: Cause, former: str | None) -> int:
        """Return how many other hosts should try before this one.

        The order must be the same on all hosts, and what they know of held
        positions differs just after a write. So it is by name, and each term
        begins at another member. The home of a lost target knows first, and
        needs no delay.
        """
        local = {home.member.member for home in self.homes()}
        if cause is Cause.PLANNED or (former in local and cause is Cause.TARGET_LOST):
            return 0
        ranked = self.ranked(former)
        places = [place for place, member in enumerate(ranked) if member in local]
        first = places[0] if places else len(ranked)
        return first + 1 if cause is Cause.TARGET_LOST else first

    def ranked(self, former: str | None) -> list[str]:
        """Return the members but `former` in the order of this term."""
        members = sorted(one.member for one in self.knowledge.group.members)
        turn = self.knowledge.term % len(members)
        return [one for one in members[turn:] + members[:turn] if one != former]

    async def overtaken(self, term: int) -> bool:
        """Wait a little if somebody else has begun; return whether it ended."""
        waited = 0.0
        own = max(term, self.own_term)
        while self.knowledge.promised > own and waited < RAISE_PATIENCE:
            if self.knowledge.term > term:
                return True
            await self.clock.sleep(PATIENCE_STEP)
            waited += PATIENCE_STEP
        return self.knowledge.term > term

    async def survey(self, absent: frozenset[str], grace: float = 0.0) -> Survey:
        """Ask all members for their states before anybody is fenced.

        A host that reaches no majority must not raise the terms of a few.

        :param absent: members whose answer is not waited for.
        :param grace: seconds that they get all the same once the others are in.
        """
        states: dict[str, MemberState] = {}
        members = [one.member for one in self.knowledge.group.members]
        asking = {
            member: asyncio.create_task(self.ask(member, states)) for member in members
        }
        for task in asking.values():
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)
        await asyncio.wait([asking[one] for one in members if one not in absent])
        late = [asking[one] for one in absent if not asking[one].done()]
        if late and grace:
            await asyncio.wait(late, timeout=grace)
        return Survey(dict(states))

    async def ask(self, member: str, states: dict[str, MemberState]) -> None:
        """Ask one member and learn from its answer."""
        asked = self.clock.monotonic()
        order = Control(member, Op.STATE)
        try:
            state = await self.controller.control(order, STEP_TIMEOUT)
        except RefusalError:
            return
        states[member] = state
        self.knowledge.absorb(state, asked)

    def settled(
        self, term: int, former: str | None, survey: Survey, cause: Cause
    ) -> bool:
        """Say whether the survey shows that no change is needed."""
        if self.knowledge.term > term and self.knowledge.primary is not None:
            return True
        if cause in (Cause.PLANNED, Cause.HOMELESS):
            return False
        leader = self.knowledge.primary
        return leader is not None and survey.leads(leader)

    async def attempt(self, cause: Cause, former: str | None, suspicion: float) -> bool:
        """Raise, promote, tell the others; return whether it went well."""
        promotion = self.promotion(cause, former)
        self.own_term = promotion.term
        self.attempts += 1
        try:
            promoted = await promotion.run()
        except PromotionFailed as failure:
            promised = max(self.knowledge.promised, failure.promised)
            self.knowledge.promised = promised
            self.failed(cause, failure.step, failure.detail, term=promotion.term)
            await self.back_off()
            return self.knowledge.term >= promotion.term
        self.attempts = 0
        self.last_failure = None
        self.followers = [promotion]
        self.announce(cause, former, promoted, suspicion)
        return True

    def promotion(self, cause: Cause, former: str | None) -> Promotion:
        """Make an attempt with a term and an owner of its own."""
        term = self.next_term()
        nonce = self.random.getrandbits(NONCE_BITS)
        owner = f"{self.directory.me.host}.{nonce:x}"
        return Promotion(
            self.knowledge.group,
            self.controller,
            self.clock,
            term,
            owner,
            preferred=former if cause is Cause.FENCED else None,
            avoided=avoided(cause, former),
            on_raised=self.raised,
        )

    def next_term(self) -> int:
        """Return the term of the next attempt.

        After a failure, coordinators take terms of different remainders, so
        that of two at once the higher term wins all members and only the
        other fails.
        """
        lowest = max(self.knowledge.promised, self.knowledge.term) + 1
        if self.attempts == 0:
            return lowest
        members = sorted(one.member for one in self.knowledge.group.members)
        local = {home.member.member for home in self.homes()}
        places = [place for place, one in enumerate(members) if one in local]
        own = places[0] if places else 0
        return lowest + (own - lowest) % len(members)

    def raised(self, term: int, members: list[str]) -> None:
        """Record that a majority has promised."""
        self.timeline.record(
            EventKind.TERM_RAISED,
            self.knowledge.group.name,
            term=term,
            members=members,
        )

    def announce(
        self, cause: Cause, former: str | None, promoted: Promoted, suspicion: float
    ) -> None:
        """Make the outcome known on this host."""
        group = self.knowledge.group.name
        self.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            group,
            term=promoted.term,
            primary=promoted.primary,
            former=former,
            cause=cause.value,
            suspicion_ms=milliseconds(suspicion),
            agreement_ms=milliseconds(promoted.agreement),
            promotion_ms=milliseconds(promoted.promotion),
        )
        self.metrics.increment("primary.promoted")
        self.metrics.timing("primary.suspicion", suspicion)
        self.metrics.timing("primary.agreement", promoted.agreement)
        self.metrics.timing("primary.promotion", promoted.promotion)
        log.notice(f"{group}: {promoted.primary} leads in term {promoted.term}")
        self.knowledge.lead(promoted.term, promoted.primary)
        self.on_outcome(Outcome(group, promoted.term, promoted.primary))

    def failed(
        self, cause: Cause, step: str, detail: str, term: int | None = None
    ) -> None:
        """Count an attempt that came to nothing; record it once while it repeats."""
        self.metrics.increment("primary.attempt_failed")
        failure = (cause, step, detail)
        if failure == self.last_failure:
            return
        self.last_failure = failure
        self.timeline.record(
            EventKind.PROMOTION_FAILED,
            self.knowledge.group.name,
            cause=cause.value,
            step=step,
            reason=detail,
            term=term,
        )

    async def back_off(self) -> None:
        """Wait longer after each failure, with jitter, lest two keep clashing."""
        limit = min(BACKOFF * 2.0**self.attempts, BACKOFF_LIMIT)
        await self.clock.sleep(limit * (0.5 + self.random.random()))


def avoided(cause: Cause, former: str | None) -> frozenset[str]:
    """Return the members that the cause speaks against."""
    if former is None or cause in (Cause.FENCED, Cause.LEADERLESS):
        return frozenset()
    return frozenset({former})


def milliseconds(seconds: float) -> float:
    """Return `seconds` in milliseconds, rounded for people."""
    return round(seconds * 1000, 2)
