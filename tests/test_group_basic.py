"""A healthy group: durable writes, fresh, session and bounded reads."""

import asyncio

from reedhook.process.events.timeline import EventKind
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import Consistency, StatementKind
from reedhook.request.verdict import Verdict

from .cluster_group import Cluster, cluster_of, values
from .fakes_clock import run_virtual
from .home_support import refusal_of
from .support import using


@using(cluster_of, run_virtual)
async def test_write_returns_once_majority_holds_it(cluster: Cluster) -> None:
    started_at = cluster.now()
    position = await cluster.write("m1", "ticket 1")
    duration = cluster.now() - started_at
    holders = [
        member for member in cluster.truth.members.values() if member.held >= position
    ]
    assert len(holders) >= 2
    assert duration < 0.02


@using(cluster_of, run_virtual)
async def test_write_that_no_replica_holds_is_refused_as_not_durable(
    cluster: Cluster,
) -> None:
    cluster.truth.cut({"m1"})
    refusal = await refusal_of(cluster.write("m1", "ticket 1", 0.3))
    assert refusal.reason is RefusalReason.NOT_DURABLE
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.retry_after_ms is not None
    cluster.truth.cuts.clear()
    await cluster.write("m1", "ticket 2", 0.3)


@using(cluster_of, run_virtual)
async def test_concurrent_writes_share_reports(cluster: Cluster) -> None:
    before = cluster.network.calls["report"]
    await asyncio.gather(*(cluster.write("m1", f"t{i}") for i in range(200)))
    assert cluster.network.calls["report"] - before < 40
    durability = cluster.hosts["m1a"].keeper.group_state.durability
    assert durability.waiters == []


@using(cluster_of, run_virtual)
async def test_fresh_read_returns_last_write_and_its_age(
    cluster: Cluster,
) -> None:
    await cluster.write("m1", "mix 7")
    response = await cluster.read("m1", Consistency.FRESH)
    assert "mix 7" in values(response)
    assert response.result.age is not None and response.result.age < 0.02


@using(cluster_of, run_virtual)
async def test_concurrent_fresh_reads_share_confirmation_rounds(
    cluster: Cluster,
) -> None:
    before = cluster.network.calls["confirm"]
    reads = (cluster.read("m1", Consistency.FRESH) for _ in range(100))
    await asyncio.gather(*reads)
    assert cluster.network.calls["confirm"] - before <= 4


@using(cluster_of, run_virtual)
async def test_session_read_waits_until_position_is_covered(cluster: Cluster) -> None:
    cluster.truth.members["m2"].lag = 0.03
    position = await cluster.write("m1", "tug 4")
    response = await cluster.read("m2", Consistency.SESSION, covers=position)
    assert "tug 4" in values(response)
    assert response.result.role == "replica"


@using(cluster_of, run_virtual)
async def test_session_read_at_lagging_replica_is_refused_quickly(
    cluster: Cluster,
) -> None:
    cluster.truth.members["m2"].lag = 5.0
    position = await cluster.write("m1", "tug 4")
    started_at = cluster.now()
    refusal = await refusal_of(cluster.read("m2", Consistency.SESSION, covers=position))
    assert refusal.reason is RefusalReason.NOT_COVERED
    assert refusal.verdict is Verdict.NOT_RUN
    assert cluster.now() - started_at < 0.1


@using(cluster_of, run_virtual)
async def test_session_of_later_term_is_refused_by_primary_of_older_term(
    cluster: Cluster,
) -> None:
    refusal = await refusal_of(
        cluster.read("m1", Consistency.SESSION, covers=Position(2, 1))
    )
    assert refusal.reason is RefusalReason.NOT_COVERED


@using(cluster_of, run_virtual)
async def test_age_of_bounded_read_is_an_upper_bound(
    cluster: Cluster,
) -> None:
    cluster.truth.members["m2"].lag = 0.2
    acknowledged: dict[str, float] = {}
    for serial in range(40):
        await cluster.write("m1", f"w{serial}")
        acknowledged[f"w{serial}"] = cluster.now()
        try:
            response = await cluster.read("m2", Consistency.MAX_AGE, max_age=1.0)
        except RefusalError as refusal:
            assert refusal.reason is RefusalReason.AGE_UNPROVED
            continue
        seen = set(values(response))
        missed = [at for value, at in acknowledged.items() if value not in seen]
        true_age = cluster.now() - min(missed, default=cluster.now())
        assert response.result.age is not None
        assert true_age <= response.result.age <= 1.0
        assert response.result.role == "replica"
    assert cluster.hosts["m2a"].metrics.counters["executor.age_unproved"] < 10


@using(cluster_of, run_virtual)
async def test_bounded_read_is_refused_when_lag_exceeds_bound(cluster: Cluster) -> None:
    cluster.truth.members["m2"].lag = 3.0
    await cluster.write("m1", "w")
    refusal = await refusal_of(cluster.read("m2", Consistency.MAX_AGE, max_age=0.5))
    assert refusal.reason is RefusalReason.AGE_UNPROVED
    assert refusal.verdict is Verdict.NOT_RUN


@using(cluster_of, run_virtual)
async def test_statement_for_member_of_other_home_is_refused(
    cluster: Cluster,
) -> None:
    executor = cluster.hosts["m2a"].executor
    statement = cluster.statement(StatementKind.WRITE, "w", 1.0)
    refusal = await refusal_of(executor.execute("m1", statement))
    assert refusal.reason is RefusalReason.WRONG_HOME
    assert refusal.verdict is Verdict.NOT_RUN


@using(cluster_of, run_virtual)
async def test_lost_primary_is_replaced_within_one_second(cluster: Cluster) -> None:
    position = await cluster.write("m1", "kept")
    cluster.kill_target("m1")
    await asyncio.sleep(0.001)
    gap = await cluster.until_writable()
    assert cluster.leader() != "m1"
    assert gap < 1.0
    leader = cluster.truth.members[cluster.leader()]
    assert any(entry.position == position for entry in leader.log)
    assert len(cluster.events(EventKind.PRIMARY_PROMOTED)) == 1
    assert len(cluster.events(EventKind.WRITES_RESUMED)) >= 1
