"""An open-loop load of many workspaces on one simulated target."""

import asyncio
import math
from collections.abc import Callable
from random import Random
from typing import Any, Final

from reedhook.connection.admission import AdmissionRequest
from reedhook.connection.admission_queue import AdmissionQueue, ConnectionAvailability
from reedhook.connection.overload_control import OverloadControl
from reedhook.record import Record
from reedhook.request.refusal import RefusalError

from .fakes_clock import LoopClock
from .load import LONGEST, SLOTS, SPREAD, now

ALWAYS_FREE: Final = ConnectionAvailability(lambda: True, lambda: 0.0)


class Stream(Record):
    """Describe the statements of one workspace of one kind.

    :param load: offered slot time, as a multiple of all slots.
    :param work: mean seconds of a statement.
    :param objective: seconds within which an answer is in time.
    :param timeout: seconds after which the caller gives up.
    :param replica_allowed: whether a replica could run them.
    """

    __slots__ = (
        "workspace",
        "route",
        "priority",
        "load",
        "work",
        "objective",
        "timeout",
        "replica_allowed",
        "weight",
    )

    def __init__(
        self,
        workspace: str,
        load: float,
        work: float = 0.018,
        objective: float = 1.0,
        timeout: float = 2.0,
        priority: int = 1,
        route: str = "",
        replica_allowed: bool = False,
        weight: float = 1.0,
    ) -> None:
        self.workspace = workspace
        self.load = load
        self.work = work
        self.objective = objective
        self.timeout = timeout
        self.priority = priority
        self.route = route or f"r{priority}"
        self.replica_allowed = replica_allowed
        self.weight = weight


class Outcome(Record):
    """Describe how a statement ended.

    :param wait: seconds until it was admitted or refused.
    :param seconds: seconds until its answer; None if it was refused.
    """

    __slots__ = ("stream", "started_at", "wait", "seconds", "refused_after")

    def __init__(self, stream: Stream, started_at: float) -> None:
        self.stream = stream
        self.started_at = started_at
        self.wait = 0.0
        self.seconds: float | None = None
        self.refused_after: float | None = None

    def in_time(self) -> bool:
        """Return whether it was answered within its objective."""
        return self.seconds is not None and self.seconds <= self.stream.objective


class WorkspaceLoad:
    """Send the statements of streams to a queue and keep their outcomes.

    Arrivals and work are drawn for each stream alone, so that they are the same for
    any order of the queue and any other streams.

    :ivar slower: factor of the work of all statements.
    """

    def __init__(
        self,
        seed: int,
        control: bool = False,
        queue: Any = None,
        request_type: Callable[..., Any] = AdmissionRequest,
    ) -> None:
        self.seed = seed
        self.slots = asyncio.Semaphore(SLOTS)
        self.slower = 1.0
        self.queue = queue or AdmissionQueue(
            "t",
            SLOTS,
            ALWAYS_FREE,
            LoopClock(),
            OverloadControl(SLOTS) if control else None,
        )
        self.request_type = request_type
        self.outcomes: list[Outcome] = []
        self.calls: list[asyncio.Task[None]] = []

    async def run(self, streams: list[Stream], seconds: float) -> None:
        """Send all streams for a while and wait for the outcomes."""
        await self.send(streams, seconds)
        await asyncio.gather(*self.calls)

    async def send(self, streams: list[Stream], seconds: float) -> None:
        """Send all streams for a while."""
        await asyncio.gather(*(self.arrive(one, seconds) for one in streams))

    async def arrive(self, stream: Stream, seconds: float) -> None:
        """Send the statements of one stream at random times, the same for any queue."""
        random = Random(f"{self.seed} {stream.workspace} {stream.route}")
        rate = stream.load * SLOTS / stream.work
        until = now() + seconds
        while True:
            await asyncio.sleep(random.expovariate(rate))
            if now() >= until:
                return
            log_mean = math.log(stream.work) - SPREAD * SPREAD / 2
            work = min(random.lognormvariate(log_mean, SPREAD), LONGEST * stream.work)
            self.calls.append(asyncio.ensure_future(self.call(stream, work)))

    def request(self, stream: Stream) -> Any:
        """Return the request of a statement that arrives now."""
        values: list[Any] = [
            stream.route,
            stream.priority,
            now() + stream.objective,
            now() + stream.timeout,
            False,
        ]
        if self.request_type is AdmissionRequest:
            values += [None, stream.workspace, stream.weight, stream.replica_allowed]
        return self.request_type(*values)

    async def call(self, stream: Stream, work: float) -> None:
        """Run one statement that needs a slot for `work` seconds."""
        outcome, queue = Outcome(stream, now()), self.queue
        self.outcomes.append(outcome)
        try:
            admission = await queue.admit(self.request(stream))
        except RefusalError:
            outcome.wait = outcome.refused_after = now() - outcome.started_at
            return
        outcome.wait = now() - outcome.started_at
        sent = now()
        try:
            async with self.slots:
                await asyncio.sleep(work * self.slower)
            queue.record_duration(stream.route, now() - sent)
        finally:
            queue.release(admission)
        outcome.seconds = now() - outcome.started_at

    def of(self, chosen: Callable[[Stream], bool]) -> list[Outcome]:
        """Return the outcomes of some streams."""
        return [one for one in self.outcomes if chosen(one.stream)]


def quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    return sorted(values)[int(share * (len(values) - 1))]


def in_time(outcomes: list[Outcome]) -> float:
    """Return the share of outcomes in time."""
    return sum(one.in_time() for one in outcomes) / len(outcomes)


def served(outcomes: list[Outcome]) -> float:
    """Return the share of outcomes that were answered at all."""
    return sum(one.seconds is not None for one in outcomes) / len(outcomes)
