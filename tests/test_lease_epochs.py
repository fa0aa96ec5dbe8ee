"""Primary leases and promotions over a store that is restored from an older copy.

Guards against a lease that the copy revives or has lost, against two hosts that order
promotions, and against a holder that stops serving though nobody took its place.
"""

import asyncio
import itertools
from typing import Final

import pytest

from reedhook.peer import HostRef
from reedhook.process.primary_lease.coordinator_role import ORDER_TIMEOUT_SECONDS
from reedhook.process.primary_lease.primary_proof import LONGEST_PROMOTION_SECONDS
from reedhook_standins import database

from .fakes_clock import run_virtual
from .restored_world import STEPS, RestoredWorld

MAX_GAP_SECONDS: Final = 0.6
"""Longest time between two acknowledged writes where nothing but the store is lost."""

MAX_OUTAGE_SECONDS: Final = 15.0

FORMER_AWAY_SECONDS: Final = 2.0
"""Time from the restore until the former primary is back; a host that still takes it
for the primary writes there."""

SLOW_ORDER_SECONDS: Final = ORDER_TIMEOUT_SECONDS - 0.05
"""Time on the way of an order that just arrives."""

OTHER_CHANGES: Final = 100
"""Changes of other keys that the restore loses, so that revisions go back that far."""

COPIES: Final = ["recent", "first", "missing"]
HOLDERS: Final = ["alive", "dead", "paused", "cut off"]


@pytest.mark.parametrize("copy", COPIES)
def test_holder_serves_without_a_gap_over_a_restore(copy: str) -> None:
    assert run_virtual(gap_over_restores(copy, 1)) <= MAX_GAP_SECONDS


@pytest.mark.parametrize("copy", COPIES)
def test_holder_serves_without_a_gap_over_two_restores(copy: str) -> None:
    assert run_virtual(gap_over_restores(copy, 2)) <= MAX_GAP_SECONDS


async def gap_over_restores(copy: str, restores: int) -> float:
    """Return the longest gap in writes while only the store is restored."""
    world = RestoredWorld()
    await world.start()
    holder = world.leader().me
    world.copy(copy)
    await asyncio.sleep(1.0)
    for ref in world.refs[::2]:
        world.write_at(ref.host)
    started_at = world.now()
    for _ in range(restores):
        await asyncio.sleep(1.0)
        world.restore()
    await asyncio.sleep(20.0)
    assert world.leader().me == holder
    gap = world.longest_gap(started_at)
    assert not world.group.promotions
    await world.end()
    return gap


@pytest.mark.parametrize(
    ("step", "holder", "copy"), list(itertools.product(STEPS, HOLDERS, COPIES))
)
def test_restore_during_a_promotion_keeps_all_guarantees(
    step: str, holder: str, copy: str
) -> None:
    run_virtual(restore_during_promotion(step, holder, copy, FORMER_AWAY_SECONDS))


