"""Requests to claim a lease whose record changes before the claim."""

import asyncio

import pytest

from reedhook.peer import HostRef
from reedhook.process.primary_lease.lease_record import HostIncarnation

from .fakes_clock import run_virtual
from .late_write_world import LateWriteWorld, names_other_backup_holder

REQUEST_DELAY_SECONDS = 0.3


@pytest.mark.parametrize("late", [False, True])
def test_backup_holder_replaced_during_a_transfer_is_recorded(late: bool) -> None:
    """Guards against a statement about former holders that is older than the record."""
    run_virtual(replace_during_transfer(late))


async def replace_during_transfer(late: bool) -> None:
    world = LateWriteWorld()
    await world.start()
    holder = world.leader()
    lease = holder.primary_leases.held["db"]
    claimer = next(ref for ref in lease.ranking.ranked("db") if ref != holder.me)
    first = next(r for r in world.refs if r.zone == claimer.zone and r != claimer)
    second = next(r for r in world.refs if r.zone not in (holder.me.zone, first.zone))
    await lease.others.set_backup_holder(incarnation_of(world, first))
    await asyncio.sleep(20.0)
    assert world.backup_holder().me == first
    assert lease.others.former_expired() and not world.record()["former"]
    named = incarnation_of(world, second)
    delays = world.network.delays
    if late:
        world.make_late(names_other_backup_holder(first.host), 0.8, 5)
        world.spawn(lease.others.set_backup_holder(named))
        await asyncio.sleep(0.6)
    delays[holder.me.host, claimer.host] = REQUEST_DELAY_SECONDS
    transfer = asyncio.create_task(holder.primary_leases.transfer("db"))
    if not late:
        await asyncio.sleep(REQUEST_DELAY_SECONDS / 2)
        await lease.others.set_backup_holder(named)
    await transfer
    assert world.leader().me == claimer
    former = [one["ref"][0] for one in world.record()["former"]]
    assert former == [first.host, holder.me.host, second.host]
    await world.end()


def incarnation_of(world: LateWriteWorld, ref: HostRef) -> HostIncarnation:
    """Return the running process of a host."""
    return world.hosts[ref.host].primary_leases.me
