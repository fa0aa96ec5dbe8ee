"""Backlogs of many workspaces, summed so that one decision need not visit them all."""

import math
from typing import Final

LOWEST_EXPONENT: Final = -16
HIGHEST_EXPONENT: Final = 8
"""Range of the binary exponents of backlogs in seconds: 15 us to 128 s."""

BUCKETS: Final = HIGHEST_EXPONENT - LOWEST_EXPONENT + 1


class BacklogSums:
    """Sum the backlogs of workspaces by their order of magnitude.

    A bucket holds the workspaces whose backlog per weight lies between two powers of
    two, so that a sum over all of them takes one step per bucket.

    :ivar total_weight: weight of all workspaces with a backlog.
    """

    __slots__ = ("counts", "weights", "seconds", "total_weight")

    def __init__(self) -> None:
        self.counts = [0] * BUCKETS
        self.weights = [0.0] * BUCKETS
        self.seconds = [0.0] * BUCKETS
        self.total_weight = 0.0

    def add(self, weight: float, seconds: float) -> None:
        """Add the backlog of a workspace."""
        bucket = bucket_of(seconds / weight)
        self.counts[bucket] += 1
        self.weights[bucket] += weight
        self.seconds[bucket] += seconds
        self.total_weight += weight

    def remove(self, weight: float, seconds: float) -> None:
        """Remove a backlog that was added with the same values."""
        bucket = bucket_of(seconds / weight)
        self.counts[bucket] -= 1
        self.weights[bucket] -= weight
        self.seconds[bucket] -= seconds
        self.total_weight -= weight
        if not self.counts[bucket]:
            # Removes the rounding errors of the sums.
            self.weights[bucket] = self.seconds[bucket] = 0.0

    def served_within(self, seconds_per_weight: float) -> float:
        """Return the seconds of backlog served while each unit of weight gets some."""
        return sum(
            min(seconds, weight * seconds_per_weight)
            for seconds, weight in zip(self.seconds, self.weights, strict=True)
        )


def bucket_of(seconds: float) -> int:
    """Return the bucket of a backlog per weight."""
    exponent = math.frexp(seconds)[1]
    return min(max(exponent, LOWEST_EXPONENT), HIGHEST_EXPONENT) - LOWEST_EXPONENT
