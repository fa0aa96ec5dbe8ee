"""With one workspace, or none, order and refusals are those of the former queue.

Deployments without workspaces must be served as before. Both queues run the same random
statements in virtual time. All durations are multiples of 1/1024 s, so that sums in a
different order do not differ by rounding.
"""

import asyncio
from typing import Any, Final, TypeAlias

from hypothesis import given, settings, strategies as st

from reedhook.connection.admission import AdmissionRequest
from reedhook.connection.admission_queue import AdmissionQueue, ConnectionAvailability
from reedhook.record import Record
from reedhook.request.refusal import RefusalError

from . import former_admission_queue as former
from .fakes_clock import LoopClock, run_virtual

UNIT: Final = 1 / 1024
SLOTS: Final = 2
ROUTES: Final = ("a", "b", "c")

Event: TypeAlias = tuple[Any, ...]


class Step(Record):
    """Describe one statement; times are in units.

    :param pause: time since the statement before.
    :param mean: mean duration of its route from now on.
    :param cancelled_after: None if its caller waits to the end.
    """

    __slots__ = (
        "pause",
        "route",
        "mean",
        "priority",
        "soft",
        "remaining",
        "in_transaction",
        "max_wait",
        "duration",
        "cancelled_after",
    )

    def __init__(
        self,
        pause: int,
        route: str,
        mean: int,
        priority: int,
        soft: int,
        remaining: int,
        in_transaction: bool,
        max_wait: int | None,
        duration: int,
        cancelled_after: int | None,
    ) -> None:
        self.pause = pause
        self.route = route
        self.mean = mean
        self.priority = priority
        self.soft = soft
        self.remaining = remaining
        self.in_transaction = in_transaction
        self.max_wait = max_wait
        self.duration = duration
        self.cancelled_after = cancelled_after


STEPS: Final = st.builds(
    Step,
    st.sampled_from([0, 0, 1, 4, 16, 64]),
    st.sampled_from(ROUTES),
    st.integers(1, 64),
    st.integers(0, 3),
    st.integers(-16, 512),
    st.integers(1, 1024),
    st.sampled_from([False, False, False, True]),
    st.none() | st.integers(0, 64),
    st.integers(1, 512),
    st.none() | st.integers(0, 256),
)


class Comparison:
    """Run steps through one queue and log what happens to each statement.

    :param free_connections: whether connections are always available; if not, they
        are only while no more than one statement runs.
    """

    def __init__(
        self, steps: list[Step], workspace: str | None, free_connections: bool
    ) -> None:
        self.steps = steps
        self.workspace = workspace
        self.free_connections = free_connections
        self.log: list[Event] = []
        self.running = 0

    async def run(self) -> list[Event]:
        """Return the log; a workspace of None selects the former queue."""
        availability = ConnectionAvailability(self.is_available, lambda: 8 * UNIT)
        self.queue: Any
        if self.workspace is None:
            availability_before = former.ConnectionAvailability(
                self.is_available, lambda: 8 * UNIT
            )
            self.queue = former.AdmissionQueue(
                "t", SLOTS, availability_before, LoopClock()
            )
        else:
            self.queue = AdmissionQueue("t", SLOTS, availability, LoopClock())
        calls = []
        for number, step in enumerate(self.steps):
            await asyncio.sleep(step.pause * UNIT)
            self.queue.mean_seconds_by_route[step.route] = step.mean * UNIT
            call = asyncio.ensure_future(self.call(number, step))
            if step.cancelled_after is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(step.cancelled_after * UNIT, call.cancel)
            calls.append(call)
        await asyncio.gather(*calls, return_exceptions=True)
        assert not self.queue.waiting
        assert self.queue.in_flight == 0
        return self.log

    def is_available(self) -> bool:
        """Return whether a connection is free."""
        return self.free_connections or self.running < SLOTS

    async def call(self, number: int, step: Step) -> None:
        """Run one statement."""
        try:
            admission = await self.queue.admit(self.request(step))
        except RefusalError as refusal:
            self.note(number, "refused", refusal.detail, refusal.retry_after_ms)
            return
        self.note(number, "started")
        self.running += 1
        try:
            await asyncio.sleep(step.duration * UNIT)
        finally:
            self.running -= 1
            self.queue.release(admission)

    def request(self, step: Step) -> Any:
        """Return the request of a statement that arrives now."""
        now = asyncio.get_running_loop().time()
        values = (
            step.route,
            step.priority,
            now + step.soft * UNIT,
            now + step.remaining * UNIT,
            step.in_transaction,
            None if step.max_wait is None else step.max_wait * UNIT,
        )
        if self.workspace is None:
            return former.AdmissionRequest(*values)
        return AdmissionRequest(*values, self.workspace, 2.0)

    def note(self, number: int, *outcome: object) -> None:
        """Add an event with its time."""
        self.log.append((asyncio.get_running_loop().time(), number, *outcome))


@settings(max_examples=400, deadline=None)
@given(
    st.lists(STEPS, min_size=1, max_size=60),
    st.sampled_from(["", "farm"]),
    st.booleans(),
)
def test_one_workspace_is_ordered_and_refused_as_before(
    steps: list[Step], workspace: str, free_connections: bool
) -> None:
    before = run_virtual(Comparison(steps, None, free_connections).run())
    after = run_virtual(Comparison(steps, workspace, free_connections).run())
    assert after == before
