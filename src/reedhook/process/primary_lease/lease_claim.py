"""A host's claim on the lease record of a service."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ..discovery.key_value_store import (
    Item,
    KeyValueStore,
    KeyValueStoreError,
    RevisionConflictError,
    StoreUnansweredError,
)
from ..discovery.store_revision import StoreRevision
from .lease_record import HostIncarnation, PrimaryLeaseRecord, lease_key
from .lease_registry import PrimaryLeaseRegistry
from .lease_validity import LeaseValidity

STORE_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of one call to the store."""

MAX_WRITE_ATTEMPTS: Final = 3
"""Attempts of one write until the next check."""


class WriteOutcome(Enum):
    """Name the outcome of a write of the lease record."""

    STORED = "stored"
    NOT_STORED = "not stored"
    """It is not stored and will not be."""

    UNDECIDED = "undecided"
    """The store still holds the record before; the write may take effect later."""

    UNKNOWN = "unknown"
    """The store does not respond; it may be stored, or take effect later."""


class LeaseClaim(ABC):
    """Keep the lease record that names this host, and how long it is valid.

    :param record: the record as stored.
    :param requested_at: `Clock.boottime` when the call that read or wrote it was sent.
    :ivar saved: whether `record` is written to the store.
    :ivar pending: the record of a write whose outcome is unknown, or None. Either
        record may be stored, so that this host does only what both of them permit.
    :ivar unanswered: whether an attempt of the pending write got no response.
    :ivar replaced: whether a late write of an earlier epoch has replaced the record.
    """

    def __init__(
        self,
        record: PrimaryLeaseRecord,
        requested_at: float,
        me: HostIncarnation,
        keyspace: KeyValueStore,
        registry: PrimaryLeaseRegistry,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.record = record
        self.service = record.service
        self.me = me
        self.keyspace = keyspace
        self.registry = registry
        self.clock = clock
        self.decisions = decisions
        self.validity = LeaseValidity(clock)
        self.validity.extend(requested_at)
        self.saved = True
        self.replaced = False
        self.pending: PrimaryLeaseRecord | None = None
        self.unanswered = False

    @property
    def successor_pending(self) -> bool:
        """Return whether it is unknown which successor the stored record names."""
        if self.pending is None:
            return False
        return bool(self.record.successor or self.pending.successor)

    @property
    def current(self) -> bool:
        """Return whether the store holds the record, written in its present epoch."""
        return self.record.epoch >= self.keyspace.epoch.current and not self.replaced

    @abstractmethod
    def is_named(self, record: PrimaryLeaseRecord) -> bool:
        """Return whether a record names this host in its role."""

    async def refresh(self) -> bool:
        """Read the record and extend the lease from the time of the request.

        An unconfirmed or missing record extends nothing.

        :returns: whether the store responded.
        """
        requested_at = self.clock.boottime()
        try:
            item = await self.keyspace.get(
                lease_key(self.service), STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            left = round(self.validity.expires_at - requested_at, 2)
            self.decisions.record(
                "lease_unconfirmed", service=self.service, left=left, error=str(error)
            )
            return False
        if item is None:
            # The store never deletes the record, but a restore may lose it.
            self.replaced = self.keyspace.epoch.current > 0
            self.decisions.record("lease_record_missing", service=self.service)
            return True
        self.handle_item(item, requested_at)
        return True

    def handle_item(self, item: Item, requested_at: float) -> None:
        """Process an item read from the store."""
        record = PrimaryLeaseRecord.from_item(item)
        if not record.confirmed and record.revision > self.record.revision:
            self.replaced = True
        if record.confirmed and self.is_named(record):
            self.validity.extend(requested_at)
            if record.order > self.record.order:
                self.record = record
        self.registry.update(record, "look")

    async def write(self, record: PrimaryLeaseRecord) -> bool:
        """Write a record to the store; return whether it is stored.

        If a write before this one is still pending, only its outcome is determined:
        the record was made without knowing which record is stored.
        """
        if self.pending is not None:
            await self.settle()
            return False
        self.pending, self.unanswered = record, False
        return await self.write_pending() is WriteOutcome.STORED

    async def settle(self) -> bool:
        """Determine the outcome of the pending write; return whether it is known."""
        if self.pending is not None:
            await self.write_pending()
        return self.pending is None

    async def write_pending(self) -> WriteOutcome:
        """Write the pending record, repeatedly while the store holds the one before.

        All attempts have the same condition, so that at most one takes effect.
        """
        outcome = WriteOutcome.UNKNOWN
        for _ in range(MAX_WRITE_ATTEMPTS):
            if self.pending is None:
                break
            outcome = await self.attempt_write(self.pending)
            if outcome is not WriteOutcome.UNDECIDED:
                break
        if outcome in (WriteOutcome.STORED, WriteOutcome.NOT_STORED):
            self.pending = None
        return outcome

    async def attempt_write(self, record: PrimaryLeaseRecord) -> WriteOutcome:
        """Write a record once.

        A rejected attempt leaves open whether an earlier, unanswered one is stored.
        """
        key, value = lease_key(self.service), record.encoded()
        requested_at = self.clock.boottime()
        try:
            revision = await self.keyspace.put(
                key, value, record.revision, STORE_TIMEOUT_SECONDS
            )
        except RevisionConflictError:
            return await self.read_back(record)
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_not_written",
                service=self.service,
                revision=record.revision.to_json(),
                successor=record.successor,
                error=str(error),
            )
            if isinstance(error, StoreUnansweredError):
                self.unanswered = True
            if not self.unanswered:
                return WriteOutcome.NOT_STORED
            return await self.read_back(record)
        stored = record.with_revision(revision)
        if not stored.confirmed:
            # The store was restored before it took the write.
            self.decisions.record(
                "lease_write_unconfirmed",
                service=self.service,
                revision=revision.to_json(),
            )
            return WriteOutcome.NOT_STORED
        self.validity.extend(requested_at)
        self.set_stored(stored)
        return WriteOutcome.STORED

    async def read_back(self, record: PrimaryLeaseRecord) -> WriteOutcome:
        """Read the stored record to determine the outcome of a write."""
        try:
            item = await self.keyspace.get(
                lease_key(self.service), STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_write_unknown", service=self.service, error=str(error)
            )
            return WriteOutcome.UNKNOWN
        stored = None if item is None else PrimaryLeaseRecord.from_item(item)
        if stored is not None:
            self.decisions.record(
                "lease_read_back",
                service=self.service,
                holder=stored.holder.ref.host,
                successor=stored.successor,
                revision=stored.revision.to_json(),
                written=stored.encoded() == record.encoded(),
            )
        if self.keyspace.epoch.current > record.epoch:
            # The write has no effect in the present epoch; see `handle_epoch`.
            return WriteOutcome.NOT_STORED
        if stored is None:
            return WriteOutcome.UNDECIDED
        if stored.encoded() == record.encoded():
            # Written by this host: the record names it and what it has decided.
            self.set_stored(stored)
            return WriteOutcome.STORED
        if stored.revision.number == record.revision.number:
            return WriteOutcome.UNDECIDED
        self.handle_replaced(stored)
        return WriteOutcome.NOT_STORED

    def handle_epoch(self) -> bool:
        """Keep the pending record when the store has been restored.

        Another host may have read it before the restore, and may have acted by it or by
        the one that it replaces.

        :returns: whether it is therefore unknown which target is the primary.
        """
        record, unproven = self.pending, self.successor_pending
        if record is not None:
            self.record = record.with_inherited_successor()
            self.pending = None
        return unproven

    def handle_replaced(self, stored: PrimaryLeaseRecord) -> None:
        """Process the record that has replaced the one known here."""
        self.registry.update(stored, "look")
        if stored.confirmed and self.is_named(stored):
            # Keep the holders that it names, since they may have read it.
            self.record = stored if self.saved else stored.with_primary_of(self.record)

    def set_unsaved(self, record: PrimaryLeaseRecord) -> None:
        """Use a record that is still to be written to the store."""
        self.record = record
        self.saved = False

    def set_stored(self, record: PrimaryLeaseRecord) -> None:
        """Use a record that is stored; keep a newer primary that is still to be."""
        if not self.saved and not record.has_primary_of(self.record):
            self.record = record.with_primary_of(self.record)
        else:
            self.record = record
            self.saved = True
        self.replaced = False
        self.registry.update(record, "own")


class HolderClaim(LeaseClaim):
    """Claim the lease as its holder."""

    def is_named(self, record: PrimaryLeaseRecord) -> bool:
        return record.holder == self.me

    async def write_again(self) -> bool:
        """Write the record in the present epoch; return whether it is stored.

        Only for a lease that was valid when this host learned of the epoch: no other
        host can then have ordered a promotion before the restore. If another host has
        claimed the lease since, its record is confirmed and stays.
        """
        try:
            item = await self.keyspace.get(
                lease_key(self.service), STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_not_written", service=self.service, error=str(error)
            )
            return False
        if item is not None:
            stored = PrimaryLeaseRecord.from_item(item)
            if stored.confirmed and not self.is_named(stored):
                self.registry.update(stored, "look")
                return False
        epoch = self.keyspace.epoch.current
        revision = StoreRevision(epoch, 0) if item is None else item.revision
        if not await self.write(self.record.in_epoch(revision)):
            return False
        self.decisions.record(
            "lease_written_again",
            service=self.service,
            revision=self.record.revision.to_json(),
        )
        return True


class BackupHolderClaim(LeaseClaim):
    """Claim the use of the primary as the backup holder."""

    def is_named(self, record: PrimaryLeaseRecord) -> bool:
        return record.backup_holder == self.me
