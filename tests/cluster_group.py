"""Hosts in three zones around one `FakeGroup`, in virtual time."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count

from reedhook.host_directory import HostDirectory
from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.events.timeline import Event, EventKind, Timeline
from reedhook.process.groups.group_manager import GroupManager
from reedhook.process.groups.group_promotion_coordinator import PrimaryChange
from reedhook.process.groups.group_routes import GroupRoutes
from reedhook.process.groups.local_statement_executor import LocalStatementExecutor
from reedhook.process.groups.member_control import MemberController
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.statement import Consistency, Statement, StatementKind
from reedhook.request.statement_executor import HomeResponse
from reedhook.version.catalog import Catalog, Group, Limits, Member
from reedhook.version.workspace import Workspaces

from .fakes_group import FakeFactory, FakeGroup, FakeHome, wait_for
from .fakes_peers import FakeNetwork

NAMES = ["m1", "m2", "m3"]
ZONES = {"m1": "comiso", "m2": "ragusa-office", "m3": "vittoria"}
GATE = "gate-desk"


class SharedDirectory(HostDirectory):
    """Rank the hosts of each zone in a fixed order; tests can remove hosts."""

    def __init__(self, cluster: "Cluster", ref: HostRef) -> None:
        self.cluster = cluster
        self.ref = ref

    @property
    def me(self) -> HostRef:
        return self.ref

    def ranked(self, member: str, zone: str) -> list[HostRef]:
        return [
            host.ref
            for host in self.cluster.hosts.values()
            if host.ref.zone == zone and host.ref.host not in self.cluster.gone
        ]

    def subscribe(self, callback: Callable[[], None]) -> None:
        self.cluster.subscribers.append(callback)


class ClusterHost:
    """Run the components of one host that concern the group."""

    def __init__(self, cluster: "Cluster", ref: HostRef) -> None:
        self.cluster = cluster
        self.ref = ref
        self.clock = cluster.network.clock(ref.host)
        self.routes = PeerRoutes()
        self.peers = cluster.network.join(ref, self.routes)
        self.directory = SharedDirectory(cluster, ref)
        self.timeline = Timeline(ref.host, self.clock)
        self.metrics = MemoryMetrics()
        self.factory = FakeFactory(cluster.group, cluster.truth)
        self.local: dict[str, FakeHome] = {}
        self.former: dict[str, FakeHome] = {}
        self.outcomes: list[PrimaryChange] = []
        self.lost_hosts: list[HostRef] = []
        seed = f"{cluster.seed}-{ref.host}"
        self.keeper = GroupManager(
            cluster.group,
            self.local.values,
            self.directory,
            self.peers,
            self.clock,
            random.Random(seed),
            self.timeline,
            self.metrics,
            self.outcomes.append,
            self.lost_hosts.append,
        )
        if cluster.wrap is not None:
            wrapped = cluster.wrap(ref.host, self.keeper.controller)
            self.keeper.controller = wrapped
            self.keeper.coordinator.controller = wrapped
        self.executor = LocalStatementExecutor(
            self.local.get,
            self.holding,
            lambda group: self.keeper,
            self.clock,
            ref,
        )
        GroupRoutes(
            lambda: cluster.catalog,
            self.local.get,
            lambda group: self.keeper if self.local and group == "g" else None,
            self.executor,
            self.factory,
            self.directory,
            self.clock,
        ).register(self.routes)

    def holding(self, member: str, statement: Statement) -> FakeHome:
        home = self.local.get(member) or self.former.get(member)
        if home is None:
            raise not_run(RefusalReason.UNKNOWN_TRANSACTION, "no home is here")
        return home

    async def take_home(self, member: str) -> None:
        group_member = next(
            candidate
            for candidate in self.cluster.group.members
            if candidate.member_id == member
        )
        home = FakeHome(
            self.cluster.group, group_member, self.cluster.truth.members[member]
        )
        home.lost = member in self.factory.lost
        self.local[member] = home
        await home.start()
        self.keeper.refresh()


class Cluster:
    """Set up three zones with a home and a standby each.

    :param delay: one-way delay between zones in seconds.
    :param wrap: replaces the controller of a host, by its id.
    """

    def __init__(
        self,
        seed: int = 0,
        delay: float = 0.0015,
        wrap: Callable[[str, MemberController], MemberController] | None = None,
    ) -> None:
        self.seed = seed
        self.wrap = wrap
        self.network = FakeNetwork(delay, seed)
        self.truth = FakeGroup(NAMES, delay)
        members = tuple(Member(name, ZONES[name], "127.0.0.1:1") for name in NAMES)
        self.group = Group("g", "feedlog-db", members, 2, 15)
        self.catalog = Catalog(1, "comiso", {"g": self.group}, Workspaces(), Limits())
        self.gone: set[str] = set()
        self.subscribers: list[Callable[[], None]] = []
        self.hosts: dict[str, ClusterHost] = {}
        self.ids = count()
        port = 0
        for member, zone in ZONES.items():
            for part in ("a", "b"):
                port += 1
                name = f"{member}{part}"
                ref = HostRef(name, zone, f"127.0.0.1:{port}")
                self.hosts[name] = ClusterHost(self, ref)

    def home(self, member: str) -> ClusterHost:
        """Return the host that is currently home of `member`."""
        for host in self.hosts.values():
            if member in host.local and host.ref.host not in self.gone:
                return host
        raise LookupError(member)

    async def start(self) -> None:
        self.truth.found("m1")
        self.truth.start()
        for member in NAMES:
            host = self.hosts[f"{member}a"]
            await host.take_home(member)
            await host.keeper.start()
        await asyncio.sleep(0.5)

    async def stop(self) -> None:
        self.truth.stop()
        for host in self.hosts.values():
            await host.keeper.close()
            for home in host.local.values():
                await home.close(0.0)
        if self.network.failures:
            raise self.network.failures[0]

    # Faults

    def kill_target(self, member: str) -> None:
        self.truth.members[member].down = True

    def revive_target(self, member: str) -> None:
        self.truth.members[member].down = False

    def cut_zone(self, member: str) -> None:
        """Cut the zone of `member` off from the other zones."""
        zone_hosts = {f"{member}a", f"{member}b"}
        self.network.isolate(zone_hosts, self.hosts.keys() - zone_hosts)
        self.truth.cut({member})

    def heal(self) -> None:
        self.network.heal()
        self.truth.cuts.clear()

    async def kill_host(self, host: str, listed: bool = True) -> None:
        """Stop a host at once; its zone's standby takes over if `listed`."""
        self.network.crash(host)
        dead = self.hosts[host]
        await dead.keeper.close()
        for home in dead.local.values():
            await home.close(0.0)
        if listed:
            await self.take_over(host)

    async def take_over(self, host: str) -> None:
        """Remove `host` from the directory and make its standby the home."""
        self.gone.add(host)
        standby = self.hosts[f"{host[:-1]}b"]
        for member in self.hosts[host].local:
            await standby.take_home(member)
        await standby.keeper.start()

    # Callers

    def statement(self, kind: StatementKind, sql: str, remaining: float) -> Statement:
        return Statement(kind, "g", GATE, sql, [], remaining)

    async def write(
        self,
        member: str,
        value: str,
        remaining: float = 1.0,
        request_id: str | None = None,
    ) -> Position:
        """Write through the home of `member`; return the acknowledged position."""
        statement = self.statement(StatementKind.WRITE, value, remaining)
        statement.request_id = request_id
        served = await self.home(member).executor.execute(member, statement)
        return served.result.position

    async def read(
        self,
        member: str,
        consistency: Consistency,
        covers: Position | None = None,
        max_age: float | None = None,
        remaining: float = 1.0,
    ) -> HomeResponse:
        statement = self.statement(StatementKind.READ, "", remaining)
        statement.consistency = consistency
        statement.min_position = covers
        statement.max_age = max_age
        return await self.home(member).executor.execute(member, statement)

    # Observations

    def leader(self) -> str:
        """Return the member promoted at the highest term."""
        return self.truth.leaders[max(self.truth.leaders)]

    def events(self, kind: EventKind) -> list[Event]:
        """Return the events of a kind on all hosts, ordered by timestamp."""
        matching = [
            event
            for host in self.hosts.values()
            for event in host.timeline.events
            if event.kind is kind
        ]
        return sorted(matching, key=lambda one: (one.stamp.wall_ms, one.stamp.count))

    def counted(self) -> Counter[str]:
        """Return the sums of the hosts' counters."""
        counters = (host.metrics.counters for host in self.hosts.values())
        return sum(counters, Counter())

    async def until_writable(self, limit: float = 5.0) -> float:
        """Try a write every few milliseconds until one is acknowledged.

        :returns: seconds until the acknowledgement.
        """
        started = self.now()
        done = asyncio.Event()
        tries: set[asyncio.Task[None]] = set()
        while not done.is_set():
            assert self.now() - started < limit, "writes did not resume"
            task = asyncio.create_task(self.try_write(f"probe {next(self.ids)}", done))
            tries.add(task)
            task.add_done_callback(tries.discard)
            await wait_for(done, 0.005)
        return self.now() - started

    async def try_write(self, value: str, done: asyncio.Event) -> None:
        """Write at the home of the member that was promoted last."""
        with contextlib.suppress(RefusalError):
            await self.write(self.leader(), value, 0.3)
            done.set()

    def now(self) -> float:
        return asyncio.get_running_loop().time()


@asynccontextmanager
async def cluster_of() -> AsyncIterator[Cluster]:
    """Run a cluster; stop it if the test succeeded."""
    cluster = Cluster()
    await cluster.start()
    yield cluster
    await cluster.stop()


def values(served: HomeResponse) -> list[str]:
    """Return the values that a read returned."""
    return [row[0] for row in served.result.rows]
