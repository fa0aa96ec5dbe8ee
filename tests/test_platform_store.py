"""Tests of the store client against a stand-in of the store over HTTP."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reedhook.clock import SystemClock
from reedhook.platform.store import PlatformStore
from reedhook.process.discovery.key_value_store import (
    HistoryCompactedError,
    RevisionConflictError,
    StoreLeaseExpiredError,
    StoreRejectedError,
    StoreUnansweredError,
)
from reedhook.process.discovery.store_revision import NO_REVISION, StoreRevision
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
