"""An in-memory store shared by the hosts of a test, with faults for each host.

store = FakeStore()
keyspace = store.client("h1")
store.silent.add("h1")       # calls of h1 get no answer
store.declining.add("h2")    # calls of h2 are refused
store.losing.add("h3")       # writes of h3 take effect without an answer
store.delay["h4"] = 0.24     # calls of h4 take that long
store.late["h5"] = 3.0       # writes of h5 take effect later, unanswered
store.held["h6"] = 2.0       # answers to h6 arrive that much later
store.save()                 # keep a copy
store.restore(2.0)           # return to the newest copy that is 2 s old or older
"""

import asyncio

from reedhook.decision_log import DecisionLog
from reedhook.metrics import MemoryMetrics
from reedhook.process.discovery.key_value_store import (
    HistoryCompactedError,
    Item,
    Items,
    KeyValueStore,
    RevisionConflictError,
    StoreLeaseExpiredError,
    StoreRejectedError,
    StoreUnansweredError,
)
from reedhook.process.discovery.store_epoch import StoreEpoch
from reedhook.process.discovery.store_revision import NO_REVISION, StoreRevision

from .fakes_clock import LoopClock


class StoreCopy:
    """Hold the state of a store at one moment."""

    def __init__(self, store: "FakeStore", saved_at: float) -> None:
        self.saved_at = saved_at
        self.revision = store.revision
        self.forgotten = store.forgotten
        self.items = dict(store.items)
        self.leases = {lease: set(keys) for lease, keys in store.leases.items()}
        self.history = list(store.history)


