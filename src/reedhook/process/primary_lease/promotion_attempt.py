"""Evidence that an ordered promotion has taken effect.

The platform states no outcome: an order for the present primary succeeds and changes
nothing, and any other target leads a later term some hundred milliseconds after its
order. A target that led before its order may be either, if others were ordered before
it: their promotions may have taken effect without anybody seeing it.
"""

from typing import Final

from ...connection.session_target import SessionTargetStatus
from ...record import Record
from .lease_record import PrimaryLeaseRecord

PRESENT_PRIMARY_SECONDS: Final = 2.0
"""Time after an order in which a target keeps its term only if it is the present
primary; promotions take some hundred milliseconds."""

OVERDUE_SECONDS: Final = 3.0
"""Time after an order in which the target is seen to lead, unless it is lost."""


class PromotionAttempt(Record):
    """Track the promotion of one recorded successor by one holder.

    :param recorded_term: term of the recorded primary.
    :param contested: whether the promotion of another target may have taken effect.
    :ivar led_in: highest term in which the target led before its promotion can have
        taken effect; -1 if it did not lead, None if that is not known.
    :ivar ordered_at: monotonic time of the first order that the platform took.
    """

    __slots__ = (
        "target",
        "started_at_ms",
        "recorded_term",
        "contested",
        "led_in",
        "ordered_at",
    )

    def __init__(
        self, target: str, started_at_ms: int, recorded_term: int, contested: bool
    ) -> None:
        self.target = target
        self.started_at_ms = started_at_ms
        self.recorded_term = recorded_term
        self.contested = contested
        self.led_in: int | None = None
        self.ordered_at: float | None = None

    def concerns(self, record: PrimaryLeaseRecord) -> bool:
        """Return whether this is the attempt to promote the recorded successor."""
        return (
            self.target == record.successor
            and self.started_at_ms == record.successor_started_at_ms
            and self.recorded_term == record.term
            and self.contested == record.successor_contested
        )

    def note_before(self, status: SessionTargetStatus) -> None:
        """Process a status that the target reported before its order was sent."""
        self.led_in = status.term if status.is_primary else -1

    def note_ordered(self, now: float) -> None:
        """Process an order that the platform took."""
        if self.ordered_at is None:
            self.ordered_at = now

    def leads(self, status: SessionTargetStatus, now: float) -> bool:
        """Return whether a status after the order shows that the target leads.

        :param now: `Clock.monotonic` before the status was requested.
        """
        if not status.is_primary or status.term < self.recorded_term:
            return False
        if not self.contested or self.led_in == -1:
            return status.term > self.recorded_term
        if self.led_in is None:
            self.led_in = status.term
        if status.term > self.led_in:
            return True
        return (
            self.ordered_at is not None
            and now - self.ordered_at >= PRESENT_PRIMARY_SECONDS
        )

    def is_overdue(self, now: float) -> bool:
        """Return whether the target should have been seen to lead by now."""
        return self.ordered_at is not None and now - self.ordered_at >= OVERDUE_SECONDS


def attempt_for(record: PrimaryLeaseRecord) -> PromotionAttempt:
    """Return a new attempt to promote the recorded successor."""
    return PromotionAttempt(
        record.successor,
        record.successor_started_at_ms,
        record.term,
        record.successor_contested,
    )
