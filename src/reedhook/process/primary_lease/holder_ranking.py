"""Ranking of hosts as holders and backup holders of primary leases."""

from collections.abc import Callable

from ...peer import HostRef
from ...version.route_table import TargetAnnouncement
from ..discovery.announcements import Announcements
from ..fleet.membership_directory import MembershipDirectory
from .holder_failure_detector import HolderFailureDetector
from .lease_record import lease_key
from .lease_registry import PrimaryLeaseRegistry


class LeaseHolderRanking:
    """Order hosts for each service, by rank and availability zone.

    The order of a service is kept until a host, a capacity or the zone of the primary
    changes: every host checks the holder of every service several times a second, and
    sorting all hosts each time took most of the processor time of idle hosts.

    :param is_weak: returns whether a host ID names a host of low capacity.
    :param capacity_version: returns a number that changes with the capacities.
    :ivar orders: order of the hosts by service, with what it was computed from.
    """

    def __init__(
        self,
        me: HostRef,
        directory: MembershipDirectory,
        announcements: Announcements,
        registry: PrimaryLeaseRegistry,
        failure_detector: HolderFailureDetector,
        is_weak: Callable[[str], bool],
        capacity_version: Callable[[], int] = lambda: 0,
    ) -> None:
        self.me = me
        self.directory = directory
        self.announcements = announcements
        self.registry = registry
        self.failure_detector = failure_detector
        self.is_weak = is_weak
        self.capacity_version = capacity_version
        self.orders: dict[str, tuple[tuple[int, int, str], list[HostRef]]] = {}

    def ranked(self, service: str) -> list[HostRef]:
        """Return the hosts that may claim a lease, best first.

        Hosts outside the primary's availability zone come first, so that the loss of
        one zone takes the primary or its holder, not both. Weak hosts come last
        within each group. Callers must not change the list.
        """
        zone = self.primary_zone(service)
        basis = (self.directory.table.epoch, self.capacity_version(), zone)
        kept = self.orders.get(service)
        if kept is not None and kept[0] == basis:
            return kept[1]
        key = lease_key(service)
        order = self.directory.live(key, zone, False)
        order += self.directory.live(key, zone, True)
        order.sort(key=lambda ref: self.placement_penalty(ref, zone))
        self.orders[service] = (basis, order)
        return order

    def placement_penalty(self, ref: HostRef, zone: str) -> tuple[bool, bool]:
        """Return the sort key of a host; lower is better.

        :param zone: zone of the primary.
        """
        return ref.zone == zone, self.is_weak(ref.host)

    def primary_zone(self, service: str) -> str:
        """Return the availability zone of the primary; empty if unknown."""
        record = self.registry.get(service)
        if record is not None and record.primary:
            known = self.announcements.last_entry(record.primary)
            return "" if known is None else known.zone
        for entry in self.announcements.targets.values():
            if entry.service == service and entry.claims_primary:
                return entry.zone
        return ""

    def standbys(self, service: str, holder: HostRef) -> list[HostRef]:
        """Return the hosts that probe a holder and claim its lease if it is lost.

        These are the first two in rank that are in different zones, so that at least
        one is not partitioned together with the holder, and the backup holder.
        """
        chosen: list[HostRef] = []
        for ref in self.ranked(service):
            if ref.host == holder.host:
                continue
            if not chosen:
                chosen.append(ref)
            elif ref.zone != chosen[0].zone:
                chosen.append(ref)
                break
        record = self.registry.get(service)
        if record is not None and record.backup_holder is not None:
            chosen.append(record.backup_holder.ref)
        return chosen

    def rank_backups(self, service: str, primary: TargetAnnouncement) -> list[HostRef]:
        """Return the hosts that may be backup holder for this one, best first.

        A host in a third zone is preferred: it is partitioned neither with the holder
        nor with the primary.
        """
        others = [
            ref
            for ref in self.ranked(service)
            if ref.host != self.me.host and not self.failure_detector.is_lost(ref)
        ]
        zones = (self.me.zone, primary.zone)
        others.sort(key=lambda ref: (ref.zone in zones, ref.zone == primary.zone))
        return others

    def better_holder(
        self, service: str, primary: TargetAnnouncement
    ) -> HostRef | None:
        """Return a host that should hold a lease instead of this one, or None.

        Such a host is outside the primary's zone where this one is inside, or not
        weak where this one is weak.
        """
        mine = self.placement_penalty(self.me, primary.zone)
        for ref in self.ranked(service):
            if self.failure_detector.is_lost(ref):
                continue
            return ref if self.placement_penalty(ref, primary.zone) < mine else None
        return None
