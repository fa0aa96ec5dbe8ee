"""Measure the configuration: cost of an edit, growth with the number of hosts.

    python -m bench.configuration [--hosts=3,9,30,90] [--edits=10]

Prints JSON. The cost of an edit is processor time on this machine. The growth
is measured with hosts in one process over the fake network and store of the
tests, in virtual time: calls, messages and bytes are counted; propagation times
follow from the delays (0.5 ms one way, 2 ms a store call) and from the
intervals in the code, not from this machine's speed.
"""

import asyncio
import json
import statistics
import time
from collections.abc import Callable
from typing import Any, Final

import docopt

from reedhook.process.worker import ThreadWorker
from reedhook.version.catalog import Catalog
from reedhook.version.document import BASE_FILE, ConfigurationDocuments, parse_document
from reedhook.version.merge import merge_site
from reedhook.version.snapshot import ConfigurationSnapshot, build_snapshot
from reedhook.version.validation import validate_documents
from tests.config_fleet import Fleet, FleetHost
from tests.fakes_clock import run_virtual

SITES: Final = 10
SERVICES: Final = 10
REPEATS: Final = 5
SPACING_S: Final = 10.0


def main() -> None:
    """Run all measurements and print them."""
    options = docopt.docopt(USAGE)
    hosts = [int(number) for number in options["--hosts"].split(",")]
    report = {
        "edition": [edition_cost(members) for members in (84, 840, 2520)],
        "fleet": [fleet_cost(number, int(options["--edits"])) for number in hosts],
    }
    print(json.dumps(report, indent=2))


USAGE: Final = """Measure the configuration.

Usage: configuration [--hosts=LIST] [--edits=N]

Options:
  --hosts=LIST  Numbers of hosts [default: 3,9,30,90].
  --edits=N     Edits for each number [default: 10].
"""


