"""What a host knows of a database group, passed along with answers."""

from ..record import Record
from ..wire import Json, string_field, wraps_decode_errors
from .position import ORIGIN, Position


class MemberView(Record):
    """Carry what is known of one member.

    :param applied: a position that its reads see at least.
    :param held: a position that it holds at least.
    :param observed_at: local monotonic time at which this was true at the earliest.
    :param expected_wait: expected wait of a new statement at its home, in seconds.
    :param lag: proved upper bound of its age when seen, in seconds; None if
        nothing is proved.
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
    """Keep the newest knowledge of a group.

    :param group: the group's name.
    :param term: the highest leader term known.
    :param primary: the member that leads in that term; None if unknown.
    """

    __slots__ = ("group", "term", "primary", "members")

    def __init__(self, group: str, term: int = 0, primary: str | None = None) -> None:
        self.group = group
        self.term = term
        self.primary = primary
        self.members: dict[str, MemberView] = {}

    def record_primary(self, term: int, primary: str | None) -> bool:
        """Take note of a leader; return whether it is news."""
        if term < self.term or (term == self.term and self.primary is not None):
            return False
        if primary is None and term == self.term:
            return False
        self.term = term
        self.primary = primary
        return True

    def merge_member(self, update: MemberView) -> None:
        """Keep `news` of a member unless what is known is newer."""
        known = self.members.get(update.member)
        if known is not None and known.observed_at > update.observed_at:
            return
        self.members[update.member] = update

    def merge(self, other: "GroupView") -> bool:
        """Take over what `other` knows better; return whether the leader is new."""
        changed = self.record_primary(other.term, other.primary)
        for member in other.members.values():
            self.merge_member(member)
        return changed

    def to_json(self, now: float) -> Json:
        """Return the view for the wire; times become ages at `now`."""
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
        """Read a view; `asked` is when the question was sent, local monotonic.

        :param members: whether to read what is said of the members, too.
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
    """Ask a home for its view of a group.

    :param long_poll_seconds: for how many seconds to wait for a leader that is news.
    :param term: the highest leader term that the asker knows.
    :param primary: who leads it, as far as the asker knows.
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
        """Return the question as it stands on the wire."""
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
        """Read a question from the wire."""
        return cls(
            string_field(message, "group"),
            float(message.get("hold", 0.0)),
            int(message.get("term", 0)),
            message.get("primary"),
        )
