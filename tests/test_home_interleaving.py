"""Interleaved transactions and statements under faults never mix or misreport."""

import asyncio
from typing import Any

from hypothesis import given, strategies as st

from reedhook.connection.target import TargetResult
from reedhook.connection.target_home import TargetHome
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_target import Break, FakeTarget
from .home_support import all_given_back, home_at, outcome_of, statement

pauses = st.floats(0.0, 0.3)
plans = st.lists(
    st.fixed_dictionaries(
        {
            "start": pauses,
            "steps": st.lists(pauses, max_size=4),
            "ending": st.sampled_from(
                [StatementKind.COMMIT, StatementKind.ROLLBACK, None]
            ),
            "patience": st.one_of(st.none(), st.floats(0.01, 1.0)),
        }
    ),
    min_size=1,
    max_size=8,
)
breaks = st.lists(
    st.sampled_from([None, None, None, Break.BEFORE_EFFECT, Break.AFTER_EFFECT]),
    max_size=20,
)


class Plan:
    """Run one transaction and track its outcome."""

    def __init__(self, number: int, values: dict[str, Any]) -> None:
        self.name = f"t{number}"
        self.values = values
        self.sent: list[str] = []
        self.ended: TargetResult | RefusalError | None = None

    async def run(self, home: TargetHome) -> None:
        """Run the transaction, with the client timeout of the test."""
        await asyncio.sleep(self.values["start"])
        try:
            async with asyncio.timeout(self.values["patience"]):
                await self.run_steps(home)
        except TimeoutError:
            return

    async def run_steps(self, home: TargetHome) -> None:
        """Begin, send the steps, and end."""
        begin = statement(StatementKind.BEGIN, transaction=self.name)
        if isinstance(await outcome_of(home.run(begin)), RefusalError):
            return
        for number, pause in enumerate(self.values["steps"]):
            await asyncio.sleep(pause)
            sql = f"{self.name}:{number}"
            step = statement(StatementKind.STEP, sql, transaction=self.name)
            if isinstance(await outcome_of(home.run(step)), RefusalError):
                continue
            self.sent.append(sql)
        if self.values["ending"] is not None:
            end = statement(self.values["ending"], transaction=self.name)
            self.ended = await outcome_of(home.run(end))

    def check(self, target: FakeTarget) -> None:
        """Check the outcome against what the target committed."""
        committed = [
            texts for texts in target.commits if texts and self.sent[:1] == texts[:1]
        ]
        assert len(committed) <= 1
        if self.values["ending"] is not StatementKind.COMMIT:
            assert committed == []
        elif isinstance(self.ended, TargetResult):
            assert committed == ([self.sent] if self.sent else [])
        elif self.ended is not None and self.ended.verdict is Verdict.NOT_RUN:
            assert committed == []


@given(plans, breaks, st.booleans(), st.integers(2, 9), st.floats(0.0, 1.0))
@in_virtual_time
async def test_transactions_stay_apart_and_their_endings_are_true(
    values: list[dict[str, Any]],
    points: list[Break | None],
    abrupt: bool,
    share: int,
    silence: float,
) -> None:
    target = FakeTarget(service=0.01)
    target.abrupt = abrupt
    target.breaks = list(points)
    tries = [Plan(number, one) for number, one in enumerate(values)]

    async def read(home: TargetHome) -> None:
        for _ in range(20):
            await outcome_of(home.run(statement(StatementKind.READ, "view")))
            await asyncio.sleep(0.05)

    async def go_silent() -> None:
        await asyncio.sleep(silence)
        target.silence_all()

    async with home_at(target, share=share, transaction_idle_ms=500) as home:
        await asyncio.gather(read(home), go_silent(), *(one.run(home) for one in tries))
        await asyncio.sleep(3.0)
        assert home.transactions.registry.open == {}
        assert home.transactions.permits.busy == 0
        await all_given_back(home)
        assert home.slots.busy == 0
    for texts in target.commits:
        assert len({text.split(":")[0] for text in texts}) <= 1
    for one in tries:
        one.check(target)
    assert target.faults == []
    assert target.peak <= share
    assert target.connections == []


@in_virtual_time
async def test_commit_of_an_unknown_transaction_is_refused_with_a_reason() -> None:
    target = FakeTarget()
    async with home_at(target) as home:
        unknown = await outcome_of(
            home.run(statement(StatementKind.COMMIT, transaction="t9"))
        )
        assert isinstance(unknown, RefusalError)
        assert unknown.reason is RefusalReason.UNKNOWN_TRANSACTION
        assert unknown.verdict is Verdict.NOT_RUN
