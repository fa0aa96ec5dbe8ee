"""What the platform's list says, read by the relays of each zone."""

from collections.abc import Callable
from random import Random
from typing import Final, TypeAlias

import logbook

from ...clock import Clock
from ...peer import PeerError, Peers
from ...request.refusal import RefusalError
from ...version.catalog import Catalog, Member
from .directory import MembershipDirectory
from .hostlist import HostList, HostListUnavailable, ListedHost, ListedKind, ListedState
from .leaving import PATH
from .membership import Membership
from .membership_record import HostState

POLL_INTERVAL: Final = 1.0
LONGEST_INTERVAL: Final = 5.0
# A long list is read more rarely, lest it takes the budget for control.
LINES_PER_SECOND: Final = 300
POLL_TIMEOUT: Final = 1.0
TELL_TIMEOUT: Final = 0.5
# The list lags: a line may still speak of an earlier life of a host.
TRUSTED_AFTER: Final = 10.0

CatalogSource: TypeAlias = Callable[[], Catalog | None]

log = logbook.Logger("listing")


class Listing:
    """Poll the list while this host is a relay and pass on who leaves.

    Entry hosts that leave are told through the membership, targets through
    their homes. Both are told again with each poll, so that a lost message
    is repaired by the next.

    :ivar seen: whether each listed host was leaving, as of the last poll.
    :ivar leaving_since: monotonic time since when a host is seen leaving.
    :ivar on_addresses: called with the addresses of all listed entry hosts.
    :ivar told: targets whose homes were told that they leave.
    """

    def __init__(
        self,
        hostlist: HostList,
        membership: Membership,
        directory: MembershipDirectory,
        peers: Peers,
        catalog: CatalogSource,
        clock: Clock,
        random: Random,
    ) -> None:
        self.hostlist = hostlist
        self.membership = membership
        self.directory = directory
        self.peers = peers
        self.catalog = catalog
        self.clock = clock
        self.random = random
        self.seen: dict[str, bool] = {}
        self.leaving_since: dict[str, float] = {}
        self.told: set[str] = set()
        self.reachable = True
        self.on_addresses: Callable[[list[str]], None] = lambda addresses: None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if self.directory.is_relay():
                await self.poll()
            await self.clock.sleep(self.interval() * self.random.uniform(0.8, 1.2))

    def interval(self) -> float:
        """Return the seconds between two polls of a list as long as the last."""
        needed = len(self.seen) / LINES_PER_SECOND
        return min(max(POLL_INTERVAL, needed), LONGEST_INTERVAL)

    async def poll(self) -> None:
        """Read the list once and act on it."""
        lines = await self.read()
        if lines is None:
            return
        hosts = [line for line in lines if line.kind is ListedKind.HOST]
        self.membership.retire_unlisted({line.host for line in hosts})
        self.on_addresses([line.address for line in hosts])
        for line in lines:
            if line.kind is ListedKind.HOST:
                self.note_host(line)
        leaving = {
            line.host
            for line in lines
            if line.kind is ListedKind.TARGET and line.state is ListedState.LEAVING
        }
        self.seen = {line.host: line.state is ListedState.LEAVING for line in lines}
        for member in self.own_targets():
            if member.member in leaving:
                await self.tell_home(member, True)
            elif member.member in self.told:
                await self.tell_home(member, False)

    async def addresses(self) -> list[str]:
        """Return the addresses of all other listed entry hosts, to join by.

        They come in a random order, so that many do not join by the same one.
        """
        lines = await self.read() or []
        addresses = [
            line.address
            for line in lines
            if line.kind is ListedKind.HOST and line.host != self.membership.me.host
        ]
        self.random.shuffle(addresses)
        return addresses

    async def read(self) -> list[ListedHost] | None:
        """Return the list, or None if it cannot be read."""
        try:
            lines = await self.hostlist.hosts(POLL_TIMEOUT)
        except HostListUnavailable as error:
            if self.reachable:
                log.warning("The host list does not answer: {}.", error)
            self.reachable = False
            return None
        self.reachable = True
        return lines

    def note_host(self, line: ListedHost) -> None:
        """Let a host that the platform takes away know that it leaves."""
        if line.state is not ListedState.LEAVING:
            self.leaving_since.pop(line.host, None)
            return
        now = self.clock.monotonic()
        since = self.leaving_since.setdefault(line.host, now)
        turned = self.seen.get(line.host) is False
        if not turned and now - since < TRUSTED_AFTER:
            return
        record = self.membership.table.get(line.host)
        if record is None or not record.live:
            return
        self.membership.learn(record.in_state(HostState.LEAVING), now)

    def own_targets(self) -> list[Member]:
        """Return the targets of this zone and of zones without live hosts."""
        catalog = self.catalog()
        if catalog is None:
            return []
        zone = self.membership.me.zone
        return [
            member
            for group in catalog.groups.values()
            for member in group.members
            if member.zone == zone or not self.directory.served(member.zone)
        ]

    async def tell_home(self, member: Member, leaving: bool) -> None:
        """Tell the home of a target whether the platform takes it away."""
        home = self.directory.home(member.member, member.zone)
        if home is None:
            return
        try:
            body = {"member": member.member, "leaving": leaving}
            await self.peers.call(home, PATH, body, TELL_TIMEOUT)
        except (PeerError, RefusalError) as error:
            log.info("{} was not told of {}: {}", home.host, member.member, error)
            return
        if leaving:
            self.told.add(member.member)
        else:
            self.told.discard(member.member)
