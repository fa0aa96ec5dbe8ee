"""Statements in progress, each on a connection of its own, and their silence."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Final

from ..clock import Clock
from ..request.deadline import Deadline
from ..request.statement import Statement, StatementKind
from .response_timeouts import ResponseTimeouts
from .stalled_write_detector import StalledWriteDetector
from .target import (
    TargetConnection,
    TargetNoReplyError,
    TargetRefusedError,
    TargetResult,
)
from .target_failure_detector import TargetFailureDetector

MIN_TIMEOUT_SECONDS: Final = 0.001
"""Seconds given to a statement whose deadline passes while it is sent."""


class AttemptKind(Enum):
    """Say which attempt at a statement this is."""

    ONLY = "only"
    FIRST_OF_TWO = "first_of_two"
    SECOND = "second"


class InFlightStatement:
    """Stand for one statement on its way.

    :ivar began: monotonic time at which it was sent.
    """

    __slots__ = ("sql", "attempt", "began", "scope", "timer", "dropped")

    def __init__(self, sql: str, attempt: AttemptKind, began: float) -> None:
        self.sql = sql
        self.attempt = attempt
        self.began = began
        self.scope = asyncio.timeout(None)
        self.timer: asyncio.TimerHandle | None = None
        self.dropped = False

    def drop(self) -> None:
        """End the wait for the answer at once."""
        if self.dropped:
            return
        self.dropped = True
        self.scope.reschedule(asyncio.get_running_loop().time())


class StatementRunner:
    """Run statements on connections and look into those that go silent.

    :param on_connection_dropped: called when a connection is dropped though the target
        lives; the other connections are suspect then.
    """

    __slots__ = (
        "health",
        "timeouts",
        "stall",
        "clock",
        "on_connection_dropped",
        "running",
    )

    def __init__(
        self,
        health: TargetFailureDetector,
        timeouts: ResponseTimeouts,
        stall: StalledWriteDetector,
        clock: Clock,
        on_connection_dropped: Callable[[], None],
    ) -> None:
        self.health = health
        self.timeouts = timeouts
        self.stall = stall
        self.clock = clock
        self.on_connection_dropped = on_connection_dropped
        self.running: set[InFlightStatement] = set()

    async def send(
        self,
        connection: TargetConnection,
        statement: Statement,
        deadline: Deadline,
        attempt: AttemptKind,
    ) -> TargetResult | None:
        """Run `statement` on `connection`; a rollback has no result.

        :raises TargetSilent: if the answer did not come, or was given up.
        :raises TargetRefused: as the target said.
        """
        sql = statement.sql
        call = InFlightStatement(sql, attempt, self.clock.monotonic())
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(
            self.timeouts.silence_timeout(sql), self.check_liveness, call
        )
        self.running.add(call)
        try:
            async with call.scope:
                result = await send_statement(connection, statement, deadline)
            self.record_write_outcome(call, statement.kind, answered=True)
        except TimeoutError:
            self.record_write_outcome(call, statement.kind, answered=False)
            raise TargetNoReplyError("the connection went silent") from None
        except TargetNoReplyError:
            self.record_write_outcome(call, statement.kind, answered=False)
            raise
        except TargetRefusedError:
            self.record_write_outcome(call, statement.kind, answered=True)
            raise
        finally:
            call.timer.cancel()
            self.running.discard(call)
        self.timeouts.record_duration(sql, self.clock.monotonic() - call.began)
        if self.health.unreachable_since is not None:
            self.health.record_response()
        return result

    def record_write_outcome(
        self, call: InFlightStatement, kind: StatementKind, answered: bool
    ) -> None:
        """Take note of how a write or commit ended, for a target that lives."""
        if kind not in (StatementKind.WRITE, StatementKind.COMMIT):
            return
        if answered:
            self.stall.record_answered()
        elif self.health.unreachable_since is None:
            self.stall.record_unanswered(call.began)
        else:
            self.stall.reset()

    def drop_all(self) -> None:
        """End the wait of all statements in progress at once."""
        for call in self.running:
            call.drop()

    def check_liveness(self, call: InFlightStatement) -> None:
        """Find out whether the target lives, and judge the call by it."""
        if self.health.recently_answered():
            self.apply_liveness(call, lives=True)
            return

        def judge(examination: asyncio.Task[bool]) -> None:
            if not examination.cancelled() and call in self.running:
                self.apply_liveness(call, examination.result())

        self.health.start_probe().add_done_callback(judge)

    def apply_liveness(self, call: InFlightStatement, lives: bool) -> None:
        """Drop the call, or leave a statement that cannot be repeated more time."""
        if call.dropped:
            return
        if not lives:
            call.drop()
            return
        if call.attempt is AttemptKind.FIRST_OF_TWO:
            call.drop()
            self.on_connection_dropped()
            return
        patience = self.timeouts.abandon_timeout(call.sql)
        if patience is None or call.attempt is AttemptKind.SECOND:
            return
        rest = call.began + patience - self.clock.monotonic()
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(max(rest, 0.0), self.abandon_slow_call, call)

    def abandon_slow_call(self, call: InFlightStatement) -> None:
        """Drop a call that its connection is too late with though the target lives.

        The time is learned, so that a text that has become slow is waited for
        the next time.
        """
        self.timeouts.record_duration(call.sql, self.clock.monotonic() - call.began)
        call.drop()
        self.on_connection_dropped()


async def send_statement(
    connection: TargetConnection, statement: Statement, deadline: Deadline
) -> TargetResult | None:
    """Send the statement by the method of its kind."""
    kind = statement.kind
    timeout = max(deadline.remaining(), MIN_TIMEOUT_SECONDS)
    if kind is StatementKind.READ:
        return await connection.read(statement.sql, statement.params, timeout)
    if kind is StatementKind.WRITE:
        return await connection.write(
            statement.sql, statement.params, statement.request_id, timeout
        )
    if kind is StatementKind.STEP:
        return await connection.step(statement.sql, statement.params, timeout)
    if kind is StatementKind.BEGIN:
        return await connection.begin(statement.request_id, timeout)
    if kind is StatementKind.COMMIT:
        return await connection.commit(timeout)
    await connection.rollback(timeout)
    return None
