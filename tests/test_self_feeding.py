"""No failure feeds itself: once its trigger has ended, service is back.

The pattern: many hosts before targets with few slots, over links of bounded rate;
callers come back when they are refused, up to three times. A trigger makes far more
work than there is room for, or cuts hosts off, or ends them. Whatever hosts then do
to find each other, the store and the targets anew, and whatever callers repeat, must
not keep the trouble up.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from reedhook.connection.session_target import StatementFault
from reedhook.peer import HostRef
from reedhook.request.refusal import RefusalError

from .fakes_clock import run_virtual
from .fakes_members import Slots
from .session_world import SessionWorld
from .thin_links import ThinNetwork

RATE = 1_250_000.0
"""Bytes a second of a host's link each way, the least of the sizes to serve."""

SLOTS = 2
WORK = 0.01
"""Statements at a time at a target, and seconds of one: 200 a second."""

CALLERS = 60
PAUSE = 0.4
"""Callers, and seconds between two of their statements in the mean: 150 a second,
half of them for the primary, of the 200 that it can run."""

TRIES = 3
PATIENCE = 1.0
RETRY_MS = 50
"""Seconds that a caller waits for an answer, and when it comes back untold."""

TRIGGER = 4.0
BACK_WITHIN = 5.0
MEASURED = 4.0
"""Seconds: how long a trigger lasts, until service is to be back, and over which it
is then measured."""

SERVED = 0.95
"""Share of statements that are served in up to three tries."""


class Crowd:
    """Callers at all hosts, and how their statements ended.

    :ivar ended: when each statement was first sent, and whether it was served.
    """

    def __init__(self, world: SessionWorld, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.ended: list[tuple[float, bool]] = []
        self.tasks: list[asyncio.Task[None]] = []

    def join(self, count: int, until: float) -> None:
        """Let so many more callers work until a moment."""
        for number in range(count):
            kind = ("tickets", "views", "reports", "views")[number % 4]
            self.tasks.append(asyncio.create_task(self.work(kind, until)))

    async def work(self, database: str, until: float) -> None:
        """Send one statement after the other."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(1.0 / PAUSE))
            asked = loop.time()
            served = False
            for _ in range(TRIES):
                served = await self.tried(database)
                if served:
                    break
            self.ended.append((asked, served))

    async def tried(self, database: str) -> bool:
        """Send a statement in a session of its own; return whether it was served.

        Who is refused comes back when told to.
        """
        retry_ms = None
        try:
            async with asyncio.timeout(PATIENCE):
                names = sorted(self.world.hosts)
                caller = await self.world.caller(self.random.choice(names), database)
                writes = database == "tickets"
                reply = await (caller.write() if writes else caller.read())
                if reply.refusal is None and reply.fault is StatementFault.NONE:
                    return True
                if reply.refusal is not None:
                    retry_ms = reply.refusal.retry_after_ms
        except (RefusalError, TimeoutError, IndexError):
            # No host runs, or it has no configuration yet, or it was ended.
            pass
        await asyncio.sleep((retry_ms or RETRY_MS) / 1000.0)
        return False

    def served(self, since: float, until: float) -> float:
        """Return the share of statements first sent in a time that were served."""
        ended = [served for asked, served in self.ended if since <= asked < until]
        assert ended
        return sum(ended) / len(ended)


async def burst(crowd: Crowd) -> None:
    """Four times the callers come, 600 statements a second."""
    crowd.join(3 * CALLERS, asyncio.get_running_loop().time() + TRIGGER)
    await asyncio.sleep(TRIGGER)


async def healed_cut(crowd: Crowd) -> None:
    """A zone is cut off from the others, the store and their targets."""
    crowd.world.cut_zone("z1")
    await asyncio.sleep(TRIGGER)
    crowd.world.heal()


async def power_lost(crowd: Crowd) -> None:
    """All hosts end at once, and start again within 0.3 s."""
    for name in list(crowd.world.hosts):
        await crowd.world.kill(name)
    await asyncio.sleep(1.0)
    await started(crowd, crowd.world.refs)


async def half_killed(crowd: Crowd) -> None:
    """Half of the hosts end at once, and start again within 0.3 s."""
    refs = crowd.world.refs[::2]
    for ref in refs:
        await crowd.world.kill(ref.host)
    await asyncio.sleep(0.3)
    await started(crowd, refs)


async def store_away(crowd: Crowd) -> None:
    """The store answers nobody."""
    crowd.world.store.silent |= {ref.host for ref in crowd.world.refs}
    await asyncio.sleep(TRIGGER)
    crowd.world.store.silent.clear()


async def dark_primary(crowd: Crowd) -> None:
    """The primary answers nobody any more."""
    crowd.world.group.primary.down = True
    await asyncio.sleep(TRIGGER)


async def started(crowd: Crowd, refs: list[HostRef]) -> None:
    """Start hosts within 0.3 s."""

    async def start(ref: HostRef) -> None:
        await asyncio.sleep(crowd.random.uniform(0.0, 0.3))
        await crowd.world.start_host(ref)

    await asyncio.gather(*map(start, refs))


TRIGGERS = [burst, healed_cut, power_lost, half_killed, store_away, dark_primary]


CASES = [(one, 4) for one in TRIGGERS]
CASES += [(burst, 20), (healed_cut, 20), (power_lost, 65)]
"""Triggers, and hosts in each of three zones."""


@pytest.mark.parametrize(("trigger", "hosts_a_zone"), CASES)
def test_service_is_back_once_the_trigger_has_ended(
    trigger: Callable[[Crowd], Awaitable[None]], hosts_a_zone: int
) -> None:
    run_virtual(played(trigger, hosts_a_zone))


async def played(
    trigger: Callable[[Crowd], Awaitable[None]], hosts_a_zone: int
) -> None:
    """Serve, have the trouble, and measure before and after."""
    loop = asyncio.get_running_loop()
    network = ThinNetwork(RATE, hosts_a_zone)
    world = SessionWorld(hosts_a_zone, 3, hosts_a_zone, network=network)
    for number, target in enumerate(world.group.members):
        world.slots[target] = Slots(SLOTS, WORK, number)
    await world.start()
    crowd = Crowd(world, hosts_a_zone)
    crowd.join(CALLERS, loop.time() + 4 * MEASURED + TRIGGER + BACK_WITHIN)
    begun = loop.time()
    await asyncio.sleep(MEASURED)
    await trigger(crowd)
    back = loop.time() + BACK_WITHIN
    await asyncio.sleep(BACK_WITHIN + MEASURED)
    before = crowd.served(begun, begun + MEASURED)
    after = crowd.served(back, back + MEASURED - 1.0)
    for task in crowd.tasks:
        task.cancel()
    assert before >= SERVED
    assert after >= SERVED
    world.check()
    await world.stop()
