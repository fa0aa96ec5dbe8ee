"""What is announced in the store, followed change by change."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from random import Random
from typing import Final

from ...clock import Clock
from ...version.registry import NO_ROUTES, RouteTable, TargetEntry
from ...wire import WireError
from ..decisions import Decisions
from .keyspace import HistoryGone, Item, Items, Keyspace, KeyspaceError

HOLD: Final = 2.0
MARGIN: Final = 0.5
"""Seconds for which a question for changes is held, and beyond them, after which
the store's silence is a failure. Questions can end without a word while a
configuration is written, which has 3 s to be in force; each is a call."""

SPREAD: Final = 0.6
"""Least share of the hold that a host asks for: one change answers the questions
of all hosts at once, and the next must not all end together again."""

FEW_HOSTS: Final = 18
LONGEST: Final = 3.0
LEAST_SHARE: Final = 0.1
"""Beyond so many hosts questions are held longer, up to so many times, and their
ends are spread wider: of many hosts one asks anew each moment, and heartbeats
tell the others of a version. At 91 hosts questions made most of 2,556 calls a
day. A target that leaves is to be known in 7 s where a question went deaf, too."""

LONGEST_GATHER: Final = 2.5
"""Times that changes are gathered for longer among many hosts, each of which asks
anew after each change; 1.5 s of the 5 s that a configuration has there."""

GATHER: Final = 0.6
"""Seconds between an answer and the next question, so that changes that come
together cost one call a host; a configuration has 3 s to be in force, and hosts
tell each other of new leads as soon as a statement depends on it."""

ANSWER_TIMEOUT: Final = 1.5
"""Seconds for an answer of a store that takes 4 ms, or 240 ms when slow."""

RETRY_FIRST: Final = 0.1
RETRY_MOST: Final = 1.0
"""Seconds of the first and the longest pause after a failure; the store is
back about 2 s before what depends on it counts."""

OWN_PREFIX: Final = "reedhook/"
"""Begins the keys that hosts of the system write."""

HOSTS: Final = f"{OWN_PREFIX}hosts/"
"""Begins the keys under which hosts announce themselves."""

EVERYTHING: Final = ""

LONGEST_ERROR: Final = 200
"""Characters of what is logged of a value that cannot be read; others may have
written anything there, up to 1 MB."""


class Documents(ABC):
    """Read the values that others keep in the store."""

    @abstractmethod
    def is_table(self, key: str) -> bool:
        """Say whether the key holds the operators' configuration."""

    @abstractmethod
    def is_target(self, key: str) -> bool:
        """Say whether the key holds what a target announces."""

    @abstractmethod
    def target_of(self, key: str) -> str:
        """Return the id of the target that announces itself under the key."""

    @abstractmethod
    def read_table(self, value: bytes) -> RouteTable:
        """Read the operators' configuration.

        :raises WireError: if it has another form.
        """

    @abstractmethod
    def read_target(self, key: str, value: bytes) -> TargetEntry:
        """Read what a target announces.

        :raises WireError: if it has another form.
        """


