"""Store records of primary leases and of the promotion coordinator."""

from typing import Final

from ...peer import HostRef
from ...record import Record
from ...version.route_table import TargetAnnouncement
from ...wire import Json, decode, encode, wraps_decode_errors
from ..discovery.announcements import SYSTEM_KEY_PREFIX
from ..discovery.key_value_store import Item
from ..discovery.store_revision import StoreRevision

LEASE_KEY_PREFIX: Final = f"{SYSTEM_KEY_PREFIX}lead/"
PROMOTION_COORDINATOR_KEY: Final = f"{SYSTEM_KEY_PREFIX}duty"

MAX_FORMER_HOLDERS: Final = 6
"""With more than this, the next holder waits until all their leases expire."""


class HostIncarnation(Record):
    """Identify one run of a host's process.

    :param incarnation: random ID generated when the process starts.
    """

    __slots__ = ("ref", "incarnation")

    def __init__(self, ref: HostRef, incarnation: str) -> None:
        self.ref = ref
        self.incarnation = incarnation

    def to_json(self) -> Json:
        """Return the stored form."""
        return {"ref": self.ref.to_json(), "life": self.incarnation}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "HostIncarnation":
        """Decode the stored form.

        :raises WireError: if it is malformed.
        """
        return cls(HostRef.from_json(message["ref"]), message["life"])


