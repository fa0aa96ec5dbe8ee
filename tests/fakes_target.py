"""An in-memory target with delays, silences and crashes set by a test."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum
from itertools import count
from typing import Any

from reedhook.connection.target import (
    MemberState,
    Role,
    Target,
    TargetConnection,
    TargetFullError,
    TargetNoReplyError,
    TargetRefusedError,
    TargetResult,
    TargetUnreachableError,
)
from reedhook.request.position import Position

COLUMNS = ["n"]


class Break(Enum):
    """Enumerate the points at which a connection breaks."""

    BEFORE_EFFECT = "before_effect"
    AFTER_EFFECT = "after_effect"


class FakeTarget(Target):
    """Serve statements in memory and record what was executed.

    Delays are in seconds of loop time, so that virtual time works.

    :ivar connect_turns: iterations of the loop that opening a connection takes.
    :ivar service: time that a statement takes; `service_of` overrides it by SQL.
    :ivar slots: concurrent statements; the others wait inside the target.
    :ivar dead: nothing answers, connecting hangs, open connections are silent.
    :ivar refusing: connecting is refused at once.
    :ivar close_delay: time that closing a connection takes.
    :ivar refusal: code with which statements are refused, or None.
    :ivar breaks: breaks of the next statements; None lets one pass.
    :ivar abrupt: whether a break is visible at once instead of by silence.
    :ivar ran: how often each SQL text took effect.
    :ivar commits: SQL texts of each committed transaction.
    :ivar peak_running: maximum number of concurrent statements.
    :ivar used: SQL texts by the number of their connection.
    :ivar faults: invalid uses of a connection.
    """

    def __init__(
        self,
        member: str = "m1",
        role: Role = Role.PRIMARY,
        limit: int = 15,
        slots: int = 2,
        service: float = 0.002,
        connect_delay: float = 0.01,
    ) -> None:
        self.member = member
        self.role = role
        self.limit = limit
        self.slots = slots
        self.service = service
        self.connect_delay = connect_delay
        self.connect_turns = 0
        self.service_of: Callable[[str], float] | None = None
        self.dead = False
        self.refusing = False
        self.close_delay = 0.0
        self.refusal: str | None = None
        self.breaks: list[Break | None] = []
        self.abrupt = False
        self.promised = 1
        self.owner = ""
        self.leader_term = 1
        self.held = Position(1, 0)
        self.applied = Position(1, 0)
        self.revision = 1
        self.connections: list["FakeConnection"] = []
        self.opening = 0
        self.peak_opening = 0
        self.peak = 0
        self.opened = 0
        self.running = 0
        self.peak_running = 0
        self.ran: Counter[str] = Counter()
        self.commits: list[list[str]] = []
        self.recorded: dict[str, TargetResult] = {}
        self.used: dict[int, list[str]] = {}
        self.faults: list[str] = []
        self.state_questions = 0
        self.numbers = count(1)
        self.changed = asyncio.Event()
        self.free = asyncio.Semaphore(slots)

    async def connect(self, timeout: float) -> "FakeConnection":
        self.opening += 1
        self.peak_opening = max(self.peak_opening, self.opening)
        try:
            return await self.accept(timeout)
        finally:
            self.opening -= 1

    async def accept(self, timeout: float) -> "FakeConnection":
        if self.refusing:
            raise TargetUnreachableError("connection refused")
        await asyncio.sleep(min(self.connect_delay, timeout))
        for _ in range(self.connect_turns):
            await asyncio.sleep(0)
        if self.dead:
            await asyncio.sleep(max(timeout - self.connect_delay, 0.0))
            raise TargetUnreachableError("no answer")
        if self.connect_delay > timeout:
            raise TargetUnreachableError("no answer in time")
        if len(self.connections) >= self.limit:
            raise TargetFullError("no connection left")
        connection = FakeConnection(self, next(self.numbers))
        self.connections.append(connection)
        self.opened += 1
        self.peak = max(self.peak, len(self.connections))
        return connection

    def state_now(self) -> MemberState:
        """Return the state that the target reports."""
        return MemberState(
            self.member,
            self.role,
            self.promised,
            self.leader_term,
            self.held,
            self.applied,
            len(self.connections),
            self.revision,
        )

    def change(self, **values: Any) -> None:
        """Set attributes of the state and wake those who wait for it."""
        for name, value in values.items():
            setattr(self, name, value)
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self) -> None:
        """Add an entry to the log."""
        position = Position(self.leader_term, self.held.index + 1)
        self.change(held=position, applied=position)

    def hang_up_all(self) -> None:
        """Close all connections from the server side, as a restart does."""
        for connection in self.connections:
            connection.hung_up = True
        self.connections.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    def silence_all(self) -> None:
        """Make all open connections half-open; new ones work."""
        for connection in self.connections:
            connection.silent = True


class FakeConnection(TargetConnection):
    """Represent one connection to a `FakeTarget`.

    :ivar silent: whether sent data is lost.
    :ivar hung_up: whether the target closed it, which the next use detects.
    """

    def __init__(self, target: FakeTarget, number: int) -> None:
        self.target = target
        self.number = number
        self.silent = False
        self.hung_up = False
        self.busy = False
        self.closed = False
        self.in_doubt = False
        self.pending: list[str] | None = None
        self.request_id: str | None = None
        target.used[number] = []

    async def read(self, sql: str, params: list[Any], timeout: float) -> TargetResult:
        self.outside_transaction(sql)
        return await self.answer(sql, timeout, self.result)

    async def write(
        self, sql: str, params: list[Any], request_id: str | None, timeout: float
    ) -> TargetResult:
        self.outside_transaction(sql)

        def effect() -> TargetResult:
            return self.take_effect([sql], request_id)

        return await self.answer(sql, timeout, effect)

    async def begin(self, request_id: str | None, timeout: float) -> TargetResult:
        self.outside_transaction("begin")

        def effect() -> TargetResult:
            self.pending = []
            self.request_id = request_id
            return self.result()

        return await self.answer("begin", timeout, effect)

    async def step(self, sql: str, params: list[Any], timeout: float) -> TargetResult:
        def effect() -> TargetResult:
            self.open_transaction().append(sql)
            return self.result()

        return await self.answer(sql, timeout, effect)

    async def commit(self, timeout: float) -> TargetResult:
        def effect() -> TargetResult:
            texts = self.open_transaction()
            self.pending = None
            result = self.take_effect(texts, self.request_id)
            self.target.commits.append(texts)
            return result

        return await self.answer("commit", timeout, effect)

    async def rollback(self, timeout: float) -> None:
        def effect() -> TargetResult:
            self.open_transaction()
            self.pending = None
            return self.result()

        await self.answer("rollback", timeout, effect)

    async def state(self, timeout: float) -> MemberState:
        self.target.state_questions += 1
        await self.control(timeout)
        return self.target.state_now()

    async def wait_state(self, revision: int, hold: float) -> MemberState:
        target = self.target
        target.state_questions += 1
        self.enter("wait_state")
        try:
            if target.revision == revision:
                await self.wait(target.changed.wait(), hold)
            if self.hung_up:
                raise TargetNoReplyError("the connection has ended")
            await self.stay_silent_if_unheard(None)
        finally:
            self.busy = False
        self.in_doubt = False
        return target.state_now()

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        await self.control(timeout)
        target = self.target
        granted = term > target.promised
        if not granted and (term, owner) != (target.promised, target.owner):
            raise TargetRefusedError("term_refused", "a higher term was promised")
        role = Role.FENCED if term > target.leader_term else target.role
        target.change(promised=term, owner=owner, role=role)
        return target.state_now()

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        await self.control(timeout)
        target = self.target
        if (term, owner) != (target.promised, target.owner):
            raise TargetRefusedError("term_refused", "not promised to this owner")
        target.change(leader_term=term, role=Role.PRIMARY)
        target.append()
        return target.state_now()

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        await self.control(timeout)
        target = self.target
        if term < target.promised:
            raise TargetRefusedError("term_refused", "a higher term was promised")
        target.change(promised=term, leader_term=term, role=Role.REPLICA)
        return target.state_now()

    async def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.pending = None
        if self.target.close_delay:
            await asyncio.sleep(self.target.close_delay)
        if not self.hung_up:
            self.target.connections.remove(self)

    def outside_transaction(self, text: str) -> None:
        if self.pending is not None:
            self.fault(f"{text} inside another transaction")

    def open_transaction(self) -> list[str]:
        if self.pending is None:
            raise TargetRefusedError("unknown_transaction", "none is open")
        return self.pending

    def fault(self, text: str) -> None:
        self.target.faults.append(f"connection {self.number}: {text}")

    def enter(self, text: str) -> None:
        if self.busy:
            self.fault(f"{text} while another statement runs")
        if self.closed:
            self.fault(f"{text} after close")
        if self.in_doubt:
            self.fault(f"{text} in doubt")
        if self.hung_up:
            self.in_doubt = True
            raise TargetUnreachableError("the connection has ended")
        self.busy = True
        self.in_doubt = True

    async def control(self, timeout: float) -> None:
        """Wait for the time of a control call; it uses no slot."""
        self.enter("control")
        try:
            await self.stay_silent_if_unheard(timeout)
            await asyncio.sleep(0)
        finally:
            self.busy = False
        self.in_doubt = False

    async def answer(
        self, text: str, timeout: float, effect: Callable[[], TargetResult]
    ) -> TargetResult:
        """Run a statement with the break that the test set.

        The target completes it even if the caller no longer waits.
        """
        target = self.target
        self.enter(text)
        target.used[self.number].append(text)
        serving = asyncio.get_running_loop().create_task(self.serve(text, effect))
        serving.add_done_callback(forget)
        try:
            async with asyncio.timeout(timeout):
                result = await asyncio.shield(serving)
        except TimeoutError:
            raise TargetNoReplyError("no answer in time") from None
        except TargetRefusedError:
            self.in_doubt = False
            raise
        finally:
            self.busy = False
        self.in_doubt = False
        return result

    async def serve(
        self, text: str, effect: Callable[[], TargetResult]
    ) -> TargetResult:
        target = self.target
        broken = target.breaks.pop(0) if target.breaks else None
        if self.silent or target.dead or broken is Break.BEFORE_EFFECT:
            await self.lose()
        target.running += 1
        target.peak_running = max(target.peak_running, target.running)
        try:
            async with target.free:
                service = target.service_of
                await asyncio.sleep(service(text) if service else target.service)
        finally:
            target.running -= 1
        if target.refusal is not None:
            raise TargetRefusedError(target.refusal, "refused by the test")
        result = effect()
        if self.silent or target.dead or broken is Break.AFTER_EFFECT:
            await self.lose()
        return result

    async def lose(self) -> None:
        """Never answer, or raise if the break is abrupt."""
        if self.target.abrupt:
            raise TargetNoReplyError("connection reset")
        await asyncio.Event().wait()

    async def stay_silent_if_unheard(self, timeout: float | None) -> None:
        if not (self.silent or self.target.dead):
            return
        await self.wait(asyncio.Event().wait(), timeout)
        raise TargetNoReplyError("no answer in time")

    async def wait(self, waiting: Any, timeout: float | None) -> None:
        try:
            async with asyncio.timeout(timeout):
                await waiting
        except TimeoutError:
            return

    def take_effect(self, texts: list[str], request_id: str | None) -> TargetResult:
        target = self.target
        if request_id is not None and request_id in target.recorded:
            return self.repeated(target.recorded[request_id])
        if target.role is not Role.PRIMARY:
            raise TargetRefusedError("not_primary", "this member is no primary")
        target.ran.update(texts)
        target.append()
        result = self.result()
        if request_id is not None:
            target.recorded[request_id] = result
        return result

    def result(self) -> TargetResult:
        target = self.target
        return TargetResult(
            COLUMNS, [[1]], 1, target.applied, target.leader_term, target.role
        )

    def repeated(self, earlier: TargetResult) -> TargetResult:
        result = self.result()
        result.rows = earlier.rows
        result.repeated = True
        return result


def forget(serving: "asyncio.Task[TargetResult]") -> None:
    """Retrieve the exception of a statement that nobody awaits any more."""
    if not serving.cancelled():
        serving.exception()
