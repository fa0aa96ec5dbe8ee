"""The order in which statements go to one target, and which are refused early.

A target runs as many statements at a time as it has slots and lets the others wait
in the order of their arrival. While more arrives than it can run, nearly all would
be answered just too late there. So they wait at its home, and only as many are
under way as keep the slots busy.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..record import Record
from ..request.refusal import RefusalError, RefusalReason, not_run

EXTRA_IN_FLIGHT_LIMIT: Final = 1
"""Statements under way beyond the slots: one stands ready as a slot comes free,
while the answer is on its way. At 1.35 times what the slots bear, none left 4 of 100
callers less in time in a simulation, and three, which wait out of order, 4 less."""

DEFAULT_STATEMENT_SECONDS: Final = 0.012
"""Seconds that a statement takes of which nothing is known yet."""

DURATION_SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest statement in the average of its route; ten statements, a
tenth of a second at a busy target, change it."""

MAX_SAMPLE_FACTOR: Final = 4.0
"""Times the average that one statement counts as at the most. One that waited for a
promotion made its route pass for ten times as long, so that others went first, and
nothing of it ran from which to learn better: for 2 s a route was not served."""

LOAD_DECAY_SECONDS: Final = 1.0
"""Seconds over which the share of the slots that statements in time take is
averaged; a surge of 2 s is told from a burst of 0.2 s."""

MIN_FREE_SLOT_FRACTION: Final = 0.02
"""Share of the slots that is counted as left at the least."""

OVERDUE_FACTOR: Final = 4.0
MIN_OVERDUE_SECONDS: Final = 0.1
"""Times the average of its route, and seconds, after which a statement that got no
answer is taken to hang, and another goes to the target in its place. A target that
hangs on a part of its work would otherwise take no work at all."""

RETRY_MS: Final = 50
"""The least time after which to come back, in milliseconds: some four statements."""

MS_PER_SECOND: Final = 1000.0


