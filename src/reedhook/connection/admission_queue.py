"""Admission control for the statements of one target.

A target runs one statement per slot and queues the others in order of arrival. Under
overload nearly all of them would miss their soft deadlines there. The home therefore
queues them itself, keeps just enough in flight to fill the slots, orders the rest by
priority, fair share of the workspace and expected duration, and refuses early what
cannot be answered in time.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Final

from ..clock import Clock
from ..request.caller_presence import caller_gone_refusal, current_presence
from ..request.refusal import RefusalError, RefusalReason, not_run
from .admission import LONG_LANE, REPLICA_LANE, Admission, AdmissionRequest
from .long_statements import SLOTS_FREE_OF_LONG_STATEMENTS
from .overload_control import OverloadControl
from .waiting_statements import WaitingStatements

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

WAIT_MARGIN: Final = 1.4
"""Factor of the expected wait of a statement that arrives under overload control.
Without it, statements of a steadily overloaded route were admitted up to the mean wait
that is in time, and every second one was late."""

LATE_WAIT_MARGIN: Final = 4.0
"""Factor of the expected wait of a late statement under overload control. With 1, more
statements waited and were then refused than were answered late in return."""

RECHECK_SECONDS: Final = 0.1
"""Interval at which a statement that waits late, or for room at the primary, is
checked again under overload control: its prospects change without an event."""


class RouteLoad:
    """Estimate the share of the slots that one route has recently used.

    Only statements that started before their soft deadlines are counted.

    :ivar priority: priority of the newest statement.
    :ivar order_seconds: duration by which the newest statement is ordered.
    :ivar slot_fraction: the share at `updated_at`, from which it decays.
    """

    __slots__ = ("priority", "order_seconds", "slot_fraction", "updated_at")

    def __init__(self) -> None:
        self.priority = 0
        self.order_seconds = 0.0
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
        self.order_seconds = admission.order_seconds

    def decayed_slot_fraction(self, now: float) -> float:
        """Return the share of the slots, decayed to `now`."""
        return self.slot_fraction * math.exp(
            (self.updated_at - now) / LOAD_DECAY_SECONDS
        )

    def goes_before(self, admission: Admission) -> bool:
        """Return whether the route's statements rank before one that is not late."""
        return (self.priority, self.order_seconds) < (
            admission.request.priority,
            admission.order_seconds,
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
    :param control: the rules that apply where the settings enable them, or None.
    :ivar waiting: the statements that wait, in order.
    :ivar beyond_slots: statements in flight that wait for a slot at the target.
    :ivar in_flight: statements at the target, except those that count as hung.
    :ivar in_flight_in_transaction: those of them that belong to open transactions.
    :ivar mean_seconds_by_route: moving average of durations, by route.
    """

    def __init__(
        self,
        target: str,
        slots: int,
        connections: ConnectionAvailability,
        clock: Clock,
        control: OverloadControl | None = None,
    ) -> None:
        self.target = target
        self.slots = slots
        self.connections = connections
        self.clock = clock
        self.control = control
        self.waiting = WaitingStatements()
        self.arrivals = 0
        self.beyond_slots: deque[Admission] = deque()
        self.in_flight = 0
        self.in_flight_in_transaction = 0
        self.mean_seconds_by_route: dict[str, float] = {}
        self.loads: dict[str, RouteLoad] = {}

    async def admit(self, request: AdmissionRequest) -> Admission:
        """Wait until a statement may start; the caller must `release` the result.

        :raises RefusalError: not run, as soon as the statement is known to miss its
            deadline, or once its caller has disconnected.
        """
        now = self.clock.monotonic()
        admission = Admission(
            request,
            self.mean_seconds_by_route.get(request.route, DEFAULT_STATEMENT_SECONDS),
            now,
            self.arrivals,
        )
        self.arrivals += 1
        if self.control is not None:
            self.control.arrive(admission, now)
        presence = current_presence()
        if presence.gone:
            raise caller_gone_refusal()
        starts = not self.waiting and self.can_start(admission, now)
        if not starts:
            self.check(admission, now)
        if self.control is not None:
            self.control.accept(admission)
        if starts:
            self.start(admission, now)
            return admission
        self.waiting.add(admission, now)
        self.schedule_recheck(admission, now)
        self.dispatch()
        leave = partial(self.drop_waiting, admission)
        presence.listeners.add(leave)
        try:
            await admission.granted
        except asyncio.CancelledError:
            self.handle_cancellation(admission)
            raise
        finally:
            presence.listeners.discard(leave)
        return admission

    def release(self, admission: Admission) -> None:
        """Release the place of a statement that has ended."""
        if admission.timer is not None:
            admission.timer.cancel()
        if self.control is not None:
            self.control.complete(admission, self.clock.monotonic())
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
        """Start waiting statements in order while there is capacity."""
        now = self.clock.monotonic()
        while self.waiting:
            admission = self.next_admission(now)
            if admission is None:
                return
            self.remove_waiting(admission)
            if admission.granted.done():
                continue
            self.start(admission, now)
            admission.granted.set_result(None)

    def next_admission(self, now: float) -> Admission | None:
        """Return the waiting statement that may start next, or None."""
        if self.waiting.in_transaction and self.has_transaction_slot():
            return self.waiting.in_transaction.first()
        if not self.has_slot():
            return None
        self.waiting.update_late(now)
        if self.control is None:
            return self.waiting.first(0)
        blocked = self.control.blocked_lanes(now)
        admission = self.waiting.first(blocked)
        if admission is None or admission.waits_late:
            return admission
        priority = admission.request.priority
        lower = self.waiting.first_below(priority, blocked)
        if lower is not None and self.control.reserve.goes_first(
            priority, lower.request.priority, now
        ):
            self.control.metrics.increment("admission.reserved")
            return lower
        return admission

    def can_start(self, admission: Admission, now: float) -> bool:
        """Return whether a statement may start now."""
        if admission.request.in_transaction:
            return self.has_transaction_slot()
        if not self.has_slot():
            return False
        if self.control is None or not admission.lane:
            return True
        return not self.control.blocked_lanes(now) >> admission.lane & 1

    def has_transaction_slot(self) -> bool:
        """Return whether a statement of an open transaction may start.

        These have a limit of their own. Otherwise those that wait for their connections
        could keep the transactions from ending.
        """
        return self.in_flight_in_transaction < self.slots + EXTRA_IN_FLIGHT_LIMIT

    def has_slot(self) -> bool:
        """Return whether a statement outside transactions may start."""
        return (
            self.in_flight < self.slots + EXTRA_IN_FLIGHT_LIMIT
            and self.connections.is_available()
        )

    def start(self, admission: Admission, now: float) -> None:
        """Count a statement as in flight and start its overdue timer."""
        admission.in_flight = True
        self.in_flight += 1
        request = admission.request
        self.in_flight_in_transaction += request.in_transaction
        admission.started_at = now
        if self.in_flight > self.slots:
            self.beyond_slots.append(admission)
        admission.started_late = admission.is_late(now)
        self.waiting.share(admission, admission.started_late).start(
            request.workspace,
            request.weight,
            admission.expected_seconds,
            not request.in_transaction,
        )
        if self.control is not None:
            self.control.start(admission, now)
        if not admission.started_late:
            load = self.loads.setdefault(request.route, RouteLoad())
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
        self.charge(admission, self.clock.monotonic())
        self.in_flight -= 1
        self.in_flight_in_transaction -= admission.request.in_transaction
        self.dispatch()

    def charge(self, admission: Admission, now: float) -> None:
        """Charge the measured slot time of a statement in place of the expected one.

        Statements in flight beyond the slots wait at the target, in turn, until one
        ends.
        """
        if admission in self.beyond_slots:
            self.beyond_slots.remove(admission)
        elif self.beyond_slots:
            self.beyond_slots.popleft().started_at = now
        seconds = now - admission.started_at
        request = admission.request
        self.waiting.share(admission, admission.started_late).correct(
            request.workspace, request.weight, seconds - admission.expected_seconds
        )
        if self.control is not None:
            self.control.end(admission, seconds, now)

    def free_slot_fraction(self, now: float, before: Admission | None = None) -> float:
        """Return the recently free share of the slots.

        :param before: if given, count only the load that ranks before it.
        """
        taken = sum(
            load.decayed_slot_fraction(now)
            for load in self.loads.values()
            if before is None or load.goes_before(before)
        )
        free = max(1.0 - taken, MIN_FREE_SLOT_FRACTION)
        return free if before is None else max(free, self.fair_fraction(before, now))

    def fair_fraction(self, admission: Admission, now: float) -> float:
        """Return the share of the slots that the workspace of a statement is due.

        It is 0 if no other workspace waits: then the order decides alone.
        """
        request = admission.request
        level = self.waiting.level(request.priority)
        others_weight = level.others_weight(request.workspace)
        if not others_weight:
            return 0.0
        taken = sum(
            load.decayed_slot_fraction(now)
            for load in self.loads.values()
            if load.priority < request.priority
        )
        return max(1.0 - taken, 0.0) * request.weight / (request.weight + others_weight)

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
        margin = 1.0 if self.control is None or admission.waits else WAIT_MARGIN
        if now + margin * wait + admission.expected_seconds <= request.soft_deadline:
            return
        late_wait = self.backlog(admission) / self.free_slot_fraction(now)
        late_wait = max(wait, late_wait)
        if self.control is not None:
            late_wait = LATE_WAIT_MARGIN * late_wait + admission.expected_seconds
        if now + late_wait > request.deadline:
            raise self.refusal(admission, now, wait)

    def expected_wait(self, admission: Admission, now: float) -> float:
        """Return the expected wait of a statement, in seconds.

        Arrivals that will rank before it are expected at their recent rate. Without
        them, long statements would be queued, overtaken and refused only once late.
        """
        self.waiting.update_late(now)
        count, seconds = self.waiting.before(admission, now)
        seconds += self.in_flight * admission.expected_seconds / 2
        wait = seconds / self.slots / self.free_slot_fraction(now, admission)
        if self.control is not None:
            wait = self.controlled_wait(self.control, admission, wait, now)
        if self.connections.is_available():
            return wait
        return max(wait, (count + 1) * self.connections.expected_wait())

    def controlled_wait(
        self, control: OverloadControl, admission: Admission, wait: float, now: float
    ) -> float:
        """Return the expected wait under overload control, in seconds.

        :param wait: the expected wait without it.
        """
        if not admission.is_late(now):
            before = self.waiting.lower_before(admission) + admission.expected_seconds
            priority = admission.request.priority
            wait = min(wait, control.reserve.expected_wait(priority, before, now))
        if admission.lane & LONG_LANE and self.slots > SLOTS_FREE_OF_LONG_STATEMENTS:
            wait *= self.slots / (self.slots - SLOTS_FREE_OF_LONG_STATEMENTS)
        if not admission.lane & REPLICA_LANE:
            return wait
        reads = self.waiting.reads_before(admission, now)
        return max(wait, control.room_wait(admission, reads, now))

    def backlog(self, admission: Admission) -> float:
        """Return the seconds that the slots need for this statement and all that the
        fair order serves before the last one of its workspace."""
        return (
            self.waiting.backlog(admission)
            + self.in_flight * admission.expected_seconds / 2
            + admission.expected_seconds
        ) / self.slots

    def refusal(self, admission: Admission, now: float, wait: float) -> RefusalError:
        """Return an overload refusal whose retry delay covers the backlog."""
        due_ms = (admission.request.soft_deadline - now) * MS_PER_SECOND
        return not_run(
            RefusalReason.OVERLOADED,
            f"{len(self.waiting)} statements wait at {self.target}: "
            f"{wait * MS_PER_SECOND:.0f} ms for one due in {due_ms:.0f} ms",
            self.retry_after_ms(admission, now, wait),
        )

    def retry_after_ms(
        self, admission: Admission, now: float, wait: float
    ) -> int | None:
        """Return the retry delay of a refusal; None if none can be named.

        Statements with `max_wait` are refused to another target, not to the caller.
        """
        seconds = self.backlog(admission)
        if math.isfinite(wait):
            seconds = max(wait, seconds)
        retry_ms = max(RETRY_MS, int(seconds * MS_PER_SECOND))
        request = admission.request
        if (
            self.control is None
            or request.in_transaction
            or request.max_wait is not None
        ):
            return retry_ms
        delay = self.control.refuse(admission, retry_ms / MS_PER_SECOND, now)
        return None if delay is None else math.ceil(delay * MS_PER_SECOND)

    def schedule_recheck(self, admission: Admission, now: float) -> None:
        """Check a statement again when it becomes late, and at its deadline.

        `max_wait` no longer applies once it waits: another target would queue it anew.
        """
        admission.request.max_wait = None
        recheck_at = admission.request.soft_deadline - admission.expected_seconds
        if recheck_at <= now:
            recheck_at = admission.request.deadline - admission.expected_seconds
        if self.control is not None and (
            admission.waits_late or admission.lane & REPLICA_LANE
        ):
            recheck_at = min(recheck_at, now + RECHECK_SECONDS)
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
        if self.control is not None:
            self.dispatch()

    def remove_waiting(self, admission: Admission) -> None:
        """Remove a statement from the queue."""
        if admission.timer is not None:
            admission.timer.cancel()
        self.waiting.remove(admission)

    def drop_waiting(self, admission: Admission) -> None:
        """Refuse a statement whose caller has disconnected, unless it has started."""
        if not admission.waits:
            return
        self.remove_waiting(admission)
        if not admission.granted.done():
            admission.granted.set_exception(caller_gone_refusal())

    def handle_cancellation(self, admission: Admission) -> None:
        """Release the place of a statement whose caller was cancelled."""
        if admission.waits:
            self.remove_waiting(admission)
            return
        self.release(admission)
