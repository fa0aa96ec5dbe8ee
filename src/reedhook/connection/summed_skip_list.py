"""A sorted collection that sums the durations of its entries up to a key."""

from collections.abc import Iterator
from random import Random
from typing import Final, Generic, TypeAlias, TypeVar

T = TypeVar("T")
SortKey: TypeAlias = tuple[float, ...]

MAX_LEVELS: Final = 8
"""Enough for 4 ** 8 = 65,536 entries at a quarter of the nodes in each next level."""

PROMOTION_SHARE: Final = 0.25


class SkipNode(Generic[T]):
    """Link an entry to the next entries of its levels.

    :ivar following: the next node, by level.
    :ivar counts: entries from this node up to the next one of the level, without this
        one and including the next.
    :ivar seconds: the sum of their durations.
    """

    __slots__ = ("key", "item", "following", "counts", "seconds")

    def __init__(self, key: SortKey, item: T | None, levels: int) -> None:
        self.key = key
        self.item = item
        self.following: list[SkipNode[T] | None] = [None] * levels
        self.counts = [0] * levels
        self.seconds = [0.0] * levels


class SummedSkipList(Generic[T]):
    """Keep entries in order of their unique keys.

    Insertion, removal and `sum_up_to` take an expected O(log n) steps.

    :ivar steps: nodes visited so far, as a measure of the work done.
    :ivar total_seconds: sum of all durations.
    """

    __slots__ = ("random", "head", "count", "total_seconds", "steps")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.head: SkipNode[T] = SkipNode((), None, 1)
        self.count = 0
        self.total_seconds = 0.0
        self.steps = 0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[T]:
        node = self.head.following[0]
        while node is not None:
            assert node.item is not None
            yield node.item
            node = node.following[0]

    def first(self) -> T | None:
        """Return the entry with the lowest key, or None."""
        node = self.head.following[0]
        return None if node is None else node.item

    def first_key(self) -> SortKey:
        """Return the lowest key of a list that is not empty."""
        node = self.head.following[0]
        assert node is not None
        return node.key

    def sum_up_to(self, key: SortKey) -> tuple[int, float]:
        """Return the number of entries with a key up to `key`, and their seconds."""
        node, count, seconds = self.head, 0, 0.0
        for level in range(len(node.following) - 1, -1, -1):
            following = node.following[level]
            while following is not None and following.key <= key:
                self.steps += 1
                count += node.counts[level]
                seconds += node.seconds[level]
                node = following
                following = node.following[level]
        return count, seconds

    def add(self, key: SortKey, seconds: float, item: T) -> None:
        """Insert an entry."""
        levels = self.random_levels()
        self.grow(levels)
        path = self.path_before(key)
        node = SkipNode(key, item, levels)
        before_count, before_seconds = 0, 0.0
        for level, previous in enumerate(path):
            if level:
                below = path[level - 1]
                walked = self.walk(previous, below, level - 1)
                before_count += walked[0]
                before_seconds += walked[1]
            if level >= levels:
                previous.counts[level] += 1
                previous.seconds[level] += seconds
                continue
            node.following[level] = previous.following[level]
            node.counts[level] = previous.counts[level] - before_count
            node.seconds[level] = previous.seconds[level] - before_seconds
            previous.following[level] = node
            previous.counts[level] = before_count + 1
            previous.seconds[level] = before_seconds + seconds
        self.count += 1
        self.total_seconds += seconds

    def remove(self, key: SortKey, seconds: float) -> None:
        """Remove the entry of a key.

        :raises KeyError: if there is none.
        """
        path = self.path_before(key)
        node = path[0].following[0]
        if node is None or node.key != key:
            raise KeyError(key)
        for level, previous in enumerate(path):
            if previous.following[level] is node:
                previous.following[level] = node.following[level]
                previous.counts[level] += node.counts[level] - 1
                previous.seconds[level] += node.seconds[level] - seconds
            else:
                previous.counts[level] -= 1
                previous.seconds[level] -= seconds
        self.count -= 1
        self.total_seconds -= seconds
        if not self.count:
            # Removes the rounding errors of the sums.
            self.total_seconds = 0.0
            self.head = SkipNode((), None, 1)

    def path_before(self, key: SortKey) -> list[SkipNode[T]]:
        """Return the last node before a key, by level."""
        node = self.head
        path = [node] * len(node.following)
        for level in range(len(path) - 1, -1, -1):
            following = node.following[level]
            while following is not None and following.key < key:
                self.steps += 1
                node = following
                following = node.following[level]
            path[level] = node
        return path

    def walk(
        self, start: SkipNode[T], end: SkipNode[T], level: int
    ) -> tuple[int, float]:
        """Return the count and the seconds from one node to another on a level."""
        count, seconds = 0, 0.0
        node = start
        while node is not end:
            self.steps += 1
            count += node.counts[level]
            seconds += node.seconds[level]
            following = node.following[level]
            assert following is not None
            node = following
        return count, seconds

    def grow(self, levels: int) -> None:
        """Add levels to the head."""
        while len(self.head.following) < levels:
            self.head.following.append(None)
            self.head.counts.append(self.count)
            self.head.seconds.append(self.total_seconds)

    def random_levels(self) -> int:
        """Return the number of levels of a new node."""
        levels = 1
        while levels < MAX_LEVELS and self.random.random() < PROMOTION_SHARE:
            levels += 1
        return levels
