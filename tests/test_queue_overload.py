"""Overload of a home: goodput that collapses, or verdicts that are wrong."""

import asyncio
import random

from reedhook.connection.target_home import TargetHome
from reedhook.request.refusal import RefusalError
from reedhook.request.statement import StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_target import FakeTarget
from .home_support import home_at, outcome_of, statement, timed

SERVICE_SECONDS = 0.01
SLOTS = 2
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS
DEADLINE_SECONDS = 0.5


async def send_at_rate(
    home: TargetHome, rate: float, seconds: float
) -> list[RefusalError | None]:
    """Send reads at `rate` per second; return their refusals, None for a result."""
    loop = asyncio.get_running_loop()
    rng = random.Random(3)
    tasks = []
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        await asyncio.sleep(rng.expovariate(rate))
        tasks.append(loop.create_task(send_read(home)))
    return await asyncio.gather(*tasks)


async def send_read(home: TargetHome) -> RefusalError | None:
    """Send one read and check that its outcome arrives within the deadline."""
    read = statement(StatementKind.READ, remaining=DEADLINE_SECONDS)
    outcome, seconds = await timed(outcome_of(home.run(read)))
    assert seconds <= DEADLINE_SECONDS + 1e-6
    return outcome if isinstance(outcome, RefusalError) else None


@in_virtual_time
async def test_goodput_holds_at_overload_and_recovers() -> None:
    target = FakeTarget(service=SERVICE_SECONDS, slots=SLOTS)
    async with home_at(target) as home:
        overload_outcomes = await send_at_rate(home, 3.0 * CAPACITY_PER_SECOND, 6.0)
        answered = overload_outcomes.count(None)
        assert answered >= 0.9 * CAPACITY_PER_SECOND * 6.0
        refusals = [one for one in overload_outcomes if one is not None]
        assert refusals
        for refusal in refusals:
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after_ms is not None
        recovery_outcomes = await send_at_rate(home, 0.8 * CAPACITY_PER_SECOND, 5.0)
        assert recovery_outcomes.count(None) >= 0.98 * len(recovery_outcomes)
    assert target.peak_running <= SLOTS


@in_virtual_time
async def test_only_statements_in_slots_may_have_run() -> None:
    target = FakeTarget(service=SERVICE_SECONDS, slots=SLOTS)
    async with home_at(target) as home:
        writes = [
            outcome_of(
                home.run(statement(StatementKind.WRITE, f"w{number}", remaining=0.2))
            )
            for number in range(200)
        ]
        outcomes = await asyncio.gather(*writes)
        may_have_run = 0
        for number, outcome in enumerate(outcomes):
            ran = target.ran[f"w{number}"]
            if not isinstance(outcome, RefusalError):
                assert ran == 1
            elif outcome.verdict is Verdict.NOT_RUN:
                assert ran == 0
            else:
                may_have_run += 1
        # Only a statement in a slot at its deadline may have an unknown outcome.
        assert may_have_run <= SLOTS
