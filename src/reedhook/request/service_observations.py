"""Latency, lag and position observations of the targets of one service."""

import math
from collections import deque
from typing import Final

from .hedge import LatencyPercentile
from .position import Position
from .session_statement import PositionProof

MAX_PROOFS: Final = 64
"""With `MIN_PROOF_INTERVAL_SECONDS`, the proofs must span longer than the largest
age that a bounded read accepts."""

MIN_PROOF_INTERVAL_SECONDS: Final = 0.05

SMOOTHING_FACTOR: Final = 0.2
"""Weight of the newest sample in the mean latency."""

DEFAULT_MEAN_SECONDS: Final = 0.012
"""Latency assumed for a target without samples."""

HALF_LIFE_SECONDS: Final = 2.0
"""Half-life of a deviation from the default latency. A target that has recovered
gets reads again."""

FAILURE_SMOOTHING_FACTOR: Final = 0.2
"""Weight of the newest answer in the share of failed ones."""

FAILURE_COST_SECONDS: Final = 0.25
"""Cost of a failed answer in a choice. It spends the retry budget, which 5 successes
earn; at the cost of the time lost alone, a near target that failed 40% was preferred to
one in another zone, and 7% of the reads ended with its error."""

FAILURE_HALF_LIFE_SECONDS: Final = 2.0
"""Half-life of the share of failed answers, as for the latency."""

PROBATION_READ_INTERVAL: Final = 10
"""One read in so many goes to a target in probation."""

MIN_LAG_BACKOFF_SECONDS: Final = 0.1
MAX_LAG_BACKOFF_SECONDS: Final = 1.6
"""The backoff of a lagging replica doubles up to this limit."""

OVERLOAD_BACKOFF_SECONDS: Final = 0.05

UNREACHABLE_BACKOFF_SECONDS: Final = 1.0


class TargetObservations:
    """Keep latency, backoff and position of one target.

    :ivar mean_seconds: mean latency of its statements, network hop included.
    :ivar updated_at: monotonic time of the last latency sample.
    :ivar inflight: statements of this host in progress at the target.
    :ivar avoid_until: monotonic time until which other targets are preferred.
    :ivar lag_backoff_seconds: backoff after the next lagging read.
    :ivar position: the last position that its reads are known to see.
    :ivar failed_share: share of its answers that were errors, at `failed_at`.
    :ivar failed_at: monotonic time of the last change of `failed_share`.
    """

    __slots__ = (
        "mean_seconds",
        "updated_at",
        "inflight",
        "avoid_until",
        "lag_backoff_seconds",
        "position",
        "failed_share",
        "failed_at",
    )

    def __init__(self) -> None:
        self.failed_share = 0.0
        self.failed_at = 0.0
        self.mean_seconds = DEFAULT_MEAN_SECONDS
        self.updated_at = 0.0
        self.inflight = 0
        self.avoid_until = float("-inf")
        self.lag_backoff_seconds = MIN_LAG_BACKOFF_SECONDS
        self.position: Position | None = None

    def expected_seconds(self, now: float) -> float:
        """Return the expected latency of a new statement in seconds."""
        return self.mean_at(now) * (1 + self.inflight)

    def mean_at(self, now: float) -> float:
        """Return the mean latency, decayed towards the default."""
        weight = math.exp2((self.updated_at - now) / HALF_LIFE_SECONDS)
        return (
            DEFAULT_MEAN_SECONDS + (self.mean_seconds - DEFAULT_MEAN_SECONDS) * weight
        )

    def failed_share_at(self, now: float) -> float:
        """Return the share of failed answers, decayed towards 0."""
        return self.failed_share * math.exp2(
            (self.failed_at - now) / FAILURE_HALF_LIFE_SECONDS
        )

    def record_failure(self, now: float) -> None:
        """Record an answer that was an error of the target."""
        share = self.failed_share_at(now)
        self.failed_share = share + FAILURE_SMOOTHING_FACTOR * (1.0 - share)
        self.failed_at = now

    def record_answer(
        self, seconds: float, position: Position | None, now: float
    ) -> None:
        """Record the latency and position of a result."""
        self.mean_seconds += SMOOTHING_FACTOR * (seconds - self.mean_seconds)
        self.updated_at = now
        if self.failed_share:
            share = self.failed_share_at(now)
            self.failed_share = share * (1.0 - FAILURE_SMOOTHING_FACTOR)
            self.failed_at = now
        self.lag_backoff_seconds = MIN_LAG_BACKOFF_SECONDS
        if position is not None:
            self.position = position

    def record_lag(self, position: Position | None, now: float) -> None:
        """Back off from a target that lacks the required position."""
        if position is not None and position != self.position:
            # Replication makes progress, so the lag may end soon.
            self.lag_backoff_seconds = MIN_LAG_BACKOFF_SECONDS
        self.position = position
        self.avoid_until = now + self.lag_backoff_seconds
        self.lag_backoff_seconds = min(
            2 * self.lag_backoff_seconds, MAX_LAG_BACKOFF_SECONDS
        )

    def record_overload(self, now: float) -> None:
        """Back off from a target that had no slot in time."""
        self.avoid_until = now + OVERLOAD_BACKOFF_SECONDS

    def record_unreachable(self, now: float) -> None:
        """Back off from a target that could not be reached."""
        self.avoid_until = now + UNREACHABLE_BACKOFF_SECONDS


class ServiceObservations:
    """Keep proofs of a primary's position and observations of its targets.

    :ivar proofs: proofs in ascending order of `as_of`.
    :ivar probation_choices: choices made while a target was in probation.
    :ivar latency_percentile: 95th percentile of the latency of reads.
    """

    __slots__ = ("proofs", "targets", "probation_choices", "latency_percentile")

    def __init__(self) -> None:
        self.probation_choices = 0
        self.latency_percentile = LatencyPercentile()
        self.proofs: deque[PositionProof] = deque(maxlen=MAX_PROOFS)
        self.targets: dict[str, TargetObservations] = {}

    def target(self, target: str) -> TargetObservations:
        """Return the observations of a target, created on first use."""
        observations = self.targets.get(target)
        if observations is None:
            observations = self.targets[target] = TargetObservations()
        return observations

    def is_probation_turn(self) -> bool:
        """Return whether this read is the one for a target in probation."""
        self.probation_choices += 1
        return self.probation_choices % PROBATION_READ_INTERVAL == 0

    def add_proof(self, proof: PositionProof | None) -> None:
        """Keep a proof if it is `MIN_PROOF_INTERVAL_SECONDS` newer than the last."""
        if proof is None:
            return
        if (
            self.proofs
            and proof.as_of - self.proofs[-1].as_of < MIN_PROOF_INTERVAL_SECONDS
        ):
            return
        self.proofs.append(proof)

    def oldest_proof_since(self, since: float) -> PositionProof | None:
        """Return the oldest proof that is not older than `since`.

        The oldest proof has the lowest position, which most replicas hold.

        :param since: by `Clock.boottime`.
        """
        for proof in self.proofs:
            if proof.as_of >= since:
                return proof
        return None
