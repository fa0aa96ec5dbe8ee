"""Bring each statement to a member that can answer it, within its deadline."""

import random
from collections.abc import Coroutine
from copy import copy
from typing import Any, Final

from ..clock import Clock
from ..metrics import Metrics
from ..version.catalog import Group
from .group_view import GroupView, MemberView
from .group_view_cache import MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS, GroupViewCache
from .hedge import HedgedRead, LatencyPercentile
from .primary_attempt import PrimaryAttempt
from .refusal import RefusalError, RefusalReason, not_run
from .replica_selector import (
    AGE_UNPROVED_LAG_FACTOR,
    GroupObservations,
    ReplicaSelector,
    SelectionContext,
)
from .retry_decision import (
    MEMBER_FAULT_REASONS,
    RetryDecision,
    decide_retry,
    final_refusal,
)
from .statement import Consistency, Statement, StatementKind
from .statement_executor import HomeResponse, StatementExecutor
from .token_bucket import RetryBudget
from .verdict import Verdict

PRIMARY_ROLE: Final = "primary"
REPLICA_BEHIND_REASONS: Final = frozenset(
    {RefusalReason.NOT_COVERED, RefusalReason.AGE_UNPROVED}
)
MIN_REMAINING_SECONDS: Final = 0.005
MAX_REPLICAS: Final = 2
MAX_PRIMARY_WAIT_SECONDS: Final = 0.02
RETRY_FRACTION: Final = 0.1
RETRY_BURST: Final = 10.0
HEDGE_FRACTION: Final = 0.05
HEDGE_BURST: Final = 5.0
MAX_UNANSWERED_ROUNDS: Final = 3
RETRYABLE_KINDS: Final = frozenset({StatementKind.READ, StatementKind.WRITE})
TRANSACTION_BITS: Final = 96
NO_PRIMARY_RETRY_MS: Final = 500
DEADLINE_RETRY_MS: Final = 50
UNREACHABLE_RETRY_MS: Final = 1000


class RequestAttempts:
    """Keep what was tried for one request.

    :param deadline: local monotonic time in seconds.
    :ivar tried: replicas that refused.
    :ivar effect_unknown: whether an attempt may have run.
    :ivar refusal: the last refusal.
    :ivar backoff_seconds: how long to wait for news before asking the same primary.
    """

    __slots__ = (
        "deadline",
        "repeatable",
        "tried",
        "effect_unknown",
        "refusal",
        "backoff_seconds",
    )

    def __init__(self, deadline: float, repeatable: bool) -> None:
        self.deadline = deadline
        self.repeatable = repeatable
        self.tried: frozenset[str] = frozenset()
        self.effect_unknown = False
        self.refusal: RefusalError | None = None
        self.backoff_seconds = MIN_BACKOFF_SECONDS

    def record_refusal(self, refusal: RefusalError) -> None:
        """Keep a refusal and whether it leaves the effect unknown."""
        self.refusal = refusal
        if refusal.verdict is not Verdict.NOT_RUN:
            self.effect_unknown = True


