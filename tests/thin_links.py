"""Hosts that follow the store over links of bounded rate, with queues.

    world = ThinWorld(hosts=200, rate=125_000)   # 1 Mbit/s each way
    await world.start()
    world.write_table(1500)                      # a version of 1500 routes
    world.served(since, until)                   # fraction of statements in time

All messages of a host share its link: announcements, configurations, store
answers, heartbeats and statements. Short messages queue behind long ones.
"""

import asyncio
import random
from collections import Counter

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerError, PeerRoutes
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.discovery.key_value_store import Items
from reedhook.process.discovery.route_table_transfer import (
    RouteTableFetcher,
    RouteTableServer,
)
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.discovery.store_watcher import StoreWatcher
from reedhook.process.discovery.update_source import PeerUpdateSource, UpdateServer
from reedhook.process.fleet.rendezvous import ranked_hosts
from reedhook.version.route_table import RouteTable
from reedhook.wire import Json, decode, encode, wraps_decode_errors

from .fakes_clock import LoopClock
from .fakes_keyspace import FakeKeyspace, FakeStore, unlogged_epoch
from .fakes_peers import FakeNetwork, FakePeers
from .session_world import PlainDocuments, table

HEAD = 250
"""Bytes of a message's header, including the network's overhead."""

ROUTE = 185
"""Bytes of a route; about 20 of these differ between routes."""

RELAYS = 2
HEARTBEAT_EVERY = 0.25
HEARTBEAT_TIMEOUT = 0.3
STATEMENT_EVERY = 0.5
STATEMENT_TIMEOUT = 0.45
STATEMENT_BYTES = 1000


WINDOW = 8192
"""Bytes of one message in flight; small, so that long messages share a link with
short ones."""


class ThinLink:
    """Transmit what one host sends, or what it receives, window by window.

    :ivar free_at: when all queued data will have passed.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.free_at = 0.0

    async def carry(self, size: int) -> None:
        """Transmit `size` bytes."""
        await asyncio.sleep(await self.carry_to_last_window(size))

    async def carry_to_last_window(self, size: int) -> float:
        """Transmit all windows but the last; return the seconds that it takes."""
        while size > WINDOW:
            await asyncio.sleep(self.enqueue(WINDOW))
            size -= WINDOW
        return self.enqueue(size)

    def enqueue(self, size: int) -> float:
        """Queue one window; return the seconds until it has passed."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at - now


class ThinNetwork(FakeNetwork):
    """Queue messages between hosts on the links of both.

    :ivar carried: bytes that hosts sent to each other, by path of the call.
    """

    def __init__(self, rate: float, seed: int) -> None:
        super().__init__(delay=0.001, seed=seed)
        self.rate = rate
        self.up: dict[str, ThinLink] = {}
        self.down: dict[str, ThinLink] = {}

    def link(self, links: dict[str, ThinLink], host: str) -> ThinLink:
        """Return the link of a host."""
        return links.setdefault(host, ThinLink(self.rate))

    async def carry(self, sender: str, receiver: str, body: bytes) -> None:
        self.sent_bytes[sender] += len(body)
        size = len(body) + HEAD
        up, down = self.link(self.up, sender), self.link(self.down, receiver)
        # One timer for the link and the distance: timers dominate large worlds.
        queued = await up.carry_to_last_window(size)
        await self.travel(sender, receiver, queued)
        await down.carry(size)


class ThinKeyspace(FakeKeyspace):
    """Access the store over the host's link; each answer is sent as a whole."""

    def __init__(self, store: FakeStore, host: str, link: ThinLink) -> None:
        super().__init__(store, host, unlogged_epoch(host))
        self.link = link

    async def list(self, prefix: str, timeout: float) -> Items:
        return await self.arrived(await super().list(prefix, timeout))

    async def changes(
        self, prefix: str, after: StoreRevision, hold: float, margin: float
    ) -> Items:
        return await self.arrived(await super().changes(prefix, after, hold, margin))

    async def arrived(self, found: Items) -> Items:
        """Return items once they have passed the link."""
        requested_at = asyncio.get_running_loop().time()
        await self.link.carry(HEAD + sum(map(stored_size, found.items)))
        now = asyncio.get_running_loop().time()
        return Items(found.items, found.revision, now - requested_at)


def stored_size(item: object) -> int:
    """Return the base64 size of an item in an answer of the store."""
    value = getattr(item, "value", None) or b""
    return 150 + len(value) * 4 // 3


class LongDocuments(PlainDocuments):
    """Parse configurations of many routes."""

    @wraps_decode_errors
    def read_table(self, value: bytes) -> RouteTable:
        return table(decode(value)["version"], ["views"])


