"""A statement that is to be admitted to a target, from its arrival to its release."""

import asyncio
from typing import Final

from ..record import Record
from .fair_share import Place

LONG_LANE: Final = 1
REPLICA_LANE: Final = 2
"""Bits of the lane of long statements, and of reads that a replica could take."""


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
    :param workspace: the workspace of the caller; empty for none.
    :param weight: the weight of the workspace.
    :param replica_allowed: whether it waits at the primary although a replica could
        run it.
    :param session: the session that sends it; empty if unknown.
    :param first_attempt: when the caller first sent it, by `Clock.monotonic`; None if
        this is the first attempt or that is unknown.
    """

    __slots__ = (
        "route",
        "priority",
        "soft_deadline",
        "deadline",
        "in_transaction",
        "max_wait",
        "workspace",
        "weight",
        "replica_allowed",
        "session",
        "first_attempt",
    )

    def __init__(
        self,
        route: str,
        priority: int,
        soft_deadline: float,
        deadline: float,
        in_transaction: bool,
        max_wait: float | None = None,
        workspace: str = "",
        weight: float = 1.0,
        replica_allowed: bool = False,
        session: str = "",
        first_attempt: float | None = None,
    ) -> None:
        self.route = route
        self.priority = priority
        self.soft_deadline = soft_deadline
        self.deadline = deadline
        self.in_transaction = in_transaction
        self.max_wait = max_wait
        self.workspace = workspace
        self.weight = weight
        self.replica_allowed = replica_allowed
        self.session = session
        self.first_attempt = first_attempt


class Admission:
    """Track one statement from its arrival in the queue to its release.

    :ivar expected_seconds: expected duration at the target.
    :ivar order_seconds: the duration by which it is ordered.
    :ivar arrived_at: time of arrival, by `Clock.monotonic`.
    :ivar number: order of arrival at the queue.
    :ivar lane: bits that say which limits apply to it.
    :ivar promised: whether it returned at the time that a refusal had named.
    :ivar granted: resolved on admission; fails with the refusal otherwise.
    :ivar in_flight: whether it counts towards the limit of the target.
    :ivar started_at: when it got a slot at the target, by `Clock.monotonic`; the time
        of its admission until that is known.
    :ivar waits: whether it is in the queue.
    :ivar waits_late: whether it waits among the late statements.
    :ivar started_late: whether it was late when it was admitted.
    """

    __slots__ = (
        "request",
        "expected_seconds",
        "order_seconds",
        "arrived_at",
        "number",
        "lane",
        "promised",
        "granted",
        "timer",
        "in_flight",
        "started_at",
        "waits",
        "waits_late",
        "started_late",
    )

    def __init__(
        self,
        request: AdmissionRequest,
        expected_seconds: float,
        arrived: float,
        number: int = 0,
    ) -> None:
        self.request = request
        self.expected_seconds = expected_seconds
        self.order_seconds = expected_seconds
        self.arrived_at = arrived
        self.number = number
        self.lane = 0
        self.promised = False
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.timer: asyncio.TimerHandle | None = None
        self.in_flight = False
        self.started_at = arrived
        self.waits = False
        self.waits_late = False
        self.started_late = False

    def is_late(self, now: float) -> bool:
        """Return whether it would miss its soft deadline if it started now."""
        return now + self.expected_seconds > self.request.soft_deadline

    def place(self, late: bool) -> Place:
        """Return where it waits outside transactions.

        Within a workspace, statements that return as promised go first, in order of
        their first attempts. The others go by shortest expected duration, which lets
        the most callers meet their soft deadlines. Late ones go in order of arrival.
        """
        request = self.request
        if late:
            key: tuple[float, ...] = (self.arrived_at, self.number)
        elif self.promised and request.first_attempt is not None:
            key = (0.0, request.first_attempt, 0.0, self.number)
        else:
            key = (1.0, self.order_seconds, request.soft_deadline, self.number)
        return Place(
            request.workspace, request.weight, self.lane, key, self.expected_seconds
        )
