"""Two regions that lose each other, in virtual time on the tests' fakes.

Hosts of ten zones exchange heartbeats. After a while the regions are cut off
from each other for some minutes, then healed. Bytes are those of bodies as
JSON, counted at the sender; times follow from the intervals in the code.
"""

import asyncio
import time
from typing import Final

from reedhook.process.fleet.membership_record import HostState
from reedhook.wire import Json
from tests.fakes_clock import run_virtual
from tests.fakes_hosts import FakeHosts

SIZES: Final = (40, 80, 160)
ZONES: Final = 10
REST_S: Final = 20.0
NOTICE_S: Final = 20.0
CUT_S: Final = 60.0
STEP_S: Final = 0.1
LIMIT_S: Final = 300.0


def measure() -> list[Json]:
    """Return the figures for each number of hosts."""
    return [measure_one(size) for size in SIZES]


def measure_one(size: int) -> Json:
    """Return the figures of so many hosts."""
    began = time.process_time()
    figures = run_virtual(cut_and_heal(size))
    figures["processor_s_of_run"] = round(time.process_time() - began, 1)
    return figures


async def cut_and_heal(size: int) -> Json:
    """Let the regions lose each other and meet again."""
    hosts = FakeHosts({f"zone-{zone}": size // ZONES for zone in range(ZONES)})
    await hosts.until_agreed()
    rest = await rate(hosts, REST_S)
    split(hosts)
    noticed = await until_split(hosts)
    notice = await rate(hosts, NOTICE_S)
    apart = await rate(hosts, CUT_S)
    known = [len(one.table.records) for one in hosts.running()]
    hosts.network.heal()
    before = total(hosts)
    healed = await hosts.until_agreed(LIMIT_S)
    bytes_each = (total(hosts) - before) / size
    after = await rate(hosts, NOTICE_S)
    await hosts.stop()
    return {
        "hosts": size,
        "at_rest_bytes_s": rest,
        "split_known_to_all_s": round(noticed, 1),
        "then_bytes_s": notice,
        "apart_bytes_s": apart,
        "records_kept": max(known),
        "healed_for_all_s": round(healed, 1),
        "healing_bytes_each": round(bytes_each),
        "healing_bytes_s": round(bytes_each / healed),
        "after_bytes_s": after,
    }


def region(zone: str) -> int:
    """Return the region of a zone."""
    return int(zone.rpartition("-")[2]) * 2 // ZONES


def split(hosts: FakeHosts) -> None:
    """Cut the regions off from each other."""
    sides: list[list[str]] = [[], []]
    for name, host in hosts.hosts.items():
        sides[region(host.ref.zone)].append(name)
    hosts.network.isolate(*sides)


async def until_split(hosts: FakeHosts) -> float:
    """Wait until all hosts take those of the other region for dead."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not all(one_sided(hosts, name) for name in hosts.hosts):
        if loop.time() - began > LIMIT_S:
            raise TimeoutError("the split was not noticed")
        await asyncio.sleep(STEP_S)
    return loop.time() - began


def one_sided(hosts: FakeHosts, name: str) -> bool:
    """Return whether a host takes those of the other region alone for dead."""
    host = hosts[name]
    mine = region(host.ref.zone)
    return all(
        (record.state < HostState.DEAD) == (region(record.ref.zone) == mine)
        for record in host.table.records.values()
    )


async def rate(hosts: FakeHosts, seconds: float) -> int:
    """Return the bytes that one host sends a second."""
    before = total(hosts)
    await asyncio.sleep(seconds)
    return round((total(hosts) - before) / seconds / len(hosts.hosts))


def total(hosts: FakeHosts) -> int:
    """Return the bytes that all hosts have sent."""
    return sum(hosts.network.sent_bytes.values())
