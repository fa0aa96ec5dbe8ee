"""Terms, replication and ground truth of the stand-in of a database group."""

import asyncio

from reedhook.connection.target import Role
from reedhook.request.position import Position
from reedhook_standins.group import GroupStandin

from .support import using
from .support_group import (
    INSERT,
    SELECT,
    applied,
    change_primary,
    connect,
    group_of,
    held,
    refusal_code,
    request_id,
    until,
)


@using(group_of)
async def test_first_member_opens_first_term(group: GroupStandin) -> None:
    states = [
        await (await connect(member)).state(1.0) for member in group.members.values()
    ]
    roles = [state.role for state in states]
    assert roles == [Role.PRIMARY, Role.REPLICA, Role.REPLICA]
    assert {state.leader_term for state in states} == {1}
    assert group.truth.entries[0].position == Position(1, 1)
    assert group.truth.entries[0].changes == ()


@using(group_of)
async def test_ship_lag_delays_held_and_apply_lag_delays_visible_entries(
    group: GroupStandin,
) -> None:
    primary = await connect(group.primary)
    lagging = await connect(group.members["m2"])
    group.members["m2"].ship_lag = 60.0
    group.members["m2"].apply_lag = 60.0
    written = await primary.write(INSERT, ["pomace"], None, 1.0)
    replica = await connect(group.members["m3"])
    await applied(replica, written.position)
    assert not (await lagging.state(1.0)).held.covers(written.position)
    group.members["m2"].ship_lag = 0.0
    await held(lagging, written.position)
    assert (await lagging.read(SELECT, [], 1.0)).rows == []
    group.members["m2"].apply_lag = 0.0
    await applied(lagging, written.position)
    assert (await lagging.read(SELECT, [], 1.0)).rows == [["pomace"]]


@using(group_of)
async def test_ship_and_apply_lag_add_up(group: GroupStandin) -> None:
    group.set_lag(0.1, 0.15)
    primary = await connect(group.primary)
    replica = await connect(group.members["m2"])
    written = await primary.write(INSERT, ["pomace"], None, 1.0)
    await applied(replica, written.position)
    age = group.clock.monotonic() - group.truth.entries[-1].written
    assert age >= 0.25


@using(group_of)
async def test_partition_stops_replication_until_healed(
    group: GroupStandin,
) -> None:
    primary = await connect(group.primary)
    connected_replica = await connect(group.members["m2"])
    isolated_replica = await connect(group.members["m3"])
    group.partition("m3")
    written = await primary.write(INSERT, ["pomace"], None, 1.0)
    await applied(connected_replica, written.position)
    assert not (await isolated_replica.state(1.0)).held.covers(written.position)
    group.heal()
    await applied(isolated_replica, written.position)


@using(group_of)
async def test_promised_term_fences_primary_and_open_transaction(
    group: GroupStandin,
) -> None:
    writer = await connect(group.primary)
    other = await connect(group.primary)
    await other.begin(None, 1.0)
    await other.step(INSERT, ["pomace"], 1.0)
    state = await writer.raise_term(2, "h1", 1.0)
    assert state.role is Role.FENCED
    for attempt in (writer.write(INSERT, ["x"], None, 1.0), other.commit(1.0)):
        assert await refusal_code(attempt) in ("superseded", "unknown_transaction")
    assert (await writer.read(SELECT, [], 1.0)).rows == []
    assert (await writer.read(SELECT, [], 1.0)).role is Role.FENCED


@using(group_of)
async def test_write_queued_during_term_change_does_not_run(
    group: GroupStandin,
) -> None:
    group.primary.statement_time = 0.2
    group.primary.received.clear()
    writer = await connect(group.primary)
    control = await connect(group.primary)
    writing = asyncio.create_task(writer.write(INSERT, ["pomace"], request_id(1), 1.0))
    await until(lambda: group.primary.received["write"])
    await control.raise_term(2, "h1", 1.0)
    assert await refusal_code(writing) == "superseded"
    assert not group.truth.contains(request_id(1))


@using(group_of)
async def test_term_is_promised_to_one_owner_who_alone_promotes(
    group: GroupStandin,
) -> None:
    replica = await connect(group.members["m2"])
    await replica.raise_term(2, "h1", 1.0)
    # A repeated call after a lost answer is granted.
    assert (await replica.raise_term(2, "h1", 1.0)).promised == 2
    refused = (
        replica.raise_term(2, "h2", 1.0),
        replica.raise_term(1, "h1", 1.0),
        replica.promote(2, "h2", 1.0),
        replica.promote(3, "h1", 1.0),
        replica.follow(1, "m1", 1.0),
    )
    for attempt in refused:
        assert await refusal_code(attempt) == "term_refused"
    promoted = await replica.promote(2, "h1", 1.0)
    assert promoted.role is Role.PRIMARY
    assert promoted.held == Position(2, 3)
    assert await replica.promote(2, "h1", 1.0) == promoted


