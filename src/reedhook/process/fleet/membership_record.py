"""What hosts tell one another of a host, and which of two records wins."""

from enum import IntEnum
from typing import Any, Final

import xxhash

from ...peer import HostRef
from ...record import Record
from ...wire import WireError

FIELDS: Final = 6


class MembershipState(IntEnum):
    """Name the state of a host; within an incarnation the higher one wins."""

    LIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3
    GONE = 4


class HostRecord(Record):
    """Carry what is known of a host.

    :param ref: the host's id, availability zone and address.
    :param incarnation: chosen by the host itself; wall-clock milliseconds at
        its start, raised to refute a suspicion.
    :param penalty: above 0 while the host was declared dead repeatedly of
        late; it is then ranked after others. Set by the host itself.
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
        """Return whether work may go to the host; a suspected one still counts."""
        return self.state <= MembershipState.SUSPECTED

    def overrides(self, other: "HostRecord") -> bool:
        """Return whether this record replaces `other` of the same host."""
        mine = (self.incarnation, self.state)
        return mine > (other.incarnation, other.state)

    def in_state(self, state: MembershipState) -> "HostRecord":
        """Return the same incarnation in another state."""
        return HostRecord(self.ref, self.incarnation, state, self.penalty)

    def digest(self) -> int:
        """Return a 64-bit digest; 0 for a host that is no longer there.

        A suspicion is short-lived and travels as news only, so that it makes
        no two tables differ.
        """
        if self.state >= MembershipState.DEAD:
            return 0
        state = MembershipState.LEAVING if self.state is MembershipState.LEAVING else 0
        text = f"{self.ref.host}\0{self.ref.address}\0{self.incarnation}\0{state}"
        return xxhash.xxh3_64_intdigest(text.encode())

    def to_json(self) -> list[Any]:
        """Return the record as it stands on the wire."""
        return [
            *self.ref.to_json(),
            self.incarnation,
            int(self.state),
            self.penalty,
        ]

    @classmethod
    def from_json(cls, value: Any) -> "HostRecord":
        """Read a record from the wire.

        :raises WireError: if it is malformed.
        """
        if not isinstance(value, list) or len(value) != FIELDS:
            raise WireError("a host record has six fields")
        texts, numbers = value[:3], value[3:]
        if not all(isinstance(text, str) for text in texts):
            raise WireError("a host record begins with three texts")
        if not all(type(number) is int and number >= 0 for number in numbers):
            raise WireError("a host record ends with three numbers")
        try:
            state = MembershipState(numbers[1])
        except ValueError as error:
            raise WireError(str(error)) from None
        return cls(HostRef(*texts), numbers[0], state, numbers[2])
