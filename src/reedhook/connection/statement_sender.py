"""Sending of statements on pooled connections, with typed refusals."""

from collections.abc import Callable

from ..request.deadline import Deadline
from ..request.statement import Statement
from .statement_runner import AttemptKind, StatementRunner
from .target import (
    TargetConnection,
    TargetFullError,
    TargetRefusedError,
    TargetResult,
    TargetUnreachableError,
)
from .target_connection_pool import TargetConnectionPool
from .target_failure_detector import TargetFailureDetector
from .target_refusals import (
    deadline_refusal,
    target_full_refusal,
    target_refused_refusal,
    target_unreachable_refusal,
)


class StatementSender:
    """Borrow connections and send statements on them.

    :param on_result: called with each result.
    :param on_refusal: called with each refusal of the target.
    """

    __slots__ = ("pool", "health", "calls", "on_result", "on_refusal")

    def __init__(
        self,
        pool: TargetConnectionPool,
        health: TargetFailureDetector,
        calls: StatementRunner,
        on_result: Callable[[TargetResult], None],
        on_refusal: Callable[[TargetRefusedError], None],
    ) -> None:
        self.pool = pool
        self.health = health
        self.calls = calls
        self.on_result = on_result
        self.on_refusal = on_refusal

    async def borrow(self, deadline: Deadline) -> TargetConnection:
        """Borrow a connection.

        :raises RefusalError: not run, if none is available in time.
        """
        try:
            return await self.pool.borrow(deadline.remaining())
        except TargetFullError as error:
            raise target_full_refusal() from error
        except TargetUnreachableError as error:
            self.health.start_probe()
            raise target_unreachable_refusal() from error

    async def send(
        self,
        connection: TargetConnection,
        statement: Statement,
        deadline: Deadline,
        attempt: AttemptKind,
    ) -> TargetResult | None:
        """Run a statement on `connection`; a rollback has no result.

        :raises RefusalError: not run, if the deadline has passed or the target refused;
            the connection may be reused.
        :raises TargetNoReplyError: if no reply arrived; the connection must be closed.
        :raises TargetUnreachableError: if the target had closed the connection;
            nothing was sent.
        """
        if deadline.remaining() <= 0.0:
            raise deadline_refusal()
        try:
            result = await self.calls.send(connection, statement, deadline, attempt)
        except TargetRefusedError as error:
            self.on_refusal(error)
            raise target_refused_refusal(error) from error
        if result is not None:
            self.on_result(result)
        return result
