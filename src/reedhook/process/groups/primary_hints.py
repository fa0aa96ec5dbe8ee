"""The outcome of changes of primary in the store, as a hint and no more."""

import asyncio
from random import Random
from typing import Final

from ...clock import Clock
from ...wire import WireError, decode, encode
from ..configuring.store import Store, StoreConflictError, StoreEntry, StoreError
from .group_promotion_coordinator import PrimaryChange

STORE_TIMEOUT_SECONDS: Final = 1.0
INITIAL_RETRY_DELAY_SECONDS: Final = 0.5
MAX_RETRY_DELAY_SECONDS: Final = 30.0


def primary_hint_key(group: str) -> str:
    """Return the store's key of a group's primary."""
    return f"primary/{group}"


class PrimaryHints:
    """Write outcomes to the store when it answers; nobody waits for it.

    Only the newest outcome of a group is kept while the store is down.
    """

    def __init__(self, store: Store, clock: Clock, random: Random) -> None:
        self.store = store
        self.clock = clock
        self.random = random
        self.pending: dict[str, PrimaryChange] = {}
        self.task: asyncio.Task[None] | None = None

    def publish(self, change: PrimaryChange) -> None:
        """Write `outcome` in the background."""
        known = self.pending.get(change.group)
        if known is not None and known.term >= change.term:
            return
        self.pending[change.group] = change
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.drain())

    async def drain(self) -> None:
        """Write what is pending, with growing pauses while the store is down."""
        delay = INITIAL_RETRY_DELAY_SECONDS
        while self.pending:
            outcome = next(iter(self.pending.values()))
            try:
                await self.write(outcome)
            except StoreError:
                await self.clock.sleep(delay * (0.5 + self.random.random()))
                delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
                continue
            delay = INITIAL_RETRY_DELAY_SECONDS
            if self.pending.get(outcome.group) == outcome:
                del self.pending[outcome.group]

    async def write(self, change: PrimaryChange) -> None:
        """Replace the hint unless it is of the same or a later term.

        :raises StoreError: if the store gave no usable answer.
        """
        entry = await self.store.get(
            primary_hint_key(change.group), STORE_TIMEOUT_SECONDS
        )
        known = parse_hint(entry, change.group)
        if known is not None and known.term >= change.term:
            return
        revision = 0 if entry is None else entry.revision
        value = encode({"term": change.term, "primary": change.primary})
        try:
            await self.store.put(
                primary_hint_key(change.group), value, revision, STORE_TIMEOUT_SECONDS
            )
        except StoreConflictError:
            await self.write(change)

    async def read(self, group: str) -> PrimaryChange | None:
        """Return the hint of a group, or None if there is none to be had."""
        try:
            entry = await self.store.get(primary_hint_key(group), STORE_TIMEOUT_SECONDS)
        except StoreError:
            return None
        return parse_hint(entry, group)

    async def close(self) -> None:
        """Stop writing."""
        if self.task is not None:
            self.task.cancel()


def parse_hint(entry: StoreEntry | None, group: str) -> PrimaryChange | None:
    """Read a hint; one that cannot be read counts as none."""
    if entry is None:
        return None
    try:
        message = decode(entry.value)
        return PrimaryChange(group, int(message["term"]), str(message["primary"]))
    except (WireError, KeyError, TypeError, ValueError):
        return None
