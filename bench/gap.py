"""Measure how long callers wait after a primary is lost, over many faults.

Usage:
    gap [--deployment NAME] [--kind KIND] [--faults N] [--trace N]

Options:
    --deployment NAME  plant or danube [default: plant]
    --kind KIND        kill, hang or zone [default: zone]
    --faults N         how many faults [default: 30]
    --trace N          print the attempts around the first N faults to stderr
                       [default: 0]

Real hosts and stand-ins on loopback, one group hit at a time, healed in
between. The gap runs from the fault to the first acknowledgement of a write
sent after it; the wait of a caller from the fault to its next acknowledgement.
"""

import asyncio
import json
import random
import statistics
import sys
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Any, Final

import docopt
import uvloop

from reedhook.clock import SystemClock
from reedhook.process.events.timeline import Event, EventKind
from reedhook.record import Record
from reedhook.wire import Json
from reedhook_standins.caller import GaveUp, WriteOrder
from reedhook_standins.deployment import Deployment
from reedhook_standins.history import History, WriteAttempt
from reedhook_standins.workload import DAYS, PATIENCE_S, Day, Table
from reedhook_standins.world import World

from .deployment import fixed_detection

SEED: Final = 1
WRITERS: Final = 4
PAUSE_S: Final = 0.1
WARM_UP_S: Final = 1.5
FAULT_S: Final = 2.2
HEALED_S: Final = 1.3
SPREAD_S: Final = 0.3
SPLIT: Final = ("suspicion_ms", "agreement_ms", "promotion_ms")


class Kind(ABC):
    """Inject one kind of fault at a group's primary, and end it."""

    def __init__(self, world: World) -> None:
        self.world = world

    @abstractmethod
    async def strike(self, member: str) -> None:
        """Inject the fault at the primary `member`."""

    @abstractmethod
    async def heal(self, member: str) -> None:
        """End the fault."""


class Kill(Kind):
    """Kill the target; its connections break at once."""

    async def strike(self, member: str) -> None:
        await self.world.platform.members()[member].kill()

    async def heal(self, member: str) -> None:
        await self.world.platform.members()[member].revive()


class Hang(Kind):
    """Cut the target off from its group and from all hosts."""

    async def strike(self, member: str) -> None:
        self.world.cut_target_off(member)

    async def heal(self, member: str) -> None:
        self.world.heal_target(member)


class ZoneCut(Kind):
    """Cut the zone off with its hosts and targets."""

    async def strike(self, member: str) -> None:
        self.world.cut_zone_off(self.world.target_zones()[member])

    async def heal(self, member: str) -> None:
        self.world.heal_zone(self.world.target_zones()[member])


KINDS: Final[dict[str, type[Kind]]] = {"kill": Kill, "hang": Hang, "zone": ZoneCut}


class Loss(Record):
    """Represent one lost primary.

    :param at: when it was lost, monotonic seconds.
    :param wall_ms: the same by the wall clock.
    :param term: the term that it led.
    """

    __slots__ = ("group", "member", "at", "wall_ms", "term")

    def __init__(
        self, group: str, member: str, at: float, wall_ms: float, term: int
    ) -> None:
        self.group = group
        self.member = member
        self.at = at
        self.wall_ms = wall_ms
        self.term = term


class Trial:
    """Run writers on all groups of a world while primaries are lost.

    :ivar losses: the lost primaries, in order.
    """

    def __init__(self, world: World, kind: Kind, history: History) -> None:
        self.world = world
        self.kind = kind
        self.history = history
        self.losses: list[Loss] = []
        self.stopped = False
        make = world.caller_of(history)
        groups = list(world.platform.groups)
        self.day: Day = DAYS[world.deployment.name](groups, make, world.random)

    async def run(self, faults: int) -> None:
        """Inject `faults` faults."""
        await self.day.prepare()
        async with asyncio.TaskGroup() as tasks:
            for group in self.day.groups:
                for number in range(WRITERS):
                    tasks.create_task(self.write(group, f"{group}/writer-{number}"))
            await self.world.clock.sleep(WARM_UP_S)
            for number in range(faults):
                await self.lose(self.day.groups[number % len(self.day.groups)])
            self.stopped = True

    async def write(self, group: str, name: str) -> None:
        """Raise one register repeatedly."""
        caller = self.day.make_caller(name, self.day.writers)
        table: Table = self.day.tables[0]
        version = 0
        while not self.stopped:
            version += 1
            values = [name, version, *(0 for _ in table.columns)]
            order = WriteOrder(group, name, version, table.insert, values)
            try:
                await caller.write(order, PATIENCE_S)
            except GaveUp as error:
                print(error, file=sys.stderr)
            await self.world.clock.sleep(PAUSE_S * (0.5 + self.world.random.random()))

    async def lose(self, group: str) -> None:
        """Lose the primary of `group` for a while."""
        clock = self.world.clock
        standin = self.world.platform.groups[group]
        member = standin.primary.name
        await clock.sleep(SPREAD_S * self.world.random.random())
        loss = Loss(
            group,
            member,
            clock.monotonic(),
            clock.wall() * 1000,
            standin.truth.reign.term,
        )
        self.losses.append(loss)
        await self.kind.strike(member)
        await clock.sleep(FAULT_S)
        await self.kind.heal(member)
        await clock.sleep(HEALED_S)

    def events(self) -> list[Event]:
        """Return the events of all hosts."""
        return [event for host in self.world.hosts() for event in host.timeline.events]

    def cut_hosts(self, loss: Loss) -> set[str]:
        """Return the addresses of the hosts in the zone of the lost primary."""
        zone = self.world.target_zones()[loss.member]
        settings = self.world.settings.values()
        return {
            host_settings.listen
            for host_settings in settings
            if host_settings.zone == zone
        }


