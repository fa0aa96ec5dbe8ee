"""All processes are killed; one host comes back, the lease holder's machine does not."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from hosts import Caller, Ended  # noqa: E402
from world import ROUTES, SERVICE, main  # noqa: E402

RECOVERY_S = 12.0
"""`recovery_s` of the sites."""

DOWN_S = 1.0
MEASURED_S = 40.0


async def call(world, index, database, answers, calling):
    """One operation each 0.2 s at any host that accepts a session."""
    number = 0
    while calling.is_set():
        number += 1
        sent_at = world.record.now()
        served = False
        running = [h for h in world.hosts if h.process.returncode is None]
        if running:
            host = running[(index + number) % len(running)]
            caller = Caller(world.record, database, f"c{index}")
            try:
                await caller.open(f"{host.ip}:{host.callers}")
                text = "WRITE item data" if database == "gates" else "READ item"
                answer = await caller.ask(text)
                served = not answer.error and answer.mac == f"mac.{answer.id}"
            except (Ended, OSError):
                pass
            finally:
                caller.close()
        answers.append((sent_at, database, served))
        await asyncio.sleep(0.2)


async def readiness(host):
    """Return the first line of the answer to the platform's readiness probe."""
    try:
        reader, writer = await asyncio.open_connection(host.ip, host.ready)
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: host\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, TimeoutError) as error:
        return repr(error)
    return line.decode("latin-1").strip()


def share(answers, begin, end):
    """Return how many requests were sent in a time, and the share that was served."""
    served = [one[2] for one in answers if begin <= one[0] < end]
    return len(served), sum(served) / max(len(served), 1)


async def play(world, trouble):
    await asyncio.sleep(4.0)
    answers, calling = [], asyncio.Event()
    calling.set()
    tasks = [
        asyncio.ensure_future(call(world, index, database, answers, calling))
        for index, database in enumerate([*ROUTES, *ROUTES])
    ]
    begin = world.record.now()
    await asyncio.sleep(5.0)
    fault_at = world.record.now()
    holder = world.store.value(f"reedhook/lead/{SERVICE}")["holder"]["ref"][0]
    world.record("fault", holder=holder, trouble=trouble)
    if trouble:
        await asyncio.gather(*(host.kill() for host in world.hosts))
        await asyncio.sleep(DOWN_S)
        for host in world.hosts:
            if host.name != holder:
                await host.start()
                world.record("back", host=host.name)
    back_at = world.record.now()
    await asyncio.sleep(RECOVERY_S + MEASURED_S)
    for host in world.hosts:
        if host.process.returncode is None:
            world.record("readiness", host=host.name, answer=await readiness(host))
    calling.clear()
    await asyncio.gather(*tasks)
    before = share(answers, begin, fault_at)
    after = share(answers, back_at + RECOVERY_S, float("inf"))
    held = world.store.value(f"reedhook/lead/{SERVICE}")["holder"]["ref"][0]
    world.record("judged", before=before, after=after, holder_in_the_store=held)
    print(
        f"served before the fault: {before[1]:.2f} of {before[0]}; later than "
        f"{RECOVERY_S:.0f} s after the machine is back: {after[1]:.2f} of {after[0]}"
    )
    if before[1] < 0.25 or not after[0]:
        return 2
    return 1 if after[1] < 0.25 else 0


if __name__ == "__main__":
    main(play, HERE, hosts=2)
