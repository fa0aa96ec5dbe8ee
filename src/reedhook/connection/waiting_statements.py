"""The statements that wait for a target, in the order in which they are to run."""

from bisect import insort
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from random import Random
from typing import Final

from .admission import REPLICA_LANE, Admission
from .fair_share import LANES, FairShare
from .summed_skip_list import SummedSkipList

SEED: Final = 1
"""Seed of the random levels of skip lists, which decide nothing but their speed."""

REPLICA_LANES: Final = sum(1 << lane for lane in range(LANES) if lane & REPLICA_LANE)
"""Bit mask of the lanes of reads that a replica could take."""

MIN_HEAP: Final = 64
"""Heap entries below which those of statements that have left are not dropped."""


class WaitingStatements:
    """Order waiting statements: open transactions, priorities, workspaces, duration.

    Late statements come last.

    :ivar priorities: the priorities that have been used, highest first.
    """

    __slots__ = (
        "random",
        "in_transaction",
        "levels",
        "priorities",
        "late",
        "becoming_late",
        "count",
    )

    def __init__(self) -> None:
        self.random = Random(SEED)
        self.in_transaction: SummedSkipList[Admission] = SummedSkipList(self.random)
        self.levels: dict[int, FairShare[Admission]] = {}
        self.priorities: list[int] = []
        self.late: FairShare[Admission] = FairShare(self.random)
        self.becoming_late: list[tuple[float, int, Admission]] = []
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[Admission]:
        yield from self.in_transaction
        for share in self.shares():
            for flow in share.flows.values():
                for lane in flow.lanes or ():
                    yield from lane or ()

    def shares(self) -> Iterator[FairShare[Admission]]:
        """Return an iterator over the statements outside transactions, by rank."""
        for priority in self.priorities:
            yield self.levels[priority]
        yield self.late

    def level(self, priority: int) -> FairShare[Admission]:
        """Return the statements of one priority that are not late."""
        level = self.levels.get(priority)
        if level is None:
            level = self.levels[priority] = FairShare(self.random)
            insort(self.priorities, priority)
        return level

    def share(self, admission: Admission, late: bool) -> FairShare[Admission]:
        """Return the statements among which one waits or has started."""
        return self.late if late else self.level(admission.request.priority)

    def add(self, admission: Admission, now: float) -> None:
        """Add a statement."""
        admission.waits = True
        self.count += 1
        if admission.request.in_transaction:
            key = (admission.arrived_at, admission.number)
            self.in_transaction.add(key, admission.expected_seconds, admission)
            return
        admission.waits_late = admission.is_late(now)
        self.place(admission)
        if not admission.waits_late:
            self.watch(admission)

    def remove(self, admission: Admission) -> None:
        """Remove a statement that waits."""
        admission.waits = False
        self.count -= 1
        if admission.request.in_transaction:
            key = (admission.arrived_at, admission.number)
            self.in_transaction.remove(key, admission.expected_seconds)
            return
        share = self.share(admission, admission.waits_late)
        share.remove(admission.place(admission.waits_late))

    def place(self, admission: Admission) -> None:
        """Add a statement outside transactions to its share."""
        share = self.share(admission, admission.waits_late)
        share.add(admission.place(admission.waits_late), admission)

    def watch(self, admission: Admission) -> None:
        """Note when a statement becomes late."""
        late_at = admission.request.soft_deadline - admission.expected_seconds
        heappush(self.becoming_late, (late_at, admission.number, admission))
        if len(self.becoming_late) > 2 * self.count + MIN_HEAP:
            self.becoming_late = [
                entry for entry in self.becoming_late if entry[2].waits
            ]
            heapify(self.becoming_late)

    def update_late(self, now: float) -> None:
        """Move the statements that have become late behind the others."""
        heap = self.becoming_late
        while heap:
            admission = heap[0][2]
            if admission.waits and not admission.is_late(now):
                return
            heappop(heap)
            if admission.waits:
                share = self.level(admission.request.priority)
                share.remove(admission.place(False))
                admission.waits_late = True
                self.place(admission)

    def first(self, blocked_lanes: int) -> Admission | None:
        """Return the first statement outside transactions, or None."""
        for share in self.shares():
            if share.count:
                admission = share.first(blocked_lanes)
                if admission is not None:
                    return admission
        return None

    def first_below(self, priority: int, blocked_lanes: int) -> Admission | None:
        """Return the first statement of a lower priority that is not late, or None."""
        for lower in self.priorities:
            if lower > priority and self.levels[lower].count:
                admission = self.levels[lower].first(blocked_lanes)
                if admission is not None:
                    return admission
        return None

    def before(self, admission: Admission, now: float) -> tuple[int, float]:
        """Return how many statements are expected to go before one, and their
        seconds; call `update_late` first."""
        late = admission.is_late(now)
        count = len(self.in_transaction)
        seconds = self.in_transaction.total_seconds
        for priority in self.priorities:
            if not late and priority >= admission.request.priority:
                break
            count += self.levels[priority].count
            seconds += self.levels[priority].seconds
        share = self.share(admission, late)
        own_count, own_seconds = share.before(admission.place(late), admission.waits)
        return count + own_count, seconds + own_seconds

    def lower_before(self, admission: Admission) -> float:
        """Return the seconds of statements below the highest waiting priority that are
        expected to go before one that is not late."""
        priority = admission.request.priority
        waiting = [one for one in self.priorities if self.levels[one].count]
        seconds = sum(self.levels[one].seconds for one in waiting[1:] if one < priority)
        level = self.level(priority)
        return seconds + level.before(admission.place(False), admission.waits)[1]

    def reads_before(self, admission: Admission, now: float) -> float:
        """Return the seconds of reads that a replica could take and that are expected
        to go before one of them, of its own priority."""
        late = admission.is_late(now)
        share = self.share(admission, late)
        return share.before(admission.place(late), admission.waits, REPLICA_LANES)[1]

    def backlog(self, admission: Admission) -> float:
        """Return the seconds of the statements that are served until all of the
        workspace have been, without the given one."""
        request = admission.request
        seconds = self.in_transaction.total_seconds
        for share in self.shares():
            if share.count:
                seconds += share.backlog(
                    request.workspace, request.weight, admission.expected_seconds
                )
        return seconds - admission.expected_seconds * admission.waits
