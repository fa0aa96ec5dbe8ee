"""Fair, bounded queue in front of the slots of one target.

Classes share the slots by weight and callers of one class share equally, both
by the measured time in slots (start-time fair queueing), so that a caller
with long statements pays for their length.
"""

import asyncio
import random
from typing import Final

from ..clock import Clock
from .refusal import Reason, Refusal, not_run
from .share import Entry, Share

WEIGHTS: Final = (16.0, 4.0, 1.0)
"""Shares of the classes; a priority beyond the last counts as the last."""

SMOOTHING: Final = 0.1
"""Weight of the newest sample in the mean service time."""

RETRY_SPREAD: Final = 0.25
"""Share by which a hint to come back varies, so that callers spread out."""

LONG_SERVICE: Final = 0.05
"""Mean service in seconds from which the last class may not take all slots."""

RECENT: Final = 60.0
"""Seconds for which a more important arrival keeps one slot from them."""


class SlotQueue:
    """Let at most `capacity` statements through at a time.

    :param capacity: statements that hold a slot at a time.
    :param limit: statements that may wait.
    :ivar busy: slots in use.
    :ivar queued: statements that wait.
    """

    __slots__ = (
        "capacity",
        "limit",
        "clock",
        "random",
        "busy",
        "queued",
        "shares",
        "now",
        "mean",
    )

    def __init__(
        self, capacity: int, limit: int, clock: Clock, random: random.Random
    ) -> None:
        self.capacity = capacity
        self.limit = limit
        self.clock = clock
        self.random = random
        self.busy = 0
        self.queued = 0
        self.shares = [Share(rank, weight) for rank, weight in enumerate(WEIGHTS)]
        self.now = 0.0
        self.mean = 0.0

    async def enter(self, caller: str, priority: int, remaining: float) -> Entry:
        """Wait for a slot for at most `remaining` seconds.

        :raises Refusal: not run, if the statement would miss its deadline,
            has missed it, or was pushed out of a full queue.
        """
        entry = self.try_enter(caller, priority, remaining)
        if entry is not None:
            return entry
        return await self.wait_turn(caller, priority, remaining)

    def try_enter(self, caller: str, priority: int, remaining: float) -> Entry | None:
        """Return a slot if one is free and nobody waits, else None."""
        share = self.share(priority)
        now = self.clock.monotonic()
        share.arrived = now
        if self.queued or not self.admits(share, now):
            return None
        entry = Entry(share.flow(caller), now + remaining)
        self.start(entry, now)
        return entry

    def leave(self, entry: Entry) -> None:
        """Give the slot back and hand it to the next statement."""
        assert entry.started is not None
        now = self.clock.monotonic()
        self.account(entry, now - entry.started)
        entry.flow.share.busy -= 1
        self.busy -= 1
        if self.queued:
            self.dispatch(now)

    def abandon(self, entry: Entry) -> None:
        """Give back a slot that was granted and never used."""
        flow = entry.flow
        flow.tag -= entry.charged
        flow.share.tag -= entry.charged / flow.share.weight
        flow.share.busy -= 1
        self.busy -= 1
        if self.queued:
            self.dispatch(self.clock.monotonic())

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuse all that wait."""
        for share in self.shares:
            for flow in share.waiting_flows():
                while flow.waiting:
                    self.drop(flow.waiting[-1], refusal)

    def expected_wait(self, caller: str, priority: int) -> float:
        """Return the expected wait of a new statement in seconds."""
        share = self.share(priority)
        if not share.queued and self.admits(share, self.clock.monotonic()):
            return 0.0
        own = share.ahead(caller) * share.mean
        work = self.mean + own
        for other in self.shares:
            if other is not share and other.queued:
                turn = (own + share.mean) * other.weight / share.weight
                work += min(other.queued * other.mean, turn)
        return work / self.capacity

    def retry_after_ms(self) -> int:
        """Return when the waiting statements will have drained, with a spread."""
        drain = (self.queued + 1) * self.mean / self.capacity
        spread = self.random.uniform(1.0 - RETRY_SPREAD, 1.0 + RETRY_SPREAD)
        return max(int(drain * spread * 1000.0), 1)

    def share(self, priority: int) -> Share:
        """Return the share of a class; lower priorities run first."""
        return self.shares[min(max(priority, 0), len(self.shares) - 1)]

    def admits(self, share: Share, now: float) -> bool:
        """Say whether a statement of the class may take a free slot.

        Long statements of the last class could hold every slot for a long
        time, which no order of the queue can mend; one slot is kept from
        them while more important work arrives.
        """
        if self.busy >= self.capacity:
            return False
        if share.rank + 1 < len(self.shares):
            return True
        if share.busy + 1 < self.capacity or self.capacity == 1:
            return True
        if 0.0 < share.mean < LONG_SERVICE:
            return True
        recent = now - RECENT
        return all(other.arrived < recent for other in self.shares[:-1])

    def refuse_hopeless(self, caller: str, priority: int, remaining: float) -> None:
        """Refuse a statement that would miss its deadline in the queue."""
        if remaining <= 0.0:
            detail = "The deadline has passed."
            raise not_run(Reason.DEADLINE, detail, self.retry_after_ms())
        expected = self.expected_wait(caller, priority) + self.share(priority).mean
        if expected > remaining:
            detail = "The expected wait exceeds the time left."
            raise not_run(Reason.OVERLOADED, detail, self.retry_after_ms())

    async def wait_turn(self, caller: str, priority: int, remaining: float) -> Entry:
        """Queue until a slot is granted; raises as `enter`."""
        self.refuse_hopeless(caller, priority, remaining)
        loop = asyncio.get_running_loop()
        share = self.share(priority)
        flow = share.flow(caller)
        entry = Entry(flow, self.clock.monotonic() + remaining)
        entry.granted = loop.create_future()
        entry.timer = loop.call_later(remaining, self.expire, entry)
        self.push(entry)
        if self.busy < self.capacity:
            self.dispatch(self.clock.monotonic())
        try:
            await entry.granted
        except asyncio.CancelledError:
            self.cancelled(entry)
            raise
        finally:
            entry.timer.cancel()
        return entry

    def push(self, entry: Entry) -> None:
        """Append the entry; a full queue loses its least important one."""
        flow = entry.flow
        share = flow.share
        if not share.queued:
            share.tag = max(share.tag, self.now)
        if not flow.waiting:
            flow.tag = max(flow.tag, share.now)
        flow.waiting.append(entry)
        share.queued += 1
        self.queued += 1
        if self.queued > self.limit:
            detail = "The queue is full."
            refusal = not_run(Reason.OVERLOADED, detail, self.retry_after_ms())
            self.drop(self.least_important(), refusal)

    def least_important(self) -> Entry:
        """Return the newest entry of the most loaded caller of the last class."""
        share = next(share for share in reversed(self.shares) if share.queued)
        flow = max(share.waiting_flows(), key=lambda flow: len(flow.waiting))
        return flow.waiting[-1]

    def expire(self, entry: Entry) -> None:
        """Drop an entry whose deadline passes."""
        detail = "The deadline passed in the queue."
        self.drop(entry, not_run(Reason.DEADLINE, detail, self.retry_after_ms()))

    def cancelled(self, entry: Entry) -> None:
        """Forget an entry whose caller is gone, or pass its slot on."""
        if entry.started is not None:
            self.abandon(entry)
            return
        if entry in entry.flow.waiting:
            self.remove(entry)

    def drop(self, entry: Entry, refusal: Refusal) -> None:
        """Take an entry out of the queue and refuse it now."""
        self.remove(entry)
        if entry.granted is not None and not entry.granted.done():
            entry.granted.set_exception(refusal)

    def remove(self, entry: Entry) -> None:
        """Take an entry out of the queue."""
        entry.flow.waiting.remove(entry)
        entry.flow.share.queued -= 1
        self.queued -= 1

    def dispatch(self, now: float) -> None:
        """Hand free slots to waiting statements."""
        while self.queued:
            entry = self.next_entry(now)
            if entry is None:
                return
            assert entry.granted is not None
            if self.too_late(entry, now):
                self.expire(entry)
                continue
            self.remove(entry)
            if entry.granted.done():
                continue
            self.start(entry, now)
            entry.granted.set_result(None)

    def next_entry(self, now: float) -> Entry | None:
        """Return the entry whose turn it is, or None if no slot is for it."""
        shares = [one for one in self.shares if one.queued and self.admits(one, now)]
        if not shares:
            return None
        share = min(shares, key=lambda share: share.tag)
        flow = min(share.waiting_flows(), key=lambda flow: flow.tag)
        return flow.waiting[0]

    def too_late(self, entry: Entry, now: float) -> bool:
        """Say whether the slot serves another statement better.

        A statement that is likely to miss its deadline would waste its slot.
        The last one in the queue always runs, so that the measured service
        time can never refuse everything.
        """
        return self.queued > 1 and entry.deadline - now < entry.flow.share.mean

    def start(self, entry: Entry, now: float) -> None:
        """Take a slot and charge the expected time in advance."""
        flow = entry.flow
        share = flow.share
        share.tag = self.now = max(share.tag, self.now)
        flow.tag = share.now = max(flow.tag, share.now)
        entry.started = now
        entry.charged = share.mean
        share.tag += share.mean / share.weight
        flow.tag += share.mean
        share.busy += 1
        self.busy += 1

    def account(self, entry: Entry, seconds: float) -> None:
        """Charge the time that the statement took and learn from it."""
        flow = entry.flow
        share = flow.share
        rest = seconds - entry.charged
        flow.tag += rest
        share.tag += rest / share.weight
        share.mean = smoothed(share.mean, seconds)
        self.mean = smoothed(self.mean, seconds)


def smoothed(mean: float, sample: float) -> float:
    """Return the moving mean after `sample`."""
    if mean == 0.0:
        return sample
    return mean + SMOOTHING * (sample - mean)
