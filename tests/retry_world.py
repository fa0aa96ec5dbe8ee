"""A router before three targets whose homes are scripted, without a network.

world = RetryWorld()
world.behave("t1", failing(world, 0.4))
located = await world.read()
world.attempts               # the targets that ran a statement, in order
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from reedhook.connection.session_state import SessionState
from reedhook.connection.session_target import SessionTargetReply, StatementFault
from reedhook.decision_log import DecisionLog
from reedhook.host_directory import HostDirectory
from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.primary_lease.lease_record import (
    HostIncarnation,
    PrimaryLeaseRecord,
)
from reedhook.process.primary_lease.lease_registry import PrimaryLeaseRegistry
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalReason, not_run
from reedhook.request.retry_budget import RetryBudget
from reedhook.request.retrying_replica_reader import RetryingReplicaReader
from reedhook.request.retrying_router import RetryingRouter
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    SessionStatementResult,
    TransactionMode,
)
from reedhook.request.statement_forwarder import (
    LocatedResult,
    StatementForwarder,
    StatementLocation,
)
from reedhook.request.statement_retries import StatementRetries
from reedhook.request.target_load import TargetCondition, TargetLoad
from reedhook.request.target_loads import TargetLoads
from reedhook.version.route_table import Route, RouteConsistency, TargetAnnouncement

from .fakes_clock import LoopClock

ME = HostRef("h0", "z0", "10.0.0.0:1")
REQUIRED = Position(1, 5)
WORK_SECONDS = 0.004
PRIMARY = "t0"
ROUTE = Route("views", "db", RouteConsistency.OWN_WRITES, 0.8, 0.25, 1, None, True)

Behaviour = Callable[[SessionStatement], Awaitable[SessionTargetReply]]


def reply(
    fault: StatementFault = StatementFault.NONE,
    state: SessionState = SessionState.IDLE,
    position: Position | None = REQUIRED,
) -> SessionTargetReply:
    """Return the reply of a target."""
    return SessionTargetReply(["row"], "mac", fault, "", state, position)


async def healthy(statement: SessionStatement) -> SessionTargetReply:
    """Run a statement."""
    await asyncio.sleep(WORK_SECONDS)
    return reply()


def answering(
    fault: StatementFault, state: SessionState = SessionState.IDLE
) -> Behaviour:
    """Answer each statement with an error."""

    async def answer(statement: SessionStatement) -> SessionTargetReply:
        await asyncio.sleep(WORK_SECONDS)
        return reply(fault, state)

    return answer


def refusing(reason: RefusalReason, seconds: float = 0.001) -> Behaviour:
    """Refuse each statement as not run."""

    async def refuse(statement: SessionStatement) -> SessionTargetReply:
        await asyncio.sleep(seconds)
        raise not_run(reason, "refused", 50)

    return refuse


class OneHomeEach(HostDirectory):
    """Give each target a home of its own."""

    @property
    def me(self) -> HostRef:
        return ME

    def ranked(self, member: str, zone: str) -> list[HostRef]:
        return [HostRef(f"home-{member}", zone, f"10.0.1.{member[1:]}:1")]

    def subscribe(self, callback: Callable[[], None]) -> None:
        pass


class OneRecord(PrimaryLeaseRegistry):
    """Know the holder of the primary lease of one service."""

    def __init__(self) -> None:
        holder = HostIncarnation(HostRef("holder", "z0", "10.0.2.1:1"), "1")
        self.records = {
            "db": PrimaryLeaseRecord(
                "db", holder, None, [], True, PRIMARY, 1, "", StoreRevision(0, 1)
            )
        }


class ScriptedForwarder(StatementForwarder):
    """Run each statement by the script of its target, and record it."""

    def __init__(self, world: "RetryWorld") -> None:
        super().__init__(
            ME,
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            lambda: False,
            world.clock,
            world.decisions,
        )
        self.world = world

    async def run_at(
        self, location: StatementLocation, statement: SessionStatement
    ) -> SessionStatementResult:
        target = location.target or PRIMARY
        self.world.attempts.append(target)
        self.world.required.append(statement.min_position)
        answer = await self.world.behaviours[target](statement)
        return SessionStatementResult(target, answer, None)

    def expects_failover(self, host: HostRef) -> bool:
        return False


class FixedTargets:
    """Announce three targets of one zone."""

    def __init__(self) -> None:
        self.targets = {
            name: TargetAnnouncement(name, "db", "", "z0", False, False, 1)
            for name in ("t0", "t1", "t2")
        }


class RetryWorld:
    """Run statements of one host at a primary and two replicas.

    :ivar attempts: the targets at which statements ran, in order.
    :ivar required: the position that each of these statements required.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = LoopClock()
        self.decisions = DecisionLog("h0", self.clock, output_fd=None)
        self.metrics = MemoryMetrics()
        self.random = Random(seed)
        self.behaviours: dict[str, Behaviour] = dict.fromkeys(
            ("t0", "t1", "t2"), healthy
        )
        self.attempts: list[str] = []
        self.required: list[Position | None] = []
        self.budget = RetryBudget(self.clock)
        self.loads = TargetLoads(self.clock)
        self.announcements = FixedTargets()
        self.sent = 0
        directory, registry = OneHomeEach(), OneRecord()
        forwarder = ScriptedForwarder(self)
        retries = StatementRetries(self.budget, self.decisions, self.metrics)
        self.reader = RetryingReplicaReader(
            forwarder,
            None,  # type: ignore[arg-type]
            registry,
            directory,
            None,  # type: ignore[arg-type]
            self.announcements,  # type: ignore[arg-type]
            self.clock,
            self.decisions,
            self.loads,
            retries,
            self.random,
        )
        self.router = RetryingRouter(
            forwarder,
            self.reader,
            registry,
            directory,
            None,  # type: ignore[arg-type]
            self.clock,
            self.decisions,
            retries,
        )

    def behave(self, target: str, behaviour: Behaviour) -> None:
        """Set the script of a target."""
        self.behaviours[target] = behaviour

    def report(
        self,
        target: str,
        condition: TargetCondition = TargetCondition.HEALTHY,
        position: Position | None = None,
        wait: float = 0.0,
    ) -> None:
        """Record a load report of a target, made now."""
        now = self.clock.monotonic()
        self.loads.record(
            TargetLoad(target, 1, wait, 4, WORK_SECONDS, condition, now, position)
        )

    def prefer(self, target: str) -> None:
        """Report long waits at all other targets, so that reads try this one first."""
        for name in self.behaviours:
            self.report(name, wait=0.0 if name == target else 1.0)

    def statement(
        self,
        kind: SessionStatementKind = SessionStatementKind.READ,
        begin: TransactionMode = TransactionMode.NONE,
        remaining: float = 0.8,
    ) -> SessionStatement:
        """Return a statement as a session sends it."""
        self.sent += 1
        transaction = "" if begin is TransactionMode.NONE else "x"
        return SessionStatement(
            "db",
            "",
            "s",
            {},
            transaction,
            begin,
            None,
            kind,
            f"i{self.sent}",
            "READ a",
            remaining,
            soft_deadline_seconds=0.25,
        )

    async def run(self, statement: SessionStatement) -> LocatedResult:
        """Run a statement; reads may go to replicas."""
        is_read = statement.kind is SessionStatementKind.READ
        return await self.router.run(ROUTE, statement, REQUIRED, is_read)

    async def read(self) -> StatementFault:
        """Run a read outside transactions; return its error, if any."""
        return (await self.run(self.statement())).result.reply.fault

    def failing(self, share: float) -> Behaviour:
        """Answer a random share of the statements with an error."""

        async def answer(statement: SessionStatement) -> SessionTargetReply:
            await asyncio.sleep(WORK_SECONDS)
            failed = self.random.random() < share
            return reply(StatementFault.FAILED if failed else StatementFault.NONE)

        return answer