def large_documents(members: int) -> ConfigurationDocuments:
    """Return documents with `members` members in groups of 3, over all sites."""
    lines = ["services:"]
    for service in range(SERVICES):
        lines += [f"  service-{service}:", "    slots: 2", "    connections: 15"]
        lines.append("    groups:")
        for group in range(service, members // 3, SERVICES):
            lines += [f"      group-{group}:", "        members:"]
            lines += [member_line(group, number) for number in range(3)]
    lines += ["workspaces: {}", "limits: {queue: 64}", ""]
    overlays = {f"zone-{n}": f"limits: {{queue: {n + 1}}}\n" for n in range(SITES)}
    return ConfigurationDocuments("\n".join(lines), overlays)


def member_line(group: int, member: int) -> str:
    """Return the document line of one member."""
    address = f"10.{group // 250}.{group % 250}.{member}:17101"
    zone = f"zone-{(group + member) % SITES}"
    return f'          target-{group}-{member}: {{zone: {zone}, address: "{address}"}}'


def edition_cost(members: int) -> dict[str, Any]:
    """Return the cost of one snapshot with `members` members."""
    edition = large_documents(members)
    first = build_snapshot(edition, None, "one", "bench", "", 0.0)
    text = edition.base.replace("10.0.9.1:17101", "10.9.9.9:17101")
    changed = ConfigurationDocuments(text, edition.overlays)
    second = build_snapshot(changed, first.manifest, "two", "bench", "", 0.0)
    base = parse_document(BASE_FILE, edition.base, [])
    overlay = parse_document("overlay", edition.overlays["zone-1"], [])
    return {
        "members": members,
        "text_bytes": len(edition.base),
        "parts": len(first.manifest.parts),
        "packed_bytes": packed_size(first, 0),
        "head_bytes": len(first.manifest.encode()),
        "changed_line_parts": fresh_parts(second),
        "changed_line_packed_bytes": packed_size(second, 1),
        "check_all_sites_ms": cpu_ms(lambda: validate_documents(edition)),
        "check_one_site_ms": cpu_ms(
            lambda: validate_documents(edition, only_site="zone-1")
        ),
        "merge_one_site_ms": cpu_ms(lambda: merge_site("zone-1", base, overlay)),
        "make_edition_ms": cpu_ms(
            lambda: build_snapshot(changed, first.manifest, "two", "bench", "", 0.0)
        ),
        "unpack_ms": cpu_ms(first.documents),
        "longest_block_of_loop_ms": longest_block_ms(edition),
    }


def fresh_parts(edition: ConfigurationSnapshot) -> int:
    """Return how many parts a snapshot adds."""
    return sum(part.version == edition.version for part in edition.manifest.parts)


def packed_size(edition: ConfigurationSnapshot, after: int) -> int:
    """Return the packed size of the parts added after a version."""
    fresh = {part.digest for part in edition.manifest.parts if part.version > after}
    return sum(len(edition.packed[digest]) for digest in fresh)


def cpu_ms(function: Callable[[], object]) -> float:
    """Return the median processor time of `function` in milliseconds."""
    times = []
    for _ in range(REPEATS):
        begin = time.process_time()
        function()
        times.append(time.process_time() - begin)
    return round(statistics.median(times) * 1000, 2)


def longest_block_ms(edition: ConfigurationDocuments) -> float:
    """Return the longest pause of the event loop during a check in a thread."""

    async def watch() -> float:
        check_task = asyncio.create_task(
            ThreadWorker().run(validate_documents, edition)
        )
        longest, last = 0.0, time.perf_counter()
        while not check_task.done():
            await asyncio.sleep(0)
            now = time.perf_counter()
            longest, last = max(longest, now - last), now
        return longest

    pauses = [asyncio.run(watch()) for _ in range(REPEATS)]
    return round(statistics.median(pauses) * 1000, 2)


def fleet_cost(number: int, edits: int) -> dict[str, Any]:
    """Return the cost of edits in a fleet of `number` hosts in three zones."""
    return run_virtual(measure_fleet(number, edits))


async def measure_fleet(number: int, edits: int) -> dict[str, Any]:
    """Apply edits one after another and count calls and bytes."""
    async with Fleet(per_zone=number // 3) as fleet:
        await fleet.hosts[0].apply(1, "first", 0)
        await asyncio.sleep(SPACING_S)
        idle = Counts(fleet)
        await asyncio.sleep(SPACING_S * edits)
        idle.stop()
        busy, times = Counts(fleet), []
        for edit in range(edits):
            times += await time_edit(fleet, edit)
        busy.stop()
    return {
        "hosts": number,
        "relays": sum(host.relaying for host in fleet.hosts),
        "idle_store_calls_per_s": round(idle.calls / (SPACING_S * edits), 2),
        "store_calls_per_edit": round((busy.calls - idle.calls) / edits, 1),
        "peer_calls_per_edit_and_host": per_host(busy.pulls, edits, number),
        "bytes_per_edit_and_host": per_host(busy.sent - idle.sent, edits, number),
        "in_force_p50_ms": quantile_ms(times, 0.5),
        "in_force_p99_ms": quantile_ms(times, 0.99),
        "in_force_max_ms": quantile_ms(times, 1.0),
    }


class Counts:
    """Count store calls, peer calls and bytes during an interval."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.calls = -fleet.calls()
        self.pulls = -fleet.network.calls["config"]
        self.sent = -sum(fleet.network.sent_bytes.values())

    def stop(self) -> None:
        """End the interval."""
        self.calls += self.fleet.calls()
        self.pulls += self.fleet.network.calls["config"]
        self.sent += sum(self.fleet.network.sent_bytes.values())


async def time_edit(fleet: Fleet, edit: int) -> list[float]:
    """Apply one edit; return when it came into force at each host."""
    begin = asyncio.get_running_loop().time()
    host = fleet.hosts[edit % len(fleet.hosts)]
    waits = [
        asyncio.create_task(wait_for_change(fleet_host)) for fleet_host in fleet.hosts
    ]
    await asyncio.sleep(0)
    await host.apply(edit + 10, f"edit-{edit}")
    times = [await wait - begin for wait in waits]
    await asyncio.sleep(max(0.0, SPACING_S - max(times)))
    return times


async def wait_for_change(host: FleetHost) -> float:
    """Return the time at which the next version comes into force."""
    changed = asyncio.Event()
    before = host.keeper.version

    def note(catalog: Catalog) -> None:
        if catalog.version > before:
            changed.set()

    host.keeper.on_change(note)
    await changed.wait()
    return asyncio.get_running_loop().time()


def per_host(total: int, edits: int, hosts: int) -> float:
    """Return a total per edit and host."""
    return round(total / edits / hosts, 1)


def quantile_ms(times: list[float], share: float) -> float:
    """Return a quantile in milliseconds."""
    ordered = sorted(times)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[index] * 1000, 1)


if __name__ == "__main__":
    main()
