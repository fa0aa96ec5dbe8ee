"""Homes on fake targets, for the tests of homes."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from reedhook.connection.target_home import TargetHome
from reedhook.metrics import MemoryMetrics
from reedhook.process.events.timeline import EventKind, Timeline
from reedhook.request.refusal import RefusalError
from reedhook.request.statement import Statement, StatementKind
from reedhook.version.catalog import Group, Limits, Member

from .fakes_clock import LoopClock
from .fakes_target import FakeTarget

T = TypeVar("T")

POLL = 0.1
"""Seconds; longer than a poll of the state, shorter than the time between two."""


def statement(
    kind: StatementKind, sql: str = "select 1", remaining: float = 2.0, **others: Any
) -> Statement:
    """Return a statement of the caller ``gate`` unless overridden."""
    caller = others.pop("caller", "gate")
    return Statement(kind, "g1", caller, sql, [], remaining, **others)


def home_of(target: FakeTarget, share: int = 9, **limits: int) -> TargetHome:
    """Return a home of `target`; requires a running loop."""
    clock = LoopClock()
    member = Member(target.member, "vittoria", "127.0.0.1:1")
    group = Group("g1", "feedlog-db", (member,), target.slots, target.limit)
    return TargetHome(
        group,
        member,
        target,
        share,
        Limits(**limits),
        clock,
        random.Random(1),
        Timeline("host-1", clock),
        MemoryMetrics(),
    )


@asynccontextmanager
async def home_at(
    target: FakeTarget, share: int = 9, **limits: int
) -> AsyncIterator[TargetHome]:
    """Run a home of `target`."""
    home = home_of(target, share, **limits)
    await home.start()
    try:
        yield home
    finally:
        await home.close(grace=0.5)


async def all_given_back(home: TargetHome) -> None:
    """Wait until no connection is in use; a small share lends one to the poll."""
    async with asyncio.timeout(POLL):
        while home.pool.lent:
            await asyncio.sleep(0.001)


async def refusal_of(awaitable: Awaitable[Any]) -> RefusalError:
    """Return the refusal that `awaitable` raises."""
    try:
        result = await awaitable
    except RefusalError as refusal:
        return refusal
    raise AssertionError(f"answered instead of refused: {result}")


async def outcome_of(awaitable: Awaitable[T]) -> T | RefusalError:
    """Return the result of `awaitable` or its refusal."""
    try:
        return await awaitable
    except RefusalError as refusal:
        return refusal


async def timed(awaitable: Awaitable[T]) -> tuple[T, float]:
    """Return the result and the duration in seconds of virtual time."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    result = await awaitable
    return result, loop.time() - started


def kinds(home: TargetHome) -> list[EventKind]:
    """Return the kinds of the recorded events."""
    return [event.kind for event in home.timeline.events]
