"""Real hosts in virtual time, on fakes of the platform, network and targets."""

import asyncio
import random
from collections.abc import Callable
from hashlib import sha256
from typing import Any, Final, ParamSpec, TypeVar
from unittest import mock

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.test_utils import make_mocked_request

from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.configuring.editor import ConfigurationEditor
from reedhook.process.events.timeline import Event, Timeline
from reedhook.process.fleet.hostlist import (
    HostList,
    HostListEntry,
    HostListUnavailableError,
    ListedKind,
    ListedState,
)
from reedhook.process.host import Host
from reedhook.process.settings import Settings
from reedhook.process.worker import Worker
from reedhook.request.api import TRANSACTION_HANDLE, Handler, refuse_on_error
from reedhook.version.document import ConfigurationDocuments
from reedhook.wire import Json, decode, encode

from .fakes_group import FakeGroup
from .fakes_peers import FakeNetwork
from .fakes_store import FakeStore
from .trace_target import TraceMember, TraceTargets

P = ParamSpec("P")
T = TypeVar("T")

GROUP: Final = "feedlog-1"
WORKSPACE: Final = "gate"
CREDENTIAL: Final = "gate-credential"
SLOTS: Final = 2
CONNECTIONS: Final = 15
SETTLE: Final = 1.0


class InlineWorker(Worker):
    """Run functions inline; threads do not work with virtual time."""

    async def run(
        self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs
    ) -> T:
        return function(*args, **kwargs)


class TraceHostList(HostList):
    """Return the platform's host list to one host."""

    def __init__(self, world: "TraceWorld", host: str) -> None:
        self.world = world
        self.host = host

    async def hosts(self, timeout: float) -> list[HostListEntry]:
        if self.world.stores[self.host].down or self.world.store.down:
            raise HostListUnavailableError("the platform cannot be reached")
        return list(self.world.listed.values())

    async def close(self) -> None:
        return


