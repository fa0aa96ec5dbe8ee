"""The store's items as one host knows them, for those that learn from it."""

from collections import OrderedDict
from typing import Final

from .key_value_store import HistoryCompactedError, Item, Items

KEPT_DELETIONS: Final = 4096
"""Deletions that are kept; all hosts of the largest deployment may leave and come
back a few times, each with one entry, before those that follow have asked again."""


class StoreMirror:
    """Keep items as they stand, and which keys were deleted.

    Who asks for what is new since a revision gets the present state of each key
    that has changed, so that nothing that is superseded is handed on.

    :ivar revision: the revision up to which everything is known; 0 for nothing.
    :ivar newest: the highest revision of any item or deletion.
    :ivar deletions_since: the revision from which on all deletions are known.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.deleted: OrderedDict[str, Item] = OrderedDict()
        self.revision = 0
        self.newest = 0
        self.deletions_since = 0

    def missing(self, keys: set[str]) -> list[Item]:
        """Return deletions of all items but those with these keys."""
        return [Item(key, None, self.revision) for key in self.items.keys() - keys]

    def apply(self, found: Items) -> list[Item]:
        """Take changes over and return those that are news.

        An older state of a key changes nothing.
        """
        if not self.revision:
            self.deletions_since = found.revision
        news = [item for item in found.items if self.apply_item(item)]
        self.revision = max(self.revision, found.revision)
        while len(self.deleted) > KEPT_DELETIONS:
            _, oldest = self.deleted.popitem(last=False)
            self.deletions_since = max(self.deletions_since, oldest.revision)
        return news

    def apply_item(self, item: Item) -> bool:
        """Take one change over; return whether it is news."""
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

    def changed_after(self, after: int) -> bool:
        """Return whether anything has changed after a revision."""
        return self.newest > after

    def changes(self, after: int) -> list[Item]:
        """Return what has changed after a revision.

        :raises HistoryGone: if deletions since then may be unknown.
        """
        if after < self.deletions_since:
            raise HistoryCompactedError(f"deletions after {after} are not known")
        return self.written(after) + [
            item for item in self.deleted.values() if item.revision > after
        ]

    def written(self, after: int) -> list[Item]:
        """Return the items that were written after a revision."""
        return [item for item in self.items.values() if item.revision > after]
