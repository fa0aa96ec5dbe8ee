"""How much work hosts can bear, as they announce it."""

from typing import Final

from ...wire import WireError, decode
from .announcements import HOSTS_KEY_PREFIX, Announcements
from .key_value_store import Item

LINK_MBPS_PER_CORE: Final = 20.0
"""Mbit/s that one core can fill: it passes on about 600 statements a second, each
with 2 KB each way, and half of the link is left for what is sent again."""

WEAK_FRACTION: Final = 0.5
"""Share of the strongest host's capacity below which a host is weak."""


def capacity(cores: float, link_mbps: float) -> float:
    """Return what a host can bear, in cores."""
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


class HostCapacities:
    """Tell which hosts are weak.

    The home of a busy target does the work of many hosts. Weak ones are homes,
    or use a primary, only where no other can: in a deployment of mixed hosts a
    weak one at its limit makes all that depends on it late.

    :ivar known: capacities of hosts by name, in cores.
    """

    def __init__(self, announcements: Announcements) -> None:
        self.known: dict[str, float] = {}
        self.most = 0.0
        announcements.on_host_item.append(self.handle_item)

    def handle_item(self, item: Item) -> None:
        """Take over what a host announces.

        One that has gone keeps its figure: it mostly comes back.
        """
        if not item.key.startswith(HOSTS_KEY_PREFIX) or item.value is None:
            return
        try:
            found = float(decode(item.value)["capacity"])
        except (WireError, LookupError, TypeError, ValueError):
            # An entry without a figure leaves the host unknown.
            return
        self.known[item.key[len(HOSTS_KEY_PREFIX) :]] = found
        self.most = max(self.known.values())

    def is_weak(self, host: str) -> bool:
        """Return whether others bear more than twice as much."""
        return self.known.get(host, self.most) < WEAK_FRACTION * self.most
