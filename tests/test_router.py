"""Routing against a model of a group: members chosen, retries, final answers."""

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


async def refused(world: World, statement: object) -> RefusalError:
    """Return the refusal of a statement; fail if it is answered."""
    with pytest.raises(RefusalError) as caught:
        await world.run(statement)  # type: ignore[arg-type]
    return caught.value


@in_virtual_time
async def test_reads_go_to_replicas_and_writes_to_the_primary() -> None:
    world = World()
    await world.run(write("1-a"))
    await asyncio.sleep(0.1)
    for _ in range(20):
        await world.run(read())
    assert world.model.executed[PRIMARY] == 1
    assert world.model.executed[NEAR] + world.model.executed[FAR] == 20
    await world.close()


@in_virtual_time
async def test_a_fresh_read_goes_to_the_primary() -> None:
    world = World()
    statement = read()
    statement.consistency = Consistency.FRESH
    served = await world.run(statement)
    assert served.result.role == "primary"
    await world.close()


@pytest.mark.parametrize("statement", [read(), write("1-a")])
@in_virtual_time
async def test_a_deadline_that_has_passed_is_answered_with_a_hint(
    statement: Statement,
) -> None:
    world = World()
    statement.remaining = 0.0
    refusal = await refused(world, statement)
    assert (refusal.reason, refusal.verdict) == (
        RefusalReason.DEADLINE,
        Verdict.NOT_RUN,
    )
    assert refusal.retry_after_ms
    assert not world.model.executed
    await world.close()


@in_virtual_time
async def test_a_session_read_waits_for_no_replica_seen_far_behind() -> None:
    world = World(lag=5.0)
    for at in range(3):
        await world.run(write(f"{at}-a"))
        for pause in (4.9, 0.2):
            await asyncio.sleep(pause)
            await world.run(read())
    wrote = await world.run(write("9-a"))
    began = world.model.now()
    served = await world.run(read(covers=wrote.result.position))
    assert served.result.role == "primary"
    assert world.model.now() - began < 0.02
    await asyncio.sleep(5.1)
    served = await world.run(read(covers=wrote.result.position))
    assert served.result.role == "replica"
    await world.close()


@in_virtual_time
async def test_replicas_behind_are_tried_ever_more_rarely() -> None:
    world = World(lag=5.0)
    wrote = await world.run(write("1-a"))
    times = []
    while world.model.now() < 2.0:
        began = world.model.now()
        served = await world.run(read(covers=wrote.result.position))
        assert served.result.role == "primary"
        times.append(world.model.now() - began)
    assert max(times) < 0.03
    tries = sum(one > 0.02 for one in times)
    assert tries == world.model.executed.total() - len(times) - 1
    assert 1 <= tries <= 12 and len(times) > 500
    await world.close()


@in_virtual_time
async def test_a_bounded_read_goes_to_a_replica_that_is_young_enough() -> None:
    world = World(lag=0.3)
    world.model.lags[FAR] = 2.0
    await world.run(write("1-a"))
    await asyncio.sleep(3.0)
    for bound, targets in ((1.0, {NEAR}), (0.1, {PRIMARY}), (5.0, {NEAR, FAR})):
        served = {
            (await world.run(read(max_age=bound))).result.target for _ in range(20)
        }
        assert served <= targets
    await world.close()


@in_virtual_time
async def test_an_answer_that_misses_what_the_token_covers_is_never_given() -> None:
    world = World(lag=0.5)
    world.model.proves = False
    for at in range(5):
        wrote = await world.run(write(f"{at}-a"))
        covers = wrote.result.position
        for max_age in (None, 10.0):
            served = await world.run(read(covers, max_age), entry=1)
            assert served.result.position >= covers
        await asyncio.sleep(0.2)
    await world.close()


@in_virtual_time
async def test_one_request_id_through_two_hosts_at_once_runs_once() -> None:
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
    served = await world.run(write("1-a"))
    assert served.host is not None and served.host.host == "h2"
    world.network.cut("h2", "e1")
    loop = asyncio.get_running_loop()
    loop.call_later(0.4, world.network.heal)
    refusal = await refused(world, write("2-a", remaining=0.3))
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    served = await world.run(write("2-a"))
    assert served.result.repeated
    assert world.model.ran["2-a"] == 1
    await world.close()


@in_virtual_time
async def test_a_write_waits_for_a_new_primary_and_no_longer() -> None:
    world = World()
    await world.warm()
    world.model.frozen = True
    task = asyncio.create_task(world.run(write("1-a", remaining=2.0)))
    await asyncio.sleep(0.7)
    assert not task.done()
    world.model.frozen = False
    world.model.promote(NEAR)
    promoted = world.model.now()
    served = await task
    assert served.result.target == NEAR
    assert world.model.now() - promoted < 0.5
    assert world.model.ran["1-a"] == 1
    await world.close()


@in_virtual_time
async def test_many_writes_that_wait_ask_no_more_than_one_does() -> None:
    asked = []
    for writes in (1, 100):
        world = World()
        await world.warm()
        world.model.frozen = True
        calls = [
            asyncio.create_task(world.run(write(f"{at}-a"))) for at in range(writes)
        ]
        await asyncio.gather(*calls, return_exceptions=True)
        asked.append(world.network.calls["view"])
        await world.close()
    assert asked[1] <= 2 * asked[0]


