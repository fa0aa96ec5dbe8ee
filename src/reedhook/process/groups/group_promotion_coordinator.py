"""When and by whom a change of primary is tried, and how often."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final, TypeAlias

from logbook import Logger

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import MemberState, Role
from ...host_directory import HostDirectory
from ...metrics import Metrics
from ...record import Record
from ...request.refusal import RefusalError
from ..events.timeline import EventKind, Timeline
from .group_promotion import (
    STEP_TIMEOUT_SECONDS,
    GroupPromotion,
    GroupPromotionError,
    GroupPromotionResult,
)
from .group_state import GroupState
from .member_control import ControlOperation, MemberController, MemberControlRequest
from .primary_prober import PromotionCause

DELAY_PER_RANK_SECONDS: Final = 0.1
OTHER_COORDINATOR_WAIT_SECONDS: Final = 0.3
TERM_POLL_INTERVAL_SECONDS: Final = 0.02
SILENT_PRIMARY_GRACE_SECONDS: Final = 0.02
INITIAL_BACKOFF_SECONDS: Final = 0.03
MAX_BACKOFF_SECONDS: Final = 1.0
NONCE_BITS: Final = 48

log = Logger("promotion")


class PrimaryChange(Record):
    """Name the primary that a change of primary brought."""

    __slots__ = ("group", "term", "primary")

    def __init__(self, group: str, term: int, primary: str) -> None:
        self.group = group
        self.term = term
        self.primary = primary


PrimaryChangeCallback: TypeAlias = Callable[[PrimaryChange], None]


class MemberSurvey(Record):
    """Carry the states that the members gave just now."""

    __slots__ = ("states",)

    def __init__(self, states: dict[str, MemberState]) -> None:
        self.states = states

    @property
    def promised(self) -> int:
        """Return the highest promise among the answers."""
        return max((state.promised for state in self.states.values()), default=0)

    def is_unfenced_primary(self, member: str | None) -> bool:
        """Say whether `member` answered as a primary that nobody has fenced."""
        state = self.states.get(member or "")
        return (
            state is not None
            and state.role is Role.PRIMARY
            and state.leader_term == self.promised
        )


class GroupPromotionCoordinator:
    """Carry out changes of primary for one group, one at a time.

    :ivar majority_unreachable: whether the last survey reached no majority of the
        members.
    """

    def __init__(
        self,
        group_state: GroupState,
        controller: MemberController,
        homes: Callable[[], Iterable[Home]],
        directory: HostDirectory,
        clock: Clock,
        random: Random,
        timeline: Timeline,
        metrics: Metrics,
        on_primary_change: PrimaryChangeCallback,
    ) -> None:
        self.group_state = group_state
        self.controller = controller
        self.homes = homes
        self.directory = directory
        self.clock = clock
        self.random = random
        self.timeline = timeline
        self.metrics = metrics
        self.on_primary_change = on_primary_change
        self.failed_attempts = 0
        self.own_term = 0
        self.last_failure: tuple[PromotionCause, str, str] | None = None
        self.notifying_promotions: list[GroupPromotion] = []
        self.majority_unreachable = False
        self.asking: set[asyncio.Task[None]] = set()

    async def change_primary(
        self, cause: PromotionCause, suspicion_seconds: float
    ) -> bool:
        """Try once to bring about a new primary.

        :param suspicion_seconds: seconds from the first sign to the decision.
        :returns: whether a leader of a new term is known.
        """
        term = self.group_state.term
        former = self.group_state.primary
        await self.clock.sleep(self.rank(cause, former) * DELAY_PER_RANK_SECONDS)
        if await self.wait_for_other_coordinator(term):
            return True
        grace = SILENT_PRIMARY_GRACE_SECONDS if cause is PromotionCause.SILENT else 0.0
        survey = await self.survey(members_to_avoid(cause, former), grace)
        healed = self.majority_unreachable and self.reaches_majority(survey)
        self.majority_unreachable = not self.reaches_majority(survey)
        if self.change_unnecessary(
            term, former, survey, cause
        ) or await self.wait_for_other_coordinator(term):
            return True
        if healed:
            # What was found of the primary is from before the cut healed. To ask
            # anew takes 0.1 s; a promotion that nobody needs stops writes for 0.2.
            return False
        if self.majority_unreachable:
            self.failed_attempts += 1
            self.record_failure(
                cause, "survey", f"{len(survey.states)} members answered"
            )
            await self.back_off()
            return False
        return await self.attempt_promotion(cause, former, suspicion_seconds)

    def reaches_majority(self, survey: MemberSurvey) -> bool:
        """Say whether most members have answered."""
        return len(survey.states) >= self.group_state.group.majority

    def rank(self, cause: PromotionCause, former: str | None) -> int:
        """Return how many other hosts should try before this one.

        The order must be the same on all hosts, and what they know of held
        positions differs just after a write. So it is by name, and each term
        begins at another member. The home of a lost target knows first, and
        needs no delay.
        """
        local = {home.member.member_id for home in self.homes()}
        if cause is PromotionCause.PLANNED or (
            former in local and cause is PromotionCause.TARGET_LOST
        ):
            return 0
        ranked = self.ranked(former)
        places = [place for place, member in enumerate(ranked) if member in local]
        first = places[0] if places else len(ranked)
        return first + 1 if cause is PromotionCause.TARGET_LOST else first

    def ranked(self, former: str | None) -> list[str]:
        """Return the members but `former` in the order of this term."""
        members = sorted(one.member_id for one in self.group_state.group.members)
        turn = self.group_state.term % len(members)
        return [one for one in members[turn:] + members[:turn] if one != former]

    async def wait_for_other_coordinator(self, term: int) -> bool:
        """Wait a little if somebody else has begun; return whether it ended."""
        waited = 0.0
        own = max(term, self.own_term)
        while (
            self.group_state.highest_promised_term > own
            and waited < OTHER_COORDINATOR_WAIT_SECONDS
        ):
            if self.group_state.term > term:
                return True
            await self.clock.sleep(TERM_POLL_INTERVAL_SECONDS)
            waited += TERM_POLL_INTERVAL_SECONDS
        return self.group_state.term > term

    async def survey(self, absent: frozenset[str], grace: float = 0.0) -> MemberSurvey:
        """Ask all members for their states before anybody is fenced.

        A host that reaches no majority must not raise the terms of a few.

        :param absent: members whose answer is not waited for.
        :param grace: seconds that they get all the same once the others are in.
        """
        states: dict[str, MemberState] = {}
        members = [one.member_id for one in self.group_state.group.members]
        asking = {
            member: asyncio.create_task(self.request_state(member, states))
            for member in members
        }
        for task in asking.values():
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)
        await asyncio.wait([asking[one] for one in members if one not in absent])
        late = [asking[one] for one in absent if not asking[one].done()]
        if late and grace:
            await asyncio.wait(late, timeout=grace)
        return MemberSurvey(dict(states))

    async def request_state(self, member: str, states: dict[str, MemberState]) -> None:
        """Ask one member and learn from its answer."""
        asked = self.clock.monotonic()
        order = MemberControlRequest(member, ControlOperation.STATE)
        try:
            state = await self.controller.control(order, STEP_TIMEOUT_SECONDS)
        except RefusalError:
            return
        states[member] = state
        self.group_state.merge_state(state, asked)

    def change_unnecessary(
        self, term: int, former: str | None, survey: MemberSurvey, cause: PromotionCause
    ) -> bool:
        """Say whether the survey shows that no change is needed."""
        if self.group_state.term > term and self.group_state.primary is not None:
            return True
        if cause in (PromotionCause.PLANNED, PromotionCause.HOMELESS):
            return False
        leader = self.group_state.primary
        return leader is not None and survey.is_unfenced_primary(leader)

    async def attempt_promotion(
        self, cause: PromotionCause, former: str | None, suspicion_seconds: float
    ) -> bool:
        """Raise, promote, tell the others; return whether it went well."""
        promotion = self.promotion(cause, former)
        self.own_term = promotion.term
        self.failed_attempts += 1
        try:
            promoted = await promotion.run()
        except GroupPromotionError as failure:
            promised = max(self.group_state.highest_promised_term, failure.promised)
            self.group_state.highest_promised_term = promised
            self.record_failure(
                cause, failure.step, failure.detail, term=promotion.term
            )
            await self.back_off()
            return self.group_state.term >= promotion.term
        self.failed_attempts = 0
        self.last_failure = None
        self.notifying_promotions = [promotion]
        self.announce(cause, former, promoted, suspicion_seconds)
        return True

    def promotion(self, cause: PromotionCause, former: str | None) -> GroupPromotion:
        """Make an attempt with a term and an owner of its own."""
        term = self.next_term()
        nonce = self.random.getrandbits(NONCE_BITS)
        owner = f"{self.directory.me.host}.{nonce:x}"
        return GroupPromotion(
            self.group_state.group,
            self.controller,
            self.clock,
            term,
            owner,
            preferred=former if cause is PromotionCause.FENCED else None,
            avoided=members_to_avoid(cause, former),
            on_raised=self.raised,
        )

    def next_term(self) -> int:
        """Return the term of the next attempt.

        After a failure, coordinators take terms of different remainders, so
        that of two at once the higher term wins all members and only the
        other fails.
        """
        lowest = max(self.group_state.highest_promised_term, self.group_state.term) + 1
        if self.failed_attempts == 0:
            return lowest
        members = sorted(one.member_id for one in self.group_state.group.members)
        local = {home.member.member_id for home in self.homes()}
        places = [place for place, one in enumerate(members) if one in local]
        own = places[0] if places else 0
        return lowest + (own - lowest) % len(members)

    def raised(self, term: int, members: list[str]) -> None:
        """Record that a majority has promised."""
        self.timeline.record(
            EventKind.TERM_RAISED,
            self.group_state.group.name,
            term=term,
            members=members,
        )

    def announce(
        self,
        cause: PromotionCause,
        former: str | None,
        promoted: GroupPromotionResult,
        suspicion_seconds: float,
    ) -> None:
        """Make the outcome known on this host."""
        group = self.group_state.group.name
        self.timeline.record(
            EventKind.PRIMARY_PROMOTED,
            group,
            term=promoted.term,
            primary=promoted.primary,
            former=former,
            cause=cause.value,
            suspicion_ms=to_rounded_ms(suspicion_seconds),
            agreement_ms=to_rounded_ms(promoted.agreement_seconds),
            promotion_ms=to_rounded_ms(promoted.promotion_seconds),
        )
        self.metrics.increment("primary.promoted")
        self.metrics.timing("primary.suspicion", suspicion_seconds)
        self.metrics.timing("primary.agreement", promoted.agreement_seconds)
        self.metrics.timing("primary.promotion", promoted.promotion_seconds)
        log.notice(f"{group}: {promoted.primary} leads in term {promoted.term}")
        self.group_state.record_leader(promoted.term, promoted.primary)
        self.on_primary_change(PrimaryChange(group, promoted.term, promoted.primary))

    def record_failure(
        self, cause: PromotionCause, step: str, detail: str, term: int | None = None
    ) -> None:
        """Count an attempt that came to nothing; record it once while it repeats."""
        self.metrics.increment("primary.attempt_failed")
        failure = (cause, step, detail)
        if failure == self.last_failure:
            return
        self.last_failure = failure
        self.timeline.record(
            EventKind.PROMOTION_FAILED,
            self.group_state.group.name,
            cause=cause.value,
            step=step,
            reason=detail,
            term=term,
        )

    async def back_off(self) -> None:
        """Wait longer after each failure, with jitter, lest two keep clashing."""
        limit = min(
            INITIAL_BACKOFF_SECONDS * 2.0**self.failed_attempts, MAX_BACKOFF_SECONDS
        )
        await self.clock.sleep(limit * (0.5 + self.random.random()))


def members_to_avoid(cause: PromotionCause, former: str | None) -> frozenset[str]:
    """Return the members that the cause speaks against."""
    if former is None or cause in (PromotionCause.FENCED, PromotionCause.LEADERLESS):
        return frozenset()
    return frozenset({former})


def to_rounded_ms(seconds: float) -> float:
    """Return `seconds` in milliseconds, rounded for people."""
    return round(seconds * 1000, 2)
