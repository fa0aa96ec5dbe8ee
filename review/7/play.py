"""A primary goes dark; the holder that replaces it is killed; the new primary crashes."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from hosts import Caller, Ended  # noqa: E402
from world import SERVICE, main  # noqa: E402

DARK_S = 2.0
KILL_AFTER_ORDER_S = 0.1
RESTART_S = 1.0
CRASH_AFTER_LEAD_S = 0.3


async def write(world, index, acknowledged, calling):
    number = 0
    while calling.is_set():
        caller = Caller(world.record, "gates", f"w{index}")
        try:
            running = [h for h in world.hosts if h.process.returncode is None]
            host = running[(index + number) % len(running)]
            await caller.open(f"{host.ip}:{host.callers}")
            while calling.is_set():
                number += 1
                answer = await caller.ask(f"WRITE t{index}-{number} data")
                if not answer.error and answer.mac == f"mac.{answer.id}":
                    acknowledged[answer.id] = answer.at
                if answer.state != "I":
                    break
                await asyncio.sleep(0.01)
        except (Ended, OSError):
            await asyncio.sleep(0.05)
        finally:
            caller.close()


async def start_again(host):
    """Start a killed process again after a short delay, as the platform does."""
    await asyncio.sleep(RESTART_S)
    await host.start()


async def play(world, trouble):
    group = world.group
    old_commits = {}

    def on_commit(member, entry):
        if member is not group.primary:
            old_commits[entry[2][0]] = (member.name, world.record.now())

    group.on_commit = on_commit
    first = group.primary
    acknowledged, calling = {}, asyncio.Event()
    calling.set()
    tasks = [
        asyncio.ensure_future(write(world, index, acknowledged, calling))
        for index in range(8)
    ]
    await asyncio.sleep(4.0)
    holder = world.store.value(f"reedhook/lead/{SERVICE}")["holder"]["ref"][0]
    holder = next(host for host in world.hosts if host.name == holder)
    if trouble:
        first.dark = True
        world.record("dark", member=first.name, position=first.position())
        dark_at = world.record.now()
        while not group.promoting:
            await asyncio.sleep(0.005)
            if world.record.now() - dark_at > 10:
                return 2
        await asyncio.sleep(KILL_AFTER_ORDER_S)
        world.record("killed", host=holder.name)
        await holder.kill()
        restart = asyncio.ensure_future(start_again(holder))
        while group.primary is first:
            await asyncio.sleep(0.005)
        await asyncio.sleep(CRASH_AFTER_LEAD_S)
        group.primary.crash()
        await asyncio.sleep(max(dark_at + DARK_S - world.record.now(), 0.0))
        first.dark = False
        await restart
        world.record("bright", member=first.name, role=first.role, position=first.position())
    await asyncio.sleep(5.0)
    calling.clear()
    await asyncio.gather(*tasks)
    broken = [id for id in old_commits if id in acknowledged]
    world.record("judged", promotions=[one[0] for one in group.promotions],
                 acknowledged=len(acknowledged), old=len(old_commits), broken=broken)
    print(f"{len(acknowledged)} writes acknowledged, promoted: "
          f"{[one[0] for one in group.promotions]}; {len(broken)} were committed at the "
          f"old primary after the promote and acknowledged")
    if not acknowledged:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    main(play, HERE)
