"""A caller's session: its settings, prepared statements and transaction."""

import asyncio
from typing import Final

from ..background_tasks import BackgroundTasks
from ..clock import Clock
from ..decision_log import DecisionLog
from ..metrics import Metrics
from ..process.discovery.announcements import Announcements
from ..process.drain_schedule import DrainSchedule
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
"""Retry delay after a transaction was lost."""

SLOW_OBJECTIVE_FACTOR: Final = 1.0
"""Multiple of the route's latency objective above which a statement is slow."""


class SessionReply(Record):
    """Carry the reply to one statement of a session.

    :param signature: the target's proof of execution; empty for statements that the
        session answers itself.
    :param fault: the target's error, or `StatementFault.NONE`.
    :param refusal: the proxy's own error, or None.
    :param ends: whether the session ends with this reply.
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
    """Track the open transaction of a session.

    It is opened at a target with its first statement. That saves a round trip, and a
    transaction that is idle from its start holds no connection.

    :ivar workspace: the workspace that began it; None before its first statement.
    :ivar location: where it runs; None before its first statement.
    :ivar elapsed_seconds: total duration of its statements, without idle time.
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


class OverloadedStatement(Record):
    """Describe the statement that was refused for overload last.

    :param first_attempt: when the caller first sent it, by `Clock.monotonic`.
    """

    __slots__ = ("command", "first_attempt")

    def __init__(self, command: SessionCommand, first_attempt: float) -> None:
        self.command = command
        self.first_attempt = first_attempt

    def is_repeated_by(self, command: SessionCommand) -> bool:
        """Return whether a command is the same statement once more."""
        return self.command == command


