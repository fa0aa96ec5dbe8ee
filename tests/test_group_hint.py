"""Hints of the primary in the store: outages, stale hints and concurrent writers."""

import asyncio
import random

from reedhook.process.configuring.store import StoreEntry
from reedhook.process.groups.group_promotion_coordinator import PrimaryChange
from reedhook.process.groups.primary_hints import PrimaryHints

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_store import FakeStore


def hints(store: FakeStore) -> PrimaryHints:
    return PrimaryHints(store, LoopClock(), random.Random(1))


@in_virtual_time
async def test_hint_is_written_after_store_outage() -> None:
    store = FakeStore()
    store.down = True
    writer = hints(store)
    writer.publish(PrimaryChange("g", 2, "m2"))
    await asyncio.sleep(5.0)
    writer.publish(PrimaryChange("g", 3, "m3"))
    assert await writer.read("g") is None
    store.down = False
    await asyncio.sleep(60.0)
    assert await writer.read("g") == PrimaryChange("g", 3, "m3")
    assert writer.pending == {}


@in_virtual_time
async def test_hint_of_lower_term_does_not_replace_later_one() -> None:
    store = FakeStore()
    first, second = hints(store), hints(store)
    first.publish(PrimaryChange("g", 3, "m3"))
    await asyncio.sleep(1.0)
    second.publish(PrimaryChange("g", 2, "m2"))
    await asyncio.sleep(1.0)
    assert await first.read("g") == PrimaryChange("g", 3, "m3")


@in_virtual_time
async def test_later_hint_wins_with_two_writers_and_lost_answer() -> None:
    store = FakeStore()
    store.lose_answers = 1
    first, second = hints(store), hints(store)
    first.publish(PrimaryChange("g", 2, "m2"))
    second.publish(PrimaryChange("g", 3, "m3"))
    await asyncio.sleep(30.0)
    assert await first.read("g") == PrimaryChange("g", 3, "m3")
    assert first.pending == second.pending == {}


@in_virtual_time
async def test_malformed_hint_is_replaced() -> None:
    store = FakeStore()
    entry: StoreEntry = await store.put("primary/g", b"not JSON", 0, 1.0)
    assert entry.revision == 1
    writer = hints(store)
    assert await writer.read("g") is None
    writer.publish(PrimaryChange("g", 2, "m2"))
    await asyncio.sleep(1.0)
    assert await writer.read("g") == PrimaryChange("g", 2, "m2")
