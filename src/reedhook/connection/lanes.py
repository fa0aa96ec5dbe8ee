"""Connections to one target that many sessions share in turns."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Final, TypeAlias

from ..clock import Clock
from ..request.position import Position
from ..request.refusal import RefusalError, RefusalReason, not_run
from ..version.registry import TargetEntry
from .lane import Lane, Waiter, distance, granted
from .member import (
    Fault,
    MemberDriver,
    MemberFull,
    MemberReborn,
    MemberReply,
    MemberSilent,
    Phrases,
    Query,
)
from .state import SessionState

Opened: TypeAlias = Callable[[Position | None], None]

CONNECT_TIMEOUT: Final = 0.4
"""Seconds to open a connection: the target's 12 ms, two slow statements of
110 ms ahead of it in its slots, and some room."""

LONGEST_QUEUE: Final = 0.3
"""Seconds for which a statement waits for a connection. Statements have 0.8 s and
callers try three times in 1.5 s: one that waited to its end, untried, would leave
its caller no time for another try."""

LEARNING: Final = 0.2
"""Weight of the last connection that came back in the average time of lending;
some ten of them change it, a second at a busy target."""

VERIFY_AFTER: Final = 1.0
"""Seconds of rest after which a connection may have gone silent, so that a
write is not sent on it before it has answered something harmless."""

SYNC_TIMEOUT: Final = 0.25
"""Seconds in which a target answers statements that hold no slot."""

IDLE_TIME: Final = 20.0
"""Seconds after which a connection that nobody used is closed; targets accept
few, and a home that has moved must make room."""

ROOM_PAUSE: Final = 0.002
"""Seconds until a target that was full has noticed that a connection was closed."""

RETRY_MS: Final = 50
"""When to come back to a target that could not be reached, in milliseconds."""

PREPARED: Final = "prepared"
VALUE: Final = "value"
"""Kinds in the keys of a session's state; a name follows after a blank."""


