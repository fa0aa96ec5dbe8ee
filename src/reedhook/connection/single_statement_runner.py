"""Execution of statements outside transactions."""

from ..request.deadline import Deadline
from ..request.refusal import RefusalError
from ..request.slot_queue import SlotQueue
from ..request.statement import Statement, StatementKind
from .statement_runner import AttemptKind
from .statement_sender import StatementSender
from .target import TargetNoReplyError, TargetResult, TargetUnreachableError
from .target_refusals import no_reply_refusal, target_unreachable_refusal


class SingleStatementRunner:
    """Run each statement in a slot on a borrowed connection."""

    __slots__ = ("sender", "slots")

    def __init__(self, sender: StatementSender, slots: SlotQueue) -> None:
        self.sender = sender
        self.slots = slots

    async def run(self, statement: Statement, deadline: Deadline) -> TargetResult:
        """Wait for a slot and run the statement.

        :raises RefusalError: with a correct verdict.
        """
        caller = statement.caller
        priority = statement.priority
        remaining = statement.remaining
        slot = self.slots.try_acquire(caller, priority, remaining)
        if slot is None:
            slot = await self.slots.wait_for_slot(caller, priority, remaining)
        try:
            return await self.run_in_slot(statement, deadline)
        finally:
            self.slots.release(slot)

    async def run_in_slot(
        self, statement: Statement, deadline: Deadline
    ) -> TargetResult:
        """Run the statement, with one retry if its connection was lost.

        A read has no effect, and a request id makes a write idempotent, so both may be
        repeated.
        """
        is_read = statement.kind is StatementKind.READ
        repeatable = is_read or statement.request_id is not None
        attempt = AttemptKind.FIRST_OF_TWO if repeatable else AttemptKind.ONLY
        try:
            return await self.send(statement, deadline, attempt)
        except TargetNoReplyError as error:
            refusal = no_reply_refusal(statement, deadline, error)
        if not repeatable or deadline.remaining() <= 0.0:
            raise refusal
        if not await self.sender.health.is_alive():
            raise refusal
        try:
            return await self.send(statement, deadline, AttemptKind.SECOND)
        except TargetNoReplyError as error:
            raise no_reply_refusal(statement, deadline, error) from error
        except RefusalError as error:
            if is_read:
                raise
            # The refusal attempt may have taken effect, whatever the outcome of the
            # second.
            raise refusal from error

    async def send(
        self, statement: Statement, deadline: Deadline, attempt: AttemptKind
    ) -> TargetResult:
        """Run the statement on a borrowed connection that is still open.

        :raises RefusalError: not run.
        :raises TargetNoReplyError: if it was sent and got no reply.
        """
        try:
            return await self.send_borrowed(statement, deadline, attempt)
        except TargetUnreachableError:
            self.sender.pool.suspect_idle()
        try:
            return await self.send_borrowed(statement, deadline, attempt)
        except TargetUnreachableError as error:
            raise target_unreachable_refusal() from error

    async def send_borrowed(
        self, statement: Statement, deadline: Deadline, attempt: AttemptKind
    ) -> TargetResult:
        """Run the statement on a borrowed connection.

        :raises RefusalError: not run.
        :raises TargetNoReplyError: if it was sent and got no reply.
        :raises TargetUnreachableError: if the target had closed the connection.
        """
        sender = self.sender
        connection = await sender.borrow(deadline)
        reusable = False
        try:
            result = await sender.send(connection, statement, deadline, attempt)
            reusable = True
        except RefusalError:
            reusable = True
            raise
        finally:
            if reusable:
                sender.pool.give_back(connection)
            else:
                sender.pool.discard_borrowed(connection)
        assert result is not None
        return result
