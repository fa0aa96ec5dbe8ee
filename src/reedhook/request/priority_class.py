"""Queue entries for the slots of one target, by class and caller."""

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import Final

MAX_IDLE_FLOWS: Final = 256
"""Number of flows in a class from which idle flows are dropped."""


class QueueEntry:
    """Represent one statement that waits for a slot or holds one.

    :ivar started_at: monotonic time at which it got its slot; None while it waits.
    :ivar deadline: monotonic time at which it is dropped from the queue.
    :ivar charged_seconds: service time charged to its flow in advance.
    :ivar granted: done when the entry gets its slot or is refused; None if it never
        waited.
    :ivar timer: drops the entry at its deadline; None if it never waited.
    """

    __slots__ = (
        "flow",
        "deadline",
        "started_at",
        "charged_seconds",
        "granted",
        "timer",
    )

    def __init__(self, flow: "Flow", deadline: float) -> None:
        self.flow = flow
        self.deadline = deadline
        self.started_at: float | None = None
        self.charged_seconds = 0.0
        self.granted: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None


class Flow:
    """Keep the waiting statements of one caller in one class.

    :ivar tag: start tag of the next statement, in the virtual time of the class.
    """

    __slots__ = ("priority_class", "caller", "waiting", "tag")

    def __init__(self, priority_class: "PriorityClass", caller: str) -> None:
        self.priority_class = priority_class
        self.caller = caller
        self.waiting: deque[QueueEntry] = deque()
        self.tag = 0.0


class PriorityClass:
    """Keep the flows of one class.

    :ivar queued: waiting statements.
    :ivar tag: start tag of the next statement, in the virtual time of the queue.
    :ivar virtual_time: the tag of the flow that was served last.
    :ivar mean_service_seconds: mean service time; 0 without a sample.
    :ivar busy: slots in use.
    :ivar last_arrival_at: monotonic time of the newest arrival.
    """

    __slots__ = (
        "rank",
        "weight",
        "flows",
        "queued",
        "busy",
        "tag",
        "virtual_time",
        "mean_service_seconds",
        "last_arrival_at",
    )

    def __init__(self, rank: int, weight: float) -> None:
        self.rank = rank
        self.weight = weight
        self.flows: dict[str, Flow] = {}
        self.queued = 0
        self.busy = 0
        self.tag = 0.0
        self.virtual_time = 0.0
        self.mean_service_seconds = 0.0
        self.last_arrival_at = float("-inf")

    def flow(self, caller: str) -> Flow:
        """Return the flow of `caller`, created on first use."""
        flow = self.flows.get(caller)
        if flow is not None:
            return flow
        if len(self.flows) >= MAX_IDLE_FLOWS:
            self.drop_idle_flows()
        flow = self.flows[caller] = Flow(self, caller)
        flow.tag = self.virtual_time
        return flow

    def drop_idle_flows(self) -> None:
        """Drop the flows without waiting statements and without a charge ahead."""
        self.flows = {
            caller: flow
            for caller, flow in self.flows.items()
            if flow.waiting or flow.tag > self.virtual_time
        }

    def waiting_flows(self) -> Iterator[Flow]:
        """Return an iterator over the flows with waiting statements."""
        return (flow for flow in self.flows.values() if flow.waiting)

    def count_ahead(self, caller: str) -> int:
        """Return how many waiting statements precede a new one of `caller`."""
        own = self.flows.get(caller)
        rounds = 1 if own is None else len(own.waiting) + 1
        return sum(min(len(flow.waiting), rounds) for flow in self.waiting_flows())
