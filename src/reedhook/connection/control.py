"""Control calls to a target, and the watch that follows its state."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, TypeAlias

from ..clock import Clock
from .health import Health
from .pool import Pool
from .target import (
    MemberState,
    Role,
    TargetConnection,
    TargetError,
    TargetFull,
    TargetSilent,
    TargetUnreachable,
)

HOLD: Final = 0.1
"""Seconds for which the target may hold the question for a new state."""

REPLICA_HOLD: Final = 0.4
"""The same for a replica: changes come as soon, only its death later, and no
write waits for that."""

ANSWER_MARGIN: Final = 0.05
"""Seconds past the hold after which the question counts as silent."""

PACE: Final = 0.01
"""Least seconds between two questions, however often the state changes."""

KEPT_SILENCE: Final = 0.1
"""Seconds that a control call on a kept connection waits for its answer."""

PAUSE_FIRST: Final = 0.05
PAUSE_MOST: Final = 1.0
"""Seconds of the first and the longest pause while the target is unreachable."""

Question: TypeAlias = Callable[[TargetConnection, float], Awaitable[MemberState]]
"""Ask something on a connection within a timeout in seconds."""


class Control:
    """Pass control calls on, on a new connection if a kept one is silent."""

    __slots__ = ("pool", "health", "clock", "learn")

    def __init__(
        self,
        pool: Pool,
        health: Health,
        clock: Clock,
        learn: Callable[[MemberState, float], None],
    ) -> None:
        self.pool = pool
        self.health = health
        self.clock = clock
        self.learn = learn

    async def call(self, question: Question, timeout: float) -> MemberState:
        """Ask, and ask again once on a new connection.

        All control calls are idempotent for one owner and term.

        :raises TargetError: if there is no answer on a new connection either.
        """
        began = self.clock.monotonic()
        if self.pool.idle:
            connection = await self.pool.take(timeout)
            try:
                return await self.ask(connection, question, KEPT_SILENCE)
            except (TargetSilent, TargetUnreachable):
                self.pool.suspect_idle()
        rest = max(timeout - (self.clock.monotonic() - began), KEPT_SILENCE)
        connection = await self.pool.fresh(rest)
        rest = max(timeout - (self.clock.monotonic() - began), KEPT_SILENCE)
        return await self.ask(connection, question, rest)

    async def ask(
        self, connection: TargetConnection, question: Question, timeout: float
    ) -> MemberState:
        """Ask on one connection, then keep it or close it."""
        asked = self.clock.monotonic()
        in_order = False
        try:
            state = await question(connection, timeout)
            in_order = True
        finally:
            if in_order:
                self.pool.keep(connection)
            else:
                self.pool.discard(connection)
        self.health.heard()
        self.learn(state, asked)
        return state


class StateWatch:
    """Follow the state of a target by a question that is held open.

    A share too small to spare a connection is asked in turns instead.

    :param held: whether a connection can be spared.
    :param tick: called after each answer, for housekeeping.
    :param dropped: called when a connection went silent though the target
        lives.
    """

    __slots__ = (
        "pool",
        "health",
        "clock",
        "random",
        "learn",
        "held",
        "tick",
        "dropped",
    )

    def __init__(
        self,
        pool: Pool,
        health: Health,
        clock: Clock,
        random: random.Random,
        learn: Callable[[MemberState, float], None],
        held: bool,
        tick: Callable[[], None],
        dropped: Callable[[], None],
    ) -> None:
        self.pool = pool
        self.health = health
        self.clock = clock
        self.random = random
        self.learn = learn
        self.held = held
        self.tick = tick
        self.dropped = dropped

    async def run(self) -> None:
        """Follow the state until cancelled."""
        while True:
            try:
                await (self.follow() if self.held else self.poll())
            except TargetFull:
                await asyncio.sleep(HOLD * self.random.uniform(1.0, 2.0))
            except (TargetError, TimeoutError):
                await self.recover()

    async def follow(self) -> None:
        """Ask on one connection until it goes silent."""
        connection = await self.pool.take(HOLD)
        revision, hold = -1, HOLD
        try:
            while True:
                asked = self.clock.monotonic()
                async with asyncio.timeout(hold + ANSWER_MARGIN):
                    state = await connection.wait_state(revision, hold)
                revision, hold = state.revision, hold_for(state)
                self.heard(state, asked)
                await self.keep_pace(asked)
        finally:
            self.pool.discard(connection)

    async def poll(self) -> None:
        """Ask on a borrowed connection each time."""
        while True:
            connection = await self.pool.borrow(HOLD + ANSWER_MARGIN)
            asked = self.clock.monotonic()
            answered = False
            try:
                state = await connection.state(ANSWER_MARGIN)
                answered = True
            finally:
                if answered:
                    self.pool.give_back(connection)
                else:
                    self.pool.give_up(connection)
            self.heard(state, asked)
            await asyncio.sleep(HOLD)

    async def recover(self) -> None:
        """Return once the target answers on a new connection."""
        if await self.health.answers():
            self.dropped()
            return
        longest = PAUSE_FIRST
        while not await self.health.answers():
            await asyncio.sleep(longest * self.random.uniform(0.5, 1.0))
            longest = min(longest * 2.0, PAUSE_MOST)

    def heard(self, state: MemberState, asked: float) -> None:
        """Take note of an answer."""
        self.health.heard()
        self.learn(state, asked)
        self.tick()

    async def keep_pace(self, asked: float) -> None:
        """Wait until the next question is due."""
        pause = asked + PACE - self.clock.monotonic()
        if pause > 0.0:
            await asyncio.sleep(pause)


def hold_for(state: MemberState) -> float:
    """Return for how long a target with this state may hold the question."""
    return REPLICA_HOLD if state.role is Role.REPLICA else HOLD
