"""Discovery of hosts of which only an address is known."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import logbook

from ...clock import Clock
from ...peer import HostRef
from .membership_table import MembershipTable

JOIN_PULLS: Final = 32
"""Maximum number of pulls from the first host that responds."""

JOIN_TIMEOUT_SECONDS: Final = 2.0
"""Seconds after which a host that gets no response starts on its own."""

JOIN_RETRY_SECONDS: Final = 0.2
"""Seconds between two attempts at all known addresses."""

MAX_PARALLEL_PROBES: Final = 3

PROBE_CANDIDATES_LIMIT: Final = 8
"""Number of unknown addresses to choose from. Addresses of this zone come first, so
pulls stay within the zone where possible."""

MAX_PROBE_ROUNDS: Final = 8
PROBE_ROUND_DELAY_SECONDS: Final = 0.1

UNKNOWN_ID: Final = "?"
"""Id and zone of a host of which only the address is known."""

log = logbook.Logger("greeter")


class HostDiscovery:
    """Probe addresses for unknown hosts and pull their membership records.

    :param probe: exchanges a heartbeat with a host; returns whether it responded.
    :param pull: pulls differing records; returns how many were applied.
    :param seeds: addresses (``IP:port``) at which other hosts may be found.
    :param list_addresses: reads more such addresses from the platform's host list,
        best first.
    :ivar listed_addresses: addresses in the last platform host list, best first.
    :ivar joined: set once the records of another host were pulled, or once no host
        responded within `JOIN_TIMEOUT_SECONDS`.
    :ivar group: task group for probes; None while the host does not run.
    """

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        probe: Callable[[HostRef], Awaitable[bool]],
        pull: Callable[[HostRef], Awaitable[int]],
        clock: Clock,
        rng: random.Random,
        seeds: Iterable[str],
        list_addresses: Callable[[], Awaitable[list[str]]] | None,
    ) -> None:
        self.me = me
        self.table = table
        self.probe = probe
        self.pull = pull
        self.clock = clock
        self.rng = rng
        self.seeds = [seed for seed in seeds if seed != me.address]
        self.list_addresses = list_addresses
        self.listed_addresses: list[str] = []
        self.joined = asyncio.Event()
        self.group: asyncio.TaskGroup | None = None
        self.probe_task: asyncio.Task[None] | None = None

    async def join(self) -> None:
        """Pull the table of the first host that responds."""
        deadline = self.clock.monotonic() + JOIN_TIMEOUT_SECONDS
        while not await self.join_once():
            if self.clock.monotonic() >= deadline:
                log.info("No other host responded; starting without peers.")
                break
            await self.clock.sleep(JOIN_RETRY_SECONDS)
        self.joined.set()

    async def join_once(self) -> bool:
        """Try all known addresses once; return whether to stop trying."""
        listed = await self.list_addresses() if self.list_addresses is not None else []
        seeds = self.rng.sample(self.seeds, len(self.seeds))
        addresses = dict.fromkeys([*listed, *seeds])
        addresses.pop(self.me.address, None)
        for address in addresses:
            if not await self.probe_address(address):
                continue
            ref = self.table.records[self.table.by_address[address]].ref
            for _ in range(JOIN_PULLS):
                if not await self.pull(ref):
                    break
            return True
        return not addresses

    async def probe_address(self, address: str) -> bool:
        """Probe `address`; return whether a host responded."""
        return await self.probe(HostRef(UNKNOWN_ID, UNKNOWN_ID, address))

    def update_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Set the addresses from the platform's host list, nearest first.

        Unknown addresses are probed immediately, a few at a time, so that hosts that
        start together discover each other quickly.
        """
        self.listed_addresses = [
            address for address in addresses if address != self.me.address
        ]
        probing = self.probe_task is not None and not self.probe_task.done()
        if self.group is None or probing or not self.unknown_addresses():
            return
        self.probe_task = self.group.create_task(self.probe_listed_addresses())

    def unknown_addresses(self) -> list[str]:
        """Return the listed addresses without a known host, nearest first."""
        return [
            address
            for address in self.listed_addresses
            if address not in self.table.by_address
        ]

    async def probe_listed_addresses(self) -> None:
        """Probe unknown addresses in rounds; pull from one found host per round."""
        tried: set[str] = set()
        for _ in range(MAX_PROBE_ROUNDS):
            candidates = [
                address for address in self.unknown_addresses() if address not in tried
            ][:PROBE_CANDIDATES_LIMIT]
            if not candidates:
                return
            chosen = self.rng.sample(
                candidates, min(MAX_PARALLEL_PROBES, len(candidates))
            )
            tried.update(chosen)
            await asyncio.gather(*map(self.probe_address, chosen))
            found = [address for address in chosen if address in self.table.by_address]
            if found:
                host = self.table.by_address[found[0]]
                await self.pull(self.table.records[host].ref)
            await self.clock.sleep(PROBE_ROUND_DELAY_SECONDS)

    async def probe_unknown_address(self) -> None:
        """Probe one random address without a known host."""
        addresses = {*self.seeds, *self.listed_addresses}
        missing = sorted(addresses - self.table.by_address.keys())
        for address in self.rng.sample(missing, min(1, len(missing))):
            await self.probe_address(address)
