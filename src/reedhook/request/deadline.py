"""A deadline as a point of local monotonic time."""

from ..clock import Clock


class Deadline:
    """Compute the time that remains for a request.

    Hosts exchange durations, since their clocks are not synchronized. Each host
    converts them to its own monotonic time.

    :param remaining: the remaining time now, in seconds.
    """

    __slots__ = ("clock", "expires_at")

    def __init__(self, clock: Clock, remaining: float) -> None:
        self.clock = clock
        self.expires_at = clock.monotonic() + remaining

    def remaining(self) -> float:
        """Return the remaining time in seconds; negative after the deadline."""
        return self.expires_at - self.clock.monotonic()
