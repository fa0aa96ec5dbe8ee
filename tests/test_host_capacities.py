"""Capacities of hosts, and which hosts count as weak."""

import pytest

from reedhook.decision_log import DecisionLog
from reedhook.process.discovery.announcements import HOSTS_KEY_PREFIX, Announcements
from reedhook.process.discovery.host_capacities import HostCapacities, capacity
from reedhook.process.discovery.key_value_store import Item
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.wire import encode

from .fakes_clock import LoopClock, in_virtual_time
from .session_world import PlainDocuments


@pytest.mark.parametrize(
    ("cores", "link", "expected"),
    [(0.5, 1000.0, 0.5), (2.15, 200.0, 2.15), (2.0, 10.0, 0.5), (0.5, 5.0, 0.25)],
)
def test_slow_link_limits_capacity(cores: float, link: float, expected: float) -> None:
    assert capacity(cores, link) == expected


@in_virtual_time
async def test_host_below_half_of_highest_capacity_is_weak() -> None:
    clock = LoopClock()
    announcements = Announcements(
        PlainDocuments(),
        clock,
        DecisionLog("h1", clock, output_fd=None),
    )
    capacities = HostCapacities(announcements)
    assert not capacities.is_weak("h1")
    values = {"h1": 0.5, "h2": 0.6, "h3": 1.1}
    for revision, (host, value) in enumerate(values.items(), 1):
        entry = encode({"capacity": value})
        announcements.apply_host_item(
            Item(HOSTS_KEY_PREFIX + host, entry, StoreRevision(0, revision))
        )
    announcements.apply_host_item(
        Item(HOSTS_KEY_PREFIX + "h4", b"{}", StoreRevision(0, 9))
    )
    weak = [host for host in ("h1", "h2", "h3", "h4") if capacities.is_weak(host)]
    assert weak == ["h1"]
