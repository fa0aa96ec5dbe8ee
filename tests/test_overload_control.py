"""Overload control: the reserve, long statements, room at the primary, returns."""

import asyncio
from random import Random
from typing import Any, Final

import pytest

from reedhook.connection.admission import Admission, AdmissionRequest
from reedhook.connection.admission_queue import (
    EXTRA_IN_FLIGHT_LIMIT,
    AdmissionQueue,
    ConnectionAvailability,
)
from reedhook.connection.long_statements import (
    HIGHER_PRIORITY_WINDOW_SECONDS,
    LONG_STATEMENT_SECONDS,
    LongStatements,
)
from reedhook.connection.lower_priority_reserve import (
    LOWER_PRIORITY_MIN_SHARE,
    LowerPriorityReserve,
)
from reedhook.connection.overload_control import OverloadControl
from reedhook.connection.primary_room import PrimaryRoom
from reedhook.connection.recent_sum import RecentSum
from reedhook.connection.retry_schedule import (
    MAX_PROMISES,
    RETURN_TOLERANCE_SECONDS,
    RetrySchedule,
)
from reedhook.connection.session_connection_pool import MAX_CONNECTION_WAIT_SECONDS
from reedhook.request.refusal import RefusalError

from .fakes_clock import LoopClock, in_virtual_time, run_virtual, settle
from .load import SLOTS, Load, now
from .workspace_load import Outcome, Stream, WorkspaceLoad, in_time, quantile, served

CONFIRMATIONS: Final = "confirmations"
UPDATES: Final = "updates"
VIEWS: Final = "views"
LOADS: Final = {
    "usual": (0.25, 0.25, 0.2),
    "burst of the highest": (1.0, 0.3, 0.3),
    "burst of the middle": (0.25, 1.2, 0.2),
    "flood of the lowest": (0.25, 0.25, 1.5),
    "all": (0.7, 0.7, 0.7),
}


def kinds(
    confirmations: float, updates: float, views: float, replica_allowed: bool = True
) -> list[Stream]:
    """Return the three kinds of customer A with their loads at a primary."""
    return [
        Stream("w", confirmations, 0.006, 0.151, 0.8, 0, CONFIRMATIONS),
        Stream("w", updates, 0.018, 0.251, 0.8, 1, UPDATES),
        Stream("w", views, 0.030, 1.001, 2.0, 2, VIEWS, replica_allowed),
    ]


def run_load(
    streams: list[Stream], control: bool, seconds: float = 12.0
) -> dict[str, list[Outcome]]:
    """Return the outcomes by route."""

    async def run() -> dict[str, list[Outcome]]:
        load = WorkspaceLoad(1, control)
        for stream in streams:
            load.queue.mean_seconds_by_route[stream.route] = stream.work
        await load.run(streams, seconds)
        return {
            stream.route: [one for one in load.outcomes if one.stream is stream]
            for stream in streams
        }

    return run_virtual(run())


@pytest.mark.parametrize("name", list(LOADS))
def test_highest_priority_is_served_no_worse_than_any_other(name: str) -> None:
    outcomes = run_load(kinds(*LOADS[name]), control=True)
    shares = {route: in_time(ended) for route, ended in outcomes.items()}
    assert shares[CONFIRMATIONS] >= max(shares.values()) - 0.005, shares


@pytest.mark.parametrize("name", list(LOADS))
def test_highest_priority_is_served_no_worse_than_without_control(name: str) -> None:
    with_control = run_load(kinds(*LOADS[name]), control=True)[CONFIRMATIONS]
    without = run_load(kinds(*LOADS[name]), control=False)[CONFIRMATIONS]
    assert in_time(with_control) >= in_time(without) - 0.005