class TraceWorld:
    """Run hosts in each zone and one group with members in some zones.

    :param zones: the number of hosts in each zone.
    :param members: the zone of each member; the first one is the initial primary.
    """

    def __init__(
        self, zones: dict[str, int], members: dict[str, str], seed: int
    ) -> None:
        self.seed = seed
        self.zones = zones
        self.homes = members
        self.network = FakeNetwork(0.0015, seed)
        self.store = FakeStore()
        self.stores: dict[str, FakeStore] = {}
        self.truth = FakeGroup(list(members))
        self.servers = {
            name: TraceMember(member, self.network, SLOTS, CONNECTIONS)
            for name, member in self.truth.members.items()
        }
        self.listed: dict[str, HostListEntry] = {}
        self.hosts: dict[str, Host] = {}
        self.dead: list[Host] = []
        self.refs = [
            HostRef(f"{zone}-{rank}", zone, "")
            for zone, size in zones.items()
            for rank in range(size)
        ]
        for port, ref in enumerate(self.refs):
            ref.address = f"127.0.0.1:{17001 + port}"

    async def start(self) -> None:
        """Start all hosts and bring a configuration into force."""
        self.truth.found(next(iter(self.homes)))
        self.truth.start()
        for name, zone in self.homes.items():
            self.list_as(name, zone, ListedState.LIVE, ListedKind.TARGET)
        for ref in self.refs:
            self.list_as(ref.host, ref.zone, ListedState.LIVE)
        await asyncio.gather(*(self.start_host(ref) for ref in self.refs))
        first_host = self.hosts[self.refs[0].host]
        await first_host.editor.apply(self.documents(), 0, "ana", "first", "edit-1")
        await asyncio.sleep(SETTLE)

    def list_as(
        self,
        name: str,
        zone: str,
        state: ListedState,
        kind: ListedKind = ListedKind.HOST,
    ) -> None:
        """Set an entry of the platform's host list."""
        self.listed[name] = HostListEntry(name, zone, self.address(name), state, kind)

    def address(self, name: str) -> str:
        addresses = [ref.address for ref in self.refs if ref.host == name]
        return (
            addresses[0]
            if addresses
            else f"127.0.0.1:{18001 + list(self.homes).index(name)}"
        )

    async def start_host(self, ref: HostRef) -> None:
        """Start a host without state."""
        clock = self.network.clock(ref.host)
        peers = self.network.join(ref, PeerRoutes())
        store = self.stores.setdefault(ref.host, FakeStore(shared=self.store))
        host = Host(
            self.settings(ref),
            clock,
            random.Random(f"{self.seed}-{ref.host}"),
            store,
            TraceHostList(self, ref.host),
            TraceTargets(self.servers, ref.host),
            Timeline(ref.host, clock),
            peers,
            MemoryMetrics(),
        )
        peers.routes = host.routes
        worker = InlineWorker()
        host.configuration.worker = worker
        host.editor = ConfigurationEditor(
            host.configuration, host.archive, clock, worker
        )
        self.hosts[ref.host] = host
        await host.start()

    def settings(self, ref: HostRef) -> Settings:
        here = "127.0.0.1:1"
        return Settings(
            host=ref.host,
            zone=ref.zone,
            listen=here,
            peer_listen=ref.address,
            admin_listen=here,
            store=here,
            hostlist=here,
            peer_credential="peers-peers-peers",
            token_secret="tokens-tokens-tokens",
            admins={},
            seeds=tuple(seed_ref.address for seed_ref in self.refs[:3]),
        )

    def documents(self) -> ConfigurationDocuments:
        """Return a configuration of the group and one workspace."""
        lines = ["services:", "  feedlog-db:"]
        lines += [f"    slots: {SLOTS}", f"    connections: {CONNECTIONS}"]
        lines += ["    groups:", f"      {GROUP}:", "        members:"]
        for name, zone in self.homes.items():
            address = self.address(name)
            lines.append(f'          {name}: {{zone: {zone}, address: "{address}"}}')
        digest = sha256(CREDENTIAL.encode()).hexdigest()
        lines += ["workspaces:", f"  {WORKSPACE}:", "    services: [feedlog-db]"]
        lines += [f"    token_sha256: {digest}", ""]
        return ConfigurationDocuments("\n".join(lines), dict.fromkeys(self.zones, ""))

    async def stop(self) -> None:
        self.truth.stop()
        for paused in list(self.network.paused):
            self.network.resume(paused)
        for host in [*self.hosts.values(), *self.dead]:
            await host.close()
        if self.network.failures:
            raise ExceptionGroup("handlers failed", self.network.failures)

    async def call(self, host: str, path: str, body: Json, handle: str = "") -> Json:
        """Send a request through the callers' interface of `host`."""
        api = self.hosts[host].api
        handlers: dict[str, Handler] = {
            "read": api.read,
            "write": api.write,
            "begin": api.begin,
            "step": api.step,
            "commit": api.commit,
            "rollback": api.rollback,
        }
        request = request_of(path, encode({**body}), handle)
        response = await refuse_on_error(api, handlers[path])(request)
        await self.network.awake(host)
        assert isinstance(response.body, bytes)
        answer: Json = decode(response.body)
        return answer

    # Faults

    def cut_zones(self, zones: list[str]) -> None:
        """Cut some zones off from the other zones and from the platform."""
        cut_hosts = {ref.host for ref in self.refs if ref.zone in zones}
        other_hosts = {ref.host for ref in self.refs if ref.zone not in zones}
        self.network.isolate(cut_hosts, other_hosts)
        self.truth.cut({name for name, home in self.homes.items() if home in zones})
        for name, home in self.homes.items():
            self.servers[name].unreachable |= (
                other_hosts if home in zones else cut_hosts
            )
        for host in cut_hosts:
            self.stores[host].down = True

    def heal(self) -> None:
        """Remove all cuts."""
        self.network.heal()
        self.network.loss = 0.0
        self.truth.cuts.clear()
        for server in self.servers.values():
            server.unreachable.clear()
        for store in self.stores.values():
            store.down = False

    def kill_host(self, name: str) -> None:
        """Kill a process."""
        host = self.hosts.pop(name)
        self.dead.append(host)
        self.network.crash(name)
        self.network.pause(name)
        for task in host.tasks:
            task.cancel()
        for server in self.servers.values():
            server.unreachable.add(name)
            server.host_died(name)

    def revive(self, member: str) -> None:
        self.truth.members[member].down = False

    # Observations

    def home(self, member: str) -> str:
        """Return the host that is home of `member`."""
        for name, host in self.hosts.items():
            if host.homes.get(member) is not None:
                return name
        raise LookupError(member)

    def leader(self) -> str:
        """Return the member promoted at the highest term."""
        return self.truth.leaders[max(self.truth.leaders)]

    def events(self) -> list[Event]:
        """Return the events of all hosts, ordered by timestamp."""
        hosts = [*self.hosts.values(), *self.dead]
        events = [event for host in hosts for event in host.timeline.events]
        return sorted(
            events, key=lambda one: (one.stamp.wall_ms, one.stamp.count, one.host)
        )


def request_of(path: str, body: bytes, handle: str) -> Any:
    """Return a request as the server passes it to the callers' interface."""
    loop = asyncio.get_running_loop()
    payload = StreamReader(BaseProtocol(loop), 2**16, loop=loop)
    payload.feed_data(body)
    payload.feed_eof()
    request = make_mocked_request(
        "POST",
        f"/v1/{path}",
        headers={
            "Authorization": f"Bearer {CREDENTIAL}",
            "Content-Length": str(len(body)),
            "Content-Type": "application/json",
        },
        payload=payload,
        client_max_size=2**20,
        loop=mock.Mock(),
    )
    request[TRANSACTION_HANDLE] = handle
    return request