@pytest.mark.parametrize(
    ("step", "holder", "copy"),
    list(itertools.product(STEPS, ["dead", "cut off"], ["recent", "first"])),
)
def test_former_primary_that_is_back_at_the_restore_is_not_used(
    step: str, holder: str, copy: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All targets report, and the former one leads until an order takes effect."""
    monkeypatch.setattr(database, "PROMOTION", LONGEST_PROMOTION_SECONDS)
    run_virtual(restore_during_promotion(step, holder, copy, 0.0, SLOW_ORDER_SECONDS))


async def restore_during_promotion(
    step: str, holder: str, copy: str, former_away: float, order_seconds: float = 0.0
) -> None:
    """Restore the store at a step of a promotion, and lose the holder then.

    The holder is the promotion coordinator, too.

    :param former_away: seconds from the restore until the former primary is back.
    :param order_seconds: time that each order takes to arrive.
    """
    world = RestoredWorld()
    await world.start()
    lost = world.leader().me
    world.order_seconds = order_seconds
    world.copy(copy)
    await asyncio.sleep(1.0)
    former = world.group.primary
    reached: list[float] = []

    def act() -> None:
        reached.append(world.now())
        world.restore()
        world.lose(lost, holder)
        loop = asyncio.get_running_loop()
        loop.call_later(former_away, setattr, former, "down", False)

    world.on_step(step, act)
    for ref in world.refs:
        if ref != lost:
            world.write_at(ref.host)
    world.read_at(next(ref.host for ref in world.refs if ref != lost))
    former.down = True
    await asyncio.sleep(3.0)
    assert reached
    await asyncio.sleep(25.0)
    gap = world.longest_gap(reached[0])
    world.network.resume(lost.host)
    world.heal()
    await asyncio.sleep(3.0)
    await world.end()
    assert gap <= MAX_OUTAGE_SECONDS


def test_fencing_tokens_rise_over_a_restore() -> None:
    """Guards against an order of a promotion with a lower or repeated token."""
    run_virtual(promote_before_and_after_a_restore())


async def promote_before_and_after_a_restore() -> None:
    """Replace the primary, restore a copy of before, and replace the primary again."""
    world = RestoredWorld()
    await world.start()
    world.copy("recent")
    for number in range(OTHER_CHANGES):
        world.store.write("other", b"%d" % number)
    first = world.group.primary
    first.down = True
    await asyncio.sleep(5.0)
    coordinator = world.group.promotions[-1][1]
    first.down = False
    await asyncio.sleep(2.0)
    world.restore()
    await world.kill(coordinator)
    await asyncio.sleep(20.0)
    world.group.primary.down = True
    await asyncio.sleep(25.0)
    tokens = [token for _, _, token in world.group.promotions]
    assert len(tokens) >= 2
    assert tokens == sorted(set(tokens))
    await world.end()


def test_claim_that_the_restore_has_lost_delays_a_promotion() -> None:
    """Guards against commits and reads at a superseded primary.

    The claimer uses the primary, and no record names it any more.
    """
    run_virtual(lose_a_claim())


async def lose_a_claim() -> None:
    """Cut the holder off until the restore, then the host that has claimed its lease.

    Both reach the primary throughout, and neither hears of the other one's claim.
    """
    world = RestoredWorld()
    await world.start()
    holder = world.leader().me
    world.copy("recent")
    backup = world.backup_holder().me
    isolate(world, holder)
    world.store.declining.add(backup.host)
    await asyncio.sleep(2.5)
    world.store.declining.clear()
    claimer = world.leader().me
    assert claimer not in (holder, backup)
    for ref in world.refs:
        world.write_at(ref.host)
        world.read_at(ref.host)
    world.heal()
    isolate(world, claimer)
    world.restore()
    await asyncio.sleep(0.5)
    former = world.group.primary
    for ref in world.refs:
        if ref != claimer:
            world.group.cut(ref.host, former.entry.target)
    await asyncio.sleep(25.0)
    assert world.group.promotions
    assert world.group.primary is not former
    await world.end()


def test_loss_of_the_backup_holder_does_not_double_the_wait() -> None:
    """Its lease was waited for only after those of unknown former holders."""
    assert run_virtual(outage_without_backup()) <= MAX_OUTAGE_SECONDS


async def outage_without_backup() -> float:
    """Return the seconds without writes after primary and backup are lost as well."""
    world = RestoredWorld()
    await world.start()
    world.copy("recent")
    await asyncio.sleep(1.0)
    backup = world.backup_holder().me
    for ref in world.refs:
        if ref != backup:
            world.write_at(ref.host)
    world.lose(backup, "dead")
    world.group.primary.down = True
    world.restore()
    await asyncio.sleep(30.0)
    gap = world.longest_gap(world.restored_at)
    await world.end()
    return gap


def isolate(world: RestoredWorld, ref: HostRef) -> None:
    """Cut a host off from the store and all other hosts, but not from the targets."""
    others = {one.host for one in world.refs} - {ref.host}
    world.network.isolate({ref.host}, others)
    world.store.silent.add(ref.host)
