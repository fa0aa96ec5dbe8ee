"""Guard against leaving hosts or targets being missed, or drained by a stale list."""

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
    """Serve the entries set by a test."""

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
    """Hold a relay that polls a fake host list and is the home of all targets."""

    def __init__(self) -> None:
        network = FakeNetwork()
        self.host = FakeHost(network, ME, [])
        self.notifications: list[Json] = []
        self.host.routes.add("leaving", self.record_notification)
        self.other = FakeHost(network, OTHER, [ME.address])
        self.host.membership.merge_record(self.other.membership.own_record, 0.0)
        self.lines = FakeHostList()
        group = Group("db", "feedlog-db", (TARGET, FAR), 2, 15)
        catalog = Catalog(1, "comiso", {"db": group}, Workspaces(), Limits())
        self.poller = HostListPoller(
            self.lines,
            self.host.membership,
            self.host.directory,
            self.host.peers,
            lambda: catalog,
            self.host.clock,
            random.Random(0),
        )
        # Makes this host the home of all targets regardless of their hash.
        directory = self.host.directory
        directory.home = lambda member, zone: ME  # type: ignore[method-assign]

    async def record_notification(self, body: Json) -> Json:
        """Record a notification to a home."""
        self.notifications.append(body)
        return {}

    def list_host(self, state: ListedState) -> None:
        """Set the list to the other host in `state`."""
        self.lines.lines = [HostListEntry("h2", "comiso", OTHER.address, state)]

    def list_target(self, member: Member, state: ListedState) -> None:
        """Set the list to one target in `state`."""
        self.lines.lines = [
            HostListEntry(
                member.member_id, member.zone, member.address, state, ListedKind.TARGET
            )
        ]


@asynccontextmanager
async def running_scene() -> AsyncIterator[Scene]:
    """Yield a scene and stop its hosts afterwards."""
    scene = Scene()
    yield scene
    scene.host.crash()
    scene.other.crash()


@using(running_scene, run_virtual)
async def test_host_listed_as_leaving_is_marked_at_the_next_poll(
    scene: Scene,
) -> None:
    scene.list_host(ListedState.LIVE)
    await scene.poller.poll()
    assert scene.host.state("h2") is MembershipState.LIVE
    scene.list_host(ListedState.LEAVING)
    await scene.poller.poll()
    assert scene.host.state("h2") is MembershipState.LEAVING


@using(running_scene, run_virtual)
async def test_outdated_entry_of_a_previous_incarnation_is_ignored(
    scene: Scene,
) -> None:
    scene.list_host(ListedState.LEAVING)
    await scene.poller.poll()
    await scene.host.clock.sleep(LEAVING_CONFIRMATION_SECONDS / 2)
    await scene.poller.poll()
    assert scene.host.state("h2") is MembershipState.LIVE
    scene.list_host(ListedState.LIVE)
    await scene.poller.poll()
    await scene.host.clock.sleep(LEAVING_CONFIRMATION_SECONDS)
    assert scene.host.state("h2") is MembershipState.LIVE


@using(running_scene, run_virtual)
async def test_lasting_leaving_entry_is_applied_without_a_seen_change(
    scene: Scene,
) -> None:
    scene.list_host(ListedState.LEAVING)
    await scene.poller.poll()
    await scene.host.clock.sleep(LEAVING_CONFIRMATION_SECONDS + 1.0)
    await scene.poller.poll()
    assert scene.host.state("h2") is MembershipState.LEAVING


@using(running_scene, run_virtual)
async def test_home_is_notified_of_a_leaving_target_until_it_stops_leaving(
    scene: Scene,
) -> None:
    scene.list_target(TARGET, ListedState.LEAVING)
    await scene.poller.poll()
    await scene.poller.poll()
    scene.list_target(TARGET, ListedState.LIVE)
    await scene.poller.poll()
    await scene.poller.poll()
    leaving = {"member": "db-a", "leaving": True}
    assert scene.notifications == [
        leaving,
        leaving,
        {"member": "db-a", "leaving": False},
    ]


@using(running_scene, run_virtual)
async def test_targets_in_a_zone_without_hosts_are_handled_by_other_relays(
    scene: Scene,
) -> None:
    scene.list_target(FAR, ListedState.LEAVING)
    await scene.poller.poll()
    assert scene.notifications == [{"member": "db-b", "leaving": True}]


@using(running_scene, run_virtual)
async def test_unavailable_host_list_changes_nothing(scene: Scene) -> None:
    scene.list_host(ListedState.LIVE)
    await scene.poller.poll()
    scene.list_host(ListedState.LEAVING)
    scene.lines.down = True
    await scene.poller.poll()
    assert scene.host.state("h2") is MembershipState.LIVE
    assert await scene.poller.addresses() == []


@pytest.mark.parametrize(
    ("lines", "seconds"),
    [(0, 1.0), (300, 1.0), (900, 3.0), (5000, MAX_POLL_INTERVAL_SECONDS)],
)
@using(running_scene, run_virtual)
async def test_poll_interval_grows_with_the_length_of_the_list(
    scene: Scene, lines: int, seconds: float
) -> None:
    scene.lines.lines = [
        HostListEntry(f"h{number}", "ispica", "127.0.0.1:1", ListedState.LIVE)
        for number in range(lines)
    ]
    await scene.poller.poll()
    assert scene.poller.interval() == seconds
