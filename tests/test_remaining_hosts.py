"""Service by the hosts that remain, whichever others are lost.

Guards against decisions that need the answer of another host where none is left.
"""

import asyncio
import itertools
from collections.abc import Iterator
from typing import Final

import pytest

from reedhook.connection.session_target import StatementFault
from reedhook.process.primary_lease.former_wait import MAX_WAIT_SECONDS
from reedhook.request.refusal import RefusalError

from .fakes_clock import in_virtual_time
from .late_write_world import LateWriteWorld

RECOVERY_SECONDS: Final = 12.0
"""Time after which requests have to be served again."""

MEASURED_SECONDS: Final = 4.0
PAUSE_SECONDS: Final = 17.0
DOWN_SECONDS: Final = 1.0
CALL_INTERVAL_SECONDS: Final = 0.2
SERVED_SHARE: Final = 0.25


class RemainingWorld(LateWriteWorld):
    """Run up to four hosts, lose some of them, and call the others."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self.refs = (self.refs[::2] + self.refs[1::2])[:count]

    def by_role(self) -> list[str]:
        """Return the hosts: the holder, the backup holder, then the others."""
        deputy = self.record()["deputy"]
        backup = "" if deputy is None else deputy["ref"][0]
        roles = [self.leader().me.host, backup]
        rest = [name for name in self.hosts if name not in roles]
        return [name for name in roles if name] + rest

    async def lose(self, name: str, how: str) -> None:
        """Lose a host: `killed`, `removed` after a planned stop, or `paused`."""
        if how == "paused":
            self.network.pause(name)
            loop = asyncio.get_running_loop()
            loop.call_later(PAUSE_SECONDS, self.network.resume, name)
            return
        if how == "removed":
            await self.hosts[name].drain()
        await self.kill(name)

    async def served(self, names: list[str]) -> dict[str, float]:
        """Call hosts for a while; return the share that was served by route."""
        until = asyncio.get_running_loop().time() + MEASURED_SECONDS
        results: dict[str, list[bool]] = {"tickets": [], "views": [], "reports": []}
        while asyncio.get_running_loop().time() < until:
            for name, route in itertools.product(names, results):
                results[route].append(await self.call_once(name, route))
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
        return {route: sum(all_) / len(all_) for route, all_ in results.items()}

    async def call_once(self, name: str, route: str) -> bool:
        """Write or read once in a session of its own; return whether it succeeded."""
        try:
            caller = await self.caller(name, route)
        except RefusalError:
            return False
        reply = await (caller.write() if route == "tickets" else caller.read())
        return reply.refusal is None and reply.fault is StatementFault.NONE


def losses() -> Iterator[tuple[int, tuple[int, ...]]]:
    """Yield a number of hosts, and which of them are lost in the order of roles."""
    for count in (1, 2, 3, 4):
        for lost in range(count):
            for places in itertools.combinations(range(count), lost):
                yield count, places


@pytest.mark.parametrize("how", ["killed", "paused", "removed"])
@pytest.mark.parametrize("count, places", [one for one in losses() if one[1]])
@in_virtual_time
async def test_remaining_hosts_serve(
    count: int, places: tuple[int, ...], how: str
) -> None:
    """Guards against a lost holder that nobody replaces, since nobody confirms it."""
    world = RemainingWorld(count)
    await world.start()
    await asyncio.sleep(4.0)
    names = world.by_role()
    lost = [names[place] for place in places]
    lost_at = asyncio.get_running_loop().time()
    await asyncio.gather(*(world.lose(name, how) for name in lost))
    waited = asyncio.get_running_loop().time() - lost_at
    await asyncio.sleep(max(RECOVERY_SECONDS - waited, 0.0))
    shares = await world.served([name for name in names if name not in lost])
    assert min(shares.values()) >= SERVED_SHARE, shares
    await asyncio.sleep(PAUSE_SECONDS)
    await world.end()


@pytest.mark.parametrize("count, places", list(losses()))
@in_virtual_time
async def test_hosts_that_come_back_serve(count: int, places: tuple[int, ...]) -> None:
    """Guards against a record whose holder is gone for good after a loss of power."""
    world = RemainingWorld(count)
    await world.start()
    await asyncio.sleep(4.0)
    names = world.by_role()
    lost = [names[place] for place in places]
    await asyncio.gather(*map(world.kill, names))
    await asyncio.sleep(DOWN_SECONDS)
    back = [name for name in names if name not in lost]
    for name in back:
        await world.restart(name)
    await asyncio.sleep(RECOVERY_SECONDS)
    shares = await world.served(back)
    assert min(shares.values()) >= SERVED_SHARE, shares
    await world.end()


@in_virtual_time
async def test_holder_that_answers_a_challenge_keeps_its_lease() -> None:
    """Guards against claims from a holder that serves but cannot be reached."""
    world = RemainingWorld(2)
    await world.start()
    await asyncio.sleep(4.0)
    holder, other = world.by_role()
    world.network.isolate([holder], [other])
    await asyncio.sleep(RECOVERY_SECONDS)
    shares = await world.served([holder, other])
    assert min(shares.values()) >= SERVED_SHARE, shares
    await asyncio.sleep(RECOVERY_SECONDS)
    assert world.leader().me.host == holder
    await world.end()


@in_virtual_time
async def test_holder_that_reaches_no_target_loses_its_lease() -> None:
    """Guards against a lease that is kept where the primary cannot be used."""
    world = RemainingWorld(2)
    await world.start()
    await asyncio.sleep(4.0)
    holder, other = world.by_role()
    world.network.isolate([holder], [other])
    for target in world.group.members:
        world.group.cut(holder, target)
    await asyncio.sleep(RECOVERY_SECONDS)
    assert world.leader().me.host == other
    shares = await world.served([other])
    assert min(shares.values()) >= SERVED_SHARE, shares
    await world.end()


@pytest.mark.parametrize("how", ["killed", "paused"])
@in_virtual_time
async def test_last_host_replaces_the_primary(how: str) -> None:
    """Guards against a promotion that waits for a lost host without an end.

    A paused holder that continues must not use the primary that was replaced.
    """
    world = RemainingWorld(2)
    await world.start()
    await asyncio.sleep(4.0)
    holder, other = world.by_role()
    former = world.group.primary
    world.group.cut(other, former.entry.target)
    await world.lose(holder, how)
    world.spawn(world.keep_calling(holder, "tickets"))
    await asyncio.sleep(MAX_WAIT_SECONDS + RECOVERY_SECONDS)
    assert world.group.primary is not former
    shares = await world.served([other])
    assert min(shares.values()) >= SERVED_SHARE, shares
    await world.end()


@in_virtual_time
async def test_cut_off_holder_replaces_a_lost_primary() -> None:
    """Guards against hosts that take a lease from each other without an end."""
    world = RemainingWorld(2)
    await world.start()
    await asyncio.sleep(4.0)
    holder, other = world.by_role()
    world.network.isolate([holder], [other])
    world.group.primary.down = True
    await asyncio.sleep(MAX_WAIT_SECONDS + RECOVERY_SECONDS)
    assert world.leader().me.host == holder
    assert len(world.group.promotions) == 1
    shares = await world.served([holder, other])
    assert shares["views"] >= SERVED_SHARE, shares
    shares = await world.served([holder])
    assert min(shares.values()) >= SERVED_SHARE, shares
    await world.end()


@in_virtual_time
async def test_challenge_stands_while_the_store_is_silent() -> None:
    """Guards against another wait for a holder that has not answered a challenge."""
    world = RemainingWorld(2)
    await world.start()
    await asyncio.sleep(4.0)
    holder, other = world.by_role()
    await world.kill(holder)
    await asyncio.sleep(3.0)
    world.store.silent.add(other)
    await asyncio.sleep(RECOVERY_SECONDS / 2)
    world.store.silent.clear()
    await asyncio.sleep(2.0)
    assert world.leader().me.host == other
    await world.end()