def test_flood_of_reads_leaves_the_primary_to_its_own_statements() -> None:
    """Reads that a replica could take must not delay those that only it can run."""
    streams = kinds(0.25, 0.25, 1.5)
    with_control = run_load(streams, control=True)
    without = run_load(streams, control=False)
    for route in (CONFIRMATIONS, UPDATES):
        waits = [
            quantile([one.wait for one in outcomes[route]], 0.99)
            for outcomes in (with_control, without)
        ]
        assert waits[0] < waits[1]
    assert in_time(with_control[UPDATES]) > in_time(without[UPDATES])
    assert in_time(with_control[UPDATES]) >= 0.99


def test_few_reads_wait_for_room_in_vain() -> None:
    outcomes = run_load(kinds(0.25, 0.25, 1.5), control=True)[VIEWS]
    vain = [one for one in outcomes if (one.refused_after or 0.0) > 0.05]
    assert len(vain) / len(outcomes) <= 0.10


def test_lower_priority_keeps_a_share_while_the_highest_is_in_time() -> None:
    """Statements of the highest priority for all slots starved all others."""
    streams = [
        Stream("w", 1.5, 0.006, 0.5, 0.8, 0, CONFIRMATIONS),
        Stream("w", 0.3, 0.018, 0.8, 0.8, 2, VIEWS),
    ]
    control, without = (run_load(streams, one)[VIEWS] for one in (True, False))
    assert served(control) * 0.3 >= 0.6 * LOWER_PRIORITY_MIN_SHARE
    assert served(without) < served(control)


def test_reserve_is_used_up_and_lost_by_misses() -> None:
    reserve = LowerPriorityReserve(SLOTS)
    assert reserve.goes_first(0, 2, 10.0)
    reserve.record_slot_seconds(2, LOWER_PRIORITY_MIN_SHARE * SLOTS, 10.0)
    assert not reserve.goes_first(0, 2, 10.5)
    assert reserve.goes_first(0, 2, 11.5)
    for _ in range(30):
        reserve.record_end(0, False, 11.5)
    for _ in range(3):
        reserve.record_end(0, True, 11.5)
    assert not reserve.goes_first(0, 2, 11.6)
    assert reserve.kept(0, 11.6)
    assert reserve.goes_first(0, 2, 13.0)


def test_statement_is_long_only_while_higher_priorities_arrive() -> None:
    long = LongStatements(SLOTS)
    assert not long.is_long(1, 2 * LONG_STATEMENT_SECONDS, 0.0)
    long.record_arrival(0, 0.006, 0.0)
    assert long.is_long(1, 2 * LONG_STATEMENT_SECONDS, 1.0)
    assert long.is_long(1, 0.025, 1.0)
    assert not long.is_long(1, 0.023, 1.0)
    assert not long.is_long(0, 2 * LONG_STATEMENT_SECONDS, 1.0)
    assert not long.is_long(1, 0.025, HIGHER_PRIORITY_WINDOW_SECONDS + 0.1)


def test_long_statements_leave_a_slot_free() -> None:
    """No order helps a short statement that finds long ones in all slots."""
    streams = [
        Stream("w", 0.05, 0.006, 0.1, 0.8, 0, CONFIRMATIONS),
        Stream("w", 1.5, 0.3, 2.0, 2.0, 2, VIEWS),
    ]
    control, without = (run_load(streams, one)[CONFIRMATIONS] for one in (True, False))
    assert in_time(control) >= 0.97
    assert in_time(without) <= 0.8


def test_room_is_what_the_primary_needs_not_and_nothing_after_misses() -> None:
    room = PrimaryRoom(4)
    assert room.room(5.0) == 4.0
    room.record_slot_seconds(False, 1.5, 5.0)
    assert room.room(5.0) == 2.5
    room.record_slot_seconds(True, 2.5, 5.0)
    assert not room.may_start(5.0)
    for number in range(40):
        room.record_outcome(number < 3, 5.0)
    assert room.room(5.0) == 0.0
    assert room.room(6.5) == 4.0


