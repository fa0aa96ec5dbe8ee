"""How a host learns what is announced: from the store, or from another host."""

from abc import ABC, abstractmethod
from random import Random
from typing import Final

from ...clock import Clock
from .announcements import Announcements
from .freshness import Freshness
from .keyspace import HistoryGone, Items, Keyspace, KeyspaceError

HOLD: Final = 2.0
MARGIN: Final = 0.5
"""Seconds for which a question for changes is held, and beyond them, after which
the store's silence is a failure. Questions can end without a word while a
configuration is written, which has 3 s to be in force; each is a call."""

SPREAD: Final = 0.6
"""Least share of the hold that a host asks for: one change answers the questions
of all hosts at once, and the next must not all end together again."""

GATHER: Final = 0.6
"""Seconds between an answer and the next question, so that changes that come
together cost one call a host; a configuration has 3 s to be in force, and hosts
tell each other of new leads as soon as a statement depends on it."""

ANSWER_TIMEOUT: Final = 1.5
"""Seconds for an answer of a store that takes 4 ms, or 240 ms when slow."""

SLOW: Final = 1.0
"""Seconds for an answer with a configuration after which what was written meanwhile
is skipped: asked for by its history, each version would cross a link that is too
thin for one. At 1 Mbit/s, 250 KB take 2.7 s."""

RETRY_FIRST: Final = 0.1
RETRY_MOST: Final = 1.0
"""Seconds of the first and the longest pause after a failure; the store is
back about 2 s before what depends on it counts."""

PORTION: Final = 100
"""Changes from which on an answer may hold only a part of them; it proves nothing
then of the moment at which it was asked for."""

EVERYTHING: Final = ""


class Source(ABC):
    """Give news of the store that others have learned."""

    @abstractmethod
    async def follow(self) -> bool:
        """Learn the next news.

        :returns: False if this host is to follow the store itself.
        """


class StoreWatch:
    """Keep the announcements of a host up to date.

    A few hosts of each availability zone follow the store, the others learn from
    them: each question is a call, and each change crosses the links of all that ask.

    :param source: gives news from another host.
    :param freshness: is told what the answers of the store prove.
    :ivar known: whether everything was read, so that changes suffice.
    """

    def __init__(
        self,
        keyspace: Keyspace,
        announcements: Announcements,
        source: Source,
        clock: Clock,
        random: Random,
        freshness: Freshness,
    ) -> None:
        self.freshness = freshness
        self.keyspace = keyspace
        self.announcements = announcements
        self.source = source
        self.clock = clock
        self.random = random
        self.known = False

    async def run(self) -> None:
        """Learn what is announced until cancelled."""
        pause = RETRY_FIRST
        while True:
            try:
                await self.learn()
                pause = RETRY_FIRST
                continue
            except HistoryGone as error:
                self.announcements.decisions.note("history_gone", cause=str(error))
                self.known = False
            except KeyspaceError as error:
                self.announcements.lost(error)
            spread = self.random.uniform(0.5, 1.0)
            await self.clock.sleep(pause * spread)
            pause = min(2 * pause, RETRY_MOST)

    async def learn(self) -> None:
        """Learn the next news.

        :raises KeyspaceError: if the store gives no answer.
        """
        if not self.known:
            await self.read_all()
        elif await self.source.follow():
            return
        else:
            await self.follow_store()
            await self.clock.sleep(GATHER)

    async def read_all(self) -> None:
        """Read everything anew."""
        asked = self.clock.elapsed()
        found = await self.keyspace.list(EVERYTHING, ANSWER_TIMEOUT)
        before = self.announcements.table.version
        self.announcements.heard()
        self.announcements.replace(found)
        self.freshness.prove(asked)
        self.known = True
        self.skip(found, before)

    async def follow_store(self) -> None:
        """Wait for the next changes in the store."""
        at = self.announcements.mirror.at
        asked = self.clock.elapsed()
        found = await self.keyspace.changes(EVERYTHING, at, self.hold(), MARGIN)
        before = self.announcements.table.version
        self.announcements.heard()
        self.announcements.take(found)
        if len(found.items) < PORTION:
            self.freshness.prove(asked)
        self.skip(found, before)

    def skip(self, found: Items, before: int) -> None:
        """Have everything read next if a configuration took long to arrive.

        :param before: the version in force before it.
        """
        version = self.announcements.table.version
        if found.arrival > SLOW and version > before:
            self.announcements.decisions.note(
                "versions_skipped", after=version, arrival=round(found.arrival, 2)
            )
            self.known = False

    def hold(self) -> float:
        """Return for how long to hold a question."""
        return HOLD * self.random.uniform(SPREAD, 1.0)
