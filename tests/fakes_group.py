"""An in-memory database group with terms, logs, promises, lag and partitions.

The members record the truth: what was executed, who was primary in each term, and the
contents of each log.
"""

import asyncio
from itertools import count

from reedhook.connection.home import Home, HomeLoad
from reedhook.connection.target import (
    MemberState,
    Role,
    Target,
    TargetConnection,
    TargetFactory,
    TargetNoReplyError,
    TargetRefusedError,
    TargetResult,
    TargetUnreachableError,
)
from reedhook.request.position import ORIGIN, Position
from reedhook.request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from reedhook.request.statement import Statement, StatementKind
from reedhook.version.catalog import Group, Limits, Member

TRANSPORT = 0.0003


class Entry:
    """Represent one log entry."""

    __slots__ = ("position", "value", "request_id")

    def __init__(self, position: Position, value: str, request_id: str | None) -> None:
        self.position = position
        self.value = value
        self.request_id = request_id


class FakeMember:
    """Simulate one member.

    :ivar lag: seconds between receiving an entry and applying it.
    :ivar down: answers nothing and replicates nothing.
    :ivar stalled: while unset, answers are held back.
    """

    def __init__(self, group: "FakeGroup", name: str) -> None:
        self.group = group
        self.name = name
        self.role = Role.REPLICA
        self.promised = 0
        self.owner = ""
        self.leader_term = 0
        self.primary: str | None = None
        self.log: list[Entry] = []
        self.applied_count = 0
        self.lag = 0.0
        self.down = False
        self.stalled = asyncio.Event()
        self.stalled.set()
        self.revision = 0
        self.changed = asyncio.Event()
        self.pull_delay: dict[str, float] = {}
        self.applying: list[asyncio.TimerHandle] = []

    @property
    def held(self) -> Position:
        return self.log[-1].position if self.log else ORIGIN

    @property
    def applied(self) -> Position:
        if self.applied_count == 0:
            return ORIGIN
        return self.log[self.applied_count - 1].position

    def state(self) -> MemberState:
        return MemberState(
            self.name,
            self.role,
            self.promised,
            self.leader_term,
            self.held,
            self.applied,
            1,
            self.revision,
        )

    def touch(self) -> None:
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self, value: str, request_id: str | None) -> Entry:
        entry = Entry(Position(self.leader_term, len(self.log) + 1), value, request_id)
        self.log.append(entry)
        self.applied_count = len(self.log)
        self.touch()
        return entry

    def write(self, value: str, request_id: str | None) -> tuple[Position, bool]:
        """Append a write unless its request id has run; return whether it had run."""
        if self.role is not Role.PRIMARY:
            raise TargetRefusedError("not_primary", "not the primary")
        if request_id is not None:
            for entry in self.log:
                if entry.request_id == request_id:
                    return self.held, True
        entry = self.append(value, request_id)
        self.group.executed.append((request_id or value, entry.position))
        return entry.position, False

    def raise_term(self, term: int, owner: str) -> None:
        if term < self.promised or (term == self.promised and owner != self.owner):
            raise TargetRefusedError("term_refused", f"{self.promised} is promised")
        self.promised = term
        self.owner = owner
        if self.leader_term < term:
            self.role = Role.FENCED
        self.touch()

    def promote(self, term: int, owner: str) -> None:
        if term != self.promised or owner != self.owner:
            raise TargetRefusedError("term_refused", f"{self.promised} is promised")
        if self.role is Role.PRIMARY and self.leader_term == term:
            return
        self.role = Role.PRIMARY
        self.leader_term = term
        self.primary = self.name
        self.group.leaders[term] = self.name
        self.append(f"term {term}", None)

    def follow(self, term: int, primary: str) -> None:
        if term < self.promised or term < self.leader_term:
            raise TargetRefusedError("term_refused", f"{self.promised} is promised")
        if primary == self.name:
            raise TargetRefusedError("bad_request", "cannot follow itself")
        self.promised = term
        if self.leader_term == term and self.primary == primary:
            return
        self.owner = ""
        self.leader_term = term
        self.primary = primary
        self.role = Role.REPLICA
        self.touch()

    def pull(self, leader: "FakeMember") -> None:
        """Copy the leader's log of the same term; drop entries that it lacks."""
        if self.promised != leader.leader_term or self.leader_term != self.promised:
            return
        common = self.shared_with(leader)
        if common == len(self.log) == len(leader.log):
            return
        del self.log[common:]
        self.applied_count = min(self.applied_count, common)
        self.log.extend(leader.log[common:])
        self.touch()
        self.apply_later()

    def shared_with(self, leader: "FakeMember") -> int:
        """Return the length of the common prefix of both logs.

        Logs that share an entry are identical up to it.
        """
        last = len(self.log)
        if 0 < last <= len(leader.log):
            if leader.log[last - 1].position == self.held:
                return last
        for index, (own_entry, leader_entry) in enumerate(zip(self.log, leader.log)):
            if own_entry.position != leader_entry.position:
                return index
        return min(last, len(leader.log))

    def apply_later(self) -> None:
        if self.lag == 0.0:
            self.apply(len(self.log))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag, self.apply, len(self.log))

    def apply(self, upto: int) -> None:
        upto = min(upto, len(self.log))
        if upto > self.applied_count:
            self.applied_count = upto
            self.touch()


