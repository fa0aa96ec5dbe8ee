"""Run a statement at the local home of its target and prove its consistency."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import Role, TargetResult
from ...peer import HostRef
from ...request.position import Position
from ...request.refusal import RefusalReason, not_run
from ...request.statement import Consistency, Statement, StatementKind, StatementResult
from ...request.statement_executor import HomeResponse, StatementExecutor
from .group_manager import GroupManager

COVER_WAIT_FRACTION: Final = 0.2
MAX_COVER_WAIT_SECONDS: Final = 0.05
PROOF_WAIT_FRACTION: Final = 0.25
MAX_PROOF_WAIT_SECONDS: Final = 0.25
RETRY_AFTER_MS: Final = 20
OPEN_TRANSACTION_KINDS: Final = frozenset(
    {StatementKind.STEP, StatementKind.COMMIT, StatementKind.ROLLBACK}
)

HomeLookup: TypeAlias = Callable[[str], Home | None]
TransactionHomeLookup: TypeAlias = Callable[[str, Statement], Home]
GroupManagerLookup: TypeAlias = Callable[[str], GroupManager | None]


class StatementExecution:
    """Execution of one statement.

    :ivar started_at: local monotonic time in seconds at which the statement arrived;
        after :meth:`run`, at which it was sent to the target.
    """

    __slots__ = ("home", "manager", "statement", "clock", "started_at")

    def __init__(
        self, home: Home, manager: GroupManager, statement: Statement, clock: Clock
    ) -> None:
        self.home = home
        self.manager = manager
        self.statement = statement
        self.clock = clock
        self.started_at = clock.monotonic()

    @property
    def member(self) -> str:
        """Return the member that runs the statement."""
        return self.home.member.member_id

    def elapsed(self) -> float:
        """Return the seconds since `started_at`."""
        return self.clock.monotonic() - self.started_at

    def remaining(self) -> float:
        """Return the seconds left to the deadline."""
        return max(0.0, self.statement.remaining - self.elapsed())

    async def run(self) -> TargetResult:
        """Run the statement at the target with the remaining time."""
        self.statement.remaining = self.remaining()
        self.started_at = self.clock.monotonic()
        return await self.home.run(self.statement)


class LocalStatementExecutor(StatementExecutor):
    """Execute statements at members whose home is on this host.

    :param find_home: returns the local home of a member, or None.
    :param find_transaction_home: returns the home that holds the transaction of a
        statement, or refuses it; released homes with open transactions count.
    :param find_manager: returns the group manager of a group, or None.
    :param host: this host.
    """

    def __init__(
        self,
        find_home: HomeLookup,
        find_transaction_home: TransactionHomeLookup,
        find_manager: GroupManagerLookup,
        clock: Clock,
        host: HostRef,
    ) -> None:
        self.find_home = find_home
        self.find_transaction_home = find_transaction_home
        self.find_manager = find_manager
        self.clock = clock
        self.host = host

    async def execute(self, member: str, statement: Statement) -> HomeResponse:
        home = self.home_for_statement(member, statement)
        manager = self.find_manager(statement.group)
        if home is None or manager is None:
            raise not_run(
                RefusalReason.WRONG_HOME,
                f"{member} has no home on this host",
                RETRY_AFTER_MS,
            )
        work = StatementExecution(home, manager, statement, self.clock)
        result = await self.answer(work)
        manager.reporter.merge_local_state(home)
        return HomeResponse(result, home.load().wait, manager.view, self.host)

    def home_for_statement(self, member: str, statement: Statement) -> Home | None:
        """Return the local home that has to run a statement, or None.

        :raises RefusalError: if it belongs to a transaction that is not open here.
        """
        if statement.kind in OPEN_TRANSACTION_KINDS:
            return self.find_transaction_home(member, statement)
        return self.find_home(member)

    async def answer(self, work: StatementExecution) -> StatementResult:
        """Execute a statement by its kind."""
        kind = work.statement.kind
        if kind is StatementKind.READ:
            return await read(work)
        if kind is StatementKind.WRITE:
            return await write(work)
        if kind is StatementKind.COMMIT:
            return await commit(work)
        if kind is StatementKind.BEGIN:
            return await begin(work)
        return reply(work, await work.run(), None)


async def read(work: StatementExecution) -> StatementResult:
    """Execute a read at its consistency level."""
    if work.statement.consistency is Consistency.FRESH:
        return await fresh_read(work)
    if work.statement.consistency is Consistency.MAX_AGE:
        return await bounded_read(work)
    return await session_read(work)


async def fresh_read(work: StatementExecution) -> StatementResult:
    """Read at the primary and prove that it led after the request arrived.

    The confirmation runs concurrently with the read. It proves that no other
    primary had acknowledged a write before the request arrived.
    """
    await check_is_primary(work)
    asked = work.clock.monotonic()
    round_number = work.manager.request_confirmation()
    result = await work.run()
    if result.role is not Role.PRIMARY or result.position.term != result.term:
        raise not_run(
            RefusalReason.UNCONFIRMED, "the member does not lead now", RETRY_AFTER_MS
        )
    await work.manager.wait_until_confirmed(
        round_number, result.position, work.remaining()
    )
    return reply(work, result, work.clock.monotonic() - asked)


async def session_read(work: StatementExecution) -> StatementResult:
    """Read once the member has applied the session's position."""
    min_position = work.statement.min_position
    if min_position is not None:
        await wait_until_covered(work, min_position)
    result = await work.run()
    if min_position is not None and not result.position.covers(min_position):
        raise not_covered(work)
    await check_durable(work, result)
    return reply(work, result, work.manager.age(result.position))


