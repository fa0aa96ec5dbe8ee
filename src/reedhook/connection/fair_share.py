"""Weighted fair queueing among workspaces on measured slot time.

Start-time fair queueing: each workspace has a tag, the slot time per weight that it
has used so far. The waiting workspace with the lowest tag is served next. A workspace
that begins to wait starts at the virtual time, so that unused shares are not saved.
"""

from heapq import heapify, heappop, heappush
from random import Random
from typing import Final, Generic, TypeVar

from ..record import Record
from .backlog_sums import BacklogSums
from .summed_skip_list import SortKey, SummedSkipList

T = TypeVar("T")

WEIGHT_BY_PRIORITY: Final = (4.0, 2.0, 1.0)
"""Weight of a workspace of priority 0, 1, and 2 or beyond."""

MAX_PRIORITY: Final = len(WEIGHT_BY_PRIORITY) - 1
"""Priorities beyond have the weight of this one."""

LANES: Final = 4
"""Lanes of a workspace. A caller may block a lane, such as that of long statements."""

ALL_LANES: Final = (1 << LANES) - 1

MIN_FLOWS: Final = 64
"""Workspaces below which tags that have become irrelevant are not dropped."""

MIN_HEAP: Final = 64
"""Heap entries below which outdated ones are not dropped."""

AFTER_ALL: Final = float("inf")


class Place(Record):
    """Describe where an entry waits.

    :param lane: index of its lane.
    :param key: order within its workspace, unique.
    :param seconds: expected duration.
    """

    __slots__ = ("workspace", "weight", "lane", "key", "seconds")

    def __init__(
        self, workspace: str, weight: float, lane: int, key: SortKey, seconds: float
    ) -> None:
        self.workspace = workspace
        self.weight = weight
        self.lane = lane
        self.key = key
        self.seconds = seconds

    def bound(self) -> SortKey:
        """Return a key after this one and after all that equal it but for the last
        part, which only makes keys unique."""
        return (*self.key[:-1], AFTER_ALL)


class Flow(Generic[T]):
    """Keep the waiting entries of one workspace.

    :ivar tag: slot time used, per weight, in the virtual time of the share.
    :ivar lanes: the entries by lane; None while none waits.
    """

    __slots__ = ("weight", "tag", "lanes", "count", "seconds")

    def __init__(self, weight: float, tag: float) -> None:
        self.weight = weight
        self.tag = tag
        self.lanes: list[SummedSkipList[T] | None] | None = None
        self.count = 0
        self.seconds = 0.0

    def sum_up_to(self, key: SortKey, lanes: int = ALL_LANES) -> tuple[int, float]:
        """Return the number of entries with a key up to `key`, and their seconds.

        :param lanes: bit mask of the lanes that count.
        """
        count, seconds = 0, 0.0
        for number, lane in enumerate(self.lanes or ()):
            if lane and lanes >> number & 1:
                lane_count, lane_seconds = lane.sum_up_to(key)
                count += lane_count
                seconds += lane_seconds
        return count, seconds


