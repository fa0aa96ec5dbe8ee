"""Routing in a model group: wrong member, excess retries or wrong final refusals."""

import asyncio
from collections import Counter
from typing import Final

import pytest

from reedhook.request.group_view_cache import MAX_WAITERS
from reedhook.request.hedge import MIN_DELAY_SECONDS
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.router import HEDGE_BURST, RETRY_BURST
from reedhook.request.statement import Consistency, Statement, StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_request import World, read, write

PRIMARY: Final = "g1-z1"
NEAR: Final = "g1-z2"
FAR: Final = "g1-z3"


async def run_refused(world: World, statement: object) -> RefusalError:
    """Return the refusal of a statement; fail if it succeeds."""
    with pytest.raises(RefusalError) as caught:
        await world.run(statement)  # type: ignore[arg-type]
    return caught.value


@in_virtual_time
async def test_reads_use_replicas_and_writes_use_primary() -> None:
    world = World()
    await world.run(write("1-a"))
    await asyncio.sleep(0.1)
    for _ in range(20):
        await world.run(read())
    assert world.model.executed[PRIMARY] == 1
    assert world.model.executed[NEAR] + world.model.executed[FAR] == 20
    await world.close()


@in_virtual_time
async def test_fresh_read_uses_primary() -> None:
    world = World()
    statement = read()
    statement.consistency = Consistency.FRESH
    response = await world.run(statement)
    assert response.result.role == "primary"
    await world.close()


@pytest.mark.parametrize("statement", [read(), write("1-a")])
@in_virtual_time
async def test_passed_deadline_is_refused_with_retry_after(
    statement: Statement,
) -> None:
    world = World()
    statement.remaining = 0.0
    refusal = await run_refused(world, statement)
    assert (refusal.reason, refusal.verdict) == (
        RefusalReason.DEADLINE,
        Verdict.NOT_RUN,
    )
    assert refusal.retry_after_ms
    assert not world.model.executed
    await world.close()


@in_virtual_time
async def test_session_read_skips_replica_with_known_lag() -> None:
    world = World(lag=5.0)
    for number in range(3):
        await world.run(write(f"{number}-a"))
        for delay in (4.9, 0.2):
            await asyncio.sleep(delay)
            await world.run(read())
    write_response = await world.run(write("9-a"))
    started_at = world.model.now()
    response = await world.run(read(covers=write_response.result.position))
    assert response.result.role == "primary"
    assert world.model.now() - started_at < 0.02
    await asyncio.sleep(5.1)
    response = await world.run(read(covers=write_response.result.position))
    assert response.result.role == "replica"
    await world.close()


@in_virtual_time
async def test_lagging_replicas_are_tried_less_often() -> None:
    world = World(lag=5.0)
    write_response = await world.run(write("1-a"))
    durations = []
    while world.model.now() < 2.0:
        started_at = world.model.now()
        response = await world.run(read(covers=write_response.result.position))
        assert response.result.role == "primary"
        durations.append(world.model.now() - started_at)
    assert max(durations) < 0.03
    replica_attempts = sum(one > 0.02 for one in durations)
    assert replica_attempts == world.model.executed.total() - len(durations) - 1
    assert 1 <= replica_attempts <= 12 and len(durations) > 500
    await world.close()


@in_virtual_time
async def test_bounded_read_uses_replica_within_max_age() -> None:
    world = World(lag=0.3)
    world.model.lags[FAR] = 2.0
    await world.run(write("1-a"))
    await asyncio.sleep(3.0)
    for max_age, targets in ((1.0, {NEAR}), (0.1, {PRIMARY}), (5.0, {NEAR, FAR})):
        served_targets = {
            (await world.run(read(max_age=max_age))).result.target for _ in range(20)
        }
        assert served_targets <= targets
    await world.close()


@in_virtual_time
async def test_session_read_never_returns_older_position() -> None:
    world = World(lag=0.5)
    world.model.proves = False
    for number in range(5):
        write_response = await world.run(write(f"{number}-a"))
        covers = write_response.result.position
        for max_age in (None, 10.0):
            response = await world.run(read(covers, max_age), entry=1)
            assert response.result.position >= covers
        await asyncio.sleep(0.2)
    await world.close()


