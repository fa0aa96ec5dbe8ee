"""Backlogs of many workspaces, summed so that one decision need not visit them all."""

import math
from typing import Final

LOWEST_EXPONENT: Final = -16
HIGHEST_EXPONENT: Final = 8
"""Range of the binary exponents of backlogs in seconds: 15 us to 128 s."""


class Bucket:
    """Sum the backlogs of one order of magnitude."""

    __slots__ = ("count", "weight", "seconds")

    def __init__(self) -> None:
        self.count = 0
        self.weight = 0.0
        self.seconds = 0.0


class BacklogSums:
    """Sum the backlogs of workspaces by their order of magnitude.

    A bucket holds the workspaces whose backlog per weight lies between two powers of
    two, so that a sum over all of them takes one step per bucket.

    :ivar buckets: the buckets that are not empty, by binary exponent.
    :ivar total_weight: weight of all workspaces with a backlog.
    """

    __slots__ = ("buckets", "total_weight")

    def __init__(self) -> None:
        self.buckets: dict[int, Bucket] = {}
        self.total_weight = 0.0

    def add(self, weight: float, seconds: float) -> None:
        """Add the backlog of a workspace."""
        exponent = bucket_of(seconds / weight)
        bucket = self.buckets.get(exponent)
        if bucket is None:
            bucket = self.buckets[exponent] = Bucket()
        bucket.count += 1
        bucket.weight += weight
        bucket.seconds += seconds
        self.total_weight += weight

    def remove(self, weight: float, seconds: float) -> None:
        """Remove a backlog that was added with the same values."""
        exponent = bucket_of(seconds / weight)
        bucket = self.buckets[exponent]
        bucket.count -= 1
        bucket.weight -= weight
        bucket.seconds -= seconds
        self.total_weight -= weight
        if not bucket.count:
            # An empty bucket would keep the rounding errors of its sums.
            del self.buckets[exponent]

    def served_within(self, seconds_per_weight: float) -> float:
        """Return the seconds of backlog served while each unit of weight gets some."""
        total = 0.0
        for bucket in self.buckets.values():
            total += min(bucket.seconds, bucket.weight * seconds_per_weight)
        return total


def bucket_of(seconds: float) -> int:
    """Return the bucket of a backlog per weight."""
    return min(max(math.frexp(seconds)[1], LOWEST_EXPONENT), HIGHEST_EXPONENT)
