"""Measure what a home answers in time at 1, 2 and 3 times its capacity.

Virtual time: one target with exponential service times, and an open-loop load whose
callers retry refused and timed-out statements. The baseline is an unbounded FIFO queue
without deadlines.
"""

import asyncio
import json
import random
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from typing import Any, Final

from reedhook.connection.target_home import TargetHome
from reedhook.metrics import MemoryMetrics
from reedhook.process.events.timeline import Timeline
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.statement import Statement, StatementKind
from reedhook.version.catalog import Group, Limits, Member
from tests.fakes_clock import LoopClock, run_virtual
from tests.fakes_target import FakeTarget

SLOTS: Final = 2
SEED: Final = 7
PHASE_S: Final = 10.0
WARM_UP_S: Final = 5.0
PHASES: Final = (("1x", 1.0), ("2x", 2.0), ("3x", 3.0), ("after", 0.8))
TRIES: Final = 3
RECOVERED: Final = 0.9
MEMBER: Final = Member("m1", "zone", "127.0.0.1:1")


class Work:
    """Describe one kind of statement.

    :param share: its fraction of the arrivals.
    :param service: mean service time in seconds.
    :param deadline: seconds after which its caller gives up.
    """

    __slots__ = ("name", "priority", "share", "service", "deadline")

    def __init__(
        self, name: str, priority: int, share: float, service: float, deadline: float
    ) -> None:
        self.name = name
        self.priority = priority
        self.share = share
        self.service = service
        self.deadline = deadline


MIXES: Final = {
    "plant": (
        Work("gate", 0, 0.3, 0.004, 1.0),
        Work("view", 1, 0.6, 0.004, 1.0),
        Work("report", 2, 0.1, 0.04, 5.0),
    ),
    "danube": (
        Work("desk", 0, 0.1, 0.004, 1.0),
        Work("skipper", 1, 0.6, 0.004, 1.0),
        Work("schedule", 2, 0.3, 0.008, 2.0),
    ),
}


class Server(ABC):
    """Run statements for the callers of the benchmark."""

    @abstractmethod
    async def run(self, statement: Statement) -> None:
        """Run `statement`; raise `RefusalError` if it was not answered in time."""

    async def start(self) -> None:
        """Prepare the server."""

    async def close(self) -> None:
        """Release all resources."""


class HomeServer(Server):
    """Serve by a `TargetHome`."""

    def __init__(self, target: FakeTarget) -> None:
        clock = LoopClock()
        group = Group("g1", "bench", (MEMBER,), SLOTS, target.limit)
        self.home = TargetHome(
            group,
            MEMBER,
            target,
            9,
            Limits(),
            clock,
            random.Random(SEED),
            Timeline("host", clock),
            MemoryMetrics(),
        )

    async def start(self) -> None:
        await self.home.start()

    async def run(self, statement: Statement) -> None:
        await self.home.run(statement)

    async def close(self) -> None:
        await self.home.close(grace=0.1)


class FifoServer(Server):
    """Serve in order of arrival, whether or not the caller still waits."""

    def __init__(self, target: FakeTarget) -> None:
        self.target = target
        self.free = asyncio.Semaphore(SLOTS)

    async def run(self, statement: Statement) -> None:
        serving = asyncio.create_task(self.serve(statement))
        try:
            async with asyncio.timeout(statement.remaining):
                await asyncio.shield(serving)
        except TimeoutError:
            raise not_run(RefusalReason.DEADLINE, "The caller gave up.", 0) from None

    async def serve(self, statement: Statement) -> None:
        """Run the statement once it reaches the head of the queue."""
        async with self.free:
            assert self.target.service_of is not None
            await asyncio.sleep(self.target.service_of(statement.sql))


class Phase:
    """Count the results of one phase."""

    def __init__(self) -> None:
        self.offered: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.useful = 0.0
        self.waits: dict[str, list[float]] = defaultdict(list)
        self.refusals: Counter[str] = Counter()

    def figures(self, works: tuple[Work, ...]) -> dict[str, Any]:
        """Return the figures of the phase."""
        return {
            "offered_per_s": round(self.offered.total() / PHASE_S, 1),
            "goodput_per_s": round(self.answered.total() / PHASE_S, 1),
            "useful_slot_share": round(self.useful / (PHASE_S * SLOTS), 3),
            "refusals": dict(self.refusals),
            "by_work": {
                work.name: {
                    "offered": self.offered[work.name],
                    "answered": self.answered[work.name],
                    "p99_ms": percentile(self.waits[work.name], 0.99),
                }
                for work in works
            },
        }


