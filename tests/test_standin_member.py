"""Statements, transactions, request ids and faults of one stand-in member."""

import asyncio

import pytest

from reedhook.connection.target import (
    Role,
    TargetNoReplyError,
    TargetRefusedError,
    TargetUnreachableError,
)
from reedhook_standins.group import GroupStandin
from reedhook_standins.member import Cut

from .support import using
from .support_group import (
    DAY,
    INSERT,
    ISSUED,
    SELECT,
    applied,
    connect,
    group_of,
    refusal_code,
    request_id,
    until,
)


@pytest.mark.parametrize(
    "sql",
    [
        "INSERT INTO ticket (load) VALUES ('x')",
        "PRAGMA query_only = 0",
        "BEGIN",
        "ATTACH ':memory:' AS other",
        "SELECT * FROM reedhook_requests",
        "SELECT nothing",
        "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n)"
        " SELECT count(*) FROM n",
        "SELECT 1; DELETE FROM ticket",
    ],
)
@using(lambda: group_of(count=1))
async def test_read_with_side_effect_fails(group: GroupStandin, sql: str) -> None:
    connection = await connect(group.primary)
    assert await refusal_code(connection.read(sql, [], 10.0)) == "statement_failed"
    assert (await connection.read(SELECT, [], 1.0)).rows == []


@using(lambda: group_of(count=1))
async def test_failed_write_has_no_effect(group: GroupStandin) -> None:
    connection = await connect(group.primary)
    await connection.write(INSERT, ["pomace"], None, 1.0)
    before = await connection.state(1.0)
    code = await refusal_code(connection.write(INSERT, ["pomace"], request_id(1), 1.0))
    assert code == "statement_failed"
    assert (await connection.state(1.0)).held == before.held
    # A failed request leaves its id free for a retry.
    retried = await connection.write(INSERT, ["manure"], request_id(1), 1.0)
    assert not retried.repeated


@using(group_of)
async def test_repeated_request_id_returns_first_result(
    group: GroupStandin,
) -> None:
    first_connection = await connect(group.primary)
    second_connection = await connect(group.primary)
    results = await asyncio.gather(
        first_connection.write(INSERT, ["pomace"], request_id(1), 1.0),
        second_connection.write(INSERT, ["pomace"], request_id(1), 1.0),
    )
    assert sorted(result.repeated for result in results) == [False, True]
    assert [result.rowcount for result in results] == [1, 1]
    assert group.truth.count(request_id(1)) == 1
    last = await first_connection.write(INSERT, ["manure"], None, 1.0)
    third = await first_connection.write(INSERT, ["pomace"], request_id(1), 1.0)
    assert third.repeated
    assert third.position == last.position


