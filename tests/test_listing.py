"""Hosts and targets that the platform takes away, and a list that lags."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.peer import HostRef
from reedhook.process.fleet.hostlist import (
    HostList,
    HostListEntry,
    HostListUnavailableError,
    ListedKind,
    ListedState,
)
from reedhook.process.fleet.hostlist_poller import (
    LEAVING_CONFIRMATION_SECONDS,
    MAX_POLL_INTERVAL_SECONDS,
    HostListPoller,
)
from reedhook.process.fleet.membership_record import MembershipState
from reedhook.version.catalog import Catalog, Group, Limits, Member
from reedhook.version.workspace import Workspaces
from reedhook.wire import Json

from .fakes_clock import run_virtual
from .fakes_hosts import FakeHost
from .fakes_peers import FakeNetwork
from .support import using

ME = HostRef("h1", "comiso", "127.0.0.1:1")
OTHER = HostRef("h2", "comiso", "127.0.0.1:2")
TARGET = Member("db-a", "comiso", "127.0.0.1:9")
FAR = Member("db-b", "ispica", "127.0.0.1:8")


class FakeHostList(HostList):
    """Serve what a test puts in."""

    def __init__(self) -> None:
        self.lines: list[HostListEntry] = []
        self.down = False

    async def hosts(self, timeout: float) -> list[HostListEntry]:
        if self.down:
            raise HostListUnavailableError("down")
        return self.lines

    async def close(self) -> None:
        return


class Scene:
    """One relay with the list before it and a home for all targets."""

    def __init__(self) -> None:
        network = FakeNetwork()
        self.host = FakeHost(network, ME, [])
        self.told: list[Json] = []
        self.host.routes.add("leaving", self.take)
        self.other = FakeHost(network, OTHER, [ME.address])
        self.host.membership.merge_record(self.other.membership.own_record, 0.0)
        self.lines = FakeHostList()
        group = Group("db", "feedlog-db", (TARGET, FAR), 2, 15)
        catalog = Catalog(1, "comiso", {"db": group}, Workspaces(), Limits())
        self.listing = HostListPoller(
            self.lines,
            self.host.membership,
            self.host.directory,
            self.host.peers,
            lambda: catalog,
            self.host.clock,
            random.Random(0),
        )
        # The home of the target is this host whatever the hash says.
        directory = self.host.directory
        directory.home = lambda member, zone: ME  # type: ignore[method-assign]

    async def take(self, body: Json) -> Json:
        """Note what a home is told."""
        self.told.append(body)
        return {}

    def list_host(self, state: ListedState) -> None:
        """Let the list show the other host in `state`."""
        self.lines.lines = [HostListEntry("h2", "comiso", OTHER.address, state)]

    def list_target(self, member: Member, state: ListedState) -> None:
        """Let the list show a target in `state`."""
        self.lines.lines = [
            HostListEntry(
                member.member_id, member.zone, member.address, state, ListedKind.TARGET
            )
        ]


@asynccontextmanager
async def a_scene() -> AsyncIterator[Scene]:
    """Run a scene."""
    scene = Scene()
    yield scene
    scene.host.crash()
    scene.other.crash()


@using(a_scene, run_virtual)
async def test_a_host_that_turns_to_leaving_is_told_at_the_next_poll(
    scene: Scene,
) -> None:
    scene.list_host(ListedState.LIVE)
    await scene.listing.poll()
    assert scene.host.state("h2") is MembershipState.LIVE
    scene.list_host(ListedState.LEAVING)
    await scene.listing.poll()
    assert scene.host.state("h2") is MembershipState.LEAVING


@using(a_scene, run_virtual)
async def test_a_line_left_from_an_earlier_life_drains_no_new_host(
    scene: Scene,
) -> None:
    scene.list_host(ListedState.LEAVING)
    await scene.listing.poll()
    await scene.host.clock.sleep(LEAVING_CONFIRMATION_SECONDS / 2)
    await scene.listing.poll()
    assert scene.host.state("h2") is MembershipState.LIVE
    scene.list_host(ListedState.LIVE)
    await scene.listing.poll()
    await scene.host.clock.sleep(LEAVING_CONFIRMATION_SECONDS)
    assert scene.host.state("h2") is MembershipState.LIVE


@using(a_scene, run_virtual)
async def test_a_line_that_stays_is_believed_by_a_relay_that_saw_no_turn(
    scene: Scene,
) -> None:
    scene.list_host(ListedState.LEAVING)
    await scene.listing.poll()
    await scene.host.clock.sleep(LEAVING_CONFIRMATION_SECONDS + 1.0)
    await scene.listing.poll()
    assert scene.host.state("h2") is MembershipState.LEAVING


@using(a_scene, run_virtual)
async def test_the_home_of_a_leaving_target_is_told_until_the_target_is_back(
    scene: Scene,
) -> None:
    scene.list_target(TARGET, ListedState.LEAVING)
    await scene.listing.poll()
    await scene.listing.poll()
    scene.list_target(TARGET, ListedState.LIVE)
    await scene.listing.poll()
    await scene.listing.poll()
    leaving = {"member": "db-a", "leaving": True}
    assert scene.told == [leaving, leaving, {"member": "db-a", "leaving": False}]


@using(a_scene, run_virtual)
async def test_a_zone_without_hosts_is_looked_after_from_here(scene: Scene) -> None:
    scene.list_target(FAR, ListedState.LEAVING)
    await scene.listing.poll()
    assert scene.told == [{"member": "db-b", "leaving": True}]


@using(a_scene, run_virtual)
async def test_a_list_that_is_down_changes_nothing(scene: Scene) -> None:
    scene.list_host(ListedState.LIVE)
    await scene.listing.poll()
    scene.list_host(ListedState.LEAVING)
    scene.lines.down = True
    await scene.listing.poll()
    assert scene.host.state("h2") is MembershipState.LIVE
    assert await scene.listing.addresses() == []


@pytest.mark.parametrize(
    ("lines", "seconds"),
    [(0, 1.0), (300, 1.0), (900, 3.0), (5000, MAX_POLL_INTERVAL_SECONDS)],
)
@using(a_scene, run_virtual)
async def test_a_long_list_is_read_more_rarely(
    scene: Scene, lines: int, seconds: float
) -> None:
    scene.lines.lines = [
        HostListEntry(f"h{number}", "ispica", "127.0.0.1:1", ListedState.LIVE)
        for number in range(lines)
    ]
    await scene.listing.poll()
    assert scene.listing.interval() == seconds
