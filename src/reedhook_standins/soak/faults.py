"""Random faults of the soak test, injected from outside the host processes."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from random import Random
from typing import Any, Final

from .hosts import SoakHostProcess
from .proxy import ProxyLink
from .surroundings import SoakEnvironment

LONGEST_PAUSE: Final = 14.0
"""Seconds; longer than any grant to use a primary lasts."""


class FaultContext:
    """Hold the hosts and systems that faults act on."""

    def __init__(
        self, hosts: list[SoakHostProcess], around: SoakEnvironment, random: Random
    ) -> None:
        self.hosts = hosts
        self.around = around
        self.random = random

    def some_hosts(self) -> list[SoakHostProcess]:
        """Return a random selection of hosts, mostly one."""
        count = 1 if self.random.random() < 0.7 else self.random.randint(1, 3)
        return self.random.sample(self.hosts, min(count, len(self.hosts)))


class SoakFault(ABC):
    """Inject one kind of fault, and end it."""

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


class Restarted(SoakFault):
    """Terminate a process gracefully and restart it, or several in turn."""

    async def strike(self, field: FaultContext) -> str:
        hosts = field.some_hosts()
        for host in hosts:
            await host.end()
            await host.start()
            await asyncio.sleep(field.random.uniform(0.0, 1.0))
        return f"restarted {names(hosts)}"


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
    """Stop the primary for a while."""

    async def strike(self, field: FaultContext) -> str:
        member = field.around.group.primary
        member.down = True
        await asyncio.sleep(field.random.uniform(1.0, 8.0))
        member.heal()
        return f"primary {member.entry.target} dark"


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
"""Faults of new seeds, with restores of the store."""


async def delayed(seconds: float, work: Coroutine[Any, Any, str]) -> str:
    """Run `work` after a delay."""
    await asyncio.sleep(seconds)
    return await work


def names(hosts: list[SoakHostProcess]) -> str:
    """Return the names of hosts."""
    return ", ".join(host.name for host in hosts)