def test_recent_sum_drops_what_is_older_than_its_window() -> None:
    total = RecentSum(1.0)
    total.add(1.0, 10.0)
    total.add(2.0, 10.5)
    assert total.value(10.8) == 3.0
    assert total.value(11.2) == 2.0
    assert total.value(30.0) == 0.0


def promise(
    schedule: RetrySchedule,
    session: str,
    at: float,
    first_attempt: float | None = None,
    deadline: float = 100.0,
    workspace: str = "",
    weight: float = 1.0,
) -> float | None:
    """Return the time promised to a statement that is refused at `at`."""
    first = at if first_attempt is None else first_attempt
    return schedule.promise(
        session, 1, workspace, weight, first, at + 0.1, deadline, at
    )


def drained(rate: int) -> RetrySchedule:
    """Return a schedule of a target that completed so many statements at 10 s."""
    schedule = RetrySchedule()
    for _ in range(rate):
        schedule.record_completed(0, 10.0)
    return schedule


def test_returns_are_spread_by_the_drain_rate() -> None:
    """Callers that return together are refused together again."""
    schedule = drained(100)
    times = [promise(schedule, f"s{number}", 10.0) for number in range(5)]
    assert times == pytest.approx([10.1, 10.11, 10.12, 10.13, 10.14])


def test_returns_of_a_workspace_are_spread_by_its_share() -> None:
    schedule = drained(100)
    assert promise(schedule, "a", 10.0, workspace="x", weight=3.0) == 10.1
    promise(schedule, "b", 10.0, workspace="y")
    assert promise(schedule, "c", 10.0, workspace="y") == pytest.approx(10.14)


def test_earlier_first_attempt_returns_earlier() -> None:
    schedule = drained(100)
    for number in range(5):
        promise(schedule, f"s{number}", 10.0)
    assert promise(schedule, "old", 10.0, first_attempt=9.5) == pytest.approx(10.1)


def test_no_delay_is_named_beyond_the_deadline_or_the_limit() -> None:
    schedule = drained(10)
    assert promise(schedule, "a", 10.0, deadline=10.05) is None
    for number in range(MAX_PROMISES):
        assert promise(schedule, f"s{number}", 10.0, deadline=1e9) is not None
    assert promise(schedule, "b", 10.0, deadline=1e9) is None
    assert len(schedule.promises) == MAX_PROMISES
    assert promise(schedule, "s0", 10.0, deadline=1e9) is not None


def test_promises_expire_and_leave_nothing_behind() -> None:
    schedule = drained(100)
    promise(schedule, "a", 10.0, workspace="x")
    promise(schedule, "b", 10.0, workspace="x")
    assert schedule.kept("a", 1, 10.05) is None
    assert schedule.kept("b", 1, 10.2) is not None
    assert schedule.kept("b", 2, 10.2) is None
    assert schedule.kept("b", 1, 10.3 + RETURN_TOLERANCE_SECONDS) is None
    promise(schedule, "c", 10.0)
    schedule.forget_expired(11.0 + RETURN_TOLERANCE_SECONDS)
    assert not schedule.promises
    assert not schedule.first_attempts
    assert not schedule.expiries
    assert set(schedule.weights.values()) == {0.0}


def request(session: str, priority: int = 1) -> AdmissionRequest:
    """Return the request of a statement that arrives now."""
    return AdmissionRequest(
        "r", priority, now() + 0.3, now() + 0.8, False, session=session
    )


async def filled(queue: AdmissionQueue) -> list[Admission]:
    """Take all places of a queue."""
    return [
        await queue.admit(request(f"f{number}"))
        for number in range(SLOTS + EXTRA_IN_FLIGHT_LIMIT)
    ]


