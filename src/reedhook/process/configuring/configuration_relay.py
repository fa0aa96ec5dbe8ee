"""Relays: the few hosts of a zone that follow the head in the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

import logbook

from ...clock import Clock
from ...version.snapshot import SnapshotError
from ...wire import Json
from ..events.timeline import EventKind
from .configuration_manager import ConfigurationManager
from .snapshot_repository import HEAD_KEY, SnapshotRepository, StoredHead, stored_head
from .store import StoreError

WATCH_HOLD_SECONDS: Final = 25.0
WATCH_GRACE_SECONDS: Final = 5.0
# A watch that was lost without a word is made up for by the next poll.
POLL_INTERVAL_SECONDS: Final = 3.0
RELAY_CHECK_INTERVAL_SECONDS: Final = 1.0
MIN_REARM_SECONDS: Final = 0.2
MAX_REARM_SECONDS: Final = 5.0

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
        manager: ConfigurationManager,
        archive: SnapshotRepository,
        is_relay: Callable[[], bool],
        clock: Clock,
        chooser: random.Random,
    ) -> None:
        self.manager = manager
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
        delay = MIN_REARM_SECONDS
        while True:
            if not self.is_relay():
                await self.clock.sleep(RELAY_CHECK_INTERVAL_SECONDS)
                continue
            if await self.watch():
                delay = MIN_REARM_SECONDS
                continue
            await self.clock.sleep(delay * self.chooser.uniform(0.5, 1.5))
            delay = min(delay * 2, MAX_REARM_SECONDS)

    async def watch(self) -> bool:
        """Hold one watch to its end; return whether it worked."""
        try:
            async with asyncio.timeout(WATCH_HOLD_SECONDS + WATCH_GRACE_SECONDS):
                entry = await self.archive.store.watch(
                    HEAD_KEY, self.revision, WATCH_HOLD_SECONDS
                )
            if entry is None:
                self.note_reachable(True)
                return True
            # A stale answer would be repeated at once if the watch were
            # armed again without a pause.
            progress = entry.revision > self.revision
            await self.apply_head(stored_head(entry))
            return progress
        except (StoreError, SnapshotError, TimeoutError) as error:
            self.record_failure(error)
            return False

    async def poll_forever(self) -> None:
        """Read the head now and then while this host is a relay."""
        while True:
            await self.clock.sleep(
                POLL_INTERVAL_SECONDS * self.chooser.uniform(0.7, 1.3)
            )
            if self.is_relay():
                await self.poll()

    async def poll(self) -> None:
        """Read the head once."""
        try:
            await self.apply_head(await self.archive.read_head())
        except (StoreError, SnapshotError) as error:
            self.record_failure(error)

    async def apply_head(self, stored: StoredHead) -> None:
        """Take over what the store holds, if it is newer.

        :raises StoreError: if a part could not be read.
        :raises EditionError: if a part is missing or damaged.
        """
        self.store_read = self.clock.monotonic()
        self.note_reachable(True)
        self.store_version = stored.version
        if stored.manifest is not None and self.manager.is_wanted(stored.version):
            edition = await self.archive.read_snapshot(
                stored.manifest, self.manager.parts()
            )
            await self.manager.adopt(edition, "store")
        self.revision = max(self.revision, stored.revision)

    def record_failure(self, error: Exception) -> None:
        """Take note of a call that failed."""
        self.manager.metrics.increment("configuration.store_failed")
        self.note_reachable(False, str(error))

    def note_reachable(self, reachable: bool, detail: str = "") -> None:
        """Record when the store is lost and when it answers again."""
        if reachable == self.reachable:
            return
        self.reachable = reachable
        state = "answers" if reachable else "lost"
        self.manager.timeline.record(EventKind.STORE, state, detail=detail)
        log.info(f"The store {state}. {detail}")
