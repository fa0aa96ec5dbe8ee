"""What a host adds to a statement: time in round trips, processor time.

The same read goes straight to the target, through a bare pass-through, through
the target's home and through a host that forwards to the home, in short blocks
that take turns, so that the machine's moods hit all alike. Each role has a
process of its own.
"""

import asyncio
import json
import statistics
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from typing import Any, Final, TypeAlias

from reedhook import wire
from reedhook.record import Record
from reedhook.wire import Json
from reedhook_standins.deployment import Deployment
from reedhook_standins.log import Change
from reedhook_standins.platform import Platform
from reedhook_standins.workload import PlantDay

from .bare import Link, open_link, serve_echo, serve_pass_through
from .rig import RoleProcess, Serve, processor_time

ROUNDS: Final = 20
BLOCK: Final = 150
WARM_UP: Final = 300
IDLE_S: Final = 3.0
MICROSECONDS: Final = 1e6
ZONE: Final = "vittoria"
TIMEOUT_S: Final = 2.0
KEY: Final = "digester"

Send: TypeAlias = Callable[[], Awaitable[Json]]


class Course(Record):
    """Carry one way of a statement and what it cost.

    :param pid: the process whose processor time counts.
    :param latencies: seconds from sending to the answer.
    :param processor: processor time of the process, in seconds.
    :param wall: time that its blocks took, in seconds.
    :param idle: processor time a second that the process spends anyway.
    """

    __slots__ = ("name", "send", "pid", "latencies", "processor", "wall", "idle")

    def __init__(self, name: str, send: Send, pid: int) -> None:
        self.name = name
        self.send = send
        self.pid = pid
        self.latencies: list[float] = []
        self.processor = 0.0
        self.wall = 0.0
        self.idle = 0.0

    @property
    def median(self) -> float:
        """Return the median latency in seconds."""
        return statistics.median(self.latencies)

    @property
    def cost(self) -> float:
        """Return the processor time that one statement adds, in seconds."""
        return (self.processor - self.idle * self.wall) / len(self.latencies)

    async def measure_idle(self) -> None:
        """Measure what the process spends without statements."""
        began = processor_time(self.pid)
        await asyncio.sleep(IDLE_S)
        self.idle = (processor_time(self.pid) - began) / IDLE_S

    async def run_block(self) -> None:
        """Send one block of statements, one after another."""
        began = processor_time(self.pid)
        start = time.perf_counter()
        for _ in range(BLOCK):
            sent = time.perf_counter()
            await self.send()
            self.latencies.append(time.perf_counter() - sent)
        self.wall += time.perf_counter() - start
        self.processor += processor_time(self.pid) - began

    def figures(self) -> Json:
        """Return what was measured on this way."""
        return {
            "median_us": round(self.median * MICROSECONDS, 1),
            "processor_us": round(self.cost * MICROSECONDS, 1),
            "idle_processor_share": round(self.idle, 4),
        }


def main() -> dict[str, Any]:
    """Run the benchmark and return its figures."""
    return asyncio.run(measure())


async def measure() -> dict[str, Any]:
    """Start the roles, run the blocks and return the figures."""
    async with AsyncExitStack() as stack:
        courses = await bare_courses(stack, partial(start_role, stack))
        for course in courses:
            for _ in range(WARM_UP):
                await course.send()
        await asyncio.gather(*(course.measure_idle() for course in courses))
        for _ in range(ROUNDS):
            for course in courses:
                await course.run_block()
        return {course.name: course.figures() for course in courses}


def start_role(
    stack: AsyncExitStack, name: str, serve: Serve, *arguments: Any
) -> RoleProcess:
    """Start a role in a process that ends with `stack`."""
    return stack.enter_context(RoleProcess(name, serve, *arguments))


async def bare_courses(
    stack: AsyncExitStack, start: Callable[..., RoleProcess]
) -> list[Course]:
    """Return the ways that do not lead through the system."""
    platform = start("platform", serve_platform)
    echo = start("echo", serve_echo)
    bare = start("pass-through", serve_pass_through, platform.facts["target"])
    body = wire.encode(target_read())
    straight = await target_link(stack, platform.facts["target"])
    passed = await target_link(stack, bare.facts)
    echoed = await open_link(stack, echo.facts)
    return [
        Course("round trip", partial(echoed.ask_raw, "/read", body), echo.pid),
        Course("straight", partial(straight.ask_raw, "/read", body), platform.pid),
        Course("pass-through", partial(passed.ask_raw, "/read", body), bare.pid),
    ]


async def serve_platform() -> Json:
    """Start a platform with one group in one zone; return its addresses."""
    deployment = one_zone_plant()
    platform = Platform(deployment)
    await platform.start()
    members = platform.members()
    for member in members.values():
        member.statement_time = 0.0
    group = next(iter(platform.groups.values()))
    for table in PlantDay.tables:
        group.primary.state.write(Change(table.create, []), None)
    return {
        "target": group.primary.address,
        "group": group.name,
        "store": platform.store.address,
        "hostlist": platform.hostlist.address,
        "base": deployment.base_text(),
        "overlays": deployment.overlay_texts(),
    }


def one_zone_plant() -> Deployment:
    """Return the plant with its first group alone, all of it in one zone."""
    deployment = Deployment("plant")
    for service in deployment.base["services"].values():
        name, group = next(iter(service["groups"].items()))
        service["groups"] = {name: group}
        for member in group["members"].values():
            member["zone"] = ZONE
    return deployment


async def target_link(stack: AsyncExitStack, address: str) -> Link:
    """Open a connection to a target, straight or through a pass-through."""
    link = await open_link(stack, address)
    await link.ask("/hello", {"client": "bench"})
    return link


def target_read() -> Json:
    """Return the read as a target takes it."""
    return {"sql": PlantDay.mixes.newest, "params": read_params(), "timeout": TIMEOUT_S}


def read_params() -> list[Any]:
    """Return the parameters of the read."""
    return ["mark", KEY, KEY]


if __name__ == "__main__":
    print(json.dumps(main(), indent=2))
