"""Measure the time until an accepted edit is in force at all hosts, on loopback.

python -m bench.propagation
"""

import asyncio
import json
import statistics
from typing import Any, Final

import uvloop

from reedhook.process.io_uring import forbid_io_uring
from reedhook.version.document import ConfigurationDocuments
from reedhook_standins.deployment import Deployment
from reedhook_standins.world import OPERATOR, World

HOSTS: Final = (3, 9, 30)
EDITS: Final = 40
PAUSE_S: Final = 0.2
STEP_S: Final = 0.001


def main() -> dict[str, Any]:
    """Return the figures for each number of hosts."""
    forbid_io_uring()
    return {str(hosts): uvloop.run(measure(hosts)) for hosts in HOSTS}


async def measure(hosts: int) -> dict[str, float]:
    """Apply edits one by one and time each until all hosts have it."""
    deployment = Deployment("danube")
    async with World(deployment, hosts=hosts) as world:
        calls = world.platform.store.calls.total()
        times = [await edit(world, number) for number in range(1, EDITS + 1)]
        spent = world.platform.store.calls.total() - calls
    times.sort()
    return {
        "edits": EDITS,
        "median_ms": round(1000 * statistics.median(times), 1),
        "p99_ms": round(1000 * times[-1 - EDITS // 100], 1),
        "store_calls_per_edit": round(spent / EDITS, 1),
    }


async def edit(world: World, number: int) -> float:
    """Apply one edit; return the seconds from its acceptance on."""
    deployment = world.deployment
    deployment.base["limits"] = {"queue": 64 + number}
    documents = ConfigurationDocuments(
        deployment.base_text(), deployment.overlay_texts()
    )
    editor = world.any_host().editor
    await editor.apply(documents, number, OPERATOR, "bench", f"bench-edit-{number}")
    started = world.clock.monotonic()
    while any(host.configuration.version <= number for host in world.hosts()):
        await asyncio.sleep(STEP_S)
    seconds = world.clock.monotonic() - started
    await asyncio.sleep(PAUSE_S)
    return seconds


if __name__ == "__main__":
    print(json.dumps(main(), indent=2))
