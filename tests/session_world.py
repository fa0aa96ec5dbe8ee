"""Session hosts with a store, targets and callers in one test.

world = SessionWorld()
await world.start()
caller = world.caller("h1", "views")
await caller.read()
world.check()                # compares the answers with the truth
"""

import asyncio
import random
from typing import Any

from reedhook.connection.session import Session, SessionReply
from reedhook.connection.session_state import SessionState
from reedhook.connection.session_target import StatementFault
from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.discovery.store_epoch import StoreEpoch
from reedhook.process.discovery.store_value_parser import StoreValueParser
from reedhook.process.events.timeline import Timeline
from reedhook.process.histograms import HistogramMetrics
from reedhook.process.session_host import SessionHost
from reedhook.process.session_host_settings import SessionHostSettings
from reedhook.request.session_command import SessionCommand, SessionCommandKind
from reedhook.request.verdict import Verdict
from reedhook.version.route_table import (
    Route,
    RouteConsistency,
    RouteTable,
    ServiceLimits,
    TargetAnnouncement,
)
from reedhook.version.workspace import Workspace, Workspaces, key_digest
from reedhook.wire import Json, decode, encode, wraps_decode_errors
from reedhook_standins.database import DatabaseGroup
from reedhook_standins.promises import Acknowledged, GuaranteeChecker, Sent, Viewer

from .fakes_clock import LoopClock
from .fakes_keyspace import FakeStore
from .fakes_members import FakeDriver, FakePhrases, FakePromoter, Slots
from .fakes_peers import FakeNetwork

SERVICE = "db"
TABLE_KEY = "op"
TARGET_PREFIX = "t/"
KINDS = {
    SessionCommandKind.READ: "READ a",
    SessionCommandKind.WRITE: "WRITE a b",
    SessionCommandKind.BEGIN: "BEGIN",
    SessionCommandKind.BEGIN_READ: "BEGIN READ",
    SessionCommandKind.COMMIT: "COMMIT",
    SessionCommandKind.ROLLBACK: "ROLLBACK",
}
MAX_AGE = 1.5
KINDS_OF_ROUTES = {
    "tickets": (RouteConsistency.PRIMARY, None),
    "views": (RouteConsistency.BOUNDED, MAX_AGE),
    "reports": (RouteConsistency.OWN_WRITES, 2.5),
}


class PlainDocuments(StoreValueParser):
    """Parse the documents that a world writes."""

    def is_table(self, key: str) -> bool:
        return key == TABLE_KEY

    def is_target(self, key: str) -> bool:
        return key.startswith(TARGET_PREFIX)

    def target_of(self, key: str) -> str:
        return key[len(TARGET_PREFIX) :]

    def target_key(self, target: str) -> str:
        return TARGET_PREFIX + target

    def without_keys(self, value: bytes) -> bytes:
        message = decode(value)
        for workspace in message.get("workspaces", []):
            workspace["keys"] = [
                key if key.startswith("#") else f"#{key_digest(key)}"
                for key in workspace["keys"]
            ]
        return encode(message)

    @wraps_decode_errors
    def read_table(self, value: bytes) -> RouteTable:
        message = decode(value)
        return table(
            message["version"],
            message["routes"],
            message.get("workspaces"),
            message.get("sync_replicas", 0),
        )

    @wraps_decode_errors
    def read_target(self, key: str, value: bytes) -> TargetAnnouncement:
        return TargetAnnouncement(*decode(value)["entry"])


def table(
    version: int,
    databases: list[str],
    workspaces: list[Json] | None = None,
    sync_replicas: int = 0,
) -> RouteTable:
    """Return a configuration with the named databases.

    :param workspaces: with their keys, or digests after a ``#``; without any, all
        routes are public.
    """
    routes = {}
    for name in databases:
        kind, max_age = KINDS_OF_ROUTES[name]
        public = workspaces is None
        routes[name] = Route(name, SERVICE, kind, 0.8, 0.1, 1, max_age, public)
    return RouteTable(
        version,
        routes,
        {SERVICE: ServiceLimits(SERVICE, 16, sync_replicas)},
        3.0,
        3.0,
        Workspaces(read_workspace(workspace) for workspace in workspaces or []),
    )


def read_workspace(one: Json) -> Workspace:
    """Parse a workspace of a world's configuration."""
    digests = frozenset(key.removeprefix("#") for key in one["keys"])
    rate = one.get("rate")
    burst = float(one.get("burst") or rate or 0.0)
    return Workspace(one["name"], digests, 1, rate, burst)


