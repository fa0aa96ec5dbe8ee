"""One wait, shared by all writes, for a majority of members to hold them."""

import asyncio
import heapq
from collections.abc import Iterable
from itertools import count
from typing import Final, TypeAlias

from ...connection.target import MemberState
from ...request.position import ORIGIN, Position

WAITER_PRUNE_LIMIT: Final = 1024

DurabilityWaiter: TypeAlias = "asyncio.Future[bool]"


def durable_position(
    states: Iterable[MemberState], term: int, majority: int
) -> Position | None:
    """Return the last position of `term` that a majority holds for good.

    A member counts if it held an entry of `term` while it had promised no
    higher term: any majority that promises a higher one then holds a member
    whose answer shows the entry. This stays true of old states too.

    :returns: None if no majority holds an entry of `term`.
    """
    held = [
        state.held
        for state in states
        if state.promised == term and state.held.term == term
    ]
    if len(held) < majority:
        return None
    held.sort(reverse=True)
    return held[majority - 1]


class DurabilityTracker:
    """Know what is durable at the current term and wake those who wait.

    :ivar term: the highest leader term known.
    :ivar watermark: the last position known to be durable.
    """

    __slots__ = ("term", "watermark", "waiters", "order", "prune_at")

    def __init__(self) -> None:
        self.term = 0
        self.watermark = ORIGIN
        self.waiters: list[tuple[Position, int, DurabilityWaiter]] = []
        self.order = count()
        self.prune_at = WAITER_PRUNE_LIMIT

    def is_durable(self, position: Position) -> bool:
        """Say whether `position` is known to be durable.

        A mark of a later term says nothing of an earlier term's last entries,
        which the later primary may lack.
        """
        return position.term == self.watermark.term and self.watermark.covers(position)

    def is_superseded(self, position: Position) -> bool:
        """Say whether a later term leaves the fate of `position` unknown."""
        return position.term < self.term and not self.is_durable(position)

    def advance(self, watermark: Position) -> bool:
        """Take note that `mark` is durable; return whether that is news."""
        if watermark <= self.watermark:
            return False
        self.watermark = watermark
        self.enter_term(watermark.term)
        while self.waiters and self.waiters[0][0] <= watermark:
            position, _, waiter = heapq.heappop(self.waiters)
            resolve_waiter(waiter, position.term == watermark.term)
        return True

    def enter_term(self, term: int) -> None:
        """Take note of a leader term; waits of lower terms end at once."""
        if term <= self.term:
            return
        self.term = term
        while self.waiters and self.waiters[0][0].term < term:
            resolve_waiter(heapq.heappop(self.waiters)[2], False)

    def has_waiters(self) -> bool:
        """Say whether anybody waits for a position to become durable."""
        return any(not waiter.done() for _, _, waiter in self.waiters)

    def abandon_waits(self) -> None:
        """End all waits, as nothing becomes durable for some time."""
        waiters, self.waiters = self.waiters, []
        for _, _, waiter in waiters:
            resolve_waiter(waiter, False)

    async def wait(self, position: Position, timeout: float) -> bool:
        """Return True once `position` is durable, False if given up before.

        It is given up once superseded, or when all waits are abandoned.

        :raises TimeoutError: after `timeout` seconds.
        """
        if self.is_durable(position):
            return True
        if self.is_superseded(position):
            return False
        waiter: DurabilityWaiter = asyncio.get_running_loop().create_future()
        self.push(position, waiter)
        async with asyncio.timeout(timeout):
            return await waiter

    def push(self, position: Position, waiter: DurabilityWaiter) -> None:
        """Queue `waiter`, and drop those that gave up once they are many."""
        if len(self.waiters) >= self.prune_at:
            self.waiters = [one for one in self.waiters if not one[2].done()]
            heapq.heapify(self.waiters)
            self.prune_at = max(WAITER_PRUNE_LIMIT, 2 * len(self.waiters))
        heapq.heappush(self.waiters, (position, next(self.order), waiter))


def resolve_waiter(waiter: DurabilityWaiter, durable: bool) -> None:
    """Answer `waiter` unless it has given up."""
    if not waiter.done():
        waiter.set_result(durable)
