"""Random faults of the soak test, injected from outside the host processes."""

import asyncio
import base64
import signal
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from contextlib import suppress
from random import Random
from typing import Any, Final

import orjson

from reedhook.process.primary_lease.lease_record import LEASE_KEY_PREFIX

from ..unanswered import LATEST, UnansweredCalls
from .hosts import SoakHostProcess
from .proxy import ProxyLink
from .surroundings import SERVICE, SoakEnvironment

LONGEST_PAUSE: Final = 14.0
"""Seconds; longer than any grant to use a primary lasts."""

RECOVERY: Final = 12.0
"""Seconds after which the only host that is left serves again."""

LONGEST_OUTAGE: Final = 2.0
"""Seconds of the outage of a primary during which its successor is recorded late."""


class FaultContext:
    """Hold the hosts and systems that faults act on.

    :param require_service: reports a violation unless a host serves all databases.
    """

    def __init__(
        self,
        hosts: list[SoakHostProcess],
        around: SoakEnvironment,
        random: Random,
        require_service: Callable[[SoakHostProcess], Coroutine[Any, Any, None]],
    ) -> None:
        self.hosts = hosts
        self.around = around
        self.random = random
        self.require_service = require_service

    def some_hosts(self) -> list[SoakHostProcess]:
        """Return a random selection of hosts, mostly one."""
        count = 1 if self.random.random() < 0.7 else self.random.randint(1, 3)
        return self.random.sample(self.hosts, min(count, len(self.hosts)))

    def lease_holder(self) -> SoakHostProcess:
        """Return the host that the store names as holder of the primary lease."""
        item = self.around.store.items.get(LEASE_KEY_PREFIX + SERVICE)
        if item is None:
            return self.hosts[0]
        record = orjson.loads(base64.b64decode(item["value"]))
        return next(one for one in self.hosts if one.name == record["holder"]["ref"][0])

    def only(self, host: SoakHostProcess) -> "FaultContext":
        """Return a context whose faults act on one host."""
        return FaultContext([host], self.around, self.random, self.require_service)


class SoakFault(ABC):
    """Inject one kind of fault, and end it.

    :cvar planned: whether it is planned work, during which no request may be cut.
    """

    planned = False

    @abstractmethod
    async def strike(self, field: FaultContext) -> str:
        """Inject the fault, wait and end it; return its description."""


class Killed(SoakFault):
    """Kill a process and restart it."""

    async def strike(self, field: FaultContext) -> str:
        hosts = field.some_hosts()
        for host in hosts:
            await host.kill()
        await asyncio.sleep(field.random.uniform(0.0, 2.0))
        for host in hosts:
            await host.start()
        return f"killed {names(hosts)}"


class LastHost(SoakFault):
    """Kill or pause all hosts but one, which has to serve without them.

    It may be started again as well, so that it knows nothing of the others.
    """

    async def strike(self, field: FaultContext) -> str:
        random = field.random
        holder, survivor = field.lease_holder(), random.choice(field.hosts)
        others = [host for host in field.hosts if host is not survivor]
        paused = [host for host in others if random.random() < 0.4]
        for host in others:
            if host in paused:
                host.pause()
            else:
                await host.kill()
        restarted = random.random() < 0.5
        if restarted:
            await survivor.kill()
            await survivor.start()
        await asyncio.sleep(RECOVERY)
        await field.require_service(survivor)
        for host in others:
            host.resume()
            await host.start()
        await asyncio.sleep(random.uniform(0.0, 4.0))
        how = "restarted" if restarted else "left"
        return (
            f"{survivor.name} {how} alone, {holder.name} held the lease, "
            f"paused {names(paused)}"
        )


class Restarted(SoakFault):
    """Terminate a process gracefully and restart it, or several in turn."""

    planned = True

    async def strike(self, field: FaultContext) -> str:
        hosts = field.some_hosts()
        for host in hosts:
            await host.end()
            await host.start()
            await asyncio.sleep(field.random.uniform(0.0, 1.0))
        return f"restarted {names(hosts)}"


class TerminationSeries(SoakFault):
    """Terminate the holder of the primary lease and others shortly after it."""

    planned = True

    async def strike(self, field: FaultContext) -> str:
        holder = field.lease_holder()
        others = [host for host in field.hosts if host is not holder]
        count = field.random.randint(1, len(others))
        hosts = [holder, *field.random.sample(others, count)]
        gaps = [field.random.uniform(0.1, 2.0) for _ in hosts]
        delays = [sum(gaps[:index]) for index in range(len(hosts))]
        restarts = [Restarted().strike(field.only(host)) for host in hosts]
        await asyncio.gather(*map(delayed, delays, restarts))
        return f"terminated in series {names(hosts)}"