class SessionWorld:
    """Run six hosts in three zones before one group of three members."""

    def __init__(
        self,
        seed: int = 0,
        zones: int = 3,
        hosts_a_zone: int = 2,
        weak: frozenset[str] = frozenset(),
        network: FakeNetwork | None = None,
    ) -> None:
        self.weak = weak
        self.seed = seed
        self.network = network or FakeNetwork(delay=0.0014, seed=seed)
        self.slots: dict[str, Slots] = {}
        self.store = FakeStore()
        names = [f"z{index}" for index in range(zones)]
        self.group = DatabaseGroup(SERVICE, names[:3])
        self.promoter = FakePromoter([self.group])
        self.refs = [
            HostRef(f"h{zone}{index}", f"z{zone}", f"10.1.{zone}.{index}:1")
            for zone in range(zones)
            for index in range(hosts_a_zone)
        ]
        self.hosts: dict[str, SessionHost] = {}
        self.lives = 0
        self.promises = GuaranteeChecker(self.group, asyncio.get_running_loop().time)
        self.promises.watch()
        self.callers = 0

    @property
    def acknowledged(self) -> list[Acknowledged]:
        """Return the acknowledged commits."""
        return self.promises.acknowledged

    async def start(self) -> None:
        """Start all hosts and wait for a holder of the primary lease."""
        self.configure(1, ["tickets", "views", "reports"])
        for member in self.group.members.values():
            self.announce(member.entry)
        for ref in self.refs:
            await self.start_host(ref)
        await asyncio.sleep(6.0)

    def configure(
        self,
        version: int,
        databases: list[str],
        workspaces: list[Json] | None = None,
    ) -> None:
        """Write a configuration."""
        message: Json = {"version": version, "routes": databases}
        if workspaces is not None:
            message["workspaces"] = workspaces
        if self.group.sync_replicas:
            message["sync_replicas"] = self.group.sync_replicas
        self.store.write(TABLE_KEY, encode(message))

    def announce(self, entry: TargetAnnouncement) -> None:
        """Write a target's announcement."""
        value = encode({"entry": list(entry.values())})
        self.store.write(TARGET_PREFIX + entry.target, value)

    async def start_host(self, ref: HostRef) -> SessionHost:
        """Start a host, as a new incarnation if it ran before."""
        self.lives += 1
        clock = self.network.clock(ref.host)
        routes = PeerRoutes()
        cores = 0.5 if ref.host in self.weak else 2.0
        decisions = DecisionLog(ref.host, clock, output_fd=None)
        metrics = HistogramMetrics()
        settings = self.settings_of(
            ref.host, ref.zone, "", "", ref.address, "", "", "", 6.0, cores, 1000.0
        )
        host = SessionHost(
            settings,
            clock,
            random.Random(f"{self.seed} {self.lives}"),
            self.store.client(ref.host, StoreEpoch(decisions, metrics)),
            PlainDocuments(),
            self.promoter,
            FakeDriver(ref.host, [self.group], self.slots),
            FakePhrases(),
            self.network.join(ref, routes),
            Timeline(ref.host, clock),
            decisions,
            metrics,
        )
        routes.handlers.update(host.routes.handlers)
        self.hosts[ref.host] = host
        await host.start()
        return host

    def settings_of(self, *values: Any) -> SessionHostSettings:
        """Return the settings of a host; `values` are `SessionHostSettings` fields."""
        return SessionHostSettings(*values)

    async def kill(self, name: str) -> None:
        """Kill a process; its connections break."""
        host = self.hosts.pop(name)
        self.network.crash(name)
        host.background.cancel()
        for lead in [
            *host.primary_leases.held.values(),
            *host.primary_leases.backup_holders.by_service.values(),
        ]:
            lead.stop()
        for member in self.group.members.values():
            for connection in list(member.connections):
                if connection.host == name:
                    connection.close()

    async def restart(self, name: str) -> SessionHost:
        """Kill a process and start it again."""
        ref = next(host_ref for host_ref in self.refs if host_ref.host == name)
        if name in self.hosts:
            await self.kill(name)
        return await self.start_host(ref)

    async def stop(self) -> None:
        """End all hosts."""
        for name in list(self.hosts):
            await self.hosts.pop(name).close()

    def leader(self) -> SessionHost:
        """Return the host that the store names as the holder of the primary lease."""
        holder = decode(self.store.items["reedhook/lead/db"].value or b"")["holder"]
        return self.hosts[holder["ref"][0]]

    def backup_holder(self) -> SessionHost:
        """Return the backup holder."""
        record = decode(self.store.items["reedhook/lead/db"].value or b"")
        return self.hosts[record["deputy"]["ref"][0]]

    async def appoint_coordinator(self, host: str) -> None:
        """Have a host claim the role of the promotion coordinator."""
        role = self.hosts[host].coordinator_role
        reading = await role.read()
        assert reading is not None
        assert await role.claim(reading)

    async def caller(self, host: str, database: str, key: str = "") -> "Caller":
        """Open a session.

        :raises RefusalError: if the host refuses.
        """
        session = await self.hosts[host].caller_sessions.open_session(database, key)
        self.callers += 1
        return Caller(self, session, f"c{self.callers}")

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the others, and from the store."""
        zone_hosts = {host_ref.host for host_ref in self.refs if host_ref.zone == zone}
        other_hosts = {host_ref.host for host_ref in self.refs} - zone_hosts
        self.network.isolate(zone_hosts, other_hosts)
        self.store.silent |= zone_hosts
        for member in self.group.members.values():
            unreachable = other_hosts if member.entry.zone == zone else zone_hosts
            for host in unreachable:
                self.group.cut(host, member.entry.target)
            for peer in self.group.members.values():
                if (peer.entry.zone == zone) != (member.entry.zone == zone):
                    self.group.cut(member.entry.target, peer.entry.target)

    def heal(self) -> None:
        """Remove all cuts."""
        self.network.heal()
        self.store.silent.clear()
        self.group.cuts.clear()

    def check(self) -> None:
        """Fail with the violated guarantees."""
        self.promises.check_synchronous()
        broken = [
            *self.network.failures,
            *self.group.violations,
            *self.promises.violations,
        ]
        if broken:
            raise AssertionError("\n".join(map(str, broken)))
        tokens = [token for _, _, token in self.group.promotions]
        assert tokens == sorted(tokens)


class Caller:
    """Run one caller, which checks every answer."""

    def __init__(self, world: SessionWorld, session: Session, name: str) -> None:
        self.world = world
        self.session = session
        self.name = name
        self.sent = 0
        self.values: dict[str, str] = {}
        self.prepared: dict[str, bool] = {}
        self.transaction = ""
        self.begun_at = 0.0
        self.wrote = False

    async def run(
        self,
        kind: SessionCommandKind,
        text: str = "",
        name: str = "",
        writes: bool = False,
    ) -> SessionReply:
        """Send one statement and check its answer."""
        self.sent += 1
        id = f"{self.name}-{self.sent}"
        sent_at = asyncio.get_running_loop().time()
        in_transaction = self.session.state is SessionState.OPEN
        command = SessionCommand(kind, text or KINDS[kind], name, writes)
        if kind is SessionCommandKind.BEGIN or kind is SessionCommandKind.BEGIN_READ:
            self.transaction = id
        self.world.promises.sent[id] = Sent(
            command.text,
            self.transaction if in_transaction else "",
            dict(self.values),
            dict(self.prepared),
        )
        reply = await self.session.run(id, command)
        done = reply.fault is StatementFault.NONE and reply.refusal is None
        if kind is SessionCommandKind.BEGIN or kind is SessionCommandKind.BEGIN_READ:
            self.begun_at, self.wrote = sent_at, False
        if done and reply.rows:
            self.check_read(reply, self.begun_at if in_transaction else sent_at)
        if done and kind is SessionCommandKind.WRITE and in_transaction:
            self.wrote = True
        commits = kind is SessionCommandKind.COMMIT and self.wrote
        if done and (
            commits or (kind is SessionCommandKind.WRITE and not in_transaction)
        ):
            self.acknowledge(reply)
        if not done and reply.refusal is not None:
            self.check_refusal(id, kind, reply, in_transaction)
        return reply

    async def read(self) -> SessionReply:
        """Read outside transactions."""
        return await self.run(SessionCommandKind.READ)

    async def write(self) -> SessionReply:
        """Write outside transactions."""
        return await self.run(SessionCommandKind.WRITE)

    async def set(self, name: str, value: str) -> SessionReply:
        """Set a session variable."""
        reply = await self.run(SessionCommandKind.SET, f"SET {name} {value}", name)
        if reply.refusal is None:
            self.values[name] = value
        return reply

    async def prepare(self, name: str, writes: bool) -> SessionReply:
        """Prepare a statement, or replace a prepared one."""
        shape = "WRITE" if writes else "READ"
        text = f"PREPARE {name} {shape} q"
        reply = await self.run(SessionCommandKind.PREPARE, text, name, writes)
        if reply.refusal is None:
            self.prepared[name] = writes
        return reply

    def acknowledge(self, reply: SessionReply) -> None:
        """Record a commit; one at a superseded primary is a violation."""
        assert reply.position is not None
        if reply.position.term < self.world.group.primary.term:
            self.world.promises.broken(
                f"{self.name} was told of a commit at a superseded primary"
            )
        self.world.promises.acknowledge(self.name, reply.position, self.session.name)

    def check_read(self, reply: SessionReply, asked: float) -> None:
        """Check that a read saw every commit it must see."""
        kind, max_age = KINDS_OF_ROUTES[self.session.database]
        viewer = Viewer(
            self.name, self.session.name, kind, max_age, self.values, self.prepared
        )
        self.world.promises.read(viewer, reply.rows[0], asked)

    def check_refusal(
        self, id: str, kind: SessionCommandKind, reply: SessionReply, inside: bool
    ) -> None:
        """Check that a write answered "not run" has not run."""
        assert reply.refusal is not None
        if reply.refusal.verdict is not Verdict.NOT_RUN or inside:
            return
        if kind is not SessionCommandKind.WRITE:
            return
        if any(id in member.runs for member in self.world.group.members.values()):
            # A member that refused it did not run it either.
            if reply.refusal.reason.value not in ("no_primary", "wrong_home"):
                self.world.promises.broken(f"{id} ran and was said not to have run")


def clock_of(world: SessionWorld, host: str) -> LoopClock:
    """Return the clock of a host."""
    return world.network.clock(host)
