"""The home of a target: owns its connections, slots, queue, health and state."""

import asyncio
import random
from typing import Final

from logbook import Logger

from ..clock import Clock
from ..metrics import Metrics
from ..process.events.timeline import EventKind, Timeline
from ..request.deadline import Deadline
from ..request.position import ORIGIN
from ..request.refusal import RefusalError
from ..request.slot_queue import SlotQueue
from ..request.statement import Statement, StatementKind
from ..version.catalog import Group, Limits, Member
from .connection_budget import ConnectionBudget
from .home import Home, HomeLoad
from .response_timeouts import ResponseTimeouts
from .single_statement_runner import SingleStatementRunner
from .stalled_write_detector import StalledWriteDetector
from .statement_runner import StatementRunner
from .statement_sender import StatementSender
from .target import (
    MemberState,
    Role,
    Target,
    TargetConnection,
    TargetRefusedError,
    TargetResult,
)
from .target_connection_pool import TargetConnectionPool
from .target_control import StateWatch, TargetControl
from .target_failure_detector import TargetFailureDetector
from .target_refusals import (
    target_leaving_refusal,
    target_unreachable_refusal,
    wrong_home_refusal,
)
from .transaction_runner import TransactionRunner

log = Logger("home")

CONNECTION_COUNT_VALIDITY_SECONDS: Final = 1.0
"""Maximum age of the connection count that the target reports."""

METRICS_INTERVAL_SECONDS: Final = 1.0

LOAD_CALLER: Final = ""
LOAD_PRIORITY: Final = 1
"""Caller and priority for which `load` computes the expected wait."""

ABORT_TIMEOUT_SECONDS: Final = 1.0
"""Seconds that aborted statements may take to end."""

MS_PER_SECOND: Final = 1000.0

SHUTDOWN_DETAIL: Final = "The host was shut down."


