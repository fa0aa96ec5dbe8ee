"""Measure the failover gap, in which no write is accepted, split by step.

    python -m bench.failover [--runs=N] [--hours=H]

Prints JSON. Hosts, network and group are the fakes of the tests, in virtual
time with the plant's 1.5 ms between zones, so the figures follow from the
decisions and their timers, not from this machine's speed. A home notices a
target that hangs after 150 ms, an assumption of the fake. The second part
lets a healthy group run through lost messages and stalls and counts changes of
primary, all of which would be false positives.
"""

import asyncio
import contextlib
import json
import random
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias

import docopt

from reedhook.process.events.timeline import Event, EventKind
from reedhook.process.groups.group_promotion import GroupPromotion
from reedhook.request.refusal import RefusalError
from reedhook.wire import Json
from tests.cluster_group import NAMES, Cluster
from tests.fakes_clock import EPOCH, run_virtual

USAGE: Final = """Measure changes of primary.

Usage: failover [--runs=N] [--hours=H]

Options:
  --runs=N   Changes of primary for each fault [default: 200].
  --hours=H  Virtual hours of lossy but living traffic [default: 1].
"""

ZONE_DELAY: Final = 0.0015
BASELINE_S: Final = 5.0
LOSS: Final = 0.05
STALL_S: Final = 0.2
STALLS_EVERY_S: Final = 2.0
WRITES_EVERY_S: Final = 0.25
IDLE_S: Final = 60.0
HOUR_S: Final = 3600.0

Fault: TypeAlias = Callable[[Cluster], Awaitable[None]]


class Gap:
    """Represent one gap and its parts, in seconds.

    :param suspicion: from the fault to the decision to act.
    :param agreement: until a majority had promised the new term.
    :param promotion: until the new primary had answered.
    :param first_write: until a write was acknowledged.
    """

    PARTS: Final = ("total", "suspicion", "agreement", "promotion", "first_write")

    def __init__(self, total: float, promoted: Event, fault: float) -> None:
        detail = promoted.detail
        at = promoted.stamp.wall_ms / 1000 - EPOCH - fault
        self.total = total
        self.agreement = detail["agreement_ms"] / 1000
        self.promotion = detail["promotion_ms"] / 1000
        self.suspicion = at - self.agreement - self.promotion
        self.first_write = total - at


def main() -> None:
    """Run all measurements and print them."""
    options = docopt.docopt(USAGE)
    print(json.dumps(measure(int(options["--runs"]), float(options["--hours"]))))


def measure(runs: int, hours: float) -> dict[str, Any]:
    """Return all figures."""
    return {
        "zone_delay_ms": ZONE_DELAY * 1000,
        "faults": {name: gaps(fault, runs) for name, fault in FAULTS.items()},
        "baseline_fixed_5s": baseline_gaps(runs),
        "idle": run_virtual(idle()),
        "living": run_virtual(live(hours)),
    }


def gaps(fault: Fault, runs: int) -> Json:
    """Return the distribution of the gap after `fault`."""
    measured = [run_virtual(change(fault, seed)) for seed in range(runs)]
    return {
        part: distribution([getattr(gap, part) for gap in measured])
        for part in Gap.PARTS
    }


def distribution(seconds: list[float]) -> Json:
    """Return median, 99th percentile and maximum in milliseconds."""
    ordered = sorted(seconds)
    rank = min(len(ordered) - 1, int(len(ordered) * 0.99))
    return {
        "median_ms": round(statistics.median(ordered) * 1000, 1),
        "p99_ms": round(ordered[rank] * 1000, 1),
        "max_ms": round(ordered[-1] * 1000, 1),
    }


async def change(fault: Fault, seed: int) -> Gap:
    """Cause one change of primary at a random moment."""
    cluster = Cluster(seed, ZONE_DELAY)
    await cluster.start()
    await cluster.write("m1", "before")
    await asyncio.sleep(random.Random(seed).random())
    fault_time = cluster.now()
    await fault(cluster)
    total = await cluster.until_writable()
    promoted = cluster.events(EventKind.PRIMARY_PROMOTED)[-1]
    await cluster.stop()
    return Gap(total, promoted, fault_time)


async def hang_target(cluster: Cluster) -> None:
    """Make the primary's target stop answering."""
    cluster.kill_target("m1")


async def cut_zone(cluster: Cluster) -> None:
    """Cut the primary's zone off."""
    cluster.cut_zone("m1")


async def lose_rack(cluster: Cluster) -> None:
    """Lose the primary and its home at once."""
    cluster.kill_target("m1")
    await cluster.kill_host("m1a", listed=False)


