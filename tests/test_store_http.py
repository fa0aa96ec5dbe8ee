"""Guard against store failures that the HTTP client misreports or retries."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import TypeAlias

import pytest

from reedhook.process.configuring.store import (
    StoreConflictError,
    StoreEntry,
    StoreError,
    StoreUnavailableError,
)
from reedhook.process.configuring.store_http import HttpStore
from reedhook_standins.store import MAX_VALUE, StoreStandin

from .fakes_clock import LoopClock
from .support import using
from .support_group import until

Pair: TypeAlias = tuple[StoreStandin, HttpStore]


@asynccontextmanager
async def store_of(
    random: Random | None = None,
) -> AsyncIterator[Pair]:
    standin = StoreStandin(LoopClock(), random)
    await standin.listen()
    store = HttpStore(standin.address)
    try:
        yield standin, store
    finally:
        await store.close()
        await standin.close()


@using(store_of)
async def test_write_requires_the_current_revision(pair: Pair) -> None:
    _, store = pair
    assert await store.get("config", 1.0) is None
    first = await store.put("config", b"\x00one", 0, 1.0)
    with pytest.raises(StoreConflictError):
        await store.put("config", b"two", 0, 1.0)
    with pytest.raises(StoreConflictError):
        await store.put("config", b"two", first.revision + 1, 1.0)
    second = await store.put("config", b"two", first.revision, 1.0)
    assert await store.get("config", 1.0) == second
    with pytest.raises(StoreConflictError):
        await store.delete("config", first.revision, 1.0)
    await store.delete("config", second.revision, 1.0)
    assert await store.get("config", 1.0) is None
    again = await store.put("config", b"three", 0, 1.0)
    assert again.revision > second.revision


@using(store_of)
async def test_value_above_the_size_limit_is_refused(pair: Pair) -> None:
    _, store = pair
    largest = bytes(MAX_VALUE)
    entry = await store.put("config", largest, 0, 5.0)
    found = await store.get("config", 5.0)
    assert found is not None and found.value == largest
    with pytest.raises(StoreError) as caught:
        await store.put("config", largest + b"x", entry.revision, 5.0)
    assert not isinstance(caught.value, (StoreUnavailableError, StoreConflictError))


@using(store_of)
async def test_watch_waits_for_a_change_in_one_request(pair: Pair) -> None:
    standin, store = pair
    first = await store.put("config", b"one", 0, 1.0)
    assert await store.watch("config", 0, 5.0) == first
    assert await store.watch("config", first.revision, 0.05) is None
    watch_task = asyncio.create_task(store.watch("config", first.revision, 5.0))
    await until(lambda: standin.watching)
    await store.put("other", b"x", 0, 1.0)
    second = await store.put("config", b"two", first.revision, 1.0)
    assert await watch_task == second
    assert standin.calls == {"put": 3, "watch": 3}


@using(store_of)
async def test_write_with_lost_response_takes_effect_and_is_not_retried(
    pair: Pair,
) -> None:
    standin, store = pair
    await store.get("config", 1.0)
    standin.lose_answers = 1
    with pytest.raises(StoreUnavailableError):
        await store.put("config", b"one", 0, 1.0)
    assert standin.calls["put"] == 1
    found = await store.get("config", 1.0)
    assert found is not None and found.value == b"one"
    await store.put("config", b"two", found.revision, 1.0)


@using(lambda: store_of(Random(7)))
async def test_responses_are_lost_by_the_injected_random_source(pair: Pair) -> None:
    standin, store = pair
    standin.lose_chance = 0.5
    lost = []
    for number in range(20):
        try:
            await store.put(f"key{number}", b"x", 0, 1.0)
        except StoreUnavailableError:
            lost.append(number)
    expected = Random(7)
    assert lost == [n for n in range(20) if expected.random() < 0.5]
    standin.lose_chance = 0.0
    for number in range(20):
        assert await store.get(f"key{number}", 1.0) is not None


@using(store_of)
async def test_store_that_is_down_changes_nothing_and_fails_watches(
    pair: Pair,
) -> None:
    standin, store = pair
    first = await store.put("config", b"one", 0, 1.0)
    watch_task = asyncio.create_task(store.watch("config", first.revision, 5.0))
    await until(lambda: standin.watching)
    standin.down = True
    with pytest.raises(StoreUnavailableError):
        await watch_task
    with pytest.raises(StoreUnavailableError):
        await store.put("config", b"two", first.revision, 1.0)
    standin.down = False
    assert await store.get("config", 1.0) == first


@using(store_of)
async def test_dropped_watch_is_reported_as_unavailable(pair: Pair) -> None:
    standin, store = pair
    watch_task = asyncio.create_task(store.watch("config", 0, 5.0))
    await until(lambda: standin.watching)
    standin.drop_watches()
    with pytest.raises(StoreUnavailableError):
        await watch_task


@using(store_of)
async def test_write_that_times_out_may_have_taken_effect(
    pair: Pair,
) -> None:
    standin, store = pair
    standin.slow = 0.2
    with pytest.raises(StoreUnavailableError):
        await store.put("config", b"one", 0, 0.05)
    found = await store.get("config", 1.0)
    assert found is not None and found.value == b"one"


@using(store_of)
async def test_stale_read_returns_an_older_revision(pair: Pair) -> None:
    standin, store = pair
    entry = StoreEntry("config", b"", 0)
    entries = []
    for value in (b"one", b"two", b"three"):
        entry = await store.put("config", value, entry.revision, 1.0)
        entries.append(entry)
    standin.stale_reads = 1
    assert await store.get("config", 1.0) == entries[1]
    standin.stale_reads = 9
    assert await store.get("config", 1.0) == entries[0]


@using(store_of)
async def test_keys_of_a_lease_are_deleted_when_it_expires(pair: Pair) -> None:
    standin, store = pair
    lease_id = (await store.ask("grant", {"ttl": 60.0}, 1.0))["lease"]
    lease = standin.leases[lease_id]
    body = {"key": "host", "value": "eA==", "expected": 0, "lease": lease_id}
    await store.ask("put", body, 1.0)
    lease.expires -= 50.0
    await store.ask("keep_alive", {"lease": lease_id}, 1.0)
    lease.expires -= 50.0
    assert await store.get("host", 1.0) is not None
    lease.expires -= 50.0
    assert await store.get("host", 1.0) is None
    for path in ("keep_alive", "put"):
        with pytest.raises(StoreError, match="lapsed"):
            await store.ask(path, body, 1.0)


@using(store_of)
async def test_lease_expires_without_requests(pair: Pair) -> None:
    standin, store = pair
    lease_id = standin.grant(0.05)["lease"]
    body = {"key": "host", "value": "eA==", "expected": 0, "lease": lease_id}
    standin.put(body)
    await until(lambda: standin.newest("host") is None)
    assert not standin.leases


@using(store_of)
async def test_malformed_request_is_refused_without_effect(pair: Pair) -> None:
    standin, store = pair
    for path, body in (
        ("put", {"key": "config"}),
        ("put", {"key": "config", "value": "!", "expected": 0}),
        ("nothing", {}),
    ):
        with pytest.raises(StoreError):
            await store.ask(path, body, 1.0)
    assert standin.revision == 0
