"""What is announced in the store, as this host knows it."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...version.route_table import EMPTY_ROUTE_TABLE, RouteTable, TargetAnnouncement
from ...wire import WireError
from .key_value_store import Item, Items
from .store_mirror import StoreMirror
from .store_value_parser import StoreValueParser

SYSTEM_KEY_PREFIX: Final = "reedhook/"
"""Begins the keys that hosts of the system write."""

HOSTS_KEY_PREFIX: Final = f"{SYSTEM_KEY_PREFIX}hosts/"
"""Begins the keys under which hosts announce themselves."""

RELAY_GRACE_SECONDS: Final = 1.0
"""Seconds without the store after which others no longer learn from a host. They
then ask the store themselves: of 195 hosts 180 more, each with calls of its own."""

MAX_ERROR_CHARACTERS: Final = 200
"""Characters of what is logged of a value that cannot be read; others may have
written anything there, up to 1 MB."""


class Announcements:
    """Keep what is announced, as new as it could be learned.

    :ivar table: the configuration in force; it never gets older.
    :ivar table_value: its value without callers' keys, for other hosts.
    :ivar targets: what targets announce, by id.
    :ivar missing_since: when targets that were known were found to be gone,
        by `Clock.boottime`.
    :ivar malformed: keys whose values cannot be read now; each is logged once.
    :ivar host_items: the newest items that hosts of the system wrote, by key.
    :ivar mirror: all items but configurations, for other hosts.
    :ivar updated: set, and replaced by another, once there is news.
    :ivar store_reached: whether the store answered when it was last asked, by this host
        or by the one that it learns from.
    :ivar on_host_item: called with each item of a host of the system that is news.
    :ivar on_update: called once after items that came together.
    """

    def __init__(
        self, parser: StoreValueParser, clock: Clock, decisions: DecisionLog
    ) -> None:
        self.parser = parser
        self.clock = clock
        self.decisions = decisions
        self.table = EMPTY_ROUTE_TABLE
        self.table_value = b""
        self.targets: dict[str, TargetAnnouncement] = {}
        self.missing: dict[str, TargetAnnouncement] = {}
        self.missing_since: dict[str, float] = {}
        self.malformed: set[str] = set()
        self.host_items: dict[str, Item] = {}
        self.store_reached = False
        self.reached_since = float("-inf")
        self.lost_at = float("-inf")
        self.configured = asyncio.Event()
        self.mirror = StoreMirror()
        self.updated = asyncio.Event()
        self.on_table: list[Callable[[RouteTable], None]] = []
        self.on_targets: list[Callable[[], None]] = []
        self.on_restart: list[Callable[[TargetAnnouncement], None]] = []
        self.on_host_item: list[Callable[[Item], None]] = []
        self.on_update: list[Callable[[], None]] = []

    def mark_store_lost(self, error: Exception) -> None:
        """Take note that the store gives no answer."""
        if self.store_reached:
            self.lost_at = self.clock.boottime()
            self.decisions.record("store_lost", error=str(error))
        self.store_reached = False

    @property
    def usable_as_relay(self) -> bool:
        """Return whether others may go on learning from this host.

        A store that breaks its connections, or has dropped its history, answers
        again within tenths of a second.
        """
        return (
            self.store_reached
            or self.clock.boottime() - self.lost_at < RELAY_GRACE_SECONDS
        )

    def mark_store_reached(self) -> None:
        """Take note that the store answers."""
        now = self.clock.boottime()
        if not self.store_reached:
            self.reached_since = now
            self.decisions.record("store_reached", revision=self.mirror.revision)
        self.store_reached = True

    def replace(self, found: Items) -> None:
        """Take over all that is announced, and that the rest is gone."""
        self.apply_changes(found)
        self.keep_only({item.key for item in found.items})

    def keep_only(self, keys: set[str]) -> None:
        """Take note that only these keys are left."""
        self.process_updates(
            self.mirror.apply(Items(self.mirror.missing(keys), self.mirror.revision))
        )

    def apply_changes(self, found: Items) -> None:
        """Take changes over."""
        self.process_updates(self.mirror.apply(self.without_tables(found)))

    def without_tables(self, found: Items) -> Items:
        """Take configurations over and return the other items.

        Other hosts get those in another way, since they may be long.
        """
        others = []
        for item in found.items:
            if self.parser.is_table(item.key):
                self.try_process_item(item)
            else:
                others.append(item)
        return Items(others, found.revision)

    def last_entry(self, target: str) -> TargetAnnouncement | None:
        """Return what a target announces, or announced last; None if never."""
        return self.targets.get(target) or self.missing.get(target)

    def process_updates(self, news: list[Item]) -> None:
        """Act on items that are news, and wake those that wait for some."""
        if not news:
            return
        for item in news:
            self.try_process_item(item)
        self.notify_waiters()
        for callback in self.on_update:
            callback()

    def try_process_item(self, item: Item) -> None:
        """Act on one item."""
        try:
            self.process_item(item)
            self.malformed.discard(item.key)
        except WireError as error:
            self.cannot_read(item, error)

    def notify_waiters(self) -> None:
        """Wake those that wait for news."""
        self.updated.set()
        self.updated = asyncio.Event()

    def cannot_read(self, item: Item, error: WireError) -> None:
        """Take note of a value that another writer may have left.

        The entry of a target names none then, nor does the one that stood there
        before; a configuration in force stays.
        """
        if item.key not in self.malformed:
            self.malformed.add(item.key)
            self.decisions.record(
                "item_malformed",
                key=item.key,
                revision=item.revision,
                kept=self.table.version if self.parser.is_table(item.key) else None,
                error=str(error)[:MAX_ERROR_CHARACTERS],
            )
        if self.parser.is_target(item.key):
            self.remove_target(self.parser.target_of(item.key))

    def process_item(self, item: Item) -> None:
        """Take one item over by what it is about."""
        documents = self.parser
        if item.key.startswith(SYSTEM_KEY_PREFIX):
            self.apply_host_item(item)
        elif documents.is_table(item.key) and item.value is not None:
            self.apply_table(documents.without_keys(item.value))
        elif documents.is_target(item.key):
            self.apply_target(item)

    def apply_table(self, value: bytes) -> None:
        """Put a configuration in force unless a newer one is.

        :param value: without callers' keys.
        :raises WireError: if it is malformed.
        """
        table = self.parser.read_table(value)
        if table.version <= self.table.version:
            return
        self.decisions.record(
            "configuration", version=table.version, before=self.table.version
        )
        self.table = table
        self.table_value = value
        self.configured.set()
        self.notify_waiters()
        for callback in self.on_table:
            callback(table)

    def apply_target(self, item: Item) -> None:
        """Take over what a target announces."""
        target = self.parser.target_of(item.key)
        if item.value is None:
            self.remove_target(target)
            return
        entry = self.parser.read_target(item.key, item.value)
        known = self.last_entry(target)
        if known is not None and entry.is_older_than(known):
            # A write that was late, of a process that ended or went on since.
            self.decisions.record(
                "target_entry_old",
                target=target,
                born=entry.started_at_ms,
                known=known.started_at_ms,
            )
            return
        before = self.targets.get(target)
        self.targets[target] = entry
        self.missing.pop(target, None)
        self.missing_since.pop(target, None)
        if known is not None and not entry.is_incarnation(known.started_at_ms):
            self.handle_restart(known, entry)
        if entry.differs_from(before):
            self.decisions.record(
                "target",
                target=target,
                service=entry.service,
                address=entry.address,
                leaving=entry.leaving,
                claims_lead=entry.claims_primary,
                born=entry.started_at_ms,
                revision=item.revision,
            )
            self.targets_changed()

    def handle_restart(
        self, before: TargetAnnouncement, entry: TargetAnnouncement
    ) -> None:
        """Tell that a target has started again and holds nothing of before."""
        self.decisions.record(
            "target_reborn",
            target=entry.target,
            born=entry.started_at_ms,
            before=before.started_at_ms,
        )
        for callback in self.on_restart:
            callback(entry)

    def remove_target(self, target: str) -> None:
        """Take note that a target announces itself no more."""
        entry = self.targets.pop(target, None)
        if entry is None:
            return
        self.decisions.record("target_gone", target=target, service=entry.service)
        self.missing[target] = entry
        self.missing_since[target] = self.clock.boottime()
        self.targets_changed()

    def targets_changed(self) -> None:
        """Tell that a target came, changed or went."""
        for callback in self.on_targets:
            callback()

    def apply_host_item(self, item: Item) -> None:
        """Take over an item that a host of the system wrote."""
        known = self.host_items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if item.value is None:
            self.host_items.pop(item.key, None)
        else:
            self.host_items[item.key] = item
        for callback in self.on_host_item:
            callback(item)
