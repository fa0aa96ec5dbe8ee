"""Connections to one target, limited to the share of this host."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

from ..clock import Clock
from .target import (
    Target,
    TargetConnection,
    TargetError,
    TargetFullError,
    TargetUnreachableError,
)

CONNECT_TIMEOUT_SECONDS: Final = 0.25

CLOSE_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of closing a connection, after which it no longer counts as open."""

MIN_BACKOFF_SECONDS: Final = 0.05
MAX_BACKOFF_SECONDS: Final = 2.0
"""First and longest pause after failures to connect."""

MAX_BACKOFF_DOUBLINGS: Final = 10
"""Bound of the exponent of the pause."""

MAX_IDLE_SECONDS: Final = 30.0
"""Idle time after which a connection is closed."""


class PoolExhaustedError(TargetFullError):
    """This host may open no further connection to the target."""


class IdleTargetConnection:
    """Hold an idle connection.

    :ivar since: monotonic time of its last use.
    """

    __slots__ = ("connection", "since")

    def __init__(self, connection: TargetConnection, since: float) -> None:
        self.connection = connection
        self.since = since


class TargetConnectionPool:
    """Open, lend and keep at most `share` connections.

    :param share: connections that may be open at once.
    :param reserved: connections of the share that statements may not borrow; they are
        for control calls and probes.
    :param target_is_full: returns whether the target has reported that it is full.
    :ivar open: connections open, being opened or being closed.
    :ivar lent: connections borrowed by statements and transactions.
    """

    __slots__ = (
        "target",
        "share",
        "max_lent",
        "clock",
        "random",
        "target_is_full",
        "open",
        "lent",
        "idle",
        "waiting",
        "opening",
        "failures",
        "retry_at",
        "tasks",
        "closed",
    )

    def __init__(
        self,
        target: Target,
        share: int,
        reserved: int,
        clock: Clock,
        random: random.Random,
        target_is_full: Callable[[], bool],
    ) -> None:
        self.target = target
        self.share = share
        self.max_lent = share - reserved
        self.clock = clock
        self.random = random
        self.target_is_full = target_is_full
        self.open = 0
        self.lent = 0
        self.idle: list[IdleTargetConnection] = []
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.opening = asyncio.Lock()
        self.failures = 0
        self.retry_at = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False

    async def borrow(self, timeout: float) -> TargetConnection:
        """Lend a connection for statements.

        :raises TargetUnreachableError: if none is available; nothing was sent.
        """
        if self.lent < self.max_lent and self.idle:
            self.lent += 1
            return self.idle.pop().connection
        try:
            async with asyncio.timeout(timeout):
                return await self.borrow_later()
        except TimeoutError:
            raise PoolExhaustedError("no connection became free in time") from None

    def give_back(self, connection: TargetConnection) -> None:
        """Take back a healthy borrowed connection."""
        self.lent -= 1
        self.add_idle(connection)

    def discard_borrowed(self, connection: TargetConnection) -> None:
        """Take back a borrowed connection of unknown state and close it."""
        self.lent -= 1
        self.discard(connection)

    async def acquire_control(self, timeout: float) -> TargetConnection:
        """Return a connection for control calls; pass it to `add_idle` or `discard`.

        :raises TargetUnreachableError: if none is available; nothing was sent.
        """
        if self.idle:
            return self.idle.pop().connection
        return await self.open_control(timeout)

    async def open_control(self, timeout: float) -> TargetConnection:
        """Open a new connection for control calls, in place of an idle one if need be.

        :raises TargetUnreachableError: if it cannot be opened; nothing was sent.
        """
        if self.open >= self.share and self.idle:
            await self.close_one(self.idle.pop(0).connection)
        if self.open >= self.share:
            raise PoolExhaustedError("all connections of this host are in use")
        return await self.connect(timeout)

    def add_idle(self, connection: TargetConnection) -> None:
        """Keep a healthy connection for the next use."""
        if self.closed:
            self.discard(connection)
            return
        self.idle.append(IdleTargetConnection(connection, self.clock.monotonic()))
        self.wake()

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection in the background."""
        self.spawn(self.close_one(connection))

    def suspect_idle(self) -> None:
        """Verify all idle connections before their next use."""
        for one in self.idle:
            self.spawn(self.verify(one.connection))
        self.idle.clear()

    def close_unused(self) -> None:
        """Close connections that have been idle for `MAX_IDLE_SECONDS`."""
        used_before = self.clock.monotonic() - MAX_IDLE_SECONDS
        while self.idle and self.idle[0].since < used_before:
            self.discard(self.idle.pop(0).connection)

    async def close(self) -> None:
        """Close idle connections now and lent ones on their return."""
        self.closed = True
        while self.idle:
            self.discard(self.idle.pop().connection)
        if self.tasks:
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def borrow_later(self) -> TargetConnection:
        """Wait for a returned connection or open a new one."""
        while True:
            if self.lent >= self.max_lent:
                await self.wait()
                continue
            async with self.opening:
                if self.lent >= self.max_lent:
                    continue
                self.lent += 1
                try:
                    return await self.idle_or_new()
                except BaseException:
                    self.lent -= 1
                    self.wake()
                    raise

    async def idle_or_new(self) -> TargetConnection:
        """Return an idle connection, or open one unless that is bound to fail."""
        if self.idle:
            return self.idle.pop().connection
        if self.open >= self.share:
            raise PoolExhaustedError("all connections of this host are in use")
        if self.clock.monotonic() < self.retry_at:
            raise TargetUnreachableError("the last attempt to connect failed")
        if self.target_is_full():
            raise TargetFullError("the target accepts no further connection")
        return await self.connect(CONNECT_TIMEOUT_SECONDS)

    async def connect(self, timeout: float) -> TargetConnection:
        """Open a connection and count it; back off after a failure."""
        self.open += 1
        try:
            connection = await self.target.connect(timeout)
        except BaseException as error:
            self.open -= 1
            if isinstance(error, TargetError):
                self.back_off()
            raise
        self.failures = 0
        self.retry_at = 0.0
        return connection

    def back_off(self) -> None:
        """Delay the next attempt exponentially, with jitter."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        max_pause = min(MIN_BACKOFF_SECONDS * 2.0**doublings, MAX_BACKOFF_SECONDS)
        self.failures += 1
        pause = max_pause * self.random.uniform(0.5, 1.0)
        self.retry_at = self.clock.monotonic() + pause

    async def wait(self) -> None:
        """Wait until a connection or capacity for one becomes free."""
        ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(ready)
        try:
            await ready
        except asyncio.CancelledError:
            if ready.done() and not ready.cancelled():
                self.wake()
            raise

    def wake(self) -> None:
        """Wake the first waiter."""
        while self.waiting:
            ready = self.waiting.popleft()
            if not ready.done():
                ready.set_result(None)
                return

    async def verify(self, connection: TargetConnection) -> None:
        """Keep the connection if it answers, else close it."""
        try:
            await connection.state(CONNECT_TIMEOUT_SECONDS)
        except TargetError:
            await self.close_one(connection)
        else:
            self.add_idle(connection)

    async def close_one(self, connection: TargetConnection) -> None:
        """Close a connection and stop counting it as open."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await connection.close()
        except (TimeoutError, TargetError, OSError):
            pass
        finally:
            self.open -= 1
            self.wake()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