@in_virtual_time
async def test_too_many_waiting_writes_are_refused_at_once() -> None:
    world = World()
    await world.warm()
    world.model.frozen = True
    calls = [
        asyncio.create_task(world.run(write(f"{at}-a"))) for at in range(MAX_WAITERS)
    ]
    await asyncio.sleep(0.1)
    began = world.model.now()
    refusal = await refused(world, write("one-more"))
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms is not None
    assert world.model.now() - began < 0.05
    await asyncio.gather(*calls, return_exceptions=True)
    await world.close()


@in_virtual_time
async def test_a_host_cut_off_from_all_homes_answers_at_once() -> None:
    world = World()
    for home in ("h1", "h2", "h3"):
        world.network.crash(home)
    began = world.model.now()
    refusal = await refused(world, write("1-a", remaining=30.0))
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_ms is not None
    assert world.model.now() - began < 1.0
    await world.close()


@in_virtual_time
async def test_a_final_refusal_is_not_held_back() -> None:
    world = World()
    await world.warm()
    world.model.refuse(
        StatementKind.WRITE, not_run(RefusalReason.OVERLOADED, "no slot", 250)
    )
    began = world.model.now()
    refusal = await refused(world, write("1-a", remaining=30.0))
    assert (refusal.reason, refusal.retry_after_ms) == (RefusalReason.OVERLOADED, 250)
    assert world.model.now() - began < 0.05
    await world.close()


@in_virtual_time
async def test_members_that_leave_get_no_new_work() -> None:
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
async def test_a_loaded_replica_gets_less_work() -> None:
    world = World()
    world.model.waits[NEAR] = 0.05
    await world.warm()
    for _ in range(50):
        await world.run(read(), entry=1)
    assert world.model.executed[FAR] > 40
    await world.close()


@in_virtual_time
async def test_a_replica_of_the_own_zone_is_preferred() -> None:
    world = World()
    await world.warm()
    for _ in range(20):
        await world.run(read(), entry=1)
    assert world.model.executed[NEAR] == 20
    await world.close()


@in_virtual_time
async def test_a_replica_that_comes_back_is_eased_in() -> None:
    world = World(entries=3)
    await world.warm()
    world.network.crash("h2")
    world.entries[1].directory.fixed[NEAR] = [world.homes[1]]
    for _ in range(10):
        await world.run(read(), entry=1)
    world.network.at[world.homes[1].address] = world.network.join(
        world.homes[1], world.model.routes(world.model.now)
    )
    shares = []
    for _ in range(10):
        before = Counter(world.model.executed)
        for _ in range(100):
            await world.run(read(), entry=1)
            await asyncio.sleep(0.005)
        shares.append(world.model.executed[NEAR] - before[NEAR])
    assert shares[0] < 40
    assert shares[-1] == 100
    await world.close()


@in_virtual_time
async def test_a_slow_replica_is_hedged_within_the_budget() -> None:
    world = World()
    await world.warm()
    for _ in range(200):
        await world.run(read(), entry=1)
    world.model.delays[NEAR] = 0.3
    began = world.model.now()
    served = await world.run(read(), entry=1)
    assert served.result.target == FAR
    assert MIN_DELAY_SECONDS < world.model.now() - began < 0.1
    for _ in range(200):
        await world.run(read(), entry=1)
    hedged = world.entries[1].metrics.counters["router.hedged"]
    assert 1 < hedged <= HEDGE_BURST + 0.05 * 401
    await world.close()


@in_virtual_time
async def test_the_slower_of_two_attempts_is_cancelled() -> None:
    world = World()
    await world.warm()
    for _ in range(200):
        await world.run(read(), entry=1)
    world.model.delays = {NEAR: 0.05, FAR: 5.0}
    served = await world.run(read(remaining=20.0), entry=1)
    assert served.result.target == NEAR
    await asyncio.sleep(0.01)
    track = world.entries[1].router.observations("g1")
    assert world.model.executed[FAR] == 1
    assert track.member(FAR).inflight == track.member(NEAR).inflight == 0
    await world.close()


@in_virtual_time
async def test_retries_stay_within_their_budget_when_all_replicas_fail() -> None:
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
async def test_a_read_finds_another_replica_when_a_home_dies() -> None:
    world = World()
    await world.warm()
    world.network.crash("h2")
    world.entries[1].directory.fixed[NEAR] = [world.homes[1]]
    served = await world.run(read(), entry=1)
    assert served.result.target == FAR
    await world.close()


@in_virtual_time
async def test_the_first_read_of_a_group_asks_its_homes_once() -> None:
    world = World()
    await asyncio.gather(*(world.run(read()) for _ in range(50)))
    assert world.network.calls["view"] == 3
    await world.close()


@in_virtual_time
async def test_an_unknown_position_is_served_by_the_primary_at_once() -> None:
    world = World(lag=2.0)
    await world.warm()
    position = world.model.append("elsewhere")
    served = await world.run(read(covers=position))
    assert served.result.position >= position
    assert position > Position(1, 0)
    await world.close()
