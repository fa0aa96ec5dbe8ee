"""A host's place in the record of a service, read from the store and changed."""

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
from .lease_record import HostIncarnation, PrimaryLeaseRecord, lease_key
from .lease_registry import PrimaryLeaseRegistry
from .lease_validity import LeaseValidity

STORE_TIMEOUT_SECONDS: Final = 0.5
"""Seconds for an answer of the store: 4 ms, or 240 ms when it is slow."""


class LeaseClaim(ABC):
    """Keep the record that names this host, and the permission it gives.

    :param record: as it stands in the store.
    :param requested_at: when the question that found it was sent, by `Clock.elapsed`.
    :ivar saved: whether `record` stands in the store.
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

    @abstractmethod
    def is_named(self, record: PrimaryLeaseRecord) -> bool:
        """Say whether a record gives this host its place."""

    async def refresh(self) -> bool:
        """Look into the store; the permission counts from when that was asked.

        :returns: whether the store has answered.
        """
        asked = self.clock.boottime()
        try:
            item = await self.keyspace.get(
                lease_key(self.service), STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            left = round(self.validity.expires_at - asked, 2)
            self.decisions.record(
                "tenure_unconfirmed", service=self.service, left=left, error=str(error)
            )
            return False
        if item is None:
            # The store forgets nothing that it has acknowledged.
            self.decisions.record("lead_record_missing", service=self.service)
            return True
        self.found(item, asked)
        return True

    def found(self, item: Item, requested_at: float) -> None:
        """Take note of the record as the store has it."""
        record = PrimaryLeaseRecord.from_item(item)
        if self.is_named(record):
            self.validity.extend(requested_at)
            if record.revision > self.record.revision:
                self.record = record
        self.registry.update(record, "look")

    async def write(self, record: PrimaryLeaseRecord) -> bool:
        """Put a record into the store; return whether it stands there.

        A lost answer is resolved by a look: no two of our records are equal.
        """
        key, value = lease_key(self.service), record.encoded()
        asked = self.clock.boottime()
        try:
            revision = await self.keyspace.put(
                key, value, record.revision, STORE_TIMEOUT_SECONDS
            )
        except RevisionConflictError:
            return await self.resolve(value)
        except KeyValueStoreError as error:
            self.decisions.record(
                "lead_not_written", service=self.service, error=str(error)
            )
            return await self.resolve(value)
        self.validity.extend(asked)
        self.written(record.with_revision(revision))
        return True

    async def resolve(self, value: bytes) -> bool:
        """Find out whether a record was written after all."""
        try:
            item = await self.keyspace.get(
                lease_key(self.service), STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record(
                "lead_write_unknown", service=self.service, error=str(error)
            )
            return False
        if item is None:
            return False
        found = PrimaryLeaseRecord.from_item(item)
        if not self.is_named(found):
            self.registry.update(found, "look")
            return False
        if item.value == value:
            self.written(found)
            return True
        # An earlier write of this host took effect late. Whoever it named may
        # have seen it and counts as named; what this host knows of the primary
        # is newer, since no order follows a write that was not answered.
        self.record = found.with_primary_of(self.record)
        return False

    def unsaved(self, record: PrimaryLeaseRecord) -> None:
        """Go on from a record that is yet to be written down."""
        self.record = record
        self.saved = False

    def written(self, record: PrimaryLeaseRecord) -> None:
        """Go on from a record that stands in the store."""
        self.record = record
        self.saved = True
        self.registry.update(record, "own")


class HolderClaim(LeaseClaim):
    """Hold the lead."""

    def is_named(self, record: PrimaryLeaseRecord) -> bool:
        return record.holder == self.me


class BackupHolderClaim(LeaseClaim):
    """Stand in for the holder."""

    def is_named(self, record: PrimaryLeaseRecord) -> bool:
        return record.backup_holder == self.me
