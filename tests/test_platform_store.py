"""Tests of the store client against a stand-in of the store over HTTP."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from reedhook.clock import SystemClock
from reedhook.platform.store import EPOCH_HEADER, RANGE, PlatformStore, StoreAnswer
from reedhook.process.discovery.key_value_store import (
    EarlierEpochError,
    HistoryCompactedError,
    RevisionConflictError,
    StoreLeaseExpiredError,
    StoreRejectedError,
    StoreUnansweredError,
)
from reedhook.process.discovery.store_revision import NO_REVISION, StoreRevision
from reedhook.wire import Json, encode
from reedhook_standins.keyvalue import KeyValueStandIn

from .fakes_keyspace import unlogged_epoch

TIMEOUT = 2.0


def with_store(
    test: Callable[[KeyValueStandIn, PlatformStore], Awaitable[None]],
) -> None:
    """Run a test with a stand-in of the store and a client."""

    async def run() -> None:
        stand_in = KeyValueStandIn()
        await stand_in.start()
        store = PlatformStore(stand_in.address, SystemClock(), unlogged_epoch("h1"))
        try:
            await test(stand_in, store)
        finally:
            await store.close()
            await stand_in.stop()

    asyncio.run(run())


def test_conditional_writes_and_reads() -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        assert await store.get("a", TIMEOUT) is None
        revision = await store.put("a", b"1", NO_REVISION, TIMEOUT)
        item = await store.get("a", TIMEOUT)
        assert item is not None
        assert (item.value, item.revision) == (b"1", revision)
        with pytest.raises(RevisionConflictError):
            await store.put("a", b"2", NO_REVISION, TIMEOUT)
        await store.put("a", b"3", None, TIMEOUT)

    with_store(test)


def test_list_is_read_page_by_page() -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        for number in range(5):
            stand_in.write(f"k{number}", b"v")
        found = await store.list("k", TIMEOUT)
        assert [item.key for item in found.items] == ["k0", "k1", "k2", "k3", "k4"]
        assert found.revision == StoreRevision(0, stand_in.revision)

    with_store(test)


def test_watch_returns_changes_and_deletions() -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.write("a", b"1")
        waiting = asyncio.create_task(
            store.changes("", StoreRevision(0, stand_in.revision), TIMEOUT, TIMEOUT)
        )
        await asyncio.sleep(0)
        stand_in.write("a", None)
        found = await waiting
        assert [(one.key, one.value) for one in found.items] == [("a", None)]

    with_store(test)


def test_watch_of_compacted_history_raises() -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.write("a", b"1")
        stand_in.forget()
        with pytest.raises(HistoryCompactedError):
            await store.changes("", NO_REVISION, TIMEOUT, TIMEOUT)

    with_store(test)


def test_leases_are_granted_renewed_and_revoked() -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        lease = await store.grant_lease(5.0, TIMEOUT)
        await store.put("a", b"1", None, TIMEOUT, lease)
        await store.renew_lease(lease, TIMEOUT)
        await store.revoke_lease(lease, TIMEOUT)
        assert await store.get("a", TIMEOUT) is None
        with pytest.raises(StoreLeaseExpiredError):
            await store.renew_lease(lease, TIMEOUT)
        with pytest.raises(StoreLeaseExpiredError):
            await store.put("a", b"1", None, TIMEOUT, lease)

    with_store(test)


def test_no_epoch_is_stated_without_a_restore() -> None:
    """Guards against another form of answers to hosts of earlier deployments."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        answer = await store.link.exchange(
            f"{RANGE}?prefix=", b"", TIMEOUT, store.clock, method="GET"
        )
        assert EPOCH_HEADER not in answer.headers
        stand_in.sends_epoch = True
        answer = await store.link.exchange(
            f"{RANGE}?prefix=", b"", TIMEOUT, store.clock, method="GET"
        )
        assert answer.headers[EPOCH_HEADER] == b"0"

    with_store(test)


def test_restored_store_assigns_revisions_again_in_a_higher_epoch() -> None:
    """Guards against a write after a restore that looks older than a lost one."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        kept = await store.put("a", b"1", NO_REVISION, TIMEOUT)
        stand_in.save()
        lost = await store.put("a", b"2", kept, TIMEOUT)
        lease = await store.grant_lease(5.0, TIMEOUT)
        await control(store, "control/restore", {"seconds_ago": 0.0})
        item = await store.get("a", TIMEOUT)
        assert item is not None and item.value == b"1"
        assert item.revision == StoreRevision(1, kept.number)
        with pytest.raises(StoreLeaseExpiredError):
            await store.renew_lease(lease, TIMEOUT)
        again = await store.put("a", b"3", item.revision, TIMEOUT)
        assert again.number == lost.number and again > lost
        assert store.epoch.current == 1

    with_store(test)


def test_restore_needs_a_copy_that_is_old_enough() -> None:
    """Guards against a control call that restores another state than it names."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        await control(store, "control/save", {})
        assert await control(store, "control/restore", {"seconds_ago": 60}) == 409
        assert await control(store, "control/restore", {"seconds_ago": 0}) == 200
        assert stand_in.epoch == 1

    with_store(test)


