"""The systems around the hosts of the soak test: store, group, promotion endpoint."""

import asyncio
from typing import Final

import orjson
from aiohttp import web

from reedhook.platform import documents

from ..database import DatabaseGroup, DatabaseMember
from ..keyvalue import KeyValueStandIn
from ..wiredatabase import WireDatabase
from .caller import ROUTES
from .proxy import MemberProxy, ProxyLink

SERVICE: Final = "db"
REPORT_EVERY: Final = 0.3
"""Seconds between two checks for changed target announcements."""

SILENT_FOR: Final = 3.0
"""Seconds after which a stopped target is no longer announced."""

COPY_EVERY: Final = 0.5
"""Seconds between two copies of the store."""

MOST_COPIES: Final = 16
"""Copies kept after the first one; must reach back beyond the oldest restore."""

CONNECTIONS: Final = 16
CONNECTIONS_A_HOST: Final = 2
"""Connections of a target, and more of them for the long transactions at each host."""

KINDS: Final = {kind: word for word, kind in documents.ROUTE_KINDS.items()}


class SoakEnvironment:
    """Run the platform and the targets in the current process.

    :param sync_replicas: replicas that receive a commit before it is acknowledged.
    :ivar links: between hosts and targets, by host and target.
    :ivar changing_members: held by a fault that acts on several targets.
    """

    def __init__(
        self, zones: list[str], hosts: list[str], sync_replicas: int = 0
    ) -> None:
        self.hosts = hosts
        self.store = KeyValueStandIn()
        self.connections = CONNECTIONS + CONNECTIONS_A_HOST * len(hosts)
        self.group = DatabaseGroup(SERVICE, zones, self.connections)
        self.group.sync_replicas = sync_replicas
        self.changing_members = asyncio.Lock()
        self.servers: dict[str, WireDatabase] = {}
        self.proxies: dict[str, MemberProxy] = {}
        self.links = {
            (host, target): ProxyLink()
            for host in hosts
            for target in self.group.members
        }
        self.announced: dict[str, bytes | None] = {}
        self.down_since: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.version = 0
        self.configuration = b""
        self.promotions = ""
        self.runner: web.AppRunner | None = None
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all systems."""
        await self.store.start()
        for target, member in self.group.members.items():
            server = self.servers[target] = WireDatabase(member)
            await server.start()
            links = {host: self.links[host, target] for host in self.hosts}
            proxy = self.proxies[target] = MemberProxy(server.address, links)
            await proxy.start()
        await self.start_promotions()
        self.configure()
        # The first copy holds the first announcements and no record of a host.
        self.tasks.append(asyncio.create_task(self.report()))
        self.tasks.append(asyncio.create_task(self.keep_copies()))

    async def start_promotions(self) -> None:
        """Listen for promotion requests."""
        app = web.Application()
        app.router.add_post("/promotion", self.promote)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.promotions = f"{host}:{port}"

    async def promote(self, request: web.Request) -> web.Response:
        """Promote a target, and record the holder and its fencing token."""
        body = orjson.loads(await request.read())
        holder = request.headers["Duty-Holder"]
        token = int(request.headers["Fencing-Token"])
        self.group.promotions.append((body["id"], holder, token))
        member = self.group.members[body["id"]]
        if member.down:
            return web.Response(status=409)
        self.group.spawn(self.group.promote(body["id"]))
        return web.Response(status=200)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        routes = [
            {
                "host": name,
                "service": SERVICE,
                "kind": KINDS[kind],
                "timeout_ms": 800,
                "target_latency_ms": 200,
                **({} if age is None else {"max_staleness_ms": int(age * 1000)}),
            }
            for name, (kind, age) in ROUTES.items()
        ]
        message = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
                    "connection_limit": self.connections,
                    "sync_replicas": self.group.sync_replicas,
                }
            ],
            "limits": {"transaction_idle_ms": 3000},
        }
        self.configuration = orjson.dumps(message)
        self.store.write("op/config", self.configuration)

    async def report(self) -> None:
        """Announce the targets as they change, until cancelled."""
        while True:
            for member in self.group.members.values():
                self.announce(member)
            await asyncio.sleep(REPORT_EVERY)

    def announce(self, member: DatabaseMember) -> None:
        """Write a target's announcement if it has changed."""
        target = member.entry.target
        now = asyncio.get_running_loop().time()
        if not member.down:
            self.down_since.pop(target, None)
        since = self.down_since.setdefault(target, now) if member.down else now
        value: bytes | None = None
        if now - since < SILENT_FOR:
            message = {
                "service": SERVICE,
                "address": self.proxies[target].address,
                "zone": member.entry.zone,
                "born": member.entry.started_at_ms,
                "slots": member.entry.slots,
                "sequence": member.entry.sequence,
                "state": "draining" if target in self.leaving else "ready",
                "database_role": "primary" if member.leads else "replica",
            }
            value = orjson.dumps(message)
        if not member.down or value is None:
            if self.announced.get(target) != value:
                self.announced[target] = value
                self.store.write(f"servers/{target}", value)

    def scribble(self, target: str) -> None:
        """Overwrite a target's store entry with invalid data for a moment."""
        self.announced[target] = None
        self.store.write(f"servers/{target}", b'{"state": 7}')

    async def keep_copies(self) -> None:
        """Copy the store at intervals, until cancelled."""
        while True:
            self.store.save()
            del self.store.copies[1:-MOST_COPIES]
            await asyncio.sleep(COPY_EVERY)

    def restore_store(self, seconds_ago: float) -> float:
        """Return the store to its newest copy of at least that age, or its first one.

        :returns: the age of the copy in seconds.
        """
        now = asyncio.get_running_loop().time()
        if not self.store.restore(seconds_ago):
            self.store.restore(now - self.store.copies[0].saved_at)
        return now - self.store.copies[-1].saved_at

    def write_again(self) -> None:
        """Write the configuration and all announcements again."""
        self.store.write("op/config", self.configuration)
        # Differs from every announcement, and from one that was withdrawn.
        self.announced = dict.fromkeys(self.group.members, b"")

    def reset_links(self, host: str) -> None:
        """Break the connections of a host to all targets."""
        for target, proxy in self.proxies.items():
            proxy.reset(self.links[host, target])

    def heal(self) -> None:
        """Clear all faults."""
        for link in self.links.values():
            link.heal()
        self.store.silent = False
        self.store.status = 0
        self.store.unanswered = None
        self.leaving.clear()
        for member in self.group.members.values():
            member.heal()

    async def stop(self) -> None:
        """Stop all systems."""
        for task in self.tasks:
            task.cancel()
        for proxy in self.proxies.values():
            await proxy.stop()
        for server in self.servers.values():
            await server.stop()
        if self.runner is not None:
            await self.runner.cleanup()
        await self.store.stop()
