"""The outcome of changes of primary in the store, as a hint and no more."""

import asyncio
from random import Random
from typing import Final

from ...clock import Clock
from ...wire import WireError, decode, encode
from ..configuring.store import Entry, Store, StoreConflict, StoreError
from .coordinator import Outcome

STORE_TIMEOUT: Final = 1.0
FIRST_DELAY: Final = 0.5
LONGEST_DELAY: Final = 30.0


def key_of(group: str) -> str:
    """Return the store's key of a group's primary."""
    return f"primary/{group}"


class OutcomeHints:
    """Write outcomes to the store when it answers; nobody waits for it.

    Only the newest outcome of a group is kept while the store is down.
    """

    def __init__(self, store: Store, clock: Clock, random: Random) -> None:
        self.store = store
        self.clock = clock
        self.random = random
        self.pending: dict[str, Outcome] = {}
        self.task: asyncio.Task[None] | None = None

    def publish(self, outcome: Outcome) -> None:
        """Write `outcome` in the background."""
        known = self.pending.get(outcome.group)
        if known is not None and known.term >= outcome.term:
            return
        self.pending[outcome.group] = outcome
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.drain())

    async def drain(self) -> None:
        """Write what is pending, with growing pauses while the store is down."""
        delay = FIRST_DELAY
        while self.pending:
            outcome = next(iter(self.pending.values()))
            try:
                await self.write(outcome)
            except StoreError:
                await self.clock.sleep(delay * (0.5 + self.random.random()))
                delay = min(2 * delay, LONGEST_DELAY)
                continue
            delay = FIRST_DELAY
            if self.pending.get(outcome.group) == outcome:
                del self.pending[outcome.group]

    async def write(self, outcome: Outcome) -> None:
        """Replace the hint unless it is of the same or a later term.

        :raises StoreError: if the store gave no usable answer.
        """
        entry = await self.store.get(key_of(outcome.group), STORE_TIMEOUT)
        known = outcome_of(entry, outcome.group)
        if known is not None and known.term >= outcome.term:
            return
        revision = 0 if entry is None else entry.revision
        value = encode({"term": outcome.term, "primary": outcome.primary})
        try:
            await self.store.put(key_of(outcome.group), value, revision, STORE_TIMEOUT)
        except StoreConflict:
            await self.write(outcome)

    async def read(self, group: str) -> Outcome | None:
        """Return the hint of a group, or None if there is none to be had."""
        try:
            entry = await self.store.get(key_of(group), STORE_TIMEOUT)
        except StoreError:
            return None
        return outcome_of(entry, group)

    async def close(self) -> None:
        """Stop writing."""
        if self.task is not None:
            self.task.cancel()


def outcome_of(entry: Entry | None, group: str) -> Outcome | None:
    """Read a hint; one that cannot be read counts as none."""
    if entry is None:
        return None
    try:
        message = decode(entry.value)
        return Outcome(group, int(message["term"]), str(message["primary"]))
    except (WireError, KeyError, TypeError, ValueError):
        return None
