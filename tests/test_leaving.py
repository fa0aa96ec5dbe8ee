"""A target that leaves gets no new work, and a lead moves away first."""

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
    """Carry what the module under test reads and sets."""

    def __init__(self) -> None:
        self.group = GROUP
        self.member = MEMBER
        self.leaving = False


class FakeKeeper:
    """Hand the lead over in `lasts` seconds, or fail."""

    def __init__(self, primary: str, lasts: float, succeeds: bool = True) -> None:
        self.view = GroupView("db", 1, primary)
        self.lasts = lasts
        self.succeeds = succeeds
        self.asked = 0

    async def hand_over(self, timeout: float) -> bool:
        """Pretend to move the lead."""
        self.asked += 1
        await asyncio.sleep(min(self.lasts, timeout))
        return self.succeeds


def part(home: FakeHome | None, keeper: FakeKeeper) -> LeavingTargetHandler:
    """Return the part under test on fakes."""
    clock = LoopClock()
    return LeavingTargetHandler(
        lambda member: cast("None", home),
        lambda group: cast(GroupManager, keeper),
        clock,
        Timeline("h1", clock),
    )


@pytest.mark.parametrize("succeeds", [True, False])
@in_virtual_time
async def test_a_leaving_primary_takes_no_new_work_after_the_hand_over(
    succeeds: bool,
) -> None:
    home, keeper = FakeHome(), FakeKeeper("db-a", 60.0, succeeds)
    leaving = part(home, keeper)
    # A repeated message starts no second hand-over.
    await leaving.handle_leaving({"member": "db-a", "leaving": True})
    await leaving.handle_leaving({"member": "db-a", "leaving": True})
    await asyncio.sleep(1.0)
    assert not home.leaving
    await asyncio.sleep(1.0)
    assert home.leaving
    assert keeper.asked == 1
    event = leaving.timeline.events[-1]
    assert event.kind is EventKind.TARGET_LEAVING
    assert event.detail == {"moved": succeeds}


@in_virtual_time
async def test_a_leaving_replica_takes_no_new_work_at_once_and_may_come_back() -> None:
    home, keeper = FakeHome(), FakeKeeper("db-b", 60.0)
    leaving = part(home, keeper)
    await leaving.handle_leaving({"member": "db-a", "leaving": True})
    await asyncio.sleep(0)
    assert home.leaving
    assert keeper.asked == 0
    await leaving.handle_leaving({"member": "db-a", "leaving": False})
    assert not home.leaving


@in_virtual_time
async def test_a_host_that_is_not_home_says_so() -> None:
    leaving = part(None, FakeKeeper("db-a", 0.0))
    with pytest.raises(RefusalError):
        await leaving.handle_leaving({"member": "db-a", "leaving": True})
