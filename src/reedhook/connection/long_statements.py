"""Long statements, which together leave one slot of a target free."""

from typing import Final

from ..record import Record

LONG_STATEMENT_SECONDS: Final = 0.05
"""Mean duration above which a statement is long."""

LONG_STATEMENT_RATIO: Final = 4.0
"""The same, as a multiple of the mean of a higher priority."""

HIGHER_PRIORITY_WINDOW_SECONDS: Final = 10.0
"""Period in which a higher priority must have arrived."""

SLOTS_FREE_OF_LONG_STATEMENTS: Final = 1
"""No order of a queue helps a short statement that arrives when long ones hold all
slots."""

MEAN_SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest statement in the mean duration of its priority."""


class PriorityArrivals(Record):
    """Describe the newest arrivals of one priority.

    :param mean_seconds: moving average of their expected durations.
    :param last_at: when the newest arrived, by `Clock.monotonic`.
    """

    __slots__ = ("mean_seconds", "last_at")

    def __init__(self, mean_seconds: float, last_at: float) -> None:
        self.mean_seconds = mean_seconds
        self.last_at = last_at


class LongStatements:
    """Tell long statements and limit how many run.

    :param slots: slots of the target.
    :ivar in_flight: long statements at the target.
    """

    __slots__ = ("limit", "arrivals", "in_flight")

    def __init__(self, slots: int) -> None:
        self.limit = max(slots - SLOTS_FREE_OF_LONG_STATEMENTS, 1)
        self.arrivals: dict[int, PriorityArrivals] = {}
        self.in_flight = 0

    def record_arrival(self, priority: int, seconds: float, now: float) -> None:
        """Record a statement and the mean duration of its route."""
        arrivals = self.arrivals.get(priority)
        if arrivals is None:
            self.arrivals[priority] = PriorityArrivals(seconds, now)
            return
        arrivals.mean_seconds += MEAN_SMOOTHING_FACTOR * (
            seconds - arrivals.mean_seconds
        )
        arrivals.last_at = now

    def is_long(self, priority: int, seconds: float, now: float) -> bool:
        """Return whether a statement is long while higher priorities arrive."""
        since = now - HIGHER_PRIORITY_WINDOW_SECONDS
        for other, arrivals in self.arrivals.items():
            if other >= priority or arrivals.last_at < since:
                continue
            if seconds > LONG_STATEMENT_SECONDS:
                return True
            if seconds > LONG_STATEMENT_RATIO * arrivals.mean_seconds:
                return True
        return False

    def may_start(self) -> bool:
        """Return whether another long statement may start."""
        return self.in_flight < self.limit