@in_virtual_time
async def test_returns_go_before_newcomers_in_order_of_first_arrival() -> None:
    control = OverloadControl(SLOTS)
    free = ConnectionAvailability(lambda: True, lambda: 0.0)
    queue = AdmissionQueue("t", SLOTS, free, LoopClock(), control)
    held = await filled(queue)
    for session, first in (("late", 2.0), ("early", 1.0)):
        await asyncio.sleep(0.001)
        control.retries.promise(session, 1, "", 1.0, first, now(), now() + 1.0, now())
    order: list[str] = []

    async def run(session: str) -> None:
        await queue.admit(request(session))
        order.append(session)

    calls = []
    for session in ("newcomer", "late", "early"):
        calls.append(asyncio.ensure_future(run(session)))
        await settle()
    for admission in held:
        queue.release(admission)
    await asyncio.gather(*calls)
    assert order == ["early", "late", "newcomer"]


class ReturningLoad(WorkspaceLoad):
    """Callers return when they were told to, or after a random pause, until they give
    up one second after their first attempt.

    :ivar obey: whether they return when they were told to.
    """

    obey = True

    async def call(self, stream: Stream, work: float) -> None:
        outcome = Outcome(stream, now())
        self.outcomes.append(outcome)
        session = f"s{len(self.outcomes)}"
        random = Random(f"{self.seed} {session}")
        while now() - outcome.started_at < 1.0:
            admission_request: Any = self.request(stream)
            admission_request.session = session
            try:
                admission = await self.queue.admit(admission_request)
            except RefusalError as refusal:
                pause = random.uniform(0.02, 0.3)
                if self.obey and refusal.retry_after_ms is not None:
                    pause = refusal.retry_after_ms / 1000.0
                await asyncio.sleep(pause)
                continue
            sent = now()
            try:
                async with self.slots:
                    await asyncio.sleep(work)
                self.queue.record_duration(stream.route, now() - sent)
            finally:
                self.queue.release(admission)
            outcome.seconds = now() - outcome.started_at
            return


BURST_SECONDS: Final = 6.0


def run_burst(control: bool, seed: int) -> tuple[float, float]:
    """Return the goodput in a burst of twice the capacity, as a fraction of the slots,
    and the seconds after it until 90% of the calls of 0.25 s are served again."""

    async def run() -> tuple[float, float]:
        load = ReturningLoad(seed, control)
        usual = [Stream("w", 0.7, 0.018, 0.3, 0.8)]
        burst = [Stream("w", 2.0, 0.018, 0.3, 0.8)]
        await load.send(usual, 2.0)
        started = now()
        await load.send(burst, BURST_SECONDS)
        ended = now()
        await load.send(usual, 4.0)
        await asyncio.gather(*load.calls)
        during = [one for one in load.outcomes if started <= one.started_at < ended]
        good = sum(one.seconds is not None for one in during) * 0.018
        recovery = 0.0
        for step in range(16):
            since = ended + 0.25 * step
            window = [
                one for one in load.outcomes if since <= one.started_at < since + 0.25
            ]
            if window and served(window) < 0.9:
                recovery = 0.25 * (step + 1)
        return good / BURST_SECONDS / SLOTS, recovery

    return run_virtual(run())


def test_goodput_in_a_burst_and_recovery_after_it() -> None:
    """Return times that are not spread make the recovery take longer."""
    goodput, recovery = mean_burst(control=True)
    goodput_before, recovery_before = mean_burst(control=False)
    assert goodput >= max(1.05, goodput_before)
    assert recovery <= 0.5
    assert recovery < recovery_before


def mean_burst(control: bool) -> tuple[float, float]:
    """Return the means of `run_burst` over three seeds."""
    goodputs, recoveries = zip(
        *(run_burst(control, seed) for seed in (1, 2, 3)), strict=True
    )
    return sum(goodputs) / len(goodputs), sum(recoveries) / len(recoveries)


