"""Lease records that the store writes late, around a change of the holder.

Guards against commits that are acknowledged at a superseded primary, and against reads
at its successor that lack them.
"""

import asyncio

import pytest

from .fakes_clock import run_virtual
from .late_write_world import COMMIT_SPACING_SECONDS, LateWriteWorld, names_successor

TRANSACTIONS = 6


@pytest.mark.parametrize("late_writes", [1, 20])
def test_late_successor_is_promoted_by_the_next_holder(late_writes: int) -> None:
    """Guards against commits at the old primary after its holder gave a change up."""
    run_virtual(restart_after_late_successor(late_writes))


async def restart_after_late_successor(late_writes: int) -> None:
    world = LateWriteWorld()
    await world.start()
    holder, former = world.leader(), world.group.primary
    others = [name for name in world.hosts if name != holder.me.host]
    for name in others:
        world.spawn(world.keep_calling(name, "tickets"))
        world.spawn(world.keep_calling(name, "reports"))
    world.make_late(names_successor, 3.0, late_writes)
    former.down = True
    await asyncio.sleep(1.2)
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
    await asyncio.sleep(15.0)
    assert world.late_count
    assert world.group.primary is not former
    await world.end()
