"""How long homes are away when a host dies, and a restart takes.

Nine hosts of the plant run in this process with the stand-ins, so the times
include what all of them compute on one core.
"""

import asyncio
import random
import statistics
import time
from typing import Final

import uvloop

from reedhook.clock import SystemClock
from reedhook.connection.pool import Pool
from reedhook.connection.target_http import HttpTargetFactory
from reedhook.wire import Json
from reedhook_standins.deployment import Deployment
from reedhook_standins.group import GroupStandin
from reedhook_standins.world import World

ROUNDS: Final = 5
SETTLE_S: Final = 4.0
SHARES: Final = (9, 4)
TIMEOUT_S: Final = 2.0
MILLISECONDS: Final = 1000.0


def measure() -> Json:
    """Return the figures of deaths, restarts and connections."""
    return {
        "deaths": uvloop.run(deaths()),
        "set_up": [uvloop.run(set_up(share)) for share in SHARES],
    }


async def deaths() -> Json:
    """Kill the host with the most homes and start it anew, several times."""
    rows: list[Json] = []
    async with World(Deployment("plant")) as world:
        for _ in range(ROUNDS):
            await asyncio.sleep(SETTLE_S)
            rows.append(await one_death(world))
    return {
        name: {"median": statistics.median(found), "most": max(found)}
        for name in rows[0]
        if (found := [row[name] for row in rows])
    }


async def one_death(world: World) -> Json:
    """Kill one host, wait for its homes, start it again."""
    victim = max(world.hosts(), key=lambda host: len(host.homes.held))
    name, homes = victim.me.host, len(victim.homes.held)
    began = time.perf_counter()
    await world.kill_host(name)
    await world.wait_until(world.all_at_home, "a target has no home")
    away = time.perf_counter() - began
    await asyncio.sleep(SETTLE_S)
    began = time.perf_counter()
    await world.start_host(name)
    serves = time.perf_counter() - began
    await world.wait_until(world.in_force, "the configuration is not in force")
    return {
        "homes": homes,
        "homes_away_ms": round(away * MILLISECONDS),
        "restart_serves_ms": round(serves * MILLISECONDS),
    }


async def set_up(share: int) -> Json:
    """Borrow as many connections at once as a new home may open."""
    clock = SystemClock()
    group = GroupStandin("group", ["target"], clock)
    await group.start()
    target = HttpTargetFactory("bench").target("target", group.primary.address)
    pool = Pool(target, share, 0, clock, random.Random(0), lambda: False)
    began = time.perf_counter()
    lent = await asyncio.gather(*(pool.borrow(TIMEOUT_S) for _ in range(share)))
    spent = time.perf_counter() - began
    for connection in lent:
        pool.give_up(connection)
    await pool.close()
    await group.close()
    return {"connections": share, "ms": round(spent * MILLISECONDS)}