async def bounded_read(work: StatementExecution) -> StatementResult:
    """Read once the age is proved, and prove it again for the result."""
    bound = work.statement.max_age
    if bound is None:
        raise not_run(RefusalReason.BAD_REQUEST, "a bounded read needs a maximum age")
    await wait_for_age_proof(work, bound)
    result = await work.run()
    await check_durable(work, result)
    age = work.manager.age(result.position)
    if age is None or age > bound:
        raise age_unproved(work)
    return reply(work, result, age)


async def write(work: StatementExecution) -> StatementResult:
    """Write at the primary and return once a majority holds the entry."""
    await check_is_primary(work)
    work.manager.check_majority_reachable()
    result = await work.run()
    work.manager.record_write(work.member, result.position)
    await work.manager.wait_until_durable(
        result.position, work.remaining(), work.started_at
    )
    return reply(work, result, None)


async def begin(work: StatementExecution) -> StatementResult:
    """Open a transaction, or repeat the result of a committed one with its id.

    A repeated result acknowledges the commit, which has to be durable.
    """
    await check_is_primary(work)
    result = await work.run()
    if result.repeated:
        work.manager.record_write(work.member, result.position)
        await work.manager.wait_until_durable(
            result.position, work.remaining(), work.started_at
        )
    return reply(work, result, None)


async def commit(work: StatementExecution) -> StatementResult:
    """Commit and return once the transaction's entry is durable.

    A read-only transaction has no entry of its own. A confirmation proves that
    its reads came from a primary that still led.
    """
    round_number = work.manager.request_confirmation()
    result = await work.run()
    already_durable = work.manager.group_state.durability.is_durable(result.position)
    work.manager.record_write(work.member, result.position)
    if already_durable:
        await work.manager.wait_until_confirmed(
            round_number, result.position, work.remaining()
        )
    else:
        await work.manager.wait_until_durable(
            result.position, work.remaining(), work.started_at
        )
    return reply(work, result, None)


async def check_is_primary(work: StatementExecution) -> None:
    """Delay work for the primary during a handover, and refuse it at a replica.

    :raises RefusalError: ``no_primary`` if another member is known to lead, or
        ``deadline`` if the handover takes too long.
    """
    writes_allowed = work.manager.planned_handover.writes_allowed
    if not writes_allowed.is_set():
        await wait_for_handover(work, writes_allowed)
    primary = work.manager.group_state.primary
    if primary is not None and primary != work.member:
        raise not_run(RefusalReason.NO_PRIMARY, f"{primary} leads now", RETRY_AFTER_MS)


