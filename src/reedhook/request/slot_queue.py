"""Fair, bounded queue in front of the slots of one target.

Classes share the slots by weight and callers of one class share equally, both
by the measured time in slots (start-time fair queueing), so that a caller
with long statements pays for their length.
"""

import asyncio
import random
from typing import Final

from ..clock import Clock
from .priority_class import PriorityClass, QueueEntry
from .refusal import RefusalError, RefusalReason, not_run

CLASS_WEIGHTS: Final = (16.0, 4.0, 1.0)
"""Shares of the classes; a priority beyond the last counts as the last."""

SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest sample in the mean service time."""

RETRY_JITTER_FRACTION: Final = 0.25
"""Share by which a hint to come back varies, so that callers spread out."""

LONG_SERVICE_SECONDS: Final = 0.05
"""Mean service in seconds from which the last class may not take all slots."""

RECENT_ARRIVAL_SECONDS: Final = 60.0
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
        "priority_classes",
        "virtual_time",
        "mean_service_seconds",
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
        self.priority_classes = [
            PriorityClass(rank, weight) for rank, weight in enumerate(CLASS_WEIGHTS)
        ]
        self.virtual_time = 0.0
        self.mean_service_seconds = 0.0

    async def acquire(self, caller: str, priority: int, remaining: float) -> QueueEntry:
        """Wait for a slot for at most `remaining` seconds.

        :raises Refusal: not run, if the statement would miss its deadline,
            has missed it, or was pushed out of a full queue.
        """
        entry = self.try_acquire(caller, priority, remaining)
        if entry is not None:
            return entry
        return await self.wait_for_slot(caller, priority, remaining)

    def try_acquire(
        self, caller: str, priority: int, remaining: float
    ) -> QueueEntry | None:
        """Return a slot if one is free and nobody waits, else None."""
        share = self.priority_class(priority)
        now = self.clock.monotonic()
        share.last_arrival_at = now
        if self.queued or not self.admits(share, now):
            return None
        entry = QueueEntry(share.flow(caller), now + remaining)
        self.start(entry, now)
        return entry

    def release(self, entry: QueueEntry) -> None:
        """Give the slot back and hand it to the next statement."""
        assert entry.started_at is not None
        now = self.clock.monotonic()
        self.record_service_time(entry, now - entry.started_at)
        entry.flow.priority_class.busy -= 1
        self.busy -= 1
        if self.queued:
            self.dispatch(now)

    def abandon(self, entry: QueueEntry) -> None:
        """Give back a slot that was granted and never used."""
        flow = entry.flow
        flow.tag -= entry.charged_seconds
        flow.priority_class.tag -= entry.charged_seconds / flow.priority_class.weight
        flow.priority_class.busy -= 1
        self.busy -= 1
        if self.queued:
            self.dispatch(self.clock.monotonic())

    def refuse_waiting(self, refusal: RefusalError) -> None:
        """Refuse all that wait."""
        for share in self.priority_classes:
            for flow in share.waiting_flows():
                while flow.waiting:
                    self.drop(flow.waiting[-1], refusal)

    def expected_wait(self, caller: str, priority: int) -> float:
        """Return the expected wait of a new statement in seconds."""
        share = self.priority_class(priority)
        if not share.queued and self.admits(share, self.clock.monotonic()):
            return 0.0
        own = share.count_ahead(caller) * share.mean_service_seconds
        work = self.mean_service_seconds + own
        for other in self.priority_classes:
            if other is not share and other.queued:
                turn = (own + share.mean_service_seconds) * other.weight / share.weight
                work += min(other.queued * other.mean_service_seconds, turn)
        return work / self.capacity

    def retry_after_ms(self) -> int:
        """Return when the waiting statements will have drained, with a spread."""
        drain = (self.queued + 1) * self.mean_service_seconds / self.capacity
        spread = self.random.uniform(
            1.0 - RETRY_JITTER_FRACTION, 1.0 + RETRY_JITTER_FRACTION
        )
        return max(int(drain * spread * 1000.0), 1)

    def priority_class(self, priority: int) -> PriorityClass:
        """Return the share of a class; lower priorities run first."""
        return self.priority_classes[
            min(max(priority, 0), len(self.priority_classes) - 1)
        ]

    def admits(self, priority_class: PriorityClass, now: float) -> bool:
        """Say whether a statement of the class may take a free slot.

        Long statements of the last class could hold every slot for a long
        time, which no order of the queue can mend; one slot is kept from
        them while more important work arrives.
        """
        if self.busy >= self.capacity:
            return False
        if priority_class.rank + 1 < len(self.priority_classes):
            return True
        if priority_class.busy + 1 < self.capacity or self.capacity == 1:
            return True
        if 0.0 < priority_class.mean_service_seconds < LONG_SERVICE_SECONDS:
            return True
        recent = now - RECENT_ARRIVAL_SECONDS
        return all(
            other.last_arrival_at < recent for other in self.priority_classes[:-1]
        )

    def check_deadline(self, caller: str, priority: int, remaining: float) -> None:
        """Refuse a statement that would miss its deadline in the queue."""
        if remaining <= 0.0:
            detail = "The deadline has passed."
            raise not_run(RefusalReason.DEADLINE, detail, self.retry_after_ms())
        expected = (
            self.expected_wait(caller, priority)
            + self.priority_class(priority).mean_service_seconds
        )
        if expected > remaining:
            detail = "The expected wait exceeds the time left."
            raise not_run(RefusalReason.OVERLOADED, detail, self.retry_after_ms())

    async def wait_for_slot(
        self, caller: str, priority: int, remaining: float
    ) -> QueueEntry:
        """Queue until a slot is granted; raises as `enter`."""
        self.check_deadline(caller, priority, remaining)
        loop = asyncio.get_running_loop()
        share = self.priority_class(priority)
        flow = share.flow(caller)
        entry = QueueEntry(flow, self.clock.monotonic() + remaining)
        entry.granted = loop.create_future()
        entry.timer = loop.call_later(remaining, self.expire, entry)
        self.push(entry)
        if self.busy < self.capacity:
            self.dispatch(self.clock.monotonic())
        try:
            await entry.granted
        except asyncio.CancelledError:
            self.handle_cancellation(entry)
            raise
        finally:
            entry.timer.cancel()
        return entry

    def push(self, entry: QueueEntry) -> None:
        """Append the entry; a full queue loses its least important one."""
        flow = entry.flow
        share = flow.priority_class
        if not share.queued:
            share.tag = max(share.tag, self.virtual_time)
        if not flow.waiting:
            flow.tag = max(flow.tag, share.virtual_time)
        flow.waiting.append(entry)
        share.queued += 1
        self.queued += 1
        if self.queued > self.limit:
            detail = "The queue is full."
            refusal = not_run(RefusalReason.OVERLOADED, detail, self.retry_after_ms())
            self.drop(self.least_important(), refusal)

    def least_important(self) -> QueueEntry:
        """Return the newest entry of the most loaded caller of the last class."""
        share = next(share for share in reversed(self.priority_classes) if share.queued)
        flow = max(share.waiting_flows(), key=lambda flow: len(flow.waiting))
        return flow.waiting[-1]

    def expire(self, entry: QueueEntry) -> None:
        """Drop an entry whose deadline passes."""
        detail = "The deadline passed in the queue."
        self.drop(entry, not_run(RefusalReason.DEADLINE, detail, self.retry_after_ms()))

    def handle_cancellation(self, entry: QueueEntry) -> None:
        """Forget an entry whose caller is gone, or pass its slot on."""
        if entry.started_at is not None:
            self.abandon(entry)
            return
        if entry in entry.flow.waiting:
            self.remove(entry)

    def drop(self, entry: QueueEntry, refusal: RefusalError) -> None:
        """Take an entry out of the queue and refuse it now."""
        self.remove(entry)
        if entry.granted is not None and not entry.granted.done():
            entry.granted.set_exception(refusal)

    def remove(self, entry: QueueEntry) -> None:
        """Take an entry out of the queue."""
        entry.flow.waiting.remove(entry)
        entry.flow.priority_class.queued -= 1
        self.queued -= 1

    def dispatch(self, now: float) -> None:
        """Hand free slots to waiting statements."""
        while self.queued:
            entry = self.next_entry(now)
            if entry is None:
                return
            assert entry.granted is not None
            if self.would_miss_deadline(entry, now):
                self.expire(entry)
                continue
            self.remove(entry)
            if entry.granted.done():
                continue
            self.start(entry, now)
            entry.granted.set_result(None)

    def next_entry(self, now: float) -> QueueEntry | None:
        """Return the entry whose turn it is, or None if no slot is for it."""
        shares = [
            one for one in self.priority_classes if one.queued and self.admits(one, now)
        ]
        if not shares:
            return None
        share = min(shares, key=lambda share: share.tag)
        flow = min(share.waiting_flows(), key=lambda flow: flow.tag)
        return flow.waiting[0]

    def would_miss_deadline(self, entry: QueueEntry, now: float) -> bool:
        """Say whether the slot serves another statement better.

        A statement that is likely to miss its deadline would waste its slot.
        The last one in the queue always runs, so that the measured service
        time can never refuse everything.
        """
        return (
            self.queued > 1
            and entry.deadline - now < entry.flow.priority_class.mean_service_seconds
        )

    def start(self, entry: QueueEntry, now: float) -> None:
        """Take a slot and charge the expected time in advance."""
        flow = entry.flow
        share = flow.priority_class
        share.tag = self.virtual_time = max(share.tag, self.virtual_time)
        flow.tag = share.virtual_time = max(flow.tag, share.virtual_time)
        entry.started_at = now
        entry.charged_seconds = share.mean_service_seconds
        share.tag += share.mean_service_seconds / share.weight
        flow.tag += share.mean_service_seconds
        share.busy += 1
        self.busy += 1

    def record_service_time(self, entry: QueueEntry, seconds: float) -> None:
        """Charge the time that the statement took and learn from it."""
        flow = entry.flow
        share = flow.priority_class
        rest = seconds - entry.charged_seconds
        flow.tag += rest
        share.tag += rest / share.weight
        share.mean_service_seconds = smoothed(share.mean_service_seconds, seconds)
        self.mean_service_seconds = smoothed(self.mean_service_seconds, seconds)


def smoothed(mean: float, sample: float) -> float:
    """Return the moving mean after `sample`."""
    if mean == 0.0:
        return sample
    return mean + SMOOTHING_FACTOR * (sample - mean)
