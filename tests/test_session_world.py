"""Session hosts under faults, checked against the state of the targets.

Guards against lost commits, repeated writes, stale reads and two primaries in use.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.session_state import SessionState
from reedhook.connection.session_target import StatementFault
from reedhook.peer import HostRef
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.primary_lease.lease_record import HostIncarnation
from reedhook.request.refusal import RefusalReason, not_run
from reedhook.request.session_command import SessionCommandKind
from reedhook.request.session_statement import SessionStatement, SessionStatementResult
from reedhook.request.statement_forwarder import StatementLocation
from reedhook.request.verdict import Verdict
from reedhook.version.route_table import TargetAnnouncement
from reedhook.wire import decode

from .fakes_clock import in_virtual_time, run_virtual
from .session_world import Caller, SessionWorld
from .support import using


@asynccontextmanager
async def a_world() -> AsyncIterator[SessionWorld]:
    """Yield a running world; check its guarantees at the end."""
    world = SessionWorld()
    await world.start()
    yield world
    world.check()
    await world.stop()


async def traffic(
    world: SessionWorld, seconds: float, seed: int, pause: float = 0.15
) -> list[Caller]:
    """Run callers at all hosts for `seconds`; return them."""
    rng = random.Random(seed)
    until = asyncio.get_running_loop().time() + seconds
    callers: list[Caller] = []

    async def one(host: str, database: str) -> None:
        while asyncio.get_running_loop().time() < until:
            if host not in world.hosts:
                await asyncio.sleep(0.1)
                continue
            caller = await world.caller(host, database)
            callers.append(caller)
            await operate(caller, rng)
            await asyncio.sleep(rng.uniform(0.01, pause))

    hosts = [ref.host for ref in world.refs]
    databases = ["tickets", "views", "reports"]
    await asyncio.gather(*(one(host, name) for host in hosts for name in databases))
    return callers


async def operate(caller: Caller, rng: random.Random) -> None:
    """Run a few random operations in one session."""
    if rng.random() < 0.4:
        await caller.set("v", str(rng.random()))
    if rng.random() < 0.4:
        await caller.prepare("s", rng.random() < 0.5)
    for _ in range(rng.randint(1, 3)):
        choice = rng.random()
        if choice < 0.5:
            await caller.read()
        elif choice < 0.75:
            await caller.write()
        else:
            await transact(caller, rng)


async def transact(caller: Caller, rng: random.Random) -> None:
    """Run a transaction of a few random statements."""
    reads_only = rng.random() < 0.3
    kind = SessionCommandKind.BEGIN_READ if reads_only else SessionCommandKind.BEGIN
    await caller.run(kind)
    for _ in range(rng.randint(1, 3)):
        if rng.random() < 0.2:
            await caller.set("w", str(rng.random()))
        if reads_only or rng.random() < 0.5:
            await caller.read()
        else:
            await caller.write()
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    ends = (
        SessionCommandKind.ROLLBACK if rng.random() < 0.2 else SessionCommandKind.COMMIT
    )
    await caller.run(ends)


async def first_success(caller: Caller, seconds: float) -> float:
    """Repeat a write until it succeeds; return how long that took, in seconds."""
    started_at = asyncio.get_running_loop().time()
    while asyncio.get_running_loop().time() - started_at < seconds:
        reply = await caller.write()
        if reply.refusal is None and reply.fault is StatementFault.NONE:
            return asyncio.get_running_loop().time() - started_at
        await asyncio.sleep(0.05)
    raise AssertionError("no write succeeded")


def leaving(entry: TargetAnnouncement) -> TargetAnnouncement:
    """Return the announcement of a target that is leaving."""
    values = [*entry.values()]
    values[4] = True
    return TargetAnnouncement(*values)


@using(a_world, run_virtual)
async def test_a_quiet_day_is_served(world: SessionWorld) -> None:
    callers = await traffic(world, 3.0, 1)
    assert len(callers) > 100
    assert len(world.acknowledged) > 50


@using(a_world, run_virtual)
async def test_lease_holder_backup_and_primary_are_in_three_zones(
    world: SessionWorld,
) -> None:
    zones = {world.leader().me.zone, world.backup_holder().me.zone}
    assert len(zones | {world.group.primary.entry.zone}) == 3


@pytest.mark.parametrize("weak", [{"h00", "h11", "h21"}, {"h01", "h11", "h20"}])
@in_virtual_time
async def test_weak_hosts_hold_no_homes_if_strong_hosts_exist(
    weak: frozenset[str],
) -> None:
    weak = frozenset(weak)
    world = SessionWorld(weak=weak)
    await world.start()
    await asyncio.sleep(4.0)
    assert world.leader().me.host not in weak
    assert world.backup_holder().me.host not in weak
    caller = await world.caller("h10", "views")
    for _ in range(20):
        await caller.read()
        await asyncio.sleep(0.05)
    homes = {
        name
        for name, host in world.hosts.items()
        if host.statement_server.replica_homes
    }
    assert not homes & weak
    world.check()
    await world.stop()


@in_virtual_time
async def test_joining_strong_host_acquires_lease_without_failures() -> None:
    weak = frozenset({"h00", "h01", "h10", "h20"})
    world = SessionWorld(weak=weak)
    world.refs = [ref for ref in world.refs if ref.host in weak]
    await world.start()
    world.refs += [
        HostRef("h21", "z2", "10.1.2.1:1"),
        HostRef("h11", "z1", "10.1.1.1:1"),
    ]
    running = asyncio.create_task(traffic(world, 6.0, 12, pause=0.4))
    for ref in world.refs[-2:]:
        await world.start_host(ref)
    await running
    assert world.leader().me.host not in weak
    failed = [
        name
        for host in world.hosts.values()
        for name in host.metrics.counters
        if name.startswith("failed")
    ]
    assert not failed
    world.check()
    await world.stop()


@using(a_world, run_virtual)
async def test_unreachable_primary_is_replaced_within_two_seconds(
    world: SessionWorld,
) -> None:
    caller = await world.caller(world.backup_holder().me.host, "tickets")
    await caller.write()
    world.group.primary.down = True
    outage_seconds = await first_success(caller, 6.0)
    assert outage_seconds < 2.0
    assert len(world.group.promotions) == 1


@using(a_world, run_virtual)
async def test_primary_in_isolated_zone_is_replaced(world: SessionWorld) -> None:
    former_primary = world.group.primary
    running = asyncio.create_task(traffic(world, 8.0, 2, pause=0.5))
    await asyncio.sleep(1.0)
    world.cut_zone(former_primary.entry.zone)
    await asyncio.sleep(4.0)
    assert world.group.primary is not former_primary
    world.heal()
    await running


@using(a_world, run_virtual)
async def test_lease_holder_in_isolated_zone_is_replaced_without_promotion(
    world: SessionWorld,
) -> None:
    holder = world.leader()
    other = next(ref for ref in world.refs if ref.zone != holder.me.zone)
    running = asyncio.create_task(traffic(world, 8.0, 3, pause=0.5))
    await asyncio.sleep(1.0)
    world.cut_zone(holder.me.zone)
    await asyncio.sleep(2.0)
    caller = await world.caller(other.host, "tickets")
    await first_success(caller, 1.0)
    assert world.group.promotions == []
    await asyncio.sleep(2.0)
    world.heal()
    await running


@using(a_world, run_virtual)
async def test_new_lease_holder_does_not_wait_for_unresponsive_targets(
    world: SessionWorld,
) -> None:
    former_holder = world.leader().me
    world.cut_zone(former_holder.zone)
    while world.leader().me.zone == former_holder.zone:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    lease = world.leader().primary_leases.held["db"]
    assert lease.ready.is_set()
    assert lease.home is not None
    assert lease.home.entry.target == world.group.primary.entry.target


@using(a_world, run_virtual)
async def test_lease_of_a_dead_holder_is_acquired_immediately(
    world: SessionWorld,
) -> None:
    former_holder = world.leader().me
    await world.kill(former_holder.host)
    while not any(
        host.failure_detector.is_lost(former_holder) for host in world.hosts.values()
    ):
        await asyncio.sleep(0.001)
    # The time of two calls of the store.
    await asyncio.sleep(0.03)
    record = decode(world.store.items["reedhook/lead/db"].value or b"")
    assert record["holder"]["ref"][0] != former_holder.host


@using(a_world, run_virtual)
async def test_lease_whose_claim_took_effect_late_is_held(world: SessionWorld) -> None:
    """The claimer was named in the record, and neither it nor another host held it."""
    holder = world.leader().me
    others = [ref.host for ref in world.refs if ref != holder]
    world.store.late.update({host: 1.0 for host in others})
    await world.kill(holder.host)
    await asyncio.sleep(3.0)
    world.store.late.clear()
    caller = await world.caller(others[0], "tickets")
    assert await first_success(caller, 10.0) < 3.0


@using(a_world, run_virtual)
async def test_backup_holder_serves_while_holder_and_store_are_unreachable(
    world: SessionWorld,
) -> None:
    holder, backup = world.leader(), world.backup_holder()
    await asyncio.sleep(5.0)
    world.store.silent |= {ref.host for ref in world.refs}
    await world.kill(holder.me.host)
    caller = await world.caller(backup.me.host, "tickets")
    assert await first_success(caller, 3.0) < 2.5


@using(a_world, run_virtual)
async def test_backup_holder_stops_when_its_lease_expires(world: SessionWorld) -> None:
    holder, backup = world.leader(), world.backup_holder()
    await asyncio.sleep(5.0)
    world.store.silent |= {ref.host for ref in world.refs}
    await world.kill(holder.me.host)
    await asyncio.sleep(13.0)
    caller = await world.caller(backup.me.host, "tickets")
    reply = await caller.write()
    assert reply.refusal is not None
    assert reply.refusal.verdict is Verdict.NOT_RUN


@using(a_world, run_virtual)
async def test_lost_primary_is_replaced_once_a_busy_store_recovers(
    world: SessionWorld,
) -> None:
    holder, zone = world.leader().me, world.group.primary.entry.zone
    running = asyncio.create_task(traffic(world, 5.0, 11, pause=0.5))
    await asyncio.sleep(0.5)
    world.store.declining |= {ref.host for ref in world.refs}
    await asyncio.sleep(2.5)
    world.cut_zone(zone)
    await asyncio.sleep(2.1)
    world.store.declining.clear()
    caller = await world.caller(holder.host, "tickets")
    assert await first_success(caller, 6.0) < 1.5
    world.heal()
    await running


@using(a_world, run_virtual)
async def test_lease_handover_does_not_wait_for_a_lost_primary(
    world: SessionWorld,
) -> None:
    """Open transactions at an unresponsive primary must not delay the handover."""
    holder = world.leader().me
    open_there = await world.caller(holder.host, "tickets")
    await open_there.run(SessionCommandKind.BEGIN)
    await open_there.write()
    world.group.primary.down = True
    world.store.silent.add(holder.host)
    other = next(ref.host for ref in world.refs if ref.zone != holder.zone)
    caller = await world.caller(other, "tickets")
    assert await first_success(caller, 8.0) < 3.0


@using(a_world, run_virtual)
async def test_no_promotion_while_a_former_holder_may_use_the_primary(
    world: SessionWorld,
) -> None:
    """The former holder is isolated from hosts and store, but not from the primary."""
    holder = world.leader().me
    others = {ref.host for ref in world.refs} - {holder.host}
    world.network.isolate({holder.host}, others)
    world.store.silent.add(holder.host)
    await asyncio.sleep(3.0)
    assert world.leader().me != holder
    former_primary = world.group.primary
    for host in others:
        world.group.cut(host, former_primary.entry.target)
    caller_at_former_holder = await world.caller(holder.host, "tickets")
    for _ in range(30):
        await caller_at_former_holder.write()
        await asyncio.sleep(0.1)
    assert world.group.promotions == []
    await asyncio.sleep(14.0)
    assert len(world.group.promotions) >= 1
    reply = await caller_at_former_holder.write()
    assert reply.refusal is not None


@using(a_world, run_virtual)
async def test_paused_holder_sends_nothing_after_its_lease_expired(
    world: SessionWorld,
) -> None:
    holder = world.leader()
    former_primary = world.group.primary
    world.network.pause(holder.me.host)
    await asyncio.sleep(3.0)
    for host in world.hosts:
        world.group.cut(host, former_primary.entry.target)
    await asyncio.sleep(16.0)
    assert world.group.primary is not former_primary
    world.group.cuts.clear()
    world.network.resume(holder.me.host)
    runs = len(former_primary.runs)
    caller = await world.caller(holder.me.host, "tickets")
    await caller.write()
    assert len(former_primary.runs) == runs


@using(a_world, run_virtual)
async def test_planned_change_of_primary_loses_no_commit(world: SessionWorld) -> None:
    former_primary = world.group.primary
    running = asyncio.create_task(traffic(world, 5.0, 4, pause=0.3))
    await asyncio.sleep(1.0)
    former_primary.entry = leaving(former_primary.entry)
    world.announce(former_primary.entry)
    await running
    assert world.group.primary is not former_primary
    acknowledged = {one.position for one in world.acknowledged}
    assert not acknowledged & world.group.lost


@using(a_world, run_virtual)
async def test_lease_moves_to_a_host_that_reaches_the_primary(
    world: SessionWorld,
) -> None:
    holder, former_holder = world.leader().me, world.group.primary
    world.group.cut(holder.host, former_holder.entry.target)
    await asyncio.sleep(3.0)
    assert world.leader().me != holder
    assert world.group.promotions == []
    caller = await world.caller(holder.host, "tickets")
    await first_success(caller, 1.0)


@using(a_world, run_virtual)
async def test_store_outage_of_nine_seconds_causes_no_failures(
    world: SessionWorld,
) -> None:
    world.store.silent |= {ref.host for ref in world.refs}
    callers = await traffic(world, 9.0, 5, pause=0.5)
    failed = world.hosts["h00"].metrics.counters
    assert len(callers) > 100
    assert not [name for name in failed if name.startswith("failed")]


@using(a_world, run_virtual)
async def test_write_without_response_may_have_run(world: SessionWorld) -> None:
    caller = await world.caller("h00", "tickets")
    await caller.write()
    world.group.primary.losing = 1.0
    reply = await caller.write()
    assert reply.refusal is not None
    assert reply.refusal.verdict is Verdict.MAY_HAVE_RUN


@using(a_world, run_virtual)
async def test_write_is_not_repeated_after_a_lost_peer_response(
    world: SessionWorld,
) -> None:
    holder = world.leader().me.host
    host = next(ref.host for ref in world.refs if ref.host != holder)
    caller = await world.caller(host, "tickets")
    before = len(world.group.primary.runs)
    world.network.cut(holder, host)
    writing = asyncio.create_task(caller.write())
    await asyncio.sleep(0.5)
    world.network.heal()
    reply = await writing
    assert len(world.group.primary.runs) == before + 1
    assert reply.refusal is None


@using(a_world, run_virtual)
async def test_first_statement_of_a_transaction_is_not_retried_elsewhere(
    world: SessionWorld,
) -> None:
    """A statement without a response must not be sent to another replica."""
    host = world.hosts["h00"]
    caller = await world.caller("h00", "views")
    await caller.read()
    sent = []

    async def lose(
        location: StatementLocation, statement: SessionStatement
    ) -> SessionStatementResult:
        sent.append(location.target)
        raise not_run(RefusalReason.TRANSACTION_LOST, "its connection was lost", 50)

    host.forwarder.run_at = lose  # type: ignore[method-assign]
    await caller.run(SessionCommandKind.BEGIN_READ)
    reply = await caller.read()
    assert reply.refusal is not None
    assert reply.refusal.reason is RefusalReason.TRANSACTION_LOST
    assert len(sent) == 1


@using(a_world, run_virtual)
async def test_a_replica_that_lags_serves_no_stale_read(world: SessionWorld) -> None:
    for member in world.group.members.values():
        if not member.leads:
            member.lag = 4.0
    await traffic(world, 6.0, 6, pause=0.4)


@using(a_world, run_virtual)
async def test_removed_route_ends_its_sessions_at_the_next_statement(
    world: SessionWorld,
) -> None:
    caller = await world.caller("h00", "views")
    world.configure(5, ["tickets"])
    await asyncio.sleep(1.0)
    reply = await caller.read()
    assert reply.ends
    assert reply.refusal is not None
    assert reply.refusal.reason is RefusalReason.UNKNOWN_GROUP


@using(a_world, run_virtual)
async def test_configuration_is_applied_in_time_after_watches_fail_silently(
    world: SessionWorld,
) -> None:
    """A configuration must be in force within 3 s even if watches fail silently."""
    for moment in range(20):
        # A change completes all watches, so that all are pending from now on.
        world.configure(10 + 2 * moment, ["tickets"])
        await asyncio.sleep(0.7 + 0.1 * moment)
        world.store.deafen()
        world.configure(11 + 2 * moment, ["tickets", "views"])
        await asyncio.sleep(2.9)
        versions = {one.announcements.table.version for one in world.hosts.values()}
        assert versions == {11 + 2 * moment}


@using(a_world, run_virtual)
async def test_older_configuration_is_never_applied(
    world: SessionWorld,
) -> None:
    world.configure(9, ["tickets"])
    await asyncio.sleep(1.0)
    world.configure(4, ["tickets", "views"])
    await asyncio.sleep(1.0)
    versions = {host.announcements.table.version for host in world.hosts.values()}
    assert versions == {9}


@using(a_world, run_virtual)
async def test_host_without_store_fetches_configuration_from_peers(
    world: SessionWorld,
) -> None:
    world.store.silent.add("h00")
    world.configure(7, ["tickets"])
    await asyncio.sleep(3.0)
    assert world.hosts["h00"].announcements.table.version == 7


@using(a_world, run_virtual)
async def test_host_reads_a_full_snapshot_after_history_loss(
    world: SessionWorld,
) -> None:
    world.store.silent.add("h00")
    world.network.isolate({"h00"}, {ref.host for ref in world.refs} - {"h00"})
    await asyncio.sleep(6.0)
    world.configure(8, ["tickets"])
    world.store.forget()
    world.heal()
    await asyncio.sleep(6.0)
    assert world.hosts["h00"].announcements.table.version == 8


@using(a_world, run_virtual)
async def test_idle_transaction_is_aborted_after_its_timeout(
    world: SessionWorld,
) -> None:
    caller = await world.caller("h00", "tickets")
    await caller.run(SessionCommandKind.BEGIN)
    await caller.write()
    await asyncio.sleep(5.0)
    states = [caller.session.state]
    reply = await caller.run(SessionCommandKind.COMMIT)
    states.append(caller.session.state)
    assert reply.refusal is not None
    assert reply.refusal.verdict is Verdict.NOT_RUN
    assert states == [SessionState.FAILED, SessionState.IDLE]


@using(a_world, run_virtual)
async def test_draining_host_hands_over_its_leases_first(world: SessionWorld) -> None:
    holder = world.leader()
    running = asyncio.create_task(traffic(world, 3.0, 7))
    draining = asyncio.create_task(holder.drain())
    await asyncio.sleep(1.0)
    assert world.leader().me != holder.me
    assert not holder.ready
    await draining
    await running


@using(a_world, run_virtual)
async def test_promotion_coordinator_role_stays_with_a_live_host(
    world: SessionWorld,
) -> None:
    for _ in range(3):
        world.group.primary.down = True
        await asyncio.sleep(4.0)
        for member in world.group.members.values():
            member.down = False
        await asyncio.sleep(3.0)
    holders = {holder for _, holder, _ in world.group.promotions}
    assert len(world.group.promotions) >= 2
    assert len(holders) == 1


@using(a_world, run_virtual)
async def test_promotion_coordinator_role_of_a_restarted_host_is_claimed_immediately(
    world: SessionWorld,
) -> None:
    holder = world.leader().me.host
    other = next(ref.host for ref in world.refs if ref.host != holder)
    await world.appoint_coordinator(other)
    await world.restart(other)
    await asyncio.sleep(4.0)
    caller = await world.caller(world.leader().me.host, "tickets")
    await first_success(caller, 1.0)
    world.group.primary.down = True
    assert await first_success(caller, 6.0) < 2.5


@using(a_world, run_virtual)
async def test_connections_to_a_target_never_exceed_its_limit(
    world: SessionWorld,
) -> None:
    max_open = 0

    async def watch() -> None:
        nonlocal max_open
        while True:
            for member in world.group.members.values():
                max_open = max(max_open, len(member.connections))
            await asyncio.sleep(0.01)

    watching = asyncio.create_task(watch())
    running = asyncio.create_task(traffic(world, 4.0, 8))
    await asyncio.sleep(1.0)
    await world.restart(world.leader().me.host)
    await running
    watching.cancel()
    assert max_open <= 16


@using(a_world, run_virtual)
async def test_connections_to_a_former_address_are_closed(
    world: SessionWorld,
) -> None:
    await traffic(world, 1.0, 9)
    member = next(one for one in world.group.members.values() if not one.leads)
    entry = member.entry
    homes = [
        host.statement_server.replica_homes.get(entry.target)
        for host in world.hosts.values()
    ]
    old = [home for home in homes if home is not None]
    assert old
    member.entry = TargetAnnouncement(
        entry.target,
        entry.service,
        "10.0.9.9:1",
        entry.zone,
        entry.leaving,
        entry.claims_primary,
        entry.started_at_ms,
        entry.slots,
        entry.sequence,
    )
    world.announce(member.entry)
    await asyncio.sleep(0.7)
    await traffic(world, 4.0, 10)
    assert all(home.connections.closed for home in old)


@using(a_world, run_virtual)
async def test_restarted_holder_is_not_considered_lost(
    world: SessionWorld,
) -> None:
    holder = world.leader().me
    other = next(one for one in world.hosts.values() if one.me != holder)
    other.failure_detector.lost_at[holder.host] = other.clock.monotonic()
    record = other.lease_registry.get("db")
    assert record is not None
    revision = StoreRevision(0, record.revision.number + 1)
    newer_record = record.with_revision(revision)
    newer_record.holder = HostIncarnation(holder, "another life")
    other.lease_registry.update(newer_record, "peer")
    assert not other.failure_detector.is_lost(holder)


BASIC_FAULTS = "zone store late losing kill pause primary cut lag deaf answers heal"
"""Kinds of faults; changing this list changes the faults that a seed selects."""

MORE_FAULTS = f"{BASIC_FAULTS} oneway leaving forget deafen slow busy"
FAULTS_WITH_RESTARTS = f"{MORE_FAULTS} again again scribble"


async def run_with_faults(seed: int, kinds: str = BASIC_FAULTS) -> None:
    """Run traffic under random faults, then check the guarantees of the world."""
    rng = random.Random(seed)
    world = SessionWorld(seed)
    await world.start()
    running = asyncio.create_task(traffic(world, 10.0, seed, pause=1.0))
    for _ in range(5):
        await asyncio.sleep(rng.uniform(0.2, 1.6))
        await inject_fault(world, rng, kinds.split())
    await asyncio.sleep(1.0)
    world.heal()
    world.store.late.clear()
    world.store.losing.clear()
    world.store.delay.clear()
    for member in world.group.members.values():
        member.heal()
        if kinds is FAULTS_WITH_RESTARTS:
            world.announce(member.entry)
    for ref in world.refs:
        world.network.resume(ref.host)
        if ref.host not in world.hosts:
            await world.start_host(ref)
    await running
    world.check()
    await world.stop()


async def inject_fault(
    world: SessionWorld, rng: random.Random, kinds: list[str]
) -> None:
    """Inject one random fault."""
    host = rng.choice([ref.host for ref in world.refs])
    members = list(world.group.members.values())
    zone = rng.choice([ref.zone for ref in world.refs])
    kind = rng.choice(kinds)
    if kind == "zone":
        world.heal()
        world.cut_zone(zone)
    elif kind == "store":
        world.store.silent |= {ref.host for ref in world.refs if rng.random() < 0.6}
    elif kind == "late":
        world.store.late[host] = rng.uniform(1.0, 6.0)
    elif kind == "losing":
        world.store.losing.add(host)
    elif kind == "kill":
        await world.restart(host)
    elif kind == "pause":
        world.network.pause(host)
        asyncio.get_running_loop().call_later(
            rng.uniform(0.5, 4.0), world.network.resume, host
        )
    elif kind == "primary":
        world.group.primary.down = True
    elif kind == "cut":
        for ref in world.refs:
            if rng.random() < 0.5:
                world.group.cut(ref.host, world.group.primary.entry.target)
    elif kind == "lag":
        rng.choice(members).lag = rng.uniform(0.1, 3.0)
    elif kind == "deaf":
        rng.choice(members).deaf = True
    elif kind == "answers":
        rng.choice(members).losing = 0.1
    elif kind == "oneway":
        world.network.cut(host, rng.choice([ref.host for ref in world.refs]))
    elif kind == "leaving":
        member = rng.choice(members)
        member.entry = leaving(member.entry)
        world.announce(member.entry)
    elif kind == "busy":
        rng.choice(members).busy = rng.randint(1, 60)
    elif kind == "forget":
        world.store.forget()
    elif kind == "deafen":
        world.store.deafen()
    elif kind == "again":
        rng.choice(members).start_again()
    elif kind == "scribble":
        target = rng.choice(members).entry.target
        world.store.write(f"t/{target}", rng.choice([b"", b"{}", b"[7]"]))
    elif kind == "slow":
        world.store.delay[host] = rng.uniform(0.05, 0.45)
    else:
        world.heal()
        for member in members:
            member.down = False


@pytest.mark.parametrize("seed", range(8))
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    run_virtual(run_with_faults(seed))


@pytest.mark.parametrize("seed", range(100, 108))
def test_guarantees_hold_under_more_kinds_of_faults(seed: int) -> None:
    run_virtual(run_with_faults(seed, MORE_FAULTS))


@pytest.mark.parametrize("seed", range(200, 208))
def test_guarantees_hold_when_targets_restart(seed: int) -> None:
    run_virtual(run_with_faults(seed, FAULTS_WITH_RESTARTS))


@in_virtual_time
async def test_closed_host_leaves_no_fetch_task() -> None:
    world = SessionWorld()
    await world.start()
    before = asyncio.all_tasks()
    ref = HostRef("h09", "z0", "10.1.0.9:1")
    host = await world.start_host(ref)
    await asyncio.sleep(2.0)
    # No host has this version, so the host keeps requesting it.
    host.tables.request_version(world.refs[0], 99)
    await asyncio.sleep(0.1)
    await host.close()
    world.hosts.pop("h09")
    await asyncio.sleep(0.0)
    remaining = {str(task.get_coro()) for task in asyncio.all_tasks() - before}
    assert not {one for one in remaining if "RouteTableFetcher" in one}
    await world.stop()
