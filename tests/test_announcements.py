"""Processing of store items by hosts, and hold times of requests for changes.

Guards against stale or malformed entries that replace valid ones.
"""

from random import Random
from typing import Any

import pytest
from hypothesis import given, strategies as st

from reedhook.decision_log import DecisionLog
from reedhook.platform.documents import MAX_NAME_CHARACTERS, PlatformDocuments
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.discovery.key_value_store import Item, Items
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.discovery.store_value_parser import StoreValueParser
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
        self.lines: list[bytes] = []

    def record(self, event: str, **inputs: Any) -> None:
        self.events.append(event)
        self.lines.append(encode({"event": event, **inputs}))


class Listener:
    """Feed store items to the announcements of a host."""

    def __init__(self, parser: StoreValueParser | None = None) -> None:
        clock = LoopClock()
        self.events = RecordingDecisionLog(clock)
        self.announcements = Announcements(
            parser or PlainDocuments(), clock, self.events
        )
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

    def read_again(self, key: str, value: bytes) -> None:
        """Apply the last change again, as a read of all items does."""
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


GOOD_FIELDS = {
    "service": "db",
    "address": "10.0.0.1:1",
    "zone": "z1",
    "state": "ready",
    "database_role": "replica",
    "born": 100,
    "slots": 4,
    "sequence": 1,
}
HUGE = "x" * 200_000
FIELD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(allow_nan=False),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=8),
    st.just(HUGE),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text("ab"), st.none(), max_size=2),
)
ENTRY_VALUES = st.one_of(
    st.binary(max_size=60),
    st.just(b'"' + b"x" * 1_000_000),
    st.just(b"[" * 5000),
    st.builds(
        lambda fields, gone: encode(
            {key: value for key, value in fields.items() if key not in gone}
        ),
        st.dictionaries(
            st.sampled_from(list(GOOD_FIELDS)), FIELD_VALUES, max_size=3
        ).map(lambda changed: {**GOOD_FIELDS, **changed}),
        st.sets(st.sampled_from(list(GOOD_FIELDS)), max_size=2),
    ),
)
KEYS = st.one_of(
    st.sampled_from(["servers/a", "servers/", "servers/a b", f"servers/{HUGE}"]),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=8).map(
        lambda name: f"servers/{name}"
    ),
)


@given(st.lists(st.tuples(KEYS, ENTRY_VALUES), max_size=8))
def test_entries_of_other_writers_leave_other_targets_in_use(
    entries: list[tuple[str, bytes]],
) -> None:
    """Guards against an entry of another program that ends the watch of the store,
    hides other targets, is used as a target, or floods the log."""
    apply_entries(entries)


@in_virtual_time
async def apply_entries(entries: list[tuple[str, bytes]]) -> None:
    """Apply entries, each read twice, between two good targets."""
    listener = Listener(PlatformDocuments())
    listener.apply("servers/good-1", encode(GOOD_FIELDS))
    for key, value in entries:
        listener.apply(key, value)
        listener.read_again(key, value)
    listener.apply("servers/good-2", encode(GOOD_FIELDS))
    found = listener.announcements.targets
    assert {"good-1", "good-2"} <= found.keys()
    for target, one in found.items():
        assert max(map(len, (target, one.service, one.zone))) <= MAX_NAME_CHARACTERS
        assert one.slots >= 1 and one.sequence >= 0 and one.started_at_ms >= 0
    assert listener.count_events("item_malformed") <= len(entries)
    assert max(map(len, listener.events.lines)) < 2000


@pytest.mark.parametrize("field", ["service", "zone", "address", "state"])
@in_virtual_time
async def test_huge_field_names_no_target(field: str) -> None:
    """Guards against log lines and protocol lines of the size of a stored value."""
    listener = Listener(PlatformDocuments())
    listener.apply("servers/m1", encode({**GOOD_FIELDS, field: HUGE}))
    assert not listener.announcements.targets
    assert listener.count_events("item_malformed") == 1
    assert max(map(len, listener.events.lines)) < 2000


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
