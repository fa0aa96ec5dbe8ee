"""Statements outside transactions."""

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

        :raises Refusal: with a verdict that holds.
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
        """Run the statement, and once more if its connection was lost.

        A read has no effect and a request id makes a write idempotent, so
        both may be repeated.
        """
        read = statement.kind is StatementKind.READ
        repeatable = read or statement.request_id is not None
        attempt = AttemptKind.FIRST_OF_TWO if repeatable else AttemptKind.ONLY
        try:
            return await self.send(statement, deadline, attempt)
        except TargetNoReplyError as error:
            first = no_reply_refusal(statement, deadline, error)
        if not repeatable or deadline.remaining() <= 0.0:
            raise first
        if not await self.sender.health.is_alive():
            raise first
        try:
            return await self.send(statement, deadline, AttemptKind.SECOND)
        except TargetNoReplyError as error:
            raise no_reply_refusal(statement, deadline, error) from error
        except RefusalError as error:
            if read:
                raise
            # The first attempt may have taken effect whatever became of the
            # second.
            raise first from error

    async def send(
        self, statement: Statement, deadline: Deadline, attempt: AttemptKind
    ) -> TargetResult:
        """Run the statement on a borrowed connection that is still open.

        :raises Refusal: not run.
        :raises TargetSilent: if it was sent and not answered.
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

        :raises Refusal: not run.
        :raises TargetSilent: if it was sent and not answered.
        :raises TargetUnreachable: if the target had closed the connection.
        """
        sender = self.sender
        connection = await sender.borrow(deadline)
        in_order = False
        try:
            result = await sender.send(connection, statement, deadline, attempt)
            in_order = True
        except RefusalError:
            in_order = True
            raise
        finally:
            if in_order:
                sender.pool.give_back(connection)
            else:
                sender.pool.discard_borrowed(connection)
        assert result is not None
        return result
