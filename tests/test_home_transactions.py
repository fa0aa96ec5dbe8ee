"""Transactions pinned to connections: isolation, verdicts and release."""

import asyncio

import pytest

from reedhook.connection.target_home import TargetHome
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_target import Break, FakeTarget
from .home_support import home_at, outcome_of, refusal_of, statement, timed


async def begin(home: TargetHome, name: str, remaining: float = 2.0) -> None:
    """Open the transaction `name`."""
    await home.run(
        statement(StatementKind.BEGIN, remaining=remaining, transaction=name)
    )


async def step(home: TargetHome, name: str, sql: str = "step") -> None:
    """Run a step of the transaction `name`."""
    await home.run(statement(StatementKind.STEP, f"{name}:{sql}", transaction=name))


async def commit(home: TargetHome, name: str) -> None:
    """Commit the transaction `name`."""
    await home.run(statement(StatementKind.COMMIT, transaction=name))


async def broken_commit(
    home: TargetHome, target: FakeTarget, point: Break
) -> RefusalError:
    """Break the connection at `point` of a commit and return the refusal."""
    await begin(home, "t1")
    await step(home, "t1")
    target.breaks = [point]
    return await refusal_of(commit(home, "t1"))


@in_virtual_time
async def test_statements_of_transactions_stay_on_their_connections() -> None:
    target = FakeTarget()

    async def run_transaction(home: TargetHome, name: str) -> None:
        await begin(home, name)
        for number in range(5):
            await step(home, name, f"step{number}")
            await home.run(statement(StatementKind.READ, "view"))
        await commit(home, name)

    async with home_at(target) as home:
        await asyncio.gather(
            *(run_transaction(home, f"t{number}") for number in range(8))
        )
    assert len(target.commits) == 8
    for texts in target.commits:
        assert len({text.split(":")[0] for text in texts}) == 1
        assert len(texts) == 5
    assert target.faults == []
    assert target.peak <= 9
    assert target.peak_running <= 2


@in_virtual_time
async def test_concurrent_statement_of_a_transaction_is_refused() -> None:
    target = FakeTarget(service=0.05)
    async with home_at(target) as home:
        await begin(home, "t1")
        first = asyncio.create_task(step(home, "t1", "first"))
        await asyncio.sleep(0.01)
        refusal = await refusal_of(step(home, "t1", "second"))
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.reason is RefusalReason.CONFLICT
        await first
        await commit(home, "t1")
    assert target.commits == [["t1:first"]]


@in_virtual_time
async def test_another_caller_cannot_use_a_transaction() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        foreign_commit = statement(
            StatementKind.COMMIT, transaction="t1", caller="report"
        )
        refusal = await refusal_of(home.run(foreign_commit))
        assert refusal.reason is RefusalReason.UNKNOWN_TRANSACTION
        assert refusal.verdict is Verdict.NOT_RUN
        await commit(home, "t1")


@in_virtual_time
async def test_idle_transaction_is_rolled_back() -> None:
    target = FakeTarget()
    async with home_at(target, transaction_idle_ms=500) as home:
        await begin(home, "t1")
        await step(home, "t1")
        await asyncio.sleep(0.6)
        refusal = await refusal_of(commit(home, "t1"))
        assert refusal.reason is RefusalReason.TRANSACTION_LOST
        assert refusal.verdict is Verdict.NOT_RUN
    assert target.ran == {}
    assert any(texts[-1:] == ["rollback"] for texts in target.used.values())


@in_virtual_time
async def test_lost_step_ends_the_transaction_as_not_run() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        target.abrupt = True
        target.breaks = [Break.AFTER_EFFECT]
        lost = await refusal_of(step(home, "t1"))
        later = await refusal_of(commit(home, "t1"))
        for refusal in (lost, later):
            assert refusal.reason is RefusalReason.TRANSACTION_LOST
            assert refusal.verdict is Verdict.NOT_RUN
    assert target.ran == {}


@pytest.mark.parametrize(
    ("point", "times"), [(Break.BEFORE_EFFECT, 0), (Break.AFTER_EFFECT, 1)]
)
@in_virtual_time
async def test_lost_commit_may_have_run(point: Break, times: int) -> None:
    target = FakeTarget()
    target.abrupt = True
    async with home_at(target) as home:
        refusal = await broken_commit(home, target, point)
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert target.ran["t1:step"] == times


