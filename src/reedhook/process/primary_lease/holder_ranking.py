"""Which hosts should hold the lead of a service, or stand in for its holder."""

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

    :param is_weak: whether the host named is weaker than others.
    """

    def __init__(
        self,
        me: HostRef,
        directory: MembershipDirectory,
        announcements: Announcements,
        registry: PrimaryLeaseRegistry,
        failure_detector: HolderFailureDetector,
        is_weak: Callable[[str], bool],
    ) -> None:
        self.me = me
        self.directory = directory
        self.announcements = announcements
        self.registry = registry
        self.failure_detector = failure_detector
        self.is_weak = is_weak

    def ranked(self, service: str) -> list[HostRef]:
        """Return the hosts that may take a lead, best first.

        Those in another availability zone than the primary come first: then a
        zone that is cut off takes away the primary or its user, never both. Of
        these the weak come last.
        """
        zone = self.primary_zone(service)
        key = lease_key(service)
        order = self.directory.live(key, zone, False)
        order += self.directory.live(key, zone, True)
        order.sort(key=lambda ref: self.placement_penalty(ref, zone))
        return order

    def placement_penalty(self, ref: HostRef, zone: str) -> tuple[bool, bool]:
        """Return what speaks against a host, the worst first.

        :param zone: of the primary.
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
        """Return the hosts that stand by for the holder of a lead.

        The first two in rank that are in different zones do: at least one of
        them is not cut off together with the holder. The deputy does, too.
        """
        ranked = [ref for ref in self.ranked(service) if ref.host != holder.host]
        chosen = ranked[:1]
        chosen += [ref for ref in ranked if ref.zone != ranked[0].zone][:1]
        record = self.registry.get(service)
        if record is not None and record.backup_holder is not None:
            chosen.append(record.backup_holder.ref)
        return chosen

    def deputy(self, service: str, primary: TargetAnnouncement) -> HostRef | None:
        """Return the host that is to stand in for this one, or None.

        In a third zone it is not cut off along with the holder, nor with the
        primary when that is to be replaced.
        """
        others = [ref for ref in self.ranked(service) if ref.host != self.me.host]
        zones = (self.me.zone, primary.zone)
        others.sort(key=lambda ref: (ref.zone in zones, ref.zone == primary.zone))
        for ref in others:
            if not self.failure_detector.is_lost(ref):
                return ref
        return None

    def better(self, service: str, primary: TargetAnnouncement) -> HostRef | None:
        """Return who should hold a lead in place of this host, or None.

        That is a host in another zone than the primary, if this one is not, and
        a strong one, if this one is weak.
        """
        mine = self.placement_penalty(self.me, primary.zone)
        for ref in self.ranked(service):
            if self.failure_detector.is_lost(ref):
                continue
            return ref if self.placement_penalty(ref, primary.zone) < mine else None
        return None
