"""Questions whose answers prove how new the configuration of this host is."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from ...clock import Clock
from ...peer import HostRef
from .announcements import Announcements
from .configuration_freshness import ConfigurationFreshness
from .key_value_store import KeyValueStore, KeyValueStoreError

CHECK_INTERVAL_SECONDS: Final = 0.1
"""Seconds between two looks at the age of what is known."""

QUERY_AGE_SECONDS: Final = 1.0
"""Seconds of age from which on the first host of all asks the store, and relays ask
that host; all others are told with heartbeats."""

AGE_JITTER_FRACTION: Final = 0.5
"""Share of the age by which hosts wait differently long."""

FALLBACK_AGE_SECONDS: Final = 2.5
"""Seconds of age from which on a host asks itself that is no relay: it has heard
nothing of those that are."""

RETRY_PAUSE_SECONDS: Final = 1.0
"""Seconds between two questions of a host that got no answer."""

RESPONSE_TIMEOUT_SECONDS: Final = 0.5
"""Seconds for an answer; a slow store takes 240 ms."""

EMPTY_PREFIX: Final = "reedhook/none/"
"""Begins no key, so that the answer holds the store's revision only."""


class FreshnessProver:
    """Have proved what is known before it gets old, by the store or another host.

    A question for changes is held for seconds, and proves no more than the moment
    at which it was asked. The store's revision is told at once. It is a proof as soon
    as everything up to it is known here. One host asks the store so, as long as the
    relays of the zones hear from it.

    :param me: this host.
    :param first_host: returns the host that asks the store.
    :param is_relay: says whether this host follows the store for its zone.
    :param query_host: has another host tell how old at most its configuration is.
    :ivar awaited: the revision of the last answer that is not known up to here yet,
        and when it was asked for.
    """

    def __init__(
        self,
        keyspace: KeyValueStore,
        announcements: Announcements,
        freshness: ConfigurationFreshness,
        me: HostRef,
        first_host: Callable[[], HostRef | None],
        is_relay: Callable[[], bool],
        query_host: Callable[[HostRef], Awaitable[bool]],
        clock: Clock,
        random: Random,
    ) -> None:
        self.keyspace = keyspace
        self.announcements = announcements
        self.freshness = freshness
        self.me = me
        self.first_host = first_host
        self.is_relay = is_relay
        self.query_host = query_host
        self.clock = clock
        self.random = random
        self.awaited: tuple[int, float] | None = None

    async def run(self) -> None:
        """Keep what is known proved until cancelled."""
        limit = self.limit()
        while True:
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)
            self.apply_awaited_proof()
            if not self.needed() or self.waits() or self.freshness.age() < limit:
                continue
            if not await self.query():
                await self.clock.sleep(
                    RETRY_PAUSE_SECONDS * self.random.uniform(0.5, 1.0)
                )
            limit = self.limit()

    def needed(self) -> bool:
        """Return whether anything here depends on the age of the configuration."""
        return bool(self.announcements.table.workspaces.by_name)

    def waits(self) -> bool:
        """Return whether the last answer may still become a proof worth waiting for."""
        if self.awaited is None:
            return False
        return self.clock.boottime() - self.awaited[1] < QUERY_AGE_SECONDS

    def limit(self) -> float:
        """Return the age at which to ask next."""
        least = (
            QUERY_AGE_SECONDS
            if self.is_relay() or self.first_host() == self.me
            else FALLBACK_AGE_SECONDS
        )
        return least * self.random.uniform(1.0, 1.0 + AGE_JITTER_FRACTION)

    async def query(self) -> bool:
        """Ask the first host, or the store in its place; return whether that helped."""
        first = self.first_host()
        if first is not None and first != self.me:
            await self.query_host(first)
            if self.freshness.age() < FALLBACK_AGE_SECONDS:
                return True
        return await self.query_store()

    async def query_store(self) -> bool:
        """Ask for the store's revision; return whether there was an answer."""
        asked = self.clock.boottime()
        try:
            found = await self.keyspace.list(EMPTY_PREFIX, RESPONSE_TIMEOUT_SECONDS)
        except KeyValueStoreError as error:
            self.announcements.decisions.record(
                "age_unproved",
                age=round(min(self.freshness.age(), 1e6), 3),
                error=str(error),
            )
            return False
        self.awaited = (found.revision, asked)
        self.apply_awaited_proof()
        return True

    def apply_awaited_proof(self) -> None:
        """Use the last answer once everything up to its revision is known."""
        if self.awaited is None:
            return
        revision, asked = self.awaited
        if self.announcements.mirror.revision >= revision:
            self.freshness.record_proof(asked)
            self.awaited = None
