"""An open-loop load on one simulated target.

Three kinds of callers: short statements with high priority, some long ones, and many of
medium length. A refused caller retries up to twice as a new request; a late answer
counts little.
"""

import asyncio
import math
from collections import Counter
from random import Random
from typing import Final

from reedhook.connection.admission import Admission, AdmissionRequest
from reedhook.connection.admission_queue import (
    AdmissionQueue,
    ConnectionAvailability,
)
from reedhook.request.refusal import RefusalError

from .fakes_clock import LoopClock

SLOTS: Final = 3
SPREAD: Final = 0.7
LONGEST: Final = 7.5
"""Work times are lognormal, truncated at this multiple of their mean."""

TRIES: Final = 3
COME_BACK: Final = (0.02, 0.08)
"""Seconds after which a refused caller retries."""

REST: Final = (0.01, 0.06)
"""Seconds between two statements of a transaction."""


class Caller:
    """Describe one kind of caller.

    :param share: fraction of all arrivals.
    :param work: mean seconds per statement.
    :param objective: seconds within which an answer is in time.
    :param worth: value of an answer in time.
    :param transactions: fraction that runs two to five statements.
    """

    __slots__ = ("share", "work", "objective", "priority", "worth", "transactions")

    def __init__(
        self,
        share: float,
        work: float,
        objective: float,
        priority: int,
        worth: int,
        transactions: float,
    ) -> None:
        self.share = share
        self.work = work
        self.objective = objective
        self.priority = priority
        self.worth = worth
        self.transactions = transactions


CALLERS: Final = {
    "short": Caller(0.15, 0.006, 0.15, 1, 2, 0.4),
    "long": Caller(0.15, 0.030, 0.5, 2, 1, 0.1),
    "middle": Caller(0.7, 0.018, 0.25, 2, 2, 0.12),
}

OFFERED: Final = 0.0237
"""Mean slot seconds of one caller, transactions included."""

TIMEOUT: Final = 0.8
CONNECTIONS: Final = 15


def rate(load: float) -> float:
    """Return the callers per second that offer `load` times the capacity."""
    return load * SLOTS / OFFERED


class Target:
    """Run statements in its slots, in the order of their arrival.

    :ivar hangs: fraction of statements that never end and hold no slot.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.slots = asyncio.Semaphore(SLOTS)
        self.hangs = 0.0
        self.slower = 1.0

    async def run(self, mean: float) -> None:
        """Run a statement."""
        if self.random.random() < self.hangs:
            await asyncio.sleep(TIMEOUT)
            raise TimeoutError
        log_mean = math.log(mean) - SPREAD * SPREAD / 2
        work = min(self.random.lognormvariate(log_mean, SPREAD), LONGEST * mean)
        async with self.slots:
            await asyncio.sleep(work * self.slower)


class Load:
    """Generate callers for a while and count their results.

    :param ordered: whether admission is ordered; if not, statements run in the order of
        arrival on `CONNECTIONS` connections.
    :ivar asked: callers by kind.
    :ivar in_time: callers answered in time.
    :ivar answered: callers answered at all.
    :ivar held_in_vain: callers without an answer that waited for half of their time.
    """

    def __init__(self, seed: int, ordered: bool = True) -> None:
        self.random = Random(seed)
        self.target = Target(self.random)
        availability = ConnectionAvailability(lambda: True, lambda: 0.0)
        self.turns = (
            AdmissionQueue("t", SLOTS, availability, LoopClock()) if ordered else None
        )
        self.connections = asyncio.Semaphore(CONNECTIONS)
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.held_in_vain = 0
        self.calls: list[asyncio.Task[None]] = []

    async def arrive(self, load: float, seconds: float) -> None:
        """Generate random arrivals."""
        names = list(CALLERS)
        shares = [caller.share for caller in CALLERS.values()]
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(self.random.expovariate(rate(load)))
            name = self.random.choices(names, shares)[0]
            self.calls.append(asyncio.ensure_future(self.call(name)))

    async def ended(self) -> None:
        """Return once all callers have their answers."""
        await asyncio.gather(*self.calls)

    async def call(self, name: str) -> None:
        """Run the operation of one caller, up to three times."""
        caller = CALLERS[name]
        self.asked[name] += 1
        started = now()
        held_seconds = 0.0
        for _ in range(TRIES):
            attempt_started = now()
            rested = await self.operate(name, caller)
            if rested is not None:
                self.answered[name] += 1
                if now() - started - rested <= caller.objective:
                    self.in_time[name] += 1
                return
            held_seconds += now() - attempt_started
            await asyncio.sleep(self.random.uniform(*COME_BACK))
        self.held_in_vain += held_seconds > TIMEOUT / 2

    async def operate(self, name: str, caller: Caller) -> float | None:
        """Run its statements; return the idle time, or None if it was refused."""
        count = 1
        if self.random.random() < caller.transactions:
            count = self.random.randint(2, 5)
        started, rest_seconds = now(), 0.0
        for index in range(count):
            if index:
                pause = self.random.uniform(*REST)
                rest_seconds += pause
                await asyncio.sleep(pause)
            deadline = started + rest_seconds + caller.objective
            demand = AdmissionRequest(
                name, caller.priority, deadline, now() + TIMEOUT, index > 0
            )
            try:
                await self.run(demand, caller.work)
            except (RefusalError, TimeoutError):
                return None
        return rest_seconds

    async def run(self, demand: AdmissionRequest, work: float) -> None:
        """Run one statement after its admission."""
        if self.turns is None:
            async with asyncio.timeout(demand.deadline - now()):
                async with self.connections:
                    await self.target.run(work)
            return
        admission: Admission = await self.turns.admit(demand)
        sent = now()
        try:
            await self.target.run(work)
            self.turns.record_duration(demand.route, now() - sent)
        finally:
            self.turns.release(admission)

    def share(self) -> float:
        """Return the value of the answers in time as a fraction of all."""
        total_worth = sum(
            CALLERS[name].worth * count for name, count in self.asked.items()
        )
        earned_worth = sum(
            CALLERS[name].worth * count for name, count in self.in_time.items()
        )
        return earned_worth / total_worth

    def share_of(self, name: str) -> float:
        """Return the fraction of one kind that was answered in time."""
        return self.in_time[name] / self.asked[name]


def now() -> float:
    """Return the time of the loop in seconds."""
    return asyncio.get_running_loop().time()
