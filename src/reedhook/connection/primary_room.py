"""The slots of a primary that reads may use which a replica could take."""

import math
from typing import Final

from .recent_sum import RecentSum

PRIMARY_SLOT_TIME_WINDOW_SECONDS: Final = 1.0
"""Period over which slot time of statements that only the primary can run is
measured."""

PRIMARY_ONLY_MAX_MISS_SHARE: Final = 0.05
"""Share of soft deadlines missed by these statements above which reads get nothing."""

TOLERATED_MISSES: Final = 1.0
"""Misses that decide nothing: of few statements a single slow one exceeds any share."""


class PrimaryRoom:
    """Limit reads at a primary to what other statements leave free.

    :param slots: slots of the target.
    :ivar primary_only_seconds: slot time of statements that only the primary can run.
    :ivar read_seconds: slot time of reads that a replica could take.
    :ivar ended: primary-only statements that ended or were refused for overload.
    :ivar missed: those of them that missed their soft deadlines, or were refused.
    :ivar reads_in_flight: such reads at the target.
    """

    __slots__ = (
        "slots",
        "primary_only_seconds",
        "read_seconds",
        "ended",
        "missed",
        "reads_in_flight",
    )

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.primary_only_seconds = RecentSum(PRIMARY_SLOT_TIME_WINDOW_SECONDS)
        self.read_seconds = RecentSum(PRIMARY_SLOT_TIME_WINDOW_SECONDS)
        self.ended = RecentSum(PRIMARY_SLOT_TIME_WINDOW_SECONDS)
        self.missed = RecentSum(PRIMARY_SLOT_TIME_WINDOW_SECONDS)
        self.reads_in_flight = 0

    def record_slot_seconds(self, is_read: bool, seconds: float, now: float) -> None:
        """Add slot time; negative if less was used than was expected."""
        sums = self.read_seconds if is_read else self.primary_only_seconds
        sums.add(seconds, now)

    def record_outcome(self, missed: bool, now: float) -> None:
        """Count a primary-only statement that ended or was refused."""
        self.ended.add(1.0, now)
        if missed:
            self.missed.add(1.0, now)

    def room(self, now: float) -> float:
        """Return the number of slots that reads may use on average."""
        tolerated = PRIMARY_ONLY_MAX_MISS_SHARE * self.ended.value(now)
        if self.missed.value(now) > max(tolerated, TOLERATED_MISSES):
            return 0.0
        used = self.primary_only_seconds.value(now) / PRIMARY_SLOT_TIME_WINDOW_SECONDS
        return max(self.slots - used, 0.0)

    def may_start(self, now: float) -> bool:
        """Return whether another read may start.

        A part of a slot is shared over time: one read runs, and the next one waits
        until the window has room for it.
        """
        room = self.room(now)
        if self.reads_in_flight >= math.ceil(room):
            return False
        used = self.read_seconds.value(now) / PRIMARY_SLOT_TIME_WINDOW_SECONDS
        return used < room