@using(lambda: group_of(count=1))
async def test_request_id_with_different_statement_is_refused(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    await connection.write(INSERT, ["pomace"], request_id(1), 1.0)
    code = await refusal_code(connection.write(INSERT, ["manure"], request_id(1), 1.0))
    assert code == "request_reused"
    assert await refusal_code(connection.begin(request_id(1), 1.0)) == "request_reused"
    assert (await connection.read(SELECT, [], 1.0)).rows == [["pomace"]]


@using(lambda: group_of(count=1))
async def test_request_id_expires_after_a_day(group: GroupStandin) -> None:
    connection = await connect(group.primary)
    write = connection.write
    await write(INSERT, ["pomace"], request_id(1), 1.0)
    await write(INSERT, ["manure"], request_id(2, ISSUED + DAY - 1), 1.0)
    kept = await write(INSERT, ["pomace"], request_id(1), 1.0)
    assert kept.repeated
    await write(INSERT, ["citrus"], request_id(3, ISSUED + DAY), 1.0)
    for number, load in ((1, "pomace"), (4, "olives")):
        code = await refusal_code(write(INSERT, [load], request_id(number), 1.0))
        assert code == "request_expired"
    rows = (await connection.read(SELECT, [], 1.0)).rows
    assert rows == [["pomace"], ["manure"], ["citrus"]]


@pytest.mark.parametrize("bad", ["", "1-short", "x" * 30, f"{ISSUED}-no spaces!"])
@using(lambda: group_of(count=1))
async def test_malformed_request_id_is_refused(group: GroupStandin, bad: str) -> None:
    connection = await connect(group.primary)
    code = await refusal_code(connection.write(INSERT, ["pomace"], bad, 1.0))
    assert code == "bad_request"


@using(group_of)
async def test_uncommitted_transaction_is_invisible_to_others(
    group: GroupStandin,
) -> None:
    writer = await connect(group.primary)
    reader = await connect(group.primary)
    await writer.begin(request_id(1), 1.0)
    await writer.step(INSERT, ["pomace"], 1.0)
    assert (await writer.step(SELECT, [], 1.0)).rows == [["pomace"]]
    assert (await reader.read(SELECT, [], 1.0)).rows == []
    committed = await writer.commit(1.0)
    assert (await reader.read(SELECT, [], 1.0)).rows == [["pomace"]]
    replica = await connect(group.members["m2"])
    await applied(replica, committed.position)
    assert (await replica.read(SELECT, [], 1.0)).rows == [["pomace"]]
    repeated = await writer.begin(request_id(1), 1.0)
    assert repeated.repeated
    code = await refusal_code(writer.step(INSERT, ["manure"], 1.0))
    assert code == "unknown_transaction"


@using(group_of)
async def test_closed_connection_rolls_back_and_releases_lock(
    group: GroupStandin,
) -> None:
    closing = await connect(group.primary)
    writer = await connect(group.primary)
    await closing.begin(request_id(1), 1.0)
    await closing.step(INSERT, ["pomace"], 1.0)
    assert await refusal_code(writer.write(INSERT, ["manure"], None, 0.1)) == "busy"
    await closing.close()
    await writer.write(INSERT, ["citrus"], None, 1.0)
    assert (await writer.read(SELECT, [], 1.0)).rows == [["citrus"]]
    assert not group.truth.contains(request_id(1))


@using(group_of)
async def test_idle_transaction_on_silent_connection_is_rolled_back(
    group: GroupStandin,
) -> None:
    group.primary.idle_limit = 0.1
    idle = await connect(group.primary)
    await idle.begin(None, 1.0)
    await idle.step(INSERT, ["pomace"], 1.0)
    group.primary.silence_connections()
    writer = await connect(group.primary)
    await writer.write(INSERT, ["manure"], None, 2.0)
    assert (await writer.read(SELECT, [], 1.0)).rows == [["manure"]]


@using(group_of)
async def test_failed_step_leaves_transaction_open(group: GroupStandin) -> None:
    connection = await connect(group.primary)
    await connection.begin(None, 1.0)
    await connection.step(INSERT, ["pomace"], 1.0)
    with pytest.raises(TargetRefusedError):
        await connection.step(INSERT, ["pomace"], 1.0)
    committed = await connection.commit(1.0)
    replica = await connect(group.members["m2"])
    await applied(replica, committed.position)
    assert (await replica.read(SELECT, [], 1.0)).rows == [["pomace"]]


@using(lambda: group_of(slots=2))
async def test_slots_limit_concurrency_and_waits_time_out(
    group: GroupStandin,
) -> None:
    group.primary.statement_time = 60.0
    connections = [await connect(group.primary) for _ in range(3)]
    running = [
        asyncio.create_task(connection.read(SELECT, [], 90.0))
        for connection in connections[:2]
    ]
    await until(group.primary.slots.locked)
    assert await refusal_code(connections[2].read(SELECT, [], 0.5)) == "busy"
    assert not any(task.done() for task in running)


@using(group_of)
async def test_silenced_connections_hang_while_new_ones_work(
    group: GroupStandin,
) -> None:
    old = await connect(group.primary)
    group.primary.silence_connections()
    with pytest.raises(TargetNoReplyError):
        await old.write(INSERT, ["pomace"], request_id(1), 0.2)
    new = await connect(group.primary)
    assert (await new.read(SELECT, [], 1.0)).rows == []
    assert not group.truth.contains(request_id(1))


@using(lambda: group_of(connections=1))
async def test_silent_connection_counts_until_detected(
    group: GroupStandin,
) -> None:
    group.primary.linger = 0.3
    old = await connect(group.primary)
    group.primary.silence_connections()
    await old.close()
    with pytest.raises(TargetUnreachableError):
        await connect(group.primary)
    await until(lambda: group.primary.open_connections == 0)
    new = await connect(group.primary)
    assert (await new.state(1.0)).connections == 1


@using(group_of)
async def test_running_statement_completes_on_silenced_connection(
    group: GroupStandin,
) -> None:
    group.primary.statement_time = 0.1
    group.primary.received.clear()
    old = await connect(group.primary)
    writing = asyncio.create_task(old.write(INSERT, ["pomace"], request_id(1), 1.0))
    await until(lambda: group.primary.received["write"])
    group.primary.silence_connections()
    with pytest.raises(TargetNoReplyError):
        await writing
    assert group.truth.contains(request_id(1))


@using(group_of)
async def test_paused_member_hangs_until_resumed(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    group.primary.pause()
    with pytest.raises(TargetUnreachableError):
        await connect(group.primary)
    writing = asyncio.create_task(connection.write(INSERT, ["pomace"], None, 5.0))
    await asyncio.sleep(0.1)
    assert not writing.done()
    group.primary.resume()
    assert (await writing).rowcount == 1


@using(group_of)
async def test_killed_member_loses_running_statement_and_keeps_log(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    await connection.write(INSERT, ["pomace"], None, 1.0)
    group.primary.statement_time = 0.2
    group.primary.received.clear()
    writing = asyncio.create_task(
        connection.write(INSERT, ["manure"], request_id(1), 1.0)
    )
    await until(lambda: group.primary.received["write"])
    await group.primary.kill()
    with pytest.raises(TargetNoReplyError):
        await writing
    await group.primary.revive()
    group.primary.statement_time = 0.0
    again = await connect(group.primary)
    written = await again.write(INSERT, ["citrus"], None, 1.0)
    assert written.role is Role.PRIMARY
    assert (await again.read(SELECT, [], 1.0)).rows == [["pomace"], ["citrus"]]
    assert not group.truth.contains(request_id(1))


@pytest.mark.parametrize("cut", [Cut.REFUSE, Cut.HANG])
@using(group_of)
async def test_cut_client_is_isolated_while_others_work(
    group: GroupStandin, cut: Cut
) -> None:
    cut_connection = await connect(group.primary, "h1")
    connection = await connect(group.primary, "h2")
    group.primary.cuts["h1"] = cut
    with pytest.raises(TargetNoReplyError):
        await cut_connection.write(INSERT, ["pomace"], request_id(1), 0.2)
    with pytest.raises(TargetUnreachableError):
        await connect(group.primary, "h1")
    assert (await connection.read(SELECT, [], 1.0)).rows == []
    group.primary.cuts.clear()
    healed = await connect(group.primary, "h1")
    assert (await healed.read(SELECT, [], 1.0)).rows == []


@using(group_of)
async def test_leaving_member_refuses_new_work_after_grace_period(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    group.primary.leave()
    await connection.begin(None, 1.0)
    await connection.step(INSERT, ["pomace"], 1.0)
    assert group.primary.left is not None
    group.primary.left -= 10.0
    await connection.commit(1.0)
    assert group.primary.late_work == 0
    assert await refusal_code(connection.read(SELECT, [], 1.0)) == "leaving"
    assert group.primary.late_work == 1


@using(group_of)
async def test_connection_setup_time_applies_once(
    group: GroupStandin,
) -> None:
    group.primary.setup_time = 0.3
    with pytest.raises(TargetUnreachableError):
        await connect(group.primary, timeout=0.1)
    connection = await connect(group.primary)
    group.primary.setup_time = 30.0
    assert (await connection.read(SELECT, [], 1.0)).rows == []
