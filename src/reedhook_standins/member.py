"""Stand-in of one database group member, on a TCP port of its own."""

import asyncio
from collections import Counter
from enum import IntEnum
from typing import TYPE_CHECKING, Final

from reedhook.clock import Clock
from reedhook.connection.target import MemberState
from reedhook.wire import Json

from .calls import TargetCallHandler
from .replicated import ReplicatedState
from .replication import SLICE, Replication
from .service import AnswerLost, Service, ServiceConnection, ServiceRefusal

if TYPE_CHECKING:
    from .group import GroupStandin

STATEMENT_TIME: Final = 0.002
SETUP_TIME: Final = 0.010
IDLE_LIMIT: Final = 10.0
IDLE_CHECK: Final = 0.05
LEAVE_GRACE: Final = 3.0
NEW_WORK: Final = frozenset(("read", "write", "begin"))


class Cut(IntEnum):
    """Enumerate what happens to messages between a client and a member."""

    NONE = 0
    REFUSE = 1
    HANG = 2


class MemberStandin(Service):
    """Serve statements on the rows of one member.

    Tests inject faults through attributes, at any time, and through the methods
    `pause`, `resume`, `kill`, `revive`, `leave` and `silence_connections`.

    :ivar ship_lag: seconds until a replica holds an entry.
    :ivar apply_lag: further seconds until its reads see it.
    :ivar statement_time: seconds that a statement occupies a slot.
    :ivar setup_time: seconds that opening a connection takes.
    :ivar idle_limit: seconds after which an idle transaction is rolled back.
    :ivar linger: seconds for which a connection still counts as open when its client
        closed it while it was silent or cut.
    :ivar cut: what happens to messages of all clients.
    :ivar cuts: what happens to messages of single clients, by name.
    :ivar received: requests received, by name.
    :ivar late_work: new work received, and refused, more than `LEAVE_GRACE` seconds
        after `leave`.
    :ivar open_connections: connections open now.
    :ivar peak_connections: maximum of connections open at once.
    """

    def __init__(
        self,
        group: "GroupStandin",
        name: str,
        clock: Clock,
        connections: int,
        slots: int,
        port: int = 0,
    ) -> None:
        super().__init__()
        self.group = group
        self.name = name
        self.clock = clock
        self.port = port
        self.limit = connections
        self.state = ReplicatedState(name, clock, self.bump, group.written)
        self.replication = Replication(self)
        self.slots = asyncio.Semaphore(slots)
        self.writing = asyncio.Lock()
        self.running = asyncio.Event()
        self.changed = asyncio.Event()
        self.dead = True
        self.starts = 0
        self.left: float | None = None
        self.ship_lag = 0.0
        self.apply_lag = 0.0
        self.statement_time = STATEMENT_TIME
        self.setup_time = SETUP_TIME
        self.idle_limit = IDLE_LIMIT
        self.linger = 0.0
        self.cut = Cut.NONE
        self.cuts: dict[str, Cut] = {}
        self.received: Counter[str] = Counter()
        self.late_work = 0
        self.open_connections = 0
        self.peak_connections = 0
        self.revision = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.calls = TargetCallHandler(self)

    @property
    def runs(self) -> bool:
        """Return whether the member is neither dead nor paused."""
        return self.running.is_set()

    async def revive(self) -> None:
        """Start with the durable state of earlier runs."""
        self.dead = False
        self.starts += 1
        self.running.set()
        await self.listen()
        loops = (self.replication.ship(), self.replication.apply(), self.expire())
        self.tasks = [asyncio.create_task(loop) for loop in loops]
        self.group.poke()

    async def kill(self) -> None:
        """Stop at once; durable state stays, open transactions are lost."""
        self.dead = True
        self.running.clear()
        self.hang_up()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []

    def pause(self) -> None:
        """Pause as SIGSTOP does; connections stay open."""
        self.running.clear()

    def resume(self) -> None:
        """Continue after `pause`."""
        if not self.dead:
            self.running.set()
            self.group.poke()

    def leave(self) -> None:
        """Refuse new work from `LEAVE_GRACE` seconds on."""
        self.left = self.clock.monotonic()

    def silence_connections(self) -> None:
        """Make the connections open now stop answering; new ones work."""
        for connection in self.connections.values():
            connection.silent = True

    def opened(self, connection: ServiceConnection) -> None:
        if self.open_connections >= self.limit:
            connection.admitted = False
            return
        self.open_connections += 1
        self.peak_connections = max(self.peak_connections, self.open_connections)
        self.bump()

    def ended(self, connection: ServiceConnection) -> None:
        if not connection.admitted:
            return
        undetected = connection.silent or self.cut_of(connection) is Cut.HANG
        if undetected and self.linger and not self.dead:
            loop = asyncio.get_running_loop()
            loop.call_later(self.linger, self.release, connection)
            return
        self.release(connection)

    def release(self, connection: ServiceConnection) -> None:
        """Forget a connection and roll back its transaction."""
        self.open_connections -= 1
        self.end_transaction(connection)
        self.bump()

    def bump(self) -> None:
        """Increment the state revision and wake its waiters."""
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, connection: ServiceConnection, name: str, message: Json
    ) -> Json:
        await self.pass_faults(connection)
        handler = self.calls.handlers.get(name)
        if handler is None:
            raise ServiceRefusal("bad_request", f"unknown call {name}", 404)
        self.received[name] += 1
        try:
            await self.greet(connection, message)
            self.refuse_late(name)
            answer = await handler(connection, message)
        except ServiceRefusal:
            await self.pass_faults(connection)
            raise
        await self.pass_faults(connection)
        return answer

    async def pass_faults(self, connection: ServiceConnection) -> None:
        """Return once a message may pass between the client and the member.

        :raises AnswerLost: if it never may.
        """
        while True:
            cut = self.cut_of(connection)
            if cut is Cut.REFUSE or self.dead:
                raise AnswerLost
            if connection.silent:
                await connection.closed.wait()
            if connection.closed.is_set():
                raise AnswerLost
            if cut is Cut.HANG:
                await connection.wait_closed(SLICE)
                continue
            if self.runs:
                return
            await self.running.wait()

    def cut_of(self, connection: ServiceConnection) -> Cut:
        """Return the more severe of the cuts that apply to a connection."""
        return max(self.cut, self.cuts.get(connection.client, Cut.NONE))

    async def greet(self, connection: ServiceConnection, message: Json) -> None:
        """Set a connection up on its first request."""
        if not connection.admitted:
            detail = f"{self.name} accepts {self.limit} connections"
            raise ServiceRefusal("full", detail, 429)
        if connection.greeted:
            return
        connection.client = str(message.get("client", ""))
        await self.clock.sleep(self.setup_time)
        connection.greeted = True
        await self.pass_faults(connection)

    def refuse_late(self, name: str) -> None:
        """Refuse new work more than `LEAVE_GRACE` seconds after `leave`."""
        if self.left is None or name not in NEW_WORK:
            return
        if self.clock.monotonic() - self.left > LEAVE_GRACE:
            self.late_work += 1
            raise ServiceRefusal("leaving", f"{self.name} is leaving")

    def report(self) -> MemberState:
        """Return the state that the member reports."""
        return MemberState(
            member=self.name,
            role=self.state.role,
            promised=self.state.promised,
            leader_term=self.state.leader_term,
            held=self.state.held,
            applied=self.state.visible,
            connections=self.open_connections,
            revision=self.revision,
        )

    async def lock(self, timeout: float) -> None:
        """Acquire the single write lock, in bounded time."""
        try:
            async with asyncio.timeout(timeout):
                await self.writing.acquire()
        except TimeoutError:
            raise busy() from None

    async def occupy(self, timeout: float) -> None:
        """Hold a slot for the duration of a statement; nothing runs before."""
        start = self.starts
        try:
            async with asyncio.timeout(timeout):
                await self.slots.acquire()
        except TimeoutError:
            raise busy() from None
        try:
            await self.clock.sleep(self.statement_time)
            await self.running.wait()
        finally:
            self.slots.release()
        if self.starts != start:
            raise AnswerLost

    def terms_moved(self) -> Json:
        """Roll back transactions of a former term and return the state."""
        for connection in self.connections.values():
            transaction = connection.transaction
            if transaction is not None and transaction.term != self.state.promised:
                self.end_transaction(connection)
        self.group.poke()
        return self.report().to_json()

    def end_transaction(self, connection: ServiceConnection) -> None:
        """Forget the transaction of a connection, if one is open."""
        if connection.transaction is not None:
            connection.transaction = None
            self.writing.release()

    async def expire(self) -> None:
        """Roll back transactions that are idle for too long."""
        while True:
            await self.clock.sleep(IDLE_CHECK)
            oldest = self.clock.monotonic() - self.idle_limit
            for connection in self.connections.values():
                transaction = connection.transaction
                if transaction is not None and transaction.active < oldest:
                    self.end_transaction(connection)


def busy() -> ServiceRefusal:
    """Return the refusal of a statement that timed out in the queue."""
    return ServiceRefusal("busy", "no slot or lock came free in time", 429)
