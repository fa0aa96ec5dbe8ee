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
"""Maximum duration of a long poll for a new state."""

REPLICA_LONG_POLL_SECONDS: Final = 0.4
"""The same for a replica, whose failure delays no write. Changes of its state are
still reported at once."""

RESPONSE_MARGIN_SECONDS: Final = 0.05
"""Seconds allowed for a reply, beyond the duration of a long poll."""

MIN_POLL_INTERVAL_SECONDS: Final = 0.01
"""Minimum seconds between two polls, however often the state changes."""

REUSED_CONNECTION_TIMEOUT_SECONDS: Final = 0.1
"""Timeout of a control call on an idle connection, which may have gone silent."""

MIN_RECONNECT_PAUSE_SECONDS: Final = 0.05
MAX_RECONNECT_PAUSE_SECONDS: Final = 1.0
"""First and longest pause between probes of an unreachable target."""

ControlRequest: TypeAlias = Callable[[TargetConnection, float], Awaitable[MemberState]]
"""Sends a control request on a connection, with a timeout in seconds."""


class TargetControl:
    """Send control calls, on a new connection if an idle one is silent."""

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
        """Send a control request, with one retry on a new connection.

        All control calls are idempotent for one owner and term.

        :raises TargetError: if it fails on a new connection too.
        """
        started = self.clock.monotonic()
        if self.pool.idle:
            connection = await self.pool.acquire_control(timeout)
            try:
                return await self.send_request(
                    connection, request, REUSED_CONNECTION_TIMEOUT_SECONDS
                )
            except (TargetNoReplyError, TargetUnreachableError):
                self.pool.suspect_idle()
        remaining = max(
            timeout - (self.clock.monotonic() - started),
            REUSED_CONNECTION_TIMEOUT_SECONDS,
        )
        connection = await self.pool.open_control(remaining)
        remaining = max(
            timeout - (self.clock.monotonic() - started),
            REUSED_CONNECTION_TIMEOUT_SECONDS,
        )
        return await self.send_request(connection, request, remaining)

    async def send_request(
        self, connection: TargetConnection, request: ControlRequest, timeout: float
    ) -> MemberState:
        """Send a request on a connection, then keep or close the connection."""
        sent_at = self.clock.monotonic()
        succeeded = False
        try:
            state = await request(connection, timeout)
            succeeded = True
        finally:
            if succeeded:
                self.pool.add_idle(connection)
            else:
                self.pool.discard(connection)
        self.health.record_response()
        self.on_state(state, sent_at)
        return state


class StateWatch:
    """Follow the state of a target by long polling.

    Without a reserved connection, poll on borrowed connections at intervals.

    :param use_long_poll: whether a connection is reserved for long polling.
    :param tick: called after each state, for housekeeping.
    :param on_connection_silent: called when a connection went silent although the
        target is alive.
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
        """Long-poll on one connection until it fails."""
        connection = await self.pool.acquire_control(LONG_POLL_SECONDS)
        revision, timeout = -1, LONG_POLL_SECONDS
        try:
            while True:
                sent_at = self.clock.monotonic()
                async with asyncio.timeout(timeout + RESPONSE_MARGIN_SECONDS):
                    state = await connection.wait_state(revision, timeout)
                revision, timeout = state.revision, long_poll_seconds(state)
                self.record_state(state, sent_at)
                await self.keep_pace(sent_at)
        finally:
            self.pool.discard(connection)

    async def poll(self) -> None:
        """Poll on a borrowed connection at intervals."""
        while True:
            connection = await self.pool.borrow(
                LONG_POLL_SECONDS + RESPONSE_MARGIN_SECONDS
            )
            sent_at = self.clock.monotonic()
            answered = False
            try:
                state = await connection.state(RESPONSE_MARGIN_SECONDS)
                answered = True
            finally:
                if answered:
                    self.pool.give_back(connection)
                else:
                    self.pool.discard_borrowed(connection)
            self.record_state(state, sent_at)
            await asyncio.sleep(LONG_POLL_SECONDS)

    async def recover(self) -> None:
        """Probe on new connections until the target replies."""
        if await self.health.probe_now():
            self.on_connection_silent()
            return
        max_pause = MIN_RECONNECT_PAUSE_SECONDS
        while not await self.health.probe_now():
            await asyncio.sleep(max_pause * self.random.uniform(0.5, 1.0))
            max_pause = min(max_pause * 2.0, MAX_RECONNECT_PAUSE_SECONDS)

    def record_state(self, state: MemberState, asked: float) -> None:
        """Report a state and run the housekeeping."""
        self.health.record_response()
        self.on_state(state, asked)
        self.tick()

    async def keep_pace(self, asked: float) -> None:
        """Wait until `MIN_POLL_INTERVAL_SECONDS` after the last poll."""
        pause = asked + MIN_POLL_INTERVAL_SECONDS - self.clock.monotonic()
        if pause > 0.0:
            await asyncio.sleep(pause)


def long_poll_seconds(state: MemberState) -> float:
    """Return the duration of a long poll at a target in this state."""
    return (
        REPLICA_LONG_POLL_SECONDS if state.role is Role.REPLICA else LONG_POLL_SECONDS
    )
