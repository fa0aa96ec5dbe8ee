"""Successors and their orders over a restore of the store."""

import asyncio

import pytest

from reedhook.process.primary_lease.primary_proof import LONGEST_PROMOTION_SECONDS
from reedhook.wire import decode
from reedhook_standins import database

from .fakes_clock import run_virtual
from .restored_world import LEASE_KEY, RestoredWorld


@pytest.mark.parametrize("down_after", [0.3, 1.0])
@pytest.mark.parametrize("order_seconds", [0.65, 0.3])
def test_order_of_the_present_epoch_in_flight_at_a_claim(
    down_after: float, order_seconds: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against use of the old primary while an order takes effect."""
    monkeypatch.setattr(database, "PROMOTION", LONGEST_PROMOTION_SECONDS)
    run_virtual(order_in_present_epoch(down_after, order_seconds))


def test_order_in_flight_at_a_claim_without_a_restore(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same events as in the first test over a store that is not restored."""
    monkeypatch.setattr(database, "PROMOTION", LONGEST_PROMOTION_SECONDS)
    monkeypatch.setattr(RestoredWorld, "restore", lambda world: None)
    run_virtual(order_in_present_epoch(1.0, 0.65))


async def order_in_present_epoch(down_after: float, order_seconds: float) -> None:
    world = RestoredWorld()
    await world.start()
    world.order_seconds = order_seconds
    lost = world.leader().me
    world.copy("recent")
    await asyncio.sleep(1.0)
    former = world.group.primary
    for ref in world.refs:
        if ref != lost:
            world.write_at(ref.host)
    world.restore()
    await asyncio.sleep(down_after)
    reached: list[float] = []

    def act() -> None:
        reached.append(world.now() - world.restored_at)
        world.lose(lost, "cut off")
        former.down = False

    world.on_step("before order", act)
    former.down = True
    await asyncio.sleep(30.0)
    assert reached
    await world.end()


@pytest.mark.parametrize("restored", [True, False])
@pytest.mark.parametrize("holder", ["dead", "cut off"])
def test_successor_lost_while_the_former_primary_leads(
    holder: str, restored: bool
) -> None:
    """Guards against a service without a primary until the successor is back."""
    run_virtual(lose_successor(holder, restored))


async def lose_successor(holder: str, restored: bool) -> None:
    world = RestoredWorld()
    await world.start()
    lost = world.leader().me
    world.copy("recent")
    await asyncio.sleep(1.0)
    former = world.group.primary
    for ref in world.refs:
        if ref != lost:
            world.write_at(ref.host)
    reached: list[float] = []

    def act() -> None:
        reached.append(world.now())
        if restored:
            world.restore()
        world.lose(lost, holder)
        world.group.primary.down = True
        former.down = False

    world.on_step("after primary", act)
    former.down = True
    await asyncio.sleep(60.0)
    assert reached
    gap = world.longest_gap(reached[0])
    await world.end()
    assert gap <= 30.0


@pytest.mark.parametrize("restored", [True, False])
@pytest.mark.parametrize("step", ["after order", "before primary"])
def test_recorded_successor_that_leads_and_is_cut_off(
    step: str, restored: bool
) -> None:
    """Guards against use of a primary that an unreachable successor superseded."""
    run_virtual(cut_successor_off(step, restored))


async def cut_successor_off(step: str, restored: bool) -> None:
    world = RestoredWorld()
    await world.start()
    lost = world.leader().me
    world.copy("recent")
    await asyncio.sleep(1.0)
    former = world.group.primary
    for ref in world.refs:
        if ref != lost:
            world.write_at(ref.host)
    reached: list[float] = []

    def act() -> None:
        reached.append(world.now())
        successor = decode(world.store.items[LEASE_KEY].value or b"")["successor"]
        if restored:
            world.restore()
        world.lose(lost, "cut off")
        world.group.cut(lost.host, former.entry.target)
        for ref in world.refs:
            if ref != lost:
                world.group.cut(ref.host, successor)
        for member in world.group.members.values():
            if member.entry.target != successor:
                world.group.cut(member.entry.target, successor)
                world.group.cut(successor, member.entry.target)
        former.down = False

    world.on_step(step, act)
    former.down = True
    await asyncio.sleep(18.0)
    assert reached
    await world.end()