async def lose_two_homes(cluster: Cluster) -> None:
    """Lose the primary, its home and the home of one replica at once."""
    await lose_rack(cluster)
    await cluster.kill_host("m2a", listed=True)


FAULTS: Final[dict[str, Fault]] = {
    "target_hangs": hang_target,
    "zone_cut": cut_zone,
    "target_and_home_lost": lose_rack,
    "target_and_two_homes_lost": lose_two_homes,
}


def baseline_gaps(runs: int) -> Json:
    """Return the gap of a proxy that acts after a fixed silence."""
    return distribution([run_virtual(fixed_detection(seed)) for seed in range(runs)])


async def fixed_detection(seed: int) -> float:
    """Cut the primary's zone off, wait the fixed time, promote by the same steps."""
    cluster = Cluster(seed, ZONE_DELAY)
    await cluster.start()
    for host in cluster.hosts.values():
        for task in host.keeper.tasks:
            task.cancel()
    await cluster.write("m1", "before")
    cluster.cut_zone("m1")
    fault_time = cluster.now()
    await asyncio.sleep(BASELINE_S)
    manager = cluster.hosts["m2a"].keeper
    absent = frozenset({"m1"})
    promotion = GroupPromotion(
        cluster.group, manager.controller, manager.clock, 2, "baseline", None, absent
    )
    promoted = await promotion.run()
    manager.group_state.record_leader(promoted.term, promoted.primary)
    await cluster.until_writable()
    total = cluster.now() - fault_time
    await cluster.stop()
    return total


async def idle() -> Json:
    """Return the total cost of an idle group for the hosts of its three members."""
    cluster = Cluster(0, ZONE_DELAY)
    await cluster.start()
    calls = sum(cluster.network.calls.values())
    sent = sum(cluster.network.sent_bytes.values())
    processor = time.process_time()
    await asyncio.sleep(IDLE_S)
    processor = time.process_time() - processor
    calls = sum(cluster.network.calls.values()) - calls
    sent = sum(cluster.network.sent_bytes.values()) - sent
    await cluster.stop()
    return {
        "calls_per_s": round(calls / IDLE_S, 1),
        "body_bytes_per_s": round(sent / IDLE_S),
        "processor_ms_per_s": round(processor / IDLE_S * 1000, 2),
    }


async def live(hours: float) -> Json:
    """Write through lost messages and stalls; count changes of primary."""
    cluster = Cluster(0, ZONE_DELAY)
    cluster.network.loss = LOSS
    await cluster.start()
    end = cluster.now() + hours * HOUR_S
    stalling = asyncio.create_task(stall_often(cluster, end))
    acknowledged = refused = 0
    while cluster.now() < end:
        try:
            await cluster.write(cluster.leader(), "w", 0.5)
            acknowledged += 1
        except RefusalError:
            refused += 1
        await asyncio.sleep(WRITES_EVERY_S)
    stalls = await stalling
    await cluster.stop()
    suspected = [host.timeline.events for host in cluster.hosts.values()]
    return {
        "hours": hours,
        "loss": LOSS,
        "stalls": stalls,
        "stall_ms": STALL_S * 1000,
        "acknowledged": acknowledged,
        "refused": refused,
        "suspicions": sum(
            event.kind is EventKind.PRIMARY_SUSPECTED
            for events in suspected
            for event in events
        ),
        "false_promotions": len(cluster.truth.leaders) - 1,
    }


async def stall_often(cluster: Cluster, end: float) -> int:
    """Stall a random host, target or zone at intervals; return how often."""
    source = random.Random(1)
    stalls = 0
    while cluster.now() < end:
        await asyncio.sleep(source.expovariate(1 / STALLS_EVERY_S))
        await stall(cluster, source)
        stalls += 1
    return stalls


async def stall(cluster: Cluster, source: random.Random) -> None:
    """Stall one component and resume it."""
    member = source.choice(NAMES)
    what = source.choice((stall_host, stall_target, stall_links))
    with contextlib.ExitStack() as undo:
        what(cluster, member, undo)
        await asyncio.sleep(STALL_S)


def stall_host(cluster: Cluster, member: str, undo: contextlib.ExitStack) -> None:
    """Pause the home of `member`."""
    host = f"{member}a"
    cluster.network.pause(host)
    undo.callback(cluster.network.resume, host)


def stall_target(cluster: Cluster, member: str, undo: contextlib.ExitStack) -> None:
    """Delay the answers of the target."""
    stalled = cluster.truth.members[member].stalled
    stalled.clear()
    undo.callback(stalled.set)


def stall_links(cluster: Cluster, member: str, undo: contextlib.ExitStack) -> None:
    """Drop all messages to and from the zone of `member`."""
    cluster.cut_zone(member)
    undo.callback(cluster.heal)


if __name__ == "__main__":
    main()
