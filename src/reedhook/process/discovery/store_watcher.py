"""Watch of the store's announcements, directly or through another host."""

from abc import ABC, abstractmethod
from random import Random
from typing import Final

from ...clock import Clock
from .announcements import Announcements
from .configuration_freshness import ConfigurationFreshness
from .key_value_store import (
    EarlierEpochError,
    HistoryCompactedError,
    Items,
    KeyValueStore,
    KeyValueStoreError,
)

HOLD_SECONDS: Final = 2.0
HOLD_MARGIN_SECONDS: Final = 0.5
"""Hold time of a request for changes, and the time after it before a missing response
is a failure. Their sum must stay below the 3 s for a configuration to take effect."""

MIN_HOLD_FRACTION: Final = 0.6
"""Minimum share of the hold time. One change ends the requests of all hosts at once;
jitter keeps their next requests from ending together."""

BATCH_DELAY_SECONDS: Final = 0.6
"""Pause before the next request, so that concurrent changes share one call."""

RESPONSE_TIMEOUT_SECONDS: Final = 1.5

SLOW_TRANSFER_SECONDS: Final = 1.0
"""Transfer time of a configuration beyond which intermediate versions are skipped: the
change log would send each of them over the slow link."""

MIN_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 1.0
"""Limits of the exponential delay after a failure."""

PARTIAL_ANSWER_LIMIT: Final = 100
"""Number of changes from which on a response may be partial, and then does not prove
freshness as of its request."""

ALL_KEYS_PREFIX: Final = ""


class UpdateSource(ABC):
    """Provide store updates from other hosts."""

    @abstractmethod
    async def fetch_updates(self) -> bool:
        """Wait for the next updates and apply them.

        :returns: False if this host must follow the store itself.
        """


class StoreWatcher:
    """Keep the announcements of a host up to date.

    A few hosts of each availability zone follow the store and relay updates to the
    others, which limits calls to the store and traffic on its links.

    :param source: provides updates from another host.
    :param freshness: records what the responses of the store prove.
    :ivar synchronized: whether all items were read, so that changes suffice.
    """

    def __init__(
        self,
        keyspace: KeyValueStore,
        announcements: Announcements,
        source: UpdateSource,
        clock: Clock,
        random: Random,
        freshness: ConfigurationFreshness,
    ) -> None:
        self.freshness = freshness
        self.keyspace = keyspace
        self.announcements = announcements
        self.source = source
        self.clock = clock
        self.random = random
        self.synchronized = False

    async def run(self) -> None:
        """Apply updates until cancelled, with exponential delays after failures."""
        pause = MIN_RETRY_SECONDS
        while True:
            try:
                await self.update()
                pause = MIN_RETRY_SECONDS
                continue
            except HistoryCompactedError as error:
                self.announcements.decisions.record(
                    "history_compacted", cause=str(error)
                )
                # After a restore, a relay sends what changed with it.
                self.synchronized = self.is_outdated()
            except EarlierEpochError as error:
                # A late response, or the store was restored between two pages.
                self.announcements.decisions.record(
                    "store_answer_outdated", cause=str(error)
                )
            except KeyValueStoreError as error:
                self.announcements.mark_store_lost(error)
            jitter = self.random.uniform(0.5, 1.0)
            await self.clock.sleep(pause * jitter)
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def update(self) -> None:
        """Wait for the next updates and apply them.

        :raises KeyValueStoreError: if the store does not respond.
        """
        if not self.synchronized:
            await self.read_all()
        elif await self.source.fetch_updates():
            return
        elif self.is_outdated():
            await self.read_all()
        else:
            await self.follow_store()
            await self.clock.sleep(BATCH_DELAY_SECONDS)

    def is_outdated(self) -> bool:
        """Return whether the items here are those of an earlier epoch."""
        return self.announcements.mirror.revision.epoch < self.keyspace.epoch.current

    async def read_all(self) -> None:
        """Read all items from the store."""
        requested_at = self.clock.boottime()
        found = await self.keyspace.list(ALL_KEYS_PREFIX, RESPONSE_TIMEOUT_SECONDS)
        before = self.announcements.table.version
        self.announcements.mark_store_reached()
        self.announcements.replace(found)
        self.freshness.record_proof(requested_at)
        self.synchronized = True
        self.skip(found, before)

    async def follow_store(self) -> None:
        """Wait for the next changes in the store."""
        revision = self.announcements.mirror.revision
        requested_at = self.clock.boottime()
        found = await self.keyspace.changes(
            ALL_KEYS_PREFIX, revision, self.hold(), HOLD_MARGIN_SECONDS
        )
        before = self.announcements.table.version
        self.announcements.mark_store_reached()
        self.announcements.apply_changes(found)
        if len(found.items) < PARTIAL_ANSWER_LIMIT:
            self.freshness.record_proof(requested_at)
        self.skip(found, before)

    def skip(self, found: Items, before: int) -> None:
        """Read all items next if the transfer of a configuration was slow.

        :param before: the version in force before the response.
        """
        version = self.announcements.table.version
        if found.transfer_seconds > SLOW_TRANSFER_SECONDS and version > before:
            self.announcements.decisions.record(
                "versions_skipped",
                after=version,
                arrival=round(found.transfer_seconds, 2),
            )
            self.synchronized = False

    def hold(self) -> float:
        """Return the hold time of the next request, with jitter."""
        return HOLD_SECONDS * self.random.uniform(MIN_HOLD_FRACTION, 1.0)
