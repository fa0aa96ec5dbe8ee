"""Run a statement at the home of its target and prove what it demands."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

from ...clock import Clock
from ...connection.home import Home
from ...connection.target import Role, TargetResult
from ...peer import HostRef
from ...request.execution import HomeResponse, StatementExecutor
from ...request.position import Position
from ...request.refusal import RefusalReason, not_run
from ...request.statement import Consistency, Statement, StatementKind, StatementResult
from .group import GroupKeeper

COVER_SHARE: Final = 0.2
COVER_LIMIT: Final = 0.05
PROOF_SHARE: Final = 0.25
PROOF_LIMIT: Final = 0.25
RETRY_SOON_MS: Final = 20
OF_TRANSACTION: Final = frozenset(
    {StatementKind.STEP, StatementKind.COMMIT, StatementKind.ROLLBACK}
)

Homes: TypeAlias = Callable[[str], Home | None]
Holding: TypeAlias = Callable[[str, Statement], Home]
Keepers: TypeAlias = Callable[[str], GroupKeeper | None]


class Work:
    """Carry one statement through its execution.

    :param begun: local monotonic time in seconds at which it arrived.
    """

    __slots__ = ("home", "keeper", "statement", "clock", "begun")

    def __init__(
        self, home: Home, keeper: GroupKeeper, statement: Statement, clock: Clock
    ) -> None:
        self.home = home
        self.keeper = keeper
        self.statement = statement
        self.clock = clock
        self.begun = clock.monotonic()

    @property
    def member(self) -> str:
        """Return the member that runs the statement."""
        return self.home.member.member

    def elapsed(self) -> float:
        """Return seconds since the statement arrived."""
        return self.clock.monotonic() - self.begun

    def remaining(self) -> float:
        """Return the seconds left to the deadline."""
        return max(0.0, self.statement.remaining - self.elapsed())

    async def run(self) -> TargetResult:
        """Run the statement at the target with the time that is left."""
        self.statement.remaining = self.remaining()
        self.begun = self.clock.monotonic()
        return await self.home.run(self.statement)


class Executor(StatementExecutor):
    """Execute statements at members whose home is here.

    :param homes: gives the local home of a member, or None.
    :param holding: gives the home that holds the transaction of a statement, or
        refuses it; it may be a former one, where the transaction may still end.
    :param keepers: gives the keeper of a group, or None.
    :param host: this host.
    """

    def __init__(
        self,
        homes: Homes,
        holding: Holding,
        keepers: Keepers,
        clock: Clock,
        host: HostRef,
    ) -> None:
        self.homes = homes
        self.holding = holding
        self.keepers = keepers
        self.clock = clock
        self.host = host

    async def execute(self, member: str, statement: Statement) -> HomeResponse:
        home = self.home(member, statement)
        keeper = self.keepers(statement.group)
        if home is None or keeper is None:
            raise not_run(
                RefusalReason.WRONG_HOME, f"{member} is not at home here", RETRY_SOON_MS
            )
        work = Work(home, keeper, statement, self.clock)
        answer = await self.answer(work)
        keeper.reporter.learn(home)
        return HomeResponse(answer, home.load().wait, keeper.view, self.host)

    def home(self, member: str, statement: Statement) -> Home | None:
        """Return the home here that is to run a statement, or None.

        :raises Refusal: if it belongs to a transaction that is not open here.
        """
        if statement.kind in OF_TRANSACTION:
            return self.holding(member, statement)
        return self.homes(member)

    async def answer(self, work: Work) -> StatementResult:
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


async def read(work: Work) -> StatementResult:
    """Execute a read with the consistency that it demands."""
    if work.statement.consistency is Consistency.FRESH:
        return await fresh_read(work)
    if work.statement.consistency is Consistency.MAX_AGE:
        return await bounded_read(work)
    return await session_read(work)


async def fresh_read(work: Work) -> StatementResult:
    """Read at the primary and prove that it led after the question came.

    The confirmation runs beside the read: it shows that nothing was
    acknowledged elsewhere before it, hence before the question came.
    """
    await check_lead(work)
    asked = work.clock.monotonic()
    ticket = work.keeper.request_confirmation()
    result = await work.run()
    if result.role is not Role.PRIMARY or result.position.term != result.term:
        raise not_run(
            RefusalReason.UNCONFIRMED, "the member does not lead now", RETRY_SOON_MS
        )
    await work.keeper.confirmed(ticket, result.position, work.remaining())
    return reply(work, result, work.clock.monotonic() - asked)


async def session_read(work: Work) -> StatementResult:
    """Read once the member has applied the position that must be covered."""
    covers = work.statement.min_position
    if covers is not None:
        await await_covered(work, covers)
    result = await work.run()
    if covers is not None and not result.position.covers(covers):
        raise not_covered(work)
    await check_kept(work, result)
    return reply(work, result, work.keeper.age(result.position))


async def bounded_read(work: Work) -> StatementResult:
    """Read where the age is proved, and prove it again for the answer."""
    bound = work.statement.max_age
    if bound is None:
        raise not_run(RefusalReason.BAD_REQUEST, "a bounded read needs an age")
    await await_proof(work, bound)
    result = await work.run()
    await check_kept(work, result)
    age = work.keeper.age(result.position)
    if age is None or age > bound:
        raise age_unproved(work)
    return reply(work, result, age)


async def write(work: Work) -> StatementResult:
    """Write at the primary and answer once a majority holds the entry."""
    await check_lead(work)
    work.keeper.check_reach()
    result = await work.run()
    work.keeper.wrote(work.member, result.position)
    await work.keeper.durable(result.position, work.remaining(), work.begun)
    return reply(work, result, None)


async def begin(work: Work) -> StatementResult:
    """Open a transaction, or answer for one that committed under the same id.

    The latter acknowledges the commit, which has to be durable like any other.
    """
    await check_lead(work)
    result = await work.run()
    if result.repeated:
        work.keeper.wrote(work.member, result.position)
        await work.keeper.durable(result.position, work.remaining(), work.begun)
    return reply(work, result, None)


async def commit(work: Work) -> StatementResult:
    """Commit and answer once the transaction's entry is durable.

    A transaction that wrote nothing has no entry of its own; a confirmation
    shows instead that its reads were those of a primary that still led.
    """
    ticket = work.keeper.request_confirmation()
    result = await work.run()
    known = work.keeper.knowledge.durability.holds(result.position)
    work.keeper.wrote(work.member, result.position)
    if known:
        await work.keeper.confirmed(ticket, result.position, work.remaining())
    else:
        await work.keeper.durable(result.position, work.remaining(), work.begun)
    return reply(work, result, None)


async def check_lead(work: Work) -> None:
    """Hold work for the primary back during a hand-over, refuse it elsewhere.

    :raises Refusal: if the member is known not to lead.
    """
    gate = work.keeper.handing.open
    if not gate.is_set():
        await pass_gate(work, gate)
    primary = work.keeper.knowledge.primary
    if primary is not None and primary != work.member:
        raise not_run(RefusalReason.NO_PRIMARY, f"{primary} leads now", RETRY_SOON_MS)


async def pass_gate(work: Work, gate: asyncio.Event) -> None:
    """Wait until the hand-over has ended."""
    try:
        async with asyncio.timeout(work.remaining()):
            await gate.wait()
    except TimeoutError:
        raise not_run(
            RefusalReason.DEADLINE, "the primary is being moved", RETRY_SOON_MS
        ) from None


async def await_covered(work: Work, covers: Position) -> None:
    """Wait a short time until the member is known to have applied `covers`.

    A member whose state is unknown may cover it; its answer will tell.

    :raises Refusal: ``not_covered`` if it stays behind.
    """
    until = work.clock.monotonic() + min(COVER_LIMIT, COVER_SHARE * work.remaining())
    while True:
        state = work.home.state
        if state is None or state.role is Role.PRIMARY or state.applied >= covers:
            return
        left = until - work.clock.monotonic()
        if left <= 0.0:
            raise not_covered(work)
        await work.home.wait_for_state_change(state.revision, left)


async def await_proof(work: Work, bound: float) -> None:
    """Wait a short time until the member's age is proved to be within `bound`.

    :raises Refusal: ``age_unproved`` if it cannot be proved.
    """
    keeper = work.keeper
    keeper.reporter.desire(bound)
    until = work.clock.monotonic() + min(PROOF_LIMIT, PROOF_SHARE * work.remaining())
    while not proved(work, bound):
        left = until - work.clock.monotonic()
        if left <= 0.0:
            raise age_unproved(work)
        await next_proof(work, bound, left)


def proved(work: Work, bound: float) -> bool:
    """Say whether the known state of the member is young enough now."""
    state = work.home.state
    if state is None:
        return False
    age = work.keeper.age(state.applied)
    return age is not None and age <= bound


async def next_proof(work: Work, bound: float, left: float) -> None:
    """Wait for a newer sample, or for the member to catch up with the newest."""
    state = work.home.state
    newest = work.keeper.knowledge.samples.newest
    now = work.clock.monotonic()
    if state is not None and newest is not None and now - newest.dated <= bound / 2:
        await work.home.wait_for_state_change(state.revision, left)
        return
    try:
        async with asyncio.timeout(left):
            await work.keeper.sampling.prove(bound)
    except TimeoutError:
        return


async def check_kept(work: Work, result: TargetResult) -> None:
    """Refuse to show entries that a change of primary may still take back.

    A replica's entries are held by the primary and itself. A primary, or one
    that was fenced, may hold entries of its own that nobody else has.

    :raises Refusal: ``not_covered`` if the entries are not safe soon.
    """
    if result.role is Role.REPLICA:
        return
    durability = work.keeper.knowledge.durability
    if durability.holds(result.position):
        return
    limit = min(COVER_LIMIT, COVER_SHARE * work.remaining())
    try:
        held = await durability.wait(result.position, limit)
    except TimeoutError:
        held = False
    if not held:
        raise not_covered(work)


def not_covered(work: Work) -> Exception:
    """Return the refusal of a member that lags behind the session."""
    work.keeper.metrics.increment("executor.not_covered")
    return not_run(
        RefusalReason.NOT_COVERED,
        f"{work.member} does not hold safely what the session has seen",
        RETRY_SOON_MS,
    )


def age_unproved(work: Work) -> Exception:
    """Return the refusal of a member whose age cannot be proved."""
    work.keeper.metrics.increment("executor.age_unproved")
    return not_run(
        RefusalReason.AGE_UNPROVED,
        f"the age of {work.member} is not proved to be within the bound",
        RETRY_SOON_MS,
    )


def reply(work: Work, result: TargetResult, age: float | None) -> StatementResult:
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