class FakeStore:
    """Store the keys; all hosts see changes at once.

    :ivar epoch: number of restores, which every answer states.
    :ivar copies: saved states, the oldest first.
    :ivar history: all changes; `forget` drops them.
    :ivar calls: answered and unanswered calls by method.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.epoch = 0
        self.granted = 1000
        self.copies: list[StoreCopy] = []
        self.items: dict[str, Item] = {}
        self.leases: dict[int, set[str]] = {}
        self.history: list[Item] = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.watches = 0
        self.silent: set[str] = set()
        self.declining: set[str] = set()
        self.losing: set[str] = set()
        self.delay: dict[str, float] = {}
        self.late: dict[str, float] = {}
        self.held: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls: list[str] = []

    def client(self, host: str, epoch: StoreEpoch | None = None) -> "FakeKeyspace":
        """Return the keyspace client of one host, which learns `epoch`."""
        return FakeKeyspace(self, host, epoch or unlogged_epoch(host))

    def at(self) -> StoreRevision:
        """Return the revision of the whole store."""
        return StoreRevision(self.epoch, self.revision)

    def save(self) -> None:
        """Keep a copy of the present state."""
        self.copies.append(StoreCopy(self, asyncio.get_running_loop().time()))

    def restore(self, seconds_ago: float) -> None:
        """Return to the newest copy of at least `seconds_ago` ago."""
        limit = asyncio.get_running_loop().time() - seconds_ago
        copy = [one for one in self.copies if one.saved_at <= limit][-1]
        self.revision, self.forgotten = copy.revision, copy.forgotten
        self.items, self.history = dict(copy.items), list(copy.history)
        self.leases = {lease: set(keys) for lease, keys in copy.leases.items()}
        self.granted = max(self.leases, default=1000)
        self.copies = [one for one in self.copies if one.saved_at <= copy.saved_at]
        self.epoch += 1
        self.wake()

    def write(self, key: str, value: bytes | None, lease: int = 0) -> StoreRevision:
        """Change a key as the platform itself does; None deletes it."""
        self.revision += 1
        item = Item(key, value, self.at())
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
            for keys in self.leases.values():
                keys.discard(key)
            if lease:
                self.leases[lease].add(key)
        self.history.append(item)
        self.wake()
        return self.at()

    def wake(self) -> None:
        """Wake the pending long polls for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(
        self, key: str, value: bytes, expected: StoreRevision | None, lease: int
    ) -> StoreRevision:
        """Write conditionally.

        :raises RevisionConflictError: if the key is at another revision.
        """
        known = self.items.get(key)
        revision = NO_REVISION if known is None else known.revision
        if expected is not None and expected.number != revision.number:
            raise RevisionConflictError(f"{key} is at {revision}")
        if lease and lease not in self.leases:
            raise StoreLeaseExpiredError(str(lease))
        return self.write(key, value, lease)

    def forget(self) -> None:
        """Drop the change history."""
        self.history.clear()
        self.forgotten = self.revision

    def deafen(self) -> None:
        """Leave the pending long polls for changes without an answer."""
        self.watches += 1

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        for key in self.leases.pop(lease, set()):
            if key in self.items:
                self.write(key, None)

    def delay_of_write(self, host: str, key: str, value: bytes) -> float | None:
        """Return after how long a write takes effect unanswered; None: at once."""
        return self.late.get(host)

    def put_later(
        self, key: str, value: bytes, expected: StoreRevision | None, s: float
    ) -> None:
        """Write after `s` seconds if the condition holds then."""

        async def put() -> None:
            await asyncio.sleep(s)
            try:
                self.put(key, value, expected, 0)
            except RevisionConflictError:
                return

        task = asyncio.get_running_loop().create_task(put())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class FakeKeyspace(KeyValueStore):
    """Access a `FakeStore` as one host does."""

    def __init__(self, store: FakeStore, host: str, epoch: StoreEpoch) -> None:
        super().__init__(epoch)
        self.store = store
        self.host = host

    async def reach(self, method: str, timeout: float) -> None:
        """Simulate the request; raises according to the faults of the host."""
        self.store.calls.append(method)
        if self.host in self.store.silent:
            await asyncio.sleep(timeout)
            raise StoreUnansweredError("silent")
        delay = self.store.delay.get(self.host, 0.004)
        if delay > timeout:
            await asyncio.sleep(timeout)
            raise StoreUnansweredError("slow")
        await asyncio.sleep(delay)
        if self.host in self.store.declining:
            raise StoreRejectedError("busy")

    async def arrive(self, epoch: int) -> None:
        """Deliver an answer that the store gave in an epoch."""
        held = self.store.held.get(self.host, 0.0)
        if held:
            await asyncio.sleep(held)
        self.receive_epoch(epoch)

    async def get(self, key: str, timeout: float) -> Item | None:
        await self.reach("get", timeout)
        epoch, item = self.store.epoch, self.store.items.get(key)
        await self.arrive(epoch)
        return None if item is None else stamped(item, epoch)

    async def list(self, prefix: str, timeout: float) -> Items:
        await self.reach("list", timeout)
        at = self.store.at()
        items = [
            stamped(item, at.epoch)
            for key, item in self.store.items.items()
            if key.startswith(prefix)
        ]
        await self.arrive(at.epoch)
        return Items(items, at)

    async def changes(
        self, prefix: str, after: StoreRevision, hold: float, margin: float
    ) -> Items:
        await self.reach("changes", hold + margin)
        deadline = asyncio.get_running_loop().time() + hold
        watches = self.store.watches
        while True:
            if not self.store.forgotten <= after.number <= self.store.revision:
                await self.arrive(self.store.epoch)
                raise HistoryCompactedError("forgotten")
            found = [
                stamped(item, self.store.epoch)
                for item in self.store.history
                if item.revision.number > after.number and item.key.startswith(prefix)
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if found or remaining <= 0.0:
                break
            try:
                async with asyncio.timeout(remaining):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        if self.host in self.store.silent or watches != self.store.watches:
            remaining_with_margin = (
                deadline + margin - asyncio.get_running_loop().time()
            )
            await asyncio.sleep(max(remaining_with_margin, 0.0))
            raise StoreUnansweredError("silent")
        at = self.store.at()
        await self.arrive(at.epoch)
        if at.epoch != after.epoch:
            raise HistoryCompactedError(f"{after} is of another epoch")
        return Items(found, at)

    async def put(
        self,
        key: str,
        value: bytes,
        expected: StoreRevision | None,
        timeout: float,
        lease: int = 0,
    ) -> StoreRevision:
        self.check_condition(key, expected)
        await self.reach("put", timeout)
        later = self.store.delay_of_write(self.host, key, value)
        if later is not None:
            self.store.put_later(key, value, expected, later)
            await asyncio.sleep(timeout)
            raise StoreUnansweredError("late")
        epoch = self.store.epoch
        try:
            revision = self.store.put(key, value, expected, lease)
        finally:
            await self.arrive(epoch)
        if self.host in self.store.losing:
            await asyncio.sleep(timeout)
            raise StoreUnansweredError("the answer is lost")
        return revision

    async def grant_lease(self, seconds: float, timeout: float) -> int:
        await self.reach("grant", timeout)
        self.store.granted += 1
        lease, epoch = self.store.granted, self.store.epoch
        self.store.leases[lease] = set()
        await self.arrive(epoch)
        return lease

    async def renew_lease(self, lease: int, timeout: float) -> None:
        await self.reach("keep", timeout)
        known = lease in self.store.leases
        await self.arrive(self.store.epoch)
        if not known:
            raise StoreLeaseExpiredError(str(lease))

    async def revoke_lease(self, lease: int, timeout: float) -> None:
        await self.reach("end", timeout)
        self.store.end_lease(lease)
        await self.arrive(self.store.epoch)

    async def close(self) -> None:
        return


def unlogged_epoch(host: str) -> StoreEpoch:
    """Return the epoch of a host whose log and metrics no test reads."""
    return StoreEpoch(DecisionLog(host, LoopClock(), output_fd=None), MemoryMetrics())


def stamped(item: Item, epoch: int) -> Item:
    """Return an item as an answer of an epoch carries it."""
    return Item(item.key, item.value, StoreRevision(epoch, item.revision.number))
