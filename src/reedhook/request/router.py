"""Routes each statement to a member that can serve it within the deadline."""

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
    """Keep the state of all attempts at one request.

    :param deadline: local monotonic time in seconds.
    :param repeatable: whether the request may be retried after it may have run.
    :ivar tried: replicas that refused.
    :ivar effect_unknown: whether an attempt may have run.
    :ivar refusal: the last refusal.
    :ivar backoff_seconds: the wait before the same primary is tried again.
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
        """Record a refusal and whether the request may have run."""
        self.refusal = refusal
        if refusal.verdict is not Verdict.NOT_RUN:
            self.effect_unknown = True


class Router:
    """Choose a member for each request and retry where that is safe.

    :param executor: executes statements at the chosen member.
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

        :param repeatable: whether the statement may be retried after an attempt
            that may have run, since it is idempotent or has a request id.
        :raises RefusalError: with a verdict that covers all attempts.
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
                response = await self.run_at_replicas(group, statement, attempts)
                if response is not None:
                    return response
            return await self.run_at_primary(group, statement, attempts)
        except RefusalError as refusal:
            attempts.record_refusal(refusal)
            raise final_refusal(refusal, attempts.effect_unknown) from refusal

    async def run_at_replicas(
        self, group: Group, statement: Statement, attempts: RequestAttempts
    ) -> HomeResponse | None:
        """Return the response of a replica, or None if the primary must serve.

        :raises RefusalError: if neither another replica nor the primary can serve.
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
        """Record a replica's refusal; return if another member may be tried.

        :raises RefusalError: if the refusal is final.
        """
        if decide_retry(refusal, attempts.repeatable, False) is RetryDecision.GIVE_UP:
            raise refusal
        observations = self.observations(group.name)
        if (
            refusal.reason is RefusalReason.NOT_COVERED
            and statement.min_position is not None
        ):
            observations.record_not_covered(
                member, statement.min_position, self.clock.monotonic()
            )
            return
        if (
            refusal.reason is RefusalReason.AGE_UNPROVED
            and statement.max_age is not None
        ):
            observations.record_min_lag(
                member, AGE_UNPROVED_LAG_FACTOR * statement.max_age
            )
            return
        if (
            refusal.reason is RefusalReason.OVERLOADED
            and not self.primary_has_capacity(group)
        ):
            raise refusal
        if not self.retry_budget.try_spend():
            raise refusal

    def primary_has_capacity(self, group: Group) -> bool:
        """Return whether the primary can take reads that replicas refused."""
        view = self.views.group(group.name).view
        primary = view.members.get(view.primary or "")
        return primary is not None and primary.expected_wait < MAX_PRIMARY_WAIT_SECONDS

    async def run_hedged(
        self,
        group: Group,
        view: GroupView,
        member: str,
        statement: Statement,
        attempts: RequestAttempts,
    ) -> HomeResponse:
        """Run a read at `member`, hedged by a second replica if it is slow."""
        latency = self.latency_percentiles.get(group.name)
        if latency is None:
            latency = self.latency_percentiles[group.name] = LatencyPercentile()
        started_at = self.clock.monotonic()
        first = self.run_attempt(group, member, statement, attempts)
        tried = attempts.tried | {member}

        def start_second() -> Coroutine[Any, Any, HomeResponse] | None:
            other = self.select_replica(group, view, statement, tried)
            if other is None or not self.hedge_budget.try_spend():
                return None
            self.metrics.increment("router.hedged")
            return self.run_attempt(group, other, copy(statement), attempts)

        response = await HedgedRead(latency.seconds, start_second).run(first)
        latency.add(self.clock.monotonic() - started_at)
        return response

    async def run_at_primary(
        self, group: Group, statement: Statement, attempts: RequestAttempts
    ) -> HomeResponse:
        """Return the response of the primary, waiting for one until the deadline.

        :raises RefusalError: as soon as no further attempt can succeed in time.
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
        """Run an attempt at the primary; cancel it once a newer primary is known.

        :raises RefusalError: ``superseded`` if cancelled; a write may have run.
        """
        assert view.primary is not None
        attempt = self.run_attempt(group, view.primary, statement, attempts)
        if not attempts.repeatable or statement.kind not in RETRYABLE_KINDS:
            return await attempt
        primary_attempt = PrimaryAttempt(self.views, group, view.primary, view.term)
        return await primary_attempt.run(attempt, statement.kind)

    async def wait_for_primary(
        self, group: Group, term: int, primary: str | None, attempts: RequestAttempts
    ) -> None:
        """Wait until a primary may be tried again.

        This is a primary other than `primary` of `term`, or the same one after a
        backoff and within the retry budget.

        :raises RefusalError: if the remaining time is too short or no home responds.
        """
        known = self.views.group(group.name)
        while (known.view.term, known.view.primary) == (term, primary):
            remaining = attempts.deadline - self.clock.monotonic()
            if remaining < 2 * MIN_REMAINING_SECONDS:
                raise self.timeout_refusal(group, attempts, NO_PRIMARY_RETRY_MS)
            if known.rounds_failed >= MAX_UNANSWERED_ROUNDS:
                raise self.timeout_refusal(group, attempts, UNREACHABLE_RETRY_MS)
            backoff = min(attempts.backoff_seconds, remaining - MIN_REMAINING_SECONDS)
            await self.views.wait_for_primary_change(group, backoff)
            attempts.backoff_seconds = min(
                2 * attempts.backoff_seconds, MAX_BACKOFF_SECONDS
            )
            if primary is not None and self.retry_budget.try_spend():
                return

    def timeout_refusal(
        self, group: Group, attempts: RequestAttempts, retry_after_ms: int
    ) -> RefusalError:
        """Return the refusal of a request that no primary served in time."""
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
        """Execute `statement` at `member` once and record the outcome."""
        now = self.clock.monotonic()
        statement.remaining = attempts.deadline - now
        if statement.remaining < MIN_REMAINING_SECONDS:
            raise not_run(
                RefusalReason.DEADLINE, "the deadline has passed", DEADLINE_RETRY_MS
            )
        if statement.kind is StatementKind.BEGIN:
            statement.transaction = f"{self.random.getrandbits(TRANSACTION_BITS):x}"
        group_observations = self.observations(group.name)
        member_observations = group_observations.member(member)
        member_observations.inflight += 1
        try:
            response = await self.executor.execute(member, statement)
        except RefusalError as refusal:
            if refusal.reason in MEMBER_FAULT_REASONS:
                member_observations.record_failure(self.clock.monotonic())
            raise
        finally:
            member_observations.inflight -= 1
        now = self.clock.monotonic()
        member_observations.record_success(now)
        self.record_response(response, group_observations, now)
        self.check_coverage(statement, response, member)
        return response

    def record_response(
        self, response: HomeResponse, observations: GroupObservations, now: float
    ) -> None:
        """Merge the group view and position of a response."""
        result = response.result
        self.views.merge(response.view)
        observations.position_history.record(result.position, now)
        observations.record_view(response.view, now)
        if result.role != PRIMARY_ROLE:
            observations.record_position(result.target, result.position, now)
        members = self.views.group(response.view.group).view.members
        known = members.get(result.target)
        if known is not None:
            members[result.target] = updated_member_view(known, response)

    def check_coverage(
        self, statement: Statement, response: HomeResponse, member: str
    ) -> None:
        """Refuse a read that reflects a position before the session's.

        :raises RefusalError: ``not_covered``.
        """
        if statement.kind is not StatementKind.READ or statement.min_position is None:
            return
        if response.result.position < statement.min_position:
            raise not_run(
                RefusalReason.NOT_COVERED,
                f"the member {member} is behind the position of the session",
                50,
            )

    def select_replica(
        self,
        group: Group,
        view: GroupView,
        statement: Statement,
        tried: frozenset[str],
    ) -> str | None:
        """Return the replica to try next, or None."""
        observations = self.observations(group.name)
        now = self.clock.monotonic()
        return self.replica_selector.select_replica(
            SelectionContext(group, view, observations, statement, tried, now)
        )

    def observations(self, group: str) -> GroupObservations:
        """Return the observations of `group`, created on first use."""
        observations = self.group_observations.get(group)
        if observations is None:
            observations = self.group_observations[group] = GroupObservations()
        return observations


def replicas_allowed(statement: Statement) -> bool:
    """Return whether a replica may serve the statement."""
    if statement.kind is not StatementKind.READ:
        return False
    return statement.consistency is not Consistency.FRESH


def updated_member_view(known: MemberView, response: HomeResponse) -> MemberView:
    """Return the view of a member after a response.

    This is a new object, since `known` may be shared.
    """
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
    """Return whether `member` takes no new work."""
    member_view = view.members.get(member)
    return member_view is not None and member_view.leaving
