"""What this host has learned of the targets of one service from answers."""

import math
from collections import deque
from typing import Final

from .position import Position
from .session_statement import PositionProof

MAX_PROOFS: Final = 64
"""Proofs that are kept; with one in 50 ms they reach back 3 s, which is longer
than any bounded read accepts."""

MIN_PROOF_INTERVAL_SECONDS: Final = 0.05
"""Seconds between two proofs that are kept."""

SMOOTHING_FACTOR: Final = 0.2
"""Weight of the newest time in the mean."""

DEFAULT_MEAN_SECONDS: Final = 0.012
"""Seconds that a statement takes at a target that was never asked; the mean of
the statements of the sites."""

HALF_LIFE_SECONDS: Final = 2.0
"""Seconds after which half of what was learned of slowness is forgotten, so
that a target which has recovered is asked again."""

MIN_LAG_BACKOFF_SECONDS: Final = 0.1
MAX_LAG_BACKOFF_SECONDS: Final = 1.6
"""Seconds for which a replica that lagged too far is not asked, doubled with
each time in a row."""

OVERLOAD_BACKOFF_SECONDS: Final = 0.05
"""Seconds for which a target with a long queue is not asked: some three statements
at each of its slots."""

UNREACHABLE_BACKOFF_SECONDS: Final = 1.0
"""Seconds for which a target that could not be reached is not asked."""


class TargetObservations:
    """Keep what answers of one target told.

    :ivar mean_seconds: seconds that its statements take, the way there included.
    :ivar inflight: statements of this host that wait for it.
    :ivar avoid_until: monotonic time until which others are preferred.
    :ivar position: the last entry that its reads are known to see.
    """

    __slots__ = (
        "mean_seconds",
        "updated_at",
        "inflight",
        "avoid_until",
        "lag_backoff_seconds",
        "position",
    )

    def __init__(self) -> None:
        self.mean_seconds = DEFAULT_MEAN_SECONDS
        self.updated_at = 0.0
        self.inflight = 0
        self.avoid_until = float("-inf")
        self.lag_backoff_seconds = MIN_LAG_BACKOFF_SECONDS
        self.position: Position | None = None

    def expected_seconds(self, now: float) -> float:
        """Return how long a statement is expected to take, in seconds."""
        aged = math.exp2((self.updated_at - now) / HALF_LIFE_SECONDS)
        mean = DEFAULT_MEAN_SECONDS + (self.mean_seconds - DEFAULT_MEAN_SECONDS) * aged
        return mean * (1 + self.inflight)

    def record_answer(
        self, seconds: float, position: Position | None, now: float
    ) -> None:
        """Take note of an answer."""
        self.mean_seconds += SMOOTHING_FACTOR * (seconds - self.mean_seconds)
        self.updated_at = now
        self.lag_backoff_seconds = MIN_LAG_BACKOFF_SECONDS
        if position is not None:
            self.position = position

    def record_lag(self, position: Position | None, now: float) -> None:
        """Take note that the target lacked the position asked for."""
        if position is not None and position != self.position:
            # It moves, so that it may soon be there.
            self.lag_backoff_seconds = MIN_LAG_BACKOFF_SECONDS
        self.position = position
        self.avoid_until = now + self.lag_backoff_seconds
        self.lag_backoff_seconds = min(
            2 * self.lag_backoff_seconds, MAX_LAG_BACKOFF_SECONDS
        )

    def record_overload(self, now: float) -> None:
        """Take note that the target had no slot for a statement in time."""
        self.avoid_until = now + OVERLOAD_BACKOFF_SECONDS

    def record_unreachable(self, now: float) -> None:
        """Take note that the target could not be reached."""
        self.avoid_until = now + UNREACHABLE_BACKOFF_SECONDS


class ServiceObservations:
    """Keep proofs of a primary's position, and what targets were like."""

    __slots__ = ("proofs", "targets")

    def __init__(self) -> None:
        self.proofs: deque[PositionProof] = deque(maxlen=MAX_PROOFS)
        self.targets: dict[str, TargetObservations] = {}

    def target(self, target: str) -> TargetObservations:
        """Return what is known of a target."""
        found = self.targets.get(target)
        if found is None:
            found = self.targets[target] = TargetObservations()
        return found

    def add_proof(self, proof: PositionProof | None) -> None:
        """Keep a proof if it is the newest and far enough from the last one."""
        if proof is None:
            return
        if (
            self.proofs
            and proof.as_of - self.proofs[-1].as_of < MIN_PROOF_INTERVAL_SECONDS
        ):
            return
        self.proofs.append(proof)

    def oldest_proof_since(self, since: float) -> PositionProof | None:
        """Return the oldest proof that is not older than a moment.

        It demands the least of replicas.

        :param since: by `Clock.elapsed`.
        """
        for proof in self.proofs:
            if proof.as_of >= since:
                return proof
        return None
