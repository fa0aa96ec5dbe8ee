"""Local copy of the store's items, from which other hosts are updated."""

from collections import OrderedDict
from typing import Final

from xxhash import xxh3_64_intdigest

from .key_value_store import HistoryCompactedError, Item, Items
from .store_revision import NO_REVISION, StoreRevision

KEPT_DELETIONS: Final = 4096
"""Must cover a few restarts of all hosts, each with one entry, between two requests
of a follower."""


class StoreMirror:
    """Keep the current items and recent deletions.

    Changes since a revision consist of the current state of each changed key, without
    superseded states. Items keep the revision under which this host first learned of
    their state: a restore changes only that of items whose state differs in the
    restored store, so that followers are sent only these.

    :ivar revision: revision up to which everything is known; `NO_REVISION` if nothing
        is known.
    :ivar newest: highest revision of any item or deletion.
    :ivar deletions_since: revision from which on all deletions are known.
    :ivar complete_at: revision at which the items were last read or compared as a
        whole. Deletions before it may be unknown here if they were never seen.
    :ivar digest: digest over key, number and value of all items; equal at two hosts
        that hold the same states, whenever each of them learned of these.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.deleted: OrderedDict[str, Item] = OrderedDict()
        self.revision = NO_REVISION
        self.newest = NO_REVISION
        self.deletions_since = NO_REVISION
        self.complete_at = NO_REVISION
        self.digest = 0

    def missing(self, keys: set[str], at: StoreRevision) -> list[Item]:
        """Return deletions, at a revision, of all items without one of these keys."""
        return [Item(key, None, at) for key in self.items.keys() - keys]

    def apply(self, found: Items) -> list[Item]:
        """Apply changes and return those that are new.

        States older than the known state of a key are ignored.
        """
        if self.revision == NO_REVISION:
            self.deletions_since = found.revision
        changed = self.apply_items(found.items)
        self.revision = max(self.revision, found.revision)
        return changed

    def apply_restored(self, found: Items, complete: bool) -> list[Item]:
        """Apply items that the restored store holds, and return those that are new.

        Each counts as of the epoch of `found`, also if its sender learned of its state
        earlier. A deletion does not: its number may be one that the restored store has
        yet to assign. Items learned in this epoch after the revision of `found` stay.
        The caller calls `complete` once it knows that nothing of an earlier epoch is
        left.

        :param complete: whether `found` holds all items; others are then deleted.
        """
        if self.revision == NO_REVISION:
            self.deletions_since = found.revision
        items = [in_epoch(item, found.revision.epoch) for item in found.items]
        if complete:
            items += self.missing({one.key for one in items}, found.revision)
        return self.apply_items(items)

    def complete(self, at: StoreRevision) -> None:
        """Record that the items are exactly those of the store at a revision."""
        self.revision = max(self.revision, at)
        self.complete_at = self.revision

    def apply_items(self, items: list[Item]) -> list[Item]:
        """Apply changes and return those that are new."""
        changed = [item for item in items if self.apply_item(item)]
        while len(self.deleted) > KEPT_DELETIONS:
            _, oldest = self.deleted.popitem(last=False)
            self.deletions_since = max(self.deletions_since, oldest.revision)
        return changed

    def apply_item(self, item: Item) -> bool:
        """Apply one change; return whether it is new."""
        known = self.items.get(item.key) or self.deleted.get(item.key)
        if known is not None and not supersedes(item, known):
            return False
        self.newest = max(self.newest, item.revision)
        self.digest ^= state_digest(known) ^ state_digest(item)
        if item.value is None:
            self.items.pop(item.key, None)
            self.deleted[item.key] = item
            self.deleted.move_to_end(item.key)
        else:
            self.deleted.pop(item.key, None)
            self.items[item.key] = item
        return True

    def changed_after(self, after: StoreRevision) -> bool:
        """Return whether anything has changed after a revision."""
        return self.newest > after

    def changes(self, after: StoreRevision) -> list[Item]:
        """Return the changes after a revision.

        :raises HistoryCompactedError: if later deletions may be unknown.
        """
        if after < self.deletions_since:
            raise HistoryCompactedError(f"deletions after {after} are no longer kept")
        return self.written(after) + [
            item for item in self.deleted.values() if item.revision > after
        ]

    def written(self, after: StoreRevision) -> list[Item]:
        """Return the items written after a revision."""
        return [item for item in self.items.values() if item.revision > after]


def in_epoch(item: Item, epoch: int) -> Item:
    """Return an item as learned in an epoch; a deletion is unchanged."""
    if item.value is None:
        return item
    return Item(item.key, item.value, StoreRevision(epoch, item.revision.number))


def supersedes(item: Item, known: Item) -> bool:
    """Return whether an item is a newer state than the known one of its key.

    A state that a restored store still holds has its number and value of before.
    """
    if known.revision >= item.revision:
        return False
    return known.revision.number != item.revision.number or known.value != item.value


def state_digest(item: Item | None) -> int:
    """Return the digest of an item's state, 0 if there is none."""
    if item is None or item.value is None:
        return 0
    head = f"{item.key}\0{item.revision.number}\0".encode()
    return xxh3_64_intdigest(head + item.value)