class FakeGroup:
    """Replicate between members; tests set cuts and delays.

    :ivar cuts: pairs of members (puller, leader) that cannot replicate.
    :ivar executed: request id or value with its position, for each execution.
    :ivar leaders: the member promoted in each term.
    """

    def __init__(self, names: list[str], delay: float = 0.0015) -> None:
        self.members = {name: FakeMember(self, name) for name in names}
        self.delay = delay
        self.cuts: set[tuple[str, str]] = set()
        self.executed: list[tuple[str, Position]] = []
        self.leaders: dict[int, str] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def found(self, primary: str) -> None:
        """Initialize the group with `primary` as leader of term 1."""
        for member in self.members.values():
            member.promised = 1
            member.owner = "founder"
        self.members[primary].promote(1, "founder")
        for name, member in self.members.items():
            if name != primary:
                member.follow(1, primary)

    def start(self) -> None:
        self.tasks = [
            asyncio.create_task(self.replicate(member))
            for member in self.members.values()
        ]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    def cut(self, side: set[str]) -> None:
        """Cut the members of `side` off from all others."""
        for one in self.members:
            for two in self.members:
                if (one in side) != (two in side):
                    self.cuts.add((one, two))

    async def replicate(self, member: FakeMember) -> None:
        """Pull from the member's leader whenever either of them changes."""
        while True:
            leader = self.members.get(member.primary or "")
            if leader is None or leader is member:
                await wait_for(member.changed, 0.05)
                continue
            news = leader.changed
            own = member.changed
            await asyncio.sleep(2 * self.delay)
            blocked = (member.name, leader.name) in self.cuts
            if not (blocked or leader.down or member.down):
                if leader.role is Role.PRIMARY:
                    member.pull(leader)
            await wait_for_either(news, own, 0.05)


