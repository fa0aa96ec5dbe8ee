"""Log positions and the one rule by which they compare."""

from functools import total_ordering
from typing import Any, Final

from ..record import Record


@total_ordering
class Position(Record):
    """Name an entry of a group's log by its term and index.

    Positions compare by term first: the primary of a later term holds every
    acknowledged entry of all earlier terms, so a member whose last entry is
    of a later term covers them whatever the indexes say.

    :param term: the term of the primary that wrote the entry.
    :param index: the place of the entry in the log.
    """

    __slots__ = ("term", "index")

    def __init__(self, term: int, index: int) -> None:
        self.term = term
        self.index = index

    def __lt__(self, other: "Position") -> bool:
        return (self.term, self.index) < (other.term, other.index)

    def covers(self, other: "Position") -> bool:
        """Say whether a member at this position holds what `other` names."""
        return self >= other

    def to_json(self) -> list[int]:
        """Return the position as it stands on the wire."""
        return [self.term, self.index]

    @classmethod
    def from_json(cls, value: Any) -> "Position":
        """Read a position from the wire."""
        term, index = value
        return cls(int(term), int(index))


ORIGIN: Final = Position(0, 0)
