"""Failure detection of targets by a host whose event loop is stalled by load."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.stalled_loop import STEP_SECONDS, wait_for_first
from reedhook.connection.target_home import TargetHome
from reedhook.request.refusal import RefusalReason
from reedhook.request.statement import StatementKind

from .fakes_clock import in_virtual_time, stall_loop
from .fakes_target import FakeTarget
from .home_support import home_at, refusal_of, statement

CONNECT_TURNS = 6
"""Iterations of the loop that `HttpTarget.connect` takes."""

STALLS = pytest.mark.parametrize("stall", [0.03, 0.05, 0.06, 0.2, 0.5])
"""Seconds by which each iteration of the loop is late."""

DETECTION_TURNS = 60
"""Iterations of a stalled loop in which a dead target must be detected."""


@asynccontextmanager
async def home_with_transaction(target: FakeTarget) -> AsyncIterator[TargetHome]:
    """Run a home on which the transaction ``t1`` is open."""
    target.connect_turns = CONNECT_TURNS
    async with home_at(target, transaction_idle_ms=60_000) as home:
        await home.run(statement(StatementKind.BEGIN, transaction="t1"))
        await asyncio.sleep(0.5)
        yield home
        stall_loop(0.0)


async def run_in_transaction(home: TargetHome, kind: StatementKind, sql: str) -> None:
    """Run a statement of ``t1`` that has enough time on a stalled loop."""
    await home.run(statement(kind, sql, remaining=30.0, transaction="t1"))


# A host that took its own stall for a dead target refused the statements of open
# transactions as not run, target_unreachable.
@STALLS
@in_virtual_time
async def test_open_transaction_commits_on_stalled_draining_host(stall: float) -> None:
    target = FakeTarget()
    async with home_with_transaction(target) as home:
        closing = asyncio.create_task(home.close(grace=60.0))
        stall_loop(stall)
        for sql in ("step1", "step2", "step3"):
            await run_in_transaction(home, StatementKind.STEP, sql)
            await asyncio.sleep(0.7)
            assert home.unreachable_since is None
        await run_in_transaction(home, StatementKind.COMMIT, "commit")
        await closing
    assert target.commits == [["step1", "step2", "step3"]]
    assert target.faults == []


@STALLS
@in_virtual_time
async def test_stalled_host_does_not_find_live_target_unreachable(
    stall: float,
) -> None:
    target = FakeTarget()
    async with home_with_transaction(target) as home:
        changes: list[float | None] = []
        home.health.on_reachability_change = changes.append
        stall_loop(stall)
        for _ in range(10):
            assert await home.health.probe_now()
            await asyncio.sleep(0.3)
        assert changes == []


@STALLS
@in_virtual_time
async def test_stalled_host_detects_dead_target(stall: float) -> None:
    target = FakeTarget()
    async with home_with_transaction(target) as home:
        stall_loop(stall)
        target.dead = True
        for _ in range(DETECTION_TURNS):
            await asyncio.sleep(0)
        refusal = await refusal_of(run_in_transaction(home, StatementKind.STEP, "step"))
        assert refusal.reason is RefusalReason.TARGET_UNREACHABLE


@in_virtual_time
async def test_wait_ends_on_time_if_the_loop_is_not_stalled() -> None:
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(asyncio.sleep(1.0))
    started_at = loop.time()
    done, pending = await wait_for_first({task}, 0.05)
    assert loop.time() - started_at == pytest.approx(0.05)
    assert (done, pending) == (set(), {task})
    done, pending = await wait_for_first({task}, 2.0)
    assert loop.time() - started_at == pytest.approx(1.0)
    assert (done, pending) == ({task}, set())


@in_virtual_time
async def test_wait_gives_a_task_turns_after_a_long_stall() -> None:
    async def take_turns() -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    task = asyncio.create_task(take_turns())
    stall_loop(10.0)
    done, _ = await wait_for_first({task}, 5 * STEP_SECONDS)
    assert done == {task}
