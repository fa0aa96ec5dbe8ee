"""What the home of a target may admit of one workspace's operations."""

import asyncio
import math
from typing import Final

DEMAND_AVERAGE_SECONDS: Final = 3.0
"""Seconds over which the demand of a workspace is averaged; longer than most grants
last, so that one operation is not taken for a stream of them."""


class OperationAllowance:
    """Keep what may be admitted of one workspace.

    :ivar left: operations.
    :ivar until: when they are void, by `Clock.boottime`.
    :ivar limited_until: until when nothing more is to be had.
    :ivar owner_unreachable: whether that is so since no host answers that counts.
    :ivar demand: operations per second of late.
    :ivar waiting: operations that wait for a grant.
    :ivar owner: the host that granted last.
    :ivar unreported: operations that others have granted since, by host that has
        granted
        some before.
    :ivar request_task: the question in progress.
    """

    __slots__ = (
        "left",
        "until",
        "limited_until",
        "owner_unreachable",
        "demand",
        "seen_at",
        "waiting",
        "owner",
        "unreported",
        "request_task",
    )

    def __init__(self, now: float) -> None:
        self.left = 0
        self.until = now
        self.limited_until = now
        self.owner_unreachable = False
        self.demand = 0.0
        self.seen_at = now
        self.waiting = 0
        self.owner = ""
        self.unreported: dict[str, int] = {}
        self.request_task: asyncio.Task[None] | None = None

    def record_operation(self, now: float) -> None:
        """Take note of an operation."""
        fading = math.exp((self.seen_at - now) / DEMAND_AVERAGE_SECONDS)
        self.demand = self.demand * fading + 1.0 / DEMAND_AVERAGE_SECONDS
        self.seen_at = now

    def try_admit(self, now: float) -> bool:
        """Admit an operation; return whether one was left."""
        if self.left < 1 or now > self.until:
            return False
        self.left -= 1
        return True

    def discard_expired(self, now: float) -> int:
        """Return how many of those left are void now, which are given up."""
        if now <= self.until:
            return 0
        unused, self.left = self.left, 0
        return unused

    def add_grant(self, owner: str, count: int, until: float) -> None:
        """Take a portion over."""
        self.left += count
        self.until = until
        self.owner = owner
        for other in self.unreported:
            self.unreported[other] += count
        self.unreported[owner] = 0
