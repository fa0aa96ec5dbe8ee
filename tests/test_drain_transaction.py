"""Drain of a host with an open transaction of a caller."""

import asyncio

from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict
from reedhook_standins.workload import DanubeDay

from .support import using
from .test_world import DESK, Scene, scene_of


@using(lambda: scene_of(hosts=6))
async def test_open_transaction_commits_durably_on_draining_host(scene: Scene) -> None:
    world, desk = scene.world, scene.desk
    primary = scene.group.primary.name
    home = world.home_of(primary)
    (draining,) = (host for host in world.hosts() if host.me.host == home)
    others = [
        settings.listen for settings in world.settings.values() if settings.host != home
    ]
    desk.host = world.random.choice(others)
    begin = {"group": scene.group.name, "request_id": desk.new_request_id()}
    begun = (await desk.call("/v1/transactions", begin)).body
    path = f"/v1/transactions/{begun['transaction']}"
    stop = asyncio.create_task(world.stop_host(home))
    while draining.homes.get(primary) is not None or not world.at_home(primary):
        await asyncio.sleep(0.02)
    for serial in (1, 2):
        values = [f"t{serial}", DESK, serial, "tug-1", f"convoy-{serial}"]
        step = {"sql": DanubeDay.assignments.insert, "params": values}
        reply = await desk.call(f"{path}/statements", step)
        assert reply.verdict is Verdict.DONE, reply.body
        await asyncio.sleep(0.7)
    assert not stop.done()
    reply = await desk.call(f"{path}/commit", {})
    assert reply.verdict is Verdict.DONE, reply.body
    assert reply.body["home"] == home
    await stop
    assert await scene.look(Consistency.FRESH, through=desk.host) == 2
