"""The session home of a target: runs statements of sessions on its connections."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..decision_log import DecisionLog
from ..request.position import Position
from ..request.refusal import RefusalError, RefusalReason, not_run
from ..request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from ..version.route_table import TargetAnnouncement
from .admission import AdmissionRequest
from .admission_queue import AdmissionQueue, ConnectionAvailability
from .overload_control import OverloadControl
from .pooled_connection import PooledConnection
from .session_connection_pool import (
    MAX_CONNECTION_WAIT_SECONDS,
    OnConnectionOpened,
    SessionConnectionPool,
)
from .session_state import SessionState
from .session_target import (
    SessionTargetDriver,
    SessionTargetNoReplyError,
    SessionTargetReply,
    SessionTargetUnreachableError,
    StatementDialect,
    StatementFault,
    TargetQuery,
)
from .session_target_refusals import (
    RETRY_MS,
    home_closed_refusal,
    target_stalled_refusal,
    transaction_lost_refusal,
    unanswered_read_refusal,
    unanswered_write_refusal,
)
from .session_target_transactions import (
    SessionTargetTransaction,
    SessionTargetTransactions,
)
from .target_load_meter import TargetLoadMeter

FIRST_READ_TIMEOUT_SECONDS: Final = 0.35
"""Timeout after which a read is sent once more on a new connection; must exceed the
longest statement that waits behind another in the target's queue."""

BUSY_RETRY_SECONDS: Final = 0.015
"""Delay before a statement is sent again to a target with a full queue."""

MAX_BUSY_RETRIES: Final = 3

STALLED_AFTER_SECONDS: Final = 0.15
"""Seconds without a reply from a fully occupied target after which new and queued
statements are refused, rather than wait until their deadlines."""


