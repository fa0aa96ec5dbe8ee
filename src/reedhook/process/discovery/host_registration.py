"""This host's entry in the store, and those of the others."""

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
"""Seconds after which the entry of a host that is gone vanishes; other hosts
know long before from heartbeats, so that it only tells newcomers."""

RENEWAL_INTERVAL_SECONDS: Final = 15.0
"""Seconds between renewals, each a tenth of a call; three may fail."""

RESPONSE_TIMEOUT_SECONDS: Final = 1.5
"""Seconds for an answer of the store."""

WITHDRAW_TIMEOUT_SECONDS: Final = 0.5
"""Seconds for the last call of a host, which is killed soon."""

RETRY_SECONDS: Final = 0.5
"""Seconds until the next try after a failure."""


class HostRegistration:
    """Announce this host and learn where the others are.

    :param capacity: what this host can bear, in cores.
    :ivar refs: the hosts that announce themselves, by key.
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
        """Announce this host until cancelled."""
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
        """Keep the entry, or write it again if it was taken away.

        :raises KeyValueStoreError: if the store does not do so.
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
        """Take the entry away, as this host ends."""
        if self.lease is None:
            return
        try:
            await self.keyspace.revoke_lease(self.lease, WITHDRAW_TIMEOUT_SECONDS)
        except KeyValueStoreError as error:
            # The lease runs out by itself.
            self.decisions.record("registration_unanswered", error=str(error))

    def handle_item(self, item: Item) -> None:
        """Take note of where a host is, or that it has gone."""
        if not item.key.startswith(HOSTS_KEY_PREFIX):
            return
        ref = read_host(item)
        if ref is None:
            self.refs.pop(item.key, None)
        elif self.refs.get(item.key) != ref:
            self.refs[item.key] = ref
            self.fresh = True

    def pop_new_addresses(self) -> list[str]:
        """Return `addresses` if there are any that were not returned before."""
        fresh, self.fresh = self.fresh, False
        return self.addresses() if fresh else []

    def addresses(self) -> list[str]:
        """Return where the hosts are that announce themselves.

        Those of this zone come first, each part in a random order.
        """
        refs = list(self.refs.values())
        self.random.shuffle(refs)
        refs.sort(key=lambda ref: ref.zone != self.me.zone)
        return [ref.address for ref in refs]


def read_host(item: Item) -> HostRef | None:
    """Return the host of an entry, or None if it is malformed or was deleted."""
    try:
        return HostRef.from_json(decode(item.value or b"")["host"])
    except (WireError, LookupError, TypeError):
        return None
