"""Interface of a key-value store with conditional writes, leases and a change log."""

from abc import ABC, abstractmethod

from ...record import Record
from .store_epoch import ANSWER_SOURCE, StoreEpoch
from .store_revision import StoreRevision


class KeyValueStoreError(Exception):
    """A call to the store failed; base class of the errors below."""


class StoreUnansweredError(KeyValueStoreError):
    """No response; a write may have taken effect or may still do so."""


class EarlierEpochError(StoreUnansweredError):
    """The response is of an earlier epoch, so that what it states may be lost."""


class StoreRejectedError(KeyValueStoreError):
    """The store rejected the call; nothing was done."""


class RevisionConflictError(StoreRejectedError):
    """The revision of the key was not the expected one."""


class StoreLeaseExpiredError(StoreRejectedError):
    """The lease has expired or was revoked."""


class HistoryCompactedError(StoreRejectedError):
    """The requested changes are no longer in the history."""


class Item(Record):
    """Carry a key with its value; the value is None if the key was deleted.

    :param revision: revision of its last change, with the epoch of the response.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: bytes | None, revision: StoreRevision) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Items(Record):
    """Carry items as of a revision of the whole store.

    :param transfer_seconds: time between the first and the last byte received.
    """

    __slots__ = ("items", "revision", "transfer_seconds")

    def __init__(
        self,
        items: list[Item],
        revision: StoreRevision,
        transfer_seconds: float = 0.0,
    ) -> None:
        self.items = items
        self.revision = revision
        self.transfer_seconds = transfer_seconds


class KeyValueStore(ABC):
    """Read and write keys; timeouts are in seconds.

    A response in progress does not time out while data keeps arriving. All methods
    may raise `KeyValueStoreError`. A response of an epoch lower than the known one
    counts as no response: what it states may have been lost with a restore.

    :param epoch: learns the epoch of each response.
    """

    def __init__(self, epoch: StoreEpoch) -> None:
        self.epoch = epoch

    def receive_epoch(self, epoch: int) -> None:
        """Learn the epoch of a response.

        :raises EarlierEpochError: if a higher one is known.
        """
        self.epoch.learn(epoch, ANSWER_SOURCE)
        if epoch < self.epoch.current:
            raise EarlierEpochError(
                f"response of epoch {epoch}, not {self.epoch.current}"
            )

    def check_condition(self, key: str, expected: StoreRevision | None) -> None:
        """Reject the condition of a write if a restore has made it meaningless.

        :raises RevisionConflictError: if `expected` is of an earlier epoch; its number
            may have been assigned again, to another state of the key.
        """
        if expected is None or not expected.number:
            return
        if expected.epoch < self.epoch.current:
            raise RevisionConflictError(
                f"{key}: revision of epoch {expected.epoch}, not {self.epoch.current}"
            )

    @abstractmethod
    async def get(self, key: str, timeout: float) -> Item | None:
        """Return the current item, or None if there is none."""

    @abstractmethod
    async def list(self, prefix: str, timeout: float) -> Items:
        """Return all items whose keys begin with `prefix`."""

    @abstractmethod
    async def changes(
        self, prefix: str, after: StoreRevision, hold: float, margin: float
    ) -> Items:
        """Return the changes after revision `after`, waiting for one if necessary.

        :param hold: seconds for which the store waits for a change.
        :param margin: seconds after `hold` before a missing response is a failure.
        :raises HistoryCompactedError: if the changes are no longer kept, or `after` is
            of another epoch than the response.
        """

    @abstractmethod
    async def put(
        self,
        key: str,
        value: bytes,
        expected: StoreRevision | None,
        timeout: float,
        lease: int = 0,
    ) -> StoreRevision:
        """Write a key if its revision is `expected`; return the new revision.

        The store compares the number alone, so a revision of an earlier epoch than
        the known one is not sent.

        :param expected: `NO_REVISION` if the key must not exist, None for an
            unconditional write.
        :param lease: ID of the lease that the key is attached to, or 0.
        :raises RevisionConflictError: if the revision differs; nothing was done.
        """

    @abstractmethod
    async def grant_lease(self, seconds: float, timeout: float) -> int:
        """Create a lease that expires unless it is renewed; return its ID."""

    @abstractmethod
    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease.

        :raises StoreLeaseExpiredError: if it has expired.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int, timeout: float) -> None:
        """Revoke a lease and delete its keys."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
