"""Homes of targets across crashes, drains and configuration changes."""

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
    """Run nine hosts and six groups, each with a member in every zone."""
    hosts = FakeHosts(ZONES)
    homes = HomesOfHosts(hosts, catalog_of(list(ZONES), 6))
    await hosts.until_agreed()
    await asyncio.sleep(3.0)
    try:
        assert homes.settled()
        yield homes
    finally:
        await homes.stop()


def busiest_host(homes: HomesOfHosts) -> tuple[str, list[str]]:
    """Return the host of zone a with the most homes, and their members."""
    held = {host: list(homes.of[host].held) for host in homes.hosts.in_zone("a")}
    host = max(held, key=lambda name: len(held[name]))
    return host, held[host]


def events(homes: HomesOfHosts, host: str, kind: EventKind) -> list[tuple[str, str]]:
    """Return subject and cause of all events of a kind at `host`."""
    recorded = homes.hosts[host].timeline.events
    return [
        (event.subject, event.detail["cause"])
        for event in recorded
        if event.kind is kind
    ]


@using(nine_hosts, run_virtual)
async def test_home_of_each_target_is_in_its_zone(homes: HomesOfHosts) -> None:
    for name in members_of(homes.catalog):
        holder = homes.holders(name)[0]
        assert holder.split("-")[0] == name.split("-")[1]


@using(nine_hosts, run_virtual)
async def test_next_host_in_rank_takes_over_after_crash(
    homes: HomesOfHosts,
) -> None:
    host, members = busiest_host(homes)
    homes.crash(host)
    assert await homes.until_settled() < TAKE_OVER_BOUND
    for name in members:
        holder = homes.holders(name)[0]
        assert holder in homes.hosts.in_zone("a")
        causes = dict(events(homes, holder, EventKind.HOME_TAKEN))
        assert causes[name] == f"{host} is dead"


@using(nine_hosts, run_virtual)
async def test_two_hosts_of_one_zone_crash_together(homes: HomesOfHosts) -> None:
    homes.crash("a-0")
    homes.crash("a-1")
    assert await homes.until_settled() < TAKE_OVER_BOUND
    assert len(homes.of["a-2"].held) == 6


@using(nine_hosts, run_virtual)
async def test_zone_without_hosts_is_served_by_other_zones(homes: HomesOfHosts) -> None:
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
async def test_large_zone_without_hosts_is_not_ranked_by_others() -> None:
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
async def test_drain_keeps_a_home_for_each_target(homes: HomesOfHosts) -> None:
    host, members = busiest_host(homes)
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
    notified = asyncio.Event()
    homes.of[host].on_change(notified.set)
    busy.open.clear()
    busy.idle.set()
    await drain
    assert notified.is_set()
    assert homes.of[host].open_and_closing_homes(busy.group.name) == []
    with pytest.raises(RefusalError) as caught:
        await executor_of(homes, host).execute(members[0], commit)
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert busy.closed_at is not None
    assert homes.of[host].closing_of(members[0]) == []
    assert (members[0], "drain") in events(homes, host, EventKind.HOME_RELEASED)


@using(nine_hosts, run_virtual)
async def test_new_limits_reach_unchanged_homes(
    homes: HomesOfHosts,
) -> None:
    host, members = busiest_host(homes)
    kept = homes.of[host].get(members[0])
    assert isinstance(kept, FakeHome)
    limits = Limits(queue=7)
    catalog = homes.catalog
    new_catalog = Catalog(
        catalog.version + 1, catalog.site, catalog.groups, Workspaces(), limits
    )
    homes.of[host].apply(new_catalog)
    assert kept.limits == limits
    assert homes.of[host].get(members[0]) is kept


@using(nine_hosts, run_virtual)
async def test_successor_opens_homes_before_draining_host_leaves(
    homes: HomesOfHosts,
) -> None:
    host, members = busiest_host(homes)
    drain = asyncio.create_task(homes.of[host].drain())
    while host in homes.hosts["b-1"].live():
        await asyncio.sleep(0.0001)
    for name in members:
        assert set(homes.holders(name)) - {host}
    await drain


