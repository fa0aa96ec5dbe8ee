"""The durable state of a member: its log, its rows and the terms it promised."""

from collections.abc import Callable, Sequence

from reedhook.clock import Clock
from reedhook.connection.target import Role
from reedhook.request.position import Position

from .engine import Engine
from .log import NO_ROWS, Log, LogEntry, LoggedStatement, RequestKey, Rows
from .service import ServiceRefusal


class ReplicatedState:
    """Maintain the log of one member by the rules of terms.

    :param changed: called after each change of the state.
    :param written: called with each entry that the member writes as primary.
    :ivar promised: the highest term promised, to `owner`.
    :ivar leader: the member that it follows, or itself.
    :ivar arrivals: when each entry was received, clock time in seconds.
    :ivar applied: how many entries the rows reflect.
    """

    def __init__(
        self,
        member: str,
        clock: Clock,
        changed: Callable[[], None],
        written: Callable[[LogEntry], None],
    ) -> None:
        self.member = member
        self.clock = clock
        self.changed = changed
        self.written = written
        self.log = Log()
        self.engine = Engine()
        self.promised = 0
        self.owner: str | None = None
        self.leader_term = 0
        self.leader = ""
        self.arrivals: list[float] = []
        self.applied = 0

    @property
    def role(self) -> Role:
        """Return the member's current role."""
        if self.promised > self.leader_term:
            return Role.FENCED
        return Role.PRIMARY if self.leader == self.member else Role.REPLICA

    @property
    def held(self) -> Position:
        """Return the position of the last entry held."""
        return self.log.last

    @property
    def visible(self) -> Position:
        """Return the position that reads reflect."""
        return self.log.position_at(self.applied)

    def require_primary(self) -> None:
        """Refuse unless the member may write now."""
        if self.leader != self.member:
            raise ServiceRefusal("not_primary", f"{self.member} is a replica")
        if self.promised > self.leader_term:
            detail = f"term {self.leader_term} is superseded by {self.promised}"
            raise ServiceRefusal("superseded", detail)

    def write(self, change: LoggedStatement, key: RequestKey | None) -> LogEntry:
        """Run a write as primary and append its entry."""
        self.require_primary()
        result = self.engine.write((change,), key)
        return self.append((change,), key, result)

    def adopt(
        self, engine: Engine, changes: Sequence[LoggedStatement], key: RequestKey | None
    ) -> Rows:
        """Commit a transaction that ran on a copy of the rows."""
        self.require_primary()
        if key is not None:
            engine.record(key, NO_ROWS)
        self.engine = engine
        if changes or key is not None:
            self.append(tuple(changes), key, NO_ROWS)
        return NO_ROWS

    def append(
        self, changes: tuple[LoggedStatement, ...], key: RequestKey | None, result: Rows
    ) -> LogEntry:
        """Append an entry whose changes the rows already reflect."""
        position = Position(self.leader_term, len(self.log.entries) + 1)
        now = self.clock.monotonic()
        entry = LogEntry(position, changes, key, result, now)
        self.log.append(entry)
        self.arrivals.append(now)
        self.applied = position.index
        self.written(entry)
        self.changed()
        return entry

    def take(self, entry: LogEntry) -> None:
        """Store an entry from the primary; reads see it once it is applied."""
        self.log.append(entry)
        self.arrivals.append(self.clock.monotonic())
        self.changed()

    def apply_next(self) -> None:
        """Apply the next stored entry."""
        self.engine.apply(self.log.entries[self.applied])
        self.applied += 1
        self.changed()

    def align(self, log: Log) -> None:
        """Drop the entries that the primary's log lacks."""
        shared = self.log.shared(log)
        if shared == len(self.log.entries):
            return
        del self.log.entries[shared:]
        del self.arrivals[shared:]
        if self.applied > shared:
            self.engine = Engine()
            for entry in self.log.entries:
                self.engine.apply(entry)
            self.applied = shared
        self.changed()

    def raise_term(self, term: int, owner: str) -> None:
        """Promise a term that is higher, or was promised to the same owner."""
        if term < self.promised or (term == self.promised and owner != self.owner):
            raise term_refused(f"term {self.promised} is promised to {self.owner}")
        if term > self.promised:
            self.promised = term
            self.owner = owner
            self.changed()

    def promote(self, term: int, owner: str) -> None:
        """Become primary of a term promised to `owner` and open it."""
        if term != self.promised or owner != self.owner:
            raise term_refused(f"term {self.promised} is promised to {self.owner}")
        if self.leader_term == term:
            if self.leader == self.member:
                return
            raise term_refused(f"{self.leader} leads term {term}")
        while self.applied < len(self.log.entries):
            self.apply_next()
        self.leader_term = term
        self.leader = self.member
        self.append((), None, NO_ROWS)

    def follow(self, term: int, primary: str) -> None:
        """Follow the primary of a term that is not lower than the promise."""
        if term < self.promised:
            raise term_refused(f"term {self.promised} is promised to {self.owner}")
        if primary == self.member:
            raise term_refused("a member does not follow itself")
        if term == self.leader_term and primary != self.leader:
            raise term_refused(f"{self.leader} leads term {term}")
        if term > self.promised:
            self.promised = term
            self.owner = None
        if (term, primary) != (self.leader_term, self.leader):
            self.leader_term = term
            self.leader = primary
            self.changed()


def term_refused(detail: str) -> ServiceRefusal:
    """Return the refusal of a call that the term rules forbid."""
    return ServiceRefusal("term_refused", detail)
