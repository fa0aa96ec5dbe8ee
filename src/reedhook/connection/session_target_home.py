"""The home of a target for sessions: runs their statements on its connections."""

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
from .admission_queue import AdmissionQueue, AdmissionRequest, ConnectionAvailability
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

FIRST_READ_TIMEOUT_SECONDS: Final = 0.35
"""Seconds after which a read is sent again on a new connection; the longest
statements take 110 ms, the first of the queue of 2 slots included 220."""

BUSY_RETRY_SECONDS: Final = 0.015
"""Seconds until a target with a full queue is asked again; one statement."""

MAX_BUSY_RETRIES: Final = 3
"""Times that a target with a full queue is asked again for one statement."""

STALLED_AFTER_SECONDS: Final = 0.15
"""Seconds in which a target whose slots are taken answers nothing, after which new
ones are refused at once, and those that wait for their turn. Each of them would wait
for as long as its caller allows: at a replica that was down 170 did so at a time."""


class SessionTargetHome:
    """Run statements of sessions at one target.

    :param max_in_use: connections that this host may open to it.
    :param check_permission: raises `Refusal` unless the target may be used right now.
    :param on_position: is told each position with the moment before which all that
        was acknowledged is covered by it, by `Clock.elapsed`.
    :param transaction_idle_seconds: seconds for which a transaction may rest.
    :param on_open: see `Lanes`.
    :param max_open: see `Lanes`.
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
        room = ConnectionAvailability(
            lambda: not self.connections.exhausted(), self.connections.expected_wait
        )
        self.admission_queue = AdmissionQueue(entry.target, entry.slots, room, clock)
        self.connections.on_free = self.admission_queue.dispatch
        self.transactions = SessionTargetTransactions(
            entry.target, self.connections, dialect, transaction_idle_seconds, decisions
        )
        self.active = 0
        self.running = 0
        self.running_since = float("-inf")
        self.last_reply_at = float("-inf")

    async def run(self, work: SessionStatement) -> SessionTargetReply:
        """Run a statement alone or in its transaction.

        :raises Refusal: with a verdict that holds.
        """
        now = self.clock.monotonic()
        deadline = now + work.remaining
        demand = self.admission_request(work, now)
        if not demand.in_transaction and self.stalled():
            raise target_stalled_refusal(self.entry.target)
        self.active += 1
        try:
            turn = await self.admission_queue.admit(demand)
            try:
                return await self.run_admitted(work, deadline)
            finally:
                self.admission_queue.release(turn)
        finally:
            self.active -= 1

    def stalled(self) -> bool:
        """Say whether the target's slots are taken and it has answered nothing.

        A target that has turned slow is given as much longer.
        """
        if self.running < min(self.entry.slots, self.connections.max_in_use):
            return False
        since = max(self.running_since, self.last_reply_at)
        patience = max(STALLED_AFTER_SECONDS, self.admission_queue.overdue_seconds())
        return self.clock.monotonic() - since > patience

    def admission_request(self, work: SessionStatement, now: float) -> AdmissionRequest:
        """Return what a statement needs of the target.

        One that is to get a connection is refused while its caller still has the
        time for another try.
        """
        inside = work.transaction in self.transactions
        longest = (
            work.remaining
            if inside
            else max(work.soft_deadline_seconds, MAX_CONNECTION_WAIT_SECONDS)
        )
        return AdmissionRequest(
            work.database,
            work.priority,
            now + work.soft_deadline_seconds,
            now + min(work.remaining, longest),
            inside,
            work.wait_limit_seconds,
        )

    async def run_admitted(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetReply:
        """Run a statement whose turn it is; raises as `run`."""
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
        """Run a statement alone or in its transaction; raises as `run`."""
        if not work.transaction:
            return await self.run_single(work, deadline)
        transaction = self.transactions.get(work.transaction)
        if transaction is None:
            begun = await self.begin(work, deadline)
            if isinstance(begun, SessionTargetReply):
                return begun
            transaction = begun
        if transaction.workspace != work.workspace:
            raise not_run(
                RefusalReason.TRANSACTION_LOST, "the transaction is another workspace's"
            )
        return await self.run_in_transaction(transaction, work, deadline)

    async def run_single(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetReply:
        """Run a statement outside transactions.

        A read that stays unanswered is sent once more on a new connection.
        """
        first = True
        while True:
            lane = await self.prepare_connection(work, deadline)
            left = deadline - self.clock.monotonic()
            is_read = work.kind is SessionStatementKind.READ
            patience = (
                min(left, FIRST_READ_TIMEOUT_SECONDS) if is_read and first else left
            )
            try:
                reply = await self.exchange(lane, work, patience)
            except SessionTargetNoReplyError as error:
                self.connections.discard(lane)
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
                self.connections.discard(lane)
                raise
            self.connections.release(lane, reply)
            return reply

    async def prepare_connection(
        self, work: SessionStatement, deadline: float
    ) -> PooledConnection:
        """Return a connection in the state of the statement's session.

        :raises Refusal: not run.
        """
        lane, _ = await self.prepare_connection_with(work, deadline, None)
        return lane

    async def prepare_connection_with(
        self, work: SessionStatement, deadline: float, last: TargetQuery | None
    ) -> tuple[PooledConnection, SessionTargetReply | None]:
        """Return a connection in the session's state, and the answer to `last`.

        :raises Refusal: not run.
        """
        for _ in range(2):
            left = deadline - self.clock.monotonic()
            try:
                lane = await self.connections.borrow(work.session, left, work.workspace)
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
                    lane, work.session, work.settings, False, last
                )
                return lane, reply
            except SessionTargetNoReplyError as error:
                self.connections.discard(lane)
                self.record_lost_connection(work, error)
            except BaseException:
                self.connections.discard(lane)
                raise
        raise not_run(
            RefusalReason.TARGET_UNREACHABLE,
            f"the target {self.entry.target} gives no answer",
            RETRY_MS,
        )

    def record_lost_connection(
        self, work: SessionStatement, error: SessionTargetNoReplyError
    ) -> None:
        """Take note that a connection went silent or broke."""
        self.decisions.record(
            "connection_lost", id=work.id, target=self.entry.target, error=str(error)
        )
        self.connections.drop_idle()

    async def exchange(
        self, pooled: PooledConnection, work: SessionStatement, timeout: float
    ) -> SessionTargetReply:
        """Send the statement itself.

        :raises Refusal: not run, if the target may not be used any more.
        :raises MemberSilent: if no answer comes.
        """
        self.check_permission()
        asked = self.clock.boottime()
        sent = self.clock.monotonic()
        after = None if work.transaction else work.min_position
        query = TargetQuery(work.id, work.text, after)
        (reply,) = await pooled.connection.exchange([query], timeout)
        if reply.fault is StatementFault.NONE:
            self.admission_queue.record_duration(
                work.database, self.clock.monotonic() - sent
            )
        # Inside a transaction the position may be that of its snapshot, which
        # proves nothing about what was acknowledged since.
        outside = not work.transaction or work.kind is SessionStatementKind.COMMIT
        self.record_reply(reply, asked if outside else None)
        return reply

    def record_reply(self, reply: SessionTargetReply, asked: float | None) -> None:
        """Take note of a sign of life and of the position that it carries.

        :param asked: when it was sent; None if its position proves nothing.
        """
        self.last_reply_at = self.clock.monotonic()
        if reply.position is not None and asked is not None:
            self.on_position(reply.position, asked)

    async def begin(
        self, work: SessionStatement, deadline: float
    ) -> SessionTargetTransaction | SessionTargetReply:
        """Open a transaction for its first statement.

        :returns: the target's answer if it refuses to begin.
        :raises Refusal: not run.
        """
        if work.begin is TransactionMode.NONE:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                "the transaction is not open at its target any more",
                RETRY_MS,
            )
        text = self.dialect.begin(work.begin is TransactionMode.READ)
        lane, reply = await self.prepare_connection_with(
            work, deadline, TargetQuery("", text, work.min_position)
        )
        assert reply is not None
        self.record_reply(reply, None)
        if reply.fault is not StatementFault.NONE:
            self.connections.release(lane, reply)
            return reply
        transaction = SessionTargetTransaction(
            work.transaction, lane, work.settings, work.workspace
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
        lane = transaction.pooled_connection
        try:
            if work.settings != transaction.settings:
                await self.connections.apply_session_state(
                    lane, work.session, work.settings, True
                )
                transaction.settings = work.settings
            reply = await self.exchange_with_busy_retry(lane, work, deadline)
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
        """Send a statement of a transaction, again while the queue is full.

        Refused, it would cost the caller the whole transaction.

        :raises MemberSilent: if no answer comes.
        """
        reply = await self.exchange(pooled, work, deadline - self.clock.monotonic())
        for _ in range(MAX_BUSY_RETRIES):
            left = deadline - self.clock.monotonic() - BUSY_RETRY_SECONDS
            turned_away = reply.fault is StatementFault.BUSY
            if not turned_away or reply.state is not SessionState.OPEN or left <= 0.0:
                break
            await self.clock.sleep(BUSY_RETRY_SECONDS)
            reply = await self.exchange(pooled, work, left)
        return reply

    def is_idle(self) -> bool:
        """Say whether nothing is in progress."""
        return self.active == 0 and not self.transactions.by_name

    async def probe_position(self, timeout: float) -> None:
        """Ask the target for a sign of life, and for its position.

        :raises MemberUnreachable: if it cannot be reached.
        :raises MemberSilent: if it gives no answer.
        """
        lane = await self.connections.borrow("", timeout, None)
        try:
            asked = self.clock.boottime()
            lane.state_uncertain = True
            query = TargetQuery("", self.dialect.reset())
            (reply,) = await lane.connection.exchange([query], timeout)
        except BaseException:
            self.connections.discard(lane)
            raise
        lane.applied_settings = {}
        lane.state_uncertain = False
        lane.session = ""
        self.record_reply(reply, asked)
        self.connections.give_back(lane)

    async def close(self) -> None:
        """Close all connections; what is in progress ends at once."""
        self.transactions.close()
        self.admission_queue.refuse_waiting(home_closed_refusal())
        self.connections.close()
        for lane in list(self.connections.lent):
            lane.connection.close()
