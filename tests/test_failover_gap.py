"""For how long no write is accepted once a primary answers nobody any more."""

import asyncio

import pytest

from .fakes_clock import run_virtual
from .session_world import SessionWorld
from .test_session_world import first_success, traffic

LONGEST = 1.13
"""Seconds; of these 0.3 are the promotion itself. It was 1.14 to 1.24 while others
were asked only after the primary had been waited for."""


@pytest.mark.parametrize("seed", range(4))
def test_a_dark_primary_is_replaced_soon(seed: int) -> None:
    async def play() -> None:
        world = SessionWorld(seed)
        await world.start()
        running = asyncio.create_task(traffic(world, 4.0, seed))
        await asyncio.sleep(1.0 + seed * 0.037)
        world.group.primary.down = True
        caller = await world.caller("h00", "tickets")
        assert await first_success(caller, 10.0) <= LONGEST
        await running
        world.check()
        await world.stop()

    run_virtual(play())
