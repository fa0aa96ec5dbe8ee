"""Measure the cost of membership per host: bytes and processor time.

Up to 30 hosts run in one process and talk over real connections on loopback;
more hosts run in further processes. Only the first process is measured.
The bytes are those of TCP payload, as the kernel counts them for a process.

Run: python -m bench.membership [SIZE ...]
"""

import asyncio
import os
import random
import resource
import sys
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Final

import orjson
import uvloop

from reedhook.clock import SystemClock
from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.events.timeline import Timeline
from reedhook.process.fleet.heartbeat import Heartbeats
from reedhook.process.fleet.membership import Membership
from reedhook.process.network.peer_http import HttpPeers
from reedhook.process.network.peer_server import PeerEndpoint, PeerServer

from .rig import RoleProcess

SIZES: Final = (3, 9, 30, 90)
ZONES: Final = ("vittoria", "comiso", "ispica")
SHARD: Final = 30
SETTLE: Final = 20.0
MEASURE: Final = 12.0
LIMIT: Final = 30.0
STEP: Final = 0.005
CREDENTIAL: Final = "a credential of thirty-two bytes"
IO_COUNTERS: Final = Path("/proc/self/io")
# Keeps the hosts of a further process alive.
KEPT: Final[list["BenchHost"]] = []


class Usage:
    """Read the resource usage of the process."""

    __slots__ = ("cpu", "sent", "received", "at")

    def __init__(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        lines = IO_COUNTERS.read_text().splitlines()
        counters = dict(line.split(": ") for line in lines)
        self.cpu = usage.ru_utime + usage.ru_stime
        self.sent = int(counters["wchar"])
        self.received = int(counters["rchar"])
        self.at = asyncio.get_running_loop().time()

    def per_host(self, since: "Usage", hosts: int) -> dict[str, float]:
        """Return rates per host since `since`."""
        share = (self.at - since.at) * hosts
        return {
            "sent_bytes_s": round((self.sent - since.sent) / share),
            "received_bytes_s": round((self.received - since.received) / share),
            "core_percent": round(100 * (self.cpu - since.cpu) / share, 3),
        }


class BenchHost:
    """Run the membership of one host on a free port."""

    def __init__(self, number: int) -> None:
        self.zone = ZONES[number % len(ZONES)]
        self.host = f"{self.zone}-{number}"
        self.clock = SystemClock()
        self.timeline = Timeline(self.host, self.clock)
        self.routes = PeerRoutes()
        endpoint = PeerEndpoint(self.routes, CREDENTIAL, self.timeline)
        self.server = PeerServer(endpoint, "127.0.0.1:0", shutdown=0.1)

    async def start(self, seeds: list[str]) -> None:
        """Listen and exchange heartbeats."""
        await self.server.start()
        ref = HostRef(self.host, self.zone, self.server.address)
        rng = random.Random(self.host)
        self.membership = Membership(ref, self.clock, rng, self.timeline)
        self.peers = HttpPeers(ref, CREDENTIAL, self.timeline, self.clock)
        self.heartbeats = Heartbeats(
            self.membership, self.peers, self.clock, rng, seeds
        )
        self.heartbeats.register(self.routes)
        self.task = asyncio.create_task(self.heartbeats.run())

    def live(self) -> int:
        """Return how many hosts are live in this host's view."""
        return len(self.membership.table.refs())

    async def stop(self) -> None:
        """Stop without notice."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.peers.close()
        await self.server.stop()


async def until(condition: Callable[[], bool]) -> float:
    """Wait for `condition`; return the duration in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > LIMIT:
            raise TimeoutError("the hosts did not agree")
        await asyncio.sleep(STEP)
    return loop.time() - started


async def start_hosts(first: int, count: int, seeds: list[str]) -> list[BenchHost]:
    """Start hosts in this process; without seeds the first ones are the seeds."""
    hosts: list[BenchHost] = []
    for number in range(first, first + count):
        host = BenchHost(number)
        await host.start(seeds or [seed.server.address for seed in hosts[:3]])
        hosts.append(host)
    return hosts


async def serve_shard(first: int, count: int, seeds: list[str]) -> list[str]:
    """Run hosts in a further process; return their ids."""
    KEPT.extend(await start_hosts(first, count, seeds))
    return [host.host for host in KEPT]


async def measure(size: int) -> dict[str, Any]:
    """Measure `size` hosts when idle and after the death of one."""
    hosts = await start_hosts(0, min(size, SHARD), [])
    seeds = [host.server.address for host in hosts[:3]]
    with ExitStack() as shards:
        for first in range(SHARD, size, SHARD):
            count = min(SHARD, size - first)
            shard = RoleProcess(f"shard-{first}", serve_shard, first, count, seeds)
            await asyncio.to_thread(shards.enter_context, shard)
        return await measure_hosts(hosts, size)


async def measure_hosts(hosts: list[BenchHost], size: int) -> dict[str, Any]:
    """Measure the hosts of this process in a cluster of `size` hosts."""
    joined = await until(lambda: all(host.live() == size for host in hosts))
    await asyncio.sleep(SETTLE)
    before = Usage()
    await asyncio.sleep(MEASURE)
    idle = Usage().per_host(before, len(hosts))
    levels = [host.heartbeats.health.level for host in hosts]
    victim = hosts.pop()
    before = Usage()
    await victim.stop()
    noticed = await until(lambda: all(host.live() == size - 1 for host in hosts))
    await asyncio.sleep(1.0)
    death = Usage().per_host(before, len(hosts))
    await asyncio.gather(*(host.stop() for host in hosts))
    return {
        "hosts": size,
        "joined_s": round(joined, 3),
        "at_rest": idle,
        "mean_health_level": round(sum(levels) / len(levels), 2),
        "death_noticed_by_all_s": round(noticed, 3),
        "second_after_death": death,
    }


def main() -> None:
    """Print the figures as JSON, one line for each size."""
    os.environ["UV_USE_IO_URING"] = "0"
    sizes = [int(text) for text in sys.argv[1:]] or list(SIZES)
    for size in sizes:
        print(orjson.dumps(uvloop.run(measure(size))).decode(), flush=True)


if __name__ == "__main__":
    main()
