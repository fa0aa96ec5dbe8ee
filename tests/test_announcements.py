"""Processing of store items by hosts, and hold times of requests for changes.

Guards against stale or malformed entries that replace valid ones.
"""

from random import Random
from typing import Any

import pytest

from reedhook.decision_log import DecisionLog
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.discovery.key_value_store import Item, Items
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.discovery.store_watcher import (
    HOLD_MARGIN_SECONDS,
    StoreWatcher,
    UpdateSource,
)
from reedhook.version.route_table import TargetAnnouncement
from reedhook.wire import encode

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .session_world import PlainDocuments

REQUESTS = 200
CONFIGURATION_SECONDS = 3.0
"""Lower bound of the time for a configuration to take effect."""

LEAVING_SECONDS = 7.0
"""Lower bound of the time until a leaving target must get no more work."""


@pytest.mark.parametrize("seed", range(5))
@in_virtual_time
async def test_hold_times_are_bounded_and_jittered(seed: int) -> None:
    clock = LoopClock()
    announcements = Announcements(
        PlainDocuments(), clock, DecisionLog("h1", clock, output_fd=None)
    )
    keyspace = FakeStore().client("h1")
    watcher = StoreWatcher(
        keyspace,
        announcements,
        StoreOnlySource(),
        clock,
        Random(seed),
        ConfigurationFreshness(announcements, clock, keyspace.epoch),
    )
    holds = [watcher.hold() for _ in range(REQUESTS)]
    # Even if a request gets no response, a configuration takes effect in time and
    # a leaving target gets no more work.
    assert max(holds) + HOLD_MARGIN_SECONDS < CONFIGURATION_SECONDS < LEAVING_SECONDS
    assert max(holds) - min(holds) > CONFIGURATION_SECONDS / 10


class StoreOnlySource(UpdateSource):
    """Make a host follow the store itself."""

    async def fetch_updates(self) -> bool:
        return False


def entry(target: str, started_at_ms: int = 0, sequence: int = 0) -> TargetAnnouncement:
    """Return the announcement of a target."""
    return TargetAnnouncement(
        target, "db", "10.0.0.1:1", "z1", False, False, started_at_ms, 2, sequence
    )


class RecordingDecisionLog(DecisionLog):
    """Record event names instead of writing them."""

    def __init__(self, clock: LoopClock) -> None:
        super().__init__("h1", clock, output_fd=None)
        self.events: list[str] = []

    def record(self, event: str, **inputs: Any) -> None:
        self.events.append(event)


class Listener:
    """Feed store items to the announcements of a host."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.events = RecordingDecisionLog(clock)
        self.announcements = Announcements(PlainDocuments(), clock, self.events)
        self.restarted: list[str] = []
        self.announcements.on_restart.append(
            lambda one: self.restarted.append(one.target)
        )
        self.revision = 0

    def apply(self, key: str, value: bytes | None) -> None:
        """Apply one change of the store."""
        self.revision += 1
        revision = StoreRevision(0, self.revision)
        item = Item(key, value, revision)
        self.announcements.apply_changes(Items([item], revision))

    def announce(self, one: TargetAnnouncement) -> None:
        """Apply the announcement of a target."""
        self.apply(f"t/{one.target}", encode({"entry": list(one.values())}))

    def count_events(self, event: str) -> int:
        """Return how often an event was recorded."""
        return self.events.events.count(event)


MALFORMED_VALUES = [b"", b"\xff\xfe", b"[]", b"{}", b'{"entry": 7}', b'{"entry": [1]}']


@pytest.mark.parametrize("value", MALFORMED_VALUES)
@in_virtual_time
async def test_malformed_target_entry_counts_as_gone(value: bytes) -> None:
    listener = Listener()
    listener.announce(entry("m1"))
    listener.announce(entry("m2"))
    for _ in range(5):
        listener.apply("t/m1", value)
    listener.apply("t/new", value)
    assert set(listener.announcements.targets) == {"m2"}
    assert listener.count_events("item_malformed") == 2
    listener.announce(entry("m1"))
    assert set(listener.announcements.targets) == {"m1", "m2"}


@pytest.mark.parametrize("value", [*MALFORMED_VALUES, b'{"version": "x", "routes": 1}'])
@in_virtual_time
async def test_malformed_configuration_keeps_the_previous_one(value: bytes) -> None:
    listener = Listener()
    listener.apply("op", encode({"version": 3, "routes": ["views"]}))
    listener.apply("op", value)
    assert listener.announcements.table.version == 3
    assert listener.count_events("item_malformed") == 1
    listener.apply("op", encode({"version": 4, "routes": ["views"]}))
    assert listener.announcements.table.version == 4


@in_virtual_time
async def test_stale_target_entries_are_ignored() -> None:
    listener = Listener()
    listener.announce(entry("m1", 100, 9))
    listener.announce(entry("m1", 200, 1))
    for stale in (entry("m1", 100, 10), entry("m1", 200, 0)):
        listener.announce(stale)
    found = listener.announcements.targets["m1"]
    assert (found.started_at_ms, found.sequence) == (200, 1)
    assert listener.restarted == ["m1"]


@in_virtual_time
async def test_restart_of_a_gone_target_is_detected() -> None:
    listener = Listener()
    listener.announce(entry("m1", 100, 9))
    listener.apply("t/m1", None)
    listener.announce(entry("m1", 100, 10))
    assert listener.restarted == []
    listener.apply("t/m1", None)
    listener.announce(entry("m1", 200, 1))
    assert listener.restarted == ["m1"]


@in_virtual_time
async def test_target_without_start_time_counts_as_one_process() -> None:
    listener = Listener()
    listener.announce(entry("m1", 0, 9))
    listener.announce(entry("m1", 0, 2))
    assert listener.announcements.targets["m1"].sequence == 2
    assert listener.restarted == []