class SessionTargetHome:
    """Run statements of sessions at one target.

    :param max_in_use: connections to the target that may be in use at once.
    :param check_permission: raises `RefusalError` unless this host may use the target
        right now.
    :param on_position: called with a position and a time by `Clock.boottime`; the
        position covers all that was acknowledged before that time.
    :param transaction_idle_seconds: seconds for which a transaction may be idle.
    :param on_open: see `SessionConnectionPool`.
    :param max_open: see `SessionConnectionPool`.
    :param weight_of: returns the weight of a workspace among the others.
    :param control: the rules of admission that the settings enable, or None.
    """

    def __init__(
        self,
        entry: TargetAnnouncement,
        driver: SessionTargetDriver,
        dialect: StatementDialect,
        max_in_use: int,
        clock: Clock,
        decisions: DecisionLog,
        check_permission: Callable[[], None],
        on_position: Callable[[Position, float], None],
        transaction_idle_seconds: float,
        on_open: OnConnectionOpened = lambda position: None,
        max_open: int | None = None,
        weight_of: Callable[[str], float] = lambda workspace: 1.0,
        control: OverloadControl | None = None,
    ) -> None:
        self.entry = entry
        self.dialect = dialect
        self.clock = clock
        self.decisions = decisions
        self.check_permission = check_permission
        self.on_position = on_position
        self.connections = SessionConnectionPool(
            entry, driver, dialect, max_in_use, clock, on_open, max_open
        )
        availability = ConnectionAvailability(
            lambda: not self.connections.exhausted(), self.connections.expected_wait
        )
        self.admission_queue = AdmissionQueue(
            entry.target,
            entry.slots,
            availability,
            clock,
            control,
        )
        self.weight_of = weight_of
        self.connections.on_free = self.admission_queue.dispatch
        self.load_meter = TargetLoadMeter(entry, self.admission_queue, clock)
        self.transactions = SessionTargetTransactions(
            entry.target, self.connections, dialect, transaction_idle_seconds, decisions
        )
        self.active = 0
        self.running = 0
        self.running_since = float("-inf")
        self.last_reply_at = float("-inf")

    async def run(self, work: SessionStatement) -> SessionTargetReply:
        """Run a statement alone or in its transaction.

        :raises RefusalError: with a correct verdict.
        """
        now = self.clock.monotonic()
        deadline = now + work.remaining
        request = self.admission_request(work, now)
        if not request.in_transaction and self.stalled():
            raise target_stalled_refusal(self.entry.target)
        self.active += 1
        try:
            admission = await self.admission_queue.admit(request)
            try:
                return await self.run_admitted(work, deadline)
            finally:
                self.admission_queue.release(admission)
        finally:
            self.active -= 1

    def stalled(self) -> bool:
        """Return whether the target's slots are taken and it has stopped replying.

        The time allowed grows with the duration of its statements.
        """
        if self.running < min(self.entry.slots, self.connections.max_in_use):
            return False
        since = max(self.running_since, self.last_reply_at)
        timeout = max(STALLED_AFTER_SECONDS, self.admission_queue.overdue_seconds())
        return self.clock.monotonic() - since > timeout

    def admission_request(self, work: SessionStatement, now: float) -> AdmissionRequest:
        """Return the admission request of a statement.

        Outside transactions its deadline is early enough for the caller to retry. Under
        overload control a late statement may wait until its timeout instead, as long
        as it is expected to end before it.
        """
        in_transaction = work.transaction in self.transactions
        max_seconds = (
            work.remaining
            if in_transaction or self.admission_queue.control is not None
            else max(work.soft_deadline_seconds, MAX_CONNECTION_WAIT_SECONDS)
        )
        return AdmissionRequest(
            work.database,
            work.priority,
            now + work.soft_deadline_seconds,
            now + min(work.remaining, max_seconds),
            in_transaction,
            work.wait_limit_seconds,
            work.workspace,
            self.weight_of(work.workspace),
            work.replica_allowed and not work.target,
            work.session,
            None if work.first_attempt_age is None else now - work.first_attempt_age,
        )

    async def run_admitted(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetReply:
        """Run an admitted statement; raise as `run`."""
        if not self.running:
            self.running_since = self.clock.monotonic()
        self.running += 1
        try:
            return await self.run_at_target(work, deadline)
        except RefusalError:
            if self.stalled():
                self.admission_queue.refuse_waiting(
                    target_stalled_refusal(self.entry.target)
                )
            raise
        finally:
            self.running -= 1

    async def run_at_target(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetReply:
        """Run a statement alone or in its transaction; raise as `run`."""
        if not work.transaction:
            return await self.run_single(work, deadline)
        transaction = self.transactions.get(work.transaction)
        if transaction is None:
            opened = await self.begin(work, deadline)
            if isinstance(opened, SessionTargetReply):
                return opened
            transaction = opened
        if transaction.workspace != work.workspace:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                "the transaction belongs to another workspace",
            )
        return await self.run_in_transaction(transaction, work, deadline)

    async def run_single(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetReply:
        """Run a statement outside transactions.

        A read without a reply is sent once more on a new connection.
        """
        first = True
        while True:
            pooled = await self.prepare_connection(work, deadline)
            remaining = deadline - self.clock.monotonic()
            is_read = work.kind is SessionStatementKind.READ
            timeout = (
                min(remaining, FIRST_READ_TIMEOUT_SECONDS)
                if is_read and first
                else remaining
            )
            try:
                reply = await self.exchange(pooled, work, timeout)
            except SessionTargetNoReplyError as error:
                self.connections.discard(pooled)
                self.record_lost_connection(work, error)
                if is_read and self.connections.closed:
                    raise home_closed_refusal() from error
                if not is_read:
                    raise unanswered_write_refusal(self.entry.target) from error
                if not first or deadline - self.clock.monotonic() <= 0.0:
                    raise unanswered_read_refusal(self.entry.target) from error
                first = False
                continue
            except BaseException:
                self.connections.discard(pooled)
                raise
            self.connections.release(pooled, reply)
            return reply

    async def prepare_connection(
        self, work: SessionStatement, deadline: float
    ) -> PooledConnection:
        """Return a connection in the state of the statement's session.

        :raises RefusalError: not run.
        """
        pooled, _ = await self.prepare_connection_with(work, deadline, None)
        return pooled

    async def prepare_connection_with(
        self, work: SessionStatement, deadline: float, last: TargetQuery | None
    ) -> tuple[PooledConnection, SessionTargetReply | None]:
        """Return a connection in the session's state, and the reply to `last`.

        :raises RefusalError: not run.
        """
        for _ in range(2):
            remaining = deadline - self.clock.monotonic()
            try:
                pooled = await self.connections.borrow(
                    work.session, remaining, work.workspace
                )
            except SessionTargetUnreachableError as error:
                self.decisions.record(
                    "target_unreachable", target=self.entry.target, error=str(error)
                )
                raise not_run(
                    RefusalReason.TARGET_UNREACHABLE, str(error), RETRY_MS
                ) from None
            try:
                self.check_permission()
                reply = await self.connections.apply_session_state(
                    pooled, work.session, work.settings, False, last
                )
                return pooled, reply
            except SessionTargetNoReplyError as error:
                self.connections.discard(pooled)
                self.record_lost_connection(work, error)
            except BaseException:
                self.connections.discard(pooled)
                raise
        raise not_run(
            RefusalReason.TARGET_UNREACHABLE,
            f"target {self.entry.target} does not reply",
            RETRY_MS,
        )

    def record_lost_connection(
        self, work: SessionStatement, error: SessionTargetNoReplyError
    ) -> None:
        """Log a lost connection and close the idle ones, which may be lost too."""
        self.decisions.record(
            "connection_lost", id=work.id, target=self.entry.target, error=str(error)
        )
        self.connections.drop_idle()

    async def exchange(
        self, pooled: PooledConnection, work: SessionStatement, timeout: float
    ) -> SessionTargetReply:
        """Send a statement on a prepared connection.

        :raises RefusalError: not run, if this host may no longer use the target.
        :raises SessionTargetNoReplyError: if no reply arrives in time.
        """
        self.check_open(work)
        self.check_permission()
        sent_at = self.clock.boottime()
        started = self.clock.monotonic()
        min_position = None if work.transaction else work.min_position
        query = TargetQuery(work.id, work.text, min_position)
        (reply,) = await pooled.connection.exchange([query], timeout)
        if reply.fault is StatementFault.NONE:
            duration = self.clock.monotonic() - started
            self.admission_queue.record_duration(work.database, duration)
            self.load_meter.record_duration(duration)
        # Inside a transaction the position may be that of its snapshot, which
        # does not cover later commits.
        position_is_current = (
            not work.transaction or work.kind is SessionStatementKind.COMMIT
        )
        self.record_reply(reply, sent_at if position_is_current else None)
        return reply

    def check_open(self, work: SessionStatement) -> None:
        """Check that the home was not closed while a statement was prepared.

        :raises RefusalError: not run; sent on a closed connection, its outcome would
            be unknown.
        """
        if not self.connections.closed:
            return
        if work.transaction:
            raise transaction_lost_refusal()
        raise home_closed_refusal()

    def record_reply(self, reply: SessionTargetReply, asked: float | None) -> None:
        """Record the time of a reply and report its position.

        :param asked: when the query was sent, by `Clock.boottime`; None if the
            position must not be reported.
        """
        self.last_reply_at = self.clock.monotonic()
        if reply.position is not None and asked is not None:
            self.load_meter.position = reply.position
            self.on_position(reply.position, asked)

    async def begin(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetTransaction | SessionTargetReply:
        """Open a transaction for its first statement.

        :returns: the target's reply if it refuses to begin.
        :raises RefusalError: not run.
        """
        if work.begin is TransactionMode.NONE:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                "the transaction is no longer open at its target",
                RETRY_MS,
            )
        text = self.dialect.begin(work.begin is TransactionMode.READ)
        pooled, reply = await self.prepare_connection_with(
            work, deadline, TargetQuery("", text, work.min_position)
        )
        assert reply is not None
        self.record_reply(reply, None)
        if reply.fault is not StatementFault.NONE:
            self.connections.release(pooled, reply)
            return reply
        transaction = SessionTargetTransaction(
            work.transaction, pooled, work.settings, work.workspace
        )
        self.transactions.add(transaction)
        return transaction

    async def run_in_transaction(
        self,
        transaction: SessionTargetTransaction,
        work: SessionStatement,
        deadline: float,
    ) -> SessionTargetReply:
        """Run a statement of an open transaction, or its commit."""
        if transaction.busy:
            raise not_run(
                RefusalReason.CONFLICT,
                "another statement of the transaction is in progress",
            )
        transaction.busy = True
        if transaction.timer is not None:
            transaction.timer.cancel()
        pooled = transaction.pooled_connection
        try:
            if work.settings != transaction.settings:
                await self.connections.apply_session_state(
                    pooled, work.session, work.settings, True
                )
                transaction.settings = work.settings
            reply = await self.exchange_with_busy_retry(pooled, work, deadline)
        except SessionTargetNoReplyError as error:
            self.transactions.drop(transaction)
            self.record_lost_connection(work, error)
            if work.kind is SessionStatementKind.COMMIT:
                raise unanswered_write_refusal(self.entry.target) from error
            raise transaction_lost_refusal() from error
        except BaseException:
            self.transactions.drop(transaction)
            raise
        self.transactions.after_step(transaction, work, reply)
        return reply

    async def exchange_with_busy_retry(
        self, pooled: PooledConnection, work: SessionStatement, deadline: float
    ) -> SessionTargetReply:
        """Send a statement of a transaction, and retry while the target is busy.

        A refusal would cost the caller the whole transaction.

        :raises SessionTargetNoReplyError: if no reply arrives in time.
        """
        reply = await self.exchange(pooled, work, deadline - self.clock.monotonic())
        for _ in range(MAX_BUSY_RETRIES):
            remaining = deadline - self.clock.monotonic() - BUSY_RETRY_SECONDS
            busy = reply.fault is StatementFault.BUSY
            if not busy or reply.state is not SessionState.OPEN or remaining <= 0.0:
                break
            await self.clock.sleep(BUSY_RETRY_SECONDS)
            reply = await self.exchange(pooled, work, remaining)
        return reply

    def is_idle(self) -> bool:
        """Return whether no statement runs and no transaction is open."""
        return self.active == 0 and not self.transactions.by_name

    async def probe_position(self, timeout: float) -> None:
        """Query the target for its position.

        :raises SessionTargetUnreachableError: if no connection can be opened.
        :raises SessionTargetNoReplyError: if no reply arrives in time.
        """
        pooled = await self.connections.borrow("", timeout, None)
        try:
            sent_at = self.clock.boottime()
            pooled.state_uncertain = True
            query = TargetQuery("", self.dialect.reset())
            (reply,) = await pooled.connection.exchange([query], timeout)
        except BaseException:
            self.connections.discard(pooled)
            raise
        pooled.applied_settings = {}
        pooled.state_uncertain = False
        pooled.session = ""
        self.record_reply(reply, sent_at)
        self.connections.give_back(pooled)

    async def close(self) -> None:
        """Close all connections, also those of statements in progress."""
        self.transactions.close()
        self.admission_queue.refuse_waiting(home_closed_refusal())
        self.connections.close()
        for pooled in list(self.connections.lent):
            pooled.connection.close()
