"""A model of one database group and its homes, for tests of routing.

The model records the truth: which effects ran, how often, and what each member sees at
each moment. It uses the time of the running loop.
"""

import asyncio
import random
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Final

from reedhook.clock import Clock
from reedhook.host_directory import HostDirectory
from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerRoutes
from reedhook.request.group_view import GroupView, MemberView
from reedhook.request.group_view_cache import GroupViewCache
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalReason, not_run
from reedhook.request.replica_selector import ReplicaSelector
from reedhook.request.router import Router
from reedhook.request.statement import (
    Consistency,
    Statement,
    StatementKind,
    StatementResult,
)
from reedhook.request.statement_dispatcher import StatementDispatcher
from reedhook.request.statement_executor import HomeResponse, StatementExecutor
from reedhook.version.catalog import Catalog, Group, Limits, Member
from reedhook.version.workspace import Workspace, Workspaces
from reedhook.wire import Json

from .fakes_peers import FakeNetwork

CREDENTIAL: Final = "gate-credential"
COVER_WAIT: Final = 0.02
PROOF_WAIT: Final = 0.25
PROOF_STEP: Final = 0.001
SERVICE_TIME: Final = 0.002
ZONES: Final = ("z1", "z2", "z3")


def make_group(name: str = "g1", service: str = "feedlog-db") -> Group:
    """Return a group with a member in each of three zones."""
    members = tuple(
        Member(f"{name}-{zone}", zone, f"127.0.0.1:{7000 + at}")
        for at, zone in enumerate(ZONES)
    )
    return Group(name, service, members, slots=2, connections=15)


def make_catalog(groups: list[Group], workspaces: list[Workspace]) -> Catalog:
    """Return a configuration of `groups` and `workspaces`."""
    return Catalog(
        1,
        "z1",
        {item.name: item for item in groups},
        Workspaces(workspaces),
        Limits(),
    )


def make_workspace(
    name: str, digest: str, services: frozenset[str], rate: float | None = None
) -> Workspace:
    """Return a workspace whose credential has the SHA-256 hex digest `digest`."""
    return Workspace(name, frozenset([digest]), 1, rate, rate or 0.0, services)


class FakeDirectory(HostDirectory):
    """Rank hosts in the test's order; by default those of the zone come first."""

    def __init__(self, me: HostRef, hosts: list[HostRef]) -> None:
        self.own = me
        self.hosts = hosts
        self.fixed: dict[str, list[HostRef]] = {}

    @property
    def me(self) -> HostRef:
        return self.own

    def ranked(self, member: str, zone: str) -> list[HostRef]:
        if member in self.fixed:
            return self.fixed[member]
        return sorted(self.hosts, key=lambda host: (host.zone != zone, host.host))

    def subscribe(self, callback: Callable[[], None]) -> None:
        pass


