"""Operations of one workspace that this host may admit."""

import asyncio
import math
from typing import Final

DEMAND_AVERAGE_SECONDS: Final = 3.0
"""Time constant of the demand average; longer than most grants last, so that one
operation does not count as a steady stream."""


class OperationAllowance:
    """Track the granted operations of one workspace.

    :ivar left: granted operations that are not used yet.
    :ivar until: when they expire, by `Clock.boottime`.
    :ivar limited_until: until when no further grant is requested.
    :ivar owner_unreachable: whether that is because no owner responded.
    :ivar demand: recent operations per second.
    :ivar waiting: number of operations waiting for a grant.
    :ivar owner: ID of the host that made the last grant.
    :ivar unreported: by earlier granting host, operations that other hosts have
        granted since its last grant.
    :ivar request_task: the grant request in progress.
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
        """Add an operation to the demand average."""
        decay = math.exp((self.seen_at - now) / DEMAND_AVERAGE_SECONDS)
        self.demand = self.demand * decay + 1.0 / DEMAND_AVERAGE_SECONDS
        self.seen_at = now

    def try_admit(self, now: float) -> bool:
        """Use one granted operation; return False if none is left."""
        if self.left < 1 or now > self.until:
            return False
        self.left -= 1
        return True

    def discard_expired(self, now: float) -> int:
        """Discard expired operations and return their number."""
        if now <= self.until:
            return 0
        unused, self.left = self.left, 0
        return unused

    def add_grant(self, owner: str, count: int, until: float) -> None:
        """Add the operations of a grant."""
        self.left += count
        self.until = until
        self.owner = owner
        for other in self.unreported:
            self.unreported[other] += count
        self.unreported[owner] = 0