async def wait_for_either(
    one: asyncio.Event, other: asyncio.Event, timeout: float
) -> None:
    tasks = [asyncio.ensure_future(event.wait()) for event in (one, other)]
    await asyncio.wait(tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


async def wait_for(event: asyncio.Event, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return


class FakeHome(Home):
    """Access a `FakeMember` as the home of a real target does.

    :ivar lost: whether the host cannot reach the target.
    :ivar opens: number of open transactions.
    """

    def __init__(self, group: Group, member: Member, target: FakeMember) -> None:
        self.group = group
        self.member = member
        self.target = target
        self.state = target.state()
        self.state_requested_at = 0.0
        self.unreachable_since: float | None = None
        self.leaving = False
        self.service = 0.001
        self.lost_after = 0.15
        self.lost = False
        self.task: asyncio.Task[None] | None = None
        self.news = asyncio.Event()

    async def start(self) -> None:
        self.task = asyncio.create_task(self.watch())

    def update_limits(self, limits: Limits) -> None:
        raise NotImplementedError

    async def close(self, grace: float) -> None:
        if self.task is not None:
            self.task.cancel()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def silent(self) -> bool:
        return self.lost or self.target.down

    async def watch(self) -> None:
        """Poll the state; report the target as silent after `lost_after` seconds."""
        while True:
            requested_at = self.now()
            if self.silent:
                await asyncio.sleep(self.lost_after)
                if self.silent and self.unreachable_since is None:
                    self.unreachable_since = requested_at
                    self.announce()
                continue
            self.unreachable_since = None
            self.merge_state(self.target.state(), requested_at)
            await wait_for(self.target.changed, 0.05)
            await asyncio.sleep(TRANSPORT)

    def announce(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    async def reach(self, timeout: float) -> None:
        """Send a message to the target, or raise if it does not answer."""
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(TRANSPORT)
                await self.target.stalled.wait()
                if self.silent:
                    await asyncio.Event().wait()
        except TimeoutError:
            raise TargetNoReplyError("no answer") from None

    def has_transaction(self, transaction: str) -> bool:
        raise NotImplementedError

    def unknown_transaction_refusal(self, statement: Statement) -> RefusalError:
        raise NotImplementedError

    async def run(self, statement: Statement) -> TargetResult:
        await self.cross(statement)
        target = self.target
        position, repeated = target.applied, False
        if statement.kind in (StatementKind.WRITE, StatementKind.COMMIT):
            try:
                position, repeated = target.write(statement.sql, statement.request_id)
            except TargetRefusedError as refused:
                raise not_run(RefusalReason.NO_PRIMARY, refused.detail) from refused
        rows: list[list[str]] = []
        if statement.kind is StatementKind.READ:
            rows = [[entry.value] for entry in target.log[: target.applied_count]]
        result = TargetResult(
            ["value"],
            rows,
            0,
            position,
            target.leader_term,
            target.role,
            repeated,
        )
        await self.cross(statement)
        return result

    async def cross(self, statement: Statement) -> None:
        try:
            await self.reach(statement.remaining)
        except TargetNoReplyError as silent:
            refusal = not_run if statement.kind is StatementKind.READ else may_have_run
            raise refusal(RefusalReason.TARGET_LOST, "no answer") from silent

    async def wait_for_state_change(self, revision: int, timeout: float) -> None:
        if self.state is not None and self.state.revision != revision:
            return
        await wait_for(self.news, timeout)

    def merge_state(self, state: MemberState, requested_at: float) -> None:
        if self.state is not None and state.revision < self.state.revision:
            return
        news = self.state is None or state.revision > self.state.revision
        self.state = state
        self.state_requested_at = requested_at
        if news:
            self.announce()

    async def fetch_state(self, timeout: float) -> MemberState:
        requested_at = self.now()
        await self.reach(timeout)
        state = self.target.state()
        await self.reach(timeout)
        self.merge_state(state, requested_at)
        return state

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        await self.reach(timeout)
        self.target.raise_term(term, owner)
        return await self.fetch_state(timeout)

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        await self.reach(timeout)
        self.target.promote(term, owner)
        return await self.fetch_state(timeout)

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        await self.reach(timeout)
        self.target.follow(term, primary)
        return await self.fetch_state(timeout)

    def load(self) -> HomeLoad:
        return HomeLoad(0.0, 0, 0)


class FakeConnection(TargetConnection):
    """Open a standby's connection to a `FakeMember`; control calls only."""

    def __init__(self, home: FakeHome) -> None:
        self.home = home

    async def state(self, timeout: float) -> MemberState:
        return await self.home.fetch_state(timeout)

    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        return await self.home.raise_term(term, owner, timeout)

    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        return await self.home.promote(term, owner, timeout)

    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        return await self.home.follow(term, primary, timeout)

    async def close(self) -> None:
        return

    async def read(
        self, sql: str, params: list[object], timeout: float
    ) -> TargetResult:
        raise TargetRefusedError("bad_request", "for control only")

    async def write(
        self, sql: str, params: list[object], request_id: str | None, timeout: float
    ) -> TargetResult:
        raise TargetRefusedError("bad_request", "for control only")

    async def begin(self, request_id: str | None, timeout: float) -> TargetResult:
        raise TargetRefusedError("bad_request", "for control only")

    async def step(
        self, sql: str, params: list[object], timeout: float
    ) -> TargetResult:
        raise TargetRefusedError("bad_request", "for control only")

    async def commit(self, timeout: float) -> TargetResult:
        raise TargetRefusedError("bad_request", "for control only")

    async def rollback(self, timeout: float) -> None:
        raise TargetRefusedError("bad_request", "for control only")

    async def wait_state(self, revision: int, hold: float) -> MemberState:
        return await self.home.fetch_state(hold)


class FakeTarget(Target):
    """Open connections to one member while the host reaches it."""

    def __init__(self, home: FakeHome) -> None:
        self.home = home

    async def connect(self, timeout: float) -> TargetConnection:
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(0.01)
                if self.home.silent:
                    await asyncio.Event().wait()
        except TimeoutError:
            raise TargetUnreachableError("no answer") from None
        return FakeConnection(self.home)


class FakeFactory(TargetFactory):
    """Open connections from one host to the members of a `FakeGroup`.

    :ivar lost: members that the host cannot reach.
    """

    def __init__(self, group: Group, truth: FakeGroup) -> None:
        self.group = group
        self.truth = truth
        self.lost: set[str] = set()
        self.serial = count()

    def target(self, member: str, address: str) -> Target:
        group_member = next(
            candidate
            for candidate in self.group.members
            if candidate.member_id == member
        )
        home = FakeHome(self.group, group_member, self.truth.members[member])
        home.lost = member in self.lost
        return FakeTarget(home)
