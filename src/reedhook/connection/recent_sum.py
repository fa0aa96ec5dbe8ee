"""Sum of values over the most recent time."""

from typing import Final

BUCKETS: Final = 10


class RecentSum:
    """Sum what was added in the last `window` seconds, to a tenth of it.

    :param window: in seconds.
    """

    __slots__ = ("bucket_seconds", "buckets", "newest", "total")

    def __init__(self, window: float) -> None:
        self.bucket_seconds = window / BUCKETS
        self.buckets = [0.0] * BUCKETS
        self.newest = 0
        self.total = 0.0

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self.advance(now)
        self.buckets[self.newest % BUCKETS] += value
        self.total += value

    def value(self, now: float) -> float:
        """Return the sum."""
        self.advance(now)
        return self.total

    def advance(self, now: float) -> None:
        """Drop what is older than the window."""
        bucket = int(now / self.bucket_seconds)
        if bucket <= self.newest:
            return
        if bucket - self.newest >= BUCKETS:
            self.buckets = [0.0] * BUCKETS
        else:
            for number in range(self.newest + 1, bucket + 1):
                self.buckets[number % BUCKETS] = 0.0
        self.newest = bucket
        # Summed anew, since differences would accumulate rounding errors.
        self.total = sum(self.buckets)
