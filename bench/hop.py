"""Measure the cost that a host adds to a statement: latency and processor time.

The same read goes directly to the target, through a bare pass-through, through the
target's home and through a host that forwards to the home. Short blocks alternate, so
that load on the machine affects all paths alike. Each role has its own process.
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
from reedhook.process.assembly import assemble_host
from reedhook.process.collector import freeze_startup_objects
from reedhook.process.host import Host
from reedhook.record import Record
from reedhook.request.statement import Consistency
from reedhook.version.document import ConfigurationDocuments
from reedhook.wire import Json
from reedhook_standins.deployment import Deployment, credential
from reedhook_standins.log import LoggedStatement
from reedhook_standins.platform import Platform
from reedhook_standins.workload import PlantDay
from reedhook_standins.world import OPERATOR, free_addresses, host_settings

from .bare import Link, open_link, serve_echo, serve_pass_through
from .rig import RoleProcess, Serve, processor_time

ROUNDS: Final = 20
BLOCK: Final = 150
WARM_UP: Final = 300
IDLE_S: Final = 3.0
MICROSECONDS: Final = 1e6
ZONE: Final = "vittoria"
OTHER_ZONE: Final = "comiso"
ZONES: Final = (ZONE, OTHER_ZONE)
THROUGH: Final = ("pass-through", "home", "forwarding")
WORKSPACE: Final = "mix"
TIMEOUT_S: Final = 2.0
KEY: Final = "digester"

Send: TypeAlias = Callable[[], Awaitable[Json]]


class NotAnswered(Exception):
    """Report that a statement of the benchmark was refused."""


class Course(Record):
    """Represent one path of a statement and its cost.

    :param pid: the process whose processor time counts.
    :param latencies: seconds from sending to the answer.
    :param processor: processor time of the process, in seconds.
    :param wall: time that its blocks took, in seconds.
    :param idle: processor time per second without statements.
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
        """Measure the processor time without statements."""
        started = processor_time(self.pid)
        await asyncio.sleep(IDLE_S)
        self.idle = (processor_time(self.pid) - started) / IDLE_S

    async def run_block(self) -> None:
        """Send one block of statements, one after another."""
        started = processor_time(self.pid)
        start = time.perf_counter()
        for _ in range(BLOCK):
            sent = time.perf_counter()
            answer = await self.send()
            self.latencies.append(time.perf_counter() - sent)
            refuse_other(answer)
        self.wall += time.perf_counter() - start
        self.processor += processor_time(self.pid) - started

    def figures(self) -> Json:
        """Return the figures of this path."""
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
        start = partial(start_role, stack)
        platform = start("platform", serve_platform)
        paths = [
            *await bare_courses(stack, start, platform),
            *await system_courses(stack, start, platform.facts),
        ]
        for path in paths:
            for _ in range(WARM_UP):
                await path.send()
        await asyncio.gather(*(path.measure_idle() for path in paths))
        for _ in range(ROUNDS):
            for path in paths:
                await path.run_block()
        return figures({path.name: path for path in paths})


def figures(courses: dict[str, Course]) -> Json:
    """Return the figures of all paths, and their comparison."""
    trip = courses["round trip"].median
    straight = courses["straight"].median
    bare = courses["pass-through"].cost
    return {
        "courses": {name: course.figures() for name, course in courses.items()},
        "added_round_trips": {
            name: round((courses[name].median - straight) / trip, 2) for name in THROUGH
        },
        "processor_ratio": {
            name: round(courses[name].cost / bare, 2) for name in THROUGH
        },
        "statements_each": ROUNDS * BLOCK,
    }


def refuse_other(answer: Json) -> None:
    """Check that an answer has rows or is an echo.

    :raises NotAnswered: for a refusal.
    """
    if "rows" not in answer and "params" not in answer:
        raise NotAnswered(str(answer))


def start_role(
    stack: AsyncExitStack, name: str, serve: Serve, *arguments: Any
) -> RoleProcess:
    """Start a role in a process that ends with `stack`."""
    return stack.enter_context(RoleProcess(name, serve, *arguments))


async def bare_courses(
    stack: AsyncExitStack, start: Callable[..., RoleProcess], platform: RoleProcess
) -> list[Course]:
    """Return the paths that bypass the system."""
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


async def system_courses(
    stack: AsyncExitStack, start: Callable[..., RoleProcess], platform: Json
) -> list[Course]:
    """Return the paths through the home of the targets and another host."""
    peers = free_addresses(2)
    home = start("home", serve_host, platform, ZONE, peers)
    other = start("forwarding", serve_host, platform, OTHER_ZONE, peers)
    headers = {"Authorization": f"Bearer {credential(WORKSPACE)}"}
    body = wire.encode(
        {
            "group": platform["group"],
            "sql": PlantDay.mixes.newest,
            "params": read_params(),
            "consistency": Consistency.SESSION.value,
        }
    )
    at_home = await open_link(stack, home.facts, headers)
    forwarded = await open_link(stack, other.facts, headers)
    return [
        Course("home", partial(at_home.ask_raw, "/v1/read", body), home.pid),
        Course("forwarding", partial(forwarded.ask_raw, "/v1/read", body), other.pid),
    ]


async def serve_host(platform: Json, zone: str, peers: list[str]) -> str:
    """Start a host in `zone`; return its address for callers."""
    listen, admin = free_addresses(2)
    peer = peers[ZONES.index(zone)]
    settings = host_settings(
        f"{zone}-1",
        zone,
        (listen, peer, admin),
        platform["store"],
        platform["hostlist"],
        tuple(peers),
    )
    process = assemble_host(settings)
    await process.start()
    host = process.host
    assert isinstance(host, Host)
    if zone == ZONE:
        documents = ConfigurationDocuments(platform["base"], platform["overlays"])
        await host.editor.apply(documents, 0, OPERATOR, "benchmark", "benchmark")
    await host.configuration.ready.wait()
    freeze_startup_objects()
    return listen


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
        group.primary.state.write(LoggedStatement(table.create, []), None)
    return {
        "target": group.primary.address,
        "group": group.name,
        "store": platform.store.address,
        "hostlist": platform.hostlist.address,
        "base": deployment.base_text(),
        "overlays": deployment.overlay_texts(),
    }


def one_zone_plant() -> Deployment:
    """Return the plant reduced to its first group, all in one zone."""
    deployment = Deployment("plant")
    for service in deployment.base["services"].values():
        name, group = next(iter(service["groups"].items()))
        service["groups"] = {name: group}
        for member in group["members"].values():
            member["zone"] = ZONE
    for workspace in deployment.base["workspaces"].values():
        del workspace["rate"]
    deployment.overlays = {}
    return deployment


async def target_link(stack: AsyncExitStack, address: str) -> Link:
    """Open a connection to a target, directly or through a pass-through."""
    link = await open_link(stack, address)
    await link.ask("/hello", {"client": "bench"})
    return link


def target_read() -> Json:
    """Return the read in the format of a target."""
    return {"sql": PlantDay.mixes.newest, "params": read_params(), "timeout": TIMEOUT_S}


def read_params() -> list[Any]:
    """Return the parameters of the read."""
    return ["mark", KEY, KEY]


if __name__ == "__main__":
    print(json.dumps(main(), indent=2))
