"""Targets that start again under their id and hold nothing of before."""

import asyncio

import pytest

from reedhook.connection.session_target import StatementFault
from reedhook.request.position import Position
from reedhook.wire import encode
from reedhook_standins.database import DatabaseMember

from .fakes_clock import run_virtual
from .session_world import TARGET_PREFIX, SessionWorld
from .support import using
from .test_session_world import a_world, first_success, traffic

ENTRY_LATE = 1.5
"""Seconds after which a target announces itself; the store hears it at 1.2 s."""

STORE_AWAY = 4.0


async def start_again(
    world: SessionWorld, member: DatabaseMember, late: float = 0.0
) -> None:
    """Let a target start again, and announce itself."""
    member.start_again()
    await asyncio.sleep(late)
    world.announce(member.entry)


def replicas(world: SessionWorld) -> list[DatabaseMember]:
    """Return the members that do not lead."""
    return [one for one in world.group.members.values() if not one.leads]


@pytest.mark.parametrize("late", [0.0, ENTRY_LATE], ids=["at once", "entry late"])
def test_a_primary_that_lost_everything_is_replaced(late: float) -> None:
    """Its connections break, its next process is there at once, as a replica."""

    async def play() -> None:
        world = SessionWorld()
        await world.start()
        await traffic(world, 2.0, 1)
        before = world.group.primary
        await asyncio.sleep(0.5)
        running = asyncio.create_task(traffic(world, 8.0, 2))
        await start_again(world, before, late)
        caller = await world.caller("h00", "tickets")
        assert await first_success(caller, 6.0) < 3.0
        await running
        assert world.group.primary is not before
        world.check()
        assert not world.group.lost
        await world.stop()

    run_virtual(play())


def test_a_primary_that_comes_back_empty_and_leads_is_not_believed() -> None:
    """It says that it leads its first term, as the very first process did."""

    async def play() -> None:
        world = SessionWorld()
        await world.start()
        await traffic(world, 2.0, 1)
        before = world.group.primary
        await asyncio.sleep(0.5)
        running = asyncio.create_task(traffic(world, 8.0, 2))
        before.start_again()
        before.leads = True
        await asyncio.sleep(ENTRY_LATE)
        world.announce(before.entry)
        await running
        assert world.group.primary is not before
        world.check()
        await world.stop()

    run_virtual(play())


@using(a_world, run_virtual)
async def test_a_primary_that_started_again_is_not_taken_over(
    world: SessionWorld,
) -> None:
    """Its holder is lost at the same time; the next one has the record only."""
    await traffic(world, 2.0, 3)
    await asyncio.sleep(0.5)
    before = world.group.primary
    holder = world.leader().me.host
    await start_again(world, before)
    before.leads = True
    await world.kill(holder)
    other = next(name for name in world.hosts if name != holder)
    caller = await world.caller(other, "tickets")
    await first_success(caller, 20.0)
    assert world.group.primary is not before


@using(a_world, run_virtual)
async def test_a_primary_that_started_again_while_the_store_is_away(
    world: SessionWorld,
) -> None:
    """No entry tells of it; what it states on new connections does."""
    await traffic(world, 2.0, 4)
    await asyncio.sleep(0.5)
    before = world.group.primary
    world.store.silent |= set(world.hosts)
    before.start_again()
    running = asyncio.create_task(traffic(world, STORE_AWAY + 4.0, 5))
    await asyncio.sleep(STORE_AWAY)
    world.announce(before.entry)
    world.store.silent.clear()
    caller = await world.caller("h00", "tickets")
    await first_success(caller, 4.0)
    await running
    assert world.group.primary is not before


@using(a_world, run_virtual)
async def test_a_successor_that_started_again_is_not_ordered(
    world: SessionWorld,
) -> None:
    """It started between the decision on it and the order."""
    await traffic(world, 2.0, 6)
    await asyncio.sleep(0.5)
    host = world.leader()
    promotion = host.primary_leases.held["db"].promotion
    ordered: list[str] = []
    chosen: list[str] = []
    order = promotion.coordinator.order

    async def late_order(service: str, target: str) -> object:
        ordered.append(target)
        return await order(service, target)

    decide = promotion.decide_successor

    async def lose_it(*arguments: object) -> bool:
        found = await decide(*arguments)  # type: ignore[arg-type]
        if found and not chosen:
            chosen.append(promotion.claim.record.successor)
            await start_again(world, world.group.members[chosen[0]])
            await asyncio.sleep(0.7)
        return found

    promotion.coordinator.order = late_order  # type: ignore[assignment, method-assign]
    promotion.decide_successor = lose_it  # type: ignore[assignment, method-assign]
    world.group.primary.down = True
    caller = await world.caller("h00", "tickets")
    await first_success(caller, 20.0)
    assert chosen and ordered
    assert chosen[0] not in ordered


@using(a_world, run_virtual)
async def test_one_that_holds_nothing_is_not_promoted_over_one_that_holds_more(
    world: SessionWorld,
) -> None:
    """The replica that holds everything cannot be reached for a while."""
    await traffic(world, 2.0, 7)
    await asyncio.sleep(0.5)
    empty, full = replicas(world)
    empty.deaf = True
    await start_again(world, empty)
    for host in world.hosts:
        world.group.cut(host, full.entry.target)
    world.group.primary.down = True
    await asyncio.sleep(4.0)
    assert not world.group.promotions
    world.group.cuts.clear()
    caller = await world.caller("h00", "tickets")
    await first_success(caller, 6.0)
    assert world.group.primary is full


@using(a_world, run_virtual)
async def test_what_was_learned_of_a_replica_does_not_speak_for_the_next(
    world: SessionWorld,
) -> None:
    await traffic(world, 2.0, 8)
    member = replicas(world)[0]
    target = member.entry.target
    host = next(
        one
        for one in world.hosts.values()
        if target in one.statement_server.replica_homes
    )
    old = host.statement_server.replica_homes[target]
    seen = host.replicas.observations("db").target(target)
    seen.position = Position(9, 9)
    member.deaf = True
    await start_again(world, member)
    await asyncio.sleep(0.8)
    assert host.replicas.observations("db").target(target).position is None
    await traffic(world, 3.0, 9)
    assert old.connections.closed
    assert host.statement_server.replica_homes[target] is not old


@using(a_world, run_virtual)
async def test_entries_of_other_writers_break_nothing(world: SessionWorld) -> None:
    """Somebody scribbles over entries of targets while statements run."""
    running = asyncio.create_task(traffic(world, 6.0, 10))
    members = [one.entry for one in world.group.members.values()]
    scribbles = [b"\xff", b"{}", b"[1]", encode({"entry": [1, 2]}), b'{"entry": 0}']
    for index in range(10):
        entry = members[index % len(members)]
        world.store.write(TARGET_PREFIX + entry.target, scribbles[index % 5])
        world.store.write(f"{TARGET_PREFIX}x{index}", scribbles[(index + 2) % 5])
        await asyncio.sleep(0.4)
        world.announce(entry)
    callers = await running
    assert len(callers) > 100
    caller = await world.caller("h00", "tickets")
    reply = await caller.write()
    assert reply.refusal is None and reply.fault is StatementFault.NONE
