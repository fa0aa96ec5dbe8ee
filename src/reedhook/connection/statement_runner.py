"""Statements in progress, each on its own connection, and their reply timeouts."""

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
"""Timeout of a statement whose deadline passes while it is sent."""


class AttemptKind(Enum):
    """Which attempt at a statement this is."""

    ONLY = "only"
    FIRST_OF_TWO = "first_of_two"
    SECOND = "second"


class InFlightStatement:
    """Track one statement that was sent to the target.

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
        """Stop waiting for the reply at once."""
        if self.dropped:
            return
        self.dropped = True
        self.scope.reschedule(asyncio.get_running_loop().time())


class StatementRunner:
    """Run statements on connections and drop those that stay unanswered.

    :param on_connection_dropped: called when a connection is dropped although the
        target is alive, so that other connections may be lost too.
    """

    __slots__ = (
        "health",
        "timeouts",
        "stalled_writes",
        "clock",
        "on_connection_dropped",
        "running",
    )

    def __init__(
        self,
        health: TargetFailureDetector,
        timeouts: ResponseTimeouts,
        stalled_writes: StalledWriteDetector,
        clock: Clock,
        on_connection_dropped: Callable[[], None],
    ) -> None:
        self.health = health
        self.timeouts = timeouts
        self.stalled_writes = stalled_writes
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

        :raises TargetNoReplyError: if no reply arrived, or the call was dropped.
        :raises TargetRefusedError: if the target refused the statement.
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
            raise TargetNoReplyError("no reply arrived in time") from None
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
        """Report the outcome of a write or commit to the stall detector."""
        if kind not in (StatementKind.WRITE, StatementKind.COMMIT):
            return
        if answered:
            self.stalled_writes.record_answered()
        elif self.health.unreachable_since is None:
            self.stalled_writes.record_unanswered(call.began)
        else:
            self.stalled_writes.reset()

    def drop_all(self) -> None:
        """Stop waiting for the replies to all statements in progress."""
        for call in self.running:
            call.drop()

    def check_liveness(self, call: InFlightStatement) -> None:
        """Check whether the target is alive, by a probe if need be, and act on it."""
        if self.health.recently_answered():
            self.apply_liveness(call, lives=True)
            return

        def on_probe_done(probe: asyncio.Task[bool]) -> None:
            if not probe.cancelled() and call in self.running:
                self.apply_liveness(call, probe.result())

        self.health.start_probe().add_done_callback(on_probe_done)

    def apply_liveness(self, call: InFlightStatement, lives: bool) -> None:
        """Drop the call, or allow more time if it cannot be repeated."""
        if call.dropped:
            return
        if not lives:
            call.drop()
            return
        if call.attempt is AttemptKind.FIRST_OF_TWO:
            call.drop()
            self.on_connection_dropped()
            return
        timeout = self.timeouts.abandon_timeout(call.sql)
        if timeout is None or call.attempt is AttemptKind.SECOND:
            return
        remaining = call.began + timeout - self.clock.monotonic()
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(max(remaining, 0.0), self.abandon_slow_call, call)

    def abandon_slow_call(self, call: InFlightStatement) -> None:
        """Drop a call that is overdue although the target is alive.

        Its duration is recorded, so that a statement that has become slow gets a
        longer timeout the next time.
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
