"""Verdicts must match what the target ran, and budgets must hold, under faults."""

import asyncio
from typing import Any

import pytest
from hypothesis import given, strategies as st

from reedhook.connection.target import TargetResult
from reedhook.connection.target_home import TargetHome
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import Statement, StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_target import Break, FakeTarget
from .home_support import (
    all_given_back,
    home_at,
    outcome_of,
    refusal_of,
    statement,
    timed,
)

breaks = st.sampled_from([None, None, Break.BEFORE_EFFECT, Break.AFTER_EFFECT])
pauses = st.floats(0.0, 0.4)


class Attempt:
    """Send one write and track its outcome."""

    def __init__(self, number: int, values: dict[str, Any]) -> None:
        self.sql = f"write {number}"
        self.request_id = f"r{number}" if values["repeatable"] else None
        self.values = values
        self.outcome: TargetResult | RefusalError | None = None

    def statement(self) -> Statement:
        return statement(
            StatementKind.WRITE,
            self.sql,
            remaining=self.values["remaining"],
            request_id=self.request_id,
            caller=self.values["caller"],
            priority=self.values["priority"],
        )

    async def run(self, home: TargetHome) -> None:
        """Send the write, with the client timeout of the test."""
        await asyncio.sleep(self.values["pause"])
        try:
            async with asyncio.timeout(self.values["patience"]):
                self.outcome = await outcome_of(home.run(self.statement()))
        except TimeoutError:
            self.outcome = None

    def check(self, target: FakeTarget) -> None:
        """Check the outcome against what the target ran."""
        times = target.ran[self.sql]
        assert times <= 1
        if isinstance(self.outcome, TargetResult):
            assert times == 1
        elif self.outcome is not None and self.outcome.verdict is Verdict.NOT_RUN:
            assert times == 0


attempts = st.lists(
    st.fixed_dictionaries(
        {
            "pause": pauses,
            "patience": st.one_of(st.none(), st.floats(0.001, 0.5)),
            "remaining": st.floats(0.001, 2.0),
            "repeatable": st.booleans(),
            "caller": st.sampled_from(["gate", "view", "report"]),
            "priority": st.integers(0, 3),
        }
    ),
    min_size=1,
    max_size=25,
)
incidents = st.lists(
    st.tuples(
        pauses, st.sampled_from(["silence", "die", "return", "refuse", "hang up"])
    ),
    max_size=6,
)


async def bring_about(
    target: FakeTarget, events: list[tuple[float, str]], end: asyncio.Event
) -> None:
    """Inject the incidents, then restore the target."""
    for pause, incident in events:
        await asyncio.sleep(pause)
        if incident == "silence":
            target.silence_all()
        if incident == "hang up":
            target.hang_up_all()
        target.dead = incident == "die"
        target.refusing = incident == "refuse"
    target.dead = target.refusing = False
    end.set()


@given(attempts, incidents, st.lists(breaks, max_size=8), st.booleans(), st.data())
@in_virtual_time
async def test_verdicts_and_budgets_hold_under_any_interleaving(
    writes: list[dict[str, Any]],
    events: list[tuple[float, str]],
    points: list[Break | None],
    abrupt: bool,
    data: st.DataObject,
) -> None:
    share = data.draw(st.integers(1, 9))
    target = FakeTarget(service=data.draw(st.sampled_from([0.001, 0.02, 0.1])))
    target.breaks = list(points)
    target.abrupt = abrupt
    tries = [Attempt(number, values) for number, values in enumerate(writes)]
    async with home_at(target, share=share, queue=8) as home:
        end = asyncio.Event()
        await asyncio.gather(
            bring_about(target, events, end), *(one.run(home) for one in tries)
        )
        await end.wait()
        await asyncio.sleep(3.0)
        await all_given_back(home)
        assert home.slots.busy == 0
        assert home.slots.queued == 0
    for one in tries:
        one.check(target)
    assert target.faults == []
    assert target.peak <= share
    assert target.connections == []


@pytest.mark.parametrize(
    ("point", "times"), [(Break.BEFORE_EFFECT, 0), (Break.AFTER_EFFECT, 1)]
)
@in_virtual_time
async def test_write_on_a_broken_connection_may_have_run(
    point: Break, times: int
) -> None:
    target = FakeTarget()
    target.abrupt = True
    async with home_at(target) as home:
        target.breaks = [point]
        refusal = await refusal_of(home.run(statement(StatementKind.WRITE, "w")))
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is RefusalReason.TARGET_LOST
    assert target.ran["w"] == times


@pytest.mark.parametrize("point", [Break.BEFORE_EFFECT, Break.AFTER_EFFECT])
@in_virtual_time
async def test_write_with_an_id_on_a_broken_connection_is_repeated(
    point: Break,
) -> None:
    target = FakeTarget()
    target.abrupt = True
    async with home_at(target) as home:
        target.breaks = [point]
        result = await home.run(statement(StatementKind.WRITE, "w", request_id="r1"))
    assert result.repeated == (point is Break.AFTER_EFFECT)
    assert target.ran["w"] == 1


