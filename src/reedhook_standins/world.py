"""A whole deployment in one process: stand-ins and real hosts on loopback."""

import asyncio
import random
import socket
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from hashlib import sha256
from typing import Final

import aiohttp
from aiohttp import web

from reedhook.clock import Clock, SystemClock
from reedhook.connection.target_http import HttpTargetFactory
from reedhook.connector import SingleStepConnector
from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef
from reedhook.process.assembly import serve
from reedhook.process.events.timeline import Timeline
from reedhook.process.host import Host
from reedhook.process.lifecycle import HostDaemon
from reedhook.process.network.peer_http import HttpPeers
from reedhook.process.network.peer_server import PeerServer
from reedhook.process.network.tls import TlsContexts
from reedhook.process.settings import Settings
from reedhook.version.document import ConfigurationDocuments

from .caller import Caller
from .deployment import HOSTS, Deployment, credential
from .history import History
from .member import Cut
from .partition import (
    PartitionedHostList,
    PartitionedPeers,
    PartitionedStore,
    ZonePartition,
)
from .platform import Platform
from .workload import MakeCaller

LOOPBACK: Final = "127.0.0.1"
OPERATOR: Final = "operator"
OPERATOR_CREDENTIAL: Final = "credential-of-the-operator"
PEER_CREDENTIAL: Final = "credential-of-all-hosts"
TOKEN_SECRET: Final = "secret-of-all-session-tokens"
SEEDS: Final = 3
LISTENERS: Final = 3
READY_TIMEOUT_S: Final = 20.0
READY_STEP_S: Final = 0.02


class WorldNotReady(Exception):
    """Report that the deployment did not come up in time."""


