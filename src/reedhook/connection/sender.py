"""Sending of statements on connections of the pool, with typed refusals."""

from collections.abc import Callable

from ..request.deadline import Deadline
from ..request.statement import Statement
from .call import Attempt, Calls
from .health import Health
from .pool import Pool
from .target import (
    TargetConnection,
    TargetFull,
    TargetRefused,
    TargetResult,
    TargetUnreachable,
)
from .verdicts import full, late, refused, unreachable


class Sender:
    """Borrow connections and send statements on them.

    :param answered: called with each result.
    :param declined: called with each refusal of the target.
    """

    __slots__ = ("pool", "health", "calls", "answered", "declined")

    def __init__(
        self,
        pool: Pool,
        health: Health,
        calls: Calls,
        answered: Callable[[TargetResult], None],
        declined: Callable[[TargetRefused], None],
    ) -> None:
        self.pool = pool
        self.health = health
        self.calls = calls
        self.answered = answered
        self.declined = declined

    async def borrow(self, deadline: Deadline) -> TargetConnection:
        """Borrow a connection.

        :raises Refusal: not run, if none can be had in time.
        """
        try:
            return await self.pool.borrow(deadline.remaining())
        except TargetFull as error:
            raise full() from error
        except TargetUnreachable as error:
            self.health.examine()
            raise unreachable() from error

    async def send(
        self,
        connection: TargetConnection,
        statement: Statement,
        deadline: Deadline,
        attempt: Attempt,
    ) -> TargetResult | None:
        """Run a statement on `connection`; a rollback has no result.

        :raises Refusal: not run, if it is too late or the target refused; the
            connection is in order.
        :raises TargetSilent: if no answer came; the connection is in doubt.
        :raises TargetUnreachable: if the target had closed the connection;
            nothing was sent.
        """
        if deadline.remaining() <= 0.0:
            raise late()
        try:
            result = await self.calls.send(connection, statement, deadline, attempt)
        except TargetRefused as error:
            self.declined(error)
            raise refused(error) from error
        if result is not None:
            self.answered(result)
        return result
