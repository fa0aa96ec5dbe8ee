"""One caller's session: its values, prepared statements and transaction."""

import asyncio
from typing import Final

from ..background_tasks import BackgroundTasks
from ..clock import Clock
from ..decision_log import DecisionLog
from ..metrics import Metrics
from ..process.discovery.announcements import Announcements
from ..record import Record
from ..request.authorization import Authorizer
from ..request.position import Position
from ..request.refusal import RefusalError, RefusalReason, not_run
from ..request.session_command import SessionCommand, SessionCommandKind
from ..request.session_router import SessionRouter
from ..request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from ..request.statement_forwarder import StatementLocation
from ..version.route_table import Route
from ..version.workspace import short_digest
from .session_connection_pool import PREPARED, VALUE
from .session_state import SessionState
from .session_target import SessionTargetReply, StatementFault

RETRY_MS: Final = 50
"""When to come back after a transaction was lost, in milliseconds."""

SLOW_OBJECTIVE_FACTOR: Final = 1.0
"""Objectives that a statement may take before it is logged as slow."""


class SessionReply(Record):
    """Carry the answer to one statement of a session.

    :param signature: the target's proof; empty for what the session answers
        itself.
    :param fault: the target's error, or `Fault.NONE`.
    :param refusal: the system's own error, or None.
    :param ends: whether the session ends with it.
    """

    __slots__ = (
        "rows",
        "signature",
        "fault",
        "detail",
        "refusal",
        "state",
        "position",
        "ends",
    )

    def __init__(
        self,
        state: SessionState,
        rows: list[str] | None = None,
        signature: str = "",
        fault: StatementFault = StatementFault.NONE,
        detail: str = "",
        refusal: RefusalError | None = None,
        position: Position | None = None,
        ends: bool = False,
    ) -> None:
        self.state = state
        self.rows = rows or []
        self.signature = signature
        self.fault = fault
        self.detail = detail
        self.refusal = refusal
        self.position = position
        self.ends = ends


class SessionTransaction:
    """Keep a transaction of the session.

    A target is chosen, and the transaction opened there, with its first
    statement: that saves a round trip, and one that rests at once holds nothing.

    :ivar workspace: whose work it is; None before its first statement.
    :ivar location: where it runs; None before its first statement.
    :ivar elapsed_seconds: seconds that its statements have taken; its rests do not
        count.
    """

    __slots__ = (
        "name",
        "reads_only",
        "workspace",
        "location",
        "timer",
        "elapsed_seconds",
    )

    def __init__(self, name: str, reads_only: bool) -> None:
        self.name = name
        self.reads_only = reads_only
        self.workspace: str | None = None
        self.location: StatementLocation | None = None
        self.elapsed_seconds = 0.0
        self.timer: asyncio.TimerHandle | None = None


