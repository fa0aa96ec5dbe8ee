"""Limits that change while a home is in use."""

import asyncio

from reedhook.request.refusal import Reason, Refusal
from reedhook.request.statement import Kind
from reedhook.version.catalog import Limits

from .fakes_clock import in_virtual_time
from .fakes_target import FakeTarget
from .home_support import home_at, outcome_of, statement


@in_virtual_time
async def test_a_shorter_queue_holds_for_the_next_statement() -> None:
    async with home_at(FakeTarget(), queue=64) as home:
        home.limit(Limits(queue=1))
        outcomes = await asyncio.gather(
            *(outcome_of(home.run(statement(Kind.READ))) for _ in range(8))
        )
        refused = [one for one in outcomes if isinstance(one, Refusal)]
        assert {one.reason for one in refused} == {Reason.OVERLOADED}
        # Two run in the slots and one waits.
        assert len(refused) == 5


@in_virtual_time
async def test_a_shorter_idle_time_ends_the_next_transaction() -> None:
    async with home_at(FakeTarget(), transaction_idle_ms=10000) as home:
        home.limit(Limits(transaction_idle_ms=100))
        await home.run(statement(Kind.BEGIN, transaction="t1"))
        await asyncio.sleep(0.2)
        outcome = await outcome_of(home.run(statement(Kind.STEP, transaction="t1")))
        assert isinstance(outcome, Refusal)
        assert outcome.reason is Reason.TRANSACTION_LOST
