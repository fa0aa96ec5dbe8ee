"""Selection of the home host of each target."""

from collections.abc import Callable
from typing import Final

from ...host_directory import HostDirectory
from ...peer import HostRef
from .membership_record import HostRecord
from .membership_table import MembershipTable, RecordChange
from .rendezvous import ranked_hosts

MAX_RELAYS_PER_ZONE: Final = 2
RELAY_KEY: Final = "relay"

MAX_KEPT_ORDERS: Final = 1024
"""Bounds the memory of kept orders: one of 740 hosts takes 6 KB, and the hosts that
count workspaces are ranked for each workspace."""


class RankingCache:
    """Cache the ranking of known hosts per key until the set of hosts changes."""

    __slots__ = ("table", "epoch", "orders")

    def __init__(self, table: MembershipTable) -> None:
        self.table = table
        self.epoch = -1
        self.orders: dict[tuple[str, str, bool], list[str]] = {}

    def ranking(self, key: str, zone: str, inside: bool) -> list[str]:
        """Return the known hosts inside or outside `zone`, best first."""
        if self.epoch != self.table.known_epoch:
            self.orders.clear()
            self.epoch = self.table.known_epoch
        asked = (key, zone, inside)
        known = self.orders.get(asked)
        if known is None:
            known = self.orders[asked] = ranked_hosts(key, self.hosts(zone, inside))
        return known

    def hosts(self, zone: str, inside: bool) -> list[str]:
        """Return the known hosts inside or outside `zone`, unordered."""
        if inside:
            return list(self.table.zones.get(zone, ()))
        return [
            host
            for other, hosts in self.table.zones.items()
            if other != zone
            for host in hosts
        ]


class MembershipDirectory(HostDirectory):
    """Select homes from the membership table.

    Hosts with equal tables select equal homes. Among live hosts, weak hosts rank
    after others, and hosts with a flapping penalty rank last.

    :param is_weak: returns whether a host has less capacity than others.
    :param capacity_version: returns a number that changes with the capacities.
    :ivar live_orders: live hosts by key, zone and side of it, since the last change.
    :ivar live_basis: the table's epoch and the capacity version of `live_orders`.
    """

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        is_weak: Callable[[str], bool] = lambda host: False,
        capacity_version: Callable[[], int] = lambda: 0,
    ) -> None:
        self.ref = me
        self.table = table
        self.is_weak = is_weak
        self.capacity_version = capacity_version
        self.live_orders: dict[tuple[str, str, bool], list[HostRef]] = {}
        self.live_basis = (-1, -1)
        self.orders = RankingCache(table)
        self.callbacks: list[Callable[[], None]] = []
        table.listeners.append(self.notify)

    @property
    def me(self) -> HostRef:
        return self.ref

    def subscribe(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def notify(self, change: RecordChange) -> None:
        """Notify subscribers of a change that can move a home."""
        if change.before and change.after and same_for_homes(change):
            return
        for callback in self.callbacks:
            callback()

    def ranked(self, member: str, zone: str) -> list[HostRef]:
        hosts = self.live_order(member, zone, True)
        return hosts if hosts else self.live_order(member, zone, False)

    def home(self, member: str, zone: str) -> HostRef | None:
        """Return the home of a member without building the whole ranking."""
        inside = self.first(self.orders.ranking(member, zone, True))
        if inside is not None:
            return inside
        return self.first(self.orders.ranking(member, zone, False))

    def first(self, order: list[str]) -> HostRef | None:
        """Return the first live host, preferring one without penalty or weakness."""
        best = None
        for host in order:
            record = self.table.records[host]
            if not record.live:
                continue
            if best is None or self.demotion_key(record) < self.demotion_key(best):
                best = record
            if not any(self.demotion_key(best)):
                break
        return None if best is None else best.ref

    def demotion_key(self, record: HostRecord) -> tuple[bool, bool]:
        """Return a sort key that ranks penalized hosts last, weak ones before them."""
        return record.penalty > 0, self.is_weak(record.ref.host)

    def live(self, key: str, zone: str, inside: bool) -> list[HostRef]:
        """Return the live hosts inside or outside `zone` for a key, best first."""
        order = self.orders.ranking(key, zone, inside)
        records = [self.table.records[host] for host in order]
        return [record.ref for record in records if record.live]

    def live_order(self, key: str, zone: str, inside: bool) -> list[HostRef]:
        """Return the live hosts inside or outside `zone`, demoted ones last.

        The list is kept until a host or a capacity changes, since relays and standbys
        are looked up several times a second. Callers must not change it.
        """
        basis = (self.table.epoch, self.capacity_version())
        if basis != self.live_basis or len(self.live_orders) >= MAX_KEPT_ORDERS:
            self.live_orders.clear()
            self.live_basis = basis
        asked = (key, zone, inside)
        known = self.live_orders.get(asked)
        if known is None:
            order = self.orders.ranking(key, zone, inside)
            records = [self.table.records[host] for host in order]
            live = [record for record in records if record.live]
            live.sort(key=self.demotion_key)
            known = self.live_orders[asked] = [record.ref for record in live]
        return known

    def successor(self, member: str, zone: str) -> HostRef | None:
        """Return the host that becomes the home after this host leaves."""
        for inside in (True, False):
            order = self.orders.ranking(member, zone, inside)
            others = [host for host in order if host != self.ref.host]
            first = self.first(others)
            if first is not None:
                return first
        return None

    def has_live_host(self, zone: str) -> bool:
        """Return whether `zone` has a live host."""
        return any(record.live for record in self.table.in_zone(zone))

    def known_host_count(self, zone: str) -> int:
        """Return how many hosts of `zone` are known, live or not."""
        return len(self.table.zones.get(zone, ()))

    def relays(self, zone: str) -> list[HostRef]:
        """Return the hosts that query the platform on behalf of `zone`."""
        return self.live_order(RELAY_KEY, zone, True)[:MAX_RELAYS_PER_ZONE]

    def is_relay(self) -> bool:
        """Return whether this host is a relay of its zone."""
        return self.ref in self.relays(self.ref.zone)

    def rank_of(self, member: str, zone: str, host: str) -> int | None:
        """Return the rank of `host` among all known hosts, live or not.

        The hosts of the target's zone come first, then all others.
        """
        inside = self.orders.ranking(member, zone, True)
        if host in inside:
            return inside.index(host)
        outside = self.orders.ranking(member, zone, False)
        if host in outside:
            return len(inside) + outside.index(host)
        return None


def same_for_homes(change: RecordChange) -> bool:
    """Return whether a change of a known host cannot move a home."""
    return home_relevant_state(change.before) == home_relevant_state(change.after)


def home_relevant_state(record: HostRecord | None) -> tuple[HostRef, bool, bool] | None:
    """Return the parts of a record that affect home selection."""
    if record is None:
        return None
    return record.ref, record.live, record.penalty > 0
