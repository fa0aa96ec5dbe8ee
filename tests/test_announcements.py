"""What hosts learn from the store, and how long they hold their questions."""

from random import Random
from typing import Any

import pytest

from reedhook.decision_log import DecisionLog
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.discovery.key_value_store import Item, Items
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

ASKED = 200
IN_FORCE = 3.0
"""Seconds that the platform gives a configuration, at the least."""

LEFT_OUT = 7.0
"""Seconds in which a target that leaves is to get nothing any more, at the least."""


@pytest.mark.parametrize("seed", range(5))
@in_virtual_time
async def test_questions_end_in_time_and_apart(seed: int) -> None:
    clock = LoopClock()
    known = Announcements(
        PlainDocuments(), clock, DecisionLog("h1", clock, output_fd=None)
    )
    watch = StoreWatcher(
        FakeStore().client("h1"),
        known,
        Alone(),
        clock,
        Random(seed),
        ConfigurationFreshness(known, clock),
    )
    holds = [watch.hold() for _ in range(ASKED)]
    # Of a question that ends without a word, a version is in force in time, and a
    # target that leaves is left out.
    assert max(holds) + HOLD_MARGIN_SECONDS < IN_FORCE < LEFT_OUT
    assert max(holds) - min(holds) > IN_FORCE / 10


class Alone(UpdateSource):
    """Leave a host to the store."""

    async def fetch_updates(self) -> bool:
        return False


def entry(target: str, born: int = 0, sequence: int = 0) -> TargetAnnouncement:
    """Return what a target announces."""
    return TargetAnnouncement(
        target, "db", "10.0.0.1:1", "z1", False, False, born, 2, sequence
    )


class Noted(DecisionLog):
    """Keep the kinds of lines that would be written."""

    def __init__(self, clock: LoopClock) -> None:
        super().__init__("h1", clock, output_fd=None)
        self.noted: list[str] = []

    def record(self, event: str, **inputs: Any) -> None:
        self.noted.append(event)


class Listener:
    """Keep what a host learns from the store."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.noted = Noted(clock)
        self.announcements = Announcements(PlainDocuments(), clock, self.noted)
        self.reborn: list[str] = []
        self.announcements.on_restart.append(lambda one: self.reborn.append(one.target))
        self.revision = 0

    def hear(self, key: str, value: bytes | None) -> None:
        """Take over one change."""
        self.revision += 1
        item = Item(key, value, self.revision)
        self.announcements.apply_changes(Items([item], self.revision))

    def announce(self, one: TargetAnnouncement) -> None:
        """Take over what a target announces."""
        self.hear(f"t/{one.target}", encode({"entry": list(one.values())}))

    def said(self, event: str) -> int:
        """Count the lines of one kind."""
        return self.noted.noted.count(event)


SCRIBBLES = [b"", b"\xff\xfe", b"[]", b"{}", b'{"entry": 7}', b'{"entry": [1]}']


@pytest.mark.parametrize("value", SCRIBBLES)
@in_virtual_time
async def test_what_another_writer_left_names_no_target(value: bytes) -> None:
    listener = Listener()
    listener.announce(entry("m1"))
    listener.announce(entry("m2"))
    for _ in range(5):
        listener.hear("t/m1", value)
    listener.hear("t/new", value)
    assert set(listener.announcements.targets) == {"m2"}
    assert listener.said("item_malformed") == 2
    listener.announce(entry("m1"))
    assert set(listener.announcements.targets) == {"m1", "m2"}


@pytest.mark.parametrize("value", [*SCRIBBLES, b'{"version": "x", "routes": 1}'])
@in_virtual_time
async def test_a_malformed_configuration_leaves_the_one_in_force(value: bytes) -> None:
    listener = Listener()
    listener.hear("op", encode({"version": 3, "routes": ["views"]}))
    listener.hear("op", value)
    assert listener.announcements.table.version == 3
    assert listener.said("item_malformed") == 1
    listener.hear("op", encode({"version": 4, "routes": ["views"]}))
    assert listener.announcements.table.version == 4


@in_virtual_time
async def test_an_entry_of_an_earlier_process_or_moment_changes_nothing() -> None:
    listener = Listener()
    listener.announce(entry("m1", 100, 9))
    listener.announce(entry("m1", 200, 1))
    for late in (entry("m1", 100, 10), entry("m1", 200, 0)):
        listener.announce(late)
    found = listener.announcements.targets["m1"]
    assert (found.started_at_ms, found.sequence) == (200, 1)
    assert listener.reborn == ["m1"]


@in_virtual_time
async def test_a_target_that_was_gone_is_told_from_its_next_process() -> None:
    listener = Listener()
    listener.announce(entry("m1", 100, 9))
    listener.hear("t/m1", None)
    listener.announce(entry("m1", 100, 10))
    assert listener.reborn == []
    listener.hear("t/m1", None)
    listener.announce(entry("m1", 200, 1))
    assert listener.reborn == ["m1"]


@in_virtual_time
async def test_a_target_that_states_no_start_is_one_process() -> None:
    listener = Listener()
    listener.announce(entry("m1", 0, 9))
    listener.announce(entry("m1", 0, 2))
    assert listener.announcements.targets["m1"].sequence == 2
    assert listener.reborn == []
