"""Measure the fraction of reads that replicas serve, against an oracle.

Runs in virtual time. The oracle knows every position at each moment and sends
a read to a replica whenever one meets its demand on arrival. The baseline sends
all reads to the primary. Homes are a model: each knows its own member exactly
and the others with a delay, and the lag of each replica keeps changing.

    python -m bench.routing > routing.json
"""

import asyncio
import itertools
import json
import random
import statistics
import sys
from typing import Any, Final

from reedhook.record import Record
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError
from reedhook.request.statement import Consistency, Statement
from tests.fakes_clock import run_virtual
from tests.fakes_request import World, read, write

LAGS: Final = (0.005, 0.05, 0.5, 1.0, 5.0)
ENTRIES: Final = 3
MEASURED_S: Final = 60.0
LAG_STEP_S: Final = 0.05
LAG_TARGET_S: Final = 2.0
LAG_SPREAD: Final = (0.6, 1.4)
LAG_SLOPE: Final = 0.5
VIEW_DELAY_S: Final = 0.1
PROOF_INTERVAL_S: Final = 0.17
SEED: Final = 7
GOAL: Final = 0.95


class Mix(Record):
    """Describe the workload of a deployment.

    :param sessions: callers of one group, each with its own session.
    :param pause: mean time between two statements of a session, in seconds.
    :param writes: fraction of writes among all statements.
    :param reads: fraction of each demand among the reads: an age in seconds, or None
        for a session read.
    """

    __slots__ = ("name", "sessions", "pause", "writes", "reads")

    def __init__(
        self,
        name: str,
        sessions: int,
        pause: float,
        writes: float,
        reads: dict[float | None, float],
    ) -> None:
        self.name = name
        self.sessions = sessions
        self.pause = pause
        self.writes = writes
        self.reads = reads


PLANT: Final = Mix("plant", 20, 0.5, 0.25, {None: 0.55, 0.5: 0.20, 5.0: 0.25})
DANUBE: Final = Mix("danube", 60, 0.35, 0.06, {None: 0.55, 1.0: 0.20, 5.0: 0.25})


class Tally(Record):
    """Count the reads by result."""

    __slots__ = ("reads", "replica", "oracle", "both", "writes", "failed", "times")

    def __init__(self) -> None:
        self.reads = 0
        self.replica = 0
        self.oracle = 0
        self.both = 0
        self.writes = 0
        self.failed = 0
        self.times: list[float] = []