class FakeGroup(StatementExecutor):
    """Execute statements against the model.

    :ivar lags: replication lag of each replica, in seconds.
    :ivar log: the positions of all entries; `times` holds when each was written.
    :ivar view_delay: age in seconds of a home's information about other members.
    :ivar proof_interval: seconds between the samples that prove an age; 0 if each age
        is proved exactly.
    :ivar ran: how often the effect of each request ran.
    :ivar executed: statements that reached a member, by member.
    :ivar proves: whether homes check the demand of a read, as real ones do.
    :ivar frozen: whether there is no primary, so that each write is refused.
    :ivar errors: exceptions raised before the next statements of a kind run.
    """

    def __init__(self, group: Group, lag: float = 0.005) -> None:
        self.group = group
        names = [member.member_id for member in group.members]
        self.primary = names[0]
        self.term = 1
        self.lags = {name: lag for name in names}
        self.log: list[Position] = []
        self.times: list[float] = []
        self.view_delay = 0.0
        self.proof_interval = 0.0
        self.results: dict[str, Position] = {}
        self.ran: Counter[str] = Counter()
        self.executed: Counter[str] = Counter()
        self.waits: dict[str, float] = {name: 0.0 for name in names}
        self.leaving: set[str] = set()
        self.delays: dict[str, float] = {}
        self.service_time = SERVICE_TIME
        self.proves = True
        self.frozen = False
        self.errors: defaultdict[StatementKind, list[Exception]] = defaultdict(list)

    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    def head(self) -> Position:
        """Return the last position of the primary."""
        return self.log[-1] if self.log else Position(1, 0)

    def applied(self, member: str, back: float = 0.0) -> Position:
        """Return the position that reads of `member` saw `back` seconds ago."""
        if member != self.primary:
            back += self.lags[member]
        at = bisect_right(self.times, self.now() - back)
        return self.log[at - 1] if at > 0 else Position(1, 0)

    def append(self, key: str) -> Position:
        """Append an entry at the primary."""
        position = Position(self.term, self.head().index + 1)
        self.log.append(position)
        self.times.append(self.now())
        self.ran[key] += 1
        return position

    def promote(self, member: str) -> None:
        """Make `member` the primary of a new term, with all acknowledged entries."""
        self.term += 1
        self.primary = member
        self.append(f"term {self.term}")

    def view(self, member: str | None = None) -> GroupView:
        """Return the view of the home of `member`, or a complete one if None."""
        view = GroupView(self.group.name, self.term, self.primary)
        for group_member in self.group.members:
            delay = 0.0 if member in (None, group_member.member_id) else self.view_delay
            view.merge_member(self.member_view(group_member.member_id, delay))
        return view

    def member_view(self, name: str, delay: float) -> MemberView:
        """Return the information about a member `delay` seconds ago."""
        applied = self.applied(name, delay)
        return MemberView(
            name,
            applied,
            applied,
            self.now() - delay,
            self.waits[name],
            0.0 if name == self.primary else self.age(name),
            name in self.leaving,
        )

    def age(self, member: str) -> float:
        """Return the currently proved age of a replica, in seconds."""
        lag = self.lags[member]
        if self.proof_interval == 0.0:
            return lag
        return lag + (self.now() - lag) % self.proof_interval

    async def proved_age(self, member: str, bound: float) -> float:
        """Return a proved age within `bound`, after a short wait for the proof."""
        until = self.now() + PROOF_WAIT
        while self.age(member) > bound:
            behind = self.age(member) - self.lags[member]
            pause = max(0.0, self.proof_interval - behind) + PROOF_STEP
            if self.now() + pause > until:
                raise not_run(RefusalReason.AGE_UNPROVED, f"{member} is too old")
            await asyncio.sleep(pause)
        return self.age(member)

    async def execute(self, member: str, statement: Statement) -> HomeResponse:
        self.executed[member] += 1
        await asyncio.sleep(self.delays.get(member, self.service_time))
        key_seen = statement.request_id in self.results
        if self.errors[statement.kind]:
            raise self.errors[statement.kind].pop(0)
        if member in self.leaving:
            raise not_run(RefusalReason.TARGET_LEAVING, f"{member} is leaving")
        if statement.kind is StatementKind.READ:
            position, age = await self.read(member, statement)
        else:
            position, age = self.write(member, statement), 0.0
        repeated = statement.request_id is not None and key_seen
        role = "primary" if member == self.primary else "replica"
        answer = StatementResult(
            ["at"], [[position.index]], 1, member, role, position, age, repeated
        )
        return HomeResponse(answer, self.waits[member], self.view(member))

    async def read(self, member: str, statement: Statement) -> tuple[Position, float]:
        """Serve a read, or refuse it as its home would."""
        if member == self.primary:
            return self.head(), 0.0
        if statement.consistency is Consistency.FRESH:
            raise not_run(RefusalReason.NO_PRIMARY, f"{member} is not the primary")
        await self.cover(member, statement.min_position)
        if statement.consistency is Consistency.MAX_AGE:
            assert statement.max_age is not None
            age = await self.proved_age(member, statement.max_age)
            return self.applied(member), age
        return self.applied(member), self.age(member)

    async def cover(self, member: str, covers: Position | None) -> None:
        """Wait briefly until `member` covers a position."""
        if covers is None or not self.proves or self.applied(member) >= covers:
            return
        await asyncio.sleep(COVER_WAIT)
        if self.applied(member) < covers:
            raise not_run(RefusalReason.NOT_COVERED, f"{member} is behind")

    def write(self, member: str, statement: Statement) -> Position:
        """Run a write once for each request id."""
        if member != self.primary or self.frozen:
            raise not_run(RefusalReason.SUPERSEDED, f"{member} does not lead", 50)
        if statement.kind is not StatementKind.WRITE:
            return self.head()
        key = statement.request_id or statement.sql
        if statement.request_id is not None and key in self.results:
            return self.results[key]
        position = self.append(key)
        self.results[key] = position
        return position

    def refuse(self, kind: StatementKind, error: Exception) -> None:
        """Make the next statement of `kind` raise `error`, with no effect."""
        self.errors[kind].append(error)

    def routes(
        self, clock_now: Callable[[], float], member: str | None = None
    ) -> PeerRoutes:
        """Return the peer routes that the home of `member` serves."""
        routes = PeerRoutes()

        async def serve_statement(body: Json) -> Json:
            statement = Statement.from_json(body["statement"])
            served = await self.execute(body["member"], statement)
            return served.to_json(clock_now())

        async def serve_view(body: Json) -> Json:
            return {"view": self.view(member).to_json(clock_now())}

        routes.add("statement", serve_statement)
        routes.add("view", serve_view)
        return routes