@using(nine_hosts, run_virtual)
async def test_drain_ends_despite_unfinished_work_and_hanging_peers(
    homes: HomesOfHosts,
) -> None:
    host, members = busiest_host(homes)
    busy = homes.of[host].get(members[0])
    assert isinstance(busy, FakeHome)
    busy.idle.clear()
    for other in homes.hosts.in_zone("a"):
        if other != host:
            homes.hosts.network.pause(other)
    started_at = asyncio.get_running_loop().time()
    await homes.of[host].drain()
    assert asyncio.get_running_loop().time() - started_at < GRACE + 2.0


@using(nine_hosts, run_virtual)
async def test_restarted_host_regains_homes_without_gap(
    homes: HomesOfHosts,
) -> None:
    host, members = busiest_host(homes)
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
async def test_new_configuration_reopens_only_changed_homes(
    homes: HomesOfHosts,
) -> None:
    before = {name: at_home(homes, name) for name in members_of(homes.catalog)}
    (host,) = homes.holders("g1-a")
    before["g1-a"].open.add("t1")
    homes.catalog = changed_catalog(homes.catalog)
    for local_homes in homes.of.values():
        local_homes.apply(homes.catalog)
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
    former_home = before["g1-a"]
    assert (
        homes.of[host].find_transaction_home("g1-a", statement_of("t1", former_home))
        is former_home
    )


def statement_of(transaction: str, home: FakeHome) -> Statement:
    """Return the commit of a transaction at a home."""
    group = home.group.name
    return Statement(
        StatementKind.COMMIT, group, "gate", "", [], 1.0, transaction=transaction
    )


def executor_of(homes: HomesOfHosts, host: str) -> LocalStatementExecutor:
    """Return the executor of a host without group managers."""
    local_homes, fake_host = homes.of[host], homes.hosts[host]
    return LocalStatementExecutor(
        local_homes.get,
        local_homes.find_transaction_home,
        lambda group: None,
        fake_host.clock,
        fake_host.ref,
    )


def at_home(homes: HomesOfHosts, member: str) -> FakeHome:
    """Return the only open home of `member`."""
    (holder,) = homes.holders(member)
    home = homes.of[holder].get(member)
    assert isinstance(home, FakeHome)
    return home


def changed_catalog(catalog: Catalog) -> Catalog:
    """Return a version without g0, with more slots in g1 and with a new g9."""
    groups = {name: group for name, group in catalog.groups.items() if name != "g0"}
    former = groups["g1"]
    groups["g1"] = Group("g1", former.service, former.members, 4, former.connections)
    groups["g9"] = catalog_of(list(ZONES), 10).groups["g9"]
    return Catalog(catalog.version + 1, catalog.site, groups, Workspaces(), Limits())


@using(nine_hosts, run_virtual)
async def test_concurrent_homes_of_a_target_stay_within_its_connections(
    homes: HomesOfHosts,
) -> None:
    """Guard against too many connections when partitioned hosts all open a home.

    Each host of one zone is isolated; a host of another zone sees none of them.
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
async def test_failed_start_of_home_is_retried(homes: HomesOfHosts) -> None:
    host, members = busiest_host(homes)
    local_homes = homes.of[host]
    make, failures = local_homes.make_home, []

    class Broken(FakeHome):
        async def start(self) -> None:
            failures.append(self.member.member_id)
            raise OSError("no route")

    local_homes.make_home = Broken
    local_homes.release(members[0], "test")
    local_homes.change_event.set()
    await asyncio.sleep(0.1)
    assert failures == [members[0]]
    assert local_homes.get(members[0]) is None
    local_homes.make_home = make
    await asyncio.sleep(6.0)
    assert local_homes.get(members[0]) is not None
