"""Admission under overload: most callers must still be served in time.

In order of arrival nearly all statements would miss their soft deadlines.
"""

import asyncio
from typing import Final

import pytest

from reedhook.connection.admission import AdmissionRequest
from reedhook.connection.admission_queue import (
    EXTRA_IN_FLIGHT_LIMIT,
    AdmissionQueue,
    ConnectionAvailability,
)
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.verdict import Verdict

from .fakes_clock import LoopClock, in_virtual_time
from .load import SLOTS, Load, now

SECONDS: Final = 6.0
ROUTE: Final = "r"


async def run_load(load: float, ordered: bool = True, seed: int = 1) -> Load:
    """Run callers at a load and return their outcomes."""
    simulation = Load(seed, ordered)
    await simulation.arrive(load, SECONDS)
    await simulation.ended()
    return simulation


@pytest.mark.parametrize(
    "load, least, by_arrival",
    [(0.8, 0.94, 1.0), (1.1, 0.88, 0.6), (1.35, 0.75, 0.25), (1.75, 0.55, 0.15)],
)
@in_virtual_time
async def test_share_of_callers_in_time_under_overload(
    load: float, least: float, by_arrival: float
) -> None:
    """Order of arrival must do worse, or the comparison shows nothing."""
    assert (await run_load(load)).share() >= least
    assert (await run_load(load, ordered=False)).share() <= by_arrival


@pytest.mark.parametrize("load, most", [(1.1, 0.02), (1.35, 0.03), (2.5, 0.06)])
@in_virtual_time
async def test_few_statements_wait_long_and_are_refused(
    load: float, most: float
) -> None:
    """Statements that would be overtaken until they are late are refused at once."""
    simulation = await run_load(load)
    assert simulation.held_in_vain / sum(simulation.asked.values()) <= most


@pytest.mark.parametrize("load", [1.1, 1.35, 1.75])
@in_virtual_time
async def test_highest_ranked_statements_are_in_time_under_any_load(
    load: float,
) -> None:
    simulation = await run_load(load)
    assert simulation.share_of("short") >= 0.95
    assert simulation.share_of("middle") > simulation.share_of("long")


@in_virtual_time
async def test_load_is_served_in_time_after_a_surge() -> None:
    simulation = Load(3)
    await simulation.arrive(2.0, 3.0)
    await asyncio.sleep(0.5)
    before = (sum(simulation.asked.values()), sum(simulation.in_time.values()))
    await simulation.arrive(0.7, 3.0)
    await simulation.ended()
    asked = sum(simulation.asked.values()) - before[0]
    assert (sum(simulation.in_time.values()) - before[1]) / asked >= 0.95


@in_virtual_time
async def test_duration_estimates_follow_rises_and_falls() -> None:
    simulation = Load(4)
    assert simulation.turns is not None
    await simulation.arrive(0.5, 3.0)
    estimate = simulation.turns.mean_seconds_by_route["middle"]
    simulation.target.slower = 4.0
    await simulation.arrive(0.2, 3.0)
    assert simulation.turns.mean_seconds_by_route["middle"] > 2.5 * estimate
    simulation.target.slower = 1.0
    await simulation.arrive(0.5, 4.0)
    await simulation.ended()
    assert simulation.turns.mean_seconds_by_route["middle"] < 1.5 * estimate


@in_virtual_time
async def test_hung_statements_do_not_block_the_others() -> None:
    simulation = Load(5)
    simulation.target.hangs = 0.1
    await simulation.arrive(0.5, SECONDS)
    await simulation.ended()
    assert sum(simulation.answered.values()) / sum(simulation.asked.values()) >= 0.95
    assert simulation.share() >= 0.75


def request_for(
    soft_seconds: float,
    remaining: float = 0.8,
    in_transaction: bool = False,
    max_wait: float | None = None,
    priority: int = 1,
) -> AdmissionRequest:
    """Return the request of a statement that arrives now."""
    return AdmissionRequest(
        ROUTE,
        priority,
        now() + soft_seconds,
        now() + remaining,
        in_transaction,
        max_wait,
    )


