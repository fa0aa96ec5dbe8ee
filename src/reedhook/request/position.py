"""Positions in a replication log and their order."""

from typing import Any, Final

from ..record import Record


class Position(Record):
    """Identify an entry of a group's log by its term and index.

    Positions compare by term first: the primary of a later term holds every
    acknowledged entry of all earlier terms, so a member whose last entry is
    of a later term covers them regardless of the indexes.

    :param term: the term of the primary that wrote the entry.
    :param index: the index of the entry in the log.
    """

    __slots__ = ("term", "index")

    def __init__(self, term: int, index: int) -> None:
        self.term = term
        self.index = index

    # All four comparisons are written out: they are on the path of every statement,
    # and those of functools.total_ordering are slower.

    def __lt__(self, other: "Position") -> bool:
        if self.term != other.term:
            return self.term < other.term
        return self.index < other.index

    def __le__(self, other: "Position") -> bool:
        if self.term != other.term:
            return self.term < other.term
        return self.index <= other.index

    def __gt__(self, other: "Position") -> bool:
        return other < self

    def __ge__(self, other: "Position") -> bool:
        return other <= self

    def covers(self, other: "Position") -> bool:
        """Return whether a member at this position holds the entry `other`."""
        return self >= other

    def to_json(self) -> list[int]:
        """Return the position in its wire format."""
        return [self.term, self.index]

    @classmethod
    def from_json(cls, value: Any) -> "Position":
        """Decode a position from its wire format."""
        term, index = value
        return cls(int(term), int(index))


ORIGIN: Final = Position(0, 0)
