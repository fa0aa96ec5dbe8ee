"""Relays: the few hosts of a zone that follow the head in the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import logbook

from ...clock import Clock
from ...version.edition import EditionError
from ...wire import Json
from ..events.timeline import EventKind
from .archive import HEAD_KEY, Archive, StoredHead, stored_head
from .configuration import ConfigurationKeeper
from .store import StoreError

WATCH_HOLD: Final = 25.0
WATCH_GRACE: Final = 5.0
# A watch that was lost without a word is made up for by the next poll.
POLL_INTERVAL: Final = 3.0
RELAY_CHECK: Final = 1.0
REARM_MIN: Final = 0.2
REARM_MAX: Final = 5.0

log = logbook.Logger("relay")


class ConfigurationRelay:
    """Hold a watch on the head while this host is a relay, and poll it rarely.

    :ivar revision: the highest revision of the head that was read.
    :ivar store_version: the version last read; 0 before the first.
    :ivar reachable: whether the last call was answered.
    :ivar store_read: monotonic time of the last answer in seconds, or None.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        archive: Archive,
        is_relay: Callable[[], bool],
        clock: Clock,
        chooser: random.Random,
    ) -> None:
        self.keeper = keeper
        self.archive = archive
        self.is_relay = is_relay
        self.clock = clock
        self.chooser = chooser
        self.revision = 0
        self.store_version = 0
        self.store_read: float | None = None
        self.reachable = True
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Read the head once if this host is a relay, then follow it."""
        if self.is_relay():
            await self.poll()
        self.tasks = [
            asyncio.create_task(self.watch_forever()),
            asyncio.create_task(self.poll_forever()),
        ]

    async def close(self) -> None:
        """Give up the watch."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def status(self) -> Json:
        """Return what operators see of the store's side."""
        read = self.store_read
        age = None if read is None else round(self.clock.monotonic() - read, 3)
        return {
            "relay": self.is_relay(),
            "store_reachable": self.reachable if self.is_relay() else None,
            "store_version": self.store_version,
            "store_age": age,
        }

    async def watch_forever(self) -> None:
        """Keep a watch armed while this host is a relay."""
        delay = REARM_MIN
        while True:
            if not self.is_relay():
                await self.clock.sleep(RELAY_CHECK)
                continue
            if await self.watch():
                delay = REARM_MIN
                continue
            await self.clock.sleep(delay * self.chooser.uniform(0.5, 1.5))
            delay = min(delay * 2, REARM_MAX)

    async def watch(self) -> bool:
        """Hold one watch to its end; return whether it worked."""
        try:
            async with asyncio.timeout(WATCH_HOLD + WATCH_GRACE):
                entry = await self.archive.store.watch(
                    HEAD_KEY, self.revision, WATCH_HOLD
                )
            if entry is None:
                self.note_reachable(True)
                return True
            # A stale answer would be repeated at once if the watch were
            # armed again without a pause.
            progress = entry.revision > self.revision
            await self.take(stored_head(entry))
            return progress
        except (StoreError, EditionError, TimeoutError) as error:
            self.lost(error)
            return False

    async def poll_forever(self) -> None:
        """Read the head now and then while this host is a relay."""
        while True:
            await self.clock.sleep(POLL_INTERVAL * self.chooser.uniform(0.7, 1.3))
            if self.is_relay():
                await self.poll()

    async def poll(self) -> None:
        """Read the head once."""
        try:
            await self.take(await self.archive.head())
        except (StoreError, EditionError) as error:
            self.lost(error)

    async def take(self, stored: StoredHead) -> None:
        """Take over what the store holds, if it is newer.

        :raises StoreError: if a part could not be read.
        :raises EditionError: if a part is missing or damaged.
        """
        self.store_read = self.clock.monotonic()
        self.note_reachable(True)
        self.store_version = stored.version
        if stored.head is not None and self.keeper.wants(stored.version):
            edition = await self.archive.edition(stored.head, self.keeper.parts())
            await self.keeper.adopt(edition, "store")
        self.revision = max(self.revision, stored.revision)

    def lost(self, error: Exception) -> None:
        """Take note of a call that failed."""
        self.keeper.metrics.increment("configuration.store_failed")
        self.note_reachable(False, str(error))

    def note_reachable(self, reachable: bool, detail: str = "") -> None:
        """Record when the store is lost and when it answers again."""
        if reachable == self.reachable:
            return
        self.reachable = reachable
        state = "answers" if reachable else "lost"
        self.keeper.timeline.record(EventKind.STORE, state, detail=detail)
        log.info(f"The store {state}. {detail}")
