"""Interface to the platform's key-value store."""

from abc import ABC, abstractmethod

from ...record import Record


class StoreError(Exception):
    """Signal a failed store operation; base class of the errors below."""


class StoreUnavailableError(StoreError):
    """Signal that there was no valid response; a write may have taken effect."""


class StoreConflictError(StoreError):
    """Signal that the key has another revision than expected; nothing changed."""


class StoreEntry(Record):
    """Hold a key and its value with its revision.

    :param revision: the revision of the key; 0 for an absent key.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Store(ABC):
    """Read and write keys; timeouts are in seconds."""

    @abstractmethod
    async def get(self, key: str, timeout: float) -> StoreEntry | None:
        """Return the entry of `key`, or None if it is absent.

        :raises StoreUnavailableError: if there is no valid response.
        """

    @abstractmethod
    async def put(
        self, key: str, value: bytes, expected: int, timeout: float
    ) -> StoreEntry:
        """Replace the value if the key's revision is `expected`; 0 creates the key.

        :raises StoreConflictError: if the revision differs; nothing changed.
        :raises StoreUnavailableError: if there is no valid response; the write may have
            taken effect.
        """

    @abstractmethod
    async def watch(self, key: str, revision: int, hold: float) -> StoreEntry | None:
        """Wait for an entry whose revision exceeds `revision`.

        :returns: the entry, or None if there was none for `hold` seconds.
        :raises StoreUnavailableError: if the watch failed.
        """

    @abstractmethod
    async def delete(self, key: str, expected: int, timeout: float) -> None:
        """Delete the key if its revision is `expected`; raise as `put`."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
