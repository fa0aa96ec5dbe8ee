"""Rolling restart of all hosts under load."""

import asyncio
from collections import Counter

from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict

from .support import using
from .test_world import Scene, scene_of


async def work(scene: Scene, stop: asyncio.Event) -> None:
    """Write and read through changing hosts until `stop` is set."""
    while not stop.is_set():
        await scene.assign()
        await scene.look(Consistency.SESSION)


@using(scene_of)
async def test_rolling_restart_interrupts_no_request_and_loses_no_write(
    scene: Scene,
) -> None:
    world = scene.world
    stop = asyncio.Event()
    workload = asyncio.create_task(work(scene, stop))
    for name in list(world.settings):
        await world.stop_host(name)
        await world.start_host(name)
    stop.set()
    await workload
    assert scene.broken() == []
    verdicts = Counter(attempt.verdict for attempt in scene.history.attempts)
    assert verdicts[Verdict.MAY_HAVE_RUN] == 0
    assert verdicts[Verdict.DONE] >= len(world.settings)
