"""In-memory database groups whose logs and sessions a test can inspect.

A read returns one row with the commits in the log and the session state that the
statement ran with. Replication, promotion and rollback follow the platform's rules.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import orjson

from reedhook.connection.session_state import SessionState
from reedhook.connection.session_target import (
    SessionTargetReply,
    StatementFault,
    TargetQuery,
)
from reedhook.request.position import Position
from reedhook.version.route_table import TargetAnnouncement

LAG = 0.008
PROMOTION = 0.3
RECEIPT_POLL = 0.002
STEP_DOWN = 1.0
FIRST_BORN = 1_700_000_000_000


class DatabaseMember:
    """Model one member of a group: a log, a role and open connections.

    :ivar log: ids of commits in order, each ``term.index``.
    :ivar received: the log including entries received but not applied yet.
    :ivar deaf: whether it receives no replicated entries.
    :ivar down: whether it answers nothing.
    :ivar delay: seconds by which its answers are late.
    :ivar busy: how many of the next statements it refuses because its queue is full.
    :ivar failing: share of its statements that end with an error. Writes take effect
        nevertheless, since a caller must not rely on the contrary.
    """

    def __init__(
        self, entry: TargetAnnouncement, group: "DatabaseGroup", limit: int
    ) -> None:
        self.entry = entry
        self.group = group
        self.limit = limit
        self.log: list[Position] = [Position(1, 0)]
        self.term = 1
        self.leads = False
        self.deaf = False
        self.down = False
        self.delay = 0.0
        self.lag = LAG
        self.connections: set[Any] = set()
        self.runs: list[str] = []
        self.losing = 0.0
        self.busy = 0
        self.failing = 0.0

    def start_again(self) -> None:
        """Restart as a new process under the same id, with an empty log."""
        group = self.group
        if self.leads:
            group.forgotten |= set(self.log)
        self.log, self.term, self.leads = [Position(1, 0)], 1, False
        for connection in list(self.connections):
            connection.close()
        values = [*self.entry.values()]
        values[5:7], values[-1] = [False, self.entry.started_at_ms + 1], 1
        self.entry = TargetAnnouncement(*values)
        if group.primary is not self:
            group.spawn(group.replicate(group.primary, self))

    def heal(self) -> None:
        """Clear all faults."""
        self.down = self.deaf = False
        self.lag, self.losing, self.busy, self.failing = LAG, 0.0, 0, 0.0
        self.delay = 0.0

    @property
    def position(self) -> Position:
        """Return the last entry of the log."""
        return self.log[-1]


class DatabaseGroup:
    """Model the members of one service, and record what happened to their commits.

    :ivar sync_replicas: members besides the primary that have received a commit before
        it is acknowledged.
    :ivar lost: commits that a promotion rolled back, or will roll back.
    :ivar forgotten: logs of primaries that restarted empty.
    :ivar superseded: commits at a former primary after a promotion.
    :ivar promotions: target, holder and fencing token of each promotion, in order.
    :ivar ran_as: the workspace named on the connection of a statement, by its id.
    :ivar on_run: called with the id, the text and the session of each statement.
    :ivar on_commit: called with the ids of the statements of each commit.
    """

    def __init__(self, service: str, zones: list[str], limit: int = 16) -> None:
        self.service = service
        self.members: dict[str, DatabaseMember] = {}
        for index, zone in enumerate(zones):
            entry = TargetAnnouncement(
                f"{service}-{index}",
                service,
                f"10.0.{index}.1:1",
                zone,
                False,
                index == 0,
                FIRST_BORN,
                sequence=1,
            )
            self.members[entry.target] = DatabaseMember(entry, self, limit)
        self.primary.leads = True
        self.sync_replicas = 0
        self.cuts: set[tuple[str, str]] = set()
        self.lost: set[Position] = set()
        self.superseded: set[Position] = set()
        self.forgotten: set[Position] = set()
        self.promotions: list[tuple[str, str, int]] = []
        self.promoted: list[str] = [self.primary.entry.target]
        self.tasks: set[asyncio.Task[None]] = set()
        self.random = random.Random(service)
        self.violations: list[str] = []
        self.ran_as: dict[str, str] = {}
        self.on_run: Callable[[str, str, DatabaseSession], None] = ignored
        self.on_commit: Callable[[list[str]], None] = lambda ids: None

    @property
    def primary(self) -> DatabaseMember:
        """Return the member that was promoted last."""
        primaries = [member for member in self.members.values() if member.leads]
        if not primaries:
            return next(iter(self.members.values()))
        return max(primaries, key=lambda member: member.term)

    def commit(self, member: DatabaseMember) -> Position:
        """Append a commit and send it to the replicas."""
        entry = Position(member.term, member.position.index + 1)
        member.log.append(entry)
        for other in self.members.values():
            if other is not member:
                self.spawn(self.replicate(member, other))
        return entry

    async def replicate(self, source: DatabaseMember, other: DatabaseMember) -> None:
        """Copy the log of a primary to a replica after its lag."""
        await asyncio.sleep(other.lag)
        key = (source.entry.target, other.entry.target)
        while other.deaf or other.down or source.down or key in self.cuts:
            await asyncio.sleep(0.05)
        if source.leads and source is self.primary and not other.leads:
            if len(source.log) >= len(other.log) or other.term < source.term:
                other.log = list(source.log)
                other.term = source.term

    async def until_received(self, member: DatabaseMember, entry: Position) -> None:
        """Wait until a commit of a primary may be acknowledged."""
        others = [one for one in self.members.values() if one is not member]
        while sum(entry in one.log for one in others) < self.sync_replicas:
            await asyncio.sleep(RECEIPT_POLL)

    def spawn(self, work: object) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def promote(self, target: str) -> None:
        """Make a member the primary of the next term, with its current log."""
        await asyncio.sleep(PROMOTION)
        member = self.members[target]
        former = self.primary
        if member is former and member.leads:
            return
        member.term = (
            max(group_member.term for group_member in self.members.values()) + 1
        )
        member.leads = True
        self.promoted.append(target)
        self.lost |= (set(former.log) | self.forgotten) - set(member.log)
        member.log.append(Position(member.term, member.position.index + 1))
        for other in self.members.values():
            if other is not member and other is not former:
                self.spawn(self.replicate(member, other))
        if self.sync_replicas:
            self.spawn(self.step_down(former, member))

    async def step_down(self, former: DatabaseMember, member: DatabaseMember) -> None:
        """Make a former primary follow the next one, which may need its receipts."""
        names = (former.entry.target, member.entry.target)
        while former.down or member.down or names in self.cuts:
            await asyncio.sleep(0.05)
        await asyncio.sleep(STEP_DOWN)
        if former.leads and former is not self.primary:
            former.leads = False
            await self.replicate(self.primary, former)

    def cut(self, host: str, target: str) -> None:
        """Drop the messages between a host and a member."""
        self.cuts.add((host, target))

    def unreachable(self, host: str, member: DatabaseMember) -> bool:
        """Return whether messages between a host and a member are dropped."""
        return member.down or (host, member.entry.target) in self.cuts


class DatabaseSession:
    """Execute the statements of one connection to a member.

    :ivar open: the kind of the open transaction; empty for none.
    :ivar written: ids of the statements that wrote in it.
    :ivar committed: position of the last commit, until it is acknowledged.
    """

    def __init__(self, member: DatabaseMember) -> None:
        self.member = member
        self.values: dict[str, str] = {}
        self.prepared: dict[str, bool] = {}
        self.id = ""
        self.open = ""
        self.written: list[str] = []
        self.committed: Position | None = None
        self.failed = False
        self.closed = False
        self.on_close: Callable[[], None] = lambda: None

    def close(self) -> None:
        """End the session with the member's process."""
        self.closed = True
        self.on_close()

    def run(self, query: TargetQuery) -> SessionTargetReply:
        """Execute one statement."""
        if query.id and self.member.busy > 0:
            # A full queue has no effect on an open transaction.
            self.member.busy -= 1
            return self.reply(StatementFault.BUSY)
        if query.id:
            self.member.runs.append(query.id)
            self.member.group.on_run(query.id, query.text, self)
        if query.min_position is not None and query.min_position not in self.member.log:
            return self.reply(StatementFault.LAGGING)
        word, _, arguments = query.text.partition(" ")
        self.id = query.id
        if self.failed and word not in ("ROLLBACK", "COMMIT"):
            return self.reply(StatementFault.MALFORMED)
        handler = getattr(self, f"do_{word.lower()}", None)
        if handler is None:
            return self.reply(StatementFault.MALFORMED)
        reply: SessionTargetReply = handler(arguments)
        failing = self.member.failing
        if query.id and failing and self.member.group.random.random() < failing:
            return self.reply(StatementFault.FAILED)
        return reply

    async def until_acknowledged(self) -> None:
        """Wait until the replicas have received what the last statement committed."""
        entry, self.committed = self.committed, None
        if entry is not None:
            await self.member.group.until_received(self.member, entry)

    def reply(
        self, fault: StatementFault = StatementFault.NONE, *rows: str
    ) -> SessionTargetReply:
        """Return an answer with the state of the session."""
        if fault not in (StatementFault.NONE, StatementFault.BUSY) and self.open:
            self.failed = True
        position = self.member.position
        state = SessionState.OPEN if self.open else SessionState.IDLE
        if self.failed:
            state = SessionState.FAILED
        return SessionTargetReply(list(rows), "mac", fault, "", state, position)

    def do_reset(self, rest: str) -> SessionTargetReply:
        """Clear the session's settings and prepared statements."""
        self.values, self.prepared = {}, {}
        return self.reply()

    def do_set(self, rest: str) -> SessionTargetReply:
        """Set a session variable."""
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return self.reply()

    def do_prepare(self, rest: str) -> SessionTargetReply:
        """Prepare a statement under an unused name."""
        name, kind = rest.split(" ")[:2]
        if name in self.prepared:
            return self.reply(StatementFault.MALFORMED)
        self.prepared[name] = kind == "WRITE"
        return self.reply()

    def do_deallocate(self, rest: str) -> SessionTargetReply:
        """Drop a prepared statement."""
        if self.prepared.pop(rest, None) is None:
            return self.reply(StatementFault.UNKNOWN_NAME)
        return self.reply()

    def do_begin(self, rest: str) -> SessionTargetReply:
        """Open a transaction; a read-write one requires the primary."""
        if not rest and not self.member.leads:
            return self.reply(StatementFault.READ_ONLY)
        self.open = "read" if rest else "write"
        self.written = []
        return self.reply()

    def do_read(self, rest: str) -> SessionTargetReply:
        """Return the visible log and the session's state."""
        visible = {
            "log": [(one.term, one.index) for one in self.member.log],
            "values": self.values,
            "prepared": self.prepared,
            "open": self.open,
        }
        return self.reply(StatementFault.NONE, orjson.dumps(visible).decode())

    def do_write(self, rest: str) -> SessionTargetReply:
        """Write, in the open transaction or as a commit of its own."""
        if not self.member.leads or self.open == "read":
            return self.reply(StatementFault.READ_ONLY)
        if self.open:
            self.written.append(self.id)
        else:
            self.commit([self.id])
        return self.reply()

    def do_execute(self, rest: str) -> SessionTargetReply:
        """Execute a prepared statement."""
        writes = self.prepared.get(rest.split(" ")[0])
        if writes is None:
            return self.reply(StatementFault.UNKNOWN_NAME)
        return self.do_write(rest) if writes else self.do_read(rest)

    def do_commit(self, rest: str) -> SessionTargetReply:
        """Commit the open transaction if the member is still primary."""
        if self.written and not self.member.leads:
            self.leave()
            return self.reply(StatementFault.READ_ONLY)
        written = self.written
        self.leave()
        if written:
            self.commit(written)
        return self.reply()

    def do_rollback(self, rest: str) -> SessionTargetReply:
        """Roll back the open transaction."""
        self.leave()
        return self.reply()

    def do_demote(self, rest: str) -> SessionTargetReply:
        """Step down if another member is primary of a later term."""
        if int(rest) > self.member.term and self.member.leads:
            self.member.leads = False
            group = self.member.group
            group.spawn(group.replicate(group.primary, self.member))
        return self.reply()

    def leave(self) -> None:
        """End the open transaction."""
        self.open, self.failed, self.written = "", False, []

    def commit(self, ids: list[str]) -> None:
        """Append a commit to the member's log; it is lost if a promotion came first.

        :param ids: ids of the statements that wrote.
        """
        group = self.member.group
        entry = self.committed = group.commit(self.member)
        group.on_commit(ids)
        if self.member is not group.primary:
            group.lost.add(entry)
            group.superseded.add(entry)


def ignored(id: str, text: str, session: DatabaseSession) -> None:
    """Ignore a statement."""
