"""Ring of hosts that determines which hosts monitor which."""

from typing import Final

from ...peer import HostRef
from .membership_record import MembershipState
from .membership_table import MembershipTable
from .rendezvous import score

WATCHED_HOST_COUNT: Final = 2
RING: Final = "ring"


def watched_hosts(me: HostRef, table: MembershipTable) -> set[str]:
    """Return the hosts that `me` monitors.

    Each host is monitored by its predecessors on the ring of its zone. The only host
    of a zone is monitored by its predecessors on the ring of all hosts.
    """
    wanted = set(successors(me.host, hosts_on_ring(table, me.zone)))
    for zone in table.zones:
        alone = hosts_on_ring(table, zone)
        if zone == me.zone or len(alone) != 1:
            continue
        everyone = hosts_on_ring(table, None)
        wanted |= set(alone) & set(successors(me.host, everyone))
    return wanted


def hosts_on_ring(table: MembershipTable, zone: str | None) -> list[str]:
    """Return the hosts of a zone that are neither dead nor gone."""
    return [
        record.ref.host
        for record in table.in_zone(zone)
        if record.state < MembershipState.DEAD
    ]


def successors(host: str, hosts: list[str]) -> list[str]:
    """Return the next `WATCHED_HOST_COUNT` hosts after `host` on the ring."""
    ring = sorted(hosts, key=lambda name: (score(RING, name), name))
    if host not in ring:
        return []
    start = ring.index(host)
    count = min(WATCHED_HOST_COUNT, len(ring) - 1)
    return [ring[(start + step + 1) % len(ring)] for step in range(count)]
