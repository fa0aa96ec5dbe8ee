"""A host's claim on the lease record of a service."""

from abc import ABC, abstractmethod
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ..discovery.key_value_store import (
    Item,
    KeyValueStore,
    KeyValueStoreError,
    RevisionConflictError,
)
from ..discovery.store_revision import StoreRevision
from .lease_record import HostIncarnation, PrimaryLeaseRecord, lease_key
from .lease_registry import PrimaryLeaseRegistry
from .lease_validity import LeaseValidity

STORE_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of one call to the store."""


class LeaseClaim(ABC):
    """Keep the lease record that names this host, and how long it is valid.

    :param record: the record as stored.
    :param requested_at: `Clock.boottime` when the call that read or wrote it was sent.
    :ivar saved: whether `record` is written to the store.
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

        If the response is lost, the record is read back. No two records of this
        host are equal, so an equal value proves that the write succeeded.
        """
        key, value = lease_key(self.service), record.encoded()
        requested_at = self.clock.boottime()
        try:
            revision = await self.keyspace.put(
                key, value, record.revision, STORE_TIMEOUT_SECONDS
            )
        except RevisionConflictError:
            return await self.resolve(value)
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_not_written",
                service=self.service,
                revision=record.revision.to_json(),
                successor=record.successor,
                error=str(error),
            )
            return await self.resolve(value)
        record = record.with_revision(revision)
        if not record.confirmed:
            # The store was restored before it took the write.
            self.decisions.record(
                "lease_write_unconfirmed",
                service=self.service,
                revision=revision.to_json(),
            )
            return False
        self.validity.extend(requested_at)
        self.set_stored(record)
        return True

    async def resolve(self, value: bytes) -> bool:
        """Read the record back to determine whether a write took effect."""
        try:
            item = await self.keyspace.get(
                lease_key(self.service), STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_write_unknown", service=self.service, error=str(error)
            )
            return False
        if item is None:
            return False
        stored = PrimaryLeaseRecord.from_item(item)
        self.decisions.record(
            "lease_read_back",
            service=self.service,
            holder=stored.holder.ref.host,
            successor=stored.successor,
            revision=stored.revision.to_json(),
            written=item.value == value,
        )
        if not stored.confirmed or not self.is_named(stored):
            self.registry.update(stored, "look")
            return False
        if item.value == value:
            self.set_stored(stored)
            return True
        # An earlier write of this host took effect late. Keep the holders it names,
        # since they may have read it. Keep the primary known here: it is newer,
        # because no promotion is ordered after an unacknowledged write.
        self.record = stored.with_primary_of(self.record)
        return False

    def set_unsaved(self, record: PrimaryLeaseRecord) -> None:
        """Use a record that is still to be written to the store."""
        self.record = record
        self.saved = False

    def set_stored(self, record: PrimaryLeaseRecord) -> None:
        """Use a record that is stored."""
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
