"""Statements that arrive at one simulated target, whatever it can bear.

Three kinds of callers as the deployments have them: short ones that go first, some
long ones, and many of a middle length. Each comes back twice when it is refused, as
if it were new, and takes a late answer for little.
"""

import asyncio
import math
from collections import Counter
from random import Random
from typing import Final

from reedhook.connection.admission_queue import (
    Admission,
    AdmissionQueue,
    AdmissionRequest,
    ConnectionAvailability,
)
from reedhook.request.refusal import RefusalError

from .fakes_clock import LoopClock

SLOTS: Final = 3
SPREAD: Final = 0.7
LONGEST: Final = 7.5
"""Work times are lognormal with this spread, up to so many times their mean."""

TRIES: Final = 3
COME_BACK: Final = (0.02, 0.08)
"""Seconds after which a caller that was refused comes back."""

REST: Final = (0.01, 0.06)
"""Seconds between two statements of a transaction."""


class Caller:
    """Describe one kind of caller.

    :param share: of all arrivals.
    :param work: seconds that a statement takes on average.
    :param objective: seconds in which an answer is in time.
    :param worth: of an answer in time.
    :param transactions: share that runs two to five statements.
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
"""Seconds of a slot that one caller asks for on average, its transactions
included."""

TIMEOUT: Final = 0.8
CONNECTIONS: Final = 15


def rate(load: float) -> float:
    """Return the callers a second that ask for `load` times what the slots bear."""
    return load * SLOTS / OFFERED


class Target:
    """Run statements in its slots, in the order of their arrival.

    :ivar hangs: share of the statements that never end and hold no slot.
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
        middle = math.log(mean) - SPREAD * SPREAD / 2
        work = min(self.random.lognormvariate(middle, SPREAD), LONGEST * mean)
        async with self.slots:
            await asyncio.sleep(work * self.slower)


class Load:
    """Let callers arrive for a while and count what becomes of them.

    :param turns: None for the order of arrival on `CONNECTIONS` connections.
    :ivar asked: callers by kind.
    :ivar in_time: those of them who were answered in time.
    :ivar answered: those of them who were answered at all.
    :ivar held_in_vain: those of the others who waited for half of their time.
    """

    def __init__(self, seed: int, ordered: bool = True) -> None:
        self.random = Random(seed)
        self.target = Target(self.random)
        room = ConnectionAvailability(lambda: True, lambda: 0.0)
        self.turns = AdmissionQueue("t", SLOTS, room, LoopClock()) if ordered else None
        self.connections = asyncio.Semaphore(CONNECTIONS)
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.held_in_vain = 0
        self.calls: list[asyncio.Task[None]] = []

    async def arrive(self, load: float, seconds: float) -> None:
        """Let callers arrive at random."""
        names = list(CALLERS)
        shares = [one.share for one in CALLERS.values()]
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
        begun = now()
        held = 0.0
        for _ in range(TRIES):
            tried = now()
            rested = await self.operate(name, caller)
            if rested is not None:
                self.answered[name] += 1
                if now() - begun - rested <= caller.objective:
                    self.in_time[name] += 1
                return
            held += now() - tried
            await asyncio.sleep(self.random.uniform(*COME_BACK))
        self.held_in_vain += held > TIMEOUT / 2

    async def operate(self, name: str, caller: Caller) -> float | None:
        """Run its statements; return how long it rested, None if it was refused."""
        count = 1
        if self.random.random() < caller.transactions:
            count = self.random.randint(2, 5)
        begun, rested = now(), 0.0
        for index in range(count):
            if index:
                rest = self.random.uniform(*REST)
                rested += rest
                await asyncio.sleep(rest)
            due = begun + rested + caller.objective
            demand = AdmissionRequest(
                name, caller.priority, due, now() + TIMEOUT, index > 0
            )
            try:
                await self.run(demand, caller.work)
            except (RefusalError, TimeoutError):
                return None
        return rested

    async def run(self, demand: AdmissionRequest, work: float) -> None:
        """Run one statement in its turn."""
        if self.turns is None:
            async with asyncio.timeout(demand.deadline - now()):
                async with self.connections:
                    await self.target.run(work)
            return
        turn: Admission = await self.turns.admit(demand)
        sent = now()
        try:
            await self.target.run(work)
            self.turns.record_duration(demand.route, now() - sent)
        finally:
            self.turns.release(turn)

    def share(self) -> float:
        """Return the worth of those in time, of the worth of all."""
        owed = sum(CALLERS[name].worth * count for name, count in self.asked.items())
        got = sum(CALLERS[name].worth * count for name, count in self.in_time.items())
        return got / owed

    def share_of(self, name: str) -> float:
        """Return the share of one kind that was answered in time."""
        return self.in_time[name] / self.asked[name]


def now() -> float:
    """Return the time of the loop in seconds."""
    return asyncio.get_running_loop().time()
