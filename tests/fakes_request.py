"""A model of one database group and its homes, for tests of routing.

The model keeps the truth: which effects ran, how often, and what each member
sees at each moment. Time is that of the running loop.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Final

from reedhook.process.directory import Directory
from reedhook.process.peer import HostRef, PeerRoutes
from reedhook.request.execution import Execution, Served
from reedhook.request.position import Position
from reedhook.request.refusal import Reason, not_run
from reedhook.request.statement import Answer, Consistency, Kind, Statement
from reedhook.request.view import GroupView, MemberView
from reedhook.version.catalog import Catalog, Group, Limits, Member, Team
from reedhook.wire import Json

from .fakes_peers import FakeNetwork

CREDENTIAL: Final = "gate-credential"
COVER_WAIT: Final = 0.02
SERVICE_TIME: Final = 0.002
ZONES: Final = ("z1", "z2", "z3")


def make_group(name: str = "g1", service: str = "feedlog-db") -> Group:
    """Return a group with a member in each of three zones."""
    members = tuple(
        Member(f"{name}-{zone}", zone, f"127.0.0.1:{7000 + at}")
        for at, zone in enumerate(ZONES)
    )
    return Group(name, service, members, slots=2, connections=15)


def make_catalog(groups: list[Group], teams: list[Team]) -> Catalog:
    """Return a configuration of `groups` and `teams`."""
    return Catalog(
        1,
        "z1",
        {one.name: one for one in groups},
        {one.name: one for one in teams},
        Limits(),
    )


def make_team(
    name: str, digest: str, services: frozenset[str], rate: float | None = None
) -> Team:
    """Return a team whose credential has the SHA-256 hex digest `digest`."""
    return Team(name, services, digest, priority=1, rate=rate)


class FakeDirectory(Directory):
    """Rank hosts as the test says; by default those of the zone go first."""

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


class Write:
    """Keep one entry of the model's log and when the primary wrote it."""

    def __init__(self, position: Position, at: float, key: str) -> None:
        self.position = position
        self.at = at
        self.key = key


class FakeGroup(Execution):
    """Execute statements against the model.

    :ivar lags: how long each replica is behind, in seconds.
    :ivar log: the entries that hold; a promotion drops those that the new
        primary has not got.
    :ivar ran: how often the effect of each request ran.
    :ivar executed: statements that reached a member, by member.
    :ivar errors: what the next statements of a kind raise before they run.
    """

    def __init__(self, group: Group, lag: float = 0.005) -> None:
        self.group = group
        names = [one.member for one in group.members]
        self.primary = names[0]
        self.term = 1
        self.lags = {name: lag for name in names}
        self.log: list[Write] = []
        self.results: dict[str, Position] = {}
        self.ran: Counter[str] = Counter()
        self.executed: Counter[str] = Counter()
        self.waits: dict[str, float] = {name: 0.0 for name in names}
        self.leaving: set[str] = set()
        self.delays: dict[str, float] = {}
        self.service_time = SERVICE_TIME
        self.errors: defaultdict[Kind, list[Exception]] = defaultdict(list)

    def now(self) -> float:
        """Return the time of the loop."""
        return asyncio.get_running_loop().time()

    def head(self) -> Position:
        """Return the last position of the primary."""
        return self.log[-1].position if self.log else Position(1, 0)

    def applied(self, member: str) -> Position:
        """Return the position that reads of `member` see now."""
        if member == self.primary:
            return self.head()
        horizon = self.now() - self.lags[member]
        seen = Position(1, 0)
        for write in reversed(self.log):
            if write.at <= horizon:
                return write.position
        return seen

    def append(self, key: str) -> Position:
        """Write an entry at the primary."""
        position = Position(self.term, self.head().index + 1)
        self.log.append(Write(position, self.now(), key))
        self.ran[key] += 1
        return position

    def promote(self, member: str) -> None:
        """Make `member` the primary of a new term, with all that was acknowledged."""
        self.term += 1
        self.primary = member
        self.append(f"term {self.term}")

    def view(self) -> GroupView:
        """Return what a home knows; replicas' ages are exact."""
        now = self.now()
        view = GroupView(self.group.name, self.term, self.primary)
        for one in self.group.members:
            name = one.member
            lag = 0.0 if name == self.primary else self.lags[name]
            applied = self.applied(name)
            view.learn(
                MemberView(
                    name,
                    applied,
                    applied,
                    now,
                    self.waits[name],
                    lag,
                    name in self.leaving,
                )
            )
        return view

    async def execute(self, member: str, statement: Statement) -> Served:
        self.executed[member] += 1
        await asyncio.sleep(self.delays.get(member, self.service_time))
        key_seen = statement.request_id in self.results
        if self.errors[statement.kind]:
            raise self.errors[statement.kind].pop(0)
        if member in self.leaving:
            raise not_run(Reason.TARGET_LEAVING, f"{member} is leaving")
        if statement.kind is Kind.READ:
            position, age = await self.read(member, statement)
        else:
            position, age = self.write(member, statement), 0.0
        repeated = statement.request_id is not None and key_seen
        role = "primary" if member == self.primary else "replica"
        answer = Answer(
            ["at"], [[position.index]], 1, member, role, position, age, repeated
        )
        return Served(answer, self.waits[member], self.view())

    async def read(self, member: str, statement: Statement) -> tuple[Position, float]:
        """Serve a read, or refuse it as its home would."""
        if member == self.primary:
            return self.head(), 0.0
        if statement.consistency is Consistency.FRESH:
            raise not_run(Reason.NO_PRIMARY, f"{member} is not the primary")
        await self.cover(member, statement.covers)
        age = self.lags[member]
        if statement.consistency is Consistency.MAX_AGE:
            assert statement.max_age is not None
            if age > statement.max_age:
                raise not_run(Reason.AGE_UNPROVED, f"{member} is too old")
        return self.applied(member), age

    async def cover(self, member: str, covers: Position | None) -> None:
        """Wait a little until `member` covers a position."""
        if covers is None or self.applied(member) >= covers:
            return
        await asyncio.sleep(COVER_WAIT)
        if self.applied(member) < covers:
            raise not_run(Reason.NOT_COVERED, f"{member} is behind")

    def write(self, member: str, statement: Statement) -> Position:
        """Run a write once for each request id."""
        if member != self.primary:
            raise not_run(Reason.SUPERSEDED, f"{member} does not lead", 50)
        if statement.kind is not Kind.WRITE:
            return self.head()
        key = statement.request_id or statement.sql
        if statement.request_id is not None and key in self.results:
            return self.results[key]
        position = self.append(key)
        self.results[key] = position
        return position

    def refuse(self, kind: Kind, error: Exception) -> None:
        """Let a coming statement of `kind` raise `error`, with no effect."""
        self.errors[kind].append(error)

    def routes(self, clock_now: Callable[[], float]) -> PeerRoutes:
        """Return the peer paths that a home of this group serves."""
        routes = PeerRoutes()

        async def serve_statement(body: Json) -> Json:
            statement = Statement.from_json(body["statement"])
            served = await self.execute(body["member"], statement)
            return served.to_json(clock_now())

        async def serve_view(body: Json) -> Json:
            return {"view": self.view().to_json(clock_now())}

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
        network.join(host, group.routes(network.clock(host.host).monotonic))
        hosts.append(host)
    return hosts
