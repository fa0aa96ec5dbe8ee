"""What the store holds on the lead of a service, and on the promotion duty."""

from typing import Final

from ...record import Record
from ...wire import Json, decode, encode, reader
from ..announced.announcements import OWN_PREFIX
from ..announced.keyspace import Item
from ..peer import HostRef

LEADS: Final = f"{OWN_PREFIX}lead/"
DUTY_KEY: Final = f"{OWN_PREFIX}duty"

MOST_FORMER: Final = 6
"""Former holders that are named; with more the successor waits them all out."""


class Holder(Record):
    """Name one life of the process of a host.

    :param life: chosen at random at the start of the process.
    """

    __slots__ = ("ref", "life")

    def __init__(self, ref: HostRef, life: str) -> None:
        self.ref = ref
        self.life = life

    def to_json(self) -> Json:
        """Return the holder as it stands in the store."""
        return {"ref": self.ref.to_json(), "life": self.life}

    @classmethod
    @reader
    def from_json(cls, message: Json) -> "Holder":
        """Read a holder from the store."""
        return cls(HostRef.from_json(message["ref"]), message["life"])


class LeadRecord(Record):
    """Say who may use the primary of a service.

    :param former: earlier holders that may still believe to be allowed.
    :param complete: whether `former` names all of them.
    :param primary: the target that leads; empty if it was never known.
    :param term: its term.
    :param successor: the target whose promotion was decided; it may take
        effect at any time from then on.
    :param revision: of the item in the store.
    """

    __slots__ = (
        "service",
        "holder",
        "former",
        "complete",
        "primary",
        "term",
        "successor",
        "revision",
    )

    def __init__(
        self,
        service: str,
        holder: Holder,
        former: list[Holder],
        complete: bool,
        primary: str,
        term: int,
        successor: str,
        revision: int,
    ) -> None:
        self.service = service
        self.holder = holder
        self.former = former
        self.complete = complete
        self.primary = primary
        self.term = term
        self.successor = successor
        self.revision = revision

    def taken_by(self, holder: Holder) -> "LeadRecord":
        """Return the record with which `holder` takes the lead over."""
        former = [one for one in self.former if not replaced(one, holder)]
        if not replaced(self.holder, holder) and self.holder not in former:
            former.append(self.holder)
        complete = self.complete and len(former) <= MOST_FORMER
        return LeadRecord(
            self.service,
            holder,
            former[-MOST_FORMER:],
            complete,
            self.primary,
            self.term,
            self.successor,
            self.revision,
        )

    def with_primary(
        self, primary: str, term: int, successor: str = ""
    ) -> "LeadRecord":
        """Return the record with another primary, or one that is to be."""
        return LeadRecord(
            self.service,
            self.holder,
            self.former,
            self.complete,
            primary,
            term,
            successor,
            self.revision,
        )

    def at(self, revision: int) -> "LeadRecord":
        """Return the record as it stands in the store at `revision`."""
        found = self.with_primary(self.primary, self.term, self.successor)
        found.revision = revision
        return found

    def to_json(self) -> Json:
        """Return the record as it stands in the store."""
        return {
            "holder": self.holder.to_json(),
            "former": [one.to_json() for one in self.former],
            "complete": self.complete,
            "primary": self.primary,
            "term": self.term,
            "successor": self.successor,
        }

    def encoded(self) -> bytes:
        """Return the value that stands in the store."""
        return encode(self.to_json())

    @classmethod
    @reader
    def from_json(cls, service: str, message: Json, revision: int) -> "LeadRecord":
        """Read a record."""
        return cls(
            service,
            Holder.from_json(message["holder"]),
            [Holder.from_json(one) for one in message["former"]],
            bool(message["complete"]),
            message["primary"],
            int(message["term"]),
            message["successor"],
            revision,
        )

    @classmethod
    def from_item(cls, item: Item) -> "LeadRecord":
        """Read a record from the store.

        :raises WireError: if it is malformed.
        """
        service = item.key[len(LEADS) :]
        return cls.from_json(service, decode(item.value or b""), item.revision)


def replaced(old: Holder, new: Holder) -> bool:
    """Say whether the life of `new` proves that of `old` over."""
    return old.ref.host == new.ref.host


def lead_key(service: str) -> str:
    """Return the key of the record of a service."""
    return LEADS + service