@in_virtual_time
async def test_repeat_of_a_lost_commit_still_may_have_run() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        for name in ("lost", "cut"):
            await begin(home, name)
            await step(home, name)
        target.breaks = [Break.AFTER_EFFECT]
        first = await refusal_of(commit(home, "lost"))
        target.service = 9.0
        pending = asyncio.create_task(refusal_of(commit(home, "cut")))
        await asyncio.sleep(0.1)
        await home.close(grace=0.2)
        for refusal in (
            first,
            await pending,
            await refusal_of(commit(home, "lost")),
            await refusal_of(commit(home, "cut")),
        ):
            assert refusal.reason is RefusalReason.TRANSACTION_LOST
            assert refusal.verdict is Verdict.MAY_HAVE_RUN
        refusal = await refusal_of(step(home, "lost"))
        assert refusal.verdict is Verdict.NOT_RUN
    assert target.commits == [["lost:step"]]


@in_virtual_time
async def test_commit_on_a_connection_closed_by_the_target_did_not_run() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        await step(home, "t1")
        target.hang_up_all()
        refusal = await refusal_of(commit(home, "t1"))
        assert refusal.reason is RefusalReason.TRANSACTION_LOST
        assert refusal.verdict is Verdict.NOT_RUN
        target.hang_up_all()
        await outcome_of(begin(home, "t2"))
        await begin(home, "t3")
        await commit(home, "t3")
    assert target.ran == {}
    assert target.faults == []


@in_virtual_time
async def test_a_failed_step_leaves_the_transaction_open() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        target.refusal = "statement_failed"
        refusal = await refusal_of(step(home, "t1", "bad"))
        assert refusal.reason is RefusalReason.STATEMENT_FAILED
        assert refusal.verdict is Verdict.NOT_RUN
        target.refusal = None
        await step(home, "t1", "good")
        await commit(home, "t1")
    assert target.commits == [["t1:good"]]


@in_virtual_time
async def test_refused_commit_closes_its_connection() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        target.refusal = "superseded"
        refusal = await refusal_of(commit(home, "t1"))
        assert refusal.reason is RefusalReason.SUPERSEDED
        target.refusal = None
        await home.run(statement(StatementKind.READ))
        await begin(home, "t2")
        await commit(home, "t2")
    assert target.faults == []


@in_virtual_time
async def test_open_transactions_leave_a_connection_for_single_statements() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        begins = [
            outcome_of(begin(home, f"t{number}", remaining=0.5)) for number in range(20)
        ]
        outcomes = await asyncio.gather(*begins)
        refusals = [one for one in outcomes if isinstance(one, RefusalError)]
        assert len(refusals) == 15
        assert all(one.verdict is Verdict.NOT_RUN for one in refusals)
        _, seconds = await timed(home.run(statement(StatementKind.READ)))
        assert seconds < 0.03
    assert target.peak <= 9


@in_virtual_time
async def test_transaction_waits_for_another_to_end() -> None:
    target = FakeTarget()
    async with home_at(target, share=3) as home:
        await begin(home, "t1")
        waiting = asyncio.create_task(timed(begin(home, "t2")))
        await asyncio.sleep(0.2)
        await commit(home, "t1")
        _, seconds = await waiting
        assert 0.2 <= seconds < 0.25
        await commit(home, "t2")
    assert target.peak <= 3


@in_virtual_time
async def test_close_lets_an_open_transaction_end() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        closing = asyncio.create_task(timed(home.close(grace=2.0)))
        await asyncio.sleep(0.1)
        refusal = await refusal_of(begin(home, "t2"))
        assert refusal.reason is RefusalReason.WRONG_HOME
        assert refusal.verdict is Verdict.NOT_RUN
        await step(home, "t1")
        await commit(home, "t1")
        _, seconds = await closing
        assert seconds < 0.2
    assert target.commits == [["t1:step"]]
    assert target.connections == []


@in_virtual_time
async def test_close_rolls_back_a_transaction_after_the_grace_period() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await begin(home, "t1")
        await step(home, "t1")
        _, seconds = await timed(home.close(grace=1.0))
        assert 1.0 <= seconds < 1.2
        refusal = await refusal_of(commit(home, "t1"))
        assert refusal.reason is RefusalReason.TRANSACTION_LOST
        assert refusal.verdict is Verdict.NOT_RUN
    assert target.ran == {}
    assert target.connections == []
