"""Statements run again elsewhere: errors that another target would have prevented.

Also guards against repeated writes, stale second answers and retries that feed an
overload.
"""

import asyncio

import pytest

from reedhook.connection.session_state import SessionState
from reedhook.connection.session_target import SessionTargetReply, StatementFault
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.retry_budget import MIN_TOKENS
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.request.target_load import TargetCondition

from .fakes_clock import in_virtual_time
from .retry_world import (
    REQUIRED,
    ROUTE,
    WORK_SECONDS,
    RetryWorld,
    answering,
    healthy,
    refusing,
    reply,
)

FAILED = StatementFault.FAILED
NONE = StatementFault.NONE
OVERLOADED = RefusalReason.OVERLOADED


def earn(world: RetryWorld) -> None:
    """Earn tokens above those that refused reads leave."""
    for _ in range(200):
        world.budget.record_success()


@pytest.mark.parametrize("failing", ["t0", "t1"])
@in_virtual_time
async def test_target_that_fails_40_percent_costs_no_read(failing: str) -> None:
    """At most 1 in 10,000 reads gets an error that another target can prevent."""
    world = RetryWorld()
    world.behave(failing, world.failing(0.4))
    errors = 0

    async def call() -> None:
        nonlocal errors
        for _ in range(2500):
            errors += await world.read() is not NONE

    await asyncio.gather(*(call() for _ in range(8)))
    assert errors <= 2
    assert world.budget.tokens > MIN_TOKENS


@in_virtual_time
async def test_failed_read_runs_again_at_the_other_replica() -> None:
    world = RetryWorld()
    world.behave("t1", answering(FAILED))
    world.prefer("t1")
    assert await world.read() is NONE
    assert world.attempts == ["t1", "t2"]
    assert world.required == [REQUIRED, REQUIRED]
    assert world.budget.tokens == pytest.approx(MIN_TOKENS - 1.0 + 0.2)
    assert world.metrics.counters["retries.failed"] == 1


@in_virtual_time
async def test_read_that_failed_at_both_replicas_runs_at_the_primary() -> None:
    world = RetryWorld()
    world.behave("t1", answering(FAILED))
    world.behave("t2", answering(StatementFault.TIMEOUT))
    assert await world.read() is NONE
    assert sorted(world.attempts[:2]) == ["t1", "t2"]
    assert world.attempts[2:] == ["t0"]


@in_virtual_time
async def test_second_target_must_hold_the_same_position() -> None:
    """A replica that lacks the position must not serve the repeated read."""
    world = RetryWorld()
    world.behave("t1", answering(FAILED))
    world.behave("t2", answering(StatementFault.LAGGING))
    world.prefer("t1")
    assert await world.read() is NONE
    assert world.attempts == ["t1", "t2", "t0"]
    assert world.required == [REQUIRED, REQUIRED, None]


@in_virtual_time
async def test_read_that_failed_at_the_primary_requires_its_position_elsewhere() -> (
    None
):
    world = RetryWorld()
    world.behave("t0", answering(FAILED))
    world.report("t2", TargetCondition.EJECTED)
    world.behave("t1", answering(StatementFault.LAGGING))
    assert await world.read() is NONE
    assert world.attempts == ["t1", "t0", "t2"]
    assert world.required == [REQUIRED, None, REQUIRED]


@in_virtual_time
async def test_ejected_target_serves_what_no_other_target_can() -> None:
    world = RetryWorld()
    earn(world)
    world.report("t1", TargetCondition.EJECTED)
    world.behave("t2", refusing(OVERLOADED))
    world.behave("t0", refusing(OVERLOADED))
    assert await world.read() is NONE
    assert world.attempts[0] == "t2" and world.attempts[-1] == "t1"


@in_virtual_time
async def test_error_of_the_target_is_the_answer_when_no_other_is_left() -> None:
    world = RetryWorld()
    for target in ("t1", "t2"):
        world.behave(target, answering(FAILED))
    world.behave("t0", refusing(OVERLOADED))
    assert await world.read() is FAILED


