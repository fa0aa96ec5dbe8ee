"""Stand-in of the platform's key-value service."""

import asyncio
from base64 import b64decode, b64encode
from collections import Counter, deque
from random import Random
from typing import Final

from reedhook.clock import Clock, SystemClock
from reedhook.record import Record
from reedhook.wire import Json

from .service import AnswerLost, Service, ServiceConnection, ServiceRefusal

MAX_VALUE: Final = 1_000_000
OLD_REVISIONS: Final = 16


class StoredValue(Record):
    """Represent one revision of a key; a value of None is a deletion."""

    __slots__ = ("value", "revision", "lease")

    def __init__(self, value: bytes | None, revision: int, lease: int | None) -> None:
        self.value = value
        self.revision = revision
        self.lease = lease


class Lease:
    """Represent a lease; it expires at `expires`, clock time in seconds."""

    __slots__ = ("ttl", "expires")

    def __init__(self, ttl: float, expires: float) -> None:
        self.ttl = ttl
        self.expires = expires


class StoreStandin(Service):
    """Serve keys with revisions, compare-and-swap, watches and leases.

    Tests inject faults through attributes, at any time.

    :ivar calls: calls by kind; a waiting watch counts as one.
    :ivar slow: seconds that each call takes.
    :ivar lose_answers: how many of the next changes take effect without an answer.
    :ivar lose_chance: probability that a change is not answered.
    :ivar stale_reads: how many revisions a get lags behind.
    """

    def __init__(
        self, clock: Clock | None = None, random: Random | None = None
    ) -> None:
        super().__init__()
        self.clock = clock or SystemClock()
        self.random = random or Random(0)
        self.keys: dict[str, deque[StoredValue]] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 0
        self.calls: Counter[str] = Counter()
        self.changed = asyncio.Event()
        self.watching: set[ServiceConnection] = set()
        self.is_down = False
        self.slow = 0.0
        self.lose_answers = 0
        self.lose_chance = 0.0
        self.stale_reads = 0
        self.sweeps: set[asyncio.Task[None]] = set()

    @property
    def down(self) -> bool:
        """Return whether calls end without an answer and without effect."""
        return self.is_down

    @down.setter
    def down(self, down: bool) -> None:
        self.is_down = down
        if down:
            self.drop_watches()

    def drop_watches(self) -> None:
        """Break all waiting watches."""
        for connection in self.watching:
            connection.abort()

    async def close(self) -> None:
        """Stop serving."""
        self.hang_up()
        for sweep in self.sweeps:
            sweep.cancel()

    async def serve(
        self, connection: ServiceConnection, name: str, message: Json
    ) -> Json:
        self.calls[name] += 1
        if self.slow:
            await self.clock.sleep(self.slow)
        if self.down:
            raise AnswerLost
        self.lapse()
        if name == "get":
            return entry_json(message["key"], self.read(message["key"]))
        if name == "watch":
            return await self.watch(connection, message)
        answer = self.change(name, message)
        if self.loses_answer():
            raise AnswerLost
        return answer

    def read(self, key: str) -> StoredValue | None:
        """Return the value of `key`, an older one while reads are stale."""
        history = self.keys.get(key)
        if not history:
            return None
        index = max(0, len(history) - 1 - self.stale_reads)
        return history[index]

    def newest(self, key: str) -> StoredValue | None:
        """Return the current value of `key`, or None if it is absent."""
        history = self.keys.get(key)
        if not history or history[-1].value is None:
            return None
        return history[-1]

    async def watch(self, connection: ServiceConnection, message: Json) -> Json:
        """Wait until the revision of a key exceeds a known one."""
        key = message["key"]
        known_revision = message["revision"]
        self.watching.add(connection)
        try:
            async with asyncio.timeout(message["hold"]):
                while True:
                    entry = self.newest(key)
                    if entry is not None and entry.revision > known_revision:
                        return entry_json(key, entry)
                    await self.changed.wait()
        except TimeoutError:
            return entry_json(key, None)
        finally:
            self.watching.discard(connection)

    def change(self, name: str, message: Json) -> Json:
        """Execute a call that changes something."""
        if name == "put":
            return self.put(message)
        if name == "delete":
            return self.delete(message)
        if name == "grant":
            return self.grant(float(message["ttl"]))
        if name == "keep_alive":
            return self.keep_alive(message["lease"])
        raise ServiceRefusal("bad_request", f"unknown call {name}", 404)

    def put(self, message: Json) -> Json:
        """Replace a value if the key has the expected revision."""
        value = b64decode(message["value"], validate=True)
        lease = message.get("lease")
        if len(value) > MAX_VALUE:
            raise ServiceRefusal("too_large", "the value exceeds a megabyte", 413)
        if lease is not None and lease not in self.leases:
            raise ServiceRefusal("no_lease", "the lease has lapsed", 410)
        self.expect(message["key"], message["expected"])
        return entry_json(message["key"], self.append(message["key"], value, lease))

    def delete(self, message: Json) -> Json:
        """Delete a key if it has the expected revision."""
        self.expect(message["key"], message["expected"])
        self.append(message["key"], None, None)
        return {}

    def expect(self, key: str, expected: int) -> None:
        """Refuse unless the key has the revision `expected`; 0 is absent."""
        entry = self.newest(key)
        revision = entry.revision if entry else 0
        if revision != expected:
            detail = f"{key} has revision {revision}, not {expected}"
            raise ServiceRefusal("conflict", detail)

    def append(self, key: str, value: bytes | None, lease: int | None) -> StoredValue:
        """Append a revision of `key` and wake the watches."""
        self.revision += 1
        entry = StoredValue(value, self.revision, lease)
        self.keys.setdefault(key, deque(maxlen=OLD_REVISIONS)).append(entry)
        self.changed.set()
        self.changed = asyncio.Event()
        return entry

    def grant(self, ttl: float) -> Json:
        """Grant a lease of `ttl` seconds."""
        self.revision += 1
        lease = Lease(ttl, self.clock.monotonic() + ttl)
        self.leases[self.revision] = lease
        sweep = asyncio.create_task(self.sweep(self.revision, lease))
        self.sweeps.add(sweep)
        sweep.add_done_callback(self.sweeps.discard)
        return {"lease": self.revision, "ttl": ttl}

    def keep_alive(self, number: int) -> Json:
        """Renew an active lease."""
        lease = self.leases.get(number)
        if lease is None:
            raise ServiceRefusal("no_lease", "the lease has lapsed", 410)
        lease.expires = self.clock.monotonic() + lease.ttl
        return {"lease": number, "ttl": lease.ttl}

    async def sweep(self, number: int, lease: Lease) -> None:
        """Expire one lease when its time has come."""
        while number in self.leases:
            await self.clock.sleep(max(0.001, lease.expires - self.clock.monotonic()))
            self.lapse()

    def lapse(self) -> None:
        """Delete the keys of expired leases."""
        now = self.clock.monotonic()
        lapsed = [name for name, lease in self.leases.items() if lease.expires <= now]
        for number in lapsed:
            del self.leases[number]
            for key in list(self.keys):
                entry = self.newest(key)
                if entry is not None and entry.lease == number:
                    self.append(key, None, None)

    def loses_answer(self) -> bool:
        """Return whether the answer to this change is lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.random.random() < self.lose_chance


def entry_json(key: str, entry: StoredValue | None) -> Json:
    """Encode an entry for the wire; an absent one is null."""
    if entry is None or entry.value is None:
        return {"entry": None}
    value = b64encode(entry.value).decode()
    return {"entry": {"key": key, "value": value, "revision": entry.revision}}
