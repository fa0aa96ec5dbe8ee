"""Hosts with membership and heartbeats on a fake network."""

import asyncio
import random
from collections.abc import Iterable

from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.events.timeline import Timeline
from reedhook.process.fleet.heartbeat import Heartbeats
from reedhook.process.fleet.membership import Membership
from reedhook.process.fleet.membership_directory import MembershipDirectory
from reedhook.process.fleet.membership_record import MembershipState

from .fakes_peers import FakeNetwork


class FakeHost:
    """Run the membership of one host.

    :ivar stopped: whether the host crashed.
    :ivar task: the heartbeat task; cancel it to stop the host.
    """

    def __init__(
        self, network: FakeNetwork, ref: HostRef, seeds: Iterable[str], seed: int = 0
    ) -> None:
        self.ref = ref
        self.network = network
        self.clock = network.clock(ref.host)
        self.timeline = Timeline(ref.host, self.clock)
        self.routes = PeerRoutes()
        self.peers = network.join(ref, self.routes)
        rng = random.Random(f"{ref.host}{seed}")
        self.membership = Membership(ref, self.clock, rng, self.timeline)
        self.table = self.membership.table
        self.directory = MembershipDirectory(ref, self.table)
        self.heartbeats = Heartbeats(
            self.membership, self.peers, self.clock, rng, seeds
        )
        self.heartbeats.register(self.routes)
        self.stopped = False
        self.task = asyncio.create_task(self.heartbeats.run())

    def state(self, host: str) -> MembershipState | None:
        """Return the state of `host` in this host's view."""
        record = self.table.get(host)
        return None if record is None else record.state

    def live(self) -> set[str]:
        """Return the ids of the hosts that are live in this host's view."""
        return {ref.host for ref in self.table.refs()}

    def crash(self) -> None:
        """Stop the process without notice."""
        self.stopped = True
        self.task.cancel()
        if self.network.at.get(self.ref.address) is self.peers:
            self.network.crash(self.ref.host)


class FakeHosts:
    """Run hosts ``<zone>-<n>`` in several zones.

    :param zones: the number of hosts in each zone.
    """

    def __init__(self, zones: dict[str, int], network: FakeNetwork | None = None):
        self.network = network if network is not None else FakeNetwork()
        self.hosts: dict[str, FakeHost] = {}
        self.seeds: list[str] = []
        for zone, count in zones.items():
            for number in range(count):
                self.start(f"{zone}-{number}", zone)

    def start(self, host: str, zone: str, address: str = "") -> FakeHost:
        """Start a host, at a new address unless one is given."""
        address = address or f"10.0.0.1:{len(self.seeds) + 1}"
        ref = HostRef(host, zone, address)
        fake = FakeHost(self.network, ref, self.seeds[:3], len(self.seeds))
        self.hosts[host] = fake
        self.seeds.append(address)
        return fake

    def __getitem__(self, host: str) -> FakeHost:
        return self.hosts[host]

    def in_zone(self, zone: str) -> list[str]:
        """Return the ids of the hosts of `zone`."""
        return [host for host, fake in self.hosts.items() if fake.ref.zone == zone]

    def agree(self) -> bool:
        """Return whether all running hosts have the same set of live hosts."""
        views = {frozenset(host.live()) for host in self.running()}
        return views == {frozenset(host.ref.host for host in self.running())}

    def running(self) -> list[FakeHost]:
        """Return the running hosts."""
        return [host for host in self.hosts.values() if not host.stopped]

    async def until_agreed(self, limit: float = 30.0) -> float:
        """Wait until all views agree; return the duration in seconds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not self.agree():
            if loop.time() - started > limit:
                views = {host.ref.host: sorted(host.live()) for host in self.running()}
                raise AssertionError(f"no agreement: {views}")
            await asyncio.sleep(0.01)
        return loop.time() - started

    async def stop(self) -> None:
        """Stop all hosts and raise the failures of their tasks."""
        tasks = [host.task for host in self.hosts.values()]
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        faults = [host for host in results if isinstance(host, Exception)]
        if faults or self.network.failures:
            raise ExceptionGroup("hosts failed", faults + self.network.failures)
