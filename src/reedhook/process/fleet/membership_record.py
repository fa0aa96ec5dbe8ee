"""Membership records and their precedence."""

from enum import IntEnum
from typing import Any, Final

import xxhash

from ...peer import HostRef
from ...record import Record
from ...wire import WireError

FIELDS: Final = 6


class MembershipState(IntEnum):
    """State of a host; within an incarnation the higher state wins."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3
    GONE = 4


class HostRecord(Record):
    """Describe the membership state of a host.

    :param ref: the host's id, availability zone and address.
    :param incarnation: set by the host itself: wall-clock milliseconds at its start,
        incremented to refute a suspicion.
    :param penalty: set by the host itself: above 0 after it was repeatedly declared
        dead; the host then ranks after others.
    """

    __slots__ = ("ref", "incarnation", "state", "penalty")

    def __init__(
        self,
        ref: HostRef,
        incarnation: int,
        state: MembershipState = MembershipState.LIVE,
        penalty: int = 0,
    ) -> None:
        self.ref = ref
        self.incarnation = incarnation
        self.state = state
        self.penalty = penalty

    @property
    def live(self) -> bool:
        """Return whether the host accepts work; a suspected host still does."""
        return self.state <= MembershipState.SUSPECTED

    def overrides(self, other: "HostRecord") -> bool:
        """Return whether this record replaces `other` of the same host."""
        mine = (self.incarnation, self.state)
        return mine > (other.incarnation, other.state)

    def in_state(self, state: MembershipState) -> "HostRecord":
        """Return a copy of this record in another state."""
        return HostRecord(self.ref, self.incarnation, state, self.penalty)

    def digest(self) -> int:
        """Return a 64-bit digest; 0 for a dead or gone host.

        A suspicion does not change the digest: it is short-lived and spreads by
        gossip only, so it must not trigger a pull.
        """
        if self.state >= MembershipState.DEAD:
            return 0
        state = MembershipState.LEAVING if self.state is MembershipState.LEAVING else 0
        text = f"{self.ref.host}\0{self.ref.address}\0{self.incarnation}\0{state}"
        return xxhash.xxh3_64_intdigest(text.encode())

    def to_json(self) -> list[Any]:
        """Return the record in wire format."""
        return [
            *self.ref.to_json(),
            self.incarnation,
            int(self.state),
            self.penalty,
        ]

    @classmethod
    def from_json(cls, value: Any) -> "HostRecord":
        """Parse a record in wire format.

        :raises WireError: if it is malformed.
        """
        if not isinstance(value, list) or len(value) != FIELDS:
            raise WireError("host record must be a list of six fields")
        # Written out: heartbeats carry many records, and hosts parse each one.
        host, zone, address, incarnation, state, penalty = value
        if not (type(host) is type(zone) is type(address) is str):
            raise WireError("first three fields of a host record must be strings")
        if not (
            type(incarnation) is type(state) is type(penalty) is int
            and incarnation >= 0
            and state >= 0
            and penalty >= 0
        ):
            raise WireError("last three fields of a host record must be integers >= 0")
        try:
            known_state = MembershipState(state)
        except ValueError as error:
            raise WireError(str(error)) from None
        return cls(HostRef(host, zone, address), incarnation, known_state, penalty)
