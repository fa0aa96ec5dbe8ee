"""Control calls to a target, and the watch that follows its state."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from ..clock import Clock
from .target import (
    MemberState,
    Role,
    TargetConnection,
    TargetError,
    TargetFullError,
    TargetNoReplyError,
    TargetUnreachableError,
)
from .target_connection_pool import TargetConnectionPool
from .target_failure_detector import TargetFailureDetector

LONG_POLL_SECONDS: Final = 0.1
"""Seconds for which the target may hold the question for a new state."""

REPLICA_LONG_POLL_SECONDS: Final = 0.4
"""The same for a replica: changes come as soon, only its death later, and no
write waits for that."""

RESPONSE_MARGIN_SECONDS: Final = 0.05
"""Seconds past the hold after which the question counts as silent."""

MIN_POLL_INTERVAL_SECONDS: Final = 0.01
"""Least seconds between two questions, however often the state changes."""

REUSED_CONNECTION_TIMEOUT_SECONDS: Final = 0.1
"""Seconds that a control call on a kept connection waits for its answer."""

MIN_RECONNECT_PAUSE_SECONDS: Final = 0.05
MAX_RECONNECT_PAUSE_SECONDS: Final = 1.0
"""Seconds of the first and the longest pause while the target is unreachable."""

ControlRequest: TypeAlias = Callable[[TargetConnection, float], Awaitable[MemberState]]
"""Ask something on a connection within a timeout in seconds."""


class TargetControl:
    """Pass control calls on, on a new connection if a kept one is silent."""

    __slots__ = ("pool", "health", "clock", "on_state")

    def __init__(
        self,
        pool: TargetConnectionPool,
        health: TargetFailureDetector,
        clock: Clock,
        on_state: Callable[[MemberState, float], None],
    ) -> None:
        self.pool = pool
        self.health = health
        self.clock = clock
        self.on_state = on_state

    async def call(self, request: ControlRequest, timeout: float) -> MemberState:
        """Ask, and ask again once on a new connection.

        All control calls are idempotent for one owner and term.

        :raises TargetError: if there is no answer on a new connection either.
        """
        began = self.clock.monotonic()
        if self.pool.idle:
            connection = await self.pool.acquire_control(timeout)
            try:
                return await self.send_request(
                    connection, request, REUSED_CONNECTION_TIMEOUT_SECONDS
                )
            except (TargetNoReplyError, TargetUnreachableError):
                self.pool.suspect_idle()
        rest = max(
            timeout - (self.clock.monotonic() - began),
            REUSED_CONNECTION_TIMEOUT_SECONDS,
        )
        connection = await self.pool.open_control(rest)
        rest = max(
            timeout - (self.clock.monotonic() - began),
            REUSED_CONNECTION_TIMEOUT_SECONDS,
        )
        return await self.send_request(connection, request, rest)

    async def send_request(
        self, connection: TargetConnection, request: ControlRequest, timeout: float
    ) -> MemberState:
        """Ask on one connection, then keep it or close it."""
        asked = self.clock.monotonic()
        in_order = False
        try:
            state = await request(connection, timeout)
            in_order = True
        finally:
            if in_order:
                self.pool.add_idle(connection)
            else:
                self.pool.discard(connection)
        self.health.record_response()
        self.on_state(state, asked)
        return state


class StateWatch:
    """Follow the state of a target by a question that is held open.

    A share too small to spare a connection is asked in turns instead.

    :param use_long_poll: whether a connection can be spared.
    :param tick: called after each answer, for housekeeping.
    :param on_connection_silent: called when a connection went silent though the target
        lives.
    """

    __slots__ = (
        "pool",
        "health",
        "clock",
        "random",
        "on_state",
        "use_long_poll",
        "tick",
        "on_connection_silent",
    )

    def __init__(
        self,
        pool: TargetConnectionPool,
        health: TargetFailureDetector,
        clock: Clock,
        random: random.Random,
        on_state: Callable[[MemberState, float], None],
        use_long_poll: bool,
        tick: Callable[[], None],
        on_connection_silent: Callable[[], None],
    ) -> None:
        self.pool = pool
        self.health = health
        self.clock = clock
        self.random = random
        self.on_state = on_state
        self.use_long_poll = use_long_poll
        self.tick = tick
        self.on_connection_silent = on_connection_silent

    async def run(self) -> None:
        """Follow the state until cancelled."""
        while True:
            try:
                await (self.follow() if self.use_long_poll else self.poll())
            except TargetFullError:
                await asyncio.sleep(LONG_POLL_SECONDS * self.random.uniform(1.0, 2.0))
            except (TargetError, TimeoutError):
                await self.recover()

    async def follow(self) -> None:
        """Ask on one connection until it goes silent."""
        connection = await self.pool.acquire_control(LONG_POLL_SECONDS)
        revision, hold = -1, LONG_POLL_SECONDS
        try:
            while True:
                asked = self.clock.monotonic()
                async with asyncio.timeout(hold + RESPONSE_MARGIN_SECONDS):
                    state = await connection.wait_state(revision, hold)
                revision, hold = state.revision, long_poll_seconds(state)
                self.record_state(state, asked)
                await self.keep_pace(asked)
        finally:
            self.pool.discard(connection)

    async def poll(self) -> None:
        """Ask on a borrowed connection each time."""
        while True:
            connection = await self.pool.borrow(
                LONG_POLL_SECONDS + RESPONSE_MARGIN_SECONDS
            )
            asked = self.clock.monotonic()
            answered = False
            try:
                state = await connection.state(RESPONSE_MARGIN_SECONDS)
                answered = True
            finally:
                if answered:
                    self.pool.give_back(connection)
                else:
                    self.pool.discard_borrowed(connection)
            self.record_state(state, asked)
            await asyncio.sleep(LONG_POLL_SECONDS)

    async def recover(self) -> None:
        """Return once the target answers on a new connection."""
        if await self.health.probe_now():
            self.on_connection_silent()
            return
        longest = MIN_RECONNECT_PAUSE_SECONDS
        while not await self.health.probe_now():
            await asyncio.sleep(longest * self.random.uniform(0.5, 1.0))
            longest = min(longest * 2.0, MAX_RECONNECT_PAUSE_SECONDS)

    def record_state(self, state: MemberState, asked: float) -> None:
        """Take note of an answer."""
        self.health.record_response()
        self.on_state(state, asked)
        self.tick()

    async def keep_pace(self, asked: float) -> None:
        """Wait until the next question is due."""
        pause = asked + MIN_POLL_INTERVAL_SECONDS - self.clock.monotonic()
        if pause > 0.0:
            await asyncio.sleep(pause)


def long_poll_seconds(state: MemberState) -> float:
    """Return for how long a target with this state may hold the question."""
    return (
        REPLICA_LONG_POLL_SECONDS if state.role is Role.REPLICA else LONG_POLL_SECONDS
    )