class FairShare(Generic[T]):
    """Order the waiting entries of one priority.

    :ivar flows: workspaces that wait or have used more than the virtual time.
    :ivar virtual_time: the highest tag of a workspace that was served in its turn.
    :ivar waiting_flows: number of workspaces that wait.
    :ivar seconds: sum of the expected durations of all entries.
    """

    __slots__ = (
        "random",
        "flows",
        "heaps",
        "pushed",
        "virtual_time",
        "highest_tag",
        "sums",
        "waiting_flows",
        "count",
        "seconds",
        "flows_after_drop",
    )

    def __init__(self, random: Random) -> None:
        self.random = random
        self.flows: dict[str, Flow[T]] = {}
        self.heaps: list[list[tuple[float, int, Flow[T]]]] = [[] for _ in range(LANES)]
        self.pushed = 0
        self.virtual_time = 0.0
        self.highest_tag = 0.0
        self.sums = BacklogSums()
        self.waiting_flows = 0
        self.count = 0
        self.seconds = 0.0
        self.flows_after_drop = MIN_FLOWS

    def add(self, place: Place, item: T) -> None:
        """Add a waiting entry."""
        flow = self.flow(place.workspace, place.weight)
        if flow.lanes is None:
            flow.lanes = [None] * LANES
            flow.tag = max(flow.tag, self.virtual_time)
        lane = flow.lanes[place.lane]
        if lane is None:
            lane = flow.lanes[place.lane] = SummedSkipList(self.random)
        lane.add(place.key, place.seconds, item)
        self.change_backlog(flow, 1, place.seconds)
        if len(lane) == 1:
            self.push(place.lane, flow)

    def remove(self, place: Place) -> None:
        """Remove a waiting entry.

        :raises KeyError: if it does not wait.
        """
        flow = self.flows[place.workspace]
        lane = None if flow.lanes is None else flow.lanes[place.lane]
        if lane is None:
            raise KeyError(place.key)
        lane.remove(place.key, place.seconds)
        if not lane:
            assert flow.lanes is not None
            flow.lanes[place.lane] = None
        self.change_backlog(flow, -1, -place.seconds)
        if not flow.count:
            flow.lanes = None

    def first(self, blocked_lanes: int = 0) -> T | None:
        """Return the entry to be served next, or None.

        :param blocked_lanes: bit mask of the lanes to skip.
        """
        best: SummedSkipList[T] | None = None
        best_rank: tuple[float, SortKey] | None = None
        for number in range(LANES):
            if not self.heaps[number] or blocked_lanes >> number & 1:
                continue
            flow = self.top(number)
            if flow is None or flow.lanes is None:
                continue
            lane = flow.lanes[number]
            assert lane is not None
            rank = (flow.tag, lane.first_key())
            if best_rank is None or rank < best_rank:
                best, best_rank = lane, rank
        return None if best is None else best.first()

    def start(
        self, workspace: str, weight: float, seconds: float, in_turn: bool
    ) -> None:
        """Charge a workspace the expected slot time of an entry that starts.

        :param in_turn: whether the entry was the first in order, or no other waited.
        """
        if in_turn and not self.count:
            self.virtual_time = self.highest_tag
        flow = self.flow(workspace, weight)
        flow.tag = max(flow.tag, self.virtual_time)
        if in_turn:
            self.virtual_time = flow.tag
        self.charge(flow, seconds)

    def correct(self, workspace: str, weight: float, seconds: float) -> None:
        """Charge the difference between the measured and the expected slot time."""
        flow = self.flows.get(workspace)
        if flow is None and seconds <= 0.0:
            return
        self.charge(flow or self.flow(workspace, weight), seconds)

    def before(
        self, place: Place, waits: bool, lanes: int = ALL_LANES
    ) -> tuple[int, float]:
        """Return how many entries are expected to be served before one at `place`,
        and their seconds.

        Other workspaces count only with the share that they get meanwhile.

        :param waits: whether the entry itself waits here; it is not counted.
        :param lanes: bit mask of the lanes that count.
        """
        flow = self.flows.get(place.workspace)
        count, seconds = 0, 0.0
        if flow is not None:
            count, seconds = flow.sum_up_to(place.bound(), lanes)
        if waits:
            count, seconds = count - 1, seconds - place.seconds
        others = self.others_within(flow, (seconds + place.seconds) / place.weight)
        return count + others[0], seconds + others[1]

    def backlog(self, workspace: str, weight: float, seconds: float) -> float:
        """Return the seconds of entries that are served until all of a workspace and
        another one of `seconds` have been."""
        flow = self.flows.get(workspace)
        own = 0.0 if flow is None else flow.seconds
        return own + self.others_within(flow, (own + seconds) / weight)[1]

    def others_weight(self, workspace: str) -> float:
        """Return the weight of the other workspaces that wait."""
        if not self.waiting_flows:
            return 0.0
        flow = self.flows.get(workspace)
        own = flow.weight if flow is not None and flow.count else 0.0
        return self.sums.total_weight - own

    def others_within(
        self, flow: Flow[T] | None, seconds_per_weight: float
    ) -> tuple[int, float]:
        """Return the entries of all but one workspace that are served while each
        weight gets some seconds, and the sum of their durations."""
        waits = flow is not None and flow.count > 0
        if self.waiting_flows <= waits:
            return 0, 0.0
        if flow is not None and waits:
            self.sums.remove(flow.weight, flow.seconds)
        seconds = self.sums.served_within(seconds_per_weight)
        if flow is not None and waits:
            self.sums.add(flow.weight, flow.seconds)
        own_count, own_seconds = (flow.count, flow.seconds) if flow else (0, 0.0)
        others_seconds = self.seconds - own_seconds
        if others_seconds <= 0.0:
            return 0, 0.0
        share = min(seconds / others_seconds, 1.0)
        return round((self.count - own_count) * share), seconds

    def flow(self, workspace: str, weight: float) -> Flow[T]:
        """Return the flow of a workspace, created on first use."""
        flow = self.flows.get(workspace)
        if flow is None:
            if len(self.flows) >= 2 * self.flows_after_drop:
                self.drop_idle_flows()
            flow = self.flows[workspace] = Flow(weight, self.virtual_time)
        if flow.lanes is None:
            flow.weight = weight
        return flow

    def drop_idle_flows(self) -> None:
        """Drop the workspaces that do not wait and are owed nothing.

        A new flow starts with the same tag, so nothing is lost.
        """
        self.flows = {
            workspace: flow
            for workspace, flow in self.flows.items()
            if flow.count or flow.tag > self.virtual_time
        }
        self.flows_after_drop = max(len(self.flows), MIN_FLOWS)

    def charge(self, flow: Flow[T], seconds: float) -> None:
        """Add used slot time to the tag of a workspace."""
        flow.tag += seconds / flow.weight
        self.highest_tag = max(self.highest_tag, flow.tag)
        for number, lane in enumerate(flow.lanes or ()):
            if lane:
                self.push(number, flow)

    def change_backlog(self, flow: Flow[T], count: int, seconds: float) -> None:
        """Change the number and the seconds of the entries of a workspace."""
        if flow.count:
            self.sums.remove(flow.weight, flow.seconds)
            self.waiting_flows -= 1
        flow.count += count
        flow.seconds += seconds
        self.count += count
        self.seconds += seconds
        if flow.count:
            self.sums.add(flow.weight, flow.seconds)
            self.waiting_flows += 1
        else:
            flow.seconds = 0.0
        if not self.count:
            # Removes the rounding errors of the sums.
            self.seconds = self.sums.total_weight = 0.0

    def push(self, number: int, flow: Flow[T]) -> None:
        """Push a workspace with its present tag; earlier entries become outdated."""
        heap = self.heaps[number]
        self.pushed += 1
        heappush(heap, (flow.tag, self.pushed, flow))
        if len(heap) > 2 * self.waiting_flows + MIN_HEAP:
            self.drop_outdated(number)

    def drop_outdated(self, number: int) -> None:
        """Drop the heap entries that are outdated, and repeated ones."""
        current = {
            id(entry[2]): entry
            for entry in self.heaps[number]
            if is_current(number, entry[2], entry[0])
        }
        self.heaps[number] = list(current.values())
        heapify(self.heaps[number])

    def top(self, number: int) -> Flow[T] | None:
        """Return the workspace with the lowest tag that waits in a lane, or None."""
        heap = self.heaps[number]
        while heap:
            tag, _, flow = heap[0]
            if is_current(number, flow, tag):
                return flow
            heappop(heap)
        return None


def is_current(number: int, flow: Flow[T], tag: float) -> bool:
    """Return whether a heap entry states the present tag of a waiting workspace."""
    return flow.tag == tag and flow.lanes is not None and bool(flow.lanes[number])


def weight_of_priority(priority: int) -> float:
    """Return the weight of a workspace of a priority."""
    return WEIGHT_BY_PRIORITY[min(max(priority, 0), MAX_PRIORITY)]
