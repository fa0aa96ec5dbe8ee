"""Stand-in of a database group with several members."""

from bisect import bisect_right
from collections.abc import Sequence
from typing import Final

from reedhook.clock import Clock, SystemClock
from reedhook.record import Record
from reedhook.request.position import Position

from .log import Log, LogEntry
from .member import MemberStandin

CONNECTIONS: Final = 15
SLOTS: Final = 2
FIRST_TERM: Final = 1
FIRST_OWNER: Final = "bootstrap"


class TermPrimary(Record):
    """Associate a term with the log of its primary."""

    __slots__ = ("term", "log")

    def __init__(self, term: int, log: Log) -> None:
        self.term = term
        self.log = log


class GroupTruth:
    """Record what really happened in a group, for tests to compare with.

    :ivar written: all entries that any primary wrote, including lost ones.
    """

    def __init__(self) -> None:
        self.written: list[LogEntry] = []
        self.reign = TermPrimary(0, Log())

    def lead(self, term: int, log: Log) -> None:
        """Record the primary of a term."""
        if term > self.reign.term:
            self.reign = TermPrimary(term, log)

    @property
    def entries(self) -> list[LogEntry]:
        """Return the surviving history: the log of the latest primary."""
        return self.reign.log.entries

    def truth_age(self, position: Position, now: float) -> float:
        """Return how old a read at `position` is at time `now`, in seconds.

        The age counts from the first surviving entry that the read misses.
        """
        place = bisect_right(self.entries, position, key=lambda one: one.position)
        if place == len(self.entries):
            return 0.0
        return max(0.0, now - self.entries[place].written)

    def holds(self, position: Position) -> bool:
        """Return whether the entry at `position` survives."""
        index = position.index - 1
        if not 0 <= index < len(self.entries):
            return False
        return self.entries[index].position == position

    def count(self, request_id: str) -> int:
        """Return how many surviving entries belong to a request."""
        keys = (entry.key for entry in self.entries)
        return sum(1 for key in keys if key and key.request_id == request_id)

    def contains(self, request_id: str) -> bool:
        """Return whether the effect of a request survives."""
        return self.count(request_id) > 0


class GroupStandin:
    """Run the members of a group; the first is primary of term 1.

    :param names: the members' ids.
    :param connections: maximum connections of each member.
    :param slots: concurrent statements of each member.
    :param ports: the members' TCP ports; 0 takes a free one.
    """

    def __init__(
        self,
        name: str,
        names: Sequence[str],
        clock: Clock | None = None,
        connections: int = CONNECTIONS,
        slots: int = SLOTS,
        ports: Sequence[int] | None = None,
    ) -> None:
        self.name = name
        self.clock = clock or SystemClock()
        self.truth = GroupTruth()
        self.islands: dict[str, int] = {}
        self.members: dict[str, MemberStandin] = {}
        for member, port in zip(names, ports or [0] * len(names), strict=True):
            self.members[member] = MemberStandin(
                self, member, self.clock, connections, slots, port
            )
        self.found()

    def found(self) -> None:
        """Make the first member primary of the first term."""
        primary, *replicas = self.members.values()
        primary.state.raise_term(FIRST_TERM, FIRST_OWNER)
        primary.state.promote(FIRST_TERM, FIRST_OWNER)
        self.truth.lead(FIRST_TERM, primary.state.log)
        for replica in replicas:
            replica.state.follow(FIRST_TERM, primary.name)

    async def start(self) -> None:
        """Start all members."""
        for member in self.members.values():
            await member.revive()

    async def close(self) -> None:
        """Stop all members."""
        for member in self.members.values():
            await member.kill()

    @property
    def primary(self) -> MemberStandin:
        """Return the primary of the highest term that was opened."""
        log = self.truth.reign.log
        return next(
            member for member in self.members.values() if member.state.log is log
        )

    def partition(self, *names: str) -> None:
        """Cut replication between the named members and all others."""
        partition_number = max(self.islands.values(), default=0) + 1
        for name in names:
            self.islands[name] = partition_number
        self.poke()

    def heal(self) -> None:
        """Remove all partitions."""
        self.islands.clear()
        self.poke()

    def reachable(self, one: str, other: str) -> bool:
        """Return whether two members can replicate from one another."""
        return self.islands.get(one, 0) == self.islands.get(other, 0)

    def set_lag(self, ship_lag: float, apply_lag: float = 0.0) -> None:
        """Set the lags of all members, in seconds."""
        for member in self.members.values():
            member.ship_lag = ship_lag
            member.apply_lag = apply_lag

    def written(self, entry: LogEntry) -> None:
        """Record an entry that a primary wrote."""
        self.truth.written.append(entry)
        for member in self.members.values():
            member.replication.shippable.set()

    def poke(self) -> None:
        """Wake the replication of all members after a fault or a term changed."""
        for member in self.members.values():
            member.replication.poke()
