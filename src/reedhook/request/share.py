"""What waits for the slots of one target, by class and caller."""

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import Final

KEPT_FLOWS: Final = 256
"""Callers remembered in a class before idle ones without debt are dropped."""


class Entry:
    """Stand for one statement that waits for a slot or holds one.

    :ivar started: monotonic time at which it got its slot; None while it waits.
    :ivar deadline: monotonic time at which it is dropped from the queue.
    :ivar charged: seconds charged to its flow in advance.
    """

    __slots__ = (
        "flow",
        "deadline",
        "started",
        "charged",
        "granted",
        "timer",
    )

    def __init__(self, flow: "Flow", deadline: float) -> None:
        self.flow = flow
        self.deadline = deadline
        self.started: float | None = None
        self.charged = 0.0
        self.granted: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None


class Flow:
    """Keep the waiting statements of one caller in one class.

    :ivar tag: seconds of service used, in the virtual time of the class.
    """

    __slots__ = ("share", "caller", "waiting", "tag")

    def __init__(self, share: "Share", caller: str) -> None:
        self.share = share
        self.caller = caller
        self.waiting: deque[Entry] = deque()
        self.tag = 0.0


class Share:
    """Keep the flows of one class.

    :ivar tag: weighted seconds of service used, in virtual time of the queue.
    :ivar now: virtual time of the class.
    :ivar mean: mean service time in seconds; 0 before the first.
    :ivar busy: slots in use.
    :ivar arrived: monotonic time of the newest arrival.
    """

    __slots__ = (
        "rank",
        "weight",
        "flows",
        "queued",
        "busy",
        "tag",
        "now",
        "mean",
        "arrived",
    )

    def __init__(self, rank: int, weight: float) -> None:
        self.rank = rank
        self.weight = weight
        self.flows: dict[str, Flow] = {}
        self.queued = 0
        self.busy = 0
        self.tag = 0.0
        self.now = 0.0
        self.mean = 0.0
        self.arrived = float("-inf")

    def flow(self, caller: str) -> Flow:
        """Return the flow of `caller`."""
        flow = self.flows.get(caller)
        if flow is not None:
            return flow
        if len(self.flows) >= KEPT_FLOWS:
            self.forget_idle()
        flow = self.flows[caller] = Flow(self, caller)
        flow.tag = self.now
        return flow

    def forget_idle(self) -> None:
        """Drop the flows that neither wait nor have used more than others."""
        self.flows = {
            caller: flow
            for caller, flow in self.flows.items()
            if flow.waiting or flow.tag > self.now
        }

    def waiting_flows(self) -> Iterator[Flow]:
        """Yield the flows that wait."""
        return (flow for flow in self.flows.values() if flow.waiting)

    def ahead(self, caller: str) -> int:
        """Return how many of the class go before a new statement of `caller`."""
        own = self.flows.get(caller)
        turns = 1 if own is None else len(own.waiting) + 1
        return sum(min(len(flow.waiting), turns) for flow in self.waiting_flows())