class Paused(SoakFault):
    """Pause a process for a while."""

    async def strike(self, field: FaultContext) -> str:
        hosts = field.some_hosts()
        seconds = field.random.choice([0.4, 1.5, 4.0, LONGEST_PAUSE])
        for host in hosts:
            host.pause()
        await asyncio.sleep(seconds)
        for host in hosts:
            host.resume()
        return f"paused {names(hosts)} for {seconds} s"


class Reloaded(SoakFault):
    """Reload a process's settings; the configuration changes, too."""

    planned = True

    async def strike(self, field: FaultContext) -> str:
        hosts = field.some_hosts()
        for host in hosts:
            host.send(signal.SIGHUP)
        field.around.configure()
        return f"reloaded {names(hosts)}"


class LinkFault(SoakFault):
    """Cut or delay the links of a host, in one direction or both."""

    async def strike(self, field: FaultContext) -> str:
        host = field.random.choice(field.hosts)
        kind = field.random.choice(["store", "promotions", "callers", "targets"])
        links = self.links(field, host, kind)
        kind_of_fault = field.random.choice(["cut", "up", "down", "delay", "reset"])
        for link in links:
            link.up = kind_of_fault not in ("cut", "up")
            link.down = kind_of_fault not in ("cut", "down")
            link.delay = (
                field.random.uniform(0.01, 0.3) if kind_of_fault == "delay" else 0.0
            )
        if kind_of_fault == "reset":
            field.around.reset_links(host.name)
            for proxy in host.proxies:
                proxy.reset()
        await asyncio.sleep(field.random.uniform(0.5, 9.0))
        for link in links:
            link.heal()
        return f"{kind_of_fault} between {host.name} and {kind}"

    def links(
        self, field: FaultContext, host: SoakHostProcess, kind: str
    ) -> list[ProxyLink]:
        """Return the links of a host to the named kind of peer."""
        if kind == "store":
            return [host.store.link]
        if kind == "promotions":
            return [host.promotions.link]
        if kind == "callers":
            return [host.front.link]
        matching = [
            link for key, link in field.around.links.items() if key[0] == host.name
        ]
        return field.random.sample(matching, field.random.randint(1, len(matching)))


class StoreFault(SoakFault):
    """Make the store silent or busy, or drop its history."""

    async def strike(self, field: FaultContext) -> str:
        store = field.around.store
        kind = field.random.choice(["silent", "busy", "forgets", "lapse"])
        if kind == "silent":
            store.silent = True
        elif kind == "busy":
            store.status = field.random.choice([429, 503])
        elif kind == "forgets":
            store.forget()
        else:
            store.end_leases()
        await asyncio.sleep(field.random.uniform(0.5, 9.0))
        store.silent, store.status = False, 0
        return f"store {kind}"


class TargetFault(SoakFault):
    """Make a target stop, lag, receive nothing, leave, or have a full queue."""

    async def strike(self, field: FaultContext) -> str:
        group = field.around.group
        member = group.primary
        if field.random.random() < 0.4:
            member = field.random.choice(list(group.members.values()))
        kind = field.random.choice(["dark", "lag", "deaf", "leaving", "busy"])
        if kind == "dark":
            member.down = True
        elif kind == "lag":
            member.lag = field.random.uniform(0.1, 3.0)
        elif kind == "deaf":
            member.deaf = True
        elif kind == "busy":
            member.busy = field.random.randint(5, 200)
        else:
            field.around.leaving.add(member.entry.target)
        await asyncio.sleep(field.random.uniform(1.0, 8.0))
        member.heal()
        field.around.leaving.discard(member.entry.target)
        return f"target {member.entry.target} {kind}"


class StartedAgain(SoakFault):
    """Restart a target with an empty log, or corrupt its store entry."""

    async def strike(self, field: FaultContext) -> str:
        group = field.around.group
        member = field.random.choice(list(group.members.values()))
        target = member.entry.target
        if field.random.random() < 0.3:
            field.around.scribble(target)
            return f"target {target} scribbled over"
        member.start_again()
        # At most one of three members may lose its log at a time.
        await asyncio.sleep(field.random.uniform(3.0, 8.0))
        return f"target {target} started again"


class PrimaryLost(SoakFault):
    """Stop the primary for a while.

    :cvar seconds: limits of the outage.
    """

    seconds = (1.0, 8.0)

    async def strike(self, field: FaultContext) -> str:
        member = field.around.group.primary
        member.down = True
        await asyncio.sleep(field.random.uniform(*self.seconds))
        member.heal()
        return f"primary {member.entry.target} dark"


