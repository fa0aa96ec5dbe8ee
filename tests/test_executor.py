"""Transactions, hand-over and refusals at the home of a member."""

import asyncio

import pytest

from reedhook.connection.target import TargetResult
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import Consistency, Statement, StatementKind
from reedhook.request.statement_executor import HomeResponse
from reedhook.request.verdict import Verdict
from reedhook.wire import WireError

from .cluster_group import Cluster, cluster_of
from .fakes_clock import in_virtual_time, run_virtual
from .home_support import refusal_of
from .support import using


@using(cluster_of, run_virtual)
async def test_a_commit_is_answered_once_it_is_durable(cluster: Cluster) -> None:
    executor = cluster.hosts["m1a"].executor
    await executor.execute("m1", cluster.statement(StatementKind.BEGIN, "", 1.0))
    served = await executor.execute(
        "m1", cluster.statement(StatementKind.COMMIT, "both", 1.0)
    )
    held = [m.held >= served.result.position for m in cluster.truth.members.values()]
    assert sum(held) >= 2
    cluster.truth.cut({"m1"})
    refusal = await refusal_of(
        executor.execute("m1", cluster.statement(StatementKind.COMMIT, "one", 0.2))
    )
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


@using(cluster_of, run_virtual)
async def test_a_commit_is_proved_durable_after_the_home_has_moved(
    cluster: Cluster,
) -> None:
    old = cluster.hosts["m1a"]
    await old.executor.execute("m1", cluster.statement(StatementKind.BEGIN, "", 1.0))
    await cluster.take_over("m1a")
    old.former["m1"] = old.local.pop("m1")
    old.keeper.refresh()
    await asyncio.sleep(1.0)
    await old.executor.execute("m1", cluster.statement(StatementKind.STEP, "", 1.0))
    commit = cluster.statement(StatementKind.COMMIT, "both", 0.3)
    position = (await old.executor.execute("m1", commit)).result.position
    members = cluster.truth.members.values()
    assert sum(member.held >= position for member in members) >= 2
    cluster.truth.cut({"m1"})
    commit = cluster.statement(StatementKind.COMMIT, "alone", 0.3)
    refusal = await refusal_of(old.executor.execute("m1", commit))
    assert refusal.reason is RefusalReason.NOT_DURABLE
    old.former.clear()
    refusal = await refusal_of(old.executor.execute("m1", commit))
    assert refusal.reason is RefusalReason.UNKNOWN_TRANSACTION


@using(cluster_of, run_virtual)
async def test_the_commit_of_reads_alone_is_confirmed(cluster: Cluster) -> None:
    executor = cluster.hosts["m1a"].executor
    commit = cluster.statement(StatementKind.COMMIT, "a", 1.0)
    commit.request_id = "r1"
    await executor.execute("m1", commit)
    again = cluster.statement(StatementKind.COMMIT, "a", 1.0)
    again.request_id = "r1"
    served = await executor.execute("m1", again)
    assert served.result.repeated
    cluster.network.isolate({"m1a"}, {"m2a", "m3a"})
    again.remaining = 0.3
    refusal = await refusal_of(executor.execute("m1", again))
    assert refusal.reason is RefusalReason.UNCONFIRMED


@pytest.mark.parametrize("kind", [StatementKind.WRITE, StatementKind.BEGIN])
@using(cluster_of, run_virtual)
async def test_work_for_the_primary_is_not_run_at_a_replica(
    cluster: Cluster, kind: StatementKind
) -> None:
    statement = cluster.statement(kind, "w", 1.0)
    refusal = await refusal_of(cluster.hosts["m2a"].executor.execute("m2", statement))
    assert refusal.reason is RefusalReason.NO_PRIMARY
    assert refusal.verdict is Verdict.NOT_RUN
    assert cluster.truth.executed == []


@using(cluster_of, run_virtual)
async def test_writes_wait_while_the_primary_is_moved(cluster: Cluster) -> None:
    gate = cluster.hosts["m1a"].keeper.planned_handover.writes_allowed
    gate.clear()
    waiting = asyncio.create_task(cluster.write("m1", "late", 1.0))
    await asyncio.sleep(0.2)
    assert not waiting.done()
    gate.set()
    await waiting
    gate.clear()
    refusal = await refusal_of(cluster.write("m1", "too late", 0.1))
    assert refusal.verdict is Verdict.NOT_RUN


