"""Measures the load of a target at its home and makes load reports of it."""

from typing import Final

from ..clock import Clock
from ..request.position import Position
from ..request.target_load import TargetCondition, TargetLoad
from ..version.route_table import TargetAnnouncement
from .admission_queue import (
    DEFAULT_STATEMENT_SECONDS,
    MAX_SAMPLE_FACTOR,
    AdmissionQueue,
)

SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest duration in the mean, as for the durations by route."""


class TargetLoadMeter:
    """Measure one target.

    :ivar condition: the condition to report; set by outlier detection.
    :ivar mean_seconds: moving average of the durations of successful statements. A
        target that fails at once would seem to be the fastest otherwise.
    :ivar position: the position of the last reply outside transactions.
    """

    __slots__ = ("entry", "queue", "clock", "condition", "mean_seconds", "position")

    def __init__(
        self, entry: TargetAnnouncement, queue: AdmissionQueue, clock: Clock
    ) -> None:
        self.entry = entry
        self.queue = queue
        self.clock = clock
        self.condition = TargetCondition.HEALTHY
        self.mean_seconds = DEFAULT_STATEMENT_SECONDS
        self.position: Position | None = None

    def record_duration(self, seconds: float) -> None:
        """Add the duration of a successful statement to the mean."""
        sample = min(seconds, MAX_SAMPLE_FACTOR * self.mean_seconds)
        self.mean_seconds += SMOOTHING_FACTOR * (sample - self.mean_seconds)

    def report(self) -> TargetLoad:
        """Return a report of the current load."""
        free_slots = max(self.entry.slots - self.queue.in_flight, 0)
        return TargetLoad(
            self.entry.target,
            self.entry.started_at_ms,
            0.0 if free_slots else self.wait_seconds(),
            free_slots,
            self.mean_seconds,
            self.condition,
            self.clock.monotonic(),
            self.position,
        )

    def wait_seconds(self) -> float:
        """Return the expected wait of a new statement while all slots are taken.

        The statements in flight have run half of their time on average.
        """
        seconds_before = sum(one.expected_seconds for one in self.queue.waiting)
        seconds_before += self.queue.in_flight * self.mean_seconds / 2
        return seconds_before / self.entry.slots