class Trial:
    """Send the load of all phases to one server."""

    def __init__(self, mix: str, server: Server, rng: random.Random) -> None:
        self.works = MIXES[mix]
        self.server = server
        self.rng = rng
        self.phases: dict[str, Phase] = defaultdict(Phase)
        self.offered_in: Counter[int] = Counter()
        self.answered_in: Counter[int] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> dict[str, Any]:
        """Return the figures of all phases and of the recovery."""
        await self.server.start()
        await self.send_for("warm_up", 0.8, WARM_UP_S)
        for name, times in PHASES:
            await self.send_for(name, times, PHASE_S)
        ended = asyncio.get_running_loop().time() - PHASE_S
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.close()
        return self.report(ended)

    async def send_for(self, phase: str, times: float, seconds: float) -> None:
        """Generate random arrivals at `times` the capacity."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        rate = times * self.capacity()
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if loop.time() >= end:
                return
            work = self.rng.choices(
                self.works, [work_kind.share for work_kind in self.works]
            )[0]
            task = loop.create_task(self.send(self.phases[phase], work))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send(self, phase: Phase, work: Work) -> None:
        """Send one statement, with retries if it was refused, up to `TRIES` times."""
        loop = asyncio.get_running_loop()
        phase.offered[work.name] += 1
        started = loop.time()
        self.offered_in[int(started)] += 1
        service = self.rng.expovariate(1.0 / work.service)
        sql = f"{work.name} {service}"
        for _ in range(TRIES):
            remaining = work.deadline
            try:
                await self.server.run(
                    Statement(
                        StatementKind.READ,
                        "g1",
                        work.name,
                        sql,
                        [],
                        remaining,
                        work.priority,
                    )
                )
            except RefusalError as refusal:
                phase.refusals[refusal.reason.value] += 1
                await asyncio.sleep((refusal.retry_after_ms or 0) / 1000.0)
                continue
            phase.answered[work.name] += 1
            phase.useful += service
            phase.waits[work.name].append(loop.time() - started)
            self.answered_in[int(started)] += 1
            return

    def capacity(self) -> float:
        """Return the statements per second that keep all slots busy."""
        return SLOTS / sum(work.share * work.service for work in self.works)

    def report(self, surge_ended: float) -> dict[str, Any]:
        """Return the figures of the trial."""
        phases = {name: self.phases[name].figures(self.works) for name, _ in PHASES}
        goodput = share_of_peak(phases, "goodput_per_s")
        useful = share_of_peak(phases, "useful_slot_share")
        return {
            "capacity_per_s": round(self.capacity(), 1),
            "goodput_3x_of_peak": goodput,
            "useful_slot_time_3x_of_peak": useful,
            "recovery_s": self.recovery(surge_ended),
            "phases": phases,
        }

    def recovery(self, since: float) -> float | None:
        """Return the seconds from the end of the surge until goodput has recovered.

        Goodput has recovered when, from then on, at least the fraction `RECOVERED` of
        the statements that arrive in each second is answered. None if it never
        recovers.
        """
        bad = [
            second
            for second in range(int(since), int(since + PHASE_S))
            if self.answered_in[second] < RECOVERED * self.offered_in[second]
        ]
        if not bad:
            return 0.0
        recovered = bad[-1] + 1 - int(since)
        return float(recovered) if recovered < PHASE_S else None


def share_of_peak(phases: dict[str, dict[str, Any]], name: str) -> float:
    """Return a figure at 3 times capacity as a fraction of its maximum."""
    peak: float = max(figures[name] for figures in phases.values())
    share: float = phases["3x"][name] / peak
    return round(share, 3)


def percentile(values: list[float], share: float) -> float | None:
    """Return a percentile in milliseconds."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(int(len(ordered) * share), len(ordered) - 1)] * 1000, 1)


async def try_server(mix: str, baseline: bool) -> dict[str, Any]:
    """Return the figures of one mix on one kind of server."""
    target = FakeTarget(slots=SLOTS)
    target.service_of = service_in
    server: Server = FifoServer(target) if baseline else HomeServer(target)
    return await Trial(mix, server, random.Random(SEED)).run()


def service_in(sql: str) -> float:
    """Return the service time that the benchmark wrote into the text."""
    return float(sql.split()[1])


def main() -> None:
    """Print the figures of both mixes and the baseline as JSON."""
    report = {
        mix: {
            "home": run_virtual(try_server(mix, baseline=False)),
            "baseline": run_virtual(try_server(mix, baseline=True)),
        }
        for mix in MIXES
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
