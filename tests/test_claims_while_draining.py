"""Leases that a host claims or is asked to claim while it gives leases up."""

import asyncio

import pytest

from reedhook.request.session_command import SessionCommandKind

from .fakes_clock import run_virtual
from .late_write_world import LateWriteWorld


@pytest.mark.parametrize("open_transaction", [False, True])
def test_lease_is_not_handed_to_a_host_that_releases_it(open_transaction: bool) -> None:
    """Guards against a claim that is confirmed by a host that drains that lease."""
    run_virtual(hand_lease_back(open_transaction))


async def hand_lease_back(open_transaction: bool) -> None:
    world = LateWriteWorld()
    await world.start()
    first = world.leader()
    ranking = first.primary_leases.ranking.ranked("db")
    second = next(world.hosts[ref.host] for ref in ranking if ref != first.me)
    if open_transaction:
        # The first holder then drains its lease for up to 2 s.
        caller = await world.caller(first.me.host, "tickets")
        await caller.run(SessionCommandKind.BEGIN)
        await caller.write()
    assert await second.primary_leases.claim("db", requested=True)
    await asyncio.sleep(0.2)
    await second.drain()
    left = world.leader().me.host != second.me.host
    await world.end()
    assert left


@pytest.mark.parametrize("store_seconds", [0.004, 0.24])
def test_claim_that_ends_after_its_host_began_to_drain(store_seconds: float) -> None:
    """Guards against a lease that a host acquires while it hands all leases over."""
    run_virtual(drain_while_claiming(store_seconds))


async def drain_while_claiming(store_seconds: float) -> None:
    world = LateWriteWorld()
    await world.start()
    first = world.leader()
    ranking = first.primary_leases.ranking.ranked("db")
    second = next(world.hosts[ref.host] for ref in ranking if ref != first.me)
    world.store.delay[second.me.host] = store_seconds
    world.spawn(first.drain())
    await asyncio.sleep(0.1)
    await second.drain()
    left = not second.primary_leases.held
    await world.end()
    assert left