class Announcements:
    """Keep what is announced, as new as it could be learned.

    :ivar table: the configuration in force; it never gets older.
    :ivar table_value: its value in the store, for other hosts.
    :ivar targets: what targets announce, by id.
    :ivar missing_since: when targets that were known were found to be gone,
        by `Clock.elapsed`.
    :ivar malformed: keys whose values cannot be read now; each is logged once.
    :ivar own: the newest items that hosts of the system wrote, by key.
    :ivar reached: whether the last call to the store was answered.
    :ivar first: set once everything was read.
    """

    def __init__(
        self,
        keyspace: Keyspace,
        documents: Documents,
        clock: Clock,
        random: Random,
        decisions: Decisions,
    ) -> None:
        self.keyspace = keyspace
        self.documents = documents
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.table = NO_ROUTES
        self.table_value = b""
        self.targets: dict[str, TargetEntry] = {}
        self.missing: dict[str, TargetEntry] = {}
        self.missing_since: dict[str, float] = {}
        self.malformed: set[str] = set()
        self.own: dict[str, Item] = {}
        self.reached = False
        self.back_at = float("-inf")
        self.first = asyncio.Event()
        self.configured = asyncio.Event()
        self.at = 0
        self.on_table: list[Callable[[RouteTable], None]] = []
        self.on_targets: list[Callable[[], None]] = []
        self.on_reborn: list[Callable[[TargetEntry], None]] = []
        self.on_own: list[Callable[[Item], None]] = []

    async def run(self) -> None:
        """Follow the store until cancelled."""
        pause = RETRY_FIRST
        known = False
        while True:
            try:
                if known:
                    await self.follow()
                    await self.clock.sleep(GATHER * min(self.crowd(), LONGEST_GATHER))
                else:
                    await self.read_all()
                    known = True
                pause = RETRY_FIRST
                continue
            except HistoryGone:
                known = False
            except KeyspaceError as error:
                self.lost(error)
            spread = self.random.uniform(0.5, 1.0)
            await self.clock.sleep(pause * spread)
            pause = min(2 * pause, RETRY_MOST)

    def lost(self, error: KeyspaceError) -> None:
        """Take note that the store gives no answer."""
        if self.reached:
            self.decisions.note("store_lost", error=str(error))
        self.reached = False

    def heard(self) -> None:
        """Take note that the store answers."""
        now = self.clock.elapsed()
        if not self.reached:
            self.back_at = now
            self.decisions.note("store_reached", revision=self.at)
        self.reached = True

    async def read_all(self) -> None:
        """Read everything anew."""
        found = await self.keyspace.list(EVERYTHING, ANSWER_TIMEOUT)
        self.heard()
        self.at = found.at
        keys = {item.key for item in found.items}
        for target in self.targets.keys() - self.named(keys):
            self.target_gone(target)
        for key in [key for key in self.own if key not in keys]:
            self.take_own(Item(key, None, found.at))
        self.take(found)
        self.first.set()

    def named(self, keys: set[str]) -> set[str]:
        """Return the targets of which keys speak."""
        documents = self.documents
        return {documents.target_of(key) for key in keys if documents.is_target(key)}

    def known(self, target: str) -> TargetEntry | None:
        """Return what a target announces, or announced last; None if never."""
        return self.targets.get(target) or self.missing.get(target)

    async def follow(self) -> None:
        """Wait for the next changes."""
        found = await self.keyspace.changes(EVERYTHING, self.at, self.hold(), MARGIN)
        self.heard()
        self.at = max(self.at, found.at)
        self.take(found)

    def hold(self) -> float:
        """Return for how long to hold a question: longer where many hosts ask."""
        crowd = self.crowd()
        least = SPREAD if crowd <= 1.0 else LEAST_SHARE
        return HOLD * min(crowd, LONGEST) * self.random.uniform(least, 1.0)

    def crowd(self) -> float:
        """Return how many times more hosts there are than few."""
        hosts = sum(key.startswith(HOSTS) for key in self.own)
        return max(hosts / FEW_HOSTS, 1.0)

    def take(self, found: Items) -> None:
        """Take items over, one by one."""
        for item in found.items:
            try:
                self.take_item(item)
                self.malformed.discard(item.key)
            except WireError as error:
                self.cannot_read(item, error)

    def cannot_read(self, item: Item, error: WireError) -> None:
        """Take note of a value that another writer may have left.

        The entry of a target names none then, nor does the one that stood there
        before; a configuration in force stays.
        """
        if item.key not in self.malformed:
            self.malformed.add(item.key)
            self.decisions.note(
                "item_malformed",
                key=item.key,
                revision=item.revision,
                kept=self.table.version if self.documents.is_table(item.key) else None,
                error=str(error)[:LONGEST_ERROR],
            )
        if self.documents.is_target(item.key):
            self.target_gone(self.documents.target_of(item.key))

    def take_item(self, item: Item) -> None:
        """Take one item over by what it is about."""
        documents = self.documents
        if item.key.startswith(OWN_PREFIX):
            self.take_own(item)
        elif documents.is_table(item.key) and item.value is not None:
            self.take_table(item.value)
        elif documents.is_target(item.key):
            self.take_target(item)

    def take_table(self, value: bytes) -> None:
        """Put a configuration in force unless a newer one is.

        :raises WireError: if it is malformed.
        """
        table = self.documents.read_table(value)
        if table.version <= self.table.version:
            return
        self.decisions.note(
            "configuration", version=table.version, before=self.table.version
        )
        self.table = table
        self.table_value = value
        self.configured.set()
        for callback in self.on_table:
            callback(table)

    def take_target(self, item: Item) -> None:
        """Take over what a target announces."""
        target = self.documents.target_of(item.key)
        if item.value is None:
            self.target_gone(target)
            return
        entry = self.documents.read_target(item.key, item.value)
        known = self.known(target)
        if known is not None and entry.is_older_than(known):
            # A write that was late, of a process that ended or went on since.
            self.decisions.note(
                "target_entry_old", target=target, born=entry.born, known=known.born
            )
            return
        before = self.targets.get(target)
        self.targets[target] = entry
        self.missing.pop(target, None)
        self.missing_since.pop(target, None)
        if known is not None and not entry.is_life(known.born):
            self.reborn(known, entry)
        if entry.is_news_after(before):
            self.decisions.note(
                "target",
                target=target,
                service=entry.service,
                address=entry.address,
                leaving=entry.leaving,
                claims_lead=entry.claims_lead,
                born=entry.born,
                revision=item.revision,
            )
            self.targets_changed()

    def reborn(self, before: TargetEntry, entry: TargetEntry) -> None:
        """Tell that a target has started again and holds nothing of before."""
        self.decisions.note(
            "target_reborn", target=entry.target, born=entry.born, before=before.born
        )
        for callback in self.on_reborn:
            callback(entry)

    def target_gone(self, target: str) -> None:
        """Take note that a target announces itself no more."""
        entry = self.targets.pop(target, None)
        if entry is None:
            return
        self.decisions.note("target_gone", target=target, service=entry.service)
        self.missing[target] = entry
        self.missing_since[target] = self.clock.elapsed()
        self.targets_changed()

    def targets_changed(self) -> None:
        """Tell that a target came, changed or went."""
        for callback in self.on_targets:
            callback()

    def take_own(self, item: Item) -> None:
        """Take over an item that a host of the system wrote."""
        known = self.own.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if item.value is None:
            self.own.pop(item.key, None)
        else:
            self.own[item.key] = item
        for callback in self.on_own:
            callback(item)
