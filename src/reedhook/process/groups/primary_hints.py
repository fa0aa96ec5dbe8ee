"""Hints in the store about the primary of each group; never a proof."""

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
    """Return the store key of a group's primary."""
    return f"primary/{group}"


class PrimaryHints:
    """Write changes of primary to the store in the background.

    While the store is down, only the newest change of each group is kept.
    """

    def __init__(self, store: Store, clock: Clock, random: Random) -> None:
        self.store = store
        self.clock = clock
        self.random = random
        self.pending: dict[str, PrimaryChange] = {}
        self.task: asyncio.Task[None] | None = None

    def publish(self, change: PrimaryChange) -> None:
        """Write `change` in the background unless a newer one is pending."""
        known = self.pending.get(change.group)
        if known is not None and known.term >= change.term:
            return
        self.pending[change.group] = change
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.drain())

    async def drain(self) -> None:
        """Write the pending changes; back off exponentially while the store is down."""
        delay = INITIAL_RETRY_DELAY_SECONDS
        while self.pending:
            change = next(iter(self.pending.values()))
            try:
                await self.write(change)
            except StoreError:
                await self.clock.sleep(delay * (0.5 + self.random.random()))
                delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
                continue
            delay = INITIAL_RETRY_DELAY_SECONDS
            if self.pending.get(change.group) == change:
                del self.pending[change.group]

    async def write(self, change: PrimaryChange) -> None:
        """Replace the hint unless it has the same or a later term.

        :raises StoreError: if the store does not answer.
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
        """Return the hint of a group, or None if missing or unavailable."""
        try:
            entry = await self.store.get(primary_hint_key(group), STORE_TIMEOUT_SECONDS)
        except StoreError:
            return None
        return parse_hint(entry, group)

    async def close(self) -> None:
        """Cancel the background writes."""
        if self.task is not None:
            self.task.cancel()


def parse_hint(entry: StoreEntry | None, group: str) -> PrimaryChange | None:
    """Parse a hint; return None if it is malformed."""
    if entry is None:
        return None
    try:
        message = decode(entry.value)
        return PrimaryChange(group, int(message["term"]), str(message["primary"]))
    except (WireError, KeyError, TypeError, ValueError):
        return None
