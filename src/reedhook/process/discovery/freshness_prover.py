"""Queries that keep the age bound of this host's configuration low."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from ...clock import Clock
from ...peer import HostRef
from .announcements import Announcements
from .configuration_freshness import ConfigurationFreshness
from .key_value_store import KeyValueStore, KeyValueStoreError
from .store_revision import StoreRevision

CHECK_INTERVAL_SECONDS: Final = 0.1

QUERY_AGE_SECONDS: Final = 1.0
"""Age from which on the first host queries the store and relays query that host. Other
hosts receive proofs with heartbeats."""

AGE_JITTER_FRACTION: Final = 0.5
"""Jitter of the age limit, as a share of it."""

FALLBACK_AGE_SECONDS: Final = 2.5
"""Age from which on a host that is not a relay sends queries itself, since it gets no
proofs from the relays."""

RETRY_PAUSE_SECONDS: Final = 1.0
"""Pause after a failed query."""

RESPONSE_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of a call to the store."""

EMPTY_PREFIX: Final = "reedhook/none/"
"""Matches no key, so that the response holds only the store's revision."""


class FreshnessProver:
    """Renew the proof of configuration freshness, from the store or another host.

    A held request for changes proves only the time at which it was sent. The store's
    revision is returned at once and proves the time of its request as soon as this
    host knows everything up to it. One host queries the store, and the relays of the
    zones query that host.

    :param me: this host.
    :param first_host: returns the host that queries the store.
    :param is_relay: returns whether this host follows the store for its zone.
    :param query_host: queries the configuration age of another host.
    :ivar awaited: revision of the last response that is not applied here yet, and
        when it was requested.
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
        self.awaited: tuple[StoreRevision, float] | None = None

    async def run(self) -> None:
        """Renew the proof whenever it gets too old, until cancelled."""
        limit = self.limit()
        while True:
            await self.clock.sleep(CHECK_INTERVAL_SECONDS)
            self.apply_awaited_proof()
            if not self.needed() or self.waits():
                continue
            if self.freshness.unproved_seconds() < limit:
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
        """Return whether the last response may still become a recent proof."""
        if self.awaited is None:
            return False
        return self.clock.boottime() - self.awaited[1] < QUERY_AGE_SECONDS

    def limit(self) -> float:
        """Return the age at which to send the next query, with jitter."""
        base_age = (
            QUERY_AGE_SECONDS
            if self.is_relay() or self.first_host() == self.me
            else FALLBACK_AGE_SECONDS
        )
        return base_age * self.random.uniform(1.0, 1.0 + AGE_JITTER_FRACTION)

    async def query(self) -> bool:
        """Query the first host, else the store; return whether one responded."""
        first = self.first_host()
        if first is not None and first != self.me:
            await self.query_host(first)
            if self.freshness.unproved_seconds() < FALLBACK_AGE_SECONDS:
                return True
        return await self.query_store()

    async def query_store(self) -> bool:
        """Query the store's revision; return whether the store responded."""
        requested_at = self.clock.boottime()
        try:
            found = await self.keyspace.list(EMPTY_PREFIX, RESPONSE_TIMEOUT_SECONDS)
        except KeyValueStoreError as error:
            self.announcements.decisions.record(
                "age_unproved",
                age=round(min(self.freshness.age(), 1e6), 3),
                error=str(error),
            )
            return False
        self.awaited = (found.revision, requested_at)
        self.apply_awaited_proof()
        return True

    def apply_awaited_proof(self) -> None:
        """Record the awaited proof once everything up to its revision is known."""
        if self.awaited is None:
            return
        revision, requested_at = self.awaited
        if revision.epoch < self.keyspace.epoch.current:
            self.awaited = None
        elif self.announcements.mirror.revision >= revision:
            self.freshness.record_proof(requested_at)
            self.awaited = None
