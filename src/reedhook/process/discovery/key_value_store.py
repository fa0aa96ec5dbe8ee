"""Interface of a store with conditions, leases and a history of changes."""

from abc import ABC, abstractmethod

from ...record import Record


class KeyValueStoreError(Exception):
    """Say that the store gave no usable answer; base of the errors below."""


class StoreUnansweredError(KeyValueStoreError):
    """Say that no answer came; a change may take effect, also later."""


class StoreRejectedError(KeyValueStoreError):
    """Say that the store was asked and has done nothing."""


class RevisionConflictError(StoreRejectedError):
    """Say that the key's revision was not the expected one."""


class StoreLeaseExpiredError(StoreRejectedError):
    """Say that there is no such lease any more."""


class HistoryCompactedError(StoreRejectedError):
    """Say that the changes asked for are no longer kept."""


class Item(Record):
    """Carry a key with its value; a value of None says that it was deleted.

    :param revision: of its last change.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Items(Record):
    """Carry items as they stood at a revision of the whole store.

    :param transfer_seconds: seconds from their first byte to the last.
    """

    __slots__ = ("items", "revision", "transfer_seconds")

    def __init__(
        self, items: list[Item], revision: int, transfer_seconds: float = 0.0
    ) -> None:
        self.items = items
        self.revision = revision
        self.transfer_seconds = transfer_seconds


class KeyValueStore(ABC):
    """Read and change keys; timeouts are in seconds.

    An answer that arrives bit by bit is waited for as long as it goes on. All
    methods raise `KeyspaceError`.
    """

    @abstractmethod
    async def get(self, key: str, timeout: float) -> Item | None:
        """Return the item as it is now, or None."""

    @abstractmethod
    async def list(self, prefix: str, timeout: float) -> Items:
        """Return all items whose keys begin so, oldest state of `at`."""

    @abstractmethod
    async def changes(
        self, prefix: str, after: int, hold: float, margin: float
    ) -> Items:
        """Return the changes after a revision, at the latest after `hold`.

        :param hold: seconds for which the store is to wait for a change.
        :param margin: seconds beyond them after which its silence is a failure.
        :raises HistoryGone: if they are no longer kept.
        """

    @abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        expected: int | None,
        timeout: float,
        lease: int = 0,
    ) -> int:
        """Write if the key's revision is `expected`; return the new one.

        :param expected: 0 for a key that must not exist, None for any state.
        :raises Conflict: if the revision differs; nothing was done.
        """

    @abstractmethod
    async def grant_lease(self, seconds: float, timeout: float) -> int:
        """Return a new lease that ends unless it is kept."""

    @abstractmethod
    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease.

        :raises LeaseEnded: if it has ended.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int, timeout: float) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
