"""Relays: the hosts of a zone that watch the configuration head in the store."""

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
# Bounds the delay after a watch fails silently.
POLL_INTERVAL_SECONDS: Final = 3.0
RELAY_CHECK_INTERVAL_SECONDS: Final = 1.0
MIN_REARM_SECONDS: Final = 0.2
MAX_REARM_SECONDS: Final = 5.0

log = logbook.Logger("relay")


class ConfigurationRelay:
    """Watch and poll the head while this host is a relay.

    :ivar revision: the highest revision of the head that was read.
    :ivar store_version: the last version read; 0 before the first.
    :ivar reachable: whether the last request succeeded.
    :ivar store_read: monotonic time of the last response in seconds, or None.
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
        """Read the head if this host is a relay, then start the watch and the polls."""
        if self.is_relay():
            await self.poll()
        self.tasks = [
            asyncio.create_task(self.watch_forever()),
            asyncio.create_task(self.poll_forever()),
        ]

    async def close(self) -> None:
        """Cancel the watch and the polls."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def status(self) -> Json:
        """Return the store status that is shown to operators."""
        read = self.store_read
        age = None if read is None else round(self.clock.monotonic() - read, 3)
        return {
            "relay": self.is_relay(),
            "store_reachable": self.reachable if self.is_relay() else None,
            "store_version": self.store_version,
            "store_age": age,
        }

    async def watch_forever(self) -> None:
        """Watch the head while this host is a relay, with backoff on errors."""
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
        """Run one watch; return whether it completed or made progress."""
        try:
            async with asyncio.timeout(WATCH_HOLD_SECONDS + WATCH_GRACE_SECONDS):
                entry = await self.archive.store.watch(
                    HEAD_KEY, self.revision, WATCH_HOLD_SECONDS
                )
            if entry is None:
                self.set_reachable(True)
                return True
            # Without a pause, a stale response would cause a busy loop.
            progress = entry.revision > self.revision
            await self.apply_head(stored_head(entry))
            return progress
        except (StoreError, SnapshotError, TimeoutError) as error:
            self.record_failure(error)
            return False

    async def poll_forever(self) -> None:
        """Read the head periodically while this host is a relay."""
        while True:
            await self.clock.sleep(
                POLL_INTERVAL_SECONDS * self.chooser.uniform(0.7, 1.3)
            )
            if self.is_relay():
                await self.poll()

    async def poll(self) -> None:
        """Read and apply the head once."""
        try:
            await self.apply_head(await self.archive.read_head())
        except (StoreError, SnapshotError) as error:
            self.record_failure(error)

    async def apply_head(self, stored: StoredHead) -> None:
        """Activate the stored version if it is newer.

        :raises StoreError: if a part cannot be read.
        :raises SnapshotError: if a part is missing or damaged.
        """
        self.store_read = self.clock.monotonic()
        self.set_reachable(True)
        self.store_version = stored.version
        if stored.manifest is not None and self.manager.is_wanted(stored.version):
            snapshot = await self.archive.read_snapshot(
                stored.manifest, self.manager.parts()
            )
            await self.manager.adopt(snapshot, "store")
        self.revision = max(self.revision, stored.revision)

    def record_failure(self, error: Exception) -> None:
        """Record a failed store request."""
        self.manager.metrics.increment("configuration.store_failed")
        self.set_reachable(False, str(error))

    def set_reachable(self, reachable: bool, detail: str = "") -> None:
        """Record a change of the store's reachability."""
        if reachable == self.reachable:
            return
        self.reachable = reachable
        state = "answers" if reachable else "lost"
        self.manager.timeline.record(EventKind.STORE, state, detail=detail)
        log.info(f"Configuration store: {state}. {detail}")
