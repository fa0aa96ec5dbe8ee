"""A primary crashes while one replica receives nothing and the other one drains."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from hosts import Caller, Ended  # noqa: E402
from world import main  # noqa: E402

DEAF_S = 6.0
"""The pages' days have up to 7 s."""


async def write(world, index, acknowledged, calling):
    """Write until told to stop; note what is acknowledged."""
    number = 0
    while calling.is_set():
        caller = Caller(world.record, "gates", f"w{index}")
        try:
            await caller.open(world.address(index % len(world.hosts)))
            while calling.is_set():
                number += 1
                answer = await caller.ask(f"WRITE t{index}-{number} data")
                if not answer.error and answer.mac == f"mac.{answer.id}":
                    acknowledged.append((answer.id, answer.at))
                if answer.state != "I":
                    break
                await asyncio.sleep(0.05)
        except (Ended, OSError):
            await asyncio.sleep(0.1)
        finally:
            caller.close()


async def play(world, trouble):
    group = world.group
    primary, draining, deaf = group.members.values()
    acknowledged, calling = [], asyncio.Event()
    calling.set()
    tasks = [
        asyncio.ensure_future(write(world, index, acknowledged, calling))
        for index in range(3)
    ]
    await asyncio.sleep(1.5)
    # Planned work: one replica is to be replaced, and reports that it drains.
    draining.state = "draining"
    world.record("draining", member=draining.name)
    await asyncio.sleep(1.0)
    if trouble:
        deaf.deaf = True
        world.record("deaf", member=deaf.name, position=deaf.position())
    await asyncio.sleep(1.5)
    if trouble:
        primary.crash()
    await asyncio.sleep(DEAF_S - 1.5)
    if trouble:
        deaf.deaf = False
    await asyncio.sleep(1.0)
    if trouble:
        await primary.come_back()
    await asyncio.sleep(1.0)
    calling.clear()
    await asyncio.gather(*tasks)
    broken = 0
    kept_at = {}
    for name, log in group.promotions:
        held = {id for entry in log for id in entry[2]}
        promoted_at = world.promoted_at[name]
        lost = [id for id, at in acknowledged if at < promoted_at and id not in held]
        world.record("judged", promoted=name, acknowledged=len(acknowledged), lost=lost)
        broken += len(lost)
    print(f"{len(acknowledged)} writes acknowledged, {len(group.promotions)} promotions, "
          f"{broken} acknowledged commits not in the log of the promoted member")
    if not acknowledged:
        return 2
    return 1 if broken else 0


async def watched(world, trouble):
    """Note when each promotion takes effect."""
    world.promoted_at = {}
    note = world.group.note

    def noting(what, **fields):
        if what == "promoted":
            world.promoted_at[fields["member"]] = world.record.now()
        note(what, **fields)

    world.group.note = noting
    return await play(world, trouble)


if __name__ == "__main__":
    main(watched, HERE, sync=1)
