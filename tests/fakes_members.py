"""Database groups in memory, whose logs and sessions a test can look into.

A read returns one row that tells which commits the log held, and with which
session state the statement ran. Replication, promotions and rollbacks follow
the platform's rules.
"""

import asyncio
import json
import random

from reedhook.connection.member import (
    Fault,
    MemberConnection,
    MemberDriver,
    MemberFull,
    MemberReply,
    MemberSilent,
    MemberStatus,
    MemberUnreachable,
    Phrases,
    Query,
)
from reedhook.process.lead.duty import OrderOutcome, Promoter
from reedhook.request.position import Position
from reedhook.version.registry import TargetEntry

LAG = 0.008
PROMOTION = 0.3
TRIP = 0.0015


class FakeMember:
    """One member of a group: a log, a role, open connections.

    :ivar log: ids of commits in order, each ``term.index``.
    :ivar received: the log with what is received and not applied yet.
    :ivar deaf: whether it receives nothing.
    :ivar down: whether it answers nothing.
    """

    def __init__(self, entry: TargetEntry, group: "FakeGroup", limit: int) -> None:
        self.entry = entry
        self.group = group
        self.limit = limit
        self.log: list[Position] = [Position(1, 0)]
        self.term = 1
        self.leads = False
        self.deaf = False
        self.down = False
        self.lag = LAG
        self.connections: set[FakeConnection] = set()
        self.runs: list[str] = []
        self.losing = 0.0

    @property
    def position(self) -> Position:
        """Return the last entry of the log."""
        return self.log[-1]


class FakeGroup:
    """The members of one service, and the truth about their commits.

    :ivar lost: commits that a promotion rolled back.
    :ivar promotions: target and fencing token of each order, in order.
    """

    def __init__(self, service: str, zones: list[str], limit: int = 16) -> None:
        self.service = service
        self.members: dict[str, FakeMember] = {}
        for index, zone in enumerate(zones):
            entry = TargetEntry(
                f"{service}-{index}",
                service,
                f"10.0.{index}.1:1",
                zone,
                False,
                index == 0,
            )
            self.members[entry.target] = FakeMember(entry, self, limit)
        self.primary.leads = True
        self.cuts: set[tuple[str, str]] = set()
        self.lost: set[Position] = set()
        self.promotions: list[tuple[str, str, int]] = []
        self.promoted: list[str] = [self.primary.entry.target]
        self.tasks: set[asyncio.Task[None]] = set()
        self.random = random.Random(service)
        self.violations: list[str] = []

    @property
    def primary(self) -> FakeMember:
        """Return the member that was promoted last."""
        leading = [one for one in self.members.values() if one.leads]
        if not leading:
            return next(iter(self.members.values()))
        return max(leading, key=lambda one: one.term)

    def commit(self, member: FakeMember) -> Position:
        """Append a commit and send it to the replicas."""
        entry = Position(member.term, member.position.index + 1)
        member.log.append(entry)
        for other in self.members.values():
            if other is not member:
                self.spawn(self.replicate(member, other))
        return entry

    async def replicate(self, source: FakeMember, other: FakeMember) -> None:
        """Bring the log of a primary to a replica after its lag."""
        await asyncio.sleep(other.lag)
        key = (source.entry.target, other.entry.target)
        while other.deaf or other.down or source.down or key in self.cuts:
            await asyncio.sleep(0.05)
        if source.leads and source is self.primary and not other.leads:
            if len(source.log) >= len(other.log) or other.term < source.term:
                other.log = list(source.log)
                other.term = source.term

    def spawn(self, work: object) -> None:
        """Run `work` in the background."""
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def promote(self, target: str) -> None:
        """Let a member lead the next term with what it holds."""
        await asyncio.sleep(PROMOTION)
        member = self.members[target]
        former = self.primary
        if member is former:
            return
        member.term = max(one.term for one in self.members.values()) + 1
        member.leads = True
        self.promoted.append(target)
        self.lost |= set(former.log) - set(member.log)
        member.log.append(Position(member.term, member.position.index + 1))
        for other in self.members.values():
            if other is not member and other is not former:
                self.spawn(self.replicate(member, other))

    def cut(self, host: str, target: str) -> None:
        """Lose what a host and a member send each other."""
        self.cuts.add((host, target))

    def unreachable(self, host: str, member: FakeMember) -> bool:
        """Say whether a host and a member do not hear each other."""
        return member.down or (host, member.entry.target) in self.cuts


