"""Members of a `DatabaseGroup` as hosts in the same process access them."""

import asyncio
import random

from reedhook.connection.session_target import (
    SessionTargetConnection,
    SessionTargetDriver,
    SessionTargetFullError,
    SessionTargetNoReplyError,
    SessionTargetReply,
    SessionTargetStatus,
    SessionTargetUnreachableError,
    StatementDialect,
    StatementFault,
    TargetQuery,
)
from reedhook.process.primary_lease.promotion_coordinator import OrderOutcome, Promoter
from reedhook.version.route_table import TargetAnnouncement
from reedhook_standins.database import (
    DatabaseGroup,
    DatabaseMember,
    DatabaseSession,
)

TRIP = 0.0015

QUEUE = 8
"""Statements that may wait for a slot of a member; further ones are refused."""


class Slots:
    """Limit the running and the waiting statements of a member.

    :param work: mean seconds per statement.
    :ivar turned_away: statements refused because the queue was full.
    """

    def __init__(self, count: int, work: float, seed: int) -> None:
        self.free = asyncio.Semaphore(count)
        self.work = work
        self.random = random.Random(seed)
        self.waiting = 0
        self.turned_away = 0

    async def run(self) -> bool:
        """Hold a slot for one statement; return False if the queue is full."""
        if self.waiting >= QUEUE:
            self.turned_away += 1
            return False
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(self.random.expovariate(1.0 / self.work))
        finally:
            self.free.release()
        return True


class FakeConnection(SessionTargetConnection):
    """Represent one session at a member."""

    def __init__(
        self,
        host: str,
        member: DatabaseMember,
        slots: Slots | None = None,
        workspace: str = "",
    ) -> None:
        self.host = host
        self.workspace = workspace
        self.member = member
        self.slots = slots
        self.closed = False
        self.initial_position = member.position
        self.session = DatabaseSession(member)
        self.busy = False

    async def exchange(
        self, queries: list[TargetQuery], timeout: float
    ) -> list[SessionTargetReply]:
        if self.closed:
            raise SessionTargetNoReplyError("closed")
        if self.busy:
            self.member.group.violations.append("two exchanges on one connection")
        self.busy = True
        try:
            async with asyncio.timeout(timeout):
                return await self.answer(queries)
        except TimeoutError:
            self.close()
            raise SessionTargetNoReplyError("no answer") from None
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.busy = False

    async def answer(self, queries: list[TargetQuery]) -> list[SessionTargetReply]:
        """Run the queries sequentially."""
        await self.trip()
        replies = []
        for query in queries:
            if self.member.leads and query.id:
                await asyncio.sleep(0.003)
            if query.id and self.slots is not None and not await self.slots.run():
                replies.append(self.session.reply(StatementFault.BUSY))
                continue
            if query.id:
                self.member.group.ran_as[query.id] = self.workspace
            replies.append(self.session.run(query))
            await self.session.until_acknowledged()
        group = self.member.group
        if self.member.losing and group.random.random() < self.member.losing:
            await asyncio.Event().wait()
        await self.trip()
        if self.closed:
            raise SessionTargetNoReplyError("closed")
        return replies

    async def trip(self) -> None:
        """Wait for the one-way delay, or forever if the link is cut."""
        await asyncio.sleep(TRIP + self.member.delay / 2)
        if self.closed or self.member.group.unreachable(self.host, self.member):
            await asyncio.Event().wait()

    async def status(self, timeout: float) -> SessionTargetStatus:
        await self.exchange([], timeout)
        member = self.member
        return SessionTargetStatus(
            member.leads, member.term, member.position, len(member.connections)
        )

    def close(self) -> None:
        self.closed = True
        self.member.connections.discard(self)


class FakeDriver(SessionTargetDriver):
    """Open connections for one host.

    :param slots: slots of members with bounded concurrency.
    """

    def __init__(
        self,
        host: str,
        groups: list[DatabaseGroup],
        slots: dict[str, Slots] | None = None,
    ) -> None:
        self.host = host
        self.groups = groups
        self.slots = slots or {}

    async def connect(
        self, entry: TargetAnnouncement, timeout: float, workspace: str = ""
    ) -> SessionTargetConnection:
        member = self.find(entry)
        if member is None or member.group.unreachable(self.host, member):
            await asyncio.sleep(timeout)
            raise SessionTargetUnreachableError(entry.target)
        await asyncio.sleep(2 * TRIP + 0.012)
        if len(member.connections) >= member.limit:
            raise SessionTargetFullError(entry.target)
        slots = self.slots.get(entry.target)
        connection = FakeConnection(self.host, member, slots, workspace)
        member.connections.add(connection)
        return connection

    def find(self, entry: TargetAnnouncement) -> DatabaseMember | None:
        """Return the announced member."""
        for group in self.groups:
            if entry.target in group.members:
                return group.members[entry.target]
        return None


class FakePromoter(Promoter):
    """Promote members of `DatabaseGroup`."""

    def __init__(self, groups: list[DatabaseGroup]) -> None:
        self.groups = {group.service: group for group in groups}
        self.silent = False

    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        await asyncio.sleep(0.004)
        if self.silent:
            await asyncio.sleep(timeout)
            return OrderOutcome.UNANSWERED
        group = self.groups[service]
        group.promotions.append((target, holder, token))
        if group.members[target].down:
            return OrderOutcome.NOT_RUNNING
        group.spawn(group.promote(target))
        return OrderOutcome.DONE


class FakePhrases(StatementDialect):
    """Format statements in the syntax of `DatabaseSession`."""

    def begin(self, read_only: bool) -> str:
        return "BEGIN READ" if read_only else "BEGIN"

    def rollback(self) -> str:
        return "ROLLBACK"

    def reset(self) -> str:
        return "RESET"

    def deallocate(self, name: str) -> str:
        return f"DEALLOCATE {name}"

    def demote(self, term: int) -> str:
        return f"DEMOTE {term}"