def join_hosts(
    network: FakeNetwork, group: FakeGroup, zones: tuple[str, ...] = ZONES
) -> list[HostRef]:
    """Attach a host in each zone that serves as a home of `group`."""
    hosts = []
    for at, zone in enumerate(zones):
        host = HostRef(f"h{at + 1}", zone, f"127.0.0.1:{9000 + at}")
        member = group.group.members[at].member_id
        clock = network.clock(host.host)
        network.join(host, group.routes(clock.monotonic, member))
        hosts.append(host)
    return hosts


class EntryHost:
    """Assemble the components that route statements to a model of a group.

    :param local: executes at targets whose home is this host.
    """

    def __init__(
        self,
        network: FakeNetwork,
        directory: FakeDirectory,
        catalog: Callable[[], Catalog | None],
        local: StatementExecutor,
        clock: Clock,
        seed: int = 1,
    ) -> None:
        peers = network.at[directory.me.address]
        self.random = random.Random(seed)
        self.clock = clock
        self.metrics = MemoryMetrics()
        self.directory = directory
        self.views = GroupViewCache(
            clock, self.random, directory, peers, peers.routes.handlers["view"]
        )
        self.dispatch = StatementDispatcher(local, directory, peers, catalog, clock)
        self.router = Router(
            self.dispatch,
            self.views,
            ReplicaSelector(directory.me.zone, self.random),
            clock,
            self.random,
            self.metrics,
        )


class World:
    """Hold a model of a group with its three homes and separate entry hosts.

    Host ``e1`` is in zone ``z1`` and so on; none of them is a home.
    """

    def __init__(self, lag: float = 0.005, entries: int = 2, seed: int = 1) -> None:
        self.network = FakeNetwork(seed=seed)
        self.model = FakeGroup(make_group(), lag)
        self.homes = join_hosts(self.network, self.model)
        self.catalog = make_catalog([self.model.group], [])
        self.entries = [self.entry(at, seed + at) for at in range(entries)]

    def entry(self, at: int, seed: int) -> EntryHost:
        """Attach an entry host in the zone with the index `at`."""
        name = f"e{at + 1}"
        me = HostRef(name, ZONES[at], f"127.0.0.1:{9100 + at}")
        clock = self.network.clock(name)
        self.network.join(me, self.model.routes(clock.monotonic))
        directory = FakeDirectory(me, self.homes)
        return EntryHost(
            self.network, directory, lambda: self.catalog, self.model, clock, seed
        )

    async def run(self, statement: Statement, entry: int = 0) -> HomeResponse:
        """Run a statement through an entry host."""
        return await self.entries[entry].router.run(self.model.group, statement)

    async def warm(self) -> None:
        """Make each entry host fetch the view of the group."""
        for entry in self.entries:
            await entry.views.refresh(self.model.group)

    async def close(self) -> None:
        """Stop the background tasks."""
        for entry in self.entries:
            await entry.views.close()


def read(
    covers: Position | None = None,
    max_age: float | None = None,
    remaining: float = 1.0,
) -> Statement:
    """Return a session read, or a bounded one if `max_age` is given."""
    consistency = Consistency.SESSION if max_age is None else Consistency.MAX_AGE
    return Statement(
        StatementKind.READ,
        "g1",
        "gate",
        "select 1",
        [],
        remaining,
        consistency=consistency,
        min_position=covers,
        max_age=max_age,
    )


def write(request_id: str, remaining: float = 1.0) -> Statement:
    """Return a write that is not idempotent."""
    return Statement(
        StatementKind.WRITE, "g1", "gate", "pay", [], remaining, request_id=request_id
    )
