"""What the store holds on the lead of a service, and on the promotion duty."""

from typing import Final

from ...peer import HostRef
from ...record import Record
from ...version.route_table import TargetAnnouncement
from ...wire import Json, decode, encode, wraps_decode_errors
from ..discovery.announcements import SYSTEM_KEY_PREFIX
from ..discovery.key_value_store import Item

LEASE_KEY_PREFIX: Final = f"{SYSTEM_KEY_PREFIX}lead/"
PROMOTION_COORDINATOR_KEY: Final = f"{SYSTEM_KEY_PREFIX}duty"

MAX_FORMER_HOLDERS: Final = 6
"""Former holders that are named; with more the successor waits them all out."""


class HostIncarnation(Record):
    """Name one life of the process of a host.

    :param incarnation: chosen at random at the start of the process.
    """

    __slots__ = ("ref", "incarnation")

    def __init__(self, ref: HostRef, incarnation: str) -> None:
        self.ref = ref
        self.incarnation = incarnation

    def to_json(self) -> Json:
        """Return the holder as it stands in the store."""
        return {"ref": self.ref.to_json(), "life": self.incarnation}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "HostIncarnation":
        """Read a holder from the store."""
        return cls(HostRef.from_json(message["ref"]), message["life"])


class PrimaryLeaseRecord(Record):
    """Say who may use the primary of a service.

    :param backup_holder: stands in for the holder, but for promotions, while the
        holder is lost and the store gives no answer.
    :param former: earlier holders that may still believe to be allowed.
    :param former_complete: whether `former` names all of them.
    :param primary: the target that leads; empty if it was never known.
    :param term: its term.
    :param primary_started_at_ms: when its process started; see `TargetEntry`. Another
        process
        under its id holds nothing and is not the primary.
    :param successor: the target whose promotion was decided; it may take
        effect at any time from then on.
    :param successor_started_at_ms: when the process that was chosen started.
    :param revision: of the item in the store.
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
        revision: int,
        primary_started_at_ms: int = 0,
        successor_started_at_ms: int = 0,
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

    def claimed_by(
        self, holder: HostIncarnation, no_former_holders: bool = False
    ) -> "PrimaryLeaseRecord":
        """Return the record with which `holder` takes the lead over.

        :param no_former_holders: whether the present holder says that no earlier one
            can
            still use the primary.
        """
        former = [] if no_former_holders else list(self.former)
        former += (
            [self.holder]
            if self.backup_holder is None
            else [self.holder, self.backup_holder]
        )
        found = self.copy()
        found.holder = holder
        found.backup_holder = None
        found.former_complete = no_former_holders or self.former_complete
        found.set_former([one for one in former if not is_superseded(one, holder)])
        return found

    def with_backup_holder(
        self, backup_holder: HostIncarnation | None
    ) -> "PrimaryLeaseRecord":
        """Return the record with another deputy, or with none."""
        found = self.copy()
        found.backup_holder = backup_holder
        if self.backup_holder is not None:
            if backup_holder is None or not is_superseded(
                self.backup_holder, backup_holder
            ):
                found.set_former([*self.former, self.backup_holder])
        return found

    def without_former(self) -> "PrimaryLeaseRecord":
        """Return the record once no earlier holder can use the primary."""
        found = self.copy()
        found.former = []
        found.former_complete = True
        return found

    def with_primary(
        self, primary: TargetAnnouncement, term: int
    ) -> "PrimaryLeaseRecord":
        """Return the record with the target that leads now."""
        found = self.copy()
        found.primary, found.primary_started_at_ms, found.term = (
            primary.target,
            primary.started_at_ms,
            term,
        )
        found.successor, found.successor_started_at_ms = "", 0
        return found

    def with_successor(self, successor: TargetAnnouncement) -> "PrimaryLeaseRecord":
        """Return the record with the target that is to lead."""
        found = self.copy()
        found.successor = successor.target
        found.successor_started_at_ms = successor.started_at_ms
        return found

    def with_primary_of(self, other: "PrimaryLeaseRecord") -> "PrimaryLeaseRecord":
        """Return the record with what another one says of the primary."""
        found = self.copy()
        found.primary, found.primary_started_at_ms, found.term = (
            other.primary,
            other.primary_started_at_ms,
            other.term,
        )
        found.successor = other.successor
        found.successor_started_at_ms = other.successor_started_at_ms
        return found

    def set_former(self, former: list[HostIncarnation]) -> None:
        """Name earlier holders, each once; too many are not named."""
        unique = list(dict.fromkeys(former))
        self.former_complete = (
            self.former_complete and len(unique) <= MAX_FORMER_HOLDERS
        )
        self.former = unique[-MAX_FORMER_HOLDERS:]

    def copy(self) -> "PrimaryLeaseRecord":
        """Return a record that may be changed."""
        return PrimaryLeaseRecord(*self.values())

    def with_revision(self, revision: int) -> "PrimaryLeaseRecord":
        """Return the record as it stands in the store at `revision`."""
        found = self.copy()
        found.revision = revision
        return found

    def to_json(self) -> Json:
        """Return the record as it stands in the store."""
        return {
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

    def encoded(self) -> bytes:
        """Return the value that stands in the store."""
        return encode(self.to_json())

    @classmethod
    @wraps_decode_errors
    def from_json(
        cls, service: str, message: Json, revision: int
    ) -> "PrimaryLeaseRecord":
        """Read a record."""
        deputy = message["deputy"]
        return cls(
            service,
            HostIncarnation.from_json(message["holder"]),
            None if deputy is None else HostIncarnation.from_json(deputy),
            [HostIncarnation.from_json(one) for one in message["former"]],
            bool(message["complete"]),
            message["primary"],
            int(message["term"]),
            message["successor"],
            revision,
            message.get("born", 0),
            message.get("successor_born", 0),
        )

    @classmethod
    def from_item(cls, item: Item) -> "PrimaryLeaseRecord":
        """Read a record from the store.

        :raises WireError: if it is malformed.
        """
        service = item.key[len(LEASE_KEY_PREFIX) :]
        return cls.from_json(service, decode(item.value or b""), item.revision)


def is_superseded(old: HostIncarnation, new: HostIncarnation) -> bool:
    """Say whether the life of `new` proves that of `old` over."""
    return old.ref.host == new.ref.host


def lease_key(service: str) -> str:
    """Return the key of the record of a service."""
    return LEASE_KEY_PREFIX + service