@using(cluster_of, run_virtual)
async def test_the_lead_moves_away_from_a_primary_whose_writes_hang(
    cluster: Cluster,
) -> None:
    async def hang(statement: Statement) -> TargetResult:
        await asyncio.Event().wait()
        raise AssertionError("never set")

    kept = await cluster.write("m1", "kept")
    home = cluster.hosts["m1a"].local["m1"]
    home.run = hang  # type: ignore[method-assign]
    await asyncio.sleep(20.0)
    assert list(cluster.truth.leaders) == [1]
    assert await cluster.hosts["m1a"].keeper.hand_over(1.5)
    assert await cluster.until_writable() < 1.0
    leader = cluster.truth.members[cluster.leader()]
    assert any(entry.position == kept for entry in leader.log)


@using(cluster_of, run_virtual)
async def test_a_session_read_at_the_primary_shows_only_what_is_safe(
    cluster: Cluster,
) -> None:
    cluster.truth.cut({"m1"})
    with pytest.raises(RefusalError):
        await cluster.write("m1", "unsafe", 0.1)
    refusal = await refusal_of(cluster.read("m1", Consistency.SESSION))
    assert refusal.reason is RefusalReason.NOT_COVERED


@using(cluster_of, run_virtual)
async def test_a_bounded_read_without_a_bound_is_not_run(cluster: Cluster) -> None:
    refusal = await refusal_of(cluster.read("m2", Consistency.MAX_AGE))
    assert refusal.reason is RefusalReason.BAD_REQUEST


@pytest.mark.parametrize("path", ["report", "confirm", "control", "probe", "view"])
@pytest.mark.parametrize(
    "body", [{}, {"group": 1}, {"member": None}, {"member": "nobody", "op": "x"}]
)
@using(cluster_of, run_virtual)
async def test_a_malformed_question_of_a_peer_is_refused(
    cluster: Cluster, path: str, body: dict[str, object]
) -> None:
    handler = cluster.hosts["m1a"].routes.handlers[path]
    with pytest.raises((WireError, RefusalError)):
        await handler(body)
    assert cluster.truth.members["m1"].promised == 1


@pytest.mark.parametrize("error", [KeyError("m1"), TypeError(), ValueError()])
@in_virtual_time
async def test_an_internal_fault_is_not_taken_for_a_malformed_question(
    error: Exception,
) -> None:
    async def fail(member: str, statement: Statement) -> HomeResponse:
        raise error

    cluster = Cluster()
    host = cluster.hosts["m1a"]
    host.executor.execute = fail  # type: ignore[method-assign]
    statement = cluster.statement(StatementKind.WRITE, "w", 1.0).to_json()
    with pytest.raises(type(error)) as caught:
        await host.routes.handlers["statement"](
            {"member": "m1", "statement": statement}
        )
    assert caught.value is error


@using(cluster_of, run_virtual)
async def test_an_unknown_step_is_refused(cluster: Cluster) -> None:
    handler = cluster.hosts["m1a"].routes.handlers["control"]
    order = {"member": "m1", "op": "x", "term": 9, "owner": "x", "primary": ""}
    with pytest.raises(WireError):
        await handler(order)


@using(cluster_of, run_virtual)
async def test_a_standby_carries_out_steps_while_the_home_is_gone(
    cluster: Cluster,
) -> None:
    await cluster.kill_host("m2a", listed=False)
    cluster.kill_target("m1")
    await asyncio.sleep(3.0)
    assert cluster.leader() in ("m2", "m3")
    assert cluster.truth.members["m2"].leader_term == 2


@using(cluster_of, run_virtual)
async def test_a_host_of_another_zone_carries_out_nothing(cluster: Cluster) -> None:
    handler = cluster.hosts["m3b"].routes.handlers["control"]
    order = {"member": "m1", "op": "raise", "term": 9, "owner": "x", "primary": ""}
    refusal = await refusal_of(handler(order))
    assert refusal.reason is RefusalReason.WRONG_HOME
    assert cluster.truth.members["m1"].promised == 1
