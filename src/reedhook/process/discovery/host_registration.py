"""Registration of this host in the store, and discovery of the others."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import HostRef
from ...wire import WireError, decode, encode
from .announcements import HOSTS_KEY_PREFIX, Announcements
from .key_value_store import (
    Item,
    KeyValueStore,
    KeyValueStoreError,
    StoreLeaseExpiredError,
)

STORE_LEASE_SECONDS: Final = 60.0
"""Lifetime of the entry of a host that is gone. Running hosts detect its loss earlier
by heartbeats; the entry only serves newly started ones."""

RENEWAL_INTERVAL_SECONDS: Final = 15.0
"""A quarter of STORE_LEASE_SECONDS, so that three renewals may fail."""

RESPONSE_TIMEOUT_SECONDS: Final = 1.5

WITHDRAW_TIMEOUT_SECONDS: Final = 0.5
"""Short, since the host is about to be stopped."""

RETRY_SECONDS: Final = 0.5

REGISTRATION_MIN_SPREAD_SECONDS: Final = 2.0
"""Shortest period over which hosts write their entries again after a restore."""

REGISTRATIONS_PER_SECOND: Final = 100.0
"""Rate that determines a longer period. All hosts learn of a restore within seconds,
while the store serves their other requests."""


class HostRegistration:
    """Announce this host and track the announced addresses of others.

    After a restore of the store, the lease and the entry may be lost, and the lease ID
    may belong to another host. Each host then writes its entry again under a new lease,
    spread over time.

    :param capacity: capacity of this host in cores.
    :param count_hosts: returns the number of live hosts.
    :ivar refs: announced hosts by key.
    :ivar lease_epoch: epoch of the store in which the lease was granted.
    :ivar changed_epoch: set when the epoch of the store has changed.
    :ivar fresh: whether `refs` has changed since `pop_new_addresses` was last called.
    """

    def __init__(
        self,
        me: HostRef,
        capacity: float,
        keyspace: KeyValueStore,
        announcements: Announcements,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        count_hosts: Callable[[], int],
    ) -> None:
        self.me = me
        self.count_hosts = count_hosts
        self.changed_epoch = asyncio.Event()
        self.capacity = capacity
        self.keyspace = keyspace
        self.announcements = announcements
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.key = HOSTS_KEY_PREFIX + me.host
        self.lease: int | None = None
        self.lease_epoch = 0
        self.refs: dict[str, HostRef] = {}
        self.fresh = False
        announcements.on_host_item.append(self.handle_item)
        keyspace.epoch.on_change.append(self.handle_epoch)

    async def run(self) -> None:
        """Keep this host announced until cancelled."""
        while True:
            pause = await self.try_renew() * self.random.uniform(0.8, 1.2)
            self.changed_epoch.clear()
            if not self.is_outdated():
                await self.wait_for_epoch(pause)
            if self.is_outdated():
                self.lease = None
                await self.clock.sleep(self.spread())

    async def try_renew(self) -> float:
        """Renew the entry; return the seconds until the next renewal."""
        try:
            await self.renew()
        except StoreLeaseExpiredError:
            if not self.is_outdated():
                self.lease = None
            return 0.0
        except KeyValueStoreError as error:
            self.decisions.record("registration_unanswered", error=str(error))
            return RETRY_SECONDS
        return RENEWAL_INTERVAL_SECONDS

    def handle_epoch(self, epoch: int) -> None:
        """Wake `run`, so that it writes the entry again."""
        self.changed_epoch.set()

    def is_outdated(self) -> bool:
        """Return whether the lease was granted before a restore of the store."""
        return self.lease is not None and self.lease_epoch < self.keyspace.epoch.current

    async def wait_for_epoch(self, seconds: float) -> None:
        """Wait, at most until the epoch of the store changes."""
        try:
            async with asyncio.timeout(seconds):
                await self.changed_epoch.wait()
        except TimeoutError:
            return

    def spread(self) -> float:
        """Return the time to wait before writing the entry after a restore."""
        period = max(
            REGISTRATION_MIN_SPREAD_SECONDS,
            self.count_hosts() / REGISTRATIONS_PER_SECOND,
        )
        return self.random.uniform(0.0, period)

    async def renew(self) -> None:
        """Renew the lease of the entry, and write the entry if it is missing.

        :raises KeyValueStoreError: if a call to the store fails.
        """
        if self.lease is not None:
            await self.keyspace.renew_lease(self.lease, RESPONSE_TIMEOUT_SECONDS)
            if self.key in self.announcements.host_items:
                return
        if self.lease is None:
            self.lease = await self.keyspace.grant_lease(
                STORE_LEASE_SECONDS, RESPONSE_TIMEOUT_SECONDS
            )
            self.lease_epoch = self.keyspace.epoch.current
        value = encode({"host": self.me.to_json(), "capacity": self.capacity})
        await self.keyspace.put(
            self.key, value, None, RESPONSE_TIMEOUT_SECONDS, self.lease
        )

    async def withdraw(self) -> None:
        """Remove the entry before this host shuts down."""
        if self.lease is None or self.is_outdated():
            return
        try:
            await self.keyspace.revoke_lease(self.lease, WITHDRAW_TIMEOUT_SECONDS)
        except KeyValueStoreError as error:
            # The lease expires by itself.
            self.decisions.record("registration_unanswered", error=str(error))

    def handle_item(self, item: Item) -> None:
        """Apply the announcement of a host, or its deletion."""
        if not item.key.startswith(HOSTS_KEY_PREFIX):
            return
        ref = read_host(item)
        if ref is None:
            self.refs.pop(item.key, None)
        elif self.refs.get(item.key) != ref:
            self.refs[item.key] = ref
            self.fresh = True

    def pop_new_addresses(self) -> list[str]:
        """Return `addresses` if a host was added or changed since the last call."""
        fresh, self.fresh = self.fresh, False
        return self.addresses() if fresh else []

    def addresses(self) -> list[str]:
        """Return the addresses of the announced hosts.

        Hosts of this zone come first; within each group the order is random.
        """
        refs = list(self.refs.values())
        self.random.shuffle(refs)
        refs.sort(key=lambda ref: ref.zone != self.me.zone)
        return [ref.address for ref in refs]


def read_host(item: Item) -> HostRef | None:
    """Return the host of an entry, or None if it is malformed or deleted."""
    try:
        return HostRef.from_json(decode(item.value or b"")["host"])
    except (WireError, LookupError, TypeError):
        return None
