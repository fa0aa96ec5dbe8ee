"""Guard against new work on leaving targets and against needless write outages."""

import asyncio
from typing import cast

import pytest

from reedhook.process.events.timeline import EventKind, Timeline
from reedhook.process.fleet.leaving_targets import LeavingTargetHandler
from reedhook.process.groups.group_manager import GroupManager
from reedhook.request.group_view import GroupView
from reedhook.request.refusal import RefusalError
from reedhook.version.catalog import Group, Member

from .fakes_clock import LoopClock, in_virtual_time

MEMBER = Member("db-a", "comiso", "127.0.0.1:9")
GROUP = Group("db", "feedlog-db", (MEMBER,), 2, 15)


class FakeHome:
    """Provide the attributes of a home that the handler uses."""

    def __init__(self) -> None:
        self.group = GROUP
        self.member = MEMBER
        self.leaving = False


class FakeManager:
    """Hand over the primary role in `lasts` seconds, or fail."""

    def __init__(self, primary: str, lasts: float, succeeds: bool = True) -> None:
        self.view = GroupView("db", 1, primary)
        self.lasts = lasts
        self.succeeds = succeeds
        self.asked = 0

    async def hand_over(self, timeout: float) -> bool:
        """Simulate a handover."""
        self.asked += 1
        await asyncio.sleep(min(self.lasts, timeout))
        return self.succeeds


def make_handler(home: FakeHome | None, manager: FakeManager) -> LeavingTargetHandler:
    """Return a handler with a fake home and group manager."""
    clock = LoopClock()
    return LeavingTargetHandler(
        lambda member: cast("None", home),
        lambda group: cast(GroupManager, manager),
        clock,
        Timeline("h1", clock),
    )


@pytest.mark.parametrize("succeeds", [True, False])
@in_virtual_time
async def test_leaving_primary_takes_no_new_work_after_the_handover(
    succeeds: bool,
) -> None:
    home, manager = FakeHome(), FakeManager("db-a", 60.0, succeeds)
    leaving = make_handler(home, manager)
    # A repeated notification starts no second handover.
    await leaving.handle_leaving({"member": "db-a", "leaving": True})
    await leaving.handle_leaving({"member": "db-a", "leaving": True})
    await asyncio.sleep(1.0)
    assert not home.leaving
    await asyncio.sleep(1.0)
    assert home.leaving
    assert manager.asked == 1
    event = leaving.timeline.events[-1]
    assert event.kind is EventKind.TARGET_LEAVING
    assert event.detail == {"moved": succeeds}


@in_virtual_time
async def test_leaving_replica_takes_no_new_work_until_it_stops_leaving() -> None:
    home, manager = FakeHome(), FakeManager("db-b", 60.0)
    leaving = make_handler(home, manager)
    await leaving.handle_leaving({"member": "db-a", "leaving": True})
    await asyncio.sleep(0)
    assert home.leaving
    assert manager.asked == 0
    await leaving.handle_leaving({"member": "db-a", "leaving": False})
    assert not home.leaving


@in_virtual_time
async def test_notification_to_a_host_that_is_not_the_home_is_refused() -> None:
    leaving = make_handler(None, FakeManager("db-a", 0.0))
    with pytest.raises(RefusalError):
        await leaving.handle_leaving({"member": "db-a", "leaving": True})
