"""Replica share and failover gap of both deployments, compared with baselines.

The baselines are a proxy that sends all reads to the primary, and one that promotes a
replica once the primary has been silent for a fixed 5 s.
"""

import json
import statistics
from collections.abc import Iterator
from typing import Any, Final

import uvloop

from reedhook.clock import Clock, SystemClock
from reedhook.connection.target import TargetConnection, TargetError
from reedhook.connection.target_http import HttpTargetFactory
from reedhook.wire import Json
from reedhook_standins.demo import run_day
from reedhook_standins.deployment import Deployment
from reedhook_standins.group import GroupStandin
from reedhook_standins.outcome import DayReport

SECONDS: Final = 24.0
SEED: Final = 1
DETECTION_S: Final = 5.0
PROBE_S: Final = 0.05
TIMEOUT_S: Final = 0.5
OWNER: Final = "baseline"


def main() -> dict[str, Any]:
    """Run both deployments and the baseline; return the figures."""
    return {name: measure(name) for name in ("plant", "danube")}


def measure(name: str) -> Json:
    """Return the figures of one deployment."""
    outcome = uvloop.run(run_day(name, SECONDS, SEED))
    gaps = sorted(gap_seconds(outcome))
    return {
        "good": outcome.good,
        "acknowledged_writes": outcome.acknowledged,
        "reads": sum(outcome.reads.values()),
        "replica_share": round(outcome.replica_share() or 0.0, 4),
        "baseline_share": 0.0,
        "gaps": [gap.to_json() for gap in outcome.gaps],
        "median_gap_s": round(statistics.median(gaps), 4) if gaps else None,
        "baseline_gap_s": round(uvloop.run(fixed_detection(name)), 4),
        "broken": [violation.promise.value for violation in outcome.broken],
        "missing": outcome.missing,
    }


def gap_seconds(outcome: DayReport) -> Iterator[float]:
    """Return the gaps after which writes resumed, in seconds."""
    for gap in outcome.gaps:
        if gap.to_first_write is not None:
            yield gap.to_first_write


async def fixed_detection(name: str) -> float:
    """Return the gap of a plain proxy with a fixed detection time, in seconds."""
    deployment = Deployment(name)
    plan = next(deployment.groups())
    clock = SystemClock()
    group = GroupStandin(plan.name, list(plan.members), clock)
    await group.start()
    group.set_lag(deployment.network.zones)
    try:
        connections = await connect_all(group)
        primary = group.primary.name
        await group.primary.kill()
        start = clock.monotonic()
        await promote_after_silence(clock, connections, primary)
        return clock.monotonic() - start
    finally:
        await group.close()


async def connect_all(group: GroupStandin) -> dict[str, TargetConnection]:
    """Open a connection to each member."""
    factory = HttpTargetFactory(OWNER)
    targets = {
        name: factory.target(name, member.address)
        for name, member in group.members.items()
    }
    return {name: await target.connect(TIMEOUT_S) for name, target in targets.items()}


async def promote_after_silence(
    clock: Clock, connections: dict[str, TargetConnection], lost: str
) -> None:
    """Poll the primary until it was silent for the fixed time, then promote."""
    silent_since = clock.monotonic()
    while clock.monotonic() - silent_since < DETECTION_S:
        await clock.sleep(PROBE_S)
        if await answers(connections[lost]):
            silent_since = clock.monotonic()
    remaining = {
        name: connection for name, connection in connections.items() if name != lost
    }
    states = [
        await connection.raise_term(2, OWNER, TIMEOUT_S)
        for connection in remaining.values()
    ]
    best = max(states, key=lambda state: state.held).member
    await remaining[best].promote(2, OWNER, TIMEOUT_S)
    await remaining[best].write("CREATE TABLE t (x)", [], None, TIMEOUT_S)


async def answers(connection: TargetConnection) -> bool:
    """Return whether the target answers."""
    try:
        await connection.state(TIMEOUT_S)
    except TargetError:
        return False
    return True


if __name__ == "__main__":
    print(json.dumps(main(), indent=2))
