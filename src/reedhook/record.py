"""Base class of plain data classes with slots."""

from collections.abc import Callable
from operator import attrgetter
from typing import Any


class Record:
    """Compare and print a plain class by its slots."""

    __slots__: tuple[str, ...] = ()

    read_slots: Callable[["Record"], tuple[Any, ...]]

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        cls.read_slots = slot_reader(cls.__slots__)

    def values(self) -> tuple[Any, ...]:
        """Return the values of all slots in order of declaration."""
        return type(self).read_slots(self)

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self.values() == other.values()

    def __hash__(self) -> int:
        return hash(self.values())

    def __repr__(self) -> str:
        pairs = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({pairs})"


def slot_reader(slots: tuple[str, ...]) -> Callable[[Record], tuple[Any, ...]]:
    """Return a function that reads the values of `slots`.

    Hosts compare records for each message of the membership, and `attrgetter` is
    several times faster than a loop.
    """
    if len(slots) > 1:
        return attrgetter(*slots)

    def read_slots(record: Record) -> tuple[Any, ...]:
        """Return the values of all slots in order of declaration."""
        return tuple(getattr(record, name) for name in slots)

    return read_slots
