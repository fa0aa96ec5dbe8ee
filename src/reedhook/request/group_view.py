"""A host's view of a database group, exchanged with responses."""

from ..record import Record
from ..wire import Json, string_field, wraps_decode_errors
from .position import ORIGIN, Position


class MemberView(Record):
    """Carry the known state of one member.

    :param applied: lower bound of the position that its reads see.
    :param held: lower bound of the position that it holds.
    :param observed_at: earliest local monotonic time at which the state was valid.
    :param expected_wait: expected wait of a new statement at its home, in seconds.
    :param lag: proved upper bound of its age when observed, in seconds; None if
        unproved.
    :param leaving: whether it takes no new work.
    """

    __slots__ = (
        "member",
        "applied",
        "held",
        "observed_at",
        "expected_wait",
        "lag",
        "leaving",
    )

    def __init__(
        self,
        member: str,
        applied: Position = ORIGIN,
        held: Position = ORIGIN,
        observed_at: float = 0.0,
        expected_wait: float = 0.0,
        lag: float | None = None,
        leaving: bool = False,
    ) -> None:
        self.member = member
        self.applied = applied
        self.held = held
        self.observed_at = observed_at
        self.expected_wait = expected_wait
        self.lag = lag
        self.leaving = leaving


class GroupView:
    """Keep the newest known state of a group.

    :param group: the group's name.
    :param term: the highest known term.
    :param primary: the primary of that term; None if unknown.
    """

    __slots__ = ("group", "term", "primary", "members")

    def __init__(self, group: str, term: int = 0, primary: str | None = None) -> None:
        self.group = group
        self.term = term
        self.primary = primary
        self.members: dict[str, MemberView] = {}

    def record_primary(self, term: int, primary: str | None) -> bool:
        """Record the primary of a term; return whether the view changed."""
        if term < self.term or (term == self.term and self.primary is not None):
            return False
        if primary is None and term == self.term:
            return False
        self.term = term
        self.primary = primary
        return True

    def merge_member(self, update: MemberView) -> None:
        """Replace the view of a member unless the known one is newer."""
        known = self.members.get(update.member)
        if known is not None and known.observed_at > update.observed_at:
            return
        self.members[update.member] = update

    def merge(self, other: "GroupView") -> bool:
        """Merge the newer parts of `other`; return whether the primary changed."""
        changed = self.record_primary(other.term, other.primary)
        for member in other.members.values():
            self.merge_member(member)
        return changed

    def to_json(self, now: float) -> Json:
        """Return the view in its wire format, with times as ages at `now`."""
        return {
            "group": self.group,
            "term": self.term,
            "primary": self.primary,
            "members": [
                [
                    one.member,
                    one.applied.to_json(),
                    one.held.to_json(),
                    round(now - one.observed_at, 4),
                    round(one.expected_wait, 4),
                    None if one.lag is None else round(one.lag, 4),
                    one.leaving,
                ]
                for one in self.members.values()
            ],
        }

    @classmethod
    def from_json(
        cls, message: Json, requested_at: float, members: bool = True
    ) -> "GroupView":
        """Decode a view.

        :param requested_at: local monotonic time at which the request was sent.
        :param members: whether to decode the members.
        """
        view = cls(message["group"], message["term"], message["primary"])
        if not members:
            return view
        for member, applied, held, age, wait, lag, leaving in message["members"]:
            view.members[member] = MemberView(
                member,
                Position.from_json(applied),
                Position.from_json(held),
                requested_at - age,
                wait,
                lag,
                leaving,
            )
        return view


class GroupViewRequest(Record):
    """Request a home's view of a group.

    :param long_poll_seconds: how long the home waits for a primary that the
        requester does not know; 0 for an immediate response.
    :param term: the highest term known to the requester.
    :param primary: the primary of that term; None if unknown to the requester.
    """

    __slots__ = ("group", "long_poll_seconds", "term", "primary")

    def __init__(
        self,
        group: str,
        long_poll_seconds: float = 0.0,
        term: int = 0,
        primary: str | None = None,
    ) -> None:
        self.group = group
        self.long_poll_seconds = long_poll_seconds
        self.term = term
        self.primary = primary

    def to_json(self) -> Json:
        """Return the request in its wire format."""
        if self.long_poll_seconds <= 0.0:
            return {"group": self.group}
        return {
            "group": self.group,
            "hold": self.long_poll_seconds,
            "term": self.term,
            "primary": self.primary,
        }

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "GroupViewRequest":
        """Decode a request from its wire format."""
        return cls(
            string_field(message, "group"),
            float(message.get("hold", 0.0)),
            int(message.get("term", 0)),
            message.get("primary"),
        )
