"""Promotions that take effect without a holder seeing it.

Guards against writes at a primary that such a promotion has superseded, and against a
wait without an end for a term that will not come.
"""

import asyncio
from typing import Final

import pytest

from reedhook.connection.session_target import SessionTargetStatus
from reedhook.process.primary_lease.promotion_attempt import (
    OVERDUE_SECONDS,
    PRESENT_PRIMARY_SECONDS,
    PromotionAttempt,
)
from reedhook.request.position import Position
from reedhook_standins.database import PROMOTION, DatabaseMember

from .fakes_clock import in_virtual_time
from .late_write_world import LateWriteWorld

DARK_SECONDS: Final = 2.0
RESTART_SECONDS: Final = 1.0
AFTER_ORDER_SECONDS: Final = 0.1
LED_SECONDS: Final = 0.3
RECOVERY_SECONDS: Final = 6.0


class UnseenWorld(LateWriteWorld):
    """Run hosts and callers while a primary is replaced."""

    async def start(self) -> None:
        await super().start()
        self.first = self.group.primary
        for ref in self.refs:
            self.spawn(self.keep_calling(ref.host, "tickets"))
        await asyncio.sleep(1.0)

    def successor(self) -> DatabaseMember:
        """Return the member that the stored record names as the successor."""
        return self.group.members[self.record()["successor"]]

    def others(self, member: DatabaseMember) -> list[DatabaseMember]:
        """Return the members that were neither primary at first nor are `member`."""
        members = self.group.members.values()
        return [one for one in members if one not in (self.first, member)]

    async def until_ordered(self, count: int = 1) -> None:
        """Wait until so many promotions were ordered."""
        assert await self.until(lambda: len(self.group.promotions) >= count, 20.0)

    def make_dark(self, member: DatabaseMember) -> None:
        """Cut a member that runs off from all hosts and members."""
        target = member.entry.target
        for name in [*(ref.host for ref in self.refs), *self.group.members]:
            self.group.cut(name, target)
            self.group.cut(target, name)

    async def check_recovered(self) -> None:
        """Check that writes succeed again, at the member that was promoted last."""
        acknowledged = len(self.acknowledged)
        await asyncio.sleep(2.0)
        assert len(self.acknowledged) > acknowledged
        assert self.acknowledged[-1].position.term == self.group.primary.term
        await self.end()


@pytest.mark.parametrize("how", ["killed", "paused"])
@in_virtual_time
async def test_superseded_primary_is_not_used_before_its_promotion(how: str) -> None:
    """Guards against the old primary in use in its term after an unseen promotion.

    The third member does not respond, so that the old primary is chosen again.
    """
    world = UnseenWorld()
    await world.start()
    world.others(world.first)[0].down = True
    world.first.down = True
    dark_at = asyncio.get_running_loop().time()
    await world.until_ordered()
    holder, promoted = world.leader(), world.successor()
    await asyncio.sleep(AFTER_ORDER_SECONDS)
    world.end_host(holder, how)
    assert await world.until(lambda: promoted.leads, 2 * PROMOTION)
    await asyncio.sleep(LED_SECONDS)
    promoted.down = True
    await asyncio.sleep(dark_at + DARK_SECONDS - asyncio.get_running_loop().time())
    world.first.down = False
    if how == "killed":
        await world.restart(holder.me.host)
    await asyncio.sleep(2 * RECOVERY_SECONDS)
    await world.check_recovered()


@in_virtual_time
async def test_present_primary_keeps_its_term_if_it_is_ordered_again() -> None:
    """Guards against an endless wait if no other promotion has taken effect."""
    world = UnseenWorld()
    await world.start()
    world.first.down = True
    assert await world.until(lambda: bool(world.record()["successor"]), 5.0)
    successor = world.successor()
    successor.down = True
    for other in world.others(successor):
        other.down = True
    await asyncio.sleep(1.0)
    world.first.down = False
    await asyncio.sleep(RECOVERY_SECONDS)
    assert world.group.primary is world.first and world.first.term == 1
    await world.check_recovered()


@pytest.mark.parametrize("primary_answers", [True, False])
@in_virtual_time
async def test_successor_that_goes_dark_is_given_up(primary_answers: bool) -> None:
    """Guards against an endless wait for a successor that nobody reaches."""
    world = UnseenWorld()
    await world.start()
    world.first.down = True
    await world.until_ordered()
    promoted = world.successor()
    world.make_dark(promoted)
    await asyncio.sleep(1.0)
    world.first.down = not primary_answers
    await asyncio.sleep(2 * RECOVERY_SECONDS)
    assert promoted.leads and world.group.primary is not promoted
    await world.check_recovered()


@in_virtual_time
async def test_successor_is_given_up_only_after_its_user_has_stopped() -> None:
    """Guards against another promotion while a former holder uses the successor.

    The holder sees its successor lead and uses it, and no other host reaches either.
    """
    world = UnseenWorld()
    await world.start()
    world.first.down = True
    assert await world.until(lambda: bool(world.record()["successor"]), 5.0)
    holder, promoted = world.leader(), world.successor()
    name, target = holder.me.host, promoted.entry.target
    others = [ref.host for ref in world.refs if ref.host != name]
    world.store.silent.add(name)
    await world.until_ordered()
    for other in others:
        world.group.cut(other, target)
    for peer in world.others(promoted):
        world.group.cut(target, peer.entry.target)
    world.network.isolate([name], others)
    await asyncio.sleep(25.0)
    assert world.group.primary is not promoted
    await world.check_recovered()


def status(term: int, leads: bool = True) -> SessionTargetStatus:
    """Return a status of a target."""
    return SessionTargetStatus(leads, term, Position(term, 1), 0)


@pytest.mark.parametrize(
    "contested, before, after, seconds, leads",
    [
        (False, None, status(2), 0.0, True),
        (False, None, status(1), 9.0, False),
        (False, None, status(2, False), 9.0, False),
        (True, status(1, False), status(3), 0.0, True),
        (True, status(1), status(1), 0.0, False),
        (True, status(1), status(1), PRESENT_PRIMARY_SECONDS, True),
        (True, status(1), status(3), 0.0, True),
        (True, status(2), status(2), 0.0, False),
        (True, status(2), status(4), 0.0, True),
        (True, None, status(2), 0.0, False),
        (True, None, status(2), PRESENT_PRIMARY_SECONDS, True),
        (True, status(1), status(1, False), PRESENT_PRIMARY_SECONDS, False),
    ],
)
def test_evidence_of_a_promotion(
    contested: bool,
    before: SessionTargetStatus | None,
    after: SessionTargetStatus,
    seconds: float,
    leads: bool,
) -> None:
    """Guards against the term of an earlier promotion taken for that of the order."""
    attempt = PromotionAttempt("t", 0, 1, contested)
    if before is not None:
        attempt.note_before(before)
    attempt.note_ordered(10.0)
    assert attempt.leads(after, 10.0 + seconds) is leads


def test_unordered_attempt_is_never_overdue() -> None:
    """Guards against another order while the platform has not taken this one."""
    attempt = PromotionAttempt("t", 0, 1, False)
    assert not attempt.is_overdue(1e9)
    attempt.note_ordered(10.0)
    assert not attempt.is_overdue(10.0)
    assert attempt.is_overdue(10.0 + OVERDUE_SECONDS)
