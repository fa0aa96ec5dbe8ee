"""Lease records that the store writes late, around a change of the holder.

Guards against commits that are acknowledged at a superseded primary, and against reads
at its successor that lack them.
"""

import asyncio

import pytest

from reedhook.connection.session_target import StatementFault

from .fakes_clock import run_virtual
from .late_write_world import COMMIT_SPACING_SECONDS, LateWriteWorld, names_successor

TRANSACTIONS = 12
LATE_SECONDS = 3.0
OUTAGE_SECONDS = 1.2
RECOVERY_SECONDS = 1.0
"""Time until an undecided holder uses a primary again that is back."""

SETTLED_SECONDS = {"drained": 6.0, "killed": 6.0, "paused": 14.0}
"""For a paused holder longer than its lease, so that the next one has promoted."""

ALL_ATTEMPTS = 20
"""Late writes in a row, so that each repetition of the write is late as well."""


@pytest.mark.parametrize("late_writes", [1, ALL_ATTEMPTS])
def test_late_successor_is_promoted_by_the_next_holder(late_writes: int) -> None:
    """Guards against commits at the old primary after its holder gave a change up."""
    run_virtual(restart_after_late_successor(late_writes))


async def restart_after_late_successor(late_writes: int) -> None:
    world = LateWriteWorld()
    await world.start()
    holder, former = world.leader(), world.group.primary
    others = [name for name in world.hosts if name != holder.me.host]
    world.spawn(world.keep_calling(others[0], "tickets"))
    world.spawn(world.keep_calling(others[-1], "reports"))
    world.make_late(names_successor, LATE_SECONDS, late_writes)
    former.down = True
    await asyncio.sleep(OUTAGE_SECONDS)
    former.down = False
    assert await world.until(lambda: bool(world.record()["successor"]), 8.0)
    ending = asyncio.Event()
    for index in range(TRANSACTIONS):
        name = others[index % len(others)]
        after = 0.3 + index * COMMIT_SPACING_SECONDS
        world.spawn(world.commit_at(name, ending.is_set, after))
    await asyncio.sleep(0.15)
    world.spawn(holder.drain())
    ending.set()
    await asyncio.sleep(5.0)
    assert world.late_count
    assert world.group.primary is not former
    await world.end()


@pytest.mark.parametrize("how", ["drained", "killed", "paused"])
@pytest.mark.parametrize("after_seconds", [-0.05, 0.02, 0.3])
def test_holder_ends_around_a_late_write_of_its_successor(
    how: str, after_seconds: float
) -> None:
    """Guards against use of two primaries, whichever of the two events is first."""
    run_virtual(end_around_late_successor(how, after_seconds))


async def end_around_late_successor(how: str, after_seconds: float) -> None:
    """End the holder `after_seconds` after the first late write takes effect."""
    world = LateWriteWorld()
    await world.start()
    holder, former = world.leader(), world.group.primary
    others = [name for name in world.hosts if name != holder.me.host]
    world.spawn(world.keep_calling(others[0], "tickets"))
    world.spawn(world.keep_calling(others[-1], "reports"))
    world.make_late(names_successor, LATE_SECONDS, ALL_ATTEMPTS)
    former.down = True
    assert await world.until(lambda: bool(world.late_count), 5.0)
    former.down = False
    await asyncio.sleep(RECOVERY_SECONDS)
    ending = asyncio.Event()
    for index in range(TRANSACTIONS):
        after = 0.2 + index * COMMIT_SPACING_SECONDS
        name = others[index % len(others)]
        world.spawn(world.commit_at(name, ending.is_set, after))
    await asyncio.sleep(LATE_SECONDS - RECOVERY_SECONDS + after_seconds)
    world.end_host(holder, how)
    ending.set()
    await asyncio.sleep(SETTLED_SECONDS[how])
    caller = await world.caller(others[0], "tickets")
    reply = await caller.write()
    assert reply.refusal is None and reply.fault is StatementFault.NONE
    await world.end()


def test_old_primary_is_not_used_while_its_successor_is_pending() -> None:
    """Guards against statements at a primary whose successor may be recorded."""
    run_virtual(call_while_successor_is_pending())


async def call_while_successor_is_pending() -> None:
    world = LateWriteWorld()
    await world.start()
    holder, former = world.leader(), world.group.primary
    world.make_late(names_successor, LATE_SECONDS, ALL_ATTEMPTS)
    former.down = True
    assert await world.until(lambda: bool(world.late_count), 5.0)
    former.down = False
    ran = len(former.runs)
    caller = await world.caller(holder.me.host, "tickets")
    while not world.record()["successor"]:
        reply = await caller.write()
        assert reply.refusal is not None
    assert len(former.runs) == ran
    await asyncio.sleep(5.0)
    assert world.group.primary is not former
    assert (await caller.write()).refusal is None
    await world.end()
