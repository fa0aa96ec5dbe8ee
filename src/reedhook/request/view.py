"""What a host knows of a database group, passed along with answers."""

from ..record import Record
from ..wire import Json, reader, text
from .position import ORIGIN, Position


class MemberView(Record):
    """Carry what is known of one member.

    :param applied: a position that its reads see at least.
    :param held: a position that it holds at least.
    :param seen: local monotonic time at which this was true at the earliest.
    :param wait: expected wait of a new statement at its home, in seconds.
    :param lag: proved upper bound of its age when seen, in seconds; None if
        nothing is proved.
    :param leaving: whether it takes no new work.
    """

    __slots__ = ("member", "applied", "held", "seen", "wait", "lag", "leaving")

    def __init__(
        self,
        member: str,
        applied: Position = ORIGIN,
        held: Position = ORIGIN,
        seen: float = 0.0,
        wait: float = 0.0,
        lag: float | None = None,
        leaving: bool = False,
    ) -> None:
        self.member = member
        self.applied = applied
        self.held = held
        self.seen = seen
        self.wait = wait
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

    def lead(self, term: int, primary: str | None) -> bool:
        """Take note of a leader; return whether it is news."""
        if term < self.term or (term == self.term and self.primary is not None):
            return False
        if primary is None and term == self.term:
            return False
        self.term = term
        self.primary = primary
        return True

    def learn(self, news: MemberView) -> None:
        """Keep `news` of a member unless what is known is newer."""
        known = self.members.get(news.member)
        if known is not None and known.seen > news.seen:
            return
        self.members[news.member] = news

    def merge(self, other: "GroupView") -> bool:
        """Take over what `other` knows better; return whether the leader is new."""
        changed = self.lead(other.term, other.primary)
        for member in other.members.values():
            self.learn(member)
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
                    round(now - one.seen, 4),
                    round(one.wait, 4),
                    None if one.lag is None else round(one.lag, 4),
                    one.leaving,
                ]
                for one in self.members.values()
            ],
        }

    @classmethod
    def from_json(
        cls, message: Json, asked: float, members: bool = True
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
                asked - age,
                wait,
                lag,
                leaving,
            )
        return view


class ViewQuestion(Record):
    """Ask a home for its view of a group.

    :param hold: for how many seconds to wait for a leader that is news.
    :param term: the highest leader term that the asker knows.
    :param primary: who leads it, as far as the asker knows.
    """

    __slots__ = ("group", "hold", "term", "primary")

    def __init__(
        self, group: str, hold: float = 0.0, term: int = 0, primary: str | None = None
    ) -> None:
        self.group = group
        self.hold = hold
        self.term = term
        self.primary = primary

    def to_json(self) -> Json:
        """Return the question as it stands on the wire."""
        if self.hold <= 0.0:
            return {"group": self.group}
        return {
            "group": self.group,
            "hold": self.hold,
            "term": self.term,
            "primary": self.primary,
        }

    @classmethod
    @reader
    def from_json(cls, message: Json) -> "ViewQuestion":
        """Read a question from the wire."""
        return cls(
            text(message, "group"),
            float(message.get("hold", 0.0)),
            int(message.get("term", 0)),
            message.get("primary"),
        )
