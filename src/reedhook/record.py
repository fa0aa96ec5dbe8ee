"""Base class of plain data classes with slots."""

from typing import Any


class Record:
    """Compare and print a plain class by its slots."""

    __slots__: tuple[str, ...] = ()

    def values(self) -> tuple[Any, ...]:
        """Return the values of all slots in order of declaration."""
        return tuple(getattr(self, name) for name in self.__slots__)

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self.values() == other.values()

    def __hash__(self) -> int:
        return hash(self.values())

    def __repr__(self) -> str:
        pairs = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({pairs})"