def queue_of(connections: ConnectionAvailability | None = None) -> AdmissionQueue:
    """Return the admission queue of a target with three slots."""
    return AdmissionQueue(
        "t",
        SLOTS,
        connections or ConnectionAvailability(lambda: True, lambda: 0.0),
        LoopClock(),
    )


@in_virtual_time
async def test_hopeless_statement_is_refused_at_once_with_a_retry_delay() -> None:
    queue = queue_of()
    queue.mean_seconds_by_route[ROUTE] = 0.1
    for _ in range(SLOTS + EXTRA_IN_FLIGHT_LIMIT):
        await queue.admit(request_for(0.3))
    waiting = [asyncio.ensure_future(queue.admit(request_for(0.3))) for _ in range(3)]
    await asyncio.sleep(0.0)
    started = now()
    with pytest.raises(RefusalError) as caught:
        await queue.admit(request_for(0.11, remaining=0.2))
    assert now() == started
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.reason is RefusalReason.OVERLOADED
    assert caught.value.retry_after_ms is not None
    assert 190 <= caught.value.retry_after_ms <= 400
    for one in waiting:
        one.cancel()


@in_virtual_time
async def test_read_that_other_targets_may_run_does_not_wait() -> None:
    queue = queue_of()
    queue.mean_seconds_by_route[ROUTE] = 0.1
    for _ in range(SLOTS + EXTRA_IN_FLIGHT_LIMIT):
        await queue.admit(request_for(0.5))
    with pytest.raises(RefusalError):
        await queue.admit(request_for(0.5, max_wait=0.02))
    staying = asyncio.ensure_future(queue.admit(request_for(0.5)))
    await asyncio.sleep(0.01)
    assert not staying.done()
    staying.cancel()


@in_virtual_time
async def test_open_transactions_pass_statements_that_wait_for_connections() -> None:
    free = False
    queue = queue_of(ConnectionAvailability(lambda: free, lambda: 0.1))
    first = asyncio.ensure_future(queue.admit(request_for(0.5)))
    await asyncio.sleep(0.0)
    assert not first.done()
    for _ in range(SLOTS + EXTRA_IN_FLIGHT_LIMIT):
        await queue.admit(request_for(0.5, in_transaction=True))
    free = True
    queue.dispatch()
    await asyncio.sleep(0.0)
    assert not first.done()
    first.cancel()


@in_virtual_time
async def test_cancelled_caller_releases_its_place() -> None:
    queue = queue_of()
    admissions = [
        await queue.admit(request_for(0.5))
        for _ in range(SLOTS + EXTRA_IN_FLIGHT_LIMIT)
    ]
    cancelled = asyncio.ensure_future(queue.admit(request_for(0.5)))
    await asyncio.sleep(0.0)
    cancelled.cancel()
    await asyncio.sleep(0.0)
    assert not queue.waiting
    granted = asyncio.ensure_future(queue.admit(request_for(0.5)))
    await asyncio.sleep(0.0)
    queue.release(admissions.pop())
    granted.cancel()
    await asyncio.sleep(0.0)
    assert queue.in_flight == SLOTS + EXTRA_IN_FLIGHT_LIMIT - 1
    for one in admissions:
        queue.release(one)
    assert queue.in_flight == 0


@in_virtual_time
async def test_one_long_statement_barely_changes_the_estimate_of_its_route() -> None:
    queue = queue_of()
    for _ in range(20):
        queue.record_duration(ROUTE, 0.018)
    queue.record_duration(ROUTE, 2.0)
    assert queue.mean_seconds_by_route[ROUTE] < 0.03
    for _ in range(40):
        queue.record_duration(ROUTE, 0.09)
    assert queue.mean_seconds_by_route[ROUTE] > 0.07
