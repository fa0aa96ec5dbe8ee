"""Fake hosts that serve the operators' API, without targets or a real network."""

import asyncio
import hashlib
from typing import Any

from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerClient, PeerError, PeerRoutes
from reedhook.process.administration.admin_fleet import FleetQueries
from reedhook.process.administration.admin_source import AdminSource
from reedhook.process.administration.admin_status import (
    HostPhase,
    HostStatus,
    KnownHost,
)
from reedhook.process.events.timeline import Timeline
from reedhook.request.group_view import GroupView, MemberView
from reedhook.request.position import Position
from reedhook.version.catalog import Catalog, Group, Limits, Member
from reedhook.version.workspace import Workspaces
from reedhook.wire import Json, decode, encode

from .timeline_fakes import START_MS, HandClock

CREDENTIAL = "anna-credential-1"
DIGESTS = {"anna": hashlib.sha256(CREDENTIAL.encode()).hexdigest()}
HEADERS = {"Authorization": f"Bearer {CREDENTIAL}"}
ZONES = {"a": "vittoria", "b": "comiso", "c": "ispica"}


def a_group() -> Group:
    """Return a group with one member in each zone."""
    members = tuple(
        Member(f"feedlog-1-{name}", zone, f"127.0.0.1:1900{number}")
        for number, (name, zone) in enumerate(ZONES.items())
    )
    return Group("feedlog-1", "feedlog-db", members, 2, 15)


class FakeSource(AdminSource):
    """Return the state of a host as described by the test.

    :ivar draining: whether a drain was requested.
    """

    def __init__(self, me: HostRef, network: "FakeNetwork") -> None:
        self.me = me
        self.network = network
        self.clock = HandClock(START_MS / 1000)
        self.timeline = Timeline(me.host, self.clock)
        self.version = 7
        self.draining = False
        self.kept = MemoryMetrics()
        self.known: Catalog | None = Catalog(
            7, me.zone, {"feedlog-1": a_group()}, Workspaces(), Limits()
        )

    def now(self) -> float:
        return 100.0

    def status(self) -> HostStatus:
        return HostStatus(
            host=self.me.host,
            zone=self.me.zone,
            address=self.me.address,
            state=HostPhase.DRAINING if self.draining else HostPhase.SERVING,
            version=self.version,
            in_force_ms=START_MS,
            started_ms=START_MS,
            active=0,
            homes=(),
            rejected_stamps=0,
        )

    def known_hosts(self) -> list[KnownHost]:
        return [
            KnownHost(
                source.me.host,
                source.me.zone,
                source.me.address,
                "live",
                source.version,
            )
            for source in self.network.sources.values()
        ]

    def others(self) -> list[HostRef]:
        sources = self.network.sources.values()
        return [source.me for source in sources if source is not self]

    def catalog(self) -> Catalog | None:
        return self.known

    async def view(self, group: Group) -> GroupView:
        view = GroupView(group.name, 3, "feedlog-1-a")
        at = Position(3, 40)
        view.merge_member(MemberView("feedlog-1-a", at, at, 99.9, 0.002))
        view.merge_member(MemberView("feedlog-1-b", at, at, 99.8, 0.001, 0.25))
        return view

    def home(self, member: str, zone: str) -> HostRef | None:
        return None if member == "feedlog-1-c" else self.me

    def start_drain(self) -> None:
        self.draining = True

    def metrics(self) -> MemoryMetrics | None:
        return self.kept


class FakeNetwork(PeerClient):
    """Pass calls between fake hosts as JSON.

    :ivar cut: hosts that answer nothing.
    :ivar malformed: hosts that return malformed answers.
    :ivar most: the maximum number of concurrent calls.
    """

    def __init__(self, hosts: int = 3) -> None:
        self.sources: dict[str, FakeSource] = {}
        self.routes: dict[str, PeerRoutes] = {}
        self.cut: set[str] = set()
        self.malformed: set[str] = set()
        self.running = 0
        self.most = 0
        for number in range(1, hosts + 1):
            ref = HostRef(
                f"vittoria-{number}", "vittoria", f"127.0.0.1:{20000 + number}"
            )
            source = self.sources[ref.host] = FakeSource(ref, self)
            routes = self.routes[ref.host] = PeerRoutes()
            FleetQueries(source, self).register(routes)

    def fleet(self) -> FleetQueries:
        """Return the fleet queries of the first host."""
        return FleetQueries(self.sources["vittoria-1"], self)

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(0)
        self.running -= 1
        if peer.host in self.cut:
            raise PeerError("no answer in time", sent=True)
        if peer.host in self.malformed:
            return {"odd": 1}
        handler = self.routes[peer.host].handlers[path]
        answer: Any = await handler(decode(encode(body)))
        return decode(encode(answer))

    async def close(self) -> None:
        return
