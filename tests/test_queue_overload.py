"""A home under three times its capacity, and after."""

import asyncio
import random

from reedhook.connection.target_home import TargetHome
from reedhook.request.refusal import RefusalError
from reedhook.request.statement import StatementKind
from reedhook.request.verdict import Verdict

from .fakes_clock import in_virtual_time
from .fakes_target import FakeTarget
from .home_support import home_at, outcome_of, statement, timed

SERVICE = 0.01
SLOTS = 2
CAPACITY = SLOTS / SERVICE
DEADLINE = 0.5


async def offer(
    home: TargetHome, rate: float, seconds: float
) -> list[RefusalError | None]:
    """Send reads at `rate` a second; return their refusals, None if answered."""
    loop = asyncio.get_running_loop()
    rng = random.Random(3)
    tasks = []
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(rng.expovariate(rate))
        tasks.append(loop.create_task(send(home)))
    return await asyncio.gather(*tasks)


async def send(home: TargetHome) -> RefusalError | None:
    """Send one read and hold the time of its answer against the deadline."""
    read = statement(StatementKind.READ, remaining=DEADLINE)
    outcome, seconds = await timed(outcome_of(home.run(read)))
    assert seconds <= DEADLINE + 1e-6
    return outcome if isinstance(outcome, RefusalError) else None


@in_virtual_time
async def test_goodput_holds_at_three_times_capacity_and_returns_after() -> None:
    target = FakeTarget(service=SERVICE, slots=SLOTS)
    async with home_at(target) as home:
        surge = await offer(home, 3.0 * CAPACITY, 6.0)
        answered = surge.count(None)
        assert answered >= 0.9 * CAPACITY * 6.0
        refusals = [one for one in surge if one is not None]
        assert refusals
        for refusal in refusals:
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after_ms is not None
        after = await offer(home, 0.8 * CAPACITY, 5.0)
        assert after.count(None) >= 0.98 * len(after)
    assert target.peak_running <= SLOTS


@in_virtual_time
async def test_only_statements_in_a_slot_can_be_in_doubt() -> None:
    target = FakeTarget(service=SERVICE, slots=SLOTS)
    async with home_at(target) as home:
        writes = [
            outcome_of(
                home.run(statement(StatementKind.WRITE, f"w{number}", remaining=0.2))
            )
            for number in range(200)
        ]
        outcomes = await asyncio.gather(*writes)
        unsure = 0
        for number, outcome in enumerate(outcomes):
            ran = target.ran[f"w{number}"]
            if not isinstance(outcome, RefusalError):
                assert ran == 1
            elif outcome.verdict is Verdict.NOT_RUN:
                assert ran == 0
            else:
                unsure += 1
        # Only what holds a slot when its deadline passes can be in doubt.
        assert unsure <= SLOTS
