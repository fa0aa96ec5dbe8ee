"""Run a deployment under a workload with faults, and check its guarantees.

Usage:
    demo [--deployment NAME] [--seconds N] [--seed N] [--overlap] [--json]

Options:
    --deployment NAME  plant or danube [default: plant]
    --seconds N        how long the day lasts [default: 24]
    --seed N           seed of all random choices [default: 1]
    --overlap          let each fault begin before the last one is undone
    --json             print the report as JSON
"""

import asyncio
import os
import random
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import docopt
import orjson

from reedhook.clock import SystemClock
from reedhook.record import Record

from .deployment import Deployment
from .history import History, RecordedFault
from .outcome import DayReport, judge, text
from .truth import effects
from .workload import DAYS
from .world import World

EXIT_GOOD: Final = 0
EXIT_BROKEN: Final = 1


class ScheduledAction(Record):
    """Represent a scheduled action.

    :param at: when, as a fraction of the run.
    :param act: performs the action.
    """

    __slots__ = ("at", "act")

    def __init__(self, at: float, act: Callable[[], Awaitable[None]]) -> None:
        self.at = at
        self.act = act


ONE_BY_ONE: Final = (0.12, 0.28, 0.36, 0.56, 0.64, 0.82)
OVERLAPPING: Final = (0.2, 0.5, 0.4, 0.7, 0.6, 0.8)


class FaultSchedule:
    """Inject the faults of the run, and end them.

    The first group's primary dies and returns; the zone of the second group's primary
    is cut off while that member still acts as primary; the home of the third group's
    primary dies and returns.

    :param times: when each fault begins and ends, as fractions of the run.
    """

    def __init__(
        self, world: World, history: History, times: Sequence[float] = ONE_BY_ONE
    ) -> None:
        self.world = world
        self.history = history
        self.groups = list(world.platform.groups.values())
        self.dead_member = self.groups[0].primary
        self.cut_zone = ""
        self.dead_host = ""
        actions = [
            self.kill_primary,
            self.return_primary,
            self.cut_zone_off,
            self.heal_zone,
            self.kill_home,
            self.return_home,
        ]
        happenings = map(ScheduledAction, times, actions)
        self.happenings = sorted(happenings, key=lambda happening: happening.at)

    async def run(self, seconds: float) -> None:
        """Run the schedule over `seconds`."""
        clock = self.world.clock
        start = clock.monotonic()
        for happening in self.happenings:
            await clock.sleep(start + happening.at * seconds - clock.monotonic())
            await happening.act()
        await clock.sleep(start + seconds - clock.monotonic())

    async def kill_primary(self) -> None:
        """Kill the first group's primary."""
        self.note("primary killed", self.dead_member.name, self.groups[0].name)
        await self.dead_member.kill()

    async def return_primary(self) -> None:
        """Restart the dead primary, which still considers itself primary."""
        await self.dead_member.revive()

    async def cut_zone_off(self) -> None:
        """Cut off the zone of the second group's primary."""
        primary = self.groups[1].primary.name
        self.cut_zone = self.world.target_zones()[primary]
        self.note("zone cut off", self.cut_zone, self.groups[1].name)
        self.world.cut_zone_off(self.cut_zone)

    async def heal_zone(self) -> None:
        """Reconnect the zone."""
        self.world.heal_zone(self.cut_zone)

    async def kill_home(self) -> None:
        """Kill the host that is home of the third group's primary."""
        group = self.groups[2]
        self.dead_host = self.world.home_of(group.primary.name)
        self.note("home killed", self.dead_host, group.name)
        await self.world.kill_host(self.dead_host)

    async def return_home(self) -> None:
        """Restart the killed host."""
        await self.world.start_host(self.dead_host)

    def note(self, name: str, subject: str, group: str) -> None:
        """Record a fault that begins now."""
        now = self.world.clock.monotonic()
        self.history.faults.append(RecordedFault(name, subject, group, now))


async def run_day(
    name: str, seconds: float, seed: int, times: Sequence[float] = ONE_BY_ONE
) -> DayReport:
    """Run a deployment's workload and faults, and return the report.

    :param times: see `FaultSchedule`.
    """
    clock = SystemClock()
    rng = random.Random(seed)
    history = History()
    async with World(Deployment(name), clock, rng) as world:
        day = DAYS[name](list(world.platform.groups), world.caller_of(history), rng)
        await day.prepare()
        programme = FaultSchedule(world, history, times)
        start = clock.monotonic()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(day.run())
            await programme.run(seconds)
            day.stop()
        group_effects = [
            effect
            for group in world.platform.groups.values()
            for effect in effects(group, type(day))
        ]
        return judge(
            name, clock.monotonic() - start, history, group_effects, day.gave_up
        )


def main(argv: list[str] | None = None) -> int:
    """Run the demo and return the exit code."""
    options = docopt.docopt(__doc__, argv)
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    seconds = float(options["--seconds"])
    seed = int(options["--seed"])
    times = OVERLAPPING if options["--overlap"] else ONE_BY_ONE
    outcome = uvloop.run(run_day(options["--deployment"], seconds, seed, times))
    if options["--json"]:
        sys.stdout.buffer.write(orjson.dumps(outcome.to_json()) + b"\n")
    else:
        print(text(outcome))
    return EXIT_GOOD if outcome.good else EXIT_BROKEN


if __name__ == "__main__":
    sys.exit(main())