@in_virtual_time
async def test_refused_repeat_does_not_make_the_first_attempt_not_run() -> None:
    target = FakeTarget()
    target.abrupt = True
    async with home_at(target) as home:
        target.breaks = [Break.AFTER_EFFECT]
        write = statement(StatementKind.WRITE, "w", request_id="r1")
        running = asyncio.create_task(refusal_of(home.run(write)))
        await asyncio.sleep(0.013)
        target.refusal = "superseded"
        refusal = await running
    assert target.ran["w"] == 1
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


@in_virtual_time
async def test_connections_closed_by_the_target_are_replaced() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await asyncio.gather(
            *(home.run(statement(StatementKind.READ)) for _ in range(4))
        )
        target.hang_up_all()
        _, seconds = await timed(home.run(statement(StatementKind.WRITE, "w")))
        assert seconds < 0.05
        target.hang_up_all()
        state = await home.fetch_state(0.2)
        assert state.member == "m1"
        assert home.unreachable_since is None
    assert target.ran == {"w": 1}
    assert target.faults == []


@pytest.mark.parametrize(
    ("code", "reason"),
    [
        ("not_primary", RefusalReason.NO_PRIMARY),
        ("superseded", RefusalReason.SUPERSEDED),
        ("statement_failed", RefusalReason.STATEMENT_FAILED),
        ("request_expired", RefusalReason.REQUEST_EXPIRED),
        ("request_reused", RefusalReason.REQUEST_REUSED),
        ("leaving", RefusalReason.TARGET_LEAVING),
        ("bad_request", RefusalReason.BAD_REQUEST),
    ],
)
@in_virtual_time
async def test_refusals_by_the_target_keep_their_reason(
    code: str, reason: RefusalReason
) -> None:
    target = FakeTarget()
    target.refusal = code
    async with home_at(target) as home:
        refusal = await refusal_of(home.run(statement(StatementKind.WRITE, "w")))
    assert refusal.reason is reason
    assert refusal.verdict is Verdict.NOT_RUN
    assert target.ran == {}


@in_virtual_time
async def test_leaving_target_gets_no_new_work_but_ends_current_work() -> None:
    target = FakeTarget(service=0.1)
    async with home_at(target) as home:
        running = asyncio.create_task(home.run(statement(StatementKind.WRITE, "old")))
        await asyncio.sleep(0.05)
        home.leaving = True
        refusal = await refusal_of(home.run(statement(StatementKind.WRITE, "new")))
        assert refusal.reason is RefusalReason.TARGET_LEAVING
        assert refusal.verdict is Verdict.NOT_RUN
        await running
    assert target.ran == {"old": 1}


@in_virtual_time
async def test_close_ends_running_and_refuses_waiting_statements() -> None:
    target = FakeTarget(service=0.2)
    async with home_at(target) as home:
        writes = [
            asyncio.create_task(
                outcome_of(home.run(statement(StatementKind.WRITE, f"w{n}")))
            )
            for n in range(5)
        ]
        await asyncio.sleep(0.05)
        await home.close(grace=2.0)
        outcomes = await asyncio.gather(*writes)
        refusals = [one for one in outcomes if isinstance(one, RefusalError)]
        assert len(refusals) == 3
        assert {one.reason for one in refusals} == {RefusalReason.WRONG_HOME}
        assert {one.verdict for one in refusals} == {Verdict.NOT_RUN}
    assert sum(target.ran.values()) == 2


@in_virtual_time
async def test_statement_at_a_full_target_did_not_run() -> None:
    target = FakeTarget(limit=0)
    async with home_at(target) as home:
        refusal, seconds = await timed(
            refusal_of(home.run(statement(StatementKind.WRITE)))
        )
        assert refusal.reason is RefusalReason.TARGET_FULL
        assert refusal.verdict is Verdict.NOT_RUN
        assert seconds < 0.05
        assert home.unreachable_since is None


@in_virtual_time
async def test_connections_are_opened_one_at_a_time_beside_probes() -> None:
    target = FakeTarget(service=0.05)
    async with home_at(target) as home:
        reads = [
            home.run(statement(StatementKind.READ, remaining=5.0)) for _ in range(20)
        ]
        begins = [
            home.run(statement(StatementKind.BEGIN, transaction=f"t{number}"))
            for number in range(5)
        ]
        await asyncio.gather(*reads, *begins)
    assert target.peak_opening <= 2
    assert target.peak <= 9


@in_virtual_time
async def test_unused_connections_are_closed() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        await asyncio.gather(
            *(home.run(statement(StatementKind.READ)) for _ in range(4))
        )
        assert len(target.connections) >= 2
        await asyncio.sleep(33.0)
        assert len(target.connections) == 1
