"""Revision of the store, ordered across restores."""

from typing import Any, Final

from ...record import Record
from ...wire import WireError


class StoreRevision(Record):
    """Order a revision number by the epoch in which the store assigned it.

    A store restored from an older copy assigns numbers again, so a number alone does
    not tell which of two states is newer.

    :param epoch: number of restores before; 0 for a store that states none.
    :param number: the store's own revision number.
    """

    __slots__ = ("epoch", "number")

    def __init__(self, epoch: int, number: int) -> None:
        self.epoch = epoch
        self.number = number

    def __lt__(self, other: "StoreRevision") -> bool:
        return (self.epoch, self.number) < (other.epoch, other.number)

    def __le__(self, other: "StoreRevision") -> bool:
        return (self.epoch, self.number) <= (other.epoch, other.number)

    def __gt__(self, other: "StoreRevision") -> bool:
        return (self.epoch, self.number) > (other.epoch, other.number)

    def __ge__(self, other: "StoreRevision") -> bool:
        return (self.epoch, self.number) >= (other.epoch, other.number)

    def to_json(self) -> int | list[int]:
        """Return the form sent to other hosts, an integer while the epoch is 0."""
        return [self.epoch, self.number] if self.epoch else self.number

    @classmethod
    def from_json(cls, message: Any) -> "StoreRevision":
        """Decode the form sent by other hosts.

        :raises WireError: if it is malformed.
        """
        parts = [0, message] if is_count(message) else message
        if not isinstance(parts, list) or len(parts) != 2:
            raise WireError("a revision must be an integer or [epoch, number]")
        if not all(map(is_count, parts)):
            raise WireError("epoch and number must be non-negative integers")
        return cls(parts[0], parts[1])


def is_count(value: Any) -> bool:
    """Return whether a value is a non-negative integer and not a boolean."""
    return type(value) is int and value >= 0


NO_REVISION: Final = StoreRevision(0, 0)
"""Lower than any revision of an item; as a condition, the key must not exist."""
