"""Statements in progress, each on a connection of its own, and their silence."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Final

from ..clock import Clock
from ..request.deadline import Deadline
from ..request.statement import Statement, StatementKind
from .health import Health
from .patience import Patience
from .stall import Stall
from .target import TargetConnection, TargetRefused, TargetResult, TargetSilent

SHORTEST_TIMEOUT: Final = 0.001
"""Seconds given to a statement whose deadline passes while it is sent."""


class Attempt(Enum):
    """Say which attempt at a statement this is."""

    ONLY = "only"
    FIRST_OF_TWO = "first_of_two"
    SECOND = "second"


class Call:
    """Stand for one statement on its way.

    :ivar began: monotonic time at which it was sent.
    """

    __slots__ = ("sql", "attempt", "began", "scope", "timer", "dropped")

    def __init__(self, sql: str, attempt: Attempt, began: float) -> None:
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


class Calls:
    """Run statements on connections and look into those that go silent.

    :param dropped: called when a connection is dropped though the target
        lives; the other connections are suspect then.
    """

    __slots__ = ("health", "patience", "stall", "clock", "dropped", "running")

    def __init__(
        self,
        health: Health,
        patience: Patience,
        stall: Stall,
        clock: Clock,
        dropped: Callable[[], None],
    ) -> None:
        self.health = health
        self.patience = patience
        self.stall = stall
        self.clock = clock
        self.dropped = dropped
        self.running: set[Call] = set()

    async def send(
        self,
        connection: TargetConnection,
        statement: Statement,
        deadline: Deadline,
        attempt: Attempt,
    ) -> TargetResult | None:
        """Run `statement` on `connection`; a rollback has no result.

        :raises TargetSilent: if the answer did not come, or was given up.
        :raises TargetRefused: as the target said.
        """
        sql = statement.sql
        call = Call(sql, attempt, self.clock.monotonic())
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(self.patience.bound(sql), self.look_into, call)
        self.running.add(call)
        try:
            async with call.scope:
                result = await ask(connection, statement, deadline)
            self.ended(call, statement.kind, answered=True)
        except TimeoutError:
            self.ended(call, statement.kind, answered=False)
            raise TargetSilent("the connection went silent") from None
        except TargetSilent:
            self.ended(call, statement.kind, answered=False)
            raise
        except TargetRefused:
            self.ended(call, statement.kind, answered=True)
            raise
        finally:
            call.timer.cancel()
            self.running.discard(call)
        self.patience.learn(sql, self.clock.monotonic() - call.began)
        if self.health.unreachable_since is not None:
            self.health.heard()
        return result

    def ended(self, call: Call, kind: StatementKind, answered: bool) -> None:
        """Take note of how a write or commit ended, for a target that lives."""
        if kind not in (StatementKind.WRITE, StatementKind.COMMIT):
            return
        if answered:
            self.stall.answered()
        elif self.health.unreachable_since is None:
            self.stall.lost(call.began)
        else:
            self.stall.forget()

    def drop_all(self) -> None:
        """End the wait of all statements in progress at once."""
        for call in self.running:
            call.drop()

    def look_into(self, call: Call) -> None:
        """Find out whether the target lives, and judge the call by it."""
        if self.health.proved_lately():
            self.judge(call, lives=True)
            return

        def judge(examination: asyncio.Task[bool]) -> None:
            if not examination.cancelled() and call in self.running:
                self.judge(call, examination.result())

        self.health.examine().add_done_callback(judge)

    def judge(self, call: Call, lives: bool) -> None:
        """Drop the call, or leave a statement that cannot be repeated more time."""
        if call.dropped:
            return
        if not lives:
            call.drop()
            return
        if call.attempt is Attempt.FIRST_OF_TWO:
            call.drop()
            self.dropped()
            return
        patience = self.patience.give_up(call.sql)
        if patience is None or call.attempt is Attempt.SECOND:
            return
        rest = call.began + patience - self.clock.monotonic()
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(max(rest, 0.0), self.give_up, call)

    def give_up(self, call: Call) -> None:
        """Drop a call that its connection is too late with though the target lives.

        The time is learned, so that a text that has become slow is waited for
        the next time.
        """
        self.patience.learn(call.sql, self.clock.monotonic() - call.began)
        call.drop()
        self.dropped()


async def ask(
    connection: TargetConnection, statement: Statement, deadline: Deadline
) -> TargetResult | None:
    """Send the statement by the method of its kind."""
    kind = statement.kind
    timeout = max(deadline.remaining(), SHORTEST_TIMEOUT)
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
