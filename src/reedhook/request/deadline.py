"""A deadline kept as a point of local monotonic time."""

from ..clock import Clock


class Deadline:
    """Tell how much time is left.

    Hosts pass durations to each other, since their clocks are not
    synchronized; each turns the duration into a point of its own clock.

    :param remaining: time left now, in seconds.
    """

    __slots__ = ("clock", "expires_at")

    def __init__(self, clock: Clock, remaining: float) -> None:
        self.clock = clock
        self.expires_at = clock.monotonic() + remaining

    def remaining(self) -> float:
        """Return the time left in seconds; negative once it has passed."""
        return self.expires_at - self.clock.monotonic()