class Trial:
    """Run one mix at one lag.

    :param baseline: whether all reads go to the primary.
    """

    def __init__(self, mix: Mix, lag: float, baseline: bool) -> None:
        self.mix = mix
        self.lag = lag
        self.baseline = baseline
        self.random = random.Random(SEED)
        self.weather = random.Random(SEED)
        self.world = World(lag, ENTRIES, SEED)
        self.model = self.world.model
        self.model.view_delay = VIEW_DELAY_S
        self.model.proof_interval = PROOF_INTERVAL_S
        self.tally = Tally()
        self.issued = 0
        self.measuring = False

    async def run(self) -> dict[str, Any]:
        """Run all sessions through a warm-up and the measured time."""
        drift = asyncio.create_task(self.drift())
        callers = [
            asyncio.create_task(self.session()) for _ in range(self.mix.sessions)
        ]
        await asyncio.sleep(2.0 + 2.0 * self.lag)
        self.measuring = True
        before = self.model.executed.copy()
        await asyncio.sleep(MEASURED_S + 2.0 * self.lag)
        self.measuring = False
        executed = self.model.executed - before
        for task in (drift, *callers):
            task.cancel()
        await asyncio.gather(drift, *callers, return_exceptions=True)
        await self.world.close()
        return self.figures(executed[self.model.primary], executed.total())

    async def drift(self) -> None:
        """Vary the lag of each replica randomly.

        It grows by at most `LAG_SLOPE` seconds per second: a replica that applies
        nothing falls behind by one.
        """
        lags = self.model.lags
        targets = dict(lags)
        step = LAG_SLOPE * LAG_STEP_S
        for step_number in itertools.count():
            if step_number % round(LAG_TARGET_S / LAG_STEP_S) == 0:
                for member in lags:
                    targets[member] = self.lag * self.weather.uniform(*LAG_SPREAD)
            for member, target in targets.items():
                change = target - lags[member]
                lags[member] += max(-step, min(step, change))
            await asyncio.sleep(LAG_STEP_S)

    async def session(self) -> None:
        """Send one session's statements through random hosts."""
        covers: Position | None = None
        while True:
            await asyncio.sleep(self.random.uniform(0.0, 2.0 * self.mix.pause))
            statement = self.statement(covers)
            try:
                position = await self.send(statement)
            except RefusalError:
                self.tally.failed += self.measuring
                continue
            covers = position if covers is None else max(covers, position)

    def statement(self, covers: Position | None) -> Statement:
        """Return the next statement of a session."""
        if self.random.random() < self.mix.writes:
            self.issued += 1
            return write(f"{self.issued}-id", remaining=2.0)
        ages = list(self.mix.reads)
        weights = list(self.mix.reads.values())
        age = self.random.choices(ages, weights)[0]
        is_bounded = age is not None
        statement = read(None if is_bounded else covers, age, remaining=2.0)
        if self.baseline:
            statement.consistency = Consistency.FRESH
        return statement

    async def send(self, statement: Statement) -> Position:
        """Send one statement, count it, and return the position of its answer."""
        measured = self.measuring
        ideal = self.oracle(statement)
        started = self.model.now()
        entry = self.random.randrange(ENTRIES)
        served = await self.world.run(statement, entry)
        if measured and statement.request_id is not None:
            self.tally.writes += 1
        elif measured:
            self.count(ideal, served.result.role == "replica")
            self.tally.times.append(self.model.now() - started)
        return served.result.position

    def oracle(self, statement: Statement) -> bool:
        """Return whether some replica meets the demand of a read right now."""
        for member, lag in self.model.lags.items():
            if member == self.model.primary:
                continue
            covers = statement.min_position
            if covers is not None and self.model.applied(member) < covers:
                continue
            if statement.max_age is None or lag <= statement.max_age:
                return True
        return False

    def count(self, ideal: bool, replica: bool) -> None:
        """Count one read."""
        self.tally.reads += 1
        self.tally.oracle += ideal
        self.tally.replica += replica
        self.tally.both += ideal and replica

    def figures(self, at_primary: int, executed: int) -> dict[str, Any]:
        """Return the figures."""
        tally = self.tally
        statements = tally.reads + tally.writes
        ranks = statistics.quantiles(tally.times, n=100)
        return {
            "deployment": self.mix.name,
            "lag_s": self.lag,
            "routing": "all to primary" if self.baseline else "reedhook",
            "reads": tally.reads,
            "writes": tally.writes,
            "failed": tally.failed,
            "replica_share": round(tally.replica / tally.reads, 4),
            "oracle_share": round(tally.oracle / tally.reads, 4),
            "of_oracle": round(tally.both / max(1, tally.oracle), 4),
            "executions_per_statement": round(executed / statements, 4),
            "primary_executions_per_statement": round(at_primary / statements, 4),
            "read_ms_median": round(1000.0 * ranks[49], 2),
            "read_ms_p99": round(1000.0 * ranks[98], 2),
        }


def main() -> int:
    """Print the figures as JSON; return 1 if the goal is missed."""
    results = []
    for mix in (PLANT, DANUBE):
        for lag in LAGS:
            for baseline in (False, True):
                results.append(run_virtual(Trial(mix, lag, baseline).run()))
    json.dump(results, sys.stdout, indent=1)
    print()
    ours = [result for result in results if result["routing"] == "reedhook"]
    return 0 if all(result["of_oracle"] >= GOAL for result in ours) else 1


if __name__ == "__main__":
    sys.exit(main())