class ShortOutage(PrimaryLost):
    """Stop the primary for a moment."""

    seconds = (0.5, 2.0)


class PrimaryAndReplicas(SoakFault):
    """Lose or drain the primary while one replica alone received the last commits.

    That one drains, responds late or is down for a moment. No outage lasts so long that
    a target is to be taken as gone.
    """

    async def strike(self, field: FaultContext) -> str:
        async with field.around.changing_members:
            return await self.strike_alone(field)

    async def strike_alone(self, field: FaultContext) -> str:
        """Strike while no other fault of this kind does."""
        random, around = field.random, field.around
        primary = around.group.primary
        replicas = [one for one in around.group.members.values() if one is not primary]
        holding, behind = random.sample(replicas, 2)
        state = random.choice(["leaving", "late", "absent", "leaving and late", "well"])
        end = random.choice(["dark", "dark", "leaving"])
        behind.deaf = random.random() < 0.8
        if "leaving" in state:
            around.leaving.add(holding.entry.target)
        await asyncio.sleep(random.uniform(0.2, 2.0))
        if "late" in state:
            holding.delay = random.uniform(0.5, 1.5)
        holding.down = state == "absent"
        primary.down = end == "dark"
        if end == "leaving":
            around.leaving.add(primary.entry.target)
        await asyncio.sleep(random.uniform(0.2, 2.5))
        holding.down, holding.delay = False, 0.0
        await asyncio.sleep(random.uniform(0.0, 3.0))
        for member in around.group.members.values():
            member.heal()
        around.leaving.clear()
        await asyncio.sleep(random.uniform(1.0, 4.0))
        return f"{primary.entry.target} {end}, {holding.entry.target} {state}"


COMPANIONS: Final[list[type[SoakFault] | None]] = [
    None,
    Killed,
    Paused,
    PrimaryLost,
    PrimaryLost,
]
"""Faults during which the store is restored."""


class StoreRestored(SoakFault):
    """Restore the store from older copies, alone or during another fault."""

    async def strike(self, field: FaultContext) -> str:
        companion = field.random.choice(COMPANIONS)
        restores = field.random.choice([1, 1, 1, 2, 3])
        if companion is None:
            return await self.restore_in_series(field, restores)
        # The companion begins before, during or after the first restore.
        delays = [field.random.uniform(0.0, 2.0) for _ in range(2)]
        descriptions = await asyncio.gather(
            delayed(delays[0], self.restore_in_series(field, restores)),
            delayed(delays[1], companion().strike(field)),
        )
        return " with ".join(descriptions)

    async def restore_in_series(self, field: FaultContext, count: int) -> str:
        """Restore the store a number of times; return the ages of the copies."""
        ages = []
        for _ in range(count):
            ages.append(await self.restore(field))
            await asyncio.sleep(field.random.uniform(0.0, 3.0))
        return f"store restored from {', '.join(f'{age:.1f} s' for age in ages)} ago"

    async def restore(self, field: FaultContext) -> float:
        """Restore the store once; return the age of the copy in seconds."""
        store = field.around.store
        if field.random.random() < 0.5:
            store.silent = True
        else:
            store.status = 503
        await asyncio.sleep(field.random.uniform(0.2, 1.5))
        oldest = field.random.random() < 0.2
        age = field.around.restore_store(
            float("inf") if oldest else field.random.uniform(1.0, 6.0)
        )
        for host in field.hosts:
            host.store.reset()
        store.silent, store.status = False, 0
        await asyncio.sleep(field.random.uniform(0.2, 1.0))
        field.around.write_again()
        return age


class LateWrites(SoakFault):
    """Leave changes of the store unanswered; they take effect at once or seconds later.

    Most often the primary is away for a moment meanwhile, and the host that holds its
    lease is terminated, killed or paused within the next seconds.
    """

    async def strike(self, field: FaultContext) -> str:
        random = field.random
        calls = UnansweredCalls(
            Random(random.random()),
            share=random.choice([0.3, 1.0]),
            limit=random.choice([1, 3, 30]),
            late=random.choice([1.0, 0.7, 0.0]),
            wanted=random.choice([writes_lease, lambda writes: True]),
        )
        steps = [self.lose_answers(field, calls, random.uniform(1.0, 4.0))]
        if random.random() < 0.7:
            steps.append(ShortOutage().strike(field))
        if random.random() < 0.7:
            steps.append(delayed(random.uniform(0.5, LATEST), self.end_holder(field)))
        return " with ".join(await asyncio.gather(*steps))

    async def lose_answers(
        self, field: FaultContext, calls: UnansweredCalls, seconds: float
    ) -> str:
        """Leave calls unanswered for a while."""
        store = field.around.store
        store.unanswered = calls
        await asyncio.sleep(seconds)
        if store.unanswered is calls:
            store.unanswered = None
        return f"{calls.chosen} answers lost, late with {calls.late}"

    async def end_holder(self, field: FaultContext) -> str:
        """Terminate, kill or pause the holder, or terminate it and then others."""
        fault = field.random.choice(HOLDER_FAULTS)
        if fault is not TerminationSeries:
            field = field.only(field.lease_holder())
        return "holder " + await fault().strike(field)