class Router:
    """Choose members and repeat what may be repeated.

    :param executor: executes at the member that was chosen.
    :param replica_selector: chooses among replicas.
    """

    __slots__ = (
        "executor",
        "views",
        "replica_selector",
        "clock",
        "random",
        "metrics",
        "group_observations",
        "retry_budget",
        "hedge_budget",
        "latency_percentiles",
    )

    def __init__(
        self,
        executor: StatementExecutor,
        views: GroupViewCache,
        replica_selector: ReplicaSelector,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.executor = executor
        self.views = views
        self.replica_selector = replica_selector
        self.clock = clock
        self.random = rng
        self.metrics = metrics
        self.group_observations: dict[str, GroupObservations] = {}
        self.retry_budget = RetryBudget(RETRY_FRACTION, RETRY_BURST)
        self.hedge_budget = RetryBudget(HEDGE_FRACTION, HEDGE_BURST)
        self.latency_percentiles: dict[str, LatencyPercentile] = {}

    async def run(
        self, group: Group, statement: Statement, repeatable: bool = True
    ) -> HomeResponse:
        """Run a read, a write or the begin of a transaction.

        :param repeatable: whether it may be repeated after an attempt that
            may have run: it is idempotent, or has a request id.
        :raises Refusal: with a verdict that holds for all attempts together.
        """
        now = self.clock.monotonic()
        attempts = RequestAttempts(now + statement.remaining, repeatable)
        self.retry_budget.record_request()
        if statement.min_position is not None:
            self.observations(group.name).position_history.record(
                statement.min_position, now
            )
        try:
            if replicas_allowed(statement):
                self.hedge_budget.record_request()
                served = await self.run_at_replicas(group, statement, attempts)
                if served is not None:
                    return served
            return await self.run_at_primary(group, statement, attempts)
        except RefusalError as refusal:
            attempts.record_refusal(refusal)
            raise final_refusal(refusal, attempts.effect_unknown) from refusal

    async def run_at_replicas(
        self, group: Group, statement: Statement, attempts: RequestAttempts
    ) -> HomeResponse | None:
        """Return the answer of a replica, or None if the primary is to serve.

        :raises Refusal: if neither another replica nor the primary may help.
        """
        while len(attempts.tried) < MAX_REPLICAS:
            view = await self.views.current(group)
            member = self.select_replica(group, view, statement, attempts.tried)
            if member is None:
                return None
            try:
                return await self.run_hedged(group, view, member, statement, attempts)
            except RefusalError as refusal:
                attempts.record_refusal(refusal)
                attempts.tried |= {member}
                self.handle_replica_refusal(group, member, statement, attempts, refusal)
                if refusal.reason in REPLICA_BEHIND_REASONS:
                    return None
        return None

    def handle_replica_refusal(
        self,
        group: Group,
        member: str,
        statement: Statement,
        attempts: RequestAttempts,
        refusal: RefusalError,
    ) -> None:
        """Go on to another member, or raise what is final."""
        if decide_retry(refusal, attempts.repeatable, False) is RetryDecision.GIVE_UP:
            raise refusal
        track = self.observations(group.name)
        if (
            refusal.reason is RefusalReason.NOT_COVERED
            and statement.min_position is not None
        ):
            track.record_not_covered(
                member, statement.min_position, self.clock.monotonic()
            )
            return
        if (
            refusal.reason is RefusalReason.AGE_UNPROVED
            and statement.max_age is not None
        ):
            track.record_min_lag(member, AGE_UNPROVED_LAG_FACTOR * statement.max_age)
            return
        if (
            refusal.reason is RefusalReason.OVERLOADED
            and not self.primary_has_capacity(group)
        ):
            raise refusal
        if not self.retry_budget.try_spend():
            raise refusal

    def primary_has_capacity(self, group: Group) -> bool:
        """Say whether the primary has room for reads that replicas refused."""
        view = self.views.group(group.name).view
        one = view.members.get(view.primary or "")
        return one is not None and one.expected_wait < MAX_PRIMARY_WAIT_SECONDS

    async def run_hedged(
        self,
        group: Group,
        view: GroupView,
        member: str,
        statement: Statement,
        attempts: RequestAttempts,
    ) -> HomeResponse:
        """Run a read at `member`, and at a second replica if it is slow."""
        slow = self.latency_percentiles.get(group.name)
        if slow is None:
            slow = self.latency_percentiles[group.name] = LatencyPercentile()
        began = self.clock.monotonic()
        first = self.run_attempt(group, member, statement, attempts)
        tried = attempts.tried | {member}

        def second() -> Coroutine[Any, Any, HomeResponse] | None:
            other = self.select_replica(group, view, statement, tried)
            if other is None or not self.hedge_budget.try_spend():
                return None
            self.metrics.increment("router.hedged")
            return self.run_attempt(group, other, copy(statement), attempts)

        served = await HedgedRead(slow.seconds, second).run(first)
        slow.add(self.clock.monotonic() - began)
        return served

    async def run_at_primary(
        self, group: Group, statement: Statement, attempts: RequestAttempts
    ) -> HomeResponse:
        """Return the answer of the primary, waiting for one while time allows.

        :raises Refusal: at once when no further attempt can help or fit.
        """
        view = await self.views.current(group)
        while True:
            term, primary = view.term, view.primary
            if primary is not None and not is_leaving(view, primary):
                try:
                    return await self.run_until_superseded(
                        group, view, statement, attempts
                    )
                except RefusalError as refusal:
                    attempts.record_refusal(refusal)
                    if (
                        decide_retry(refusal, attempts.repeatable, True)
                        is RetryDecision.GIVE_UP
                    ):
                        raise
            await self.wait_for_primary(group, term, primary, attempts)

    async def run_until_superseded(
        self,
        group: Group,
        view: GroupView,
        statement: Statement,
        attempts: RequestAttempts,
    ) -> HomeResponse:
        """Run an attempt at the primary, ended once another one is known.

        :raises Refusal: ``superseded`` then; a write may have run.
        """
        assert view.primary is not None
        attempt = self.run_attempt(group, view.primary, statement, attempts)
        if not attempts.repeatable or statement.kind not in RETRYABLE_KINDS:
            return await attempt
        reign = PrimaryAttempt(self.views, group, view.primary, view.term)
        return await reign.run(attempt, statement.kind)

    async def wait_for_primary(
        self, group: Group, term: int, primary: str | None, attempts: RequestAttempts
    ) -> None:
        """Return when there is reason to ask a primary again.

        That is another leader than that of `term`, or, after a pause and
        within the retry budget, the same one.

        :raises Refusal: if the time left is too short, or no home answers.
        """
        known = self.views.group(group.name)
        while (known.view.term, known.view.primary) == (term, primary):
            left = attempts.deadline - self.clock.monotonic()
            if left < 2 * MIN_REMAINING_SECONDS:
                raise self.timeout_refusal(group, attempts, NO_PRIMARY_RETRY_MS)
            if known.rounds_failed >= MAX_UNANSWERED_ROUNDS:
                raise self.timeout_refusal(group, attempts, UNREACHABLE_RETRY_MS)
            pause = min(attempts.backoff_seconds, left - MIN_REMAINING_SECONDS)
            await self.views.wait_for_primary_change(group, pause)
            attempts.backoff_seconds = min(
                2 * attempts.backoff_seconds, MAX_BACKOFF_SECONDS
            )
            if primary is not None and self.retry_budget.try_spend():
                return

    def timeout_refusal(
        self, group: Group, attempts: RequestAttempts, retry_after_ms: int
    ) -> RefusalError:
        """Return the refusal of a request that no primary can serve in time."""
        if attempts.refusal is not None:
            last = attempts.refusal
            return RefusalError(last.reason, last.verdict, last.detail, retry_after_ms)
        return not_run(
            RefusalReason.NO_PRIMARY,
            f"no primary of the group {group.name} is known",
            retry_after_ms,
        )

    async def run_attempt(
        self, group: Group, member: str, statement: Statement, attempts: RequestAttempts
    ) -> HomeResponse:
        """Execute `statement` at `member` once and learn from what comes back."""
        now = self.clock.monotonic()
        statement.remaining = attempts.deadline - now
        if statement.remaining < MIN_REMAINING_SECONDS:
            raise not_run(
                RefusalReason.DEADLINE, "the deadline has passed", DEADLINE_RETRY_MS
            )
        if statement.kind is StatementKind.BEGIN:
            statement.transaction = f"{self.random.getrandbits(TRANSACTION_BITS):x}"
        track = self.observations(group.name)
        one = track.member(member)
        one.inflight += 1
        try:
            served = await self.executor.execute(member, statement)
        except RefusalError as refusal:
            if refusal.reason in MEMBER_FAULT_REASONS:
                one.record_failure(self.clock.monotonic())
            raise
        finally:
            one.inflight -= 1
        now = self.clock.monotonic()
        one.record_success(now)
        self.record_response(served, track, now)
        self.check_coverage(statement, served, member)
        return served

    def record_response(
        self, response: HomeResponse, observations: GroupObservations, now: float
    ) -> None:
        """Take over what an answer tells of its group."""
        answer = response.result
        self.views.merge(response.view)
        observations.position_history.record(answer.position, now)
        observations.record_view(response.view, now)
        if answer.role != PRIMARY_ROLE:
            observations.record_position(answer.target, answer.position, now)
        members = self.views.group(response.view.group).view.members
        known = members.get(answer.target)
        if known is not None:
            members[answer.target] = updated_member_view(known, response)

    def check_coverage(
        self, statement: Statement, response: HomeResponse, member: str
    ) -> None:
        """Refuse a read whose answer misses what the token covers."""
        if statement.kind is not StatementKind.READ or statement.min_position is None:
            return
        if response.result.position < statement.min_position:
            raise not_run(
                RefusalReason.NOT_COVERED,
                f"the member {member} is behind the session",
                50,
            )

    def select_replica(
        self,
        group: Group,
        view: GroupView,
        statement: Statement,
        tried: frozenset[str],
    ) -> str | None:
        """Return the replica to ask next, or None."""
        track = self.observations(group.name)
        now = self.clock.monotonic()
        return self.replica_selector.select_replica(
            SelectionContext(group, view, track, statement, tried, now)
        )

    def observations(self, group: str) -> GroupObservations:
        """Return what this host experienced with `group`."""
        track = self.group_observations.get(group)
        if track is None:
            track = self.group_observations[group] = GroupObservations()
        return track


def replicas_allowed(statement: Statement) -> bool:
    """Say whether a replica may serve the statement."""
    if statement.kind is not StatementKind.READ:
        return False
    return statement.consistency is not Consistency.FRESH


def updated_member_view(known: MemberView, response: HomeResponse) -> MemberView:
    """Return what is known of a member after it served; others keep `known`."""
    return MemberView(
        known.member,
        max(known.applied, response.result.position),
        known.held,
        known.observed_at,
        response.expected_wait,
        known.lag,
        known.leaving,
    )


def is_leaving(view: GroupView, member: str) -> bool:
    """Say whether `member` takes no new work."""
    one = view.members.get(member)
    return one is not None and one.leaving