class Session:
    """Run the statements of one caller in order.

    :param name: unique among the sessions of all hosts.
    :param database: the database that the caller named.
    :param key_digest: digest of the caller's key; empty without a key.
    :ivar workspace: workspace of the last statement; empty for none.
    :ivar overloaded: the last statement, if it was refused for overload.
    :ivar abort_cause: why this host aborted the transaction, until the caller is told.
    """

    def __init__(
        self,
        name: str,
        database: str,
        key_digest: str,
        router: SessionRouter,
        announcements: Announcements,
        authorization: Authorizer,
        drain_schedule: DrainSchedule,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.database = database
        self.key_digest = key_digest
        self.workspace = ""
        self.authorization = authorization
        self.drain_schedule = drain_schedule
        self.router = router
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
        self.overloaded: OverloadedStatement | None = None
        self.abort_cause = ""
        self.background = BackgroundTasks(decisions, session=name)

    async def run(self, id: str, command: SessionCommand) -> SessionReply:
        """Run one statement; a refusal becomes a reply."""
        self.busy = True
        self.committing = command.kind is SessionCommandKind.COMMIT
        started = self.clock.monotonic()
        try:
            reply = await self.answer(id, command)
        except RefusalError as refusal:
            reply = self.reply_from_refusal(refusal)
        finally:
            self.busy = False
        self.note_overload(command, reply, started)
        self.start_idle_timer()
        self.record_statement(id, command, reply, self.clock.monotonic() - started)
        return reply

    def refuse(
        self, id: str, command: SessionCommand, refusal: RefusalError
    ) -> SessionReply:
        """Return the reply to a statement that is refused before it runs."""
        self.committing = command.kind is SessionCommandKind.COMMIT
        reply = self.reply_from_refusal(refusal)
        self.record_statement(id, command, reply, 0.0)
        return reply

    def note_overload(
        self, command: SessionCommand, reply: SessionReply, started: float
    ) -> None:
        """Remember a statement that was refused for overload until the next one."""
        before, self.overloaded = self.overloaded, None
        refusal = reply.refusal
        if refusal is None or refusal.reason is not RefusalReason.OVERLOADED:
            return
        repeated = before is not None and before.is_repeated_by(command)
        first_attempt = before.first_attempt if before and repeated else started
        self.overloaded = OverloadedStatement(command, first_attempt)

    def first_attempt_age(self, command: SessionCommand) -> float | None:
        """Return the seconds since the first attempt of a statement that returns."""
        before = self.overloaded
        if before is None or not before.is_repeated_by(command):
            return None
        return self.clock.monotonic() - before.first_attempt

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
            record = self.router.lease_registry.get(self.route.service)
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
            lead_revision=None if record is None else record.revision.to_json(),
        )

    async def answer(self, id: str, command: SessionCommand) -> SessionReply:
        """Run a statement according to its kind.

        :raises RefusalError: if the statement is refused.
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
        """Answer a statement in a failed transaction, which can only be ended."""
        cause, self.abort_cause = self.abort_cause, ""
        if kind is SessionCommandKind.ROLLBACK:
            return self.roll_back()
        if kind is SessionCommandKind.COMMIT:
            self.end_transaction()
        if cause:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                f"the transaction was rolled back: {cause}",
                RETRY_MS,
            )
        if kind is SessionCommandKind.COMMIT:
            raise not_run(RefusalReason.TRANSACTION_LOST, "the transaction has failed")
        raise bad_request_refusal(
            "the transaction has failed; only commit or rollback is accepted"
        )

    def answer_local(self, command: SessionCommand) -> SessionReply:
        """Store a setting or a prepared statement until a target needs it."""
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
            raise not_run(
                RefusalReason.UNKNOWN_NAME, f"no statement is prepared as {name}"
            )
        return SessionReply(self.state)

    def begin(self, kind: SessionCommandKind) -> SessionReply:
        """Begin a transaction locally; see `SessionTransaction`."""
        if self.state is not SessionState.IDLE:
            raise bad_request_refusal("a transaction is open already")
        self.drain_schedule.check_transaction()
        self.renew_route()
        self.begun += 1
        self.transaction = SessionTransaction(
            f"{self.name}.{self.begun}", kind is SessionCommandKind.BEGIN_READ
        )
        self.state = SessionState.OPEN
        return SessionReply(self.state)

    def roll_back(self) -> SessionReply:
        """Roll back the open transaction."""
        if self.state is SessionState.IDLE:
            raise bad_request_refusal("no transaction is open")
        self.end_transaction()
        return SessionReply(self.state)

    def renew_route(self) -> Route:
        """Return the current route, which a transaction keeps until its end.

        :raises RefusalError: if the database has no route any more.
        """
        self.route = self.announcements.table.routes.get(self.database)
        if self.route is None:
            raise unknown_database_refusal(self.database)
        return self.route

    async def answer_at_target(self, id: str, command: SessionCommand) -> SessionReply:
        """Run a read, a write or a commit at a target.

        :raises RefusalError: with a correct verdict.
        """
        kind = self.work_kind(command)
        transaction = self.transaction
        if transaction is None:
            if kind is SessionStatementKind.COMMIT:
                raise bad_request_refusal("no transaction is open")
            route = self.renew_route()
            self.authorize(route)
            self.drain_schedule.check_statement(route.statement_timeout_seconds)
            return await self.run_single(id, command, kind)
        assert self.route is not None
        self.authorize(self.route)
        self.check_workspace(transaction)
        return await self.run_step(id, command, kind, transaction)

    def authorize(self, route: Route) -> None:
        """Set the workspace of the statement that has just arrived.

        :raises RefusalError: not run; see `Authorizer.authorize_statement`.
        """
        workspace = self.authorization.authorize_statement(route, self.key_digest)
        self.workspace = "" if workspace is None else workspace.name

    def is_denied(self) -> bool:
        """Return whether the caller's key no longer gives access to the database."""
        table = self.announcements.table
        route = table.routes.get(self.database)
        if route is None or route.public:
            return False
        return table.workspaces.find_by_digest(self.key_digest) is None

    def check_workspace(self, transaction: SessionTransaction) -> None:
        """Refuse a statement if the workspace of the transaction has changed.

        :raises RefusalError: not run, if the key now belongs to another workspace.
        """
        if transaction.workspace is None:
            transaction.workspace = self.workspace
        if transaction.workspace != self.workspace:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                "the key now belongs to another workspace",
                RETRY_MS,
            )

    def work_kind(self, command: SessionCommand) -> SessionStatementKind:
        """Return the kind of statement that the command runs at a target.

        :raises RefusalError: if the command or the prepared statement is unknown.
        """
        if command.kind is SessionCommandKind.READ:
            return SessionStatementKind.READ
        if command.kind is SessionCommandKind.WRITE:
            return SessionStatementKind.WRITE
        if command.kind is SessionCommandKind.COMMIT:
            return SessionStatementKind.COMMIT
        if command.kind is not SessionCommandKind.EXECUTE:
            raise bad_request_refusal("the statement is of an unknown kind")
        writes = self.writes.get(command.name)
        if writes is None:
            raise not_run(
                RefusalReason.UNKNOWN_NAME,
                f"no statement is prepared as {command.name}",
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
        located = await self.router.run(route, work, self.committed_position, is_read)
        reply = located.result.reply
        if kind is SessionStatementKind.WRITE and reply.fault is StatementFault.NONE:
            self.record_commit(reply)
        return self.reply_from_target(reply)

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
        started = self.clock.monotonic()
        if transaction.location is None:
            work.begin = (
                TransactionMode.READ
                if transaction.reads_only
                else TransactionMode.WRITE
            )
            located = await self.router.run(
                self.route, work, self.committed_position, transaction.reads_only
            )
            transaction.location = located.location
            reply = located.result.reply
        else:
            work.target = transaction.location.target
            answer = await self.router.forwarder.run_at(transaction.location, work)
            self.router.record_proof(self.route.service, answer)
            reply = answer.reply
        transaction.elapsed_seconds += self.clock.monotonic() - started
        if (
            reply.fault is not StatementFault.NONE
            or kind is SessionStatementKind.COMMIT
        ):
            return self.finish_step(kind, transaction, reply)
        return self.reply_from_target(reply)

    def finish_step(
        self,
        kind: SessionStatementKind,
        transaction: SessionTransaction,
        reply: SessionTargetReply,
    ) -> SessionReply:
        """End the transaction after its commit, or after an error in a statement."""
        if kind is SessionStatementKind.COMMIT:
            if reply.fault is StatementFault.NONE:
                self.record_commit(reply)
            self.end_transaction()
            return self.reply_from_target(reply)
        self.end_transaction()
        self.state = SessionState.FAILED
        return self.reply_from_target(reply)

    def build_work(
        self, id: str, command: SessionCommand, kind: SessionStatementKind, route: Route
    ) -> SessionStatement:
        """Return the statement to be sent to a target."""
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
            remaining=self.drain_schedule.limit(route.statement_timeout_seconds),
            soft_deadline_seconds=route.latency_objective_seconds,
            database=route.database,
            priority=route.priority,
            workspace=self.workspace,
            first_attempt_age=self.first_attempt_age(command),
        )

    def record_commit(self, reply: SessionTargetReply) -> None:
        """Record the position that later reads of the session must include."""
        if reply.position is not None:
            self.committed_position = reply.position

    def reply_from_target(self, reply: SessionTargetReply) -> SessionReply:
        """Convert a target's reply to the session's reply."""
        return SessionReply(
            self.state,
            reply.rows,
            reply.signature,
            reply.fault,
            reply.detail,
            None,
            reply.position,
        )

    def reply_from_refusal(self, refusal: RefusalError) -> SessionReply:
        """Convert a refusal to a reply, and fail or end the transaction."""
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
        """Clear the transaction, and roll it back in the background if it is open."""
        transaction, self.transaction = self.transaction, None
        self.state = SessionState.IDLE
        if transaction is None:
            return
        if transaction.timer is not None:
            transaction.timer.cancel()
        if transaction.location is None or self.route is None:
            return
        work = self.router.forwarder.roll_back(
            self.route.service, transaction.location, transaction.name
        )
        self.background.spawn(work)

    def start_idle_timer(self) -> None:
        """Start the timer that ends an idle transaction."""
        transaction = self.transaction
        if transaction is None:
            return
        loop = asyncio.get_running_loop()
        idle_seconds = self.announcements.table.transaction_idle
        transaction.timer = loop.call_later(
            idle_seconds, self.abort, "the transaction was idle for too long"
        )

    def abort(self, cause: str) -> None:
        """Roll back the open transaction without a request of the caller."""
        if self.transaction is None:
            return
        self.decisions.record(
            "transaction_aborted", transaction=self.transaction.name, cause=cause
        )
        self.end_transaction()
        self.state = SessionState.FAILED
        self.abort_cause = cause

    def close(self) -> None:
        """End the session after the caller has disconnected."""
        self.end_transaction()


LOCAL_COMMANDS: Final = frozenset(
    {SessionCommandKind.SET, SessionCommandKind.PREPARE, SessionCommandKind.DEALLOCATE}
)
"""Commands whose effect is sent to a target together with the next statement."""


def bad_request_refusal(detail: str) -> RefusalError:
    """Return the refusal of a statement that is invalid in the session's state."""
    return not_run(RefusalReason.BAD_REQUEST, detail)


def unknown_database_refusal(database: str) -> RefusalError:
    """Return the refusal of a database without a route."""
    return not_run(RefusalReason.UNKNOWN_GROUP, f"unknown database {database}")