@pytest.mark.parametrize(
    "kind, begin",
    [
        (SessionStatementKind.WRITE, TransactionMode.NONE),
        (SessionStatementKind.COMMIT, TransactionMode.NONE),
        (SessionStatementKind.READ, TransactionMode.WRITE),
    ],
)
@pytest.mark.parametrize("fault", [FAILED, StatementFault.TIMEOUT])
@in_virtual_time
async def test_failed_write_is_not_repeated(
    kind: SessionStatementKind, begin: TransactionMode, fault: StatementFault
) -> None:
    """A write that failed may have taken effect."""
    world = RetryWorld()
    world.behave("t0", answering(fault))
    statement = world.statement(kind, begin)
    located = await world.router.run(ROUTE, statement, REQUIRED, False)
    assert located.result.reply.fault is fault
    assert world.attempts == ["t0"]


@in_virtual_time
async def test_read_only_transaction_begins_elsewhere_if_a_target_refuses() -> None:
    world = RetryWorld()
    world.behave("t1", answering(FAILED))
    world.prefer("t1")
    located = await world.run(world.statement(begin=TransactionMode.READ))
    assert located.result.reply.fault is NONE
    assert located.location.target == "t2"


@in_virtual_time
async def test_statement_that_ran_in_a_transaction_is_not_repeated() -> None:
    world = RetryWorld()
    world.behave("t1", answering(FAILED, SessionState.FAILED))
    world.prefer("t1")
    located = await world.run(world.statement(begin=TransactionMode.READ))
    assert located.result.reply.fault is FAILED
    assert world.attempts == ["t1"]


@in_virtual_time
async def test_lost_transaction_is_not_repeated() -> None:
    world = RetryWorld()
    world.behave("t1", refusing(RefusalReason.TRANSACTION_LOST))
    world.prefer("t1")
    with pytest.raises(RefusalError):
        await world.run(world.statement(begin=TransactionMode.READ))
    assert world.attempts == ["t1"]


@in_virtual_time
async def test_lost_answer_of_a_read_costs_a_token() -> None:
    world = RetryWorld()
    world.behave("t1", refusing(RefusalReason.TARGET_LOST))
    world.prefer("t1")
    assert await world.read() is NONE
    assert world.attempts == ["t1", "t2"]
    assert world.budget.tokens < MIN_TOKENS - 0.5


@pytest.mark.parametrize(
    "reason",
    [
        RefusalReason.TARGET_LEAVING,
        RefusalReason.TARGET_UNREACHABLE,
        RefusalReason.HOST_UNREACHABLE,
        RefusalReason.WRONG_HOME,
    ],
)
@in_virtual_time
async def test_leaving_or_lost_target_costs_neither_an_error_nor_budget(
    reason: RefusalReason,
) -> None:
    """Target leaving mid-read, home lost, host cut off."""
    world = RetryWorld()
    world.behave("t1", refusing(reason))
    world.prefer("t1")
    while world.budget.try_spend():
        pass
    assert await world.read() is NONE
    assert world.attempts == ["t1", "t2"]


@in_virtual_time
async def test_retries_cannot_feed_an_overload() -> None:
    """All targets refuse or fail; the budget bounds what the targets get."""
    world = RetryWorld()
    for target in ("t0", "t1", "t2"):
        world.behave(target, answering(FAILED))
    for _ in range(500):
        assert await world.read() is FAILED
    assert len(world.attempts) <= 500 + 2 * MIN_TOKENS
    assert world.metrics.counters["retries.budget_spent"] > 400


@in_virtual_time
async def test_overloaded_service_gets_no_more_attempts_than_without_retries() -> None:
    world = RetryWorld()
    for target in ("t0", "t1", "t2"):
        world.behave(target, refusing(OVERLOADED))
    for _ in range(200):
        with pytest.raises(RefusalError):
            await world.read()
    # Two replicas, the primary, and then the shorter queue and the primary again.
    assert len(world.attempts) <= 200 * 5 + 2 * MIN_TOKENS