class TargetHome(Home):
    """Own one target on behalf of all hosts.

    :param target: opens connections.
    :param share: connections to the target that this host may have open.
    """

    def __init__(
        self,
        group: Group,
        member: Member,
        target: Target,
        share: int,
        limits: Limits,
        clock: Clock,
        random: random.Random,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.group = group
        self.member = member
        self.clock = clock
        self.timeline = timeline
        self.metrics = metrics
        self.state: MemberState | None = None
        self.state_requested_at = float("-inf")
        self.state_received = float("-inf")
        self.unreachable_since: float | None = None
        self.leaving = False
        self.closing = False
        self.changed = asyncio.Event()
        self.work_ended = asyncio.Event()
        self.active = 0
        self.reported = clock.monotonic()
        self.watching: asyncio.Task[None] | None = None

        budget = ConnectionBudget(share, group.slots)
        self.pool = TargetConnectionPool(
            target, share, budget.reserved, clock, random, self.target_is_full
        )
        self.health = TargetFailureDetector(
            self.pool, clock, self.merge_state, self.handle_reachability_change
        )
        self.slots = SlotQueue(group.slots, limits.queue, clock, random)
        stall = StalledWriteDetector(clock, self.handle_write_stall)
        self.calls = StatementRunner(
            self.health, ResponseTimeouts(), stall, clock, self.handle_silent_connection
        )
        self.sender = StatementSender(
            self.pool, self.health, self.calls, self.merge_result, self.handle_refusal
        )
        self.single = SingleStatementRunner(self.sender, self.slots)
        idle_seconds = limits.transaction_idle_ms / MS_PER_SECOND
        self.transactions = TransactionRunner(
            self.sender, self.slots, budget.transactions, limits.queue, idle_seconds
        )
        self.control = TargetControl(self.pool, self.health, clock, self.merge_state)
        self.watch = StateWatch(
            self.pool,
            self.health,
            clock,
            random,
            self.merge_state,
            budget.watch_reserved,
            self.run_housekeeping,
            self.handle_silent_connection,
        )

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.watching = loop.create_task(self.watch.run())

    async def close(self, grace: float) -> None:
        self.closing = True
        refusal = wrong_home_refusal()
        self.slots.refuse_waiting(refusal)
        self.transactions.permits.refuse_waiting(refusal)
        if not await self.wait_until_idle(grace):
            log.warning(
                "aborting unfinished work on target {}: shutdown grace period is over",
                self.member.member_id,
            )
            self.transactions.end_all(SHUTDOWN_DETAIL)
            self.calls.drop_all()
            await self.wait_until_idle(ABORT_TIMEOUT_SECONDS)
        await self.stop()

    def update_limits(self, limits: Limits) -> None:
        self.slots.limit = limits.queue
        self.transactions.permits.limit = limits.queue
        self.transactions.idle_time = limits.transaction_idle_ms / MS_PER_SECOND

    async def run(self, statement: Statement) -> TargetResult:
        self.active += 1
        try:
            return await self.run_by_kind(statement)
        finally:
            self.active -= 1
            if self.closing:
                self.work_ended.set()

    def has_transaction(self, transaction: str) -> bool:
        return transaction in self.transactions.registry.open

    def unknown_transaction_refusal(self, statement: Statement) -> RefusalError:
        return self.transactions.registry.unknown_transaction_refusal(statement)

    async def wait_for_state_change(self, revision: int, timeout: float) -> None:
        try:
            async with asyncio.timeout(timeout):
                while self.state is None or self.state.revision == revision:
                    await self.changed.wait()
        except TimeoutError:
            return

    def merge_state(self, state: MemberState, requested_at: float) -> None:
        known = self.state
        if known is not None and state.revision < known.revision:
            # A lower revision is newer only if the target has restarted, and then
            # it was requested after the last state was received.
            if requested_at <= self.state_received:
                return
        self.state = state
        self.state_requested_at = max(requested_at, self.state_requested_at)
        self.state_received = self.clock.monotonic()
        if known is None or known.revision != state.revision:
            self.changed.set()
            self.changed = asyncio.Event()

    async def fetch_state(self, timeout: float) -> MemberState:
        async def send(connection: TargetConnection, remaining: float) -> MemberState:
            return await connection.state(remaining)

        return await self.control.call(send, timeout)

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        async def send(connection: TargetConnection, remaining: float) -> MemberState:
            return await connection.raise_term(term, owner, remaining)

        return await self.control.call(send, timeout)

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        async def send(connection: TargetConnection, remaining: float) -> MemberState:
            return await connection.promote(term, owner, remaining)

        return await self.control.call(send, timeout)

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        async def send(connection: TargetConnection, remaining: float) -> MemberState:
            return await connection.follow(term, primary, remaining)

        return await self.control.call(send, timeout)

    def load(self) -> HomeLoad:
        wait = self.slots.expected_wait(LOAD_CALLER, LOAD_PRIORITY)
        return HomeLoad(wait, self.slots.queued, self.slots.busy)

    async def run_by_kind(self, statement: Statement) -> TargetResult:
        """Run a statement according to its kind."""
        deadline = Deadline(self.clock, statement.remaining)
        kind = statement.kind
        if kind is StatementKind.READ or kind is StatementKind.WRITE:
            self.check_new_work()
            return await self.single.run(statement, deadline)
        if kind is StatementKind.BEGIN:
            self.check_new_work()
            return await self.transactions.begin(statement, deadline)
        result = await self.transactions.run(statement, deadline)
        return self.rollback_result() if result is None else result

    def check_new_work(self) -> None:
        """Refuse new work while the home closes or the target cannot serve it.

        :raises RefusalError: not run.
        """
        if self.closing:
            raise wrong_home_refusal()
        if self.leaving:
            raise target_leaving_refusal()
        if self.unreachable_since is not None:
            raise target_unreachable_refusal()

    def merge_result(self, result: TargetResult) -> None:
        """Advance the known state to the position of a result of the same term."""
        state = self.state
        if state is None or result.term != state.leader_term:
            return
        position = result.position
        if not state.applied < position:
            return
        self.state = MemberState(
            state.member,
            state.role,
            state.promised,
            state.leader_term,
            max(state.held, position),
            position,
            state.connections,
            state.revision,
        )

    def handle_refusal(self, error: TargetRefusedError) -> None:
        """Stop sending new work if the target refuses it because it is leaving."""
        if error.code == "leaving" and not self.leaving:
            self.leaving = True
            self.timeline.record(EventKind.TARGET_LEAVING, self.member.member_id)

    def handle_reachability_change(self, since: float | None) -> None:
        """Handle that the target has become unreachable or reachable again."""
        self.unreachable_since = since
        if since is None:
            log.info("target {} is reachable again", self.member.member_id)
            return
        log.warning(
            "target {} is unreachable; dropping statements in progress",
            self.member.member_id,
        )
        self.calls.drop_all()
        self.pool.suspect_idle()

    def handle_silent_connection(self) -> None:
        """Verify idle connections after one went silent while the target is alive."""
        log.info(
            "connection to target {} went silent; verifying the idle ones",
            self.member.member_id,
        )
        self.timeline.record(EventKind.CONNECTION_SILENT, self.member.member_id)
        self.pool.suspect_idle()

    def handle_write_stall(self, since: float | None) -> None:
        """Report that writes have stalled, or are answered again."""
        member, group = self.member.member_id, self.group.name
        if since is None:
            self.timeline.record(EventKind.WRITES_ANSWERED, member, group=group)
            return
        log.warning("target {} is reachable but does not answer writes", member)
        self.metrics.increment("home.writes_stalled")
        stalled_ms = round((self.clock.monotonic() - since) * MS_PER_SECOND)
        self.timeline.record(
            EventKind.WRITES_STALLED, member, group=group, since_ms=stalled_ms
        )

    def target_is_full(self) -> bool:
        """Return whether the target has recently reported that it is full."""
        state = self.state
        if state is None or state.connections < self.group.connections:
            return False
        return (
            self.clock.monotonic() - self.state_received
            < CONNECTION_COUNT_VALIDITY_SECONDS
        )

    def run_housekeeping(self) -> None:
        """Close unused connections and report gauges, once per interval."""
        now = self.clock.monotonic()
        if now - self.reported < METRICS_INTERVAL_SECONDS:
            return
        self.reported = now
        self.pool.close_unused()
        prefix = f"target.{self.member.member_id}"
        self.metrics.gauge(f"{prefix}.queued", self.slots.queued)
        self.metrics.gauge(f"{prefix}.busy", self.slots.busy)
        self.metrics.gauge(f"{prefix}.connections", self.pool.open)

    def rollback_result(self) -> TargetResult:
        """Return the result of a rollback, which has no position of its own."""
        state = self.state
        if state is None:
            return TargetResult([], [], 0, ORIGIN, 0, Role.REPLICA)
        return TargetResult([], [], 0, state.applied, state.leader_term, state.role)

    async def wait_until_idle(self, timeout: float) -> bool:
        """Return whether all work ends within `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while not self.is_idle():
                    self.work_ended.clear()
                    await self.work_ended.wait()
        except TimeoutError:
            return False
        return True

    def is_idle(self) -> bool:
        """Return whether no statement runs and no transaction is open."""
        return self.active == 0 and not self.transactions.registry.open

    async def stop(self) -> None:
        """Stop the tasks of the home and close its connections."""
        if self.watching is not None:
            self.watching.cancel()
            await asyncio.gather(self.watching, return_exceptions=True)
        await self.transactions.close()
        await self.health.close()
        await self.pool.close()
