"""Changes of primary in services that acknowledge a commit once replicas hold it.

Guards against a successor that lacks an acknowledged commit, which may be at any one of
the replicas.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import pytest
from hypothesis import given, strategies as st

from reedhook.connection.session_target import SessionTargetStatus
from reedhook.process.primary_lease.successor_choice import TargetReport, TargetSurvey
from reedhook.request.position import Position
from reedhook.version.route_table import TargetAnnouncement
from reedhook_standins.database import DatabaseMember

from .fakes_clock import in_virtual_time
from .late_write_world import LateWriteWorld
from .session_world import TARGET_PREFIX
from .test_session_world import leaving

DEAF_SECONDS: Final = 6.0
ALONE_SECONDS: Final = 1.5
"""Time for which one replica alone receives the commits."""

DOWN_SECONDS: Final = 2.5
LATE_SECONDS: Final = 5.0
RECOVERY_SECONDS: Final = 12.0
TERM: Final = 3


class SyncWorld(LateWriteWorld):
    """Run hosts before a group whose commits need the receipt of one replica.

    :ivar first: the primary at the start.
    :ivar holding: the replica that receives all commits.
    :ivar deaf: the replica that receives nothing for a while.
    """

    async def start(self) -> None:
        self.group.sync_replicas = 1
        await super().start()
        self.first = self.group.primary
        replicas = [one for one in self.group.members.values() if one is not self.first]
        self.holding, self.deaf = replicas
        for ref in self.refs:
            self.spawn(self.keep_calling(ref.host, "tickets"))
        await asyncio.sleep(1.0)

    async def acknowledge_at_one(self) -> None:
        """Acknowledge commits that one replica alone holds."""
        self.deaf.deaf = True
        asyncio.get_running_loop().call_later(DEAF_SECONDS, self.hear)
        acknowledged = len(self.acknowledged)
        await asyncio.sleep(ALONE_SECONDS)
        assert len(self.acknowledged) > acknowledged

    def hear(self) -> None:
        """End the time in which the deaf replica receives nothing."""
        self.deaf.deaf = False

    def leave(self, member: DatabaseMember) -> None:
        """Announce that a member leaves."""
        member.entry = leaving(member.entry)
        self.announce(member.entry)

    def crash(self, member: DatabaseMember, seconds: float) -> None:
        """Stop a member for a while."""
        member.down = True
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, setattr, member, "down", False)

    async def check_recovered(self) -> None:
        """Check that writes succeed again, and that no commit was lost."""
        await asyncio.sleep(RECOVERY_SECONDS)
        acknowledged = len(self.acknowledged)
        await asyncio.sleep(2.0)
        assert len(self.acknowledged) > acknowledged
        assert self.group.primary is not self.first
        await self.end()


def make_late(world: SyncWorld) -> None:
    world.holding.delay = 1.5
    loop = asyncio.get_running_loop()
    loop.call_later(LATE_SECONDS, setattr, world.holding, "delay", 0.0)


def make_absent(world: SyncWorld) -> None:
    world.crash(world.holding, DOWN_SECONDS)


def make_leaving(world: SyncWorld) -> None:
    world.leave(world.holding)


def make_leaving_and_late(world: SyncWorld) -> None:
    make_leaving(world)
    make_late(world)


def make_unannounced(world: SyncWorld) -> None:
    """Let the announcement lapse for a moment, as after an outage of the store."""
    world.crash(world.holding, DOWN_SECONDS)
    world.store.write(TARGET_PREFIX + world.holding.entry.target, None)
    loop = asyncio.get_running_loop()
    loop.call_later(DOWN_SECONDS, world.announce, world.holding.entry)


@pytest.mark.parametrize(
    "trouble",
    [
        make_late,
        make_absent,
        make_leaving,
        make_leaving_and_late,
        make_unannounced,
    ],
)
@pytest.mark.parametrize("planned", [False, True])
@in_virtual_time
async def test_replica_that_holds_the_commits_is_waited_for(
    planned: bool, trouble: Callable[[SyncWorld], None]
) -> None:
    """Guards against the promotion of a replica that has not received them."""
    world = SyncWorld()
    await world.start()
    if trouble in (make_leaving, make_leaving_and_late):
        trouble(world)
    await world.acknowledge_at_one()
    trouble(world)
    if planned:
        world.leave(world.first)
    else:
        world.first.down = True
    await world.check_recovered()


@in_virtual_time
async def test_replica_that_is_chosen_after_a_rejected_order_holds_the_commits() -> (
    None
):
    """Guards against the next best target after a successor that does not run."""
    world = SyncWorld()
    await world.start()
    await world.acknowledge_at_one()
    world.first.down = True
    assert await world.until(lambda: bool(world.record()["successor"]), 5.0)
    assert world.record()["successor"] == world.holding.entry.target
    world.crash(world.holding, DOWN_SECONDS)
    await world.check_recovered()


@in_virtual_time
async def test_former_primary_is_waited_for_if_a_replica_lost_its_log() -> None:
    """Guards against the loss of commits that only the silent primary still holds."""
    world = SyncWorld()
    await world.start()
    await world.acknowledge_at_one()
    world.crash(world.first, DOWN_SECONDS)
    world.holding.start_again()
    world.announce(world.holding.entry)
    await asyncio.sleep(RECOVERY_SECONDS)
    acknowledged = len(world.acknowledged)
    await asyncio.sleep(2.0)
    assert len(world.acknowledged) > acknowledged
    await world.end()


@in_virtual_time
async def test_replica_that_is_gone_is_not_waited_for() -> None:
    """Guards against an endless wait for a target whose announcement stays missing."""
    world = SyncWorld()
    await world.start()
    for member in (world.holding, world.first):
        member.down = True
        world.store.write(TARGET_PREFIX + member.entry.target, None)
    await asyncio.sleep(RECOVERY_SECONDS)
    assert world.group.primary is world.deaf
    world.holding.down = False
    world.announce(world.holding.entry)
    await world.check_recovered()


def announced(target: str) -> TargetAnnouncement:
    """Return the announcement of a target."""
    return TargetAnnouncement(target, "db", "10.0.0.1:1", "z0", False, False, 0)


def reported(target: str, position: Position) -> TargetReport:
    """Return the report of a replica."""
    return announced(target), SessionTargetStatus(False, TERM, position, 0)


@given(
    st.lists(st.integers(1, 9), min_size=2, max_size=4),
    st.integers(1, 2),
    st.integers(0, 8),
    st.data(),
)
def test_best_report_holds_every_acknowledged_commit(
    received: list[int], sync_replicas: int, inherited: int, data: st.DataObject
) -> None:
    """Guards against a choice that is complete though a silent target may hold more.

    The primary does not respond and holds 9 commits, of which it inherited some at its
    promotion. Each replica has received a number of them, or has started again and
    received a part since.
    """
    acknowledged = sorted(received, reverse=True)[:sync_replicas][-1]
    if sync_replicas > len(received):
        acknowledged = 0
    acknowledged = max(acknowledged, inherited)
    indexes = st.sets(st.integers(0, len(received) - 1))
    silent, restarted = data.draw(indexes), data.draw(indexes)
    present = [
        data.draw(st.integers(0, count)) if index in restarted else count
        for index, count in enumerate(received)
    ]
    positions = [
        Position(TERM if count > inherited else TERM - 1, count) for count in present
    ]
    survey = TargetSurvey(
        [
            reported(f"t{index}", position)
            for index, position in enumerate(positions)
            if index not in silent
        ],
        [announced(f"t{index}") for index in silent],
        announced("primary"),
        None,
        sync_replicas,
        TERM,
        Position(TERM, 9) if restarted else None,
        frozenset(f"t{index}" for index in restarted),
    )
    chosen = survey.best(lambda report: report[1].received)
    if chosen is not None and not survey.awaited():
        assert chosen[1].received.index >= acknowledged


def test_nothing_is_awaited_without_synchronous_replicas() -> None:
    """Guards against slower changes of primary in services that do without."""
    survey = TargetSurvey([reported("t1", Position(1, 4))], [announced("t2")])
    assert not survey.awaited()
    assert survey.best(lambda report: report[1].received) is not None