@in_virtual_time
async def test_refused_reads_leave_budget_for_failed_ones() -> None:
    """The budget is for all services; an overloaded one must not spend it."""
    world = RetryWorld()
    earn(world)
    for target in ("t0", "t1", "t2"):
        world.behave(target, refusing(OVERLOADED))
    world.report("t1", TargetCondition.EJECTED)
    for _ in range(100):
        with pytest.raises(RefusalError):
            await world.read()
    assert world.budget.tokens >= MIN_TOKENS
    assert world.metrics.counters["retries.budget_spent"] > 0


@in_virtual_time
async def test_read_without_time_left_is_not_repeated() -> None:
    world = RetryWorld()
    world.behave("t1", answering(FAILED))
    world.prefer("t1")
    statement = world.statement(remaining=WORK_SECONDS + 0.003)
    located = await world.run(statement)
    assert located.result.reply.fault is FAILED
    assert world.attempts == ["t1"]


@in_virtual_time
async def test_read_at_a_hanging_suspected_target_is_hedged() -> None:
    async def hang(statement: SessionStatement) -> SessionTargetReply:
        await asyncio.sleep(5.0)
        return reply()

    world = RetryWorld()
    world.prefer("t1")
    world.behave("t1", hang)
    await asyncio.sleep(0.01)
    world.report("t1", TargetCondition.SUSPECTED)
    started = world.clock.monotonic()
    located = await world.run(world.statement())
    assert located.location.target == "t2"
    assert world.attempts == ["t1", "t2"]
    assert world.required == [REQUIRED, REQUIRED]
    assert world.clock.monotonic() - started < 0.07
    assert world.budget.tokens == pytest.approx(MIN_TOKENS - 1.0 + 0.2)
    assert world.reader.observations("db").target("t1").inflight == 0


@in_virtual_time
async def test_hedge_that_fails_does_not_end_the_first_attempt() -> None:
    async def slow(statement: SessionStatement) -> SessionTargetReply:
        await asyncio.sleep(0.2)
        return reply()

    world = RetryWorld()
    world.prefer("t1")
    world.behave("t1", slow)
    world.behave("t2", answering(FAILED))
    await asyncio.sleep(0.01)
    world.report("t1", TargetCondition.SUSPECTED)
    located = await world.run(world.statement())
    assert located.result.reply.fault is NONE
    assert located.location.target == "t1"


@in_virtual_time
async def test_read_is_not_hedged_without_budget_or_suspicion() -> None:
    async def slow(statement: SessionStatement) -> SessionTargetReply:
        await asyncio.sleep(0.2)
        return reply()

    world = RetryWorld()
    world.behave("t1", slow)
    world.prefer("t1")
    await world.read()
    assert world.attempts == ["t1"]
    while world.budget.try_spend():
        pass
    world.prefer("t1")
    await asyncio.sleep(0.01)
    world.report("t1", TargetCondition.SUSPECTED)
    await world.read()
    assert world.attempts == ["t1", "t1"]


@in_virtual_time
async def test_report_of_a_caught_up_replica_ends_its_backoff() -> None:
    """Reads went to the primary for up to 1.6 s after a replica had caught up."""
    world = RetryWorld()
    for target in ("t1", "t2"):
        world.behave(target, lagging)
    for _ in range(12):
        assert await world.read() is NONE
        await asyncio.sleep(0.3)
    backoff = world.reader.observations("db").target("t1")
    await world.read()
    assert backoff.avoid_until > world.clock.monotonic()
    world.attempts.clear()
    world.behave("t1", healthy)
    assert await world.read() is NONE
    assert world.attempts == ["t0"]
    world.report("t1", position=REQUIRED)
    assert await world.read() is NONE
    assert world.attempts == ["t0", "t1"]


async def lagging(statement: SessionStatement) -> SessionTargetReply:
    """Lack the required position."""
    return reply(StatementFault.LAGGING, position=Position(1, 2))
