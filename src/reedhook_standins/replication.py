"""Asynchronous replication: a member pulls entries from its primary."""

import asyncio
from typing import TYPE_CHECKING, Final

from .log import LogEntry

if TYPE_CHECKING:
    from .member import MemberStandin

# Seconds after which a wait notices a changed lag.
SLICE: Final = 0.02


class Replication:
    """Receive entries `ship_lag` seconds after the write, and apply them `apply_lag`
    seconds later.

    :ivar shippable: set when there may be something to pull.
    :ivar applicable: set when there may be something to apply.
    """

    def __init__(self, member: "MemberStandin") -> None:
        self.member = member
        self.state = member.state
        self.clock = member.clock
        self.shippable = asyncio.Event()
        self.applicable = asyncio.Event()

    def poke(self) -> None:
        """Wake both loops after a fault or a term changed."""
        self.shippable.set()
        self.applicable.set()

    async def ship(self) -> None:
        """Pull entries while the member runs."""
        while True:
            self.shippable.clear()
            entry = self.next_entry()
            if entry is None:
                await self.shippable.wait()
            elif await self.due(entry.written + self.member.ship_lag):
                self.state.take(entry)
                self.applicable.set()

    async def apply(self) -> None:
        """Apply received entries while the member runs."""
        while True:
            self.applicable.clear()
            index = self.state.applied
            if not self.member.runs or index == len(self.state.arrivals):
                await self.applicable.wait()
            elif await self.due(self.state.arrivals[index] + self.member.apply_lag):
                self.state.apply_next()

    async def due(self, moment: float) -> bool:
        """Return True if `moment` has passed, else False after a short sleep."""
        delay = moment - self.clock.monotonic()
        if delay <= 0:
            return True
        await self.clock.sleep(min(delay, SLICE))
        return False

    def next_entry(self) -> LogEntry | None:
        """Return the next entry that the primary has and this member lacks.

        Entries that the primary's log lacks are dropped first.
        """
        source = self.source()
        if source is None:
            return None
        self.state.align(source.state.log)
        index = len(self.state.log.entries)
        entries = source.state.log.entries
        return entries[index] if index < len(entries) else None

    def source(self) -> "MemberStandin | None":
        """Return the primary of the member's term if it is reachable, else None."""
        state = self.state
        if not self.member.runs or state.promised > state.leader_term:
            return None
        source = self.member.group.members.get(state.leader)
        if source is None or source is self.member or not source.runs:
            return None
        is_primary = source.state.leader == source.name
        if not is_primary or source.state.leader_term != state.leader_term:
            return None
        reachable = self.member.group.reachable(self.member.name, source.name)
        return source if reachable else None
