"""Changes of primary by a holder that does not reach the store.

Guards against a service without a primary until its holder reaches the store again.
"""

import asyncio
from typing import Final

from .fakes_clock import run_virtual
from .late_write_world import LateWriteWorld, names_successor
from .restored_world import RestoredWorld

SERVICE_SECONDS: Final = 15.0
"""Longest acceptable time without a primary: a lease, a margin and a promotion."""

NEVER_SECONDS: Final = 1e6


def test_holder_cut_off_from_the_store_with_a_pending_successor() -> None:
    """Guards against no primary for as long as the holder lacks the store."""
    run_virtual(lose_store_with_pending_successor())


async def lose_store_with_pending_successor() -> None:
    world = LateWriteWorld()
    await world.start()
    holder, former = world.leader(), world.group.primary
    world.make_late(names_successor, NEVER_SECONDS)
    former.down = True
    assert await world.until(lambda: world.late_count == 1, 8.0)
    world.store.silent.add(holder.me.host)
    replaced = await world.until(
        lambda: world.group.primary is not former, SERVICE_SECONDS
    )
    await world.end()
    assert replaced


def test_holder_cut_off_from_the_store_with_a_recorded_successor() -> None:
    """Guards against a promotion that waits for the one host that lacks the store."""
    run_virtual(lose_store_with_recorded_successor())


async def lose_store_with_recorded_successor() -> None:
    world = RestoredWorld()
    await world.start()
    holder, former = world.leader(), world.group.primary
    loop = asyncio.get_running_loop()

    def lose_store() -> None:
        # The answer of the write arrives first.
        loop.call_soon(world.store.silent.add, holder.me.host)

    world.on_step("after successor", lose_store)
    former.down = True
    await asyncio.sleep(SERVICE_SECONDS)
    replaced = world.group.primary is not former
    await world.end()
    assert replaced