@in_virtual_time
async def test_concurrent_writes_with_same_request_id_run_once() -> None:
    world = World()
    both = [world.run(write("1-a"), entry) for entry in (0, 1)]
    first, second = await asyncio.gather(*both)
    assert world.model.ran["1-a"] == 1
    assert first.result.position == second.result.position
    assert {first.result.repeated, second.result.repeated} == {False, True}
    await world.close()


@in_virtual_time
async def test_a_write_whose_answer_is_lost_is_repeated_under_its_id() -> None:
    world = World()
    await world.warm()
    world.network.crash("h1")
    response = await world.run(write("1-a"))
    assert response.host is not None and response.host.host == "h2"
    world.network.cut("h2", "e1")
    loop = asyncio.get_running_loop()
    loop.call_later(0.4, world.network.heal)
    refusal = await run_refused(world, write("2-a", remaining=0.3))
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    response = await world.run(write("2-a"))
    assert response.result.repeated
    assert world.model.ran["2-a"] == 1
    await world.close()


@in_virtual_time
async def test_write_waits_for_new_primary() -> None:
    world = World()
    await world.warm()
    world.model.frozen = True
    task = asyncio.create_task(world.run(write("1-a", remaining=2.0)))
    await asyncio.sleep(0.7)
    assert not task.done()
    world.model.frozen = False
    world.model.promote(NEAR)
    promoted_at = world.model.now()
    response = await task
    assert response.result.target == NEAR
    assert world.model.now() - promoted_at < 0.5
    assert world.model.ran["1-a"] == 1
    await world.close()


@in_virtual_time
async def test_waiting_writes_share_view_queries() -> None:
    query_counts = []
    for writes in (1, 100):
        world = World()
        await world.warm()
        world.model.frozen = True
        calls = [
            asyncio.create_task(world.run(write(f"{number}-a")))
            for number in range(writes)
        ]
        await asyncio.gather(*calls, return_exceptions=True)
        query_counts.append(world.network.calls["view"])
        await world.close()
    assert query_counts[1] <= 2 * query_counts[0]


@in_virtual_time
async def test_excess_waiting_writes_are_refused_at_once() -> None:
    world = World()
    await world.warm()
    world.model.frozen = True
    calls = [
        asyncio.create_task(world.run(write(f"{number}-a")))
        for number in range(MAX_WAITERS)
    ]
    await asyncio.sleep(0.1)
    started_at = world.model.now()
    refusal = await run_refused(world, write("one-more"))
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms is not None
    assert world.model.now() - started_at < 0.05
    await asyncio.gather(*calls, return_exceptions=True)
    await world.close()


@in_virtual_time
async def test_host_without_reachable_homes_refuses_quickly() -> None:
    world = World()
    for home in ("h1", "h2", "h3"):
        world.network.crash(home)
    started_at = world.model.now()
    refusal = await run_refused(world, write("1-a", remaining=30.0))
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms is not None
    assert world.model.now() - started_at < 1.0
    await world.close()


@in_virtual_time
async def test_final_refusal_is_returned_at_once() -> None:
    world = World()
    await world.warm()
    world.model.refuse(
        StatementKind.WRITE, not_run(RefusalReason.OVERLOADED, "no slot", 250)
    )
    started_at = world.model.now()
    refusal = await run_refused(world, write("1-a", remaining=30.0))
    assert (refusal.reason, refusal.retry_after_ms) == (RefusalReason.OVERLOADED, 250)
    assert world.model.now() - started_at < 0.05
    await world.close()


@in_virtual_time
async def test_leaving_members_get_no_new_statements() -> None:
    world = World()
    world.model.leaving.add(NEAR)
    await world.warm()
    for _ in range(20):
        await world.run(read())
    assert world.model.executed[NEAR] == 0
    world.model.leaving.add(PRIMARY)
    await world.warm()
    task = asyncio.create_task(world.run(write("1-a")))
    await asyncio.sleep(0.2)
    world.model.promote(FAR)
    assert (await task).result.target == FAR
    assert world.model.executed[PRIMARY] == 0
    await world.close()


