"""A host is told to stop while sessions on it send one statement after another."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from world import GRACE_S, Caller, Ended, main  # noqa: E402

SESSIONS = 8
WORK_S = 0.009
PAUSE_S = 0.005
LOSS_SLACK_S = 0.2
TIMEOUT_S = 0.8


class Cut:
    """A request without a complete answer."""

    def __init__(self, id, text, sent, ended):
        self.id, self.text, self.sent, self.ended = id, text, sent, ended


async def work(world, host, database, running, told, cuts):
    """Send statement after statement; open another session after a close.

    No session is opened at the host after SIGTERM: the platform may still send it some
    for 2 s, which the case leaves out.
    """
    record = world.record
    while running.is_set() and not told.is_set():
        caller = Caller(world, host, database)
        try:
            await caller.open()
        except Ended:
            await asyncio.sleep(0.1)
            continue
        number = 0
        while running.is_set():
            number += 1
            text = f"WRITE {caller.name} d{number}" if number % 5 == 0 else f"READ {caller.name}"
            sent = record.now()
            try:
                await caller.ask(text)
            except Ended:
                cuts.append(Cut(caller.last_id, text, sent, record.now()))
                break
            await asyncio.sleep(PAUSE_S)
        caller.close()


async def play(world, trouble):
    record, group = world.record, world.group
    group.work_s = WORK_S
    await asyncio.sleep(3.0)
    holder = world.holder()
    host = next(one for one in world.hosts if one is not holder)
    running = asyncio.Event()
    running.set()
    told = asyncio.Event()
    cuts = []
    databases = ("tickets", "reports", "views", "reports")
    works = [
        asyncio.ensure_future(work(world, host, databases[index % 4], running, told, cuts))
        for index in range(SESSIONS)
    ]
    await asyncio.sleep(5.0)
    cuts.clear()
    at = record.now()
    if trouble:
        told.set()
        record.line(f"planned: SIGTERM to {host.name}")
        await host.stop(signal.SIGTERM, GRACE_S)
        record.line(f"{host.name} has ended, {record.now() - at:.2f} s after SIGTERM")
    else:
        await asyncio.sleep(GRACE_S)
    running.clear()
    await asyncio.gather(*works)
    broken = 0
    for cut in cuts:
        if cut.sent < at:
            continue
        seconds = cut.ended - cut.sent
        passed_on = cut.id in group.passed_on
        if seconds >= TIMEOUT_S or not (passed_on or seconds > LOSS_SLACK_S):
            record.line(f"{cut.id} ({cut.text}): cut, not counted; passed on: {passed_on}")
            continue
        broken += 1
        record.line(
            f"LOST is broken: {cut.id} ({cut.text}), sent {cut.sent - at:.3f} s after "
            f"SIGTERM, was cut {seconds:.3f} s later; passed on to a member: {passed_on}"
        )
    record.line(f"{len(cuts)} requests were cut, {broken} of them count")
    return 1 if broken else 0


if __name__ == "__main__":
    main(play, HERE)
