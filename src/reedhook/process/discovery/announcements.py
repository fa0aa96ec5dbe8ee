"""Local view of the configuration and announcements in the store."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...version.route_table import EMPTY_ROUTE_TABLE, RouteTable, TargetAnnouncement
from ...wire import WireError
from .key_value_store import Item, Items
from .store_mirror import StoreMirror
from .store_revision import StoreRevision
from .store_value_parser import StoreValueParser

SYSTEM_KEY_PREFIX: Final = "reedhook/"
"""Prefix of keys written by hosts."""

HOSTS_KEY_PREFIX: Final = f"{SYSTEM_KEY_PREFIX}hosts/"
"""Prefix of host announcements."""

RELAY_GRACE_SECONDS: Final = 1.0
"""Time without the store before other hosts stop using this one as a relay and query
the store themselves, which multiplies its load."""

GONE_AFTER_SECONDS: Final = 3.0
"""Time without an announcement, while the store responds, before a target counts as
gone. Entries that lapsed during a store outage are back within 2 s."""

MAX_ERROR_CHARACTERS: Final = 200
"""Limit of the logged key and error, since a malformed item may be up to 1 MB long."""


class Announcements:
    """Keep the latest known announcements, and notify listeners of changes.

    :ivar table: the configuration in force; its version never decreases.
    :ivar table_value: its encoded value without callers' keys, for other hosts.
    :ivar targets: current target announcements by target ID.
    :ivar missing: last announcements of targets that are gone, by target ID.
    :ivar missing_since: `Clock.boottime` when each of these was found gone.
    :ivar restarted: targets that have started again without their data.
    :ivar malformed: keys with malformed values; each is logged once.
    :ivar host_items: latest items written by hosts, by key.
    :ivar mirror: all items except configurations, for other hosts.
    :ivar updated: set, and replaced by a new event, on each update.
    :ivar store_reached: whether the last store query succeeded, by this host or by
        its relay.
    :ivar on_host_item: callbacks that receive each changed item of a host.
    :ivar on_update: callbacks after each batch of changed items.
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
        self.restarted: set[str] = set()
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
        """Record that the store does not respond."""
        if self.store_reached:
            self.lost_at = self.clock.boottime()
            self.decisions.record("store_lost", error=str(error))
        self.store_reached = False

    @property
    def usable_as_relay(self) -> bool:
        """Return whether other hosts may keep using this host as a relay.

        Short interruptions are tolerated, such as closed connections or a compacted
        history.
        """
        return (
            self.store_reached
            or self.clock.boottime() - self.lost_at < RELAY_GRACE_SECONDS
        )

    def mark_store_reached(self) -> None:
        """Record that the store responds."""
        now = self.clock.boottime()
        if not self.store_reached:
            self.reached_since = now
            self.decisions.record(
                "store_reached", revision=self.mirror.revision.to_json()
            )
        self.store_reached = True

    def replace(self, found: Items) -> None:
        """Apply a full listing; other items count as deleted."""
        if found.revision.epoch > self.mirror.revision.epoch:
            self.apply_restored(found, complete=True)
        else:
            self.apply_changes(found)
            self.keep_only({item.key for item in found.items})
        self.complete(found.revision)

    def keep_only(self, keys: set[str]) -> None:
        """Delete all items except those with these keys."""
        at = self.mirror.revision
        self.process_updates(
            self.mirror.apply(Items(self.mirror.missing(keys, at), at))
        )

    def apply_restored(self, found: Items, complete: bool) -> None:
        """Apply items of a higher epoch; see `StoreMirror.apply_restored`."""
        self.process_updates(
            self.mirror.apply_restored(self.without_tables(found), complete)
        )

    def complete(self, at: StoreRevision) -> None:
        """Record that the items are exactly those of the store at a revision."""
        restored = at.epoch > self.mirror.revision.epoch
        self.mirror.complete(at)
        if restored:
            # Hosts that still are at the earlier epoch wait for this one.
            self.notify_waiters()

    def apply_changes(self, found: Items) -> None:
        """Apply changes of the store."""
        self.process_updates(self.mirror.apply(self.without_tables(found)))

    def without_tables(self, found: Items) -> Items:
        """Apply configurations and return the other items.

        Configurations may be large; `RouteTableServer` sends them to other hosts.
        """
        others = []
        for item in found.items:
            if self.parser.is_table(item.key):
                self.try_process_item(item)
            else:
                others.append(item)
        return Items(others, found.revision)

    def last_entry(self, target: str) -> TargetAnnouncement | None:
        """Return the latest announcement of a target, or None if it never had one."""
        return self.targets.get(target) or self.missing.get(target)

    def is_leaving(self, target: str) -> bool:
        """Return whether a target's latest announcement says that it leaves.

        The announcement may end while the target still responds.
        """
        entry = self.last_entry(target)
        return entry is not None and entry.leaving

    def is_gone(self, target: str) -> bool:
        """Return whether a target has stopped announcing itself for good.

        A target that this host has never known may have left before it started.
        """
        now = self.clock.boottime()
        if not self.store_reached or now - self.reached_since < GONE_AFTER_SECONDS:
            return False
        if target in self.targets:
            return False
        missing_since = self.missing_since.get(target, self.reached_since)
        return now - missing_since >= GONE_AFTER_SECONDS

    def sync_replicas(self, service: str) -> int:
        """Return how many replicas have received a commit that is acknowledged."""
        limits = self.table.services.get(service)
        return 0 if limits is None else limits.sync_replicas

    def process_updates(self, news: list[Item]) -> None:
        """Process new items and wake waiting tasks."""
        if not news:
            return
        for item in news:
            self.try_process_item(item)
        self.notify_waiters()
        for callback in self.on_update:
            callback()

    def try_process_item(self, item: Item) -> None:
        """Process one item; log it if it is malformed."""
        try:
            self.process_item(item)
            self.malformed.discard(item.key)
        except WireError as error:
            self.cannot_read(item, error)

    def notify_waiters(self) -> None:
        """Wake the tasks that wait for an update."""
        self.updated.set()
        self.updated = asyncio.Event()

    def cannot_read(self, item: Item, error: WireError) -> None:
        """Log a malformed value, which another writer may have stored.

        A target with a malformed announcement counts as gone. The configuration in
        force stays.
        """
        if item.key not in self.malformed:
            self.malformed.add(item.key)
            self.decisions.record(
                "item_malformed",
                key=item.key[:MAX_ERROR_CHARACTERS],
                revision=item.revision.to_json(),
                kept=self.table.version if self.parser.is_table(item.key) else None,
                error=str(error)[:MAX_ERROR_CHARACTERS],
            )
        if self.parser.is_target(item.key):
            self.remove_target(self.parser.target_of(item.key))

    def process_item(self, item: Item) -> None:
        """Apply one item according to its key.

        :raises WireError: if its value is malformed.
        """
        parser = self.parser
        if item.key.startswith(SYSTEM_KEY_PREFIX):
            self.apply_host_item(item)
        elif parser.is_table(item.key) and item.value is not None:
            self.apply_table(parser.without_keys(item.value))
        elif parser.is_target(item.key):
            self.apply_target(item)

    def apply_table(self, value: bytes) -> None:
        """Put a configuration in force if it is newer than the present one.

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
        """Apply the announcement of a target, or its deletion.

        :raises WireError: if it is malformed.
        """
        target = self.parser.target_of(item.key)
        if item.value is None:
            self.remove_target(target)
            return
        entry = self.parser.read_target(item.key, item.value)
        known = self.last_entry(target)
        if known is not None and entry.is_older_than(known):
            # A delayed write: the target has announced a newer state since.
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
                revision=item.revision.to_json(),
            )
            self.targets_changed()

    def handle_restart(
        self, before: TargetAnnouncement, entry: TargetAnnouncement
    ) -> None:
        """Notify listeners that a target has restarted without its previous data."""
        self.decisions.record(
            "target_restarted",
            target=entry.target,
            born=entry.started_at_ms,
            before=before.started_at_ms,
        )
        self.restarted.add(entry.target)
        for callback in self.on_restart:
            callback(entry)

    def remove_target(self, target: str) -> None:
        """Record that a target no longer announces itself."""
        entry = self.targets.pop(target, None)
        if entry is None:
            return
        self.decisions.record("target_removed", target=target, service=entry.service)
        self.missing[target] = entry
        self.missing_since[target] = self.clock.boottime()
        self.targets_changed()

    def targets_changed(self) -> None:
        """Notify listeners that a target was added, changed or removed."""
        for callback in self.on_targets:
            callback()

    def apply_host_item(self, item: Item) -> None:
        """Apply an item written by a host if it is newer."""
        known = self.host_items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if item.value is None:
            self.host_items.pop(item.key, None)
        else:
            self.host_items[item.key] = item
        for callback in self.on_host_item:
            callback(item)