@using(group_of)
async def test_replica_with_higher_promise_ignores_old_primary(
    group: GroupStandin,
) -> None:
    writer = await connect(group.primary)
    connected_replica = await connect(group.members["m2"])
    promised_replica = await connect(group.members["m3"])
    await promised_replica.raise_term(2, "h1", 1.0)
    written = await writer.write(INSERT, ["pomace"], None, 1.0)
    await applied(connected_replica, written.position)
    state = await promised_replica.state(1.0)
    assert state.role is Role.FENCED
    assert not state.held.covers(written.position)


@using(group_of)
async def test_entries_missing_on_new_primary_are_dropped_with_their_ids(
    group: GroupStandin,
) -> None:
    old = await connect(group.members["m1"])
    await old.write(INSERT, ["pomace"], request_id(1), 1.0)
    replica = await connect(group.members["m3"])
    await applied(replica, group.truth.entries[-1].position)
    group.partition("m1")
    lost = await old.write(INSERT, ["manure"], request_id(2), 1.0)
    await change_primary(group, "m2", 2, ["m2", "m3"])
    new = await connect(group.members["m2"])
    kept = await new.write(INSERT, ["citrus"], request_id(3), 1.0)
    assert not group.truth.holds(lost.position)
    assert not group.truth.contains(request_id(2))
    assert group.truth.contains(request_id(1))
    group.heal()
    await old.follow(2, "m2", 1.0)
    await applied(old, kept.position)
    read = await old.read(SELECT, [], 1.0)
    assert read.rows == [["pomace"], ["citrus"]]
    # The id of the dropped request may run now, the kept one may not run again.
    repeated = await new.write(INSERT, ["manure"], request_id(2), 1.0)
    assert not repeated.repeated
    once = await new.write(INSERT, ["pomace"], request_id(1), 1.0)
    assert once.repeated


@using(group_of)
async def test_isolated_primary_keeps_primary_role(
    group: GroupStandin,
) -> None:
    group.partition("m1")
    await change_primary(group, "m2", 2, ["m2", "m3"])
    old = await connect(group.members["m1"])
    written = await old.write(INSERT, ["pomace"], request_id(1), 1.0)
    assert written.role is Role.PRIMARY
    assert written.term == 1
    assert group.primary.name == "m2"
    assert not group.truth.contains(request_id(1))
    assert len(group.truth.written) == len(group.truth.entries) + 1


@using(group_of)
async def test_promoted_replica_recognizes_repeated_request(
    group: GroupStandin,
) -> None:
    old = await connect(group.members["m1"])
    first = await old.write(INSERT, ["pomace"], request_id(1), 1.0)
    await held(await connect(group.members["m2"]), first.position)
    await group.members["m1"].kill()
    await change_primary(group, "m2", 2, ["m2", "m3"])
    new = await connect(group.members["m2"])
    repeated = await new.write(INSERT, ["pomace"], request_id(1), 1.0)
    assert repeated.repeated
    assert repeated.rowcount == first.rowcount
    assert repeated.position == Position(2, first.position.index + 1)
    assert group.truth.count(request_id(1)) == 1


@using(group_of)
async def test_follow_raises_promise_of_member_that_missed_the_vote(
    group: GroupStandin,
) -> None:
    await change_primary(group, "m2", 2, ["m1", "m2"])
    missed = await connect(group.members["m3"])
    state = await missed.follow(2, "m2", 1.0)
    assert (state.promised, state.leader_term) == (2, 2)
    for attempt in (
        missed.raise_term(2, "h9", 1.0),
        missed.follow(2, "m1", 1.0),
    ):
        assert await refusal_code(attempt) == "term_refused"


@using(group_of)
async def test_long_poll_returns_on_change_or_timeout(
    group: GroupStandin,
) -> None:
    writer = await connect(group.primary)
    watcher = await connect(group.members["m2"])
    known_state = await watcher.state(1.0)
    unchanged = await watcher.wait_state(known_state.revision, 0.1)
    assert unchanged == known_state
    waiting = asyncio.create_task(watcher.wait_state(known_state.revision, 5.0))
    await writer.write(INSERT, ["pomace"], None, 1.0)
    assert (await waiting).revision > known_state.revision


@using(group_of)
async def test_true_age_starts_at_first_missed_entry(
    group: GroupStandin,
) -> None:
    writer = await connect(group.primary)
    truth = group.truth
    before = truth.entries[-1].position
    await writer.write(INSERT, ["pomace"], None, 1.0)
    first_entry = truth.entries[-1]
    await writer.write(INSERT, ["manure"], None, 1.0)
    second = truth.entries[-1]
    now = second.written + 5.0
    assert truth.truth_age(before, now) == now - first_entry.written
    assert truth.truth_age(first_entry.position, now) == 5.0
    assert truth.truth_age(second.position, now) == 0.0
