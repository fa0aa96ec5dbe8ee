"""The share of slot time that priorities below the highest one keep."""

from typing import Final

from .recent_sum import RecentSum

LOWER_PRIORITY_MIN_SHARE: Final = 0.05
"""Share of slot time that all lower priorities together keep."""

SOFT_DEADLINE_WINDOW_SECONDS: Final = 1.0
"""Period in which higher priorities must have met their soft deadlines."""

MAX_MISS_SHARE: Final = 0.05
"""Share of missed soft deadlines of higher priorities above which the lower ones
lose their share."""

TOLERATED_MISSES: Final = 1.0
"""Misses that decide nothing: of few statements a single slow one exceeds any share."""


class PriorityUse:
    """Sum what the statements of one priority did recently.

    :ivar slot_seconds: slot time.
    :ivar ended: statements that ended.
    :ivar missed: those of them that missed their soft deadlines.
    """

    __slots__ = ("slot_seconds", "ended", "missed")

    def __init__(self) -> None:
        self.slot_seconds = RecentSum(SOFT_DEADLINE_WINDOW_SECONDS)
        self.ended = RecentSum(SOFT_DEADLINE_WINDOW_SECONDS)
        self.missed = RecentSum(SOFT_DEADLINE_WINDOW_SECONDS)


class LowerPriorityReserve:
    """Decide when a lower priority goes before a higher one.

    :param slots: slots of the target.
    :ivar uses: recent use, by priority.
    """

    __slots__ = ("slots", "uses")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.uses: dict[int, PriorityUse] = {}

    def use(self, priority: int) -> PriorityUse:
        """Return the recent use of a priority, created on first use."""
        use = self.uses.get(priority)
        if use is None:
            use = self.uses[priority] = PriorityUse()
        return use

    def record_slot_seconds(self, priority: int, seconds: float, now: float) -> None:
        """Add slot time; negative if less was used than was expected."""
        self.use(priority).slot_seconds.add(seconds, now)

    def record_end(self, priority: int, missed: bool, now: float) -> None:
        """Count a statement that ended."""
        use = self.use(priority)
        use.ended.add(1.0, now)
        if missed:
            use.missed.add(1.0, now)

    def kept(self, priority: int, now: float) -> bool:
        """Return whether the priorities above `priority` met their deadlines."""
        ended, missed = 0.0, 0.0
        for other, use in self.uses.items():
            if other < priority:
                ended += use.ended.value(now)
                missed += use.missed.value(now)
        return missed <= max(MAX_MISS_SHARE * ended, TOLERATED_MISSES)

    def expected_wait(self, priority: int, seconds: float, now: float) -> float:
        """Return the expected wait with the share of the lower priorities, in seconds;
        infinite if they have none left or the priority is the highest.

        :param seconds: durations of the lower priorities' statements until its end.
        """
        highest = min(self.uses, default=priority)
        if priority <= highest or not self.goes_first(highest, priority, now):
            return float("inf")
        return seconds / (self.slots * LOWER_PRIORITY_MIN_SHARE)

    def goes_first(self, highest: int, priority: int, now: float) -> bool:
        """Return whether a statement of a lower priority goes before `highest`."""
        used = sum(
            use.slot_seconds.value(now)
            for other, use in self.uses.items()
            if other > highest
        )
        budget = LOWER_PRIORITY_MIN_SHARE * self.slots * SOFT_DEADLINE_WINDOW_SECONDS
        return used < budget and self.kept(priority, now)