class LateLoad(Load):
    """The load of `tests/load.py` with the deadlines of a home.

    :ivar control: whether overload control applies; without it, a statement outside
        transactions must start by its soft deadline, or within 0.3 s.
    """

    def __init__(self, seed: int, control: bool) -> None:
        super().__init__(seed)
        assert self.turns is not None
        self.control = control
        if control:
            self.turns.control = OverloadControl(SLOTS)

    async def run(self, demand: AdmissionRequest, work: float) -> None:
        if not self.control and not demand.in_transaction:
            latest = max(demand.soft_deadline, now() + MAX_CONNECTION_WAIT_SECONDS)
            demand.deadline = min(demand.deadline, latest)
        await super().run(demand, work)


def run_late(load: float, control: bool) -> tuple[float, float]:
    """Return the shares of callers that were answered, and that were held in vain."""

    async def run(seed: int) -> LateLoad:
        simulation = LateLoad(seed, control)
        await simulation.arrive(load, 8.0)
        await simulation.ended()
        return simulation

    loads = [run_virtual(run(seed)) for seed in range(4)]
    asked = sum(sum(one.asked.values()) for one in loads)
    answered = sum(sum(one.answered.values()) for one in loads)
    return answered / asked, sum(one.held_in_vain for one in loads) / asked


@pytest.mark.parametrize("load", [1.1, 1.35, 1.75])
def test_late_waits_hold_no_more_statements_in_vain(load: float) -> None:
    """A statement that waits and is refused costs more than one refused at once."""
    answered, vain = run_late(load, control=True)
    answered_before, vain_before = run_late(load, control=False)
    assert vain <= vain_before
    assert answered >= answered_before - 0.01


@pytest.mark.parametrize("control", [False, True])
@in_virtual_time
async def test_late_statement_waits_until_its_timeout_if_it_is_expected_to_end(
    control: bool,
) -> None:
    """It was refused after its soft deadline, or 0.3 s, although a slot came free."""
    free = ConnectionAvailability(lambda: True, lambda: 0.0)
    rules = OverloadControl(SLOTS) if control else None
    queue = AdmissionQueue("t", SLOTS, free, LoopClock(), rules)
    queue.mean_seconds_by_route["r"] = 0.1
    held = await filled(queue)
    queue.mean_seconds_by_route["r"] = 0.02
    timeout = 0.8 if control else MAX_CONNECTION_WAIT_SECONDS
    late = AdmissionRequest("r", 1, now() + 0.01, now() + timeout, False)
    waiting = asyncio.ensure_future(queue.admit(late))
    await asyncio.sleep(0.5)
    for admission in held:
        queue.release(admission)
    outcome = (await asyncio.gather(waiting, return_exceptions=True))[0]
    assert isinstance(outcome, RefusalError) is not control


@in_virtual_time
async def test_hopeless_late_statement_is_refused_at_once() -> None:
    free = ConnectionAvailability(lambda: True, lambda: 0.0)
    queue = AdmissionQueue("t", SLOTS, free, LoopClock(), OverloadControl(SLOTS))
    queue.mean_seconds_by_route["r"] = 0.2
    await filled(queue)
    with pytest.raises(RefusalError):
        await queue.admit(AdmissionRequest("r", 1, now() + 0.01, now() + 0.8, False))
    assert now() == 0.0


@in_virtual_time
async def test_refusal_to_another_target_keeps_the_promise() -> None:
    """A read looks for a free slot elsewhere before it waits here."""
    control = OverloadControl(SLOTS)
    free = ConnectionAvailability(lambda: True, lambda: 0.0)
    queue = AdmissionQueue("t", SLOTS, free, LoopClock(), control)
    held = await filled(queue)
    control.retries.promise("s", 1, "", 1.0, now(), now(), now() + 1.0, now())
    looking = request("s")
    looking.max_wait = 0.0
    with pytest.raises(RefusalError):
        await queue.admit(looking)
    waiting = asyncio.ensure_future(queue.admit(request("s")))
    await settle()
    assert (queue.waiting.first(0) or held[0]).promised
    queue.release(held[0])
    await waiting
    assert not control.retries.promises
