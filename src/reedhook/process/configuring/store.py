"""Interface of the platform's key-value service."""

from abc import ABC, abstractmethod

from ...record import Record


class StoreError(Exception):
    """Say that the store gave no usable answer; base of the errors below."""


class StoreUnavailableError(StoreError):
    """Say that the store gave no answer; a write may have taken effect."""


class StoreConflictError(StoreError):
    """Say that the key's revision was not the expected one; nothing changed."""


class StoreEntry(Record):
    """Carry a value with its revision.

    :param revision: the revision of the key; 0 stands for an absent key.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Store(ABC):
    """Read and change keys; timeouts are in seconds."""

    @abstractmethod
    async def get(self, key: str, timeout: float) -> StoreEntry | None:
        """Return the entry of `key`, or None if there is none.

        :raises StoreUnavailable: if no answer came.
        """

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: int, timeout: float
    ) -> StoreEntry:
        """Replace the value if the key's revision is `expected`; 0 creates.

        :raises StoreConflict: if the revision differs; nothing changed.
        :raises StoreUnavailable: if no answer came; it may have taken effect.
        """

    @abstractmethod
    async def watch(self, key: str, revision: int, hold: float) -> StoreEntry | None:
        """Return the entry once its revision exceeds `revision`.

        :returns: None if nothing changed for `hold` seconds.
        :raises StoreUnavailable: if the watch was lost.
        """

    @abstractmethod
    async def delete(self, key: str, expected: int, timeout: float) -> None:
        """Delete the key if its revision is `expected`; raises as `put`."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
