"""Answers of the store to writes that it may have executed."""

from typing import Any

import pytest

from reedhook.connection.channel import ChannelResponse
from reedhook.connection.channel_pool import ChannelPool
from reedhook.platform.store import PlatformStore
from reedhook.process.discovery.key_value_store import StoreUnansweredError
from reedhook.process.discovery.store_revision import NO_REVISION
from reedhook_standins.keyvalue import KeyValueStandIn

from .test_platform_store import with_store


@pytest.mark.parametrize("status", [500, 502, 504])
def test_other_server_error_leaves_a_write_unanswered(
    status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a write that counts as not done though it took effect."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        answer_with(monkeypatch, status, b"{}")
        with pytest.raises(StoreUnansweredError):
            await store.put("a", b"1", NO_REVISION, 1.0)
        assert "a" in stand_in.items

    with_store(test)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"revision": "x"}'])
def test_malformed_success_leaves_a_write_unanswered(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error that ends the task which monitors a primary."""

    async def test(stand_in: KeyValueStandIn, store: PlatformStore) -> None:
        answer_with(monkeypatch, 200, body)
        with pytest.raises(StoreUnansweredError):
            await store.put("a", b"1", NO_REVISION, 1.0)
        assert "a" in stand_in.items

    with_store(test)


def answer_with(monkeypatch: pytest.MonkeyPatch, status: int, body: bytes) -> None:
    """Replace the answer to each call that the store executes."""
    exchange = ChannelPool.exchange

    async def replaced(
        self: ChannelPool, *args: Any, **options: Any
    ) -> ChannelResponse:
        answer = await exchange(self, *args, **options)
        return ChannelResponse(status, answer.headers, body)

    monkeypatch.setattr(ChannelPool, "exchange", replaced)
