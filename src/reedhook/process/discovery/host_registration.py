"""Registration of this host in the store, and discovery of the others."""

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


class HostRegistration:
    """Announce this host and track the announced addresses of others.

    :param capacity: capacity of this host in cores.
    :ivar refs: announced hosts by key.
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
    ) -> None:
        self.me = me
        self.capacity = capacity
        self.keyspace = keyspace
        self.announcements = announcements
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.key = HOSTS_KEY_PREFIX + me.host
        self.lease: int | None = None
        self.refs: dict[str, HostRef] = {}
        self.fresh = False
        announcements.on_host_item.append(self.handle_item)

    async def run(self) -> None:
        """Keep this host announced until cancelled."""
        while True:
            try:
                await self.renew()
                pause = RENEWAL_INTERVAL_SECONDS
            except StoreLeaseExpiredError:
                self.lease = None
                pause = 0.0
            except KeyValueStoreError as error:
                self.decisions.record("registration_unanswered", error=str(error))
                pause = RETRY_SECONDS
            await self.clock.sleep(pause * self.random.uniform(0.8, 1.2))

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
        value = encode({"host": self.me.to_json(), "capacity": self.capacity})
        await self.keyspace.put(
            self.key, value, None, RESPONSE_TIMEOUT_SECONDS, self.lease
        )

    async def withdraw(self) -> None:
        """Remove the entry before this host shuts down."""
        if self.lease is None:
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
