"""Homes without targets, on hosts of a fake network."""

import asyncio

from reedhook.connection.home import Home, HomeLoad
from reedhook.connection.target import MemberState, TargetResult
from reedhook.process.groups.local_homes import LocalHomes
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.statement import Statement
from reedhook.version.catalog import Catalog, Group, Limits, Member
from reedhook.version.workspace import Workspaces

from .fakes_hosts import FakeHosts

GRACE = 5
CONNECTIONS = 15
START_TIME = 0.01


class FakeHome(Home):
    """Record the calls of a home.

    :ivar idle: unset while a statement runs; `close` waits until it is set.
    :ivar open: ids of the open transactions.
    """

    def __init__(self, group: Group, member: Member, share: int) -> None:
        self.group = group
        self.member = member
        self.share = share
        self.limits: Limits | None = None
        self.leaving = False
        self.open: set[str] = set()
        self.started = False
        self.closed_at: float | None = None
        self.idle = asyncio.Event()
        self.idle.set()

    async def start(self) -> None:
        await asyncio.sleep(START_TIME)
        self.started = True

    async def close(self, grace: float) -> None:
        try:
            async with asyncio.timeout(grace):
                await self.idle.wait()
        except TimeoutError:
            pass
        self.closed_at = asyncio.get_running_loop().time()

    def update_limits(self, limits: Limits) -> None:
        self.limits = limits

    def has_transaction(self, transaction: str) -> bool:
        return transaction in self.open

    def unknown_transaction_refusal(self, statement: Statement) -> RefusalError:
        return not_run(RefusalReason.TRANSACTION_LOST, "ended here")

    async def run(self, statement: Statement) -> TargetResult:
        raise NotImplementedError

    async def wait_for_state_change(self, revision: int, timeout: float) -> None:
        raise NotImplementedError

    def merge_state(self, state: MemberState, requested_at: float) -> None:
        raise NotImplementedError

    async def fetch_state(self, timeout: float) -> MemberState:
        raise NotImplementedError

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        raise NotImplementedError

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        raise NotImplementedError

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        raise NotImplementedError

    def load(self) -> HomeLoad:
        return HomeLoad(0.0, 0, 0)


class HomesOfHosts:
    """Run `LocalHomes` on each of several fake hosts.

    :ivar made: every home that was created, with its host.
    """

    def __init__(self, hosts: FakeHosts, catalog: Catalog) -> None:
        self.hosts = hosts
        self.catalog = catalog
        self.made: list[tuple[str, FakeHome]] = []
        self.of: dict[str, LocalHomes] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        for host in hosts.hosts:
            self.start(host)

    def start(self, host: str) -> LocalHomes:
        """Start the homes of a host."""
        fake = self.hosts[host]

        def make_home(group: Group, member: Member, share: int) -> Home:
            home = FakeHome(group, member, share)
            self.made.append((host, home))
            return home

        homes = LocalHomes(
            fake.membership,
            fake.directory,
            fake.peers,
            fake.clock,
            fake.timeline,
            make_home,
            fake.heartbeats.discovery.joined,
        )
        homes.register(fake.routes)
        homes.apply(self.catalog)
        self.of[host] = homes
        self.tasks[host] = asyncio.create_task(homes.run())
        return homes

    def crash(self, host: str) -> None:
        """Stop a host without notice."""
        self.tasks[host].cancel()
        self.of[host].held.clear()
        self.hosts[host].crash()

    def holders(self, member: str) -> list[str]:
        """Return the hosts that currently hold a home of `member`."""
        return [host for host, homes in self.of.items() if homes.get(member)]

    def settled(self) -> bool:
        """Return whether each target has exactly one home."""
        names = members_of(self.catalog)
        return all(len(self.holders(name)) == 1 for name in names)

    async def until_settled(self, limit: float = 10.0) -> float:
        """Wait until each target has one home; return how long it took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not self.settled():
            assert loop.time() - started < limit
            await asyncio.sleep(0.005)
        return loop.time() - started

    async def stop(self) -> None:
        """Stop everything and raise the failures of the tasks."""
        for task in self.tasks.values():
            task.cancel()
        results = await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        await self.hosts.stop()
        faults = [result for result in results if isinstance(result, Exception)]
        if faults:
            raise ExceptionGroup("homes failed", faults)


def members_of(catalog: Catalog) -> list[str]:
    """Return the ids of all targets."""
    return [
        member.member_id
        for group in catalog.groups.values()
        for member in group.members
    ]


def catalog_of(zones: list[str], groups: int, version: int = 1) -> Catalog:
    """Return a configuration with a member of each group in each zone."""
    made = {}
    for number in range(groups):
        name = f"g{number}"
        members = tuple(
            Member(f"{name}-{zone}", zone, f"10.1.0.{number}:{5000 + index}")
            for index, zone in enumerate(zones)
        )
        made[name] = Group(name, "service", members, 2, CONNECTIONS)
    return Catalog(version, "a", made, Workspaces(), Limits(drain_s=GRACE))
