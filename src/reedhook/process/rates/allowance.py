"""What the home of a target may admit of one workspace's operations."""

import asyncio
import math
from typing import Final

MEMORY: Final = 3.0
"""Seconds over which the demand of a workspace is averaged; longer than most grants
last, so that one operation is not taken for a stream of them."""


class Allowance:
    """Keep what may be admitted of one workspace.

    :ivar left: operations.
    :ivar until: when they are void, by `Clock.elapsed`.
    :ivar limited_until: until when nothing more is to be had.
    :ivar unanswered: whether that is so since no host answers that counts.
    :ivar demand: operations per second of late.
    :ivar waiting: operations that wait for a grant.
    :ivar owner: the host that granted last.
    :ivar untold: operations that others have granted since, by host that has granted
        some before.
    :ivar asking: the question in progress.
    """

    __slots__ = (
        "left",
        "until",
        "limited_until",
        "unanswered",
        "demand",
        "seen_at",
        "waiting",
        "owner",
        "untold",
        "asking",
    )

    def __init__(self, now: float) -> None:
        self.left = 0
        self.until = now
        self.limited_until = now
        self.unanswered = False
        self.demand = 0.0
        self.seen_at = now
        self.waiting = 0
        self.owner = ""
        self.untold: dict[str, int] = {}
        self.asking: asyncio.Task[None] | None = None

    def arrive(self, now: float) -> None:
        """Take note of an operation."""
        fading = math.exp((self.seen_at - now) / MEMORY)
        self.demand = self.demand * fading + 1.0 / MEMORY
        self.seen_at = now

    def take(self, now: float) -> bool:
        """Admit an operation; return whether one was left."""
        if self.left < 1 or now > self.until:
            return False
        self.left -= 1
        return True

    def void(self, now: float) -> int:
        """Return how many of those left are void now, which are given up."""
        if now <= self.until:
            return 0
        unused, self.left = self.left, 0
        return unused

    def granted(self, owner: str, count: int, until: float) -> None:
        """Take a portion over."""
        self.left += count
        self.until = until
        self.owner = owner
        for other in self.untold:
            self.untold[other] += count
        self.untold[owner] = 0