@in_virtual_time
async def test_loaded_replica_gets_fewer_reads() -> None:
    world = World()
    world.model.waits[NEAR] = 0.05
    await world.warm()
    for _ in range(50):
        await world.run(read(), entry=1)
    assert world.model.executed[FAR] > 40
    await world.close()


@in_virtual_time
async def test_replica_of_same_zone_is_preferred() -> None:
    world = World()
    await world.warm()
    for _ in range(20):
        await world.run(read(), entry=1)
    assert world.model.executed[NEAR] == 20
    await world.close()


@in_virtual_time
async def test_recovered_replica_gets_slow_start() -> None:
    world = World(entries=3)
    await world.warm()
    world.network.crash("h2")
    world.entries[1].directory.fixed[NEAR] = [world.homes[1]]
    for _ in range(10):
        await world.run(read(), entry=1)
    world.network.at[world.homes[1].address] = world.network.join(
        world.homes[1], world.model.routes(world.model.now)
    )
    reads_per_round = []
    for _ in range(10):
        before = Counter(world.model.executed)
        for _ in range(100):
            await world.run(read(), entry=1)
            await asyncio.sleep(0.005)
        reads_per_round.append(world.model.executed[NEAR] - before[NEAR])
    assert reads_per_round[0] < 40
    assert reads_per_round[-1] == 100
    await world.close()


@in_virtual_time
async def test_slow_replica_is_hedged_within_budget() -> None:
    world = World()
    await world.warm()
    for _ in range(200):
        await world.run(read(), entry=1)
    world.model.delays[NEAR] = 0.3
    started_at = world.model.now()
    response = await world.run(read(), entry=1)
    assert response.result.target == FAR
    assert MIN_DELAY_SECONDS < world.model.now() - started_at < 0.1
    for _ in range(200):
        await world.run(read(), entry=1)
    hedged = world.entries[1].metrics.counters["router.hedged"]
    assert 1 < hedged <= HEDGE_BURST + 0.05 * 401
    await world.close()


@in_virtual_time
async def test_slower_hedge_attempt_is_cancelled() -> None:
    world = World()
    await world.warm()
    for _ in range(200):
        await world.run(read(), entry=1)
    world.model.delays = {NEAR: 0.05, FAR: 5.0}
    response = await world.run(read(remaining=20.0), entry=1)
    assert response.result.target == NEAR
    await asyncio.sleep(0.01)
    observations = world.entries[1].router.observations("g1")
    assert world.model.executed[FAR] == 1
    assert observations.member(FAR).inflight == observations.member(NEAR).inflight == 0
    await world.close()


@in_virtual_time
async def test_retries_stay_within_budget_if_all_replicas_fail() -> None:
    world = World()
    await world.warm()
    refusal = not_run(RefusalReason.TARGET_LOST, "no answer")
    for _ in range(3000):
        world.model.refuse(StatementKind.READ, refusal)
    for _ in range(500):
        with pytest.raises(RefusalError):
            await world.run(read(remaining=0.2))
    assert world.model.executed.total() <= 500 + 50 + RETRY_BURST
    await world.close()


@in_virtual_time
async def test_read_is_retried_at_another_replica_after_home_crash() -> None:
    world = World()
    await world.warm()
    world.network.crash("h2")
    world.entries[1].directory.fixed[NEAR] = [world.homes[1]]
    response = await world.run(read(), entry=1)
    assert response.result.target == FAR
    await world.close()


@in_virtual_time
async def test_first_reads_of_group_share_view_queries() -> None:
    world = World()
    await asyncio.gather(*(world.run(read()) for _ in range(50)))
    assert world.network.calls["view"] == 3
    await world.close()


@in_virtual_time
async def test_read_of_unobserved_position_uses_primary() -> None:
    world = World(lag=2.0)
    await world.warm()
    position = world.model.append("elsewhere")
    response = await world.run(read(covers=position))
    assert response.result.position >= position
    assert position > Position(1, 0)
    await world.close()