class World:
    """Run a deployment's stand-ins and hosts, and inject faults.

    :param hosts: number of entry hosts, spread over the zones.
    :ivar settings: the settings of all hosts, running or not.
    :ivar running: the running hosts by name.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        hosts: int = HOSTS,
    ) -> None:
        self.deployment = deployment
        self.clock = clock or SystemClock()
        self.random = rng or random.Random(0)
        self.platform = Platform(deployment, self.clock)
        self.zones = deployment.host_zones(hosts)
        self.settings: dict[str, Settings] = {}
        self.running: dict[str, HostDaemon] = {}
        self.http: aiohttp.ClientSession | None = None
        self.partition = ZonePartition(self.clock)

    async def __aenter__(self) -> "World":
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    async def start(self) -> None:
        """Start the stand-ins and all hosts, and apply the configuration.

        :raises WorldNotReady: if it is not in force everywhere in time.
        """
        self.http = aiohttp.ClientSession(connector=SingleStepConnector(limit=0))
        await self.platform.start()
        self.settings = self.make_settings()
        for name, settings in self.settings.items():
            self.platform.hostlist.put(name, settings.zone, settings.peer_listen)
        await asyncio.gather(*map(self.start_host, self.settings))
        await self.apply_configuration()
        await self.wait_until(self.in_force, "the configuration is not in force")
        await self.wait_until(self.all_at_home, "a target has no home")

    async def close(self) -> None:
        """Kill all hosts and stop the stand-ins."""
        await asyncio.gather(*map(self.kill_host, list(self.running)))
        await self.platform.close()
        if self.http is not None:
            await self.http.close()

    def make_settings(self) -> dict[str, Settings]:
        """Return the settings of each host, on ports that are free now."""
        ports = iter(free_addresses(LISTENERS * len(self.zones)))
        listeners = {
            name: (next(ports), next(ports), next(ports)) for name in self.zones
        }
        seeds = tuple(peer for _, peer, _ in listeners.values())[:SEEDS]
        platform = self.platform
        return {
            name: host_settings(
                name,
                zone,
                listeners[name],
                platform.store.address,
                platform.hostlist.address,
                seeds,
            )
            for name, zone in self.zones.items()
        }

    async def apply_configuration(self) -> None:
        """Apply the deployment's base file and overlays as an operator."""
        documents = ConfigurationDocuments(
            self.deployment.base_text(), self.deployment.overlay_texts()
        )
        editor = self.any_host().editor
        await editor.apply(documents, 0, OPERATOR, "first version", "first-version")

    async def wait_until(self, holds: Callable[[], bool], complaint: str) -> None:
        """Wait until a condition holds.

        :raises WorldNotReady: if it does not in time.
        """
        until = self.clock.monotonic() + READY_TIMEOUT_S
        while not holds():
            if self.clock.monotonic() > until:
                raise WorldNotReady(complaint)
            await self.clock.sleep(READY_STEP_S)

    def in_force(self) -> bool:
        """Return whether all hosts have the same configuration in force."""
        versions = {host.configuration.version for host in self.hosts()}
        return len(versions) == 1 and versions != {0}

    def all_at_home(self) -> bool:
        """Return whether each target has a home that knows its state."""
        return all(self.at_home(member) for member in self.platform.members())

    def at_home(self, member: str) -> bool:
        """Return whether some host is home of `member` and knows its state."""
        homes = [host.homes.get(member) for host in self.hosts()]
        return any(home is not None and home.state is not None for home in homes)

    def hosts(self) -> Iterable[Host]:
        """Return the running hosts."""
        for process in self.running.values():
            assert isinstance(process.host, Host)
            yield process.host

    def any_host(self) -> Host:
        """Return a running host."""
        return next(iter(self.hosts()))

    def home_of(self, member: str) -> str:
        """Return the name of the host that is home of `member`."""
        for host in self.hosts():
            if host.homes.get(member) is not None:
                return host.me.host
        raise WorldNotReady(f"{member} has no home")

    async def start_host(self, name: str) -> None:
        """Start or restart a host."""
        chooser = random.Random(self.random.random())
        settings = self.settings[name]
        tls = None if settings.tls is None else TlsContexts(settings.tls)
        process = serve(self.make_host(settings, chooser, tls), tls)
        await process.start()
        self.running[name] = process

    def make_host(
        self, settings: Settings, chooser: random.Random, tls: TlsContexts | None
    ) -> Host:
        """Return a host that is subject to the partition."""
        timeline = Timeline(settings.host, self.clock)
        me = HostRef(settings.host, settings.zone, settings.peer_listen)
        context = None if tls is None else tls.client
        peers = HttpPeers(me, settings.peer_credential, timeline, self.clock, context)
        return Host(
            settings,
            self.clock,
            chooser,
            PartitionedStore(settings.store, settings.zone, self.partition),
            PartitionedHostList(settings.hostlist, settings.zone, self.partition),
            HttpTargetFactory(settings.host),
            timeline,
            PartitionedPeers(peers, settings.zone, self.partition),
            MemoryMetrics(),
        )

    async def stop_host(self, name: str) -> None:
        """Shut a host down gracefully."""
        await self.running[name].stop()
        del self.running[name]

    async def kill_host(self, name: str) -> None:
        """Kill a host: its connections end at once, without a handover."""
        process = self.running.pop(name)
        for server in (process.caller_server, process.admin_server):
            await cut(server.runner)
        assert isinstance(process.peer_server, PeerServer)
        process.peer_server.abort()
        await process.host.close()

    def cut_target_off(self, member: str) -> None:
        """Cut a target off from its group and from all hosts; it keeps running."""
        target = self.platform.members()[member]
        target.group.partition(member)
        target.cut = Cut.HANG

    def heal_target(self, member: str) -> None:
        """Reconnect a target."""
        target = self.platform.members()[member]
        target.cut = Cut.NONE
        target.group.heal()

    def cut_zone_off(self, zone: str) -> None:
        """Cut a zone's hosts and targets off from all others and the platform.

        All of them keep running, and reach each other.
        """
        self.partition.cut_off.add(zone)
        self.feel_partition()

    def heal_zone(self, zone: str) -> None:
        """Reconnect a zone."""
        self.partition.cut_off.discard(zone)
        self.feel_partition()

    def feel_partition(self) -> None:
        """Apply the partition to the targets."""
        zones = self.target_zones()
        for name, target in self.platform.members().items():
            target.cuts = {
                host: Cut.HANG
                for host, zone in self.zones.items()
                if self.partition.separates(zone, zones[name])
            }
        for group in self.platform.groups.values():
            group.heal()
            for zone in self.partition.cut_off:
                group.partition(
                    *(member for member in group.members if zones[member] == zone)
                )

    def target_zones(self) -> dict[str, str]:
        """Return the zone of each target."""
        return {
            member: zone
            for plan in self.deployment.groups()
            for member, zone in plan.members.items()
        }

    def caller_of(self, history: History) -> MakeCaller:
        """Return a factory of callers that record to `history`."""
        assert self.http is not None
        http = self.http

        def make(name: str, workspace: str) -> Caller:
            return Caller(
                name,
                self.addresses(workspace),
                credential(workspace),
                http,
                history,
                self.clock,
                random.Random(f"{self.random.random()} {name}"),
                self.deployment.network.callers,
            )

        return make

    def addresses(self, workspace: str) -> list[str]:
        """Return the addresses of the hosts that serve the callers of a workspace."""
        zones = self.deployment.zones_of(workspace)
        return [
            settings.listen
            for settings in self.settings.values()
            if settings.zone in zones
        ]


def host_settings(
    name: str,
    zone: str,
    listeners: tuple[str, str, str],
    store: str,
    hostlist: str,
    seeds: tuple[str, ...],
) -> Settings:
    """Return the settings of a host of the stand-in world.

    :param listeners: addresses for callers, peers and operators.
    """
    listen, peer_listen, admin_listen = listeners
    return Settings(
        host=name,
        zone=zone,
        listen=listen,
        peer_listen=peer_listen,
        admin_listen=admin_listen,
        store=store,
        hostlist=hostlist,
        peer_credential=PEER_CREDENTIAL,
        token_secret=TOKEN_SECRET,
        admins={OPERATOR: sha256(OPERATOR_CREDENTIAL.encode()).hexdigest()},
        seeds=seeds,
        log_level="error",
    )


async def cut(runner: web.ServerRunner | web.AppRunner | None) -> None:
    """Stop a server without answering requests in progress.

    The handlers keep running until the host that they belong to is closed.
    """
    if runner is None or runner.server is None:
        return
    for site in list(runner.sites):
        await site.stop()
    for handler in list(runner.server.connections):
        if handler.transport is not None:
            handler.transport.abort()


def free_addresses(count: int) -> list[str]:
    """Return `count` unused loopback addresses."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [f"{LOOPBACK}:{sock.getsockname()[1]}" for sock in sockets]
