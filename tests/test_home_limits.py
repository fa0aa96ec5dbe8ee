"""Limits that change while a home is in use must apply at once."""

import asyncio

from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import StatementKind
from reedhook.version.catalog import Limits

from .fakes_clock import in_virtual_time
from .fakes_target import FakeTarget
from .home_support import home_at, outcome_of, statement


@in_virtual_time
async def test_lower_queue_limit_applies_to_the_next_statement() -> None:
    async with home_at(FakeTarget(), queue=64) as home:
        home.update_limits(Limits(queue=1))
        outcomes = await asyncio.gather(
            *(outcome_of(home.run(statement(StatementKind.READ))) for _ in range(8))
        )
        refused = [one for one in outcomes if isinstance(one, RefusalError)]
        assert {one.reason for one in refused} == {RefusalReason.OVERLOADED}
        # Two run in the slots and one waits.
        assert len(refused) == 5


@in_virtual_time
async def test_shorter_idle_time_applies_to_the_next_transaction() -> None:
    async with home_at(FakeTarget(), transaction_idle_ms=10000) as home:
        home.update_limits(Limits(transaction_idle_ms=100))
        await home.run(statement(StatementKind.BEGIN, transaction="t1"))
        await asyncio.sleep(0.2)
        outcome = await outcome_of(
            home.run(statement(StatementKind.STEP, transaction="t1"))
        )
        assert isinstance(outcome, RefusalError)
        assert outcome.reason is RefusalReason.TRANSACTION_LOST