class PrimaryLeaseRecord(Record):
    """Name the host that may use the primary of a service.

    :param backup_holder: may use the primary, but not replace it, while the holder
        is lost and the store does not respond.
    :param former: earlier holders whose leases may still be valid.
    :param former_complete: whether `former` lists all such holders.
    :param primary: the current primary; empty if it was never known.
    :param term: term of the primary.
    :param primary_started_at_ms: start time of its process; see
        `TargetAnnouncement`. A process started later under the same ID holds no
        data and is not the primary.
    :param successor: the target chosen for promotion, or empty. The promotion may
        take effect at any time after this record is written.
    :param successor_started_at_ms: start time of the successor's process.
    :param revision: revision of the item in the store, with the epoch of the answer.
    :param epoch: epoch of the store in which the record was written.
    :param successor_inherited: whether the successor comes from a record of an earlier
        epoch, so that it may be outdated.
    :param other_ordered: whether another target was to be promoted before the
        successor. Its promotion may have taken effect unseen, so that the recorded
        primary may be superseded.
    """

    __slots__ = (
        "service",
        "holder",
        "backup_holder",
        "former",
        "former_complete",
        "primary",
        "term",
        "successor",
        "revision",
        "primary_started_at_ms",
        "successor_started_at_ms",
        "epoch",
        "successor_inherited",
        "other_ordered",
    )

    def __init__(
        self,
        service: str,
        holder: HostIncarnation,
        backup_holder: HostIncarnation | None,
        former: list[HostIncarnation],
        former_complete: bool,
        primary: str,
        term: int,
        successor: str,
        revision: StoreRevision,
        primary_started_at_ms: int = 0,
        successor_started_at_ms: int = 0,
        epoch: int = 0,
        successor_inherited: bool = False,
        other_ordered: bool = False,
    ) -> None:
        self.service = service
        self.holder = holder
        self.backup_holder = backup_holder
        self.former = former
        self.former_complete = former_complete
        self.primary = primary
        self.term = term
        self.successor = successor
        self.revision = revision
        self.primary_started_at_ms = primary_started_at_ms
        self.successor_started_at_ms = successor_started_at_ms
        self.epoch = epoch
        self.successor_inherited = successor_inherited
        self.other_ordered = other_ordered

    @property
    def successor_contested(self) -> bool:
        """Return whether a promotion of another target may have taken effect.

        The recorded primary is chosen as its own successor only after another target.
        """
        return self.other_ordered or self.successor == self.primary

    @property
    def order(self) -> StoreRevision:
        """Return the sort key of records: epoch written, then number."""
        return StoreRevision(self.epoch, self.revision.number)

    @property
    def confirmed(self) -> bool:
        """Return whether the record was written in the epoch in which it was read.

        An unconfirmed record comes from a copy that the store was restored from, or
        from a write that took effect after the restore. Later records may be lost, so
        that it permits nothing.
        """
        return self.epoch == self.revision.epoch

    def claimed_by(
        self, holder: HostIncarnation, no_former_holders: bool = False
    ) -> "PrimaryLeaseRecord":
        """Return the record that transfers the lease to `holder`.

        :param no_former_holders: whether the present holder states that no earlier
            holder can still use the primary.
        """
        former = [] if no_former_holders else list(self.former)
        former += (
            [self.holder]
            if self.backup_holder is None
            else [self.holder, self.backup_holder]
        )
        claimed = self.copy()
        claimed.holder = holder
        claimed.backup_holder = None
        claimed.former_complete = no_former_holders or self.former_complete
        claimed.set_former([one for one in former if not is_superseded(one, holder)])
        return claimed

    def in_epoch(self, revision: StoreRevision) -> "PrimaryLeaseRecord":
        """Return the record to be written in another epoch of the store.

        Claims between the last known record and the restore may be lost, so former
        holders are not completely known.

        :param revision: revision of the item that it replaces.
        """
        updated = self.copy()
        updated.epoch = revision.epoch
        updated.revision = revision
        updated.former_complete = False
        return updated

    def with_backup_holder(
        self, backup_holder: HostIncarnation | None
    ) -> "PrimaryLeaseRecord":
        """Return the record with another backup holder, or without one."""
        updated = self.copy()
        updated.backup_holder = backup_holder
        if self.backup_holder is not None:
            if backup_holder is None or not is_superseded(
                self.backup_holder, backup_holder
            ):
                updated.set_former([*self.former, self.backup_holder])
        return updated

    def with_former(self, former: list[HostIncarnation]) -> "PrimaryLeaseRecord":
        """Return the record with some of its former holders only."""
        updated = self.copy()
        updated.former = former
        return updated

    def without_former(self) -> "PrimaryLeaseRecord":
        """Return the record without former holders."""
        updated = self.copy()
        updated.former = []
        updated.former_complete = True
        return updated

    def with_primary(
        self, primary: TargetAnnouncement, term: int
    ) -> "PrimaryLeaseRecord":
        """Return the record with a new primary and without a successor."""
        updated = self.copy()
        updated.primary, updated.primary_started_at_ms, updated.term = (
            primary.target,
            primary.started_at_ms,
            term,
        )
        updated.successor, updated.successor_started_at_ms = "", 0
        updated.successor_inherited = updated.other_ordered = False
        return updated

    def with_inherited_successor(self) -> "PrimaryLeaseRecord":
        """Return the record with its successor, if any, marked as inherited."""
        updated = self.copy()
        updated.successor_inherited = bool(self.successor)
        return updated

    def with_adopted_successor(self) -> "PrimaryLeaseRecord":
        """Return the record with its successor as the holder's own decision.

        Records that a restore has lost may have named other successors.
        """
        updated = self.copy()
        updated.successor_inherited = False
        updated.other_ordered = True
        return updated

    def with_successor(self, successor: TargetAnnouncement) -> "PrimaryLeaseRecord":
        """Return the record with the target to be promoted."""
        updated = self.copy()
        updated.other_ordered = self.other_ordered or bool(self.successor)
        updated.successor = successor.target
        updated.successor_started_at_ms = successor.started_at_ms
        updated.successor_inherited = False
        return updated

    def with_primary_of(self, other: "PrimaryLeaseRecord") -> "PrimaryLeaseRecord":
        """Return the record with primary, term and successor of another one."""
        updated = self.copy()
        updated.primary, updated.primary_started_at_ms, updated.term = (
            other.primary,
            other.primary_started_at_ms,
            other.term,
        )
        updated.successor = other.successor
        updated.successor_started_at_ms = other.successor_started_at_ms
        updated.successor_inherited = other.successor_inherited
        updated.other_ordered = other.other_ordered
        return updated

    def has_primary_of(self, other: "PrimaryLeaseRecord") -> bool:
        """Return whether primary, term and successor are those of another record."""
        return self.with_primary_of(other) == self

    def set_former(self, former: list[HostIncarnation]) -> None:
        """Set the former holders, without duplicates; keep only the latest ones."""
        unique = list(dict.fromkeys(former))
        self.former_complete = (
            self.former_complete and len(unique) <= MAX_FORMER_HOLDERS
        )
        self.former = unique[-MAX_FORMER_HOLDERS:]

    def copy(self) -> "PrimaryLeaseRecord":
        """Return a shallow copy."""
        return PrimaryLeaseRecord(*self.values())

    def with_revision(self, revision: StoreRevision) -> "PrimaryLeaseRecord":
        """Return the record with its revision in the store."""
        updated = self.copy()
        updated.revision = revision
        return updated

    def to_json(self) -> Json:
        """Return the stored form."""
        message: Json = {
            "holder": self.holder.to_json(),
            "deputy": (
                None if self.backup_holder is None else self.backup_holder.to_json()
            ),
            "former": [one.to_json() for one in self.former],
            "complete": self.former_complete,
            "primary": self.primary,
            "term": self.term,
            "successor": self.successor,
            "born": self.primary_started_at_ms,
            "successor_born": self.successor_started_at_ms,
        }
        if self.epoch:
            message["epoch"] = self.epoch
        if self.successor_inherited:
            message["successor_inherited"] = True
        if self.other_ordered:
            message["other_ordered"] = True
        return message

    def encoded(self) -> bytes:
        """Return the encoded value for the store."""
        return encode(self.to_json())

    @classmethod
    @wraps_decode_errors
    def from_json(
        cls, service: str, message: Json, revision: StoreRevision
    ) -> "PrimaryLeaseRecord":
        """Decode the stored form.

        :raises WireError: if it is malformed.
        """
        backup_holder = message["deputy"]
        return cls(
            service,
            HostIncarnation.from_json(message["holder"]),
            None if backup_holder is None else HostIncarnation.from_json(backup_holder),
            [HostIncarnation.from_json(one) for one in message["former"]],
            bool(message["complete"]),
            message["primary"],
            int(message["term"]),
            message["successor"],
            revision,
            message.get("born", 0),
            message.get("successor_born", 0),
            int(message.get("epoch", 0)),
            message.get("successor_inherited") is True,
            message.get("other_ordered") is True,
        )

    @classmethod
    def from_item(cls, item: Item) -> "PrimaryLeaseRecord":
        """Decode an item of the store.

        :raises WireError: if it is malformed.
        """
        service = item.key[len(LEASE_KEY_PREFIX) :]
        return cls.from_json(service, decode(item.value or b""), item.revision)


def is_superseded(old: HostIncarnation, new: HostIncarnation) -> bool:
    """Return whether `new` is on the same host, so that `old` has ended."""
    return old.ref.host == new.ref.host


def lease_key(service: str) -> str:
    """Return the store key of the lease record of a service."""
    return LEASE_KEY_PREFIX + service
