"""The homes of targets as hosts and configuration change, in virtual time."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from reedhook.process.events.timeline import EventKind
from reedhook.process.groups.local_statement_executor import LocalStatementExecutor
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import Statement, StatementKind
from reedhook.version.catalog import Catalog, Group, Limits
from reedhook.version.workspace import Workspaces

from .fakes_clock import in_virtual_time, run_virtual
from .fakes_homes import (
    CONNECTIONS,
    GRACE,
    FakeHome,
    HomesOfHosts,
    catalog_of,
    members_of,
)
from .fakes_hosts import FakeHosts
from .support import using

TAKE_OVER_BOUND = 0.7
ZONES = {"a": 3, "b": 3, "c": 3}


@asynccontextmanager
async def nine_hosts() -> AsyncIterator[HomesOfHosts]:
    """Run nine hosts and six groups with a member in each zone."""
    hosts = FakeHosts(ZONES)
    homes = HomesOfHosts(hosts, catalog_of(list(ZONES), 6))
    await hosts.until_agreed()
    await asyncio.sleep(3.0)
    try:
        assert homes.settled()
        yield homes
    finally:
        await homes.stop()


def victim(homes: HomesOfHosts) -> tuple[str, list[str]]:
    """Return the host of zone a with most homes, and their targets."""
    held = {host: list(homes.of[host].held) for host in homes.hosts.in_zone("a")}
    host = max(held, key=lambda one: len(held[one]))
    return host, held[host]


def events(homes: HomesOfHosts, host: str, kind: EventKind) -> list[tuple[str, str]]:
    """Return subject and cause of the events of a kind at `host`."""
    found = homes.hosts[host].timeline.events
    return [(one.subject, one.detail["cause"]) for one in found if one.kind is kind]


@using(nine_hosts, run_virtual)
async def test_each_target_is_at_home_in_its_own_zone(homes: HomesOfHosts) -> None:
    for name in members_of(homes.catalog):
        holder = homes.holders(name)[0]
        assert holder.split("-")[0] == name.split("-")[1]


@using(nine_hosts, run_virtual)
async def test_the_next_in_rank_takes_over_when_a_host_dies_or_hangs(
    homes: HomesOfHosts,
) -> None:
    host, members = victim(homes)
    homes.crash(host)
    assert await homes.until_settled() < TAKE_OVER_BOUND
    for name in members:
        holder = homes.holders(name)[0]
        assert holder in homes.hosts.in_zone("a")
        causes = dict(events(homes, holder, EventKind.HOME_TAKEN))
        assert causes[name] == f"{host} is dead"


@using(nine_hosts, run_virtual)
async def test_two_hosts_of_a_zone_die_at_once(homes: HomesOfHosts) -> None:
    homes.crash("a-0")
    homes.crash("a-1")
    assert await homes.until_settled() < TAKE_OVER_BOUND
    assert len(homes.of["a-2"].held) == 6


@using(nine_hosts, run_virtual)
async def test_a_zone_without_hosts_is_served_from_others(homes: HomesOfHosts) -> None:
    for host in homes.hosts.in_zone("a"):
        homes.crash(host)
    await until(lambda: "a-0" not in homes.hosts["b-0"].live(), 40.0)
    await asyncio.sleep(40.0)
    shares = [
        held.connection_limit
        for host in ("b-0", "b-1", "b-2", "c-0", "c-1", "c-2")
        for name, held in homes.of[host].held.items()
        if name.endswith("-a")
    ]
    assert shares and max(shares) == 1


@in_virtual_time
async def test_a_large_zone_without_hosts_costs_the_others_no_ranking() -> None:
    hosts = FakeHosts({"a": 6, "b": 2})
    homes = HomesOfHosts(hosts, catalog_of(["a", "b"], 4))
    await hosts.until_agreed()
    await asyncio.sleep(3.0)
    for host in hosts.in_zone("a"):
        homes.crash(host)
    await until(lambda: len(hosts["b-0"].live()) == 2, 40.0)
    await asyncio.sleep(10.0)
    orders = hosts["b-0"].directory.orders.orders
    assert all(inside for _, _, inside in orders)
    assert not [name for name in homes.of["b-0"].held if name.endswith("-a")]
    await homes.stop()


async def until(condition: Callable[[], bool], limit: float) -> None:
    """Wait for `condition` for up to `limit` seconds."""
    async with asyncio.timeout(limit):
        while not condition():
            await asyncio.sleep(0.01)


@using(nine_hosts, run_virtual)
async def test_a_drain_leaves_no_moment_without_a_home(homes: HomesOfHosts) -> None:
    host, members = victim(homes)
    busy = homes.of[host].get(members[0])
    assert isinstance(busy, FakeHome)
    busy.idle.clear()
    busy.open.add("t1")
    drain = asyncio.create_task(homes.of[host].drain())
    for _ in range(400):
        await asyncio.sleep(0.001)
        for name in members:
            assert homes.holders(name)
    assert host not in homes.hosts["b-1"].live()
    assert homes.of[host].get(members[0]) is None
    assert homes.of[host].closing_of(members[0]) == [busy]
    assert busy.closed_at is None
    commit = statement_of("t1", busy)
    assert homes.of[host].find_transaction_home(members[0], commit) is busy
    with pytest.raises(RefusalError):
        homes.of[host].find_transaction_home(members[0], statement_of("t2", busy))
    assert homes.of[host].open_and_closing_homes(busy.group.name) == [busy]
    told = asyncio.Event()
    homes.of[host].on_change(told.set)
    busy.open.clear()
    busy.idle.set()
    await drain
    assert told.is_set()
    assert homes.of[host].open_and_closing_homes(busy.group.name) == []
    with pytest.raises(RefusalError) as caught:
        await executor_of(homes, host).execute(members[0], commit)
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert busy.closed_at is not None
    assert homes.of[host].closing_of(members[0]) == []
    assert (members[0], "drain") in events(homes, host, EventKind.HOME_RELEASED)


@using(nine_hosts, run_virtual)
async def test_limits_of_a_new_configuration_reach_homes_that_stay(
    homes: HomesOfHosts,
) -> None:
    host, members = victim(homes)
    kept = homes.of[host].get(members[0])
    assert isinstance(kept, FakeHome)
    limits = Limits(queue=7)
    catalog = homes.catalog
    changed = Catalog(
        catalog.version + 1, catalog.site, catalog.groups, Workspaces(), limits
    )
    homes.of[host].apply(changed)
    assert kept.limits == limits
    assert homes.of[host].get(members[0]) is kept


@using(nine_hosts, run_virtual)
async def test_the_successor_is_ready_before_others_hear_of_a_drain(
    homes: HomesOfHosts,
) -> None:
    host, members = victim(homes)
    drain = asyncio.create_task(homes.of[host].drain())
    while host in homes.hosts["b-1"].live():
        await asyncio.sleep(0.0001)
    for name in members:
        assert set(homes.holders(name)) - {host}
    await drain


@using(nine_hosts, run_virtual)
async def test_a_drain_ends_when_work_outlasts_its_grace_and_peers_hang(
    homes: HomesOfHosts,
) -> None:
    host, members = victim(homes)
    busy = homes.of[host].get(members[0])
    assert isinstance(busy, FakeHome)
    busy.idle.clear()
    for other in homes.hosts.in_zone("a"):
        if other != host:
            homes.hosts.network.pause(other)
    started = asyncio.get_running_loop().time()
    await homes.of[host].drain()
    assert asyncio.get_running_loop().time() - started < GRACE + 2.0


@using(nine_hosts, run_virtual)
async def test_a_host_that_comes_back_gets_its_homes_without_a_gap(
    homes: HomesOfHosts,
) -> None:
    host, members = victim(homes)
    address = homes.hosts[host].ref.address
    homes.crash(host)
    await homes.until_settled()
    homes.hosts.start(host, "a", address)
    homes.start(host)
    for _ in range(9000):
        await asyncio.sleep(0.001)
        for name in members:
            assert homes.holders(name)
    assert set(homes.of[host].held) == set(members)


@using(nine_hosts, run_virtual)
async def test_a_configuration_touches_only_the_homes_that_it_changes(
    homes: HomesOfHosts,
) -> None:
    before = {name: at_home(homes, name) for name in members_of(homes.catalog)}
    (host,) = homes.holders("g1-a")
    before["g1-a"].open.add("t1")
    homes.catalog = changed(homes.catalog)
    for one in homes.of.values():
        one.apply(homes.catalog)
    await asyncio.sleep(1.0)
    for name, home in before.items():
        if name.startswith("g0-"):
            assert homes.holders(name) == []
            assert home.closed_at is not None
        elif name.startswith("g1-"):
            assert at_home(homes, name) is not home
            assert at_home(homes, name).group.slots == 4
        else:
            assert at_home(homes, name) is home
            assert home.closed_at is None
    assert homes.holders("g9-a")
    old = before["g1-a"]
    assert homes.of[host].find_transaction_home("g1-a", statement_of("t1", old)) is old


def statement_of(transaction: str, home: FakeHome) -> Statement:
    """Return the commit of a transaction at a home."""
    group = home.group.name
    return Statement(
        StatementKind.COMMIT, group, "gate", "", [], 1.0, transaction=transaction
    )


def executor_of(homes: HomesOfHosts, host: str) -> LocalStatementExecutor:
    """Return the executor of a host without keepers."""
    of, fake = homes.of[host], homes.hosts[host]
    return LocalStatementExecutor(
        of.get, of.find_transaction_home, lambda group: None, fake.clock, fake.ref
    )


def at_home(homes: HomesOfHosts, member: str) -> FakeHome:
    """Return the one home of `member`."""
    (holder,) = homes.holders(member)
    home = homes.of[holder].get(member)
    assert isinstance(home, FakeHome)
    return home


def changed(catalog: Catalog) -> Catalog:
    """Return a version without g0, with more slots in g1 and with a new g9."""
    groups = {name: one for name, one in catalog.groups.items() if name != "g0"}
    old = groups["g1"]
    groups["g1"] = Group("g1", old.service, old.members, 4, old.connections)
    groups["g9"] = catalog_of(list(ZONES), 10).groups["g9"]
    return Catalog(catalog.version + 1, catalog.site, groups, Workspaces(), Limits())


@using(nine_hosts, run_virtual)
async def test_homes_that_believe_at_once_stay_within_the_connections(
    homes: HomesOfHosts,
) -> None:
    """Each host of a zone is cut from all others, so that all believe to be home.

    Another zone, which sees none of them, believes so too.
    """
    zone = homes.hosts.in_zone("a")
    for host in zone:
        others = [one for one in homes.hosts.hosts if one != host]
        homes.hosts.network.isolate([host], others)
    await until(lambda: all(homes.hosts[h].live() == {h} for h in zone), 60.0)
    await asyncio.sleep(1.0)
    for name in members_of(homes.catalog):
        if name.endswith("-a"):
            held = [homes.of[host].held[name].connection_limit for host in zone]
            assert sorted(held) == [3, 4, 7]
            holders = homes.holders(name)
            assert len(holders) > len(zone)
            shares = [homes.of[host].held[name].connection_limit for host in holders]
            assert sum(shares) <= CONNECTIONS


@using(nine_hosts, run_virtual)
async def test_a_failing_start_is_tried_again(homes: HomesOfHosts) -> None:
    host, members = victim(homes)
    one = homes.of[host]
    make, failures = one.make_home, []

    class Broken(FakeHome):
        async def start(self) -> None:
            failures.append(self.member.member_id)
            raise OSError("no route")

    one.make_home = Broken
    one.release(members[0], "test")
    one.change_event.set()
    await asyncio.sleep(0.1)
    assert failures == [members[0]]
    assert one.get(members[0]) is None
    one.make_home = make
    await asyncio.sleep(6.0)
    assert one.get(members[0]) is not None
