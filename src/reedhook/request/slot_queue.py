"""Fair, bounded queue for the slots of one target.

Start-time fair queueing on the time spent in slots: classes share it by weight,
the callers of one class share it equally. A caller with long statements therefore
gets fewer of them.
"""

import asyncio
import random
from typing import Final

from ..clock import Clock
from .priority_class import PriorityClass, QueueEntry
from .refusal import RefusalError, RefusalReason, not_run

CLASS_WEIGHTS: Final = (16.0, 4.0, 1.0)
"""Weights by class; a priority beyond the last class counts as the last class."""

SMOOTHING_FACTOR: Final = 0.1
"""Weight of the newest sample in the mean service time."""

RETRY_JITTER_FRACTION: Final = 0.25

LONG_SERVICE_SECONDS: Final = 0.05
"""Mean service time from which the last class may not take all slots."""

RECENT_ARRIVAL_SECONDS: Final = 60.0
"""Time after an arrival in another class during which one slot is reserved."""


class SlotQueue:
    """Admit at most `capacity` statements at a time.

    :param capacity: the number of slots.
    :param limit: the maximum number of waiting statements.
    :ivar busy: slots in use.
    :ivar queued: waiting statements.
    :ivar virtual_time: the tag of the class that was served last.
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

        :raises RefusalError: not run, if the statement has missed or would miss its
            deadline, or was dropped from a full queue.
        """
        entry = self.try_acquire(caller, priority, remaining)
        if entry is not None:
            return entry
        return await self.wait_for_slot(caller, priority, remaining)

    def try_acquire(
        self, caller: str, priority: int, remaining: float
    ) -> QueueEntry | None:
        """Return a slot if one is free and no statement waits, else None."""
        priority_class = self.priority_class(priority)
        now = self.clock.monotonic()
        priority_class.last_arrival_at = now
        if self.queued or not self.admits(priority_class, now):
            return None
        entry = QueueEntry(priority_class.flow(caller), now + remaining)
        self.start(entry, now)
        return entry

    def release(self, entry: QueueEntry) -> None:
        """Release a slot and grant it to the next statement."""
        assert entry.started_at is not None
        now = self.clock.monotonic()
        self.record_service_time(entry, now - entry.started_at)
        entry.flow.priority_class.busy -= 1
        self.busy -= 1
        if self.queued:
            self.dispatch(now)

    def abandon(self, entry: QueueEntry) -> None:
        """Release a slot that was granted but not used, without a charge."""
        flow = entry.flow
        flow.tag -= entry.charged_seconds
        flow.priority_class.tag -= entry.charged_seconds / flow.priority_class.weight
        flow.priority_class.busy -= 1
        self.busy -= 1
        if self.queued:
            self.dispatch(self.clock.monotonic())

    def refuse_waiting(self, refusal: RefusalError) -> None:
        """Refuse all waiting statements."""
        for priority_class in self.priority_classes:
            for flow in priority_class.waiting_flows():
                while flow.waiting:
                    self.drop(flow.waiting[-1], refusal)

    def expected_wait(self, caller: str, priority: int) -> float:
        """Return the expected wait of a new statement in seconds."""
        priority_class = self.priority_class(priority)
        if not priority_class.queued and self.admits(
            priority_class, self.clock.monotonic()
        ):
            return 0.0
        own_work = (
            priority_class.count_ahead(caller) * priority_class.mean_service_seconds
        )
        work = self.mean_service_seconds + own_work
        for other in self.priority_classes:
            if other is not priority_class and other.queued:
                competing_work = (
                    (own_work + priority_class.mean_service_seconds)
                    * other.weight
                    / priority_class.weight
                )
                work += min(other.queued * other.mean_service_seconds, competing_work)
        return work / self.capacity

    def retry_after_ms(self) -> int:
        """Return the expected time until the queue is empty, with jitter."""
        drain_seconds = (self.queued + 1) * self.mean_service_seconds / self.capacity
        jitter = self.random.uniform(
            1.0 - RETRY_JITTER_FRACTION, 1.0 + RETRY_JITTER_FRACTION
        )
        return max(int(drain_seconds * jitter * 1000.0), 1)

    def priority_class(self, priority: int) -> PriorityClass:
        """Return the class of a priority; lower priorities run first."""
        return self.priority_classes[
            min(max(priority, 0), len(self.priority_classes) - 1)
        ]

    def admits(self, priority_class: PriorityClass, now: float) -> bool:
        """Return whether a statement of the class may take a free slot.

        Long statements of the last class could occupy every slot, which queue order
        cannot prevent. One slot is therefore reserved while statements of other
        classes arrive.
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
        """Check that a statement can meet its deadline.

        :raises RefusalError: not run, if it would miss the deadline in the queue.
        """
        if remaining <= 0.0:
            detail = "The deadline has passed."
            raise not_run(RefusalReason.DEADLINE, detail, self.retry_after_ms())
        expected = (
            self.expected_wait(caller, priority)
            + self.priority_class(priority).mean_service_seconds
        )
        if expected > remaining:
            detail = "The expected wait exceeds the remaining time."
            raise not_run(RefusalReason.OVERLOADED, detail, self.retry_after_ms())

    async def wait_for_slot(
        self, caller: str, priority: int, remaining: float
    ) -> QueueEntry:
        """Queue until a slot is granted.

        :raises RefusalError: as `acquire`.
        """
        self.check_deadline(caller, priority, remaining)
        loop = asyncio.get_running_loop()
        priority_class = self.priority_class(priority)
        flow = priority_class.flow(caller)
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
        """Append an entry; if the queue is full, drop the least important one."""
        flow = entry.flow
        priority_class = flow.priority_class
        if not priority_class.queued:
            priority_class.tag = max(priority_class.tag, self.virtual_time)
        if not flow.waiting:
            flow.tag = max(flow.tag, priority_class.virtual_time)
        flow.waiting.append(entry)
        priority_class.queued += 1
        self.queued += 1
        if self.queued > self.limit:
            detail = "The queue is full."
            refusal = not_run(RefusalReason.OVERLOADED, detail, self.retry_after_ms())
            self.drop(self.least_important(), refusal)

    def least_important(self) -> QueueEntry:
        """Return the newest entry of the most loaded caller of the last class."""
        last_class = next(
            priority_class
            for priority_class in reversed(self.priority_classes)
            if priority_class.queued
        )
        flow = max(last_class.waiting_flows(), key=lambda flow: len(flow.waiting))
        return flow.waiting[-1]

    def expire(self, entry: QueueEntry) -> None:
        """Drop an entry whose deadline has passed or would be missed."""
        detail = "The deadline passed in the queue."
        self.drop(entry, not_run(RefusalReason.DEADLINE, detail, self.retry_after_ms()))

    def handle_cancellation(self, entry: QueueEntry) -> None:
        """Remove a cancelled entry, or release its slot if one was granted."""
        if entry.started_at is not None:
            self.abandon(entry)
            return
        if entry in entry.flow.waiting:
            self.remove(entry)

    def drop(self, entry: QueueEntry, refusal: RefusalError) -> None:
        """Remove an entry from the queue and refuse it."""
        self.remove(entry)
        if entry.granted is not None and not entry.granted.done():
            entry.granted.set_exception(refusal)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry from the queue."""
        entry.flow.waiting.remove(entry)
        entry.flow.priority_class.queued -= 1
        self.queued -= 1

    def dispatch(self, now: float) -> None:
        """Grant free slots to waiting statements."""
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
        """Return the next entry by fair order, or None if no class is admitted."""
        admitted = [
            priority_class
            for priority_class in self.priority_classes
            if priority_class.queued and self.admits(priority_class, now)
        ]
        if not admitted:
            return None
        next_class = min(admitted, key=lambda priority_class: priority_class.tag)
        flow = min(next_class.waiting_flows(), key=lambda flow: flow.tag)
        return flow.waiting[0]

    def would_miss_deadline(self, entry: QueueEntry, now: float) -> bool:
        """Return whether an entry is likely to miss its deadline in its slot.

        The last entry in the queue always runs, so that an outdated mean service time
        cannot refuse all statements.
        """
        return (
            self.queued > 1
            and entry.deadline - now < entry.flow.priority_class.mean_service_seconds
        )

    def start(self, entry: QueueEntry, now: float) -> None:
        """Occupy a slot and charge the mean service time in advance."""
        flow = entry.flow
        priority_class = flow.priority_class
        priority_class.tag = self.virtual_time = max(
            priority_class.tag, self.virtual_time
        )
        flow.tag = priority_class.virtual_time = max(
            flow.tag, priority_class.virtual_time
        )
        entry.started_at = now
        entry.charged_seconds = priority_class.mean_service_seconds
        priority_class.tag += (
            priority_class.mean_service_seconds / priority_class.weight
        )
        flow.tag += priority_class.mean_service_seconds
        priority_class.busy += 1
        self.busy += 1

    def record_service_time(self, entry: QueueEntry, seconds: float) -> None:
        """Charge the difference to the actual service time and update the means."""
        flow = entry.flow
        priority_class = flow.priority_class
        uncharged = seconds - entry.charged_seconds
        flow.tag += uncharged
        priority_class.tag += uncharged / priority_class.weight
        priority_class.mean_service_seconds = smoothed(
            priority_class.mean_service_seconds, seconds
        )
        self.mean_service_seconds = smoothed(self.mean_service_seconds, seconds)


def smoothed(mean: float, sample: float) -> float:
    """Return the exponential moving average after `sample`."""
    if mean == 0.0:
        return sample
    return mean + SMOOTHING_FACTOR * (sample - mean)