class Session:
    """Run the statements of one caller in their order.

    :param name: unlike that of any other session in all hosts.
    :param database: the database that the caller named.
    :param key_digest: of the caller's key; empty for none.
    :ivar workspace: whose work the last statement was; empty for nobody's.
    """

    def __init__(
        self,
        name: str,
        database: str,
        key_digest: str,
        steering: SessionRouter,
        announcements: Announcements,
        authorization: Authorizer,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.database = database
        self.key_digest = key_digest
        self.workspace = ""
        self.authorization = authorization
        self.steering = steering
        self.announcements = announcements
        self.clock = clock
        self.decisions = decisions
        self.metrics = metrics
        self.state = SessionState.IDLE
        self.settings: dict[str, str] = {}
        self.writes: dict[str, bool] = {}
        self.committed_position: Position | None = None
        self.transaction: SessionTransaction | None = None
        self.route: Route | None = None
        self.begun = 0
        self.busy = False
        self.committing = False
        self.background = BackgroundTasks(decisions, session=name)

    async def run(self, id: str, command: SessionCommand) -> SessionReply:
        """Answer one statement."""
        self.busy = True
        self.committing = command.kind is SessionCommandKind.COMMIT
        started = self.clock.monotonic()
        try:
            reply = await self.answer(id, command)
        except RefusalError as refusal:
            reply = self.refused(refusal)
        finally:
            self.busy = False
        self.start_idle_timer()
        self.record_statement(id, command, reply, self.clock.monotonic() - started)
        return reply

    def record_statement(
        self, id: str, command: SessionCommand, reply: SessionReply, seconds: float
    ) -> None:
        """Count the statement, and log it if it failed or was slow."""
        kind = command.kind.value
        self.metrics.timing(f"statement.{kind}", seconds)
        limit = (
            self.route.latency_objective_seconds * SLOW_OBJECTIVE_FACTOR
            if self.route is not None
            else 1.0
        )
        failure = reply.fault.value
        verdict = ""
        if reply.refusal is not None:
            failure = reply.refusal.reason.value
            verdict = reply.refusal.verdict.value
        if not failure and seconds <= limit:
            return
        if failure:
            self.metrics.increment(f"failed.{failure}")
        record = None
        if self.route is not None:
            record = self.steering.lease_registry.get(self.route.service)
        self.decisions.record(
            "failed" if failure else "slow",
            id=id,
            kind=kind,
            database=self.database,
            service=None if self.route is None else self.route.service,
            workspace=self.workspace,
            key=short_digest(self.key_digest),
            cause=failure,
            verdict=verdict,
            detail=reply.detail if reply.refusal is None else reply.refusal.detail,
            ms=round(seconds * 1000.0, 1),
            configuration=self.announcements.table.version,
            lead=None if record is None else record.holder.ref.host,
            lead_revision=None if record is None else record.revision,
        )

    async def answer(self, id: str, command: SessionCommand) -> SessionReply:
        """Answer a statement by its kind.

        :raises Refusal: if it fails on the way.
        """
        kind = command.kind
        if self.state is SessionState.FAILED:
            return await self.answer_failed(kind)
        if kind in LOCAL_COMMANDS:
            return self.answer_local(command)
        if kind is SessionCommandKind.ROLLBACK:
            return self.roll_back()
        if kind is SessionCommandKind.BEGIN or kind is SessionCommandKind.BEGIN_READ:
            return self.begin(kind)
        return await self.answer_at_target(id, command)

    async def answer_failed(self, kind: SessionCommandKind) -> SessionReply:
        """Answer in a transaction that can only be ended."""
        if kind is SessionCommandKind.ROLLBACK:
            return self.roll_back()
        if kind is SessionCommandKind.COMMIT:
            self.end_transaction()
            raise not_run(RefusalReason.TRANSACTION_LOST, "the transaction had failed")
        raise bad_request_refusal(
            "the transaction has failed; only its end is accepted"
        )

    def answer_local(self, command: SessionCommand) -> SessionReply:
        """Keep a value or a prepared statement until a target needs it."""
        kind, name = command.kind, command.name
        if kind is SessionCommandKind.SET:
            self.settings = {**self.settings, f"{VALUE} {name}": command.text}
        elif kind is SessionCommandKind.PREPARE:
            self.settings = {**self.settings, f"{PREPARED} {name}": command.text}
            self.writes[name] = command.writes
        elif name in self.writes:
            self.settings = dict(self.settings)
            del self.settings[f"{PREPARED} {name}"]
            del self.writes[name]
        else:
            raise not_run(RefusalReason.UNKNOWN_NAME, f"nothing is prepared as {name}")
        return SessionReply(self.state)

    def begin(self, kind: SessionCommandKind) -> SessionReply:
        """Note that a transaction begins; see `OpenTransaction`."""
        if self.state is not SessionState.IDLE:
            raise bad_request_refusal("a transaction is open already")
        self.renew_route()
        self.begun += 1
        self.transaction = SessionTransaction(
            f"{self.name}.{self.begun}", kind is SessionCommandKind.BEGIN_READ
        )
        self.state = SessionState.OPEN
        return SessionReply(self.state)

    def roll_back(self) -> SessionReply:
        """End the transaction without a trace."""
        if self.state is SessionState.IDLE:
            raise bad_request_refusal("no transaction is open")
        self.end_transaction()
        return SessionReply(self.state)

    def renew_route(self) -> Route:
        """Return the route in force, which holds to the end of a transaction.

        :raises Refusal: if there is none any more.
        """
        self.route = self.announcements.table.routes.get(self.database)
        if self.route is None:
            raise unknown_database_refusal(self.database)
        return self.route

    async def answer_at_target(self, id: str, command: SessionCommand) -> SessionReply:
        """Run a read, a write or a commit at a target.

        :raises Refusal: with a verdict that holds.
        """
        kind = self.work_kind(command)
        transaction = self.transaction
        if transaction is None:
            if kind is SessionStatementKind.COMMIT:
                raise bad_request_refusal("no transaction is open")
            self.authorize(self.renew_route())
            return await self.run_single(id, command, kind)
        assert self.route is not None
        self.authorize(self.route)
        self.check_workspace(transaction)
        return await self.run_step(id, command, kind, transaction)

    def authorize(self, route: Route) -> None:
        """Find out whose work the statement is that has just arrived.

        :raises Refusal: not run; see `Authorization.workspace`.
        """
        found = self.authorization.authorize_statement(route, self.key_digest)
        self.workspace = "" if found is None else found.name

    def is_denied(self) -> bool:
        """Say whether the caller's key opens nothing any more."""
        table = self.announcements.table
        route = table.routes.get(self.database)
        if route is None or route.public:
            return False
        return table.workspaces.find_by_digest(self.key_digest) is None

    def check_workspace(self, transaction: SessionTransaction) -> None:
        """Keep a transaction to the workspace that began it.

        :raises Refusal: not run, if the key belongs to another one by now.
        """
        if transaction.workspace is None:
            transaction.workspace = self.workspace
        if transaction.workspace != self.workspace:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                "the key belongs to another workspace now",
                RETRY_MS,
            )

    def work_kind(self, command: SessionCommand) -> SessionStatementKind:
        """Return what the command does at a target.

        :raises Refusal: if that is unknown.
        """
        if command.kind is SessionCommandKind.READ:
            return SessionStatementKind.READ
        if command.kind is SessionCommandKind.WRITE:
            return SessionStatementKind.WRITE
        if command.kind is SessionCommandKind.COMMIT:
            return SessionStatementKind.COMMIT
        if command.kind is not SessionCommandKind.EXECUTE:
            raise bad_request_refusal("the statement is not known")
        writes = self.writes.get(command.name)
        if writes is None:
            raise not_run(
                RefusalReason.UNKNOWN_NAME, f"nothing is prepared as {command.name}"
            )
        return SessionStatementKind.WRITE if writes else SessionStatementKind.READ

    async def run_single(
        self, id: str, command: SessionCommand, kind: SessionStatementKind
    ) -> SessionReply:
        """Run a statement outside transactions."""
        assert self.route is not None
        route = self.route
        work = self.build_work(id, command, kind, route)
        is_read = kind is SessionStatementKind.READ
        placed = await self.steering.run(route, work, self.committed_position, is_read)
        reply = placed.result.reply
        if kind is SessionStatementKind.WRITE and reply.fault is StatementFault.NONE:
            self.record_commit(reply)
        return self.replied(reply)

    async def run_step(
        self,
        id: str,
        command: SessionCommand,
        kind: SessionStatementKind,
        transaction: SessionTransaction,
    ) -> SessionReply:
        """Run a statement of the transaction, or its commit."""
        assert self.route is not None
        work = self.build_work(id, command, kind, self.route)
        work.transaction = transaction.name
        if transaction.timer is not None:
            transaction.timer.cancel()
        work.soft_deadline_seconds -= transaction.elapsed_seconds
        begun = self.clock.monotonic()
        if transaction.location is None:
            work.begin = (
                TransactionMode.READ
                if transaction.reads_only
                else TransactionMode.WRITE
            )
            placed = await self.steering.run(
                self.route, work, self.committed_position, transaction.reads_only
            )
            transaction.location = placed.location
            reply = placed.result.reply
        else:
            work.target = transaction.location.target
            answer = await self.steering.forwarder.run_at(transaction.location, work)
            self.steering.record_proof(self.route.service, answer)
            reply = answer.reply
        transaction.elapsed_seconds += self.clock.monotonic() - begun
        if (
            reply.fault is not StatementFault.NONE
            or kind is SessionStatementKind.COMMIT
        ):
            return self.finish_step(kind, transaction, reply)
        return self.replied(reply)

    def finish_step(
        self,
        kind: SessionStatementKind,
        transaction: SessionTransaction,
        reply: SessionTargetReply,
    ) -> SessionReply:
        """Take note of a commit, or of an error in a transaction."""
        if kind is SessionStatementKind.COMMIT:
            if reply.fault is StatementFault.NONE:
                self.record_commit(reply)
            self.end_transaction()
            return self.replied(reply)
        self.end_transaction()
        self.state = SessionState.FAILED
        return self.replied(reply)

    def build_work(
        self, id: str, command: SessionCommand, kind: SessionStatementKind, route: Route
    ) -> SessionStatement:
        """Return the statement for its way to a target."""
        return SessionStatement(
            service=route.service,
            target="",
            session=self.name,
            settings=self.settings,
            transaction="",
            begin=TransactionMode.NONE,
            min_position=None,
            kind=kind,
            id=id,
            text=command.text,
            remaining=route.statement_timeout_seconds,
            soft_deadline_seconds=route.latency_objective_seconds,
            database=route.database,
            priority=route.priority,
            workspace=self.workspace,
        )

    def record_commit(self, reply: SessionTargetReply) -> None:
        """Keep the position that the session's reads must not miss."""
        if reply.position is not None:
            self.committed_position = reply.position

    def replied(self, reply: SessionTargetReply) -> SessionReply:
        """Return a target's answer as the session's."""
        return SessionReply(
            self.state,
            reply.rows,
            reply.signature,
            reply.fault,
            reply.detail,
            None,
            reply.position,
        )

    def refused(self, refusal: RefusalError) -> SessionReply:
        """Return a refusal as the session's answer."""
        ends = refusal.reason in (
            RefusalReason.UNKNOWN_GROUP,
            RefusalReason.UNAUTHENTICATED,
        )
        if self.state is SessionState.OPEN and not self.committing:
            self.end_transaction()
            self.state = SessionState.FAILED
        elif self.committing:
            self.end_transaction()
        return SessionReply(self.state, refusal=refusal, ends=ends)

    def end_transaction(self) -> None:
        """Forget the transaction, and have it rolled back where it is open."""
        transaction, self.transaction = self.transaction, None
        self.state = SessionState.IDLE
        if transaction is None:
            return
        if transaction.timer is not None:
            transaction.timer.cancel()
        if transaction.location is None or self.route is None:
            return
        work = self.steering.forwarder.roll_back(
            self.route.service, transaction.location, transaction.name
        )
        self.background.spawn(work)

    def start_idle_timer(self) -> None:
        """Bound the time for which an open transaction may rest."""
        transaction = self.transaction
        if transaction is None:
            return
        loop = asyncio.get_running_loop()
        rest = self.announcements.table.transaction_idle
        transaction.timer = loop.call_later(rest, self.abort, "it rested too long")

    def abort(self, cause: str) -> None:
        """End the open transaction on our own account."""
        if self.transaction is None:
            return
        self.decisions.record(
            "transaction_aborted", transaction=self.transaction.name, cause=cause
        )
        self.end_transaction()
        self.state = SessionState.FAILED

    def close(self) -> None:
        """End the session; the caller is gone."""
        self.end_transaction()


LOCAL_COMMANDS: Final = frozenset(
    {SessionCommandKind.SET, SessionCommandKind.PREPARE, SessionCommandKind.DEALLOCATE}
)
"""Commands that no target needs to see before a statement depends on them."""


def bad_request_refusal(detail: str) -> RefusalError:
    """Return the refusal of a statement that makes no sense here."""
    return not_run(RefusalReason.BAD_REQUEST, detail)


def unknown_database_refusal(database: str) -> RefusalError:
    """Return the refusal of a database that no route names."""
    return not_run(RefusalReason.UNKNOWN_GROUP, f"there is no database {database}")
