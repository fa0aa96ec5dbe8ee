"""Local copy of the store's items, from which other hosts are updated."""

from collections import OrderedDict
from typing import Final

from .key_value_store import HistoryCompactedError, Item, Items
from .store_revision import NO_REVISION, StoreRevision

KEPT_DELETIONS: Final = 4096
"""Must cover a few restarts of all hosts, each with one entry, between two requests
of a follower."""


class StoreMirror:
    """Keep the current items and recent deletions.

    Changes since a revision consist of the current state of each changed key, without
    superseded states.

    :ivar revision: revision up to which everything is known; `NO_REVISION` if nothing
        is known.
    :ivar newest: highest revision of any item or deletion.
    :ivar deletions_since: revision from which on all deletions are known.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.deleted: OrderedDict[str, Item] = OrderedDict()
        self.revision = NO_REVISION
        self.newest = NO_REVISION
        self.deletions_since = NO_REVISION

    def missing(self, keys: set[str]) -> list[Item]:
        """Return deletions of all items except those with these keys."""
        return [Item(key, None, self.revision) for key in self.items.keys() - keys]

    def apply(self, found: Items) -> list[Item]:
        """Apply changes and return those that are new.

        States older than the known state of a key are ignored.
        """
        if self.revision == NO_REVISION:
            self.deletions_since = found.revision
        changed = [item for item in found.items if self.apply_item(item)]
        self.revision = max(self.revision, found.revision)
        while len(self.deleted) > KEPT_DELETIONS:
            _, oldest = self.deleted.popitem(last=False)
            self.deletions_since = max(self.deletions_since, oldest.revision)
        return changed

    def apply_item(self, item: Item) -> bool:
        """Apply one change; return whether it is new."""
        known = self.items.get(item.key) or self.deleted.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self.newest = max(self.newest, item.revision)
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