async def measure(name: str, kind: str, faults: int, traced: int) -> Json:
    """Run one kind of fault on one deployment and return the figures."""
    history = History()
    world = World(Deployment(name), SystemClock(), random.Random(SEED))
    async with world:
        trial = Trial(world, KINDS[kind](world), history)
        await trial.run(faults)
        for loss in trial.losses[:traced]:
            trace(trial, loss)
        return figures(trial)


def figures(trial: Trial) -> Json:
    """Return the distributions over all losses."""
    events = trial.events()
    acks = trial.history.acknowledged()
    gaps = [gap(acks, loss) for loss in trial.losses]
    splits = [split(events, loss) for loss in trial.losses]
    waits = [wait for loss in trial.losses for wait in caller_waits(acks, loss)]
    rest = [
        whole - part["promoted_ms"]
        for whole, part in zip(gaps, splits, strict=True)
        if "promoted_ms" in part
    ]
    parts = {
        name: spread(part[name] for part in splits if name in part)
        for name in ("promoted_ms", *SPLIT)
    }
    return {
        "faults": len(trial.losses),
        "gap_ms": spread(gaps),
        "caller_wait_ms": spread(waits),
        **parts,
        "routing_and_callers_ms": spread(rest),
    }


def gap(acks: Iterable[WriteAttempt], loss: Loss) -> float:
    """Return milliseconds to the first acknowledged write sent after a loss."""
    ack_times = [ack.ended for ack in acks if ack.group == loss.group]
    sent = [
        ack.ended for ack in acks if ack.group == loss.group and ack.started > loss.at
    ]
    return 1000 * (min(sent, default=max(ack_times)) - loss.at)


def caller_waits(acks: Iterable[WriteAttempt], loss: Loss) -> list[float]:
    """Return milliseconds from a loss to each caller's next acknowledgement.

    Acknowledgements by the lost primary itself are excluded: the answer must be of a
    write that was sent after the loss, or of a retry.
    """
    first_acks: dict[str, float] = {}
    for ack in acks:
        if ack.group == loss.group and ack.started > loss.at:
            previous = first_acks.get(ack.session, ack.ended)
            first_acks[ack.session] = min(previous, ack.ended)
    return [1000 * (ended - loss.at) for ended in first_acks.values()]


def split(events: Iterable[Event], loss: Loss) -> dict[str, float]:
    """Return the parts of a change of primary, in milliseconds."""
    found = [
        event
        for event in events
        if event.kind is EventKind.PRIMARY_PROMOTED
        and event.subject == loss.group
        and event.detail["term"] > loss.term
        and event.stamp.wall_ms >= loss.wall_ms - 1
    ]
    if not found:
        return {}
    first = min(found, key=lambda event: event.stamp.wall_ms)
    parts = {name: float(first.detail[name]) for name in SPLIT}
    return {"promoted_ms": first.stamp.wall_ms - loss.wall_ms, **parts}


def spread(values: Iterable[float]) -> dict[str, float] | None:
    """Return median, 99th percentile and maximum of `values`."""
    ordered = sorted(values)
    if not ordered:
        return None
    return {
        "median": round(statistics.median(ordered), 1),
        "p99": round(percentile(ordered, 0.99), 1),
        "greatest": round(ordered[-1], 1),
    }


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the given percentile of ordered values."""
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def trace(trial: Trial, loss: Loss) -> None:
    """Print the attempts and events around a loss."""
    cut = trial.cut_hosts(loss)
    lines: list[tuple[float, str]] = []
    for attempt in trial.history.attempts:
        if attempt.group != loss.group or not 0 <= attempt.ended - loss.at < FAULT_S:
            continue
        started, ended = (
            1000 * (at - loss.at) for at in (attempt.started, attempt.ended)
        )
        where = "near" if attempt.host in cut else "far"
        what = attempt.reason or "ack"
        lines.append(
            (ended, f"{attempt.session} {where} {started:.0f}-{ended:.0f} {what}")
        )
    for event in trial.events():
        at = event.stamp.wall_ms - loss.wall_ms
        if 0 <= at < 1000 * FAULT_S and event.subject == loss.group:
            lines.append(
                (at, f"  {at:.0f} {event.host} {event.kind.value} {event.detail}")
            )
    print(f"lost {loss.member}", file=sys.stderr)
    for _, line in sorted(lines)[:80]:
        print(line, file=sys.stderr)


def main(argv: list[str] | None = None) -> dict[str, Any]:
    """Run with command-line options; return the figures."""
    options = docopt.docopt(__doc__, argv)
    name, kind = options["--deployment"], options["--kind"]
    faults, traced = int(options["--faults"]), int(options["--trace"])
    measured = uvloop.run(measure(name, kind, faults, traced))
    baseline = uvloop.run(fixed_detection(name))
    return {
        "deployment": name,
        "kind": kind,
        **measured,
        "baseline_gap_ms": round(1000 * baseline, 1),
    }


if __name__ == "__main__":
    print(json.dumps(main(), indent=2))
