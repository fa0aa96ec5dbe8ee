"""Transactions, handover and refusals at the home of a member."""

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
async def test_commit_returns_once_durable(cluster: Cluster) -> None:
    executor = cluster.hosts["m1a"].executor
    await executor.execute("m1", cluster.statement(StatementKind.BEGIN, "", 1.0))
    response = await executor.execute(
        "m1", cluster.statement(StatementKind.COMMIT, "both", 1.0)
    )
    holds_commit = [
        member.held >= response.result.position
        for member in cluster.truth.members.values()
    ]
    assert sum(holds_commit) >= 2
    cluster.truth.cut({"m1"})
    refusal = await refusal_of(
        executor.execute("m1", cluster.statement(StatementKind.COMMIT, "one", 0.2))
    )
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


@using(cluster_of, run_virtual)
async def test_commit_is_proved_durable_after_home_moved(
    cluster: Cluster,
) -> None:
    former_host = cluster.hosts["m1a"]
    await former_host.executor.execute(
        "m1", cluster.statement(StatementKind.BEGIN, "", 1.0)
    )
    await cluster.take_over("m1a")
    former_host.former["m1"] = former_host.local.pop("m1")
    former_host.keeper.refresh()
    await asyncio.sleep(1.0)
    await former_host.executor.execute(
        "m1", cluster.statement(StatementKind.STEP, "", 1.0)
    )
    commit = cluster.statement(StatementKind.COMMIT, "both", 0.3)
    position = (await former_host.executor.execute("m1", commit)).result.position
    members = cluster.truth.members.values()
    assert sum(member.held >= position for member in members) >= 2
    cluster.truth.cut({"m1"})
    commit = cluster.statement(StatementKind.COMMIT, "alone", 0.3)
    refusal = await refusal_of(former_host.executor.execute("m1", commit))
    assert refusal.reason is RefusalReason.NOT_DURABLE
    former_host.former.clear()
    refusal = await refusal_of(former_host.executor.execute("m1", commit))
    assert refusal.reason is RefusalReason.UNKNOWN_TRANSACTION


@using(cluster_of, run_virtual)
async def test_commit_of_read_only_transaction_is_confirmed(cluster: Cluster) -> None:
    executor = cluster.hosts["m1a"].executor
    commit = cluster.statement(StatementKind.COMMIT, "a", 1.0)
    commit.request_id = "r1"
    await executor.execute("m1", commit)
    repeated_commit = cluster.statement(StatementKind.COMMIT, "a", 1.0)
    repeated_commit.request_id = "r1"
    response = await executor.execute("m1", repeated_commit)
    assert response.result.repeated
    cluster.network.isolate({"m1a"}, {"m2a", "m3a"})
    repeated_commit.remaining = 0.3
    refusal = await refusal_of(executor.execute("m1", repeated_commit))
    assert refusal.reason is RefusalReason.UNCONFIRMED


@pytest.mark.parametrize("kind", [StatementKind.WRITE, StatementKind.BEGIN])
@using(cluster_of, run_virtual)
async def test_replica_refuses_work_for_primary(
    cluster: Cluster, kind: StatementKind
) -> None:
    statement = cluster.statement(kind, "w", 1.0)
    refusal = await refusal_of(cluster.hosts["m2a"].executor.execute("m2", statement))
    assert refusal.reason is RefusalReason.NO_PRIMARY
    assert refusal.verdict is Verdict.NOT_RUN
    assert cluster.truth.executed == []


@using(cluster_of, run_virtual)
async def test_writes_wait_during_handover(cluster: Cluster) -> None:
    writes_allowed = cluster.hosts["m1a"].keeper.planned_handover.writes_allowed
    writes_allowed.clear()
    waiting = asyncio.create_task(cluster.write("m1", "late", 1.0))
    await asyncio.sleep(0.2)
    assert not waiting.done()
    writes_allowed.set()
    await waiting
    writes_allowed.clear()
    refusal = await refusal_of(cluster.write("m1", "too late", 0.1))
    assert refusal.verdict is Verdict.NOT_RUN


@using(cluster_of, run_virtual)
async def test_handover_replaces_primary_with_hanging_writes(
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
async def test_session_read_at_primary_returns_only_durable_entries(
    cluster: Cluster,
) -> None:
    cluster.truth.cut({"m1"})
    with pytest.raises(RefusalError):
        await cluster.write("m1", "unsafe", 0.1)
    refusal = await refusal_of(cluster.read("m1", Consistency.SESSION))
    assert refusal.reason is RefusalReason.NOT_COVERED


@using(cluster_of, run_virtual)
async def test_bounded_read_without_maximum_age_is_refused(cluster: Cluster) -> None:
    refusal = await refusal_of(cluster.read("m2", Consistency.MAX_AGE))
    assert refusal.reason is RefusalReason.BAD_REQUEST


@pytest.mark.parametrize("path", ["report", "confirm", "control", "probe", "view"])
@pytest.mark.parametrize(
    "body", [{}, {"group": 1}, {"member": None}, {"member": "nobody", "op": "x"}]
)
@using(cluster_of, run_virtual)
async def test_malformed_peer_request_is_refused(
    cluster: Cluster, path: str, body: dict[str, object]
) -> None:
    handler = cluster.hosts["m1a"].routes.handlers[path]
    with pytest.raises((WireError, RefusalError)):
        await handler(body)
    assert cluster.truth.members["m1"].promised == 1


@pytest.mark.parametrize("error", [KeyError("m1"), TypeError(), ValueError()])
@in_virtual_time
async def test_internal_error_is_not_reported_as_malformed_request(
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
async def test_unknown_control_operation_is_refused(cluster: Cluster) -> None:
    handler = cluster.hosts["m1a"].routes.handlers["control"]
    request = {"member": "m1", "op": "x", "term": 9, "owner": "x", "primary": ""}
    with pytest.raises(WireError):
        await handler(request)


@using(cluster_of, run_virtual)
async def test_standby_host_executes_control_requests_without_home(
    cluster: Cluster,
) -> None:
    await cluster.kill_host("m2a", listed=False)
    cluster.kill_target("m1")
    await asyncio.sleep(3.0)
    assert cluster.leader() in ("m2", "m3")
    assert cluster.truth.members["m2"].leader_term == 2


@using(cluster_of, run_virtual)
async def test_host_of_other_zone_refuses_control_requests(cluster: Cluster) -> None:
    handler = cluster.hosts["m3b"].routes.handlers["control"]
    request = {"member": "m1", "op": "raise", "term": 9, "owner": "x", "primary": ""}
    refusal = await refusal_of(handler(request))
    assert refusal.reason is RefusalReason.WRONG_HOME
    assert cluster.truth.members["m1"].promised == 1