async def wait_for_handover(work: StatementExecution, gate: asyncio.Event) -> None:
    """Wait until the handover has ended."""
    try:
        async with asyncio.timeout(work.remaining()):
            await gate.wait()
    except TimeoutError:
        raise not_run(
            RefusalReason.DEADLINE, "the primary is being moved", RETRY_AFTER_MS
        ) from None


async def wait_until_covered(work: StatementExecution, covers: Position) -> None:
    """Wait a short time until the member is known to have applied `covers`.

    If the state of the member is unknown, the read is tried and its result is
    checked.

    :raises RefusalError: ``not_covered`` if the member still lags.
    """
    deadline = work.clock.monotonic() + min(
        MAX_COVER_WAIT_SECONDS, COVER_WAIT_FRACTION * work.remaining()
    )
    while True:
        state = work.home.state
        if state is None or state.role is Role.PRIMARY or state.applied >= covers:
            return
        seconds_left = deadline - work.clock.monotonic()
        if seconds_left <= 0.0:
            raise not_covered(work)
        await work.home.wait_for_state_change(state.revision, seconds_left)


async def wait_for_age_proof(work: StatementExecution, bound: float) -> None:
    """Wait a short time until the member's age is proved to be within `bound`.

    :raises RefusalError: ``age_unproved`` if it is not proved in time.
    """
    manager = work.manager
    manager.reporter.record_wanted_age(bound)
    deadline = work.clock.monotonic() + min(
        MAX_PROOF_WAIT_SECONDS, PROOF_WAIT_FRACTION * work.remaining()
    )
    while not is_age_proved(work, bound):
        seconds_left = deadline - work.clock.monotonic()
        if seconds_left <= 0.0:
            raise age_unproved(work)
        await wait_for_next_proof(work, bound, seconds_left)


def is_age_proved(work: StatementExecution, bound: float) -> bool:
    """Return whether the member's state is proved to be within `bound` now."""
    state = work.home.state
    if state is None:
        return False
    age = work.manager.age(state.applied)
    return age is not None and age <= bound


async def wait_for_next_proof(
    work: StatementExecution, bound: float, left: float
) -> None:
    """Wait for a newer sample, or for the member to apply the newest one."""
    state = work.home.state
    newest = work.manager.group_state.samples.newest
    now = work.clock.monotonic()
    if state is not None and newest is not None and now - newest.as_of <= bound / 2:
        await work.home.wait_for_state_change(state.revision, left)
        return
    try:
        async with asyncio.timeout(left):
            await work.manager.sampler.fetch_shared_sample(bound)
    except TimeoutError:
        return


async def check_durable(work: StatementExecution, result: TargetResult) -> None:
    """Refuse to return entries that a change of primary may still revoke.

    Entries of a replica are also on the primary. A primary, or a fenced former
    primary, may hold entries that no other member has.

    :raises RefusalError: ``not_covered`` if the entries do not become durable soon.
    """
    if result.role is Role.REPLICA:
        return
    durability = work.manager.group_state.durability
    if durability.is_durable(result.position):
        return
    timeout = min(MAX_COVER_WAIT_SECONDS, COVER_WAIT_FRACTION * work.remaining())
    try:
        durable = await durability.wait(result.position, timeout)
    except TimeoutError:
        durable = False
    if not durable:
        raise not_covered(work)


def not_covered(work: StatementExecution) -> Exception:
    """Return the refusal for a member that lags behind the session."""
    work.manager.metrics.increment("executor.not_covered")
    return not_run(
        RefusalReason.NOT_COVERED,
        f"{work.member} does not durably hold what the session has seen",
        RETRY_AFTER_MS,
    )


def age_unproved(work: StatementExecution) -> Exception:
    """Return the refusal for a member whose age is not proved."""
    work.manager.metrics.increment("executor.age_unproved")
    return not_run(
        RefusalReason.AGE_UNPROVED,
        f"the age of {work.member} is not proved to be within the bound",
        RETRY_AFTER_MS,
    )


def reply(
    work: StatementExecution, result: TargetResult, age: float | None
) -> StatementResult:
    """Return the result for the caller."""
    return StatementResult(
        result.columns,
        result.rows,
        result.rowcount,
        work.member,
        result.role.value,
        result.position,
        age,
        result.repeated,
        work.statement.transaction,
    )
