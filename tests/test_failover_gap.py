"""The duration without accepted writes after a primary stops answering."""

import asyncio

import pytest

from .fakes_clock import run_virtual
from .session_world import SessionWorld
from .test_session_world import first_success, traffic

MEAN = 1.08
"""Seconds on average: 0.25 to detect a quiet primary, 0.1 for a probe, 0.4 for new
connections, 0.3 for the promotion, 0.03 for calls."""

LONGEST = 1.13
"""Seconds, of which the promotion takes 0.3."""


@pytest.mark.parametrize("seed", range(4))
def test_failover_time_after_primary_stops(seed: int) -> None:
    assert run_virtual(seconds_without_writes(seed)) <= LONGEST


def test_mean_failover_time_after_primary_stops() -> None:
    gaps = [run_virtual(seconds_without_writes(seed)) for seed in range(12)]
    assert sum(gaps) / len(gaps) <= MEAN


async def seconds_without_writes(seed: int) -> float:
    """Return the seconds from the failure of the primary to the next accepted write."""
    world = SessionWorld(seed)
    await world.start()
    running = asyncio.create_task(traffic(world, 4.0, seed))
    await asyncio.sleep(1.0 + seed * 0.037)
    world.group.primary.down = True
    caller = await world.caller("h00", "tickets")
    gap = await first_success(caller, 10.0)
    await running
    world.check()
    await world.stop()
    return gap
