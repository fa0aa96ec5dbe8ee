"""Calls to the stand-in of the store that get no answer but take effect."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import aiohttp
import pytest

from reedhook_standins.keyvalue import CONFLICT, KeyValueStandIn
from reedhook_standins.unanswered import EARLIEST, LATEST, UnansweredCalls

Write = Callable[[str, int], Awaitable[int | None]]


def play(scenario: Callable[[KeyValueStandIn, Write], Awaitable[None]]) -> None:
    """Run a scenario with a store and a function that writes to it."""

    async def run() -> None:
        store = KeyValueStandIn()
        await store.start()
        patience = aiohttp.ClientTimeout(total=0.2)
        async with aiohttp.ClientSession(timeout=patience) as session:

            async def write(key: str, revision: int) -> int | None:
                body: dict[str, Any] = {
                    "expect": [{"key": key, "revision": revision}],
                    "writes": [
                        {
                            "key": key,
                            "value": base64.b64encode(b"v").decode(),
                            "lease": 0,
                        }
                    ],
                }
                url = f"http://{store.address}/-/kv-txn"
                try:
                    async with session.post(url, json=body) as response:
                        return response.status
                except TimeoutError:
                    return None

            try:
                await scenario(store, write)
            finally:
                await store.stop()

    asyncio.run(run())


def calls(late: float, limit: int = 1, key: str = "") -> UnansweredCalls:
    return UnansweredCalls(
        Random(1), 1.0, limit, late, lambda writes: not key or key in writes
    )


def test_unanswered_call_takes_effect_at_once() -> None:
    async def scenario(store: KeyValueStandIn, write: Write) -> None:
        store.unanswered = calls(late=0.0)
        assert await write("a", 0) is None
        assert "a" in store.items
        assert not store.unanswered.late_applied.is_set()

    play(scenario)


def test_late_call_takes_effect_after_its_caller_gave_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("reedhook_standins.unanswered.LATEST", EARLIEST)

    async def scenario(store: KeyValueStandIn, write: Write) -> None:
        store.unanswered = calls(late=1.0)
        assert await write("a", 0) is None
        assert "a" not in store.items
        await store.unanswered.late_applied.wait()
        assert "a" in store.items

    play(scenario)


def test_late_call_fails_once_its_condition_no_longer_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("reedhook_standins.unanswered.LATEST", EARLIEST)

    async def scenario(store: KeyValueStandIn, write: Write) -> None:
        store.unanswered = calls(late=1.0)
        assert await write("a", 0) is None
        assert await write("a", 0) == 200
        revision = store.items["a"]["revision"]
        await asyncio.gather(*store.tasks)
        assert store.items["a"]["revision"] == revision
        assert not store.unanswered.late_applied.is_set()
        assert await write("a", 0) == CONFLICT

    play(scenario)


def test_only_wanted_calls_are_chosen() -> None:
    async def scenario(store: KeyValueStandIn, write: Write) -> None:
        store.unanswered = calls(late=0.0, limit=9, key="lead/a")
        assert await write("other", 0) == 200
        assert await write("lead/a", 0) is None
        assert store.unanswered.chosen == 1

    play(scenario)


def test_late_calls_run_within_the_bounds() -> None:
    async def scenario(store: KeyValueStandIn, write: Write) -> None:
        store.unanswered = calls(late=1.0, limit=3)
        delays: list[float | None] = []
        choose = store.unanswered.choose

        async def recorded(request: Any) -> float | None:
            delays.append(await choose(request))
            return delays[-1]

        store.unanswered.choose = recorded  # type: ignore[method-assign]
        await asyncio.gather(*(write(f"k{index}", 0) for index in range(3)))
        assert len(delays) == 3
        assert all(one is not None and EARLIEST <= one <= LATEST for one in delays)

    play(scenario)
