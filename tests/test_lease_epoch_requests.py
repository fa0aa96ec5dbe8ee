"""Requests to claim a lease that were sent before a restore of the store."""

import asyncio

from reedhook.process.primary_lease.lease_record import PrimaryLeaseRecord
from reedhook.wire import decode

from .fakes_clock import run_virtual
from .restored_world import LEASE_KEY, RestoredWorld
from .test_lease_epochs import isolate


def test_statement_of_before_the_restore_about_former_holders() -> None:
    """Guards against a promotion while a claimer that was lost is active."""
    run_virtual(late_statement())


async def late_statement() -> None:
    world = RestoredWorld()
    await world.start()
    holder = world.leader().me
    world.copy("recent")
    backup = world.backup_holder().me
    item = world.store.items[LEASE_KEY]
    # Sent by the holder before the restore; `other` was paused since, say.
    body = {
        "service": "db",
        "alone": PrimaryLeaseRecord.from_item(item).order.to_json(),
    }
    isolate(world, holder)
    world.store.declining.add(backup.host)
    await asyncio.sleep(2.5)
    world.store.declining.clear()
    claimer = world.leader().me
    assert claimer not in (holder, backup)
    for ref in world.refs:
        world.write_at(ref.host)
    world.heal()
    isolate(world, claimer)
    world.restore()
    await asyncio.sleep(0.5)
    assert world.leader().me == holder
    other = next(r for r in world.refs if r not in (holder, claimer, backup))
    await world.hosts[other.host].primary_leases.handle_claim(body)
    record = decode(world.store.items[LEASE_KEY].value or b"")
    former = world.group.primary
    for ref in world.refs:
        if ref != claimer:
            world.group.cut(ref.host, former.entry.target)
    await asyncio.sleep(25.0)
    await world.end()
    assert not record["complete"]
