"""Writes of an earlier epoch of the store that take effect in the present one."""

import asyncio

from reedhook.process.primary_lease.lease_record import PROMOTION_COORDINATOR_KEY
from reedhook.wire import decode

from .fakes_clock import run_virtual
from .restored_world import LEASE_KEY, RestoredWorld

MAX_OUTAGE_SECONDS = 15.0


def test_late_write_over_the_record_of_the_present_epoch() -> None:
    """Guards against a lease that nobody holds after a late write over its record."""
    run_virtual(late_write())


async def late_write() -> None:
    world = RestoredWorld()
    await world.start()
    old = world.store.items[LEASE_KEY].value
    world.copy("recent")
    await asyncio.sleep(1.0)
    for ref in world.refs:
        world.write_at(ref.host)
    world.restore()
    await asyncio.sleep(3.0)
    assert decode(world.store.items[LEASE_KEY].value or b"")["epoch"] == 1
    world.store.write(LEASE_KEY, old)
    since = world.now()
    await asyncio.sleep(60.0)
    gap = world.longest_gap(since)
    await world.end()
    assert gap <= MAX_OUTAGE_SECONDS


def test_revived_coordinator_record_in_the_present_epoch() -> None:
    """Guards against orders that go unanswered after a late write over the role."""
    run_virtual(revived_role())


async def revived_role() -> None:
    world = RestoredWorld()
    await world.start()
    holder = world.leader().me
    appointed = next(r for r in world.refs if r.host != holder.host)
    await world.appoint_coordinator(appointed.host)
    key = PROMOTION_COORDINATOR_KEY
    old = world.store.items[key].value
    world.copy("recent")
    await asyncio.sleep(2.0)
    world.restore()
    await asyncio.sleep(15.0)
    assert decode(world.store.items[key].value or b"")["epoch"] == 1
    world.store.write(key, old)
    await asyncio.sleep(1.0)
    for ref in world.refs:
        world.write_at(ref.host)
    since = world.now()
    world.group.primary.down = True
    await asyncio.sleep(40.0)
    gap = world.longest_gap(since)
    await world.end()
    assert gap <= MAX_OUTAGE_SECONDS
