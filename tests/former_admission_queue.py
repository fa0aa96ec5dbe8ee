"""The admission queue as it was before shares of workspaces, for comparison.

The statements of one workspace must be ordered and refused as by this queue.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from reedhook.clock import Clock
from reedhook.record import Record
from reedhook.request.refusal import RefusalError, RefusalReason, not_run

EXTRA_IN_FLIGHT_LIMIT: Final = 1
"""Statements in flight beyond the slots, so that a freed slot has work while the
reply travels. The target queues them in order of arrival, so more would hurt."""

DEFAULT_STATEMENT_SECONDS: Final = 0.012
"""Expected duration of a statement whose route has no samples yet."""

DURATION_SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest sample in the moving average of its route."""

MAX_SAMPLE_FACTOR: Final = 4.0
"""Limit of one sample, as a multiple of the average. An unbounded outlier would
rank its route last, and no later sample could correct the average."""

LOAD_DECAY_SECONDS: Final = 1.0
"""Time constant of the decay of a route's load."""

MIN_FREE_SLOT_FRACTION: Final = 0.02
"""Lower bound of the estimated free share of the slots; a divisor of waits."""

OVERDUE_FACTOR: Final = 4.0
MIN_OVERDUE_SECONDS: Final = 0.1
"""A statement without a reply after this multiple of its expected duration, and at
least this many seconds, counts as hung and no longer takes up a slot."""

RETRY_MS: Final = 50
"""Minimum retry delay of a refusal."""

MS_PER_SECOND: Final = 1000.0


class AdmissionRequest(Record):
    """Describe a statement to be admitted.

    :param route: the key of duration estimates; reads and writes share it.
    :param priority: 0 is the highest.
    :param soft_deadline: when the caller expects the reply, by `Clock.monotonic`.
    :param deadline: when the caller gives up, by `Clock.monotonic`.
    :param in_transaction: whether it belongs to an open transaction, which already
        has a connection.
    :param max_wait: longest wait in seconds before another target is preferred; None
        if no other target may run it.
    """

    __slots__ = (
        "route",
        "priority",
        "soft_deadline",
        "deadline",
        "in_transaction",
        "max_wait",
    )

    def __init__(
        self,
        route: str,
        priority: int,
        soft_deadline: float,
        deadline: float,
        in_transaction: bool,
        max_wait: float | None = None,
    ) -> None:
        self.route = route
        self.priority = priority
        self.soft_deadline = soft_deadline
        self.deadline = deadline
        self.in_transaction = in_transaction
        self.max_wait = max_wait


class Admission:
    """Track one statement from its arrival in the queue to its release.

    :ivar expected_seconds: expected duration at the target.
    :ivar arrived_at: time of arrival, by `Clock.monotonic`.
    :ivar granted: resolved on admission; fails with the refusal otherwise.
    :ivar in_flight: whether it counts towards the limit of the target.
    """

    __slots__ = (
        "request",
        "expected_seconds",
        "arrived_at",
        "granted",
        "timer",
        "in_flight",
    )

    def __init__(
        self, request: AdmissionRequest, expected_seconds: float, arrived: float
    ) -> None:
        self.request = request
        self.expected_seconds = expected_seconds
        self.arrived_at = arrived
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.timer: asyncio.TimerHandle | None = None
        self.in_flight = False

    def is_late(self, now: float) -> bool:
        """Return whether it would miss its soft deadline if it started now."""
        return now + self.expected_seconds > self.request.soft_deadline

    def rank(self, now: float) -> tuple[int, int, float, float]:
        """Return the sort key among waiting statements; the lowest goes first.

        Statements of open transactions go first, since they hold a connection, and
        late ones go last. The others are ordered by priority, then by shortest
        expected duration, which lets the most callers meet their soft deadlines.
        """
        if self.request.in_transaction:
            return 0, 0, self.arrived_at, 0.0
        if self.is_late(now):
            return 2, 0, self.arrived_at, 0.0
        return (
            1,
            self.request.priority,
            self.expected_seconds,
            self.request.soft_deadline,
        )


class RouteLoad:
    """Estimate the share of the slots that one route has recently used.

    Only statements that started before their soft deadlines are counted.

    :ivar priority: priority of the newest statement.
    :ivar expected_seconds: expected duration of the newest statement, in seconds.
    :ivar slot_fraction: the share at `updated_at`, from which it decays.
    """

    __slots__ = ("priority", "expected_seconds", "slot_fraction", "updated_at")

    def __init__(self) -> None:
        self.priority = 0
        self.expected_seconds = 0.0
        self.slot_fraction = 0.0
        self.updated_at = 0.0

    def add(self, admission: Admission, slots: int, now: float) -> None:
        """Count a statement that is sent to the target."""
        self.slot_fraction = (
            self.decayed_slot_fraction(now)
            + admission.expected_seconds / slots / LOAD_DECAY_SECONDS
        )
        self.updated_at = now
        self.priority = admission.request.priority
        self.expected_seconds = admission.expected_seconds

    def decayed_slot_fraction(self, now: float) -> float:
        """Return the share of the slots, decayed to `now`."""
        return self.slot_fraction * math.exp(
            (self.updated_at - now) / LOAD_DECAY_SECONDS
        )

    def goes_before(self, admission: Admission) -> bool:
        """Return whether the route's statements rank before one that is not late."""
        return (self.priority, self.expected_seconds) < (
            admission.request.priority,
            admission.expected_seconds,
        )


