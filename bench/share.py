"""Measure the fraction of reads that replicas serve, against an oracle, by lag.

Usage:
    share [--deployment NAME] [--seconds N] [--lag MS]...

Options:
    --deployment NAME  plant or danube [default: plant]
    --seconds N        how long each lag lasts [default: 8]
    --lag MS           lag of all replicas' reads in ms; by default 5, 50, 500
                       and 5000

Real hosts and stand-ins on loopback, the deployment's workload without faults.
The oracle knows every member's position during a request, and sends it to a
replica whenever one meets the demand when it is sent or when its answer
arrives. The baseline sends all reads to the primary.
"""

import asyncio
import json
import random
import sys
from collections import Counter
from typing import Any, Final

import docopt
import uvloop

from reedhook.clock import SystemClock
from reedhook.request.position import ORIGIN, Position
from reedhook.request.statement import Consistency
from reedhook.wire import Json
from reedhook_standins.caller import Caller, Reply
from reedhook_standins.deployment import Deployment
from reedhook_standins.group import GroupStandin
from reedhook_standins.history import History
from reedhook_standins.workload import DAYS
from reedhook_standins.world import World

SEED: Final = 1
LAGS_MS: Final = ("5", "50", "500", "5000")
WARM_UP_S: Final = 1.0
READ_PATH: Final = "/v1/read"


class Tally:
    """Count reads by consistency, serving role and whether a replica was eligible.

    :ivar counts: by consistency, role that served and whether a replica could.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.counts: Counter[tuple[str, str, bool]] = Counter()

    def possible(self, body: Json, covers: Position) -> bool:
        """Return whether some replica meets the demand of a read now."""
        group = self.world.platform.groups[body["group"]]
        primary = group.primary
        replicas = [
            member for member in group.members.values() if member is not primary
        ]
        return any(
            meets(
                group, member.state.visible, body, covers, self.world.clock.monotonic()
            )
            for member in replicas
        )

    def to_json(self) -> Json:
        """Return the shares, of all reads and of each consistency."""
        shares = {
            consistency.value: self.shares(consistency.value)
            for consistency in Consistency
        }
        return {"all": self.shares(None), **shares}

    def shares(self, consistency: str | None) -> Json | None:
        """Return the shares of one consistency, or of all reads for None."""
        counts = {
            key: count
            for key, count in self.counts.items()
            if consistency in (None, key[0])
        }
        total = sum(counts.values())
        if not total:
            return None
        replica = sum(n for (_, role, _), n in counts.items() if role == "replica")
        oracle = sum(n for (_, _, could), n in counts.items() if could)
        both = sum(
            n for (_, role, could), n in counts.items() if could and role == "replica"
        )
        return {
            "reads": total,
            "replica_share": round(replica / total, 4),
            "oracle_share": round(oracle / total, 4),
            "of_oracle": round(both / oracle, 4) if oracle else None,
            "baseline_share": 0.0,
        }


def meets(
    group: GroupStandin, visible: Position, body: Json, covers: Position, now: float
) -> bool:
    """Return whether a replica at `visible` meets the demand of a read."""
    if visible < covers:
        return False
    if body["consistency"] == Consistency.FRESH.value:
        return False
    if body["consistency"] == Consistency.SESSION.value:
        return True
    bound: float = body["max_age_ms"] / 1000
    return group.truth.truth_age(visible, now) <= bound


class ObservedCaller(Caller):
    """Query the oracle before and after each read."""

    __slots__ = ("tally", "covers")

    tally: Tally
    covers: dict[str, Position]

    async def call(self, path: str, body: Json) -> Reply:
        """Send one request, and count it with the oracle's result."""
        covers = self.covers.get(body["group"], ORIGIN)
        could = path == READ_PATH and self.tally.possible(body, covers)
        reply = await super().call(path, body)
        could = could or path == READ_PATH and self.tally.possible(body, covers)
        if reply.reason is not None:
            return reply
        position = Position(*reply.body["position"])
        self.covers[body["group"]] = max(covers, position)
        if path == READ_PATH:
            key = (body["consistency"], str(reply.body["role"]), could)
            self.tally.counts[key] += 1
        return reply


async def measure(name: str, lag: float, seconds: float) -> Json:
    """Return the shares of one deployment's workload at one lag, in seconds."""
    rng = random.Random(SEED)
    async with World(Deployment(name), SystemClock(), rng) as world:
        tally = Tally(world)
        make_plain = world.caller_of(History())

        def make(caller: str, workspace: str) -> Caller:
            plain = make_plain(caller, workspace)
            observed = ObservedCaller(
                plain.name,
                plain.hosts,
                plain.credential,
                plain.http,
                plain.history,
                plain.clock,
                plain.random,
                plain.delay,
            )
            observed.tally = tally
            observed.covers = {}
            return observed

        day = DAYS[name](list(world.platform.groups), make, rng)
        await day.prepare()
        for group in world.platform.groups.values():
            group.set_lag(world.deployment.network.zones, lag)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(day.run())
            await world.clock.sleep(WARM_UP_S + lag)
            tally.counts.clear()
            await world.clock.sleep(seconds)
            day.stop()
        for message in day.gave_up:
            print(message, file=sys.stderr)
        return tally.to_json()


def main(argv: list[str] | None = None) -> dict[str, Any]:
    """Run with command-line options; return the figures."""
    options = docopt.docopt(__doc__, argv)
    name, seconds = options["--deployment"], float(options["--seconds"])
    return {
        f"{name}, lag {lag} ms": uvloop.run(measure(name, float(lag) / 1000, seconds))
        for lag in options["--lag"] or LAGS_MS
    }


if __name__ == "__main__":
    print(json.dumps(main(), indent=2))