async def control(store: PlatformStore, path: str, body: Json) -> int:
    """Send a control call to the stand-in and return its status."""
    answer = await store.link.exchange(path, encode(body), TIMEOUT, store.clock)
    return answer.status


def test_watch_from_a_revision_that_was_assigned_again_raises() -> None:
    """Guards against changes that a host misses after a restore.

    The store knows the number again, so that it does not respond with status 410.
    """

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.save()
        seen = await store.put("a", b"1", NO_REVISION, TIMEOUT)
        stand_in.restore(0.0)
        for key in "bcd":
            stand_in.write(key, b"v")
        with pytest.raises(HistoryCompactedError):
            await store.changes("", seen, 0.05, TIMEOUT)

    with_store(test)


def test_pending_watch_of_a_restored_store_raises() -> None:
    """Guards against a watch that stays silent after a restore."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.save()
        seen = await store.put("a", b"1", NO_REVISION, TIMEOUT)
        waiting = asyncio.create_task(store.changes("", seen, 5.0, TIMEOUT))
        await asyncio.sleep(0.05)
        stand_in.restore(0.0)
        with pytest.raises(HistoryCompactedError):
            await asyncio.wait_for(waiting, TIMEOUT)

    with_store(test)


def test_answer_of_an_earlier_epoch_is_no_answer() -> None:
    """Guards against a late answer that states what a restore has lost."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.write("a", b"1")
        store.epoch.learn(1, "h2")
        with pytest.raises(EarlierEpochError):
            await store.get("a", TIMEOUT)
        with pytest.raises(EarlierEpochError):
            await store.put("b", b"1", NO_REVISION, TIMEOUT)

    with_store(test)


def test_condition_of_an_earlier_epoch_is_not_sent() -> None:
    """Guards against a write over another state that got the same number."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.save()
        seen = await store.put("a", b"1", NO_REVISION, TIMEOUT)
        stand_in.restore(0.0)
        stand_in.write("a", b"2")
        await store.get("a", TIMEOUT)
        with pytest.raises(RevisionConflictError):
            await store.put("a", b"3", seen, TIMEOUT)
        assert base64.b64decode(stand_in.items["a"]["value"]) == b"2"

    with_store(test)


def test_restore_between_two_pages_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a listing of items from before and after a restore."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        for number in range(4):
            stand_in.write(f"k{number}", b"v")
        stand_in.save()
        request = store.request

        async def request_then_restore(*args: Any) -> StoreAnswer:
            answer = await request(*args)
            stand_in.restore(0.0)
            return answer

        monkeypatch.setattr(store, "request", request_then_restore)
        with pytest.raises(EarlierEpochError):
            await store.list("k", TIMEOUT)
        monkeypatch.undo()
        assert len((await store.list("k", TIMEOUT)).items) == 4

    with_store(test)


@pytest.mark.parametrize("stated", ["x", "-1", "", "1.5", "9" * 16, "9" * 5000])
def test_malformed_epoch_is_no_answer(stated: str) -> None:
    """Guards against a write that counts as rejected though it took effect."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.sends_epoch = True
        stand_in.epoch = stated  # type: ignore[assignment]
        with pytest.raises(StoreUnansweredError):
            await store.put("a", b"1", NO_REVISION, TIMEOUT)

    with_store(test)


@pytest.mark.parametrize("status", [403, 429, 503])
def test_error_status_raises_store_rejected(status: int) -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.status = status
        with pytest.raises(StoreRejectedError):
            await store.put("a", b"1", None, TIMEOUT)
        with pytest.raises(StoreRejectedError):
            await store.changes("", NO_REVISION, TIMEOUT, TIMEOUT)

    with_store(test)


def test_timeout_and_refused_connection_raise_store_unanswered() -> None:
    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        stand_in.silent = True
        with pytest.raises(StoreUnansweredError):
            await store.get("a", 0.05)
        store.change_address("127.0.0.1:9")
        with pytest.raises(StoreUnansweredError):
            await store.get("a", TIMEOUT)

    with_store(test)