class ConnectionAvailability:
    """Describe whether statements outside transactions can get a connection.

    :param is_available: returns whether a connection can be borrowed now.
    :param expected_wait: returns the expected wait for a connection, in seconds.
    """

    __slots__ = ("is_available", "expected_wait")

    def __init__(
        self, is_available: Callable[[], bool], expected_wait: Callable[[], float]
    ) -> None:
        self.is_available = is_available
        self.expected_wait = expected_wait


class AdmissionQueue:
    """Admit statements to one target.

    :param slots: statements that the target runs concurrently.
    :ivar in_flight: statements at the target, except those that count as hung.
    :ivar in_flight_in_transaction: those of them that belong to open transactions.
    :ivar mean_seconds_by_route: moving average of durations, by route.
    """

    def __init__(
        self, target: str, slots: int, connections: ConnectionAvailability, clock: Clock
    ) -> None:
        self.target = target
        self.slots = slots
        self.connections = connections
        self.clock = clock
        self.waiting: list[Admission] = []
        self.in_flight = 0
        self.in_flight_in_transaction = 0
        self.mean_seconds_by_route: dict[str, float] = {}
        self.loads: dict[str, RouteLoad] = {}

    async def admit(self, request: AdmissionRequest) -> Admission:
        """Wait until a statement may start; the caller must `release` the result.

        :raises RefusalError: not run, as soon as the statement is known to miss its
            deadline.
        """
        now = self.clock.monotonic()
        admission = Admission(
            request,
            self.mean_seconds_by_route.get(request.route, DEFAULT_STATEMENT_SECONDS),
            now,
        )
        if not self.waiting and self.can_start(admission):
            self.start(admission, now)
            return admission
        self.check(admission, now)
        self.waiting.append(admission)
        self.schedule_recheck(admission, now)
        self.dispatch()
        try:
            await admission.granted
        except asyncio.CancelledError:
            self.handle_cancellation(admission)
            raise
        return admission

    def release(self, admission: Admission) -> None:
        """Release the place of a statement that has ended."""
        if admission.timer is not None:
            admission.timer.cancel()
        self.end(admission)

    def record_duration(self, route: str, seconds: float) -> None:
        """Update the moving average of a route with the duration of a statement."""
        mean = self.mean_seconds_by_route.get(route, DEFAULT_STATEMENT_SECONDS)
        sample = min(seconds, MAX_SAMPLE_FACTOR * mean)
        self.mean_seconds_by_route[route] = mean + DURATION_SMOOTHING_FACTOR * (
            sample - mean
        )

    def overdue_seconds(self) -> float:
        """Return the seconds after which even a long statement is overdue."""
        return OVERDUE_FACTOR * max(
            self.mean_seconds_by_route.values(), default=DEFAULT_STATEMENT_SECONDS
        )

    def dispatch(self) -> None:
        """Start waiting statements in order of rank while there is capacity."""
        now = self.clock.monotonic()
        while self.waiting:
            ready = [
                admission for admission in self.waiting if self.can_start(admission)
            ]
            if not ready:
                return
            admission = min(ready, key=lambda one: one.rank(now))
            self.remove_waiting(admission)
            if admission.granted.done():
                continue
            self.start(admission, now)
            admission.granted.set_result(None)

    def can_start(self, admission: Admission) -> bool:
        """Return whether a statement may start now.

        Statements of open transactions have a limit of their own. Otherwise those that
        wait for their connections could keep the transactions from ending.
        """
        if admission.request.in_transaction:
            return self.in_flight_in_transaction < self.slots + EXTRA_IN_FLIGHT_LIMIT
        return (
            self.in_flight < self.slots + EXTRA_IN_FLIGHT_LIMIT
            and self.connections.is_available()
        )

    def start(self, admission: Admission, now: float) -> None:
        """Count a statement as in flight and start its overdue timer."""
        admission.in_flight = True
        self.in_flight += 1
        self.in_flight_in_transaction += admission.request.in_transaction
        if not admission.is_late(now):
            load = self.loads.setdefault(admission.request.route, RouteLoad())
            load.add(admission, self.slots, now)
        overdue_after = max(
            OVERDUE_FACTOR * admission.expected_seconds, MIN_OVERDUE_SECONDS
        )
        loop = asyncio.get_running_loop()
        admission.timer = loop.call_later(overdue_after, self.end, admission)

    def end(self, admission: Admission) -> None:
        """Stop counting a statement as in flight and start the next one."""
        if not admission.in_flight:
            return
        admission.in_flight = False
        self.in_flight -= 1
        self.in_flight_in_transaction -= admission.request.in_transaction
        self.dispatch()

    def free_slot_fraction(self, now: float, before: Admission | None = None) -> float:
        """Return the recently free share of the slots.

        :param before: if given, count only the load that ranks before it.
        """
        taken = sum(
            load.decayed_slot_fraction(now)
            for load in self.loads.values()
            if before is None or load.goes_before(before)
        )
        return max(1.0 - taken, MIN_FREE_SLOT_FRACTION)

    def refuse_waiting(self, refusal: RefusalError) -> None:
        """Refuse all waiting statements outside open transactions."""
        for admission in [
            one for one in self.waiting if not one.request.in_transaction
        ]:
            self.remove_waiting(admission)
            if not admission.granted.done():
                admission.granted.set_exception(refusal)

    def check(self, admission: Admission, now: float) -> None:
        """Refuse a statement that is expected to miss its deadline.

        A statement expected to meet its soft deadline may wait. A late one runs only
        in slots that others leave free, and may wait while that is expected to happen
        before its deadline. One of an open transaction is refused only if it cannot
        end by its deadline even without a wait.

        :raises RefusalError: not run.
        """
        request = admission.request
        if request.in_transaction:
            if now + admission.expected_seconds > request.deadline:
                raise self.refusal(admission, now, 0.0)
            return
        wait = self.expected_wait(admission, now)
        if request.max_wait is not None and wait > request.max_wait:
            raise self.refusal(admission, now, wait)
        if now + wait + admission.expected_seconds <= request.soft_deadline:
            return
        late_wait = self.backlog(admission) / self.free_slot_fraction(now)
        if now + max(wait, late_wait) > request.deadline:
            raise self.refusal(admission, now, wait)

    def expected_wait(self, admission: Admission, now: float) -> float:
        """Return the expected wait of a statement, in seconds.

        Arrivals that will rank before it are expected at their recent rate. Without
        them, long statements would be queued, overtaken and refused only once late.
        """
        rank = admission.rank(now)
        before = [
            one.expected_seconds
            for one in self.waiting
            if one is not admission and one.rank(now) <= rank
        ]
        seconds_before = sum(before) + self.in_flight * admission.expected_seconds / 2
        wait = seconds_before / self.slots / self.free_slot_fraction(now, admission)
        if self.connections.is_available():
            return wait
        return max(wait, (len(before) + 1) * self.connections.expected_wait())

    def backlog(self, admission: Admission) -> float:
        """Return the seconds that the slots need for all statements and this one."""
        waiting_seconds = sum(
            one.expected_seconds for one in self.waiting if one is not admission
        )
        return (
            waiting_seconds
            + self.in_flight * admission.expected_seconds / 2
            + admission.expected_seconds
        ) / self.slots

    def refusal(self, admission: Admission, now: float, wait: float) -> RefusalError:
        """Return an overload refusal whose retry delay covers the backlog."""
        due_ms = (admission.request.soft_deadline - now) * MS_PER_SECOND
        retry_ms = max(wait, self.backlog(admission)) * MS_PER_SECOND
        return not_run(
            RefusalReason.OVERLOADED,
            f"{len(self.waiting)} statements wait at {self.target}: "
            f"{wait * MS_PER_SECOND:.0f} ms for one due in {due_ms:.0f} ms",
            max(RETRY_MS, int(retry_ms)),
        )

    def schedule_recheck(self, admission: Admission, now: float) -> None:
        """Check a statement again when it becomes late, and at its deadline.

        `max_wait` no longer applies once it waits: another target would queue it anew.
        """
        admission.request.max_wait = None
        recheck_at = admission.request.soft_deadline - admission.expected_seconds
        if recheck_at <= now:
            recheck_at = admission.request.deadline - admission.expected_seconds
        loop = asyncio.get_running_loop()
        admission.timer = loop.call_later(
            max(recheck_at - now, 0.0), self.recheck, admission
        )

    def recheck(self, admission: Admission) -> None:
        """Refuse a waiting statement, or schedule its next check."""
        now = self.clock.monotonic()
        try:
            if now + admission.expected_seconds >= admission.request.deadline:
                raise self.refusal(admission, now, 0.0)
            self.check(admission, now)
        except RefusalError as refusal:
            self.remove_waiting(admission)
            if not admission.granted.done():
                admission.granted.set_exception(refusal)
            return
        self.schedule_recheck(admission, now)

    def remove_waiting(self, admission: Admission) -> None:
        """Remove a statement from the queue."""
        if admission.timer is not None:
            admission.timer.cancel()
        self.waiting.remove(admission)

    def handle_cancellation(self, admission: Admission) -> None:
        """Release the place of a statement whose caller was cancelled."""
        if admission in self.waiting:
            self.remove_waiting(admission)
            return
        self.release(admission)
