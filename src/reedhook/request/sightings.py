"""What this host has learned of the targets of one service from answers."""

import math
from collections import deque
from typing import Final

from .position import Position
from .work import Proof

KEPT_PROOFS: Final = 64
"""Proofs that are kept; with one in 50 ms they reach back 3 s, which is longer
than any bounded read accepts."""

LEAST_GAP: Final = 0.05
"""Seconds between two proofs that are kept."""

SMOOTHING: Final = 0.2
"""Weight of the newest time in the mean."""

USUAL: Final = 0.012
"""Seconds that a statement takes at a target that was never asked; the mean of
the statements of the sites."""

FORGET: Final = 2.0
"""Seconds after which half of what was learned of slowness is forgotten, so
that a target which has recovered is asked again."""

BEHIND_FIRST: Final = 0.1
BEHIND_MOST: Final = 1.6
"""Seconds for which a replica that lagged too far is not asked, doubled with
each time in a row."""

CROWDED_FOR: Final = 0.05
"""Seconds for which a target with a long queue is not asked: some three statements
at each of its slots."""

LOST_FOR: Final = 1.0
"""Seconds for which a target that could not be reached is not asked."""


class TargetSightings:
    """Keep what answers of one target told.

    :ivar mean: seconds that its statements take, the way there included.
    :ivar inflight: statements of this host that wait for it.
    :ivar avoid_until: monotonic time until which others are preferred.
    :ivar position: the last entry that its reads are known to see.
    """

    __slots__ = ("mean", "learned_at", "inflight", "avoid_until", "behind", "position")

    def __init__(self) -> None:
        self.mean = USUAL
        self.learned_at = 0.0
        self.inflight = 0
        self.avoid_until = float("-inf")
        self.behind = BEHIND_FIRST
        self.position: Position | None = None

    def expected(self, now: float) -> float:
        """Return how long a statement is expected to take, in seconds."""
        aged = math.exp2((self.learned_at - now) / FORGET)
        mean = USUAL + (self.mean - USUAL) * aged
        return mean * (1 + self.inflight)

    def answered(self, seconds: float, position: Position | None, now: float) -> None:
        """Take note of an answer."""
        self.mean += SMOOTHING * (seconds - self.mean)
        self.learned_at = now
        self.behind = BEHIND_FIRST
        if position is not None:
            self.position = position

    def lagged(self, position: Position | None, now: float) -> None:
        """Take note that the target lacked the position asked for."""
        if position is not None and position != self.position:
            # It moves, so that it may soon be there.
            self.behind = BEHIND_FIRST
        self.position = position
        self.avoid_until = now + self.behind
        self.behind = min(2 * self.behind, BEHIND_MOST)

    def crowded(self, now: float) -> None:
        """Take note that the target had no slot for a statement in time."""
        self.avoid_until = now + CROWDED_FOR

    def lost(self, now: float) -> None:
        """Take note that the target could not be reached."""
        self.avoid_until = now + LOST_FOR


class Sightings:
    """Keep proofs of a primary's position, and what targets were like."""

    __slots__ = ("proofs", "targets")

    def __init__(self) -> None:
        self.proofs: deque[Proof] = deque(maxlen=KEPT_PROOFS)
        self.targets: dict[str, TargetSightings] = {}

    def target(self, target: str) -> TargetSightings:
        """Return what is known of a target."""
        found = self.targets.get(target)
        if found is None:
            found = self.targets[target] = TargetSightings()
        return found

    def prove(self, proof: Proof | None) -> None:
        """Keep a proof if it is the newest and far enough from the last one."""
        if proof is None:
            return
        if self.proofs and proof.at - self.proofs[-1].at < LEAST_GAP:
            return
        self.proofs.append(proof)

    def oldest(self, since: float) -> Proof | None:
        """Return the oldest proof that is not older than a moment.

        It demands the least of replicas.

        :param since: by `Clock.elapsed`.
        """
        for proof in self.proofs:
            if proof.at >= since:
                return proof
        return None
