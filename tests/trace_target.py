"""Fault-injecting connections from real homes to the members of a fake group.

`FakeMember` has terms, promises, logs and lag; this module adds connections, slots,
transactions, silence and lost answers.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, TypeVar

from reedhook.connection.target import (
    MemberState,
    Role,
    Target,
    TargetConnection,
    TargetFactory,
    TargetFullError,
    TargetNoReplyError,
    TargetRefusedError,
    TargetResult,
    TargetUnreachableError,
)

from .fakes_group import FakeMember, wait_for
from .fakes_peers import FakeNetwork

T = TypeVar("T")

CONNECT: Final = 0.01
HOP: Final = 0.0003
SERVICE: Final = 0.002
BETWEEN: Final = "|"


class TraceMember:
    """Serve connections to one member.

    :param network: pauses hosts; an answer to a paused one waits.
    :ivar unreachable: hosts that cannot reach the member.
    :ivar lose_answers: number of coming writes and commits whose answers are lost.
    :ivar effects: when each row was written at this member, in loop time.
    :ivar served: when the last statement came, in loop time.
    :ivar faults: uses of a connection that mix transactions.
    """

    def __init__(
        self, member: FakeMember, network: FakeNetwork, slots: int, limit: int
    ) -> None:
        self.member = member
        self.network = network
        self.limit = limit
        self.slots = asyncio.Semaphore(slots)
        self.connections: set["TraceConnection"] = set()
        self.unreachable: set[str] = set()
        self.lose_answers = 0
        self.service = SERVICE
        self.effects: list[tuple[str, float]] = []
        self.served = 0.0
        self.faults: list[str] = []

    def reaches(self, host: str) -> bool:
        return not self.member.down and host not in self.unreachable

    def state(self) -> MemberState:
        state = self.member.state()
        state.connections = len(self.connections)
        return state

    def silence(self) -> None:
        """Make all open connections silent for good; new ones work."""
        for connection in self.connections:
            connection.silent = True

    def kill(self) -> None:
        """Stop the member; its log is kept, open transactions are lost."""
        self.member.down = True
        self.end(list(self.connections))

    def host_died(self, host: str) -> None:
        """Handle the death of a host process: roll back its transactions."""
        self.end(
            [connection for connection in self.connections if connection.host == host]
        )

    def end(self, connections: list["TraceConnection"]) -> None:
        for connection in connections:
            connection.silent = True
            connection.pending = None
            self.connections.discard(connection)

    def knows(self, request_id: str | None) -> bool:
        """Return whether a request has run here."""
        return any(
            request_id is not None and entry.request_id == request_id
            for entry in self.member.log
        )

    def write(self, rows: list[str], request_id: str | None) -> TargetResult:
        position, repeated = self.member.write(BETWEEN.join(rows), request_id)
        if not repeated:
            now = asyncio.get_running_loop().time()
            self.effects += [(row, now) for row in rows]
        result = self.result()
        result.position, result.repeated = position, repeated
        return result

    def result(self, mark: str = "") -> TargetResult:
        """Return the visible rows and the mark of the request."""
        member = self.member
        shown = member.log[: member.applied_count]
        return TargetResult(
            [mark],
            [[row] for entry in shown for row in entry.value.split(BETWEEN)],
            0,
            member.applied,
            member.leader_term,
            member.role,
        )


class TraceConnection(TargetConnection):
    """Represent one connection of a host.

    :ivar pending: rows of the open transaction, or None.
    :ivar begun: the term in which it was opened.
    """

    def __init__(self, server: TraceMember, host: str) -> None:
        self.server = server
        self.host = host
        self.silent = False
        self.busy = False
        self.pending: list[str] | None = None
        self.request_id: str | None = None
        self.begun = 0

    async def read(self, sql: str, params: list[Any], timeout: float) -> TargetResult:
        self.alone("read")
        return await self.ask(lambda: self.server.result(sql), timeout, True)

    async def write(
        self, sql: str, params: list[Any], request_id: str | None, timeout: float
    ) -> TargetResult:
        self.alone("write")
        return await self.change(lambda: self.server.write([sql], request_id), timeout)

    async def begin(self, request_id: str | None, timeout: float) -> TargetResult:
        self.alone("begin")

        def effect() -> TargetResult:
            if self.server.member.role is not Role.PRIMARY:
                raise TargetRefusedError("not_primary", "not the primary")
            if self.server.knows(request_id):
                return self.server.write([], request_id)
            self.pending, self.request_id = [], request_id
            self.begun = self.server.member.leader_term
            return self.server.result()

        return await self.ask(effect, timeout, True)

    async def step(self, sql: str, params: list[Any], timeout: float) -> TargetResult:
        def effect() -> TargetResult:
            self.opened().append(sql)
            return self.server.result()

        return await self.ask(effect, timeout, True)

    async def commit(self, timeout: float) -> TargetResult:
        def effect() -> TargetResult:
            rows = self.opened()
            self.pending = None
            return self.server.write(rows, self.request_id)

        return await self.change(effect, timeout)

    async def rollback(self, timeout: float) -> None:
        def effect() -> None:
            self.pending = None

        await self.ask(effect, timeout, True)

    async def state(self, timeout: float) -> MemberState:
        return await self.ask(self.server.state, timeout)

    async def wait_state(self, revision: int, hold: float) -> MemberState:
        if self.server.member.revision == revision:
            await wait_for(self.server.member.changed, hold)
        return await self.ask(self.server.state, None)

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        return await self.control(
            lambda: self.server.member.raise_term(term, owner), timeout
        )

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        return await self.control(
            lambda: self.server.member.promote(term, owner), timeout
        )

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        return await self.control(
            lambda: self.server.member.follow(term, primary), timeout
        )

    async def control(self, act: Callable[[], None], timeout: float) -> MemberState:
        def effect() -> MemberState:
            act()
            return self.server.state()

        return await self.ask(effect, timeout)

    async def close(self) -> None:
        self.pending = None
        self.server.connections.discard(self)

    def alone(self, what: str) -> None:
        """Record a statement that came in the middle of a transaction."""
        if self.pending is not None:
            self.server.faults.append(f"{what} inside a transaction of {self.host}")

    def opened(self) -> list[str]:
        """Return the rows of the open transaction, if its term still holds."""
        if self.pending is None:
            raise TargetRefusedError("unknown_transaction", "none is open")
        member = self.server.member
        if member.role is not Role.PRIMARY or member.leader_term != self.begun:
            self.pending = None
            raise TargetRefusedError("superseded", "the primary was superseded")
        return self.pending

    async def change(
        self, effect: Callable[[], TargetResult], timeout: float
    ) -> TargetResult:
        """Run a statement with an effect; its answer may be lost."""
        lose_answer = self.server.lose_answers > 0
        if lose_answer:
            self.server.lose_answers -= 1
        return await self.ask(effect, timeout, True, lose_answer)

    async def ask(
        self,
        effect: Callable[[], T],
        timeout: float | None,
        slot: bool = False,
        lost: bool = False,
    ) -> T:
        """Send one call; the member completes it even if the caller no longer waits."""
        if self.busy:
            self.server.faults.append(f"two statements at once from {self.host}")
        self.busy = True
        serving = asyncio.create_task(self.serve(effect, slot, lost))
        serving.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            async with asyncio.timeout(timeout):
                result = await asyncio.shield(serving)
        except TimeoutError:
            await self.server.network.awake(self.host)
            raise TargetNoReplyError("no answer in time") from None
        finally:
            self.busy = False
        await self.server.network.awake(self.host)
        return result

    async def serve(self, effect: Callable[[], T], slot: bool, lost: bool) -> T:
        await self.cross()
        if slot:
            self.server.served = asyncio.get_running_loop().time()
            async with self.server.slots:
                await asyncio.sleep(self.server.service)
        if self not in self.server.connections:
            await asyncio.Event().wait()
        result = effect()
        if lost:
            await asyncio.Event().wait()
        await self.cross()
        return result

    async def cross(self) -> None:
        """Wait for the one-way delay, or forever if the connection is silent or cut."""
        await asyncio.sleep(HOP)
        if self.silent or not self.server.reaches(self.host):
            await asyncio.Event().wait()


class TraceTarget(Target):
    """Open connections from one host."""

    def __init__(self, server: TraceMember, host: str) -> None:
        self.server = server
        self.host = host

    async def connect(self, timeout: float) -> TargetConnection:
        await asyncio.sleep(min(CONNECT, timeout))
        if not self.server.reaches(self.host) or timeout < CONNECT:
            await asyncio.sleep(max(0.0, timeout - CONNECT))
            raise TargetUnreachableError("no answer")
        if len(self.server.connections) >= self.server.limit:
            raise TargetFullError("no connection left")
        connection = TraceConnection(self.server, self.host)
        self.server.connections.add(connection)
        return connection


class TraceTargets(TargetFactory):
    """Open connections from one host to the members of a group."""

    def __init__(self, servers: dict[str, TraceMember], host: str) -> None:
        self.servers = servers
        self.host = host

    def target(self, member: str, address: str) -> Target:
        return TraceTarget(self.servers[member], self.host)
