"""Interactive transactions, each pinned to one connection."""

import asyncio
from typing import Final

from ..record import Record
from ..request.deadline import Deadline
from ..request.priority_class import QueueEntry
from ..request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ..request.slot_queue import SlotQueue
from ..request.statement import Statement, StatementKind
from ..request.verdict import Verdict
from .statement_runner import AttemptKind
from .statement_sender import StatementSender
from .target import (
    TargetConnection,
    TargetError,
    TargetNoReplyError,
    TargetResult,
    TargetUnreachableError,
)
from .target_refusals import (
    no_reply_refusal,
    target_full_refusal,
    target_unreachable_refusal,
)

MAX_ENDED_TRANSACTIONS: Final = 1024
"""Ended transactions whose reason is kept for later statements."""

ROLLBACK_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of the rollback of an abandoned transaction."""

IDLE_DETAIL: Final = "The transaction was idle for too long and was rolled back."
CONNECTION_LOST_DETAIL: Final = "The connection of the transaction was lost."

TRANSACTION_ENDING_REASONS: Final = frozenset(
    {
        RefusalReason.NO_PRIMARY,
        RefusalReason.SUPERSEDED,
        RefusalReason.TRANSACTION_LOST,
        RefusalReason.REQUEST_EXPIRED,
        RefusalReason.REQUEST_REUSED,
    }
)
"""Reasons after which the target holds no open transaction."""


class PinnedTransaction:
    """Track one open transaction and its connection.

    :ivar permit: its entry in the queue that limits open transactions.
    :ivar running: whether one of its statements is in progress or queued.
    :ivar commit_in_doubt: whether a commit was sent that may have run.
    """

    __slots__ = (
        "name",
        "caller",
        "connection",
        "permit",
        "running",
        "commit_in_doubt",
        "timer",
    )

    def __init__(
        self, name: str, caller: str, connection: TargetConnection, permit: QueueEntry
    ) -> None:
        self.name = name
        self.caller = caller
        self.connection = connection
        self.permit = permit
        self.running = False
        self.commit_in_doubt = False
        self.timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        """Stop the timer that ends an idle transaction."""
        if self.timer is not None:
            self.timer.cancel()


class EndedTransaction(Record):
    """Record why a transaction was ended, and whether its commit may have run."""

    __slots__ = ("detail", "in_doubt")

    def __init__(self, detail: str, in_doubt: bool) -> None:
        self.detail = detail
        self.in_doubt = in_doubt


class PinnedTransactions:
    """Track the open transactions, and why others were ended."""

    __slots__ = ("open", "endings")

    def __init__(self) -> None:
        self.open: dict[str, PinnedTransaction] = {}
        self.endings: dict[str, EndedTransaction] = {}

    def enter(self, statement: Statement) -> PinnedTransaction:
        """Mark the transaction of `statement` as running and return it.

        :raises RefusalError: not run, if it is not open, belongs to another caller, or
            is busy.
        """
        name = statement.transaction or ""
        transaction = self.open.get(name)
        if transaction is None or transaction.caller != statement.caller:
            raise self.unknown_transaction_refusal(statement)
        if transaction.running:
            detail = "Another statement of this transaction is in progress."
            raise not_run(RefusalReason.CONFLICT, detail)
        transaction.stop_timer()
        transaction.running = True
        return transaction

    def holds(self, transaction: PinnedTransaction) -> bool:
        """Return whether the transaction is still open."""
        return self.open.get(transaction.name) is transaction

    def remove(self, transaction: PinnedTransaction, ending: str | None) -> None:
        """Remove a transaction; `ending` is the reason if the caller did not end it."""
        transaction.stop_timer()
        del self.open[transaction.name]
        if ending is None:
            return
        if len(self.endings) >= MAX_ENDED_TRANSACTIONS:
            del self.endings[next(iter(self.endings))]
        self.endings[transaction.name] = EndedTransaction(
            ending, transaction.commit_in_doubt
        )

    def unknown_transaction_refusal(self, statement: Statement) -> RefusalError:
        """Return the refusal of a statement whose transaction is not open."""
        ending = self.endings.get(statement.transaction or "")
        if ending is None:
            detail = "No such transaction is open here."
            return not_run(RefusalReason.UNKNOWN_TRANSACTION, detail)
        if ending.in_doubt and statement.kind is StatementKind.COMMIT:
            return may_have_run(RefusalReason.TRANSACTION_LOST, ending.detail)
        return not_run(RefusalReason.TRANSACTION_LOST, ending.detail)


class TransactionRunner:
    """Begin transactions and run their statements, each on its connection.

    :param max_open: transactions that may be open at once.
    :param limit: transactions that may wait to begin.
    :param idle_time: seconds after which an idle transaction is rolled back.
    """

    __slots__ = (
        "sender",
        "slots",
        "max_open",
        "permits",
        "idle_time",
        "registry",
        "tasks",
    )

    def __init__(
        self,
        sender: StatementSender,
        slots: SlotQueue,
        max_open: int,
        limit: int,
        idle_time: float,
    ) -> None:
        self.sender = sender
        self.slots = slots
        self.max_open = max_open
        self.permits = SlotQueue(max(max_open, 1), limit, slots.clock, slots.random)
        self.idle_time = idle_time
        self.registry = PinnedTransactions()
        self.tasks: set[asyncio.Task[None]] = set()

    async def begin(self, statement: Statement, deadline: Deadline) -> TargetResult:
        """Open a transaction on its own connection.

        :raises RefusalError: not run.
        """
        name = statement.transaction
        if not name or name in self.registry.open:
            raise not_run(RefusalReason.BAD_REQUEST, "A transaction needs a unique id.")
        if self.max_open == 0:
            raise target_full_refusal()
        permit = await self.permits.acquire(
            statement.caller, statement.priority, statement.remaining
        )
        connection: TargetConnection | None = None
        try:
            connection = await self.sender.borrow(deadline)
            result = await self.send_in_slot(connection, statement, deadline)
        except BaseException as error:
            self.release(permit, connection)
            if isinstance(error, TargetNoReplyError):
                raise no_reply_refusal(statement, deadline, error) from error
            if isinstance(error, TargetUnreachableError):
                self.sender.pool.suspect_idle()
                raise target_unreachable_refusal() from error
            raise
        assert result is not None
        if result.repeated:
            self.permits.release(permit)
            self.sender.pool.give_back(connection)
            return result
        transaction = PinnedTransaction(name, statement.caller, connection, permit)
        self.registry.open[name] = transaction
        self.start_idle_timer(transaction)
        return result

    async def run(
        self, statement: Statement, deadline: Deadline
    ) -> TargetResult | None:
        """Run a step, commit or rollback; a rollback has no result.

        :raises RefusalError: with a correct verdict.
        """
        transaction = self.registry.enter(statement)
        ending: str | None = CONNECTION_LOST_DETAIL
        stays_open = False
        try:
            if self.sender.health.unreachable_since is not None:
                raise target_unreachable_refusal()
            transaction.commit_in_doubt = statement.kind is StatementKind.COMMIT
            result = await self.send_in_slot(
                transaction.connection, statement, deadline
            )
            stays_open = statement.kind is StatementKind.STEP
            ending = None
            return result
        except TargetNoReplyError as error:
            raise no_reply_refusal(statement, deadline, error) from error
        except TargetUnreachableError as error:
            transaction.commit_in_doubt = False
            raise not_run(
                RefusalReason.TRANSACTION_LOST, CONNECTION_LOST_DETAIL
            ) from error
        except RefusalError as refusal:
            transaction.commit_in_doubt = refusal.verdict is Verdict.MAY_HAVE_RUN
            stays_open = refusal.reason not in TRANSACTION_ENDING_REASONS and not (
                statement.kind is StatementKind.COMMIT
                and refusal.reason is RefusalReason.STATEMENT_FAILED
            )
            ending = refusal.detail
            raise
        finally:
            self.leave(transaction, stays_open, ending)

    def end_all(self, ending: str) -> None:
        """Roll back all open transactions."""
        for transaction in list(self.registry.open.values()):
            self.abort(transaction, ending)

    async def close(self) -> None:
        """Wait for rollbacks in progress."""
        if self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    def leave(
        self, transaction: PinnedTransaction, stays_open: bool, ending: str | None
    ) -> None:
        """Start the idle timer after a statement, or end the transaction."""
        if not self.registry.holds(transaction):
            return
        if stays_open:
            self.start_idle_timer(transaction)
            return
        self.registry.remove(transaction, ending)
        self.permits.release(transaction.permit)
        if ending is None:
            self.sender.pool.give_back(transaction.connection)
        else:
            self.sender.pool.discard_borrowed(transaction.connection)

    def start_idle_timer(self, transaction: PinnedTransaction) -> None:
        """Mark the transaction as idle and start the timer that aborts it."""
        transaction.running = False
        loop = asyncio.get_running_loop()
        transaction.timer = loop.call_later(
            self.idle_time, self.abort, transaction, IDLE_DETAIL
        )

    def abort(self, transaction: PinnedTransaction, ending: str) -> None:
        """Roll back a transaction in the background without a request of its caller."""
        self.registry.remove(transaction, ending)
        task = asyncio.get_running_loop().create_task(self.roll_back(transaction))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def roll_back(self, transaction: PinnedTransaction) -> None:
        """Roll back, then close the connection, which rolls back in any case."""
        try:
            if not transaction.running:
                await transaction.connection.rollback(ROLLBACK_TIMEOUT_SECONDS)
        except TargetError:
            pass
        finally:
            self.release(transaction.permit, transaction.connection)

    def release(self, permit: QueueEntry, connection: TargetConnection | None) -> None:
        """Release the permit of a transaction and close its connection."""
        self.permits.release(permit)
        if connection is not None:
            self.sender.pool.discard_borrowed(connection)

    async def send_in_slot(
        self, connection: TargetConnection, statement: Statement, deadline: Deadline
    ) -> TargetResult | None:
        """Run one statement in a slot; release the slot afterwards."""
        slot = await self.slots.acquire(
            statement.caller, statement.priority, deadline.remaining()
        )
        try:
            return await self.sender.send(
                connection, statement, deadline, AttemptKind.ONLY
            )
        finally:
            self.slots.release(slot)