class Lanes:
    """Open, lend and keep connections to one target.

    The target is told of one workspace on each, and statements of no other may run
    there. Where this host may open no more, an idle one makes room for another
    workspace.

    :param limit: connections that may be in use at once.
    :param most: connections that may be open at once, those included that are kept
        for the workspaces of before; `limit` if it is not given.
    :param opened: is told of the position that the target states on each new
        connection; raises `MemberReborn` if the target is not to be used.
    :ivar count: connections that are open or being opened.
    :ivar lent: connections in use.
    :ivar evicted: connections closed so far to make room for other workspaces.
    :ivar on_free: is called when a connection, or the room for one, is free.
    :ivar lent_for: seconds for which connections were lent of late, on average.
    """

    def __init__(
        self,
        entry: TargetEntry,
        driver: MemberDriver,
        phrases: Phrases,
        limit: int,
        clock: Clock,
        opened: Opened = lambda position: None,
        most: int | None = None,
    ) -> None:
        self.most = limit if most is None else most
        self.entry = entry
        self.opened = opened
        self.driver = driver
        self.phrases = phrases
        self.limit = limit
        self.clock = clock
        self.idle: list[Lane] = []
        self.lent: set[Lane] = set()
        self.waiting: deque[Waiter] = deque()
        self.count = 0
        self.lent_for = 0.0
        self.evicted = 0
        self.closed = False
        self.on_free: Callable[[], None] = lambda: None

    async def borrow(
        self, session: str, timeout: float, workspace: str | None = ""
    ) -> Lane:
        """Lend a connection of the workspace, best one that the session used last.

        :param timeout: seconds.
        :param workspace: None for statements of this system, which may use any.
        :raises Refusal: not run, if none comes free in time.
        :raises MemberUnreachable: if the target accepts none; see `MemberDriver`.
        """
        self.check_queue()
        deadline = self.clock.monotonic() + timeout
        patience = self.clock.monotonic() + min(timeout, LONGEST_QUEUE)
        while True:
            if not self.exhausted():
                lane = self.take(session, workspace)
                if lane is not None:
                    return self.lend(lane)
                if self.count >= self.most:
                    self.make_room()
            now = self.clock.monotonic()
            if now >= patience or self.closed:
                raise self.overloaded("no connection came free in time")
            if self.count < self.most and not self.exhausted():
                try:
                    opening = min(deadline - now, CONNECT_TIMEOUT)
                    return self.lend(await self.open(opening, workspace))
                except MemberFull:
                    if self.count == 0:
                        raise
                    if self.idle:
                        self.make_room()
                        await self.clock.sleep(ROOM_PAUSE)
                        continue
            lane = await self.wait(patience - now, workspace)
            if lane is not None:
                return self.lend(lane)

    def check_queue(self) -> None:
        """Refuse at once what would wait for longer than it may.

        :raises Refusal: not run.
        """
        if self.exhausted() and self.expected_wait() > LONGEST_QUEUE:
            waiting = len(self.waiting)
            raise self.overloaded(f"{waiting} statements wait for a connection")

    def expected_wait(self) -> float:
        """Return after how many seconds a statement would get a connection."""
        return (len(self.waiting) + 1) * self.lent_for / max(self.limit, 1)

    def overloaded(self, detail: str) -> RefusalError:
        """Return the refusal of a statement that gets no connection."""
        return not_run(
            RefusalReason.OVERLOADED,
            f"{detail} at {self.entry.target}",
            max(RETRY_MS, int(self.expected_wait() * 1000.0)),
        )

    def lend(self, lane: Lane) -> Lane:
        """Note that a connection is in use."""
        self.lent.add(lane)
        lane.lent_at = self.clock.monotonic()
        return lane

    def returned(self, lane: Lane) -> None:
        """Note that a connection is in use no more."""
        if lane not in self.lent:
            return
        self.lent.discard(lane)
        lasted = self.clock.monotonic() - lane.lent_at
        self.lent_for += LEARNING * (lasted - self.lent_for)

    def take(self, session: str, workspace: str | None) -> Lane | None:
        """Return an idle connection of the workspace, or None."""
        self.idle = [lane for lane in self.idle if not self.dropped(lane)]
        found = [lane for lane in self.idle if lane.serves(workspace)]
        if not found:
            return None
        lane = min(found, key=lambda one: (distance(one, session), one.used))
        self.idle.remove(lane)
        return lane

    def make_room(self) -> None:
        """Close an idle connection, if there is one.

        A workspace that has several idle ones gives one up first; among equals that
        which was idle for longest goes.
        """
        if not self.idle:
            return
        idle = Counter(lane.workspace for lane in self.idle)
        lane = min(self.idle, key=lambda one: (idle[one.workspace] < 2, one.used))
        self.idle.remove(lane)
        lane.connection.close()
        self.count -= 1
        self.evicted += 1

    def in_use(self) -> int:
        """Return how many connections are lent or being opened."""
        return self.count - len(self.idle)

    def exhausted(self) -> bool:
        """Say whether as many connections are in use as may be."""
        return self.in_use() >= self.limit

    def dropped(self, lane: Lane) -> bool:
        """Say whether the target has closed an idle connection; forget it then."""
        if not lane.connection.lost:
            return False
        self.forget(lane)
        return True

    async def open(self, timeout: float, workspace: str | None) -> Lane:
        """Open a connection.

        :raises MemberUnreachable: if that fails.
        """
        self.count += 1
        try:
            named = workspace or ""
            connection = await self.driver.connect(self.entry, timeout, named)
            try:
                self.opened(connection.first)
            except MemberReborn:
                connection.close()
                raise
        except BaseException:
            self.count -= 1
            self.wake(None)
            raise
        return Lane(connection, self.clock.monotonic(), named)

    async def wait(self, timeout: float, workspace: str | None) -> Lane | None:
        """Wait for a connection, or for the room to open one."""
        waiter = Waiter(workspace)
        turn = waiter.granted
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                return await turn
        except TimeoutError:
            return turn.result() if granted(turn) else None
        except asyncio.CancelledError:
            if granted(turn):
                self.pass_on(turn.result())
            raise
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def pass_on(self, lane: Lane | None) -> None:
        """Give away what was granted to somebody who is gone."""
        if lane is None:
            self.wake(None)
        else:
            self.give_back(lane)

    def release(self, lane: Lane, reply: MemberReply) -> None:
        """Take a connection back, unless a transaction is still open on it."""
        if reply.state is SessionState.IDLE:
            self.give_back(lane)
        else:
            self.discard(lane)

    def give_back(self, lane: Lane) -> None:
        """Take back a connection that is in good order."""
        self.returned(lane)
        if lane.connection.lost or self.closed:
            self.discard(lane)
            return
        lane.used = self.clock.monotonic()
        if self.wake(lane):
            return
        self.idle.append(lane)
        if not self.wake(None):
            self.on_free()

    def discard(self, lane: Lane) -> None:
        """Close a connection that is in doubt or has an open transaction."""
        lane.connection.close()
        self.forget(lane)

    def forget(self, lane: Lane) -> None:
        """Make room for another connection."""
        self.returned(lane)
        self.count -= 1
        if not self.wake(None):
            self.on_free()

    def wake(self, lane: Lane | None) -> bool:
        """Hand a connection, or the room for one, to the first that can use it."""
        for waiter in list(self.waiting):
            if lane is not None and not lane.serves(waiter.workspace):
                continue
            self.waiting.remove(waiter)
            if not waiter.granted.done():
                waiter.granted.set_result(lane)
                return True
        return False

    def drop_idle(self) -> None:
        """Close what is idle: what lost track of one may have lost them all."""
        while self.idle:
            self.discard(self.idle.pop())

    def drop_unused(self) -> None:
        """Close connections that nobody used for long."""
        before = self.clock.monotonic() - IDLE_TIME
        for lane in [one for one in self.idle if one.used < before]:
            self.idle.remove(lane)
            self.discard(lane)

    def close(self) -> None:
        """Close what is idle now, and what is lent when it comes back."""
        self.closed = True
        self.drop_idle()
        while self.wake(None):
            pass

    async def prepare(
        self,
        lane: Lane,
        session: str,
        settings: dict[str, str],
        inside: bool,
        last: Query | None = None,
    ) -> MemberReply | None:
        """Bring the state of a session onto a connection.

        All is answered before anything of the session runs.

        :param inside: whether a transaction is open, in which nothing that is
            not the session's own can stand on the connection.
        :param last: goes along in the same round trip; it must have no effect
            if the connection is closed.
        :returns: the answer to `last`.
        :raises MemberSilent: if an answer is missing, or is an error.
        """
        queries = self.missing(lane, session, settings, inside)
        stale = self.clock.monotonic() - lane.used > VERIFY_AFTER
        if not queries and last is None and stale and not inside:
            queries = [self.own(self.phrases.reset())]
            queries += [self.own(text) for text in settings.values()]
        lane.session = session
        sent = queries if last is None else [*queries, last]
        if not sent:
            return None
        lane.unsure = True
        replies = await lane.connection.exchange(sent, SYNC_TIMEOUT)
        for reply in replies[: len(queries)]:
            if reply.fault is not Fault.NONE:
                lane.connection.close()
                raise MemberSilent(f"a setting was refused: {reply.fault.value}")
        lane.applied = dict(settings)
        lane.unsure = False
        lane.used = self.clock.monotonic()
        return None if last is None else replies[-1]

    def missing(
        self, lane: Lane, session: str, settings: dict[str, str], inside: bool
    ) -> list[Query]:
        """Return the statements that lead to the state of the session."""
        if lane.session != session or lane.unsure:
            if not lane.applied and not lane.unsure:
                return [self.own(text) for text in settings.values()]
            if not inside:
                fresh = [self.own(self.phrases.reset())]
                return fresh + [self.own(text) for text in settings.values()]
        return self.differences(lane, settings)

    def differences(self, lane: Lane, settings: dict[str, str]) -> list[Query]:
        """Return the statements that turn one state of a session into another."""
        queries = []
        for key, text in lane.applied.items():
            kind, _, name = key.partition(" ")
            if kind == PREPARED and settings.get(key) != text:
                queries.append(self.own(self.phrases.deallocate(name)))
        for key, text in settings.items():
            if lane.applied.get(key) != text:
                queries.append(self.own(text))
        return queries

    def own(self, text: str) -> Query:
        """Return a query of our own."""
        return Query("", text)
