"""A session world whose store applies chosen writes of a lease record late.

world = LateWriteWorld()
await world.start()
world.make_late(names_successor, 3.0)   # the next such write is done 3 s later
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from reedhook.connection.session_target import StatementFault
from reedhook.process.session_host import SessionHost
from reedhook.request.refusal import RefusalError
from reedhook.request.session_command import SessionCommandKind
from reedhook.wire import Json, decode

from .session_world import SessionWorld

LEASE_KEY: Final = "reedhook/lead/db"
CALLER_INTERVAL_SECONDS: Final = 0.2
COMMIT_SPACING_SECONDS: Final = 0.02
PAUSE_SECONDS: Final = 6.0


def names_successor(record: Json) -> bool:
    """Return whether a lease record names a successor."""
    return bool(record["successor"])


def names_other_backup_holder(host: str) -> Callable[[Json], bool]:
    """Return a condition: a lease record names another backup holder than `host`."""
    return lambda record: bool(record["deputy"]) and record["deputy"]["ref"][0] != host


class LateWriteWorld(SessionWorld):
    """Run hosts whose next write of a chosen lease record takes effect late.

    :ivar late_count: number of writes that were made late.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.tasks: list[asyncio.Task[Any]] = []
        self.writer = ""
        self.chosen: Callable[[Json], bool] | None = None
        self.late_seconds = 0.0
        self.late_count = 0
        self.store.delay_of_write = self.delay_of_write  # type: ignore[method-assign]

    def make_late(
        self, chosen: Callable[[Json], bool], seconds: float, count: int = 1
    ) -> None:
        """Apply the next `count` chosen writes of the holder late, unanswered."""
        self.writer = self.leader().me.host
        self.chosen, self.late_seconds, self.late_left = chosen, seconds, count

    def delay_of_write(self, host: str, key: str, value: bytes) -> float | None:
        """Return the delay of a write that takes effect late, or None."""
        if key != LEASE_KEY or host != self.writer or self.chosen is None:
            return None
        if not self.chosen(decode(value)):
            return None
        self.late_count += 1
        self.late_left -= 1
        if not self.late_left:
            self.chosen = None
        return self.late_seconds

    def record(self) -> Json:
        """Return the stored lease record."""
        return decode(self.store.items[LEASE_KEY].value or b"")

    async def until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait for a condition; return whether it holds in time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while not condition() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.005)
        return condition()

    def spawn(self, work: Coroutine[Any, Any, object]) -> None:
        """Run `work` until the end of the test."""
        self.tasks.append(asyncio.create_task(work))

    async def commit_at(self, host: str, at: Callable[[], bool], after: float) -> None:
        """Write in a transaction; commit it `after` seconds after a condition."""
        caller = await self.caller(host, "tickets")
        await caller.run(SessionCommandKind.BEGIN)
        reply = await caller.write()
        if reply.refusal is not None or reply.fault is not StatementFault.NONE:
            return
        while not at():
            await asyncio.sleep(0.005)
        await asyncio.sleep(after)
        await caller.run(SessionCommandKind.COMMIT)

    async def keep_calling(self, host: str, database: str) -> None:
        """Write and read on a route until cancelled; each answer is checked."""
        while True:
            await asyncio.sleep(CALLER_INTERVAL_SECONDS)
            if host not in self.hosts:
                continue
            try:
                caller = await self.caller(host, database)
                if database == "tickets":
                    await caller.write()
                await caller.read()
            except RefusalError:
                continue

    def end_host(self, host: SessionHost, how: str) -> None:
        """End a host: `drained`, `killed`, or `paused` for a while."""
        name = host.me.host
        if how == "drained":
            self.spawn(host.drain())
        elif how == "killed":
            self.spawn(self.kill(name))
        else:
            self.network.pause(name)
            loop = asyncio.get_running_loop()
            loop.call_later(PAUSE_SECONDS, self.network.resume, name)

    async def end(self) -> None:
        """Stop the callers, check the guarantees and end all hosts."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.check()
        await self.stop()
