"""Announced capacities of hosts."""

from typing import Final

from ...wire import WireError, decode
from .announcements import HOSTS_KEY_PREFIX, Announcements
from .key_value_store import Item

LINK_MBPS_PER_CORE: Final = 20.0
"""Link bandwidth for the statements that one core forwards, with half of the link
reserved for retransmissions."""

WEAK_FRACTION: Final = 0.5
"""Share of the highest capacity below which a host is weak."""


def capacity(cores: float, link_mbps: float) -> float:
    """Return the capacity of a host in cores, limited by its link."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


class HostCapacities:
    """Keep the capacities of hosts and determine which hosts are weak.

    The home of a busy target runs statements for many hosts, and delays all of them
    when overloaded. Weak hosts are therefore homes, or hold a primary lease, only
    where no other host can.

    :ivar known: capacities in cores, by host ID.
    :ivar highest: the highest of them.
    :ivar version: incremented on each change.
    """

    def __init__(self, announcements: Announcements) -> None:
        self.known: dict[str, float] = {}
        self.highest = 0.0
        self.version = 0
        announcements.on_host_item.append(self.handle_item)

    def handle_item(self, item: Item) -> None:
        """Apply the announcement of a host.

        The capacity of a host that is gone is kept, since most hosts come back.
        """
        if not item.key.startswith(HOSTS_KEY_PREFIX) or item.value is None:
            return
        try:
            announced = float(decode(item.value)["capacity"])
        except (WireError, LookupError, TypeError, ValueError):
            # Without a valid capacity the host stays unknown.
            return
        host = item.key[len(HOSTS_KEY_PREFIX) :]
        if self.known.get(host) == announced:
            return
        self.version += 1
        self.known[host] = announced
        self.highest = max(self.known.values())

    def is_weak(self, host: str) -> bool:
        """Return whether a host has less than half of the highest capacity."""
        return self.known.get(host, self.highest) < WEAK_FRACTION * self.highest
