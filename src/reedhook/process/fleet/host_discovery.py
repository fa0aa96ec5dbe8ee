"""Meeting hosts of which only an address is known."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Final

import logbook

from ...clock import Clock
from ...peer import HostRef
from .membership_table import MembershipTable

JOIN_PULLS: Final = 32
"""Pulls from the first host that answers; one brings up to 64 records."""

JOIN_TIMEOUT_SECONDS: Final = 2.0
"""Seconds after which a host that nobody answers goes on alone."""

JOIN_RETRY_SECONDS: Final = 0.2
"""Seconds between two rounds of all known addresses."""

MAX_PARALLEL_PROBES: Final = 3
"""Addresses that are asked at once."""

PROBE_CANDIDATES_LIMIT: Final = 8
"""Of the addresses where nobody is known, the first so many are chosen from: those
of the own zone come first, and what is learned there crosses no zone's border."""

MAX_PROBE_ROUNDS: Final = 8
PROBE_ROUND_DELAY_SECONDS: Final = 0.1
"""Rounds of questions, and seconds between two; 195 hosts that start within 0.3 s
all know each other 2 s later, in virtual time."""

UNKNOWN_ID: Final = "?"
"""Name and zone of a host that has yet to say them."""

log = logbook.Logger("greeter")


class HostDiscovery:
    """Ask at addresses who is there, and take over what they know.

    :param probe: exchanges a heartbeat with a host; returns whether it answered.
    :param pull: takes over differing records; returns how many were new.
    :param seeds: addresses (``IP:port``) at which other hosts may be found.
    :param list_addresses: reads more such addresses from the platform's list, best
        first.
    :ivar listed_addresses: addresses that the platform listed last, best first.
    :ivar joined: set once the table of another host was taken over, or once
        none answered for long enough to go on alone.
    :ivar group: runs the greetings; None while the host does not run.
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
        """Take over the table of the first host to answer."""
        deadline = self.clock.monotonic() + JOIN_TIMEOUT_SECONDS
        while not await self.join_once():
            if self.clock.monotonic() >= deadline:
                log.info("No other host answers; this one goes on alone.")
                break
            await self.clock.sleep(JOIN_RETRY_SECONDS)
        self.joined.set()

    async def join_once(self) -> bool:
        """Try all known addresses once; return whether there is nothing to wait for."""
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
        """Ask whoever is at `address`; return whether a host answered."""
        return await self.probe(HostRef(UNKNOWN_ID, UNKNOWN_ID, address))

    def update_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Take note of addresses that the platform lists, the nearest first.

        Those that are new are asked at once, a few at a time, so that hosts that
        start together know each other within a second instead of five.
        """
        self.listed_addresses = [one for one in addresses if one != self.me.address]
        greeting = self.probe_task is not None and not self.probe_task.done()
        if self.group is None or greeting or not self.unknown_addresses():
            return
        self.probe_task = self.group.create_task(self.probe_listed_addresses())

    def unknown_addresses(self) -> list[str]:
        """Return the listed addresses at which no known host is, nearest first."""
        return [
            one for one in self.listed_addresses if one not in self.table.by_address
        ]

    async def probe_listed_addresses(self) -> None:
        """Ask at addresses, and take over what one of those that answer knows."""
        tried: set[str] = set()
        for _ in range(MAX_PROBE_ROUNDS):
            choice = [one for one in self.unknown_addresses() if one not in tried][
                :PROBE_CANDIDATES_LIMIT
            ]
            if not choice:
                return
            chosen = self.rng.sample(choice, min(MAX_PARALLEL_PROBES, len(choice)))
            tried.update(chosen)
            await asyncio.gather(*map(self.probe_address, chosen))
            met = [one for one in chosen if one in self.table.by_address]
            if met:
                host = self.table.by_address[met[0]]
                await self.pull(self.table.records[host].ref)
            await self.clock.sleep(PROBE_ROUND_DELAY_SECONDS)

    async def probe_unknown_address(self) -> None:
        """Ask at one address that no known host stands for."""
        addresses = {*self.seeds, *self.listed_addresses}
        missing = sorted(addresses - self.table.by_address.keys())
        for address in self.rng.sample(missing, min(1, len(missing))):
            await self.probe_address(address)
