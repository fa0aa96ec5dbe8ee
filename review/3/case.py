"""A release of the primary and a rolling restart, soon after a machine was removed."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import GRACE_S, LEASE_KEY, Caller, Ended, main  # noqa: E402

DRAIN_S = 7.0
RESTART_AFTER_S = 7.6
"""Seconds from the report `draining` until the holder's host is told to restart."""

RELEASE_AFTER_S = 0.5
OBSERVED_S = 3.0


async def load(world, host, running):
    """Write and read, with a pause after each operation."""
    while running.is_set():
        caller = Caller(world, host)
        try:
            await caller.open()
            while running.is_set():
                await caller.ask(f"READ {caller.name}")
                await caller.ask(f"WRITE {caller.name} d")
                await asyncio.sleep(0.04)
        except Ended:
            await asyncio.sleep(0.1)
        finally:
            caller.close()


def backup(world):
    """Return the host that the record names beside the holder."""
    value = world.store.value(LEASE_KEY)
    name = value["deputy"]["ref"][0] if value and value["deputy"] else ""
    return next((host for host in world.hosts if host.name == name), None)


async def until(condition, seconds):
    """Wait for a condition; return whether it holds."""
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.05)
    except TimeoutError:
        return False
    return True


async def play(world, trouble):
    record, group = world.record, world.group
    await asyncio.sleep(4.0)
    holder, removed, primary = world.holder(), backup(world), group.leader
    if removed is None:
        record.line("no second host is named")
        return 2
    record.line(f"holder {holder.name}, beside it {removed.name}, primary {primary.name}")
    running = asyncio.Event()
    running.set()
    serving = [host for host in world.hosts if host not in (holder, removed)]
    loads = [asyncio.ensure_future(load(world, host, running)) for host in serving]
    await asyncio.sleep(2.0)
    if trouble:
        record.line(f"{removed.name} is removed for good: SIGTERM")
        await removed.stop(signal.SIGTERM, GRACE_S)
        record.line(f"{removed.name} has ended")
        if not await until(lambda: backup(world) not in (removed, None), 8.0):
            record.line("no other host was named")
            return 2
    await asyncio.sleep(RELEASE_AFTER_S)
    await group.add_replacement(primary)
    record.line(f"planned: release of the primary {primary.name}, which reports draining")
    acknowledged = group.drain(primary)
    await asyncio.sleep(RESTART_AFTER_S)
    record.line(f"planned: SIGTERM to {holder.name}, as in a rolling restart")
    stopping = asyncio.ensure_future(holder.stop(signal.SIGTERM))
    await asyncio.sleep(OBSERVED_S)
    running.clear()
    await asyncio.gather(*loads)
    await stopping
    late = [
        (at, id, text)
        for at, id, text in group.arrivals.get(primary.name, [])
        if at > acknowledged + DRAIN_S
    ]
    for at, id, text in late[:20]:
        record.line(
            f"DRAIN is broken: {id} ({text}) reached {primary.name} "
            f"{at - acknowledged:.3f} s after the store accepted draining"
        )
    record.line(f"{len(late)} requests reached the draining member too late")
    return 1 if late else 0


if __name__ == "__main__":
    main(play, HERE)