class ThinHost:
    """Run the configuration components of a host, with its own heartbeats."""

    def __init__(self, world: "ThinWorld", ref: HostRef) -> None:
        self.world = world
        self.ref = ref
        self.routes = PeerRoutes()
        self.peers: FakePeers = world.network.join(ref, self.routes)
        self.random = random.Random(f"{world.seed} {ref.host}")
        clock = LoopClock()
        decisions = DecisionLog(ref.host, clock, output_fd=None)
        self.versions: dict[str, int] = {}
        self.backwards = 0
        self.in_force: dict[int, float] = {}
        self.announcements = Announcements(LongDocuments(), clock, decisions)
        self.announcements.on_table.append(self.put_in_force)
        down = world.network.link(world.network.down, ref.host)
        keyspace = ThinKeyspace(world.store, ref.host, down)
        epoch = keyspace.epoch
        freshness = ConfigurationFreshness(self.announcements, clock, epoch)
        UpdateServer(self.announcements, clock, freshness, epoch).register(self.routes)
        RouteTableServer(self.announcements, clock).register(self.routes)
        self.tables = RouteTableFetcher(
            ref,
            self.peers,
            self.announcements,
            self.holders,
            clock,
            self.random,
            decisions,
        )
        source = PeerUpdateSource(
            ref,
            lambda: world.relays(ref.zone),
            self.peers,
            self.announcements,
            self.tables.request_version,
            clock,
            self.random,
            decisions,
            freshness,
            epoch,
        )
        self.watch = StoreWatcher(
            keyspace, self.announcements, source, clock, self.random, freshness
        )
        self.routes.add("beat", self.answer_beat)
        self.routes.add("statement", self.answer_statement)
        self.tasks = [
            asyncio.create_task(work)
            for work in (self.watch.run(), self.beat(), self.work())
        ]

    def put_in_force(self, configuration: RouteTable) -> None:
        """Record when a version came into force; versions must not decrease."""
        now = asyncio.get_running_loop().time()
        if self.in_force and configuration.version <= max(self.in_force):
            self.backwards += 1
        self.in_force[configuration.version] = now

    def holders(self, version: int) -> list[HostRef]:
        """Return hosts of the zone that reported having a version."""
        return [
            ref
            for ref in self.world.live(self.ref.zone)
            if self.versions.get(ref.host, 0) >= version
        ]

    async def answer_beat(self, body: Json) -> Json:
        """Handle a heartbeat: exchange versions."""
        self.heard(HostRef.from_json(body["me"]), body["v"])
        return {"v": self.announcements.table.version}

    def heard(self, ref: HostRef, version: int) -> None:
        """Record a host's version."""
        self.versions[ref.host] = version
        if version > self.announcements.table.version:
            self.tables.request_version(ref, version)

    async def beat(self) -> None:
        """Exchange versions with hosts of the zone."""
        while True:
            await asyncio.sleep(HEARTBEAT_EVERY * self.random.uniform(0.8, 1.2))
            peer = self.random.choice(self.world.live(self.ref.zone))
            body = {"me": self.ref.to_json(), "v": self.announcements.table.version}
            answer = await self.asked(peer, "beat", body, HEARTBEAT_TIMEOUT)
            if answer is not None:
                self.heard(peer, answer["v"])

    async def answer_statement(self, body: Json) -> Json:
        """Run a statement."""
        return {"rows": "x" * STATEMENT_BYTES}

    async def work(self) -> None:
        """Send statements to other hosts."""
        while True:
            await asyncio.sleep(STATEMENT_EVERY * self.random.uniform(0.5, 1.5))
            peer = self.random.choice(self.world.live())
            body = {"text": "x" * STATEMENT_BYTES}
            sent = asyncio.get_running_loop().time()
            answer = await self.asked(peer, "statement", body, STATEMENT_TIMEOUT)
            self.world.statements.append((sent, answer is not None))

    async def asked(
        self, peer: HostRef, path: str, body: Json, timeout: float
    ) -> Json | None:
        """Call a host; return None if it does not answer in time."""
        try:
            return await self.peers.call(peer, path, body, timeout)
        except PeerError:
            return None

    def stop(self) -> None:
        """Stop without notice."""
        self.world.network.crash(self.ref.host)
        for task in self.tasks:
            task.cancel()


class ThinWorld:
    """Run hosts in zones, a store, and statements between hosts."""

    def __init__(self, hosts: int, zones: int, rate: float, seed: int) -> None:
        self.seed = seed
        self.network = ThinNetwork(rate, seed)
        self.store = FakeStore()
        self.refs = [
            HostRef(f"h{number}", f"z{number % zones}", f"10.0.0.{number}:1")
            for number in range(hosts)
        ]
        self.hosts: dict[str, ThinHost] = {}
        self.statements: list[tuple[float, bool]] = []
        self.version = 0
        self.written: dict[int, float] = {}
        self.names = random.Random(seed)

    async def start(self) -> None:
        """Start all hosts with a short configuration."""
        self.write_table(30)
        for ref in self.refs:
            self.hosts[ref.host] = ThinHost(self, ref)
        await asyncio.sleep(5.0)

    def write_table(self, routes: int) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        names = random.Random(self.seed)
        listed = [
            {"host": f"{names.getrandbits(64):x}", "rest": "r" * (ROUTE - 40)}
            for _ in range(routes)
        ]
        listed[self.version % routes]["rest"] = f"version {self.version}"
        value = encode({"version": self.version, "routes": listed})
        self.store.write("op", value)
        self.written[self.version] = asyncio.get_running_loop().time()

    def live(self, zone: str | None = None) -> list[HostRef]:
        """Return the running hosts."""
        return [
            host.ref
            for host in self.hosts.values()
            if zone is None or host.ref.zone == zone
        ]

    def relays(self, zone: str) -> list[HostRef]:
        """Return the hosts of a zone that follow the store."""
        refs = {ref.host: ref for ref in self.live(zone)}
        return [refs[name] for name in ranked_hosts("relay", list(refs))[:RELAYS]]

    def served(self, since: float, until: float) -> float:
        """Return the answered fraction of the statements sent in an interval."""
        ended = [done for sent, done in self.statements if since <= sent < until]
        return sum(ended) / len(ended)

    def lateness(self, version: int) -> float:
        """Return how long a version, or a later one, took to be in force everywhere."""
        written = self.written[version]
        latest = 0.0
        for host in self.hosts.values():
            times = [
                at
                for host_version, at in host.in_force.items()
                if host_version >= version
            ]
            latest = max(latest, min(times, default=float("inf")) - written)
        return latest

    def calls(self) -> Counter[str]:
        """Return the calls to the store by method."""
        return Counter(self.store.calls)

    def stop(self) -> None:
        """End all hosts."""
        for host in self.hosts.values():
            host.stop()
