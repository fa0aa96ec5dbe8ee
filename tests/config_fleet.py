"""Hosts that replicate a configuration over a faulty network and a faulty store."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final, ParamSpec, TypeVar

from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerError, PeerRoutes
from reedhook.process.configuring.configuration_manager import ConfigurationManager
from reedhook.process.configuring.configuration_relay import ConfigurationRelay
from reedhook.process.configuring.editor import ConfigurationEditor
from reedhook.process.configuring.snapshot_repository import SnapshotRepository
from reedhook.process.events.timeline import Timeline
from reedhook.process.worker import Worker
from reedhook.version.catalog import Catalog
from reedhook.version.document import ConfigurationDocuments
from reedhook.version.snapshot import SnapshotManifest
from reedhook.wire import Json

from .fakes_peers import FakeNetwork
from .fakes_store import FakeStore

P = ParamSpec("P")
T = TypeVar("T")

ZONES: Final = ("vittoria", "comiso", "ispica")
HEARTBEAT: Final = 1.0
RELAYS: Final = 2
MAX_WORK: Final = 0.2
BASE: Final = """\
services:
  feedlog-db:
    slots: 2
    connections: 15
    groups:
      feedlog-1:
        members:
          feedlog-1-a: {zone: vittoria, address: "127.0.0.1:17101"}
workspaces: {}
"""


def documents(queue: int, base: str = BASE) -> ConfigurationDocuments:
    """Return documents whose catalogs contain the limit `queue`."""
    overlays = dict.fromkeys(ZONES, "")
    return ConfigurationDocuments(f"{base}limits: {{queue: {queue}}}\n", overlays)


class UnevenWorker(Worker):
    """Delay each function randomly, so that completions are out of order."""

    def __init__(self, chooser: random.Random) -> None:
        self.random = chooser
        self.most = MAX_WORK

    async def run(
        self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs
    ) -> T:
        await asyncio.sleep(self.random.uniform(0.0, self.most))
        return function(*args, **kwargs)


class FleetHost:
    """Run one host; `restart` drops its state.

    :ivar versions: the versions that came into force in this incarnation.
    :ivar fell: whether a version ever decreased within an incarnation.
    """

    def __init__(self, fleet: "Fleet", ref: HostRef, rank: int) -> None:
        self.fleet = fleet
        self.ref = ref
        self.relaying = rank < RELAYS
        self.random = random.Random(ref.host)
        self.store = FakeStore(shared=fleet.store)
        self.metrics = MemoryMetrics()
        self.heart: asyncio.Task[None] | None = None
        self.fell = False
        self.build()

    def build(self) -> None:
        """Create the components of a host without state."""
        clock = self.fleet.network.clock(self.ref.host)
        worker = self.worker = UnevenWorker(self.random)
        routes = PeerRoutes()
        self.peers = self.fleet.network.join(self.ref, routes)
        self.keeper = ConfigurationManager(
            self.ref,
            self.peers,
            self.some_peers,
            clock,
            self.random,
            Timeline(self.ref.host, clock),
            self.metrics,
            worker,
        )
        self.keeper.register(routes)
        self.keeper.on_change(self.note)
        routes.add("heartbeat", self.hear)
        archive = SnapshotRepository(self.store)
        self.relay = ConfigurationRelay(
            self.keeper, archive, lambda: self.relaying, clock, self.random
        )
        self.editor = ConfigurationEditor(self.keeper, archive, clock, worker)
        self.versions: list[int] = []

    def note(self, catalog: Catalog) -> None:
        """Record a configuration that came into force."""
        self.fell |= bool(self.versions) and catalog.version <= self.versions[-1]
        self.versions.append(catalog.version)

    def some_peers(self, count: int) -> list[HostRef]:
        """Return other hosts at random, alive or not."""
        others = [host.ref for host in self.fleet.hosts if host is not self]
        return self.random.sample(others, min(count, len(others)))

    async def hear(self, body: Json) -> Json:
        """Handle a heartbeat."""
        self.keeper.record_peer_version(
            body["version"], HostRef.from_json(body["from"])
        )
        return {}

    async def start(self) -> None:
        """Start all components."""
        await self.keeper.start()
        await self.relay.start()
        self.heart = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Send the version to a random peer at intervals."""
        while True:
            await asyncio.sleep(HEARTBEAT * self.random.uniform(0.5, 1.5))
            body = {"version": self.keeper.version, "from": self.ref.to_json()}
            for peer in self.some_peers(1):
                try:
                    await self.peers.call(peer, "heartbeat", body, HEARTBEAT)
                except PeerError:
                    continue

    async def close(self) -> None:
        """Stop all components."""
        if self.heart is not None:
            self.heart.cancel()
        await self.relay.close()
        await self.keeper.close()
        await self.peers.close()

    async def restart(self) -> None:
        """Start a new incarnation at the same address."""
        await self.close()
        self.build()
        await self.start()

    async def apply(
        self, queue: int, edit_id: str, parent: int | None = None
    ) -> SnapshotManifest:
        """Apply `documents(queue)`."""
        parent = self.keeper.version if parent is None else parent
        return await self.editor.apply(documents(queue), parent, "ana", "why", edit_id)


class Fleet:
    """Hold the hosts of some zones, the network and the store."""

    def __init__(self, per_zone: int = 3, zones: tuple[str, ...] = ZONES) -> None:
        self.network = FakeNetwork()
        self.store = FakeStore()
        self.hosts: list[FleetHost] = []
        for zone in zones:
            for rank in range(per_zone):
                name = f"{zone}-{rank}"
                ref = HostRef(name, zone, f"127.0.0.1:{len(self.hosts) + 1}")
                self.hosts.append(FleetHost(self, ref, rank))

    async def __aenter__(self) -> "Fleet":
        await asyncio.gather(*(host.start() for host in self.hosts))
        return self

    async def __aexit__(self, *error: Any) -> None:
        await asyncio.gather(*(host.close() for host in self.hosts))
        if self.network.failures:
            raise ExceptionGroup("handlers failed", self.network.failures)

    def zone(self, zone: str) -> list[FleetHost]:
        """Return the hosts of a zone."""
        return [host for host in self.hosts if host.ref.zone == zone]

    def versions(self) -> set[int]:
        """Return the versions in force."""
        return {host.keeper.version for host in self.hosts}

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the other zones and from the store."""
        zone_hosts = [host.ref.host for host in self.zone(zone)]
        other_hosts = [other.ref.host for other in self.hosts if other.ref.zone != zone]
        self.network.isolate(zone_hosts, other_hosts)
        for host in self.zone(zone):
            host.store.down = True

    def end_faults(self) -> None:
        """Clear all faults."""
        self.network.heal()
        self.store.down = False
        for host in self.hosts:
            host.store.down = host.store.mute_watches = False
            host.store.lose_answers = host.store.lose_requests = 0
            host.store.stale = lambda key: 0

    def calls(self) -> int:
        """Return how many calls the store has counted."""
        return sum(host.store.calls.total() for host in self.hosts)
