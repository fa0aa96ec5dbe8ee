"""Run a statement at the home of its target and prove what it demands."""

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
    """Carry one statement through its execution.

    :param started_at: local monotonic time in seconds at which it arrived.
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
        """Return seconds since the statement arrived."""
        return self.clock.monotonic() - self.started_at

    def remaining(self) -> float:
        """Return the seconds left to the deadline."""
        return max(0.0, self.statement.remaining - self.elapsed())

    async def run(self) -> TargetResult:
        """Run the statement at the target with the time that is left."""
        self.statement.remaining = self.remaining()
        self.started_at = self.clock.monotonic()
        return await self.home.run(self.statement)


class LocalStatementExecutor(StatementExecutor):
    """Execute statements at members whose home is here.

    :param find_home: gives the local home of a member, or None.
    :param find_transaction_home: gives the home that holds the transaction of a
        statement, or
        refuses it; it may be a former one, where the transaction may still end.
    :param find_manager: gives the keeper of a group, or None.
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
        keeper = self.find_manager(statement.group)
        if home is None or keeper is None:
            raise not_run(
                RefusalReason.WRONG_HOME,
                f"{member} is not at home here",
                RETRY_AFTER_MS,
            )
        work = StatementExecution(home, keeper, statement, self.clock)
        answer = await self.answer(work)
        keeper.reporter.merge_local_state(home)
        return HomeResponse(answer, home.load().wait, keeper.view, self.host)

    def home_for_statement(self, member: str, statement: Statement) -> Home | None:
        """Return the home here that is to run a statement, or None.

        :raises Refusal: if it belongs to a transaction that is not open here.
        """
        if statement.kind in OPEN_TRANSACTION_KINDS:
            return self.find_transaction_home(member, statement)
        return self.find_home(member)

    async def answer(self, work: StatementExecution) -> StatementResult:
        """Execute by kind."""
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
    """Execute a read with the consistency that it demands."""
    if work.statement.consistency is Consistency.FRESH:
        return await fresh_read(work)
    if work.statement.consistency is Consistency.MAX_AGE:
        return await bounded_read(work)
    return await session_read(work)


async def fresh_read(work: StatementExecution) -> StatementResult:
    """Read at the primary and prove that it led after the question came.

    The confirmation runs beside the read: it shows that nothing was
    acknowledged elsewhere before it, hence before the question came.
    """
    await check_is_primary(work)
    asked = work.clock.monotonic()
    ticket = work.manager.request_confirmation()
    result = await work.run()
    if result.role is not Role.PRIMARY or result.position.term != result.term:
        raise not_run(
            RefusalReason.UNCONFIRMED, "the member does not lead now", RETRY_AFTER_MS
        )
    await work.manager.wait_until_confirmed(ticket, result.position, work.remaining())
    return reply(work, result, work.clock.monotonic() - asked)


async def session_read(work: StatementExecution) -> StatementResult:
    """Read once the member has applied the position that must be covered."""
    covers = work.statement.min_position
    if covers is not None:
        await wait_until_covered(work, covers)
    result = await work.run()
    if covers is not None and not result.position.covers(covers):
        raise not_covered(work)
    await check_durable(work, result)
    return reply(work, result, work.manager.age(result.position))


async def bounded_read(work: StatementExecution) -> StatementResult:
    """Read where the age is proved, and prove it again for the answer."""
    bound = work.statement.max_age
    if bound is None:
        raise not_run(RefusalReason.BAD_REQUEST, "a bounded read needs an age")
    await wait_for_age_proof(work, bound)
    result = await work.run()
    await check_durable(work, result)
    age = work.manager.age(result.position)
    if age is None or age > bound:
        raise age_unproved(work)
    return reply(work, result, age)


async def write(work: StatementExecution) -> StatementResult:
    """Write at the primary and answer once a majority holds the entry."""
    await check_is_primary(work)
    work.manager.check_majority_reachable()
    result = await work.run()
    work.manager.record_write(work.member, result.position)
    await work.manager.wait_until_durable(
        result.position, work.remaining(), work.started_at
    )
    return reply(work, result, None)


