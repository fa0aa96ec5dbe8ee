"""Durable position of a group, and the writes that wait for it."""

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
    """Return the last position of `term` that is durable on a majority.

    A member counts if it held an entry of `term` while it had promised no
    higher term. Any majority that promises a higher term then includes a member
    whose answer shows the entry. Old states may be used, as this stays true.

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
    """Track the durable position of the current term and wake the waiters.

    :ivar term: the highest leader term known.
    :ivar watermark: the last position known to be durable.
    :ivar waiters: heap of position, serial number and future.
    :ivar prune_at: number of waiters from which abandoned ones are dropped.
    """

    __slots__ = ("term", "watermark", "waiters", "sequence", "prune_at")

    def __init__(self) -> None:
        self.term = 0
        self.watermark = ORIGIN
        self.waiters: list[tuple[Position, int, DurabilityWaiter]] = []
        self.sequence = count()
        self.prune_at = WAITER_PRUNE_LIMIT

    def is_durable(self, position: Position) -> bool:
        """Return whether `position` is known to be durable.

        A watermark of a later term proves nothing about the last entries of an
        earlier term, which the later primary may lack.
        """
        return position.term == self.watermark.term and self.watermark.covers(position)

    def is_superseded(self, position: Position) -> bool:
        """Return whether a later term began before `position` became durable."""
        return position.term < self.term and not self.is_durable(position)

    def advance(self, watermark: Position) -> bool:
        """Record that `watermark` is durable; return whether it advanced."""
        if watermark <= self.watermark:
            return False
        self.watermark = watermark
        self.enter_term(watermark.term)
        while self.waiters and self.waiters[0][0] <= watermark:
            position, _, waiter = heapq.heappop(self.waiters)
            resolve_waiter(waiter, position.term == watermark.term)
        return True

    def enter_term(self, term: int) -> None:
        """Record a leader term; waits for positions of lower terms fail at once."""
        if term <= self.term:
            return
        self.term = term
        while self.waiters and self.waiters[0][0].term < term:
            resolve_waiter(heapq.heappop(self.waiters)[2], False)

    def has_waiters(self) -> bool:
        """Return whether any write waits for durability."""
        return any(not waiter.done() for _, _, waiter in self.waiters)

    def abandon_waits(self) -> None:
        """Fail all waits, because no majority is reachable."""
        waiters, self.waiters = self.waiters, []
        for _, _, waiter in waiters:
            resolve_waiter(waiter, False)

    async def wait(self, position: Position, timeout: float) -> bool:
        """Wait until `position` is durable.

        :returns: False once `position` is superseded or all waits are abandoned.

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
        """Queue `waiter`; drop the timed-out waiters once the queue is long."""
        if len(self.waiters) >= self.prune_at:
            self.waiters = [entry for entry in self.waiters if not entry[2].done()]
            heapq.heapify(self.waiters)
            self.prune_at = max(WAITER_PRUNE_LIMIT, 2 * len(self.waiters))
        heapq.heappush(self.waiters, (position, next(self.sequence), waiter))


def resolve_waiter(waiter: DurabilityWaiter, durable: bool) -> None:
    """Set the result of `waiter` unless it has timed out."""
    if not waiter.done():
        waiter.set_result(durable)
