"""Coordination of changes of primary: order of hosts, survey, backoff.

Several hosts may try at once. Each attempt has a term and an owner of its own,
see :mod:`.group_promotion`.
"""

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
    """Leader of a group after a change of primary."""

    __slots__ = ("group", "term", "primary")

    def __init__(self, group: str, term: int, primary: str) -> None:
        self.group = group
        self.term = term
        self.primary = primary


PrimaryChangeCallback: TypeAlias = Callable[[PrimaryChange], None]


class MemberSurvey(Record):
    """States of the members that answered a survey."""

    __slots__ = ("states",)

    def __init__(self, states: dict[str, MemberState]) -> None:
        self.states = states

    @property
    def promised(self) -> int:
        """Return the highest promised term among the answers."""
        return max((state.promised for state in self.states.values()), default=0)

    def is_unfenced_primary(self, member: str | None) -> bool:
        """Return whether `member` answered as a primary that is not fenced."""
        state = self.states.get(member or "")
        return (
            state is not None
            and state.role is Role.PRIMARY
            and state.leader_term == self.promised
        )


class GroupPromotionCoordinator:
    """Carry out changes of primary for one group, one at a time.

    :ivar failed_attempts: attempts since the last successful one.
    :ivar own_term: the term of the last attempt of this host.
    :ivar last_failure: cause, step and detail of the last recorded failure.
    :ivar majority_unreachable: whether the last survey reached no majority of the
        members.
    :ivar notifying_promotions: the last successful promotion, kept while it
        notifies the followers.
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
        """Try once to promote a new primary, unless another host does.

        :param suspicion_seconds: seconds from the first sign of the failure to now.
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
            # The evidence against the primary predates the end of the partition.
            # Checking again is cheaper than a needless change of primary.
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
        """Return whether a majority of the members answered."""
        return len(survey.states) >= self.group_state.group.majority

    def rank(self, cause: PromotionCause, former: str | None) -> int:
        """Return how many other hosts should try before this one.

        The order must be the same on all hosts. It is by member name, rotated
        by term, and not by held position, on which hosts disagree just after a
        write. The home of a lost target detects the loss first and tries
        without delay.
        """
        local = {home.member.member_id for home in self.homes()}
        if cause is PromotionCause.PLANNED or (
            former in local and cause is PromotionCause.TARGET_LOST
        ):
            return 0
        ranked = self.ranked(former)
        local_ranks = [rank for rank, member in enumerate(ranked) if member in local]
        own_rank = local_ranks[0] if local_ranks else len(ranked)
        return own_rank + 1 if cause is PromotionCause.TARGET_LOST else own_rank

    def ranked(self, former: str | None) -> list[str]:
        """Return the members except `former` in the order of the current term."""
        members = sorted(member.member_id for member in self.group_state.group.members)
        offset = self.group_state.term % len(members)
        return [
            member for member in members[offset:] + members[:offset] if member != former
        ]

    async def wait_for_other_coordinator(self, term: int) -> bool:
        """Wait for an attempt of another host; return whether a later term is known."""
        waited = 0.0
        own_highest_term = max(term, self.own_term)
        while (
            self.group_state.highest_promised_term > own_highest_term
            and waited < OTHER_COORDINATOR_WAIT_SECONDS
        ):
            if self.group_state.term > term:
                return True
            await self.clock.sleep(TERM_POLL_INTERVAL_SECONDS)
            waited += TERM_POLL_INTERVAL_SECONDS
        return self.group_state.term > term

    async def survey(self, absent: frozenset[str], grace: float = 0.0) -> MemberSurvey:
        """Query the states of all members before any of them is fenced.

        A host that reaches no majority must not raise the term of a minority.

        :param absent: members that are queried but not waited for.
        :param grace: seconds to wait for `absent` once the others have answered.
        """
        states: dict[str, MemberState] = {}
        members = [member.member_id for member in self.group_state.group.members]
        requests = {
            member: asyncio.create_task(self.request_state(member, states))
            for member in members
        }
        for task in requests.values():
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)
        await asyncio.wait(
            [requests[member] for member in members if member not in absent]
        )
        late = [requests[member] for member in absent if not requests[member].done()]
        if late and grace:
            await asyncio.wait(late, timeout=grace)
        return MemberSurvey(dict(states))

    async def request_state(self, member: str, states: dict[str, MemberState]) -> None:
        """Query the state of one member and record the answer."""
        asked = self.clock.monotonic()
        request = MemberControlRequest(member, ControlOperation.STATE)
        try:
            state = await self.controller.control(request, STEP_TIMEOUT_SECONDS)
        except RefusalError:
            return
        states[member] = state
        self.group_state.merge_state(state, asked)

    def change_unnecessary(
        self, term: int, former: str | None, survey: MemberSurvey, cause: PromotionCause
    ) -> bool:
        """Return whether the survey shows that no change is needed."""
        if self.group_state.term > term and self.group_state.primary is not None:
            return True
        if cause in (PromotionCause.PLANNED, PromotionCause.HOMELESS):
            return False
        leader = self.group_state.primary
        return leader is not None and survey.is_unfenced_primary(leader)

    async def attempt_promotion(
        self, cause: PromotionCause, former: str | None, suspicion_seconds: float
    ) -> bool:
        """Run one promotion; return whether a leader of its term is known."""
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
        """Create an attempt with a new term and a unique owner."""
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
            on_raised=self.on_term_raised,
        )

    def next_term(self) -> int:
        """Return the term of the next attempt.

        After a failure, each host picks terms with its own remainder modulo the
        number of members. Concurrent attempts then have different terms, and
        the highest one wins.
        """
        lowest = max(self.group_state.highest_promised_term, self.group_state.term) + 1
        if self.failed_attempts == 0:
            return lowest
        members = sorted(member.member_id for member in self.group_state.group.members)
        local = {home.member.member_id for home in self.homes()}
        local_indexes = [
            index for index, member in enumerate(members) if member in local
        ]
        own_index = local_indexes[0] if local_indexes else 0
        return lowest + (own_index - lowest) % len(members)

    def on_term_raised(self, term: int, members: list[str]) -> None:
        """Record that a majority promised the term."""
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
        """Record the new primary and notify the rest of this host."""
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
        log.notice(
            f"{group}: promoted {promoted.primary} to primary in term {promoted.term}"
        )
        self.group_state.record_leader(promoted.term, promoted.primary)
        self.on_primary_change(PrimaryChange(group, promoted.term, promoted.primary))

    def record_failure(
        self, cause: PromotionCause, step: str, detail: str, term: int | None = None
    ) -> None:
        """Count a failed attempt; record it unless it repeats the last failure."""
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
        """Sleep for an exponential backoff with jitter."""
        limit = min(
            INITIAL_BACKOFF_SECONDS * 2.0**self.failed_attempts, MAX_BACKOFF_SECONDS
        )
        await self.clock.sleep(limit * (0.5 + self.random.random()))


def members_to_avoid(cause: PromotionCause, former: str | None) -> frozenset[str]:
    """Return the members to avoid when choosing a new primary for `cause`."""
    if former is None or cause in (PromotionCause.FENCED, PromotionCause.LEADERLESS):
        return frozenset()
    return frozenset({former})


def to_rounded_ms(seconds: float) -> float:
    """Return `seconds` in milliseconds, rounded for display."""
    return round(seconds * 1000, 2)
