"""An in-memory store with the faults of the platform's store.

    store = FakeStore()
    store.down = True                  # no call is answered
    store.lose_answers = 2             # the next two writes lose their answers
    store.lose_requests = 1            # the next write is lost before it runs
    store.stale = lambda key: 1        # reads lag one revision behind
    store.mute_watches = True          # new watches get no answer

Calls are counted by operation and kind of key; a waiting watch counts as one.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Final

from reedhook.process.configuring.store import (
    Store,
    StoreConflictError,
    StoreEntry,
    StoreUnavailableError,
)

MAX_VALUE: Final = 1024 * 1024
DELAY: Final = 0.002


class FakeStore(Store):
    """Keep every revision of every key.

    :param delay: time that a call takes, in seconds.
    :param shared: the platform's store; this object is one host's access to it, with
        its own faults.
    """

    def __init__(self, delay: float = DELAY, shared: "FakeStore | None" = None) -> None:
        self.delay = delay
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.stale: Callable[[str], int] = lambda key: 0
        self.mute_watches = False
        self.calls: Counter[str] = Counter()
        self.largest = 0
        self.platform: FakeStore = shared or self
        if shared is None:
            self.past: defaultdict[str, list[bytes | None]] = defaultdict(list)
            self.changed = asyncio.Condition()

    def keys(self, prefix: str = "") -> list[str]:
        """Return the existing keys."""
        past = self.platform.past
        return [
            key for key in past if key.startswith(prefix) and past[key][-1:] != [None]
        ]

    def revision(self, key: str) -> int:
        """Return the latest revision; a deleted key restarts at 0."""
        past = self.platform.past[key]
        return len(past) if past and past[-1] is not None else 0

    async def get(self, key: str, timeout: float) -> StoreEntry | None:
        await self.begin("get", key)
        return self.read(key)

    def read(self, key: str) -> StoreEntry | None:
        """Return the value that a read sees, possibly stale."""
        past = self.platform.past[key]
        visible_count = len(past) - min(self.stale(key), len(past))
        value = past[visible_count - 1] if visible_count else None
        return None if value is None else StoreEntry(key, value, visible_count)

    async def put(
        self, key: str, value: bytes, expected: int, timeout: float
    ) -> StoreEntry:
        await self.begin("put", key)
        assert len(value) <= MAX_VALUE, f"{key} is larger than the store accepts"
        self.largest = max(self.largest, len(value))
        await self.change(key, value, expected)
        return StoreEntry(key, value, self.revision(key))

    async def delete(self, key: str, expected: int, timeout: float) -> None:
        await self.begin("delete", key)
        await self.change(key, None, expected)

    async def watch(self, key: str, revision: int, hold: float) -> StoreEntry | None:
        await self.begin("watch", key)
        if self.mute_watches:
            await asyncio.Event().wait()
        changed = self.platform.changed
        try:
            async with asyncio.timeout(hold), changed:
                await changed.wait_for(lambda: self.revision(key) > revision)
        except TimeoutError:
            self.refuse_if_down()
            return None
        self.refuse_if_down()
        return self.read(key)

    async def close(self) -> None:
        return

    async def begin(self, operation: str, key: str) -> None:
        """Count a call and wait for its delay."""
        kind = key.split("/")[1] if "/" in key else key
        self.calls[f"{operation} {kind}"] += 1
        await asyncio.sleep(self.delay)
        self.refuse_if_down()

    def refuse_if_down(self) -> None:
        """Raise if the store cannot be reached."""
        if self.down or self.platform.down:
            raise StoreUnavailableError("the store is down")

    async def change(self, key: str, value: bytes | None, expected: int) -> None:
        """Change a key by compare-and-swap, with the injected faults."""
        if self.lose_requests:
            self.lose_requests -= 1
            raise StoreUnavailableError("the request was lost")
        if self.revision(key) != expected:
            raise StoreConflictError(
                f"{key} is at {self.revision(key)}, not {expected}"
            )
        changed = self.platform.changed
        async with changed:
            self.platform.past[key].append(value)
            changed.notify_all()
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailableError("the answer was lost")
