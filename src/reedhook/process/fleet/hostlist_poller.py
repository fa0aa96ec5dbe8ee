"""Polling of the platform's host list by the relays of each zone."""

from collections.abc import Callable
from random import Random
from typing import Final, TypeAlias

import logbook

from ...clock import Clock
from ...peer import PeerClient, PeerError
from ...request.refusal import RefusalError
from ...version.catalog import Catalog, Member
from .hostlist import (
    HostList,
    HostListEntry,
    HostListUnavailableError,
    ListedKind,
    ListedState,
)
from .leaving_targets import LEAVING_PATH
from .membership import Membership
from .membership_directory import MembershipDirectory
from .membership_record import MembershipState

MIN_POLL_INTERVAL_SECONDS: Final = 1.0
MAX_POLL_INTERVAL_SECONDS: Final = 5.0
# Bounds the bandwidth used for long lists.
LINES_PER_SECOND: Final = 300
POLL_TIMEOUT_SECONDS: Final = 1.0
NOTIFY_TIMEOUT_SECONDS: Final = 0.5
# The list lags: an entry may still refer to a previous incarnation of a host.
LEAVING_CONFIRMATION_SECONDS: Final = 10.0

CatalogSource: TypeAlias = Callable[[], Catalog | None]

log = logbook.Logger("listing")


class HostListPoller:
    """Poll the list while this host is a relay and announce leaving hosts.

    Leaving entry hosts are announced through the membership, leaving targets to
    their homes. Each poll repeats the announcements, which makes up for lost messages.

    :ivar was_leaving: whether each listed host was leaving at the last poll.
    :ivar leaving_since: monotonic time at which each host was first listed as leaving.
    :ivar on_addresses: called with the addresses of the listed entry hosts.
    :ivar notified_targets: targets whose homes were notified that they leave.
    """

    def __init__(
        self,
        hostlist: HostList,
        membership: Membership,
        directory: MembershipDirectory,
        peers: PeerClient,
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
        self.was_leaving: dict[str, bool] = {}
        self.leaving_since: dict[str, float] = {}
        self.notified_targets: set[str] = set()
        self.reachable = True
        self.on_addresses: Callable[[list[str]], None] = lambda addresses: None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if self.directory.is_relay():
                await self.poll()
            await self.clock.sleep(self.interval() * self.random.uniform(0.8, 1.2))

    def interval(self) -> float:
        """Return the poll interval in seconds, longer for a longer list."""
        needed = len(self.was_leaving) / LINES_PER_SECOND
        return min(max(MIN_POLL_INTERVAL_SECONDS, needed), MAX_POLL_INTERVAL_SECONDS)

    async def poll(self) -> None:
        """Read the list once and announce leaving hosts and targets."""
        lines = await self.read()
        if lines is None:
            return
        hosts = [line for line in lines if line.kind is ListedKind.HOST]
        self.membership.retire_unlisted({line.host for line in hosts})
        self.on_addresses([line.address for line in hosts])
        for line in lines:
            if line.kind is ListedKind.HOST:
                self.update_leaving_host(line)
        leaving = {
            line.host
            for line in lines
            if line.kind is ListedKind.TARGET and line.state is ListedState.LEAVING
        }
        self.was_leaving = {
            line.host: line.state is ListedState.LEAVING for line in lines
        }
        for member in self.responsible_targets():
            if member.member_id in leaving:
                await self.notify_home(member, True)
            elif member.member_id in self.notified_targets:
                await self.notify_home(member, False)

    async def addresses(self) -> list[str]:
        """Return the addresses of all other listed entry hosts, for joining.

        The order is random so that starting hosts do not all join through the same
        host.
        """
        lines = await self.read() or []
        addresses = [
            line.address
            for line in lines
            if line.kind is ListedKind.HOST and line.host != self.membership.me.host
        ]
        self.random.shuffle(addresses)
        return addresses

    async def read(self) -> list[HostListEntry] | None:
        """Return the list, or None if it is unavailable."""
        try:
            lines = await self.hostlist.hosts(POLL_TIMEOUT_SECONDS)
        except HostListUnavailableError as error:
            if self.reachable:
                log.warning("Host list unavailable, retrying: {}.", error)
            self.reachable = False
            return None
        self.reachable = True
        return lines

    def update_leaving_host(self, line: HostListEntry) -> None:
        """Mark a host as leaving unless its entry may be outdated."""
        if line.state is not ListedState.LEAVING:
            self.leaving_since.pop(line.host, None)
            return
        now = self.clock.monotonic()
        since = self.leaving_since.setdefault(line.host, now)
        state_changed = self.was_leaving.get(line.host) is False
        if not state_changed and now - since < LEAVING_CONFIRMATION_SECONDS:
            return
        record = self.membership.table.get(line.host)
        if record is None or not record.live:
            return
        self.membership.merge_record(record.in_state(MembershipState.LEAVING), now)

    def responsible_targets(self) -> list[Member]:
        """Return the targets in this zone and in zones without live hosts."""
        catalog = self.catalog()
        if catalog is None:
            return []
        zone = self.membership.me.zone
        return [
            member
            for group in catalog.groups.values()
            for member in group.members
            if member.zone == zone or not self.directory.has_live_host(member.zone)
        ]

    async def notify_home(self, member: Member, leaving: bool) -> None:
        """Notify the home of a target whether the target is leaving."""
        home = self.directory.home(member.member_id, member.zone)
        if home is None:
            return
        try:
            body = {"member": member.member_id, "leaving": leaving}
            await self.peers.call(home, LEAVING_PATH, body, NOTIFY_TIMEOUT_SECONDS)
        except (PeerError, RefusalError) as error:
            log.info(
                "Notifying {} about {} failed: {}", home.host, member.member_id, error
            )
            return
        if leaving:
            self.notified_targets.add(member.member_id)
        else:
            self.notified_targets.discard(member.member_id)
