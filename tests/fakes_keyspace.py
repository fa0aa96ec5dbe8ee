"""An in-memory store shared by the hosts of a test, with faults for each host.

store = FakeStore()
keyspace = store.client("h1")
store.silent.add("h1")       # calls of h1 get no answer
store.declining.add("h2")    # calls of h2 are refused
store.losing.add("h3")       # writes of h3 take effect without an answer
store.delay["h4"] = 0.24     # calls of h4 take that long
store.late["h5"] = 3.0       # writes of h5 take effect later, unanswered
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


class FakeStore:
    """Store the keys; all hosts see changes at once.

    :ivar history: all changes; `forget` drops them.
    :ivar calls: answered and unanswered calls by method.
    """

    def __init__(self) -> None:
        self.revision = 1
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
        self.tasks: set[asyncio.Task[None]] = set()
        self.calls: list[str] = []

    def client(self, host: str, epoch: StoreEpoch | None = None) -> "FakeKeyspace":
        """Return the keyspace client of one host, which learns `epoch`."""
        return FakeKeyspace(self, host, epoch or unlogged_epoch(host))

    def at(self) -> StoreRevision:
        """Return the revision of the whole store."""
        return StoreRevision(0, self.revision)

    def write(self, key: str, value: bytes | None, lease: int = 0) -> StoreRevision:
        """Change a key as the platform itself does; None deletes it."""
        self.revision += 1
        item = Item(key, value, self.at())
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
            if lease:
                self.leases[lease].add(key)
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.at()

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

    async def get(self, key: str, timeout: float) -> Item | None:
        await self.reach("get", timeout)
        return self.store.items.get(key)

    async def list(self, prefix: str, timeout: float) -> Items:
        await self.reach("list", timeout)
        items = [
            item for key, item in self.store.items.items() if key.startswith(prefix)
        ]
        return Items(items, self.store.at())

    async def changes(
        self, prefix: str, after: StoreRevision, hold: float, margin: float
    ) -> Items:
        await self.reach("changes", hold + margin)
        if after.number < self.store.forgotten:
            raise HistoryCompactedError("forgotten")
        deadline = asyncio.get_running_loop().time() + hold
        watches = self.store.watches
        while True:
            found = [
                item
                for item in self.store.history
                if item.revision > after and item.key.startswith(prefix)
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
        return Items(found, self.store.at())

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
        later = self.store.late.get(self.host)
        if later is not None:
            self.store.put_later(key, value, expected, later)
            await asyncio.sleep(timeout)
            raise StoreUnansweredError("late")
        revision = self.store.put(key, value, expected, lease)
        if self.host in self.store.losing:
            await asyncio.sleep(timeout)
            raise StoreUnansweredError("the answer is lost")
        return revision

    async def grant_lease(self, seconds: float, timeout: float) -> int:
        await self.reach("grant", timeout)
        lease = len(self.store.leases) + self.store.revision + 1000
        self.store.leases[lease] = set()
        return lease

    async def renew_lease(self, lease: int, timeout: float) -> None:
        await self.reach("keep", timeout)
        if lease not in self.store.leases:
            raise StoreLeaseExpiredError(str(lease))

    async def revoke_lease(self, lease: int, timeout: float) -> None:
        await self.reach("end", timeout)
        self.store.end_lease(lease)

    async def close(self) -> None:
        return


def unlogged_epoch(host: str) -> StoreEpoch:
    """Return the epoch of a host whose log and metrics no test reads."""
    return StoreEpoch(DecisionLog(host, LoopClock(), output_fd=None), MemoryMetrics())
