"""A rolling restart after a hiccup of the primary and one lost answer of the store."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import Caller, Ended, main  # noqa: E402

DARK_S = 1.2
LATE_S = 3.0
STOP_AFTER_S = 0.15
SESSIONS = 6
FIRST_COMMIT_S = 0.30
SPACING_S = 0.025


async def load(world, host, database, running):
    """Write and read, one session after another, until told to stop."""
    while running.is_set():
        caller = Caller(world, host, database)
        try:
            await caller.open()
            for _ in range(4):
                await caller.ask(f"WRITE {caller.name} d")
                await caller.ask(f"READ {caller.name}")
                await asyncio.sleep(0.1)
        except Ended:
            pass
        finally:
            caller.close()
        await asyncio.sleep(0.05)


async def transaction(world, host, index, stopped):
    """Write in a transaction that is open as the holder is told to stop; commit it."""
    caller = Caller(world, host)
    try:
        await caller.open()
        await caller.ask("BEGIN")
        written = await caller.ask(f"WRITE tx{index} {caller.name}")
        await stopped.wait()
        await asyncio.sleep(FIRST_COMMIT_S + index * SPACING_S)
        return written, await caller.ask("COMMIT")
    except Ended:
        return None
    finally:
        caller.close()


async def play(world, trouble):
    record, group = world.record, world.group
    await asyncio.sleep(3.0)
    holder, primary = world.holder(), group.leader
    record.line(f"holder {holder.name}, primary {primary.name}, trouble {trouble}")
    running = asyncio.Event()
    running.set()
    loads = [
        asyncio.ensure_future(load(world, host, "tickets", running)) for host in world.hosts
    ]
    await asyncio.sleep(2.0)
    if trouble:
        world.store.lose_next = LATE_S
        record.line(f"trouble: {primary.name} is dark for {DARK_S} s")
        primary.go_dark()
        await asyncio.sleep(DARK_S)
        primary.come_back()
        record.line(f"trouble: {primary.name} is back")
        try:
            async with asyncio.timeout(8.0):
                await world.store.lost_done.wait()
        except TimeoutError:
            record.line("the late write was not done")
            return 2
    else:
        await asyncio.sleep(DARK_S + LATE_S)
    if world.holder() is not holder or group.leader is not primary:
        record.line("another holder or primary")
        return 2
    others = [host for host in world.hosts if host is not holder]
    stopped = asyncio.Event()
    works = [
        asyncio.ensure_future(transaction(world, others[index % len(others)], index, stopped))
        for index in range(SESSIONS)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    record.line(f"planned: SIGTERM to {holder.name}, as in a rolling restart")
    stopping = asyncio.ensure_future(holder.stop(signal.SIGTERM))
    stopped.set()
    results = await asyncio.gather(*works)
    await stopping
    await asyncio.sleep(1.0)
    running.clear()
    await asyncio.gather(*loads)
    acknowledged = [
        (text, one)
        for text, one in world.answers
        if one.id in group.superseded and not one.error and one.mac not in ("", "-")
    ]
    for text, one in acknowledged:
        commit = group.superseded[one.id]
        kept = commit in group.leader.log
        record.line(
            f"ONE is broken: {one.id} ({text}) was committed at {primary.name} as "
            f"{commit.term}.{commit.number} after the promote, and acknowledged at "
            f"{one.got:.3f}; in the new primary's log: {kept}"
        )
    done = sum(1 for one in results if one is not None and not one[1].error)
    record.line(f"{done} of {SESSIONS} transactions were acknowledged")
    return 1 if acknowledged else 0


if __name__ == "__main__":
    main(play, HERE)
