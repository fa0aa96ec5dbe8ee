"""Targets that restart under the same id after losing their data."""

import asyncio

import pytest

from reedhook.connection.session_target import StatementFault
from reedhook.process.discovery.key_value_store import Items
from reedhook.request.position import Position
from reedhook.wire import encode
from reedhook_standins.database import DatabaseMember

from .fakes_clock import run_virtual
from .session_world import TARGET_PREFIX, SessionWorld
from .support import using
from .test_session_world import a_world, first_success, traffic

ANNOUNCE_DELAY = 1.5
"""Seconds until a restarted target announces itself."""

STORE_OUTAGE_SECONDS = 4.0


async def restart(
    world: SessionWorld, member: DatabaseMember, announce_delay: float = 0.0
) -> None:
    """Restart a target without its data, and announce it."""
    member.start_again()
    await asyncio.sleep(announce_delay)
    world.announce(member.entry)


def replicas(world: SessionWorld) -> list[DatabaseMember]:
    """Return the members that are not the primary."""
    return [one for one in world.group.members.values() if not one.leads]


@pytest.mark.parametrize(
    "announce_delay", [0.0, ANNOUNCE_DELAY], ids=["at once", "entry late"]
)
def test_primary_that_lost_its_data_is_replaced(announce_delay: float) -> None:
    """Its connections break, and its new process starts at once as a replica."""

    async def play() -> None:
        world = SessionWorld()
        await world.start()
        await traffic(world, 2.0, 1)
        before = world.group.primary
        await asyncio.sleep(0.5)
        running = asyncio.create_task(traffic(world, 8.0, 2))
        await restart(world, before, announce_delay)
        caller = await world.caller("h00", "tickets")
        assert await first_success(caller, 6.0) < 3.0
        await running
        assert world.group.primary is not before
        world.check()
        assert not world.group.lost
        await world.stop()

    run_virtual(play())


def test_restarted_empty_primary_that_claims_its_role_is_replaced() -> None:
    """It claims to be the primary of its first term, as its first process did."""

    async def play() -> None:
        world = SessionWorld()
        await world.start()
        await traffic(world, 2.0, 1)
        before = world.group.primary
        await asyncio.sleep(0.5)
        running = asyncio.create_task(traffic(world, 8.0, 2))
        before.start_again()
        before.leads = True
        await asyncio.sleep(ANNOUNCE_DELAY)
        world.announce(before.entry)
        await running
        assert world.group.primary is not before
        world.check()
        await world.stop()

    run_virtual(play())


@using(a_world, run_virtual)
async def test_restarted_primary_is_not_kept_by_the_next_lease_holder(
    world: SessionWorld,
) -> None:
    """The lease holder fails too, so its successor knows only the record."""
    await traffic(world, 2.0, 3)
    await asyncio.sleep(0.5)
    before = world.group.primary
    holder = world.leader().me.host
    await restart(world, before)
    before.leads = True
    await world.kill(holder)
    other = next(name for name in world.hosts if name != holder)
    caller = await world.caller(other, "tickets")
    await first_success(caller, 20.0)
    assert world.group.primary is not before


@using(a_world, run_virtual)
async def test_restarted_primary_is_not_used_by_an_outdated_announcement(
    world: SessionWorld,
) -> None:
    """Guards against a claimer whose announcements came from the lost holder."""
    await traffic(world, 2.0, 3)
    await asyncio.sleep(0.5)
    before = world.group.primary
    for host in world.hosts.values():
        host.announcements.apply_changes = ignore  # type: ignore[method-assign]
    await restart(world, before)
    before.leads = True
    runs = len(before.runs)
    await world.kill(world.leader().me.host)
    await asyncio.sleep(2.0)
    for host in world.hosts.values():
        del host.announcements.apply_changes
    caller = await world.caller(next(iter(world.hosts)), "tickets")
    await first_success(caller, 20.0)
    assert world.group.primary is not before
    assert len(before.runs) == runs


