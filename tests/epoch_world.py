"""Hosts that follow a store which may be restored, without leases and statements.

world = EpochWorld(["h1", "h2", "h3"], relays=["h1"])
await world.start()
world.store.save()
world.store.restore(0.0)
await world.settle()
assert world.hosts["h3"].values() == world.values()
"""

import asyncio
import random
from typing import Any

from reedhook.decision_log import DecisionLog
from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerError, PeerRoutes
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.discovery.host_registration import HostRegistration
from reedhook.process.discovery.route_table_transfer import (
    RouteTableFetcher,
    RouteTableServer,
)
from reedhook.process.discovery.store_epoch import StoreEpoch
from reedhook.process.discovery.store_watcher import StoreWatcher
from reedhook.process.discovery.update_source import PeerUpdateSource, UpdateServer
from reedhook.wire import Json, encode

from .fakes_clock import LoopClock
from .fakes_keyspace import FakeStore
from .fakes_peers import FakeNetwork
from .session_world import TABLE_KEY, PlainDocuments

HEARTBEAT_SECONDS = 0.5
SETTLED_SECONDS = 20.0
"""Longer than relays may be behind, and than two unresponsive relays are avoided."""


class EventLog(DecisionLog):
    """Keep all events, for tests to count."""

    def __init__(self, host: str, clock: LoopClock) -> None:
        super().__init__(host, clock, output_fd=None)
        self.events: list[tuple[str, dict[str, Any]]] = []

    def record(self, event: str, **inputs: Any) -> None:
        self.events.append((event, inputs))

    def count(self, event: str) -> int:
        """Return how often an event was recorded."""
        return sum(name == event for name, _ in self.events)


class EpochHost:
    """Run what a host learns from the store and from other hosts."""

    def __init__(self, world: "EpochWorld", ref: HostRef) -> None:
        self.world = world
        self.ref = ref
        self.random = random.Random(f"{world.seed} {ref.host}")
        self.routes = PeerRoutes()
        self.peers = world.network.join(ref, self.routes)
        self.clock = clock = LoopClock()
        self.decisions = EventLog(ref.host, clock)
        self.epoch = StoreEpoch(self.decisions, MemoryMetrics())
        self.keyspace = world.store.client(ref.host, self.epoch)
        self.announcements = Announcements(PlainDocuments(), clock, self.decisions)
        self.freshness = ConfigurationFreshness(self.announcements, clock, self.epoch)
        UpdateServer(self.announcements, clock, self.freshness, self.epoch).register(
            self.routes
        )
        RouteTableServer(self.announcements, clock).register(self.routes)
        self.tables = RouteTableFetcher(
            ref,
            self.peers,
            self.announcements,
            lambda version: [one.ref for one in world.hosts.values()],
            clock,
            self.random,
            self.decisions,
        )
        self.source = PeerUpdateSource(
            ref,
            lambda: [world.hosts[name].ref for name in world.relays],
            self.peers,
            self.announcements,
            self.request_version,
            clock,
            self.random,
            self.decisions,
            self.freshness,
            self.epoch,
        )
        self.watch = StoreWatcher(
            self.keyspace,
            self.announcements,
            self.source,
            clock,
            self.random,
            self.freshness,
        )
        self.registration = HostRegistration(
            ref,
            1.0,
            self.keyspace,
            self.announcements,
            clock,
            self.random,
            self.decisions,
            lambda: world.counted_hosts or len(world.hosts),
        )
        self.routes.add("beat", self.answer_beat)
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the background tasks."""
        works = [self.watch.run(), self.beat()]
        if self.world.registers:
            works.append(self.registration.run())
        self.tasks = [asyncio.create_task(work) for work in works]

    def stop(self) -> None:
        """Stop the host."""
        for task in self.tasks:
            task.cancel()
        self.tables.close()

    def request_version(self, peer: HostRef, version: int) -> None:
        """Fetch a newer configuration."""
        self.freshness.learn_version(version)
        self.tables.request_version(peer, version)

    async def answer_beat(self, body: Json) -> Json:
        """Answer as a heartbeat does."""
        answer: Json = {"v": self.announcements.table.version}
        self.freshness.add_age(answer, self.clock.boottime())
        return answer

    async def beat(self) -> None:
        """Ask a random host twice a second."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            others = [one for one in self.world.hosts.values() if one is not self]
            if not others:
                continue
            peer = self.random.choice(others).ref
            requested_at = self.clock.boottime()
            try:
                answer = await self.peers.call(peer, "beat", {}, HEARTBEAT_SECONDS)
            except PeerError:
                continue
            version = answer["v"]
            self.freshness.read_age(answer, version, requested_at, peer.host)
            if version > self.announcements.table.version:
                self.request_version(peer, version)

    def values(self) -> dict[str, tuple[bytes | None, int]]:
        """Return value and revision number of each item known here."""
        return {
            key: (item.value, item.revision.number)
            for key, item in self.announcements.mirror.items.items()
        }


class EpochWorld:
    """Run hosts of one zone on a store.

    :param relays: names of the hosts that follow the store; tests may change it.
    :param registers: whether hosts register in the store.
    :ivar counted_hosts: number of live hosts that each host sees, if not 0.
    """

    def __init__(
        self,
        names: list[str],
        relays: list[str],
        seed: int = 1,
        registers: bool = False,
    ) -> None:
        self.seed = seed
        self.store = FakeStore()
        self.network = FakeNetwork(seed=seed)
        self.relays = relays
        self.registers = registers
        self.counted_hosts = 0
        self.hosts: dict[str, EpochHost] = {}
        for name in names:
            self.add(name)

    def add(self, name: str) -> EpochHost:
        """Add a host, which is still to be started."""
        ref = HostRef(name, "z1", f"{name}:1")
        host = self.hosts[name] = EpochHost(self, ref)
        return host

    async def start(self) -> None:
        """Start all hosts and wait until they hold the store's items."""
        for host in self.hosts.values():
            host.start()
        await asyncio.sleep(1.0)

    async def settle(self) -> None:
        """Wait until all hosts have learned what the store holds."""
        await asyncio.sleep(SETTLED_SECONDS)

    def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts.values():
            host.stop()

    def values(self) -> dict[str, tuple[bytes | None, int]]:
        """Return value and revision number of each item of the store."""
        return {
            key: (item.value, item.revision.number)
            for key, item in self.store.items.items()
            if key != TABLE_KEY
        }

    def configure(self, version: int, keys: list[str]) -> None:
        """Write a configuration with a workspace that has these callers' keys."""
        workspace = {"name": "farm", "keys": keys}
        value = {"version": version, "routes": ["views"], "workspaces": [workspace]}
        self.store.write(TABLE_KEY, encode(value))
