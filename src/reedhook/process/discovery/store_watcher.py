"""How a host learns what is announced: from the store, or from another host."""

from abc import ABC, abstractmethod
from random import Random
from typing import Final

from ...clock import Clock
from .announcements import Announcements
from .configuration_freshness import ConfigurationFreshness
from .key_value_store import (
    HistoryCompactedError,
    Items,
    KeyValueStore,
    KeyValueStoreError,
)

HOLD_SECONDS: Final = 2.0
HOLD_MARGIN_SECONDS: Final = 0.5
"""Seconds for which a question for changes is held, and beyond them, after which
the store's silence is a failure. Questions can end without a word while a
configuration is written, which has 3 s to be in force; each is a call."""

MIN_HOLD_FRACTION: Final = 0.6
"""Least share of the hold that a host asks for: one change answers the questions
of all hosts at once, and the next must not all end together again."""

BATCH_DELAY_SECONDS: Final = 0.6
"""Seconds between an answer and the next question, so that changes that come
together cost one call a host; a configuration has 3 s to be in force, and hosts
tell each other of new leads as soon as a statement depends on it."""

RESPONSE_TIMEOUT_SECONDS: Final = 1.5
"""Seconds for an answer of a store that takes 4 ms, or 240 ms when slow."""

SLOW_TRANSFER_SECONDS: Final = 1.0
"""Seconds for an answer with a configuration after which what was written meanwhile
is skipped: asked for by its history, each version would cross a link that is too
thin for one. At 1 Mbit/s, 250 KB take 2.7 s."""

MIN_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 1.0
"""Seconds of the first and the longest pause after a failure; the store is
back about 2 s before what depends on it counts."""

PARTIAL_ANSWER_LIMIT: Final = 100
"""Changes from which on an answer may hold only a part of them; it proves nothing
then of the moment at which it was asked for."""

ALL_KEYS_PREFIX: Final = ""


class UpdateSource(ABC):
    """Give news of the store that others have learned."""

    @abstractmethod
    async def fetch_updates(self) -> bool:
        """Learn the next news.

        :returns: False if this host is to follow the store itself.
        """


class StoreWatcher:
    """Keep the announcements of a host up to date.

    A few hosts of each availability zone follow the store, the others learn from
    them: each question is a call, and each change crosses the links of all that ask.

    :param source: gives news from another host.
    :param freshness: is told what the answers of the store prove.
    :ivar synchronized: whether everything was read, so that changes suffice.
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
        """Learn what is announced until cancelled."""
        pause = MIN_RETRY_SECONDS
        while True:
            try:
                await self.update()
                pause = MIN_RETRY_SECONDS
                continue
            except HistoryCompactedError as error:
                self.announcements.decisions.record("history_gone", cause=str(error))
                self.synchronized = False
            except KeyValueStoreError as error:
                self.announcements.mark_store_lost(error)
            spread = self.random.uniform(0.5, 1.0)
            await self.clock.sleep(pause * spread)
            pause = min(2 * pause, MAX_RETRY_SECONDS)

    async def update(self) -> None:
        """Learn the next news.

        :raises KeyValueStoreError: if the store gives no answer.
        """
        if not self.synchronized:
            await self.read_all()
        elif await self.source.fetch_updates():
            return
        else:
            await self.follow_store()
            await self.clock.sleep(BATCH_DELAY_SECONDS)

    async def read_all(self) -> None:
        """Read everything anew."""
        asked = self.clock.boottime()
        found = await self.keyspace.list(ALL_KEYS_PREFIX, RESPONSE_TIMEOUT_SECONDS)
        before = self.announcements.table.version
        self.announcements.mark_store_reached()
        self.announcements.replace(found)
        self.freshness.record_proof(asked)
        self.synchronized = True
        self.skip(found, before)

    async def follow_store(self) -> None:
        """Wait for the next changes in the store."""
        at = self.announcements.mirror.revision
        asked = self.clock.boottime()
        found = await self.keyspace.changes(
            ALL_KEYS_PREFIX, at, self.hold(), HOLD_MARGIN_SECONDS
        )
        before = self.announcements.table.version
        self.announcements.mark_store_reached()
        self.announcements.apply_changes(found)
        if len(found.items) < PARTIAL_ANSWER_LIMIT:
            self.freshness.record_proof(asked)
        self.skip(found, before)

    def skip(self, found: Items, before: int) -> None:
        """Have everything read next if a configuration took long to arrive.

        :param before: the version in force before it.
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
        """Return for how long to hold a question."""
        return HOLD_SECONDS * self.random.uniform(MIN_HOLD_FRACTION, 1.0)
