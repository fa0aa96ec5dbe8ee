"""Rules of admission that apply only where the settings enable them."""

from typing import Final

from ..metrics import MemoryMetrics, Metrics
from .admission import LONG_LANE, REPLICA_LANE, Admission
from .fair_share import LANES
from .long_statements import LongStatements
from .lower_priority_reserve import LowerPriorityReserve
from .primary_room import PrimaryRoom
from .retry_schedule import RetrySchedule
from .waiting_statements import REPLICA_LANES

LONG_LANES: Final = sum(1 << lane for lane in range(LANES) if lane & LONG_LANE)
"""Bit mask of the lanes of long statements."""

ORDER_TOLERANCE: Final = 0.25
"""Relative change of a route's mean duration up to which its statements keep their
order. With each small change, later ones overtook earlier ones of the same route, and
these were refused after a long wait."""

ROOM_WAIT_MARGIN: Final = 3.0
"""Factor of the expected wait for room at the primary as a read arrives. The room
varies, and a read that waits in vain costs more than one that is refused at once."""


class OverloadControl:
    """Combine the reserve, the limits and the retry schedule of one target.

    :param slots: slots of the target.
    :param metrics: counts what the rules decide.
    :ivar order_by_route: durations by which statements are ordered, by route.
    """

    __slots__ = (
        "metrics",
        "order_by_route",
        "reserve",
        "long_statements",
        "primary_room",
        "retries",
    )

    def __init__(self, slots: int, metrics: Metrics | None = None) -> None:
        self.metrics = metrics or MemoryMetrics()
        self.order_by_route: dict[str, float] = {}
        self.reserve = LowerPriorityReserve(slots)
        self.long_statements = LongStatements(slots)
        self.primary_room = PrimaryRoom(slots)
        self.retries = RetrySchedule()

    def arrive(self, admission: Admission, now: float) -> None:
        """Determine which limits apply to a statement, and whether it returns."""
        request, seconds = admission.request, admission.expected_seconds
        self.long_statements.record_arrival(request.priority, seconds, now)
        admission.order_seconds = self.order_seconds(request.route, seconds)
        if request.in_transaction:
            return
        if self.long_statements.is_long(request.priority, seconds, now):
            admission.lane |= LONG_LANE
        if request.replica_allowed:
            admission.lane |= REPLICA_LANE
        promise = self.retries.kept(request.session, request.priority, now)
        if promise is not None:
            admission.promised = True
            if request.first_attempt is None:
                request.first_attempt = promise.first_attempt

    def order_seconds(self, route: str, seconds: float) -> float:
        """Return the duration by which statements of a route are ordered."""
        ordered = self.order_by_route.get(route, 0.0)
        if abs(seconds - ordered) > ORDER_TOLERANCE * ordered:
            ordered = self.order_by_route[route] = seconds
        return ordered

    def accept(self, admission: Admission) -> None:
        """Fulfil the promise of a statement that starts or waits.

        While it waits, it counts in the backlog.
        """
        if admission.promised:
            self.retries.forget(admission.request.session)
            self.metrics.increment("admission.returned")

    def blocked_lanes(self, now: float) -> int:
        """Return the bit mask of the lanes that may not start a statement now."""
        blocked = 0
        if not self.long_statements.may_start():
            blocked |= LONG_LANES
        if not self.primary_room.may_start(now):
            blocked |= REPLICA_LANES
        return blocked

    def start(self, admission: Admission, now: float) -> None:
        """Record a statement that is sent to the target."""
        self.long_statements.in_flight += admission.lane & LONG_LANE != 0
        self.primary_room.reads_in_flight += admission.lane & REPLICA_LANE != 0
        self.record_slot_seconds(admission, admission.expected_seconds, now)

    def end(self, admission: Admission, seconds: float, now: float) -> None:
        """Record the measured slot time of a statement that leaves its slot."""
        self.long_statements.in_flight -= admission.lane & LONG_LANE != 0
        self.primary_room.reads_in_flight -= admission.lane & REPLICA_LANE != 0
        self.record_slot_seconds(admission, seconds - admission.expected_seconds, now)

    def record_slot_seconds(
        self, admission: Admission, seconds: float, now: float
    ) -> None:
        """Add slot time to the sums of the statement's priority and kind."""
        request = admission.request
        self.reserve.record_slot_seconds(request.priority, seconds, now)
        self.primary_room.record_slot_seconds(request.replica_allowed, seconds, now)

    def complete(self, admission: Admission, now: float) -> None:
        """Record the end of a statement."""
        request = admission.request
        missed = now > request.soft_deadline
        self.reserve.record_end(request.priority, missed, now)
        self.retries.record_completed(request.priority, now)
        if not request.replica_allowed:
            self.primary_room.record_outcome(missed, now)

    def refuse(self, admission: Admission, earliest: float, now: float) -> float | None:
        """Return the delay after which a refused caller is to return, in seconds.

        :param earliest: seconds until capacity is expected.
        :returns: None if no delay can be named.
        """
        request = admission.request
        if not request.replica_allowed:
            self.primary_room.record_outcome(True, now)
        first_attempt = request.first_attempt
        at = self.retries.promise(
            request.session,
            request.priority,
            request.workspace,
            request.weight,
            admission.arrived_at if first_attempt is None else first_attempt,
            now + earliest,
            request.deadline,
            now,
        )
        if at is None:
            self.metrics.increment("admission.no_delay")
            return None
        self.metrics.increment("admission.promised")
        return at - now

    def room_wait(
        self, admission: Admission, waiting_seconds: float, now: float
    ) -> float:
        """Return the expected wait of a read for room at the primary, in seconds.

        :param waiting_seconds: durations of such reads that go before it.
        """
        room = self.primary_room.room(now)
        if room <= 0.0:
            return float("inf")
        in_flight = self.primary_room.reads_in_flight * admission.expected_seconds / 2
        wait = (waiting_seconds + in_flight) / room
        return wait if admission.waits else wait * ROOM_WAIT_MARGIN