class FakeConnection(MemberConnection):
    """One session at a member."""

    def __init__(self, host: str, member: FakeMember) -> None:
        self.host = host
        self.member = member
        self.lost = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, bool] = {}
        self.open = ""
        self.snapshot: list[Position] | None = None
        self.written = 0
        self.failed = False
        self.busy = False

    async def exchange(self, queries: list[Query], timeout: float) -> list[MemberReply]:
        if self.lost:
            raise MemberSilent("closed")
        if self.busy:
            self.member.group.violations.append("two exchanges on one connection")
        self.busy = True
        try:
            async with asyncio.timeout(timeout):
                return await self.answer(queries)
        except TimeoutError:
            self.close()
            raise MemberSilent("no answer") from None
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.busy = False

    async def answer(self, queries: list[Query]) -> list[MemberReply]:
        """Run the queries one by one."""
        await self.trip()
        replies = []
        for query in queries:
            if self.member.leads and query.id:
                await asyncio.sleep(0.003)
            replies.append(self.run(query))
        group = self.member.group
        if self.member.losing and group.random.random() < self.member.losing:
            await asyncio.Event().wait()
        await self.trip()
        if self.lost:
            raise MemberSilent("closed")
        return replies

    async def trip(self) -> None:
        """Take one way, or wait for ever on a link that is cut."""
        await asyncio.sleep(TRIP)
        if self.lost or self.member.group.unreachable(self.host, self.member):
            await asyncio.Event().wait()

    def run(self, query: Query) -> MemberReply:
        """Run one statement as the member does."""
        if query.id:
            self.member.runs.append(query.id)
        if query.after is not None and query.after not in self.member.log:
            newer = self.member.position >= query.after
            return self.reply(Fault.LAGGING if not newer else Fault.LAGGING)
        word, _, rest = query.text.partition(" ")
        if self.failed and word not in ("ROLLBACK", "COMMIT"):
            return self.reply(Fault.MALFORMED)
        handler = getattr(self, f"do_{word.lower()}")
        reply: MemberReply = handler(rest)
        return reply

    def reply(self, fault: Fault = Fault.NONE, *rows: str) -> MemberReply:
        """Return an answer with the state of the session."""
        if fault is not Fault.NONE and self.open:
            self.failed = True
        position = self.member.position
        return MemberReply(list(rows), "mac", fault, "", self.failed, position)

    def do_reset(self, rest: str) -> MemberReply:
        self.values, self.prepared = {}, {}
        return self.reply()

    def do_set(self, rest: str) -> MemberReply:
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return self.reply()

    def do_prepare(self, rest: str) -> MemberReply:
        name, kind = rest.split(" ")[:2]
        if name in self.prepared:
            return self.reply(Fault.MALFORMED)
        self.prepared[name] = kind == "WRITE"
        return self.reply()

    def do_deallocate(self, rest: str) -> MemberReply:
        if self.prepared.pop(rest, None) is None:
            return self.reply(Fault.UNKNOWN_NAME)
        return self.reply()

    def do_begin(self, rest: str) -> MemberReply:
        if not rest and not self.member.leads:
            return self.reply(Fault.READ_ONLY)
        self.open = "read" if rest else "write"
        self.written = 0
        return self.reply()

    def do_read(self, rest: str) -> MemberReply:
        seen = {
            "log": [one.to_json() for one in self.member.log],
            "values": self.values,
            "prepared": self.prepared,
            "open": self.open,
        }
        return self.reply(Fault.NONE, json.dumps(seen))

    def do_write(self, rest: str) -> MemberReply:
        if not self.member.leads or self.open == "read":
            return self.reply(Fault.READ_ONLY)
        if self.open:
            self.written += 1
        else:
            self.commit(1)
        return self.reply()

    def do_execute(self, rest: str) -> MemberReply:
        writes = self.prepared.get(rest.split(" ")[0])
        if writes is None:
            return self.reply(Fault.UNKNOWN_NAME)
        return self.do_write(rest) if writes else self.do_read(rest)

    def do_commit(self, rest: str) -> MemberReply:
        if self.written and not self.member.leads:
            self.leave()
            return self.reply(Fault.READ_ONLY)
        written = self.written
        self.leave()
        if written:
            self.commit(written)
        return self.reply()

    def do_rollback(self, rest: str) -> MemberReply:
        self.leave()
        return self.reply()

    def do_demote(self, rest: str) -> MemberReply:
        if int(rest) > self.member.term and self.member.leads:
            self.member.leads = False
            group = self.member.group
            group.spawn(group.replicate(group.primary, self.member))
        return self.reply()

    def leave(self) -> None:
        """End the open transaction."""
        self.open, self.failed, self.written = "", False, 0

    def commit(self, written: int) -> None:
        """Commit on the member's log; who does so after a promotion is noted."""
        group = self.member.group
        entry = group.commit(self.member)
        if self.member is not group.primary:
            group.lost.add(entry)

    async def status(self, timeout: float) -> MemberStatus:
        await self.exchange([], timeout)
        member = self.member
        return MemberStatus(
            member.leads, member.term, member.position, len(member.connections)
        )

    def close(self) -> None:
        self.lost = True
        self.member.connections.discard(self)


class FakeDriver(MemberDriver):
    """Open connections for one host."""

    def __init__(self, host: str, groups: list[FakeGroup]) -> None:
        self.host = host
        self.groups = groups

    async def connect(self, entry: TargetEntry, timeout: float) -> MemberConnection:
        member = self.find(entry)
        if member is None or member.group.unreachable(self.host, member):
            await asyncio.sleep(timeout)
            raise MemberUnreachable(entry.target)
        await asyncio.sleep(2 * TRIP + 0.012)
        if len(member.connections) >= member.limit:
            raise MemberFull(entry.target)
        connection = FakeConnection(self.host, member)
        member.connections.add(connection)
        return connection

    def find(self, entry: TargetEntry) -> FakeMember | None:
        """Return the member of an entry."""
        for group in self.groups:
            if entry.target in group.members:
                return group.members[entry.target]
        return None


class FakePromoter(Promoter):
    """Order promotions of `FakeGroup` members."""

    def __init__(self, groups: list[FakeGroup]) -> None:
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


class FakePhrases(Phrases):
    """Word statements as the members above read them."""

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