def ignore(found: Items) -> None:
    """Apply no changes of the store."""


@using(a_world, run_virtual)
async def test_primary_restarted_during_a_store_outage_is_replaced(
    world: SessionWorld,
) -> None:
    """Only the position reported on new connections shows the restart."""
    await traffic(world, 2.0, 4)
    await asyncio.sleep(0.5)
    before = world.group.primary
    world.store.silent |= set(world.hosts)
    before.start_again()
    running = asyncio.create_task(traffic(world, STORE_OUTAGE_SECONDS + 4.0, 5))
    await asyncio.sleep(STORE_OUTAGE_SECONDS)
    world.announce(before.entry)
    world.store.silent.clear()
    caller = await world.caller("h00", "tickets")
    await first_success(caller, 4.0)
    await running
    assert world.group.primary is not before


@using(a_world, run_virtual)
async def test_restarted_successor_is_not_promoted(
    world: SessionWorld,
) -> None:
    """It restarted between its selection and the promotion order."""
    await traffic(world, 2.0, 6)
    await asyncio.sleep(0.5)
    host = world.leader()
    promotion = host.primary_leases.held["db"].promotion
    ordered: list[str] = []
    chosen: list[str] = []
    order = promotion.coordinator.order

    async def track_order(service: str, target: str, epoch: int) -> object:
        ordered.append(target)
        return await order(service, target, epoch)

    decide = promotion.decide_successor

    async def restart_once(*arguments: object) -> bool:
        found = await decide(*arguments)  # type: ignore[arg-type]
        if found and not chosen:
            chosen.append(promotion.claim.record.successor)
            await restart(world, world.group.members[chosen[0]])
            await asyncio.sleep(0.7)
        return found

    promotion.coordinator.order = track_order  # type: ignore[assignment, method-assign]
    promotion.decide_successor = restart_once  # type: ignore[assignment, method-assign]
    world.group.primary.down = True
    caller = await world.caller("h00", "tickets")
    await first_success(caller, 20.0)
    assert chosen and ordered
    assert chosen[0] not in ordered


@using(a_world, run_virtual)
async def test_empty_replica_is_not_promoted_over_one_with_data(
    world: SessionWorld,
) -> None:
    """The replica that holds all entries is unreachable for a while."""
    await traffic(world, 2.0, 7)
    await asyncio.sleep(0.5)
    empty, full = replicas(world)
    empty.deaf = True
    await restart(world, empty)
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
async def test_observations_of_a_replica_are_dropped_after_its_restart(
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
    old_home = host.statement_server.replica_homes[target]
    observations = host.replicas.observations("db").target(target)
    observations.position = Position(9, 9)
    member.deaf = True
    await restart(world, member)
    await asyncio.sleep(0.8)
    assert host.replicas.observations("db").target(target).position is None
    await traffic(world, 3.0, 9)
    assert old_home.connections.closed
    assert host.statement_server.replica_homes[target] is not old_home


@using(a_world, run_virtual)
async def test_invalid_entries_of_other_writers_do_no_harm(world: SessionWorld) -> None:
    """Target entries are overwritten with invalid data while statements run."""
    running = asyncio.create_task(traffic(world, 6.0, 10))
    members = [one.entry for one in world.group.members.values()]
    invalid_entries = [
        b"\xff",
        b"{}",
        b"[1]",
        encode({"entry": [1, 2]}),
        b'{"entry": 0}',
    ]
    for index in range(10):
        entry = members[index % len(members)]
        world.store.write(TARGET_PREFIX + entry.target, invalid_entries[index % 5])
        world.store.write(f"{TARGET_PREFIX}x{index}", invalid_entries[(index + 2) % 5])
        await asyncio.sleep(0.4)
        world.announce(entry)
    callers = await running
    assert len(callers) > 100
    caller = await world.caller("h00", "tickets")
    reply = await caller.write()
    assert reply.refusal is None and reply.fault is StatementFault.NONE