class AdmissionRequest(Record):
    """Say what a statement needs of its target.

    :param route: its statements take about as long, whether they read or write.
        Told apart by that, kinds that differ by a tenth would go before one another.
    :param priority: 0 goes first.
    :param soft_deadline: when its caller expects the answer, by `Clock.monotonic`.
    :param deadline: when nobody waits for it any more.
    :param in_transaction: whether its transaction is open, and has a connection.
    :param max_wait: seconds for which it waits here while another target may have
        a slot free; None if there is none.
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
    """Hold the place of one statement, in the queue or under way.

    :ivar expected_seconds: seconds that it is expected to take.
    :ivar granted: set once it may go; fails with the refusal otherwise.
    :ivar in_flight: whether it counts among those at the target.
    """

    __slots__ = (
        "request",
        "expected_seconds",
        "arrived",
        "granted",
        "timer",
        "in_flight",
    )

    def __init__(
        self, request: AdmissionRequest, expected_seconds: float, arrived: float
    ) -> None:
        self.request = request
        self.expected_seconds = expected_seconds
        self.arrived = arrived
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.timer: asyncio.TimerHandle | None = None
        self.in_flight = False

    def is_late(self, now: float) -> bool:
        """Say whether its caller gets the answer too late, if it went now."""
        return now + self.expected_seconds > self.request.soft_deadline

    def rank(self, now: float) -> tuple[int, int, float, float]:
        """Return its place among those that wait; the least goes first.

        What holds a connection goes first, what is late last. Then priority
        counts, and of equal ones short statements go first: at 1.35 times what the
        slots bear 71 of 100 callers were in time so, by worth, 48 by their dues alone
        and 14 in the order of arrival (simulated, kinds of 6, 18 and 30 ms).
        """
        if self.request.in_transaction:
            return 0, 0, self.arrived, 0.0
        if self.is_late(now):
            return 2, 0, self.arrived, 0.0
        return (
            1,
            self.request.priority,
            self.expected_seconds,
            self.request.soft_deadline,
        )


class RouteLoad:
    """Keep which share of the slots the statements of one route took of late.

    :ivar priority: of the newest of them.
    :ivar work: seconds that it was expected to take.
    """

    __slots__ = ("priority", "work", "share", "at")

    def __init__(self) -> None:
        self.priority = 0
        self.work = 0.0
        self.share = 0.0
        self.at = 0.0

    def add(self, admission: Admission, slots: int, now: float) -> None:
        """Take note that a statement goes to the target."""
        self.share = (
            self.decayed_slot_fraction(now)
            + admission.expected_seconds / slots / LOAD_DECAY_SECONDS
        )
        self.at = now
        self.priority = admission.request.priority
        self.work = admission.expected_seconds

    def decayed_slot_fraction(self, now: float) -> float:
        """Return the share of the slots."""
        return self.share * math.exp((self.at - now) / LOAD_DECAY_SECONDS)

    def goes_before(self, admission: Admission) -> bool:
        """Say whether such statements go before a statement in time."""
        return (self.priority, self.work) < (
            admission.request.priority,
            admission.expected_seconds,
        )


class ConnectionAvailability:
    """Tell whether a connection is there for a statement that needs one.

    :param is_available: says whether one is.
    :param expected_wait: returns in how many seconds one comes free on average.
    """

    __slots__ = ("is_available", "expected_wait")

    def __init__(
        self, is_available: Callable[[], bool], expected_wait: Callable[[], float]
    ) -> None:
        self.is_available = is_available
        self.expected_wait = expected_wait


class AdmissionQueue:
    """Let statements go to one target in turn.

    :param slots: statements that the target runs at a time.
    :ivar in_flight: statements at the target, but for those that hang.
    :ivar in_flight_in_transaction: those of them whose transactions are open.
    :ivar mean_seconds_by_route: seconds that statements take, by route.
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
        """Wait for the turn of a statement; give it back with `leave`.

        :raises Refusal: not run, at once if it is known not to be answered, or as
            soon as that becomes known.
        """
        now = self.clock.monotonic()
        turn = Admission(
            request,
            self.mean_seconds_by_route.get(request.route, DEFAULT_STATEMENT_SECONDS),
            now,
        )
        if not self.waiting and self.can_start(turn):
            self.start(turn, now)
            return turn
        self.check(turn, now)
        self.waiting.append(turn)
        self.schedule_recheck(turn, now)
        self.dispatch()
        try:
            await turn.granted
        except asyncio.CancelledError:
            self.cancelled(turn)
            raise
        return turn

    def release(self, admission: Admission) -> None:
        """Take note that a statement is at the target no more."""
        if admission.timer is not None:
            admission.timer.cancel()
        self.end(admission)

    def record_duration(self, route: str, seconds: float) -> None:
        """Take note of how long a statement took at the target."""
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
        """Let the next ones go, as far as there is room."""
        now = self.clock.monotonic()
        while self.waiting:
            ready = [turn for turn in self.waiting if self.can_start(turn)]
            if not ready:
                return
            turn = min(ready, key=lambda one: one.rank(now))
            self.remove_waiting(turn)
            if turn.granted.done():
                continue
            self.start(turn, now)
            turn.granted.set_result(None)

    def can_start(self, admission: Admission) -> bool:
        """Say whether a statement may go now.

        Those of open transactions count by themselves: what waits for the
        connections that they hold must not keep them from ending.
        """
        if admission.request.in_transaction:
            return self.in_flight_in_transaction < self.slots + EXTRA_IN_FLIGHT_LIMIT
        return (
            self.in_flight < self.slots + EXTRA_IN_FLIGHT_LIMIT
            and self.connections.is_available()
        )

    def start(self, admission: Admission, now: float) -> None:
        """Let a statement go."""
        admission.in_flight = True
        self.in_flight += 1
        self.in_flight_in_transaction += admission.request.in_transaction
        if not admission.is_late(now):
            load = self.loads.setdefault(admission.request.route, RouteLoad())
            load.add(admission, self.slots, now)
        hangs_after = max(
            OVERDUE_FACTOR * admission.expected_seconds, MIN_OVERDUE_SECONDS
        )
        loop = asyncio.get_running_loop()
        admission.timer = loop.call_later(hangs_after, self.end, admission)

    def end(self, admission: Admission) -> None:
        """Count a statement no more, and let the next one go."""
        if not admission.in_flight:
            return
        admission.in_flight = False
        self.in_flight -= 1
        self.in_flight_in_transaction -= admission.request.in_transaction
        self.dispatch()

    def free_slot_fraction(self, now: float, before: Admission | None = None) -> float:
        """Return the share of the slots that statements in time left free of late.

        :param before: only what goes before it counts, if it is given.
        """
        taken = sum(
            load.decayed_slot_fraction(now)
            for load in self.loads.values()
            if before is None or load.goes_before(before)
        )
        return max(1.0 - taken, MIN_FREE_SLOT_FRACTION)

    # What waits

    def refuse_waiting(self, refusal: RefusalError) -> None:
        """Refuse all that wait for a connection and a slot."""
        for turn in [one for one in self.waiting if not one.request.in_transaction]:
            self.remove_waiting(turn)
            if not turn.granted.done():
                turn.granted.set_exception(refusal)

    def check(self, admission: Admission, now: float) -> None:
        """Refuse what is known not to be answered, unless a transaction is open.

        What can be answered in time by what waits before it may wait. What cannot
        is served by the slots that are left over, so that it may wait as long as
        those are expected to come to it before its deadline.

        :raises Refusal: not run.
        """
        demand = admission.request
        if demand.in_transaction:
            if now + admission.expected_seconds > demand.deadline:
                raise self.refusal(admission, now, 0.0)
            return
        wait = self.expected_wait(admission, now)
        if demand.max_wait is not None and wait > demand.max_wait:
            raise self.refusal(admission, now, wait)
        if now + wait + admission.expected_seconds <= demand.soft_deadline:
            return
        late = self.backlog(admission) / self.free_slot_fraction(now)
        if now + max(wait, late) > demand.deadline:
            raise self.refusal(admission, now, wait)

    def expected_wait(self, admission: Admission, now: float) -> float:
        """Return after how many seconds the turn of a statement would come.

        What goes before it and is yet to arrive is expected to come as of late. Left
        out of account, long statements were taken in, overtaken until they were late
        and refused then: at 1.35 times what the slots bear 12 of 100 callers waited
        for half of their time in vain, and 71 were in time; with it 1 and 82
        (simulated, by worth).
        """
        rank = admission.rank(now)
        before = [
            one.expected_seconds
            for one in self.waiting
            if one is not admission and one.rank(now) <= rank
        ]
        work = sum(before) + self.in_flight * admission.expected_seconds / 2
        wait = work / self.slots / self.free_slot_fraction(now, admission)
        if self.connections.is_available():
            return wait
        return max(wait, (len(before) + 1) * self.connections.expected_wait())

    def backlog(self, admission: Admission) -> float:
        """Return the seconds that all slots need for all that waits and runs."""
        works = sum(
            one.expected_seconds for one in self.waiting if one is not admission
        )
        return (
            works
            + self.in_flight * admission.expected_seconds / 2
            + admission.expected_seconds
        ) / self.slots

    def refusal(self, admission: Admission, now: float, wait: float) -> RefusalError:
        """Return the refusal of a statement, with when what waits has run."""
        due = (admission.request.soft_deadline - now) * MS_PER_SECOND
        back = max(wait, self.backlog(admission)) * MS_PER_SECOND
        return not_run(
            RefusalReason.OVERLOADED,
            f"{len(self.waiting)} statements wait at {self.target}: "
            f"{wait * MS_PER_SECOND:.0f} ms for one due in {due:.0f} ms",
            max(RETRY_MS, int(back)),
        )

    def schedule_recheck(self, admission: Admission, now: float) -> None:
        """Look at a statement again when it becomes late, or too late.

        One that has begun to wait stays: elsewhere it would wait again.
        """
        admission.request.max_wait = None
        moment = admission.request.soft_deadline - admission.expected_seconds
        if moment <= now:
            moment = admission.request.deadline - admission.expected_seconds
        loop = asyncio.get_running_loop()
        admission.timer = loop.call_later(
            max(moment - now, 0.0), self.recheck, admission
        )

    def recheck(self, admission: Admission) -> None:
        """Let a statement wait on, or refuse it."""
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
        """Take a statement out of those that wait."""
        if admission.timer is not None:
            admission.timer.cancel()
        self.waiting.remove(admission)

    def cancelled(self, admission: Admission) -> None:
        """Pass on what a statement has or waits for whose caller is gone."""
        if admission in self.waiting:
            self.remove_waiting(admission)
            return
        self.release(admission)