class LateSuccessor(LateWrites):
    """Delay the record of a successor past a short outage, then end the holder.

    The other hosts reach the old primary slowly, so that it leads for a while beside
    the successor.
    """

    async def strike(self, field: FaultContext) -> str:
        random = field.random
        limit = random.choice([1, 3, 20])
        calls = UnansweredCalls(
            Random(random.random()), 1.0, limit, 1.0, writes_successor
        )
        after, delay = random.uniform(0.0, 1.0), random.choice([0.0, 0.1, 0.3])
        longer = random.uniform(0.0, 0.5)
        losing = asyncio.create_task(self.lose_answers(field, calls, 3.0))
        member = field.around.group.primary
        member.down = True
        await happens(calls.any_chosen, LONGEST_OUTAGE - longer)
        await asyncio.sleep(longer)
        member.down = False
        await happens(calls.late_applied, LATEST)
        await asyncio.sleep(after)
        work = [losing, self.slow_links(field, delay), self.end_holder(field)]
        return f"late successor: {', '.join(await asyncio.gather(*work))}"

    async def slow_links(self, field: FaultContext, delay: float) -> str:
        """Delay what all hosts but the holder exchange with the primary."""
        holder, target = field.lease_holder(), field.around.group.primary.entry.target
        others = [host.name for host in field.hosts if host is not holder]
        for name in others:
            field.around.links[name, target].delay = delay
        await asyncio.sleep(3.0)
        for name in others:
            field.around.links[name, target].delay = 0.0
        return f"links to {target} slowed by {delay:.2f} s"


HOLDER_FAULTS: Final[list[type[SoakFault]]] = [
    Restarted,
    Restarted,
    Killed,
    Paused,
    TerminationSeries,
]
"""Faults of the host that holds the primary lease around a late change."""

FAULTS: Final[list[type[SoakFault]]] = [
    Killed,
    Restarted,
    Paused,
    Reloaded,
    LinkFault,
    LinkFault,
    StoreFault,
    TargetFault,
    TargetFault,
]

WITH_LIVES: Final[list[type[SoakFault]]] = [*FAULTS, StartedAgain]
"""Faults with restarted targets; the oldest seeds of the tests draw from `FAULTS`."""

WITH_RESTORES: Final[list[type[SoakFault]]] = [
    *WITH_LIVES,
    StoreRestored,
    StoreRestored,
    PrimaryLost,
]
"""Faults with restores of the store."""

WITH_LATE_WRITES: Final[list[type[SoakFault]]] = [
    *WITH_RESTORES,
    TerminationSeries,
    *[LateWrites] * 3,
    *[LateSuccessor] * 6,
]
"""Faults of new seeds, with changes of the store that get no answer."""

DRAWS: Final[dict[str, list[type[SoakFault]]]] = {
    "lives": WITH_LIVES,
    "restores": WITH_RESTORES,
    "late": WITH_LATE_WRITES,
    "successors": [LateSuccessor],
    "planned": [Restarted, TerminationSeries, Reloaded],
    "last-host": [LastHost],
    "replicas": [PrimaryAndReplicas] * 3 + [Killed, Restarted, Paused],
}
"""Faults that a run may draw from, by name."""


def writes_lease(writes: dict[str, bytes]) -> bool:
    """Return whether a call writes the record of a primary lease."""
    return any(key.startswith(LEASE_KEY_PREFIX) for key in writes)


def writes_successor(writes: dict[str, bytes]) -> bool:
    """Return whether a call records the successor of a primary."""
    return writes_lease(writes) and any(
        orjson.loads(value)["successor"] for value in writes.values()
    )


async def happens(event: asyncio.Event, seconds: float) -> None:
    """Wait for an event, or for the given time."""
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


async def delayed(seconds: float, work: Coroutine[Any, Any, str]) -> str:
    """Run `work` after a delay."""
    await asyncio.sleep(seconds)
    return await work


def names(hosts: list[SoakHostProcess]) -> str:
    """Return the names of hosts."""
    return ", ".join(host.name for host in hosts)