async def begin(work: StatementExecution) -> StatementResult:
    """Open a transaction, or answer for one that committed under the same id.

    The latter acknowledges the commit, which has to be durable like any other.
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
    """Commit and answer once the transaction's entry is durable.

    A transaction that wrote nothing has no entry of its own; a confirmation
    shows instead that its reads were those of a primary that still led.
    """
    ticket = work.manager.request_confirmation()
    result = await work.run()
    known = work.manager.group_state.durability.is_durable(result.position)
    work.manager.record_write(work.member, result.position)
    if known:
        await work.manager.wait_until_confirmed(
            ticket, result.position, work.remaining()
        )
    else:
        await work.manager.wait_until_durable(
            result.position, work.remaining(), work.started_at
        )
    return reply(work, result, None)


async def check_is_primary(work: StatementExecution) -> None:
    """Hold work for the primary back during a hand-over, refuse it elsewhere.

    :raises Refusal: if the member is known not to lead.
    """
    gate = work.manager.planned_handover.writes_allowed
    if not gate.is_set():
        await wait_for_handover(work, gate)
    primary = work.manager.group_state.primary
    if primary is not None and primary != work.member:
        raise not_run(RefusalReason.NO_PRIMARY, f"{primary} leads now", RETRY_AFTER_MS)


async def wait_for_handover(work: StatementExecution, gate: asyncio.Event) -> None:
    """Wait until the hand-over has ended."""
    try:
        async with asyncio.timeout(work.remaining()):
            await gate.wait()
    except TimeoutError:
        raise not_run(
            RefusalReason.DEADLINE, "the primary is being moved", RETRY_AFTER_MS
        ) from None


async def wait_until_covered(work: StatementExecution, covers: Position) -> None:
    """Wait a short time until the member is known to have applied `covers`.

    A member whose state is unknown may cover it; its answer will tell.

    :raises Refusal: ``not_covered`` if it stays behind.
    """
    until = work.clock.monotonic() + min(
        MAX_COVER_WAIT_SECONDS, COVER_WAIT_FRACTION * work.remaining()
    )
    while True:
        state = work.home.state
        if state is None or state.role is Role.PRIMARY or state.applied >= covers:
            return
        left = until - work.clock.monotonic()
        if left <= 0.0:
            raise not_covered(work)
        await work.home.wait_for_state_change(state.revision, left)


async def wait_for_age_proof(work: StatementExecution, bound: float) -> None:
    """Wait a short time until the member's age is proved to be within `bound`.

    :raises Refusal: ``age_unproved`` if it cannot be proved.
    """
    keeper = work.manager
    keeper.reporter.record_wanted_age(bound)
    until = work.clock.monotonic() + min(
        MAX_PROOF_WAIT_SECONDS, PROOF_WAIT_FRACTION * work.remaining()
    )
    while not is_age_proved(work, bound):
        left = until - work.clock.monotonic()
        if left <= 0.0:
            raise age_unproved(work)
        await wait_for_next_proof(work, bound, left)


def is_age_proved(work: StatementExecution, bound: float) -> bool:
    """Say whether the known state of the member is young enough now."""
    state = work.home.state
    if state is None:
        return False
    age = work.manager.age(state.applied)
    return age is not None and age <= bound


async def wait_for_next_proof(
    work: StatementExecution, bound: float, left: float
) -> None:
    """Wait for a newer sample, or for the member to catch up with the newest."""
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
    """Refuse to show entries that a change of primary may still take back.

    A replica's entries are held by the primary and itself. A primary, or one
    that was fenced, may hold entries of its own that nobody else has.

    :raises Refusal: ``not_covered`` if the entries are not safe soon.
    """
    if result.role is Role.REPLICA:
        return
    durability = work.manager.group_state.durability
    if durability.is_durable(result.position):
        return
    limit = min(MAX_COVER_WAIT_SECONDS, COVER_WAIT_FRACTION * work.remaining())
    try:
        held = await durability.wait(result.position, limit)
    except TimeoutError:
        held = False
    if not held:
        raise not_covered(work)


def not_covered(work: StatementExecution) -> Exception:
    """Return the refusal of a member that lags behind the session."""
    work.manager.metrics.increment("executor.not_covered")
    return not_run(
        RefusalReason.NOT_COVERED,
        f"{work.member} does not hold safely what the session has seen",
        RETRY_AFTER_MS,
    )


def age_unproved(work: StatementExecution) -> Exception:
    """Return the refusal of a member whose age cannot be proved."""
    work.manager.metrics.increment("executor.age_unproved")
    return not_run(
        RefusalReason.AGE_UNPROVED,
        f"the age of {work.member} is not proved to be within the bound",
        RETRY_AFTER_MS,
    )


def reply(
    work: StatementExecution, result: TargetResult, age: float | None
) -> StatementResult:
    """Make the answer to `result`."""
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
