"""Connections to one target that many sessions share in turns."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from typing import Final, TypeAlias

from ..clock import Clock
from ..request.position import Position
from ..request.refusal import RefusalError, RefusalReason, not_run
from ..version.route_table import TargetAnnouncement
from .pooled_connection import PooledConnection, Waiter, is_granted, reset_cost
from .session_state import SessionState
from .session_target import (
    SessionTargetDataLossError,
    SessionTargetDriver,
    SessionTargetFullError,
    SessionTargetNoReplyError,
    SessionTargetReply,
    StatementDialect,
    StatementFault,
    TargetQuery,
)

OnConnectionOpened: TypeAlias = Callable[[Position | None], None]

CONNECT_TIMEOUT_SECONDS: Final = 0.4
"""Seconds to open a connection: the target's 12 ms, two slow statements of
110 ms ahead of it in its slots, and some room."""

MAX_CONNECTION_WAIT_SECONDS: Final = 0.3
"""Seconds for which a statement waits for a connection. Statements have 0.8 s and
callers try three times in 1.5 s: one that waited to its end, untried, would leave
its caller no time for another try."""

LEND_TIME_SMOOTHING_FACTOR: Final = 0.2
"""Weight of the last connection that came back in the average time of lending;
some ten of them change it, a second at a busy target."""

VERIFY_AFTER_IDLE_SECONDS: Final = 1.0
"""Seconds of rest after which a connection may have gone silent, so that a
write is not sent on it before it has answered something harmless."""

STATE_SYNC_TIMEOUT_SECONDS: Final = 0.25
"""Seconds in which a target answers statements that hold no slot."""

MAX_IDLE_SECONDS: Final = 20.0
"""Seconds after which a connection that nobody used is closed; targets accept
few, and a home that has moved must make room."""

FULL_TARGET_RETRY_SECONDS: Final = 0.002
"""Seconds until a target that was full has noticed that a connection was closed."""

RETRY_MS: Final = 50
"""When to come back to a target that could not be reached, in milliseconds."""

PREPARED: Final = "prepared"
VALUE: Final = "value"
"""Kinds in the keys of a session's state; a name follows after a blank."""


class SessionConnectionPool:
    """Open, lend and keep connections to one target.

    The target is told of one workspace on each, and statements of no other may run
    there. Where this host may open no more, an idle one makes room for another
    workspace.

    :param max_in_use: connections that may be in use at once.
    :param max_open: connections that may be open at once, those included that are kept
        for the workspaces of before; `limit` if it is not given.
    :param on_open: is told of the position that the target states on each new
        connection; raises `MemberReborn` if the target is not to be used.
    :ivar open_count: connections that are open or being opened.
    :ivar lent: connections in use.
    :ivar evicted: connections closed so far to make room for other workspaces.
    :ivar on_free: is called when a connection, or the room for one, is free.
    :ivar mean_lend_seconds: seconds for which connections were lent of late, on
        average.
    """

    def __init__(
        self,
        entry: TargetAnnouncement,
        driver: SessionTargetDriver,
        dialect: StatementDialect,
        max_in_use: int,
        clock: Clock,
        on_open: OnConnectionOpened = lambda position: None,
        max_open: int | None = None,
    ) -> None:
        self.max_open = max_in_use if max_open is None else max_open
        self.entry = entry
        self.on_open = on_open
        self.driver = driver
        self.dialect = dialect
        self.max_in_use = max_in_use
        self.clock = clock
        self.idle: list[PooledConnection] = []
        self.lent: set[PooledConnection] = set()
        self.waiting: deque[Waiter] = deque()
        self.open_count = 0
        self.mean_lend_seconds = 0.0
        self.evicted = 0
        self.closed = False
        self.on_free: Callable[[], None] = lambda: None

    async def borrow(
        self, session: str, timeout: float, workspace: str | None = ""
    ) -> PooledConnection:
        """Lend a connection of the workspace, best one that the session used last.

        :param timeout: seconds.
        :param workspace: None for statements of this system, which may use any.
        :raises Refusal: not run, if none comes free in time.
        :raises MemberUnreachable: if the target accepts none; see `MemberDriver`.
        """
        self.check_queue()
        deadline = self.clock.monotonic() + timeout
        patience = self.clock.monotonic() + min(timeout, MAX_CONNECTION_WAIT_SECONDS)
        while True:
            if not self.exhausted():
                lane = self.claim_idle(session, workspace)
                if lane is not None:
                    return self.lend(lane)
                if self.open_count >= self.max_open:
                    self.evict_idle()
            now = self.clock.monotonic()
            if now >= patience or self.closed:
                raise self.overloaded("no connection came free in time")
            if self.open_count < self.max_open and not self.exhausted():
                try:
                    opening = min(deadline - now, CONNECT_TIMEOUT_SECONDS)
                    return self.lend(await self.open(opening, workspace))
                except SessionTargetFullError:
                    if self.open_count == 0:
                        raise
                    if self.idle:
                        self.evict_idle()
                        await self.clock.sleep(FULL_TARGET_RETRY_SECONDS)
                        continue
            lane = await self.wait(patience - now, workspace)
            if lane is not None:
                return self.lend(lane)

    def check_queue(self) -> None:
        """Refuse at once what would wait for longer than it may.

        :raises Refusal: not run.
        """
        if self.exhausted() and self.expected_wait() > MAX_CONNECTION_WAIT_SECONDS:
            waiting = len(self.waiting)
            raise self.overloaded(f"{waiting} statements wait for a connection")

    def expected_wait(self) -> float:
        """Return after how many seconds a statement would get a connection."""
        return (
            (len(self.waiting) + 1) * self.mean_lend_seconds / max(self.max_in_use, 1)
        )

    def overloaded(self, detail: str) -> RefusalError:
        """Return the refusal of a statement that gets no connection."""
        return not_run(
            RefusalReason.OVERLOADED,
            f"{detail} at {self.entry.target}",
            max(RETRY_MS, int(self.expected_wait() * 1000.0)),
        )

    def lend(self, pooled: PooledConnection) -> PooledConnection:
        """Note that a connection is in use."""
        self.lent.add(pooled)
        pooled.lent_at = self.clock.monotonic()
        return pooled

    def mark_returned(self, pooled: PooledConnection) -> None:
        """Note that a connection is in use no more."""
        if pooled not in self.lent:
            return
        self.lent.discard(pooled)
        lasted = self.clock.monotonic() - pooled.lent_at
        self.mean_lend_seconds += LEND_TIME_SMOOTHING_FACTOR * (
            lasted - self.mean_lend_seconds
        )

    def claim_idle(
        self, session: str, workspace: str | None
    ) -> PooledConnection | None:
        """Return an idle connection of the workspace, or None."""
        self.idle = [lane for lane in self.idle if not self.remove_if_lost(lane)]
        found = [lane for lane in self.idle if lane.accepts_workspace(workspace)]
        if not found:
            return None
        lane = min(found, key=lambda one: (reset_cost(one, session), one.used))
        self.idle.remove(lane)
        return lane

    def evict_idle(self) -> None:
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
        self.open_count -= 1
        self.evicted += 1

    def in_use(self) -> int:
        """Return how many connections are lent or being opened."""
        return self.open_count - len(self.idle)

    def exhausted(self) -> bool:
        """Say whether as many connections are in use as may be."""
        return self.in_use() >= self.max_in_use

    def remove_if_lost(self, pooled: PooledConnection) -> bool:
        """Say whether the target has closed an idle connection; forget it then."""
        if not pooled.connection.closed:
            return False
        self.remove(pooled)
        return True

    async def open(self, timeout: float, workspace: str | None) -> PooledConnection:
        """Open a connection.

        :raises MemberUnreachable: if that fails.
        """
        self.open_count += 1
        try:
            named = workspace or ""
            connection = await self.driver.connect(self.entry, timeout, named)
            try:
                self.on_open(connection.initial_position)
            except SessionTargetDataLossError:
                connection.close()
                raise
        except BaseException:
            self.open_count -= 1
            self.grant_to_waiter(None)
            raise
        return PooledConnection(connection, self.clock.monotonic(), named)

    async def wait(
        self, timeout: float, workspace: str | None
    ) -> PooledConnection | None:
        """Wait for a connection, or for the room to open one."""
        waiter = Waiter(workspace)
        turn = waiter.granted
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                return await turn
        except TimeoutError:
            return turn.result() if is_granted(turn) else None
        except asyncio.CancelledError:
            if is_granted(turn):
                self.reassign_grant(turn.result())
            raise
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def reassign_grant(self, pooled: PooledConnection | None) -> None:
        """Give away what was granted to somebody who is gone."""
        if pooled is None:
            self.grant_to_waiter(None)
        else:
            self.give_back(pooled)

    def release(self, pooled: PooledConnection, reply: SessionTargetReply) -> None:
        """Take a connection back, unless a transaction is still open on it."""
        if reply.state is SessionState.IDLE:
            self.give_back(pooled)
        else:
            self.discard(pooled)

    def give_back(self, pooled: PooledConnection) -> None:
        """Take back a connection that is in good order."""
        self.mark_returned(pooled)
        if pooled.connection.closed or self.closed:
            self.discard(pooled)
            return
        pooled.used = self.clock.monotonic()
        if self.grant_to_waiter(pooled):
            return
        self.idle.append(pooled)
        if not self.grant_to_waiter(None):
            self.on_free()

    def discard(self, pooled: PooledConnection) -> None:
        """Close a connection that is in doubt or has an open transaction."""
        pooled.connection.close()
        self.remove(pooled)

    def remove(self, pooled: PooledConnection) -> None:
        """Make room for another connection."""
        self.mark_returned(pooled)
        self.open_count -= 1
        if not self.grant_to_waiter(None):
            self.on_free()

    def grant_to_waiter(self, pooled: PooledConnection | None) -> bool:
        """Hand a connection, or the room for one, to the first that can use it."""
        for waiter in list(self.waiting):
            if pooled is not None and not pooled.accepts_workspace(waiter.workspace):
                continue
            self.waiting.remove(waiter)
            if not waiter.granted.done():
                waiter.granted.set_result(pooled)
                return True
        return False

    def drop_idle(self) -> None:
        """Close what is idle: what lost track of one may have lost them all."""
        while self.idle:
            self.discard(self.idle.pop())

    def drop_unused(self) -> None:
        """Close connections that nobody used for long."""
        before = self.clock.monotonic() - MAX_IDLE_SECONDS
        for lane in [one for one in self.idle if one.used < before]:
            self.idle.remove(lane)
            self.discard(lane)

    def close(self) -> None:
        """Close what is idle now, and what is lent when it comes back."""
        self.closed = True
        self.drop_idle()
        while self.grant_to_waiter(None):
            pass

    async def apply_session_state(
        self,
        pooled: PooledConnection,
        session: str,
        settings: dict[str, str],
        in_transaction: bool,
        final_query: TargetQuery | None = None,
    ) -> SessionTargetReply | None:
        """Bring the state of a session onto a connection.

        All is answered before anything of the session runs.

        :param in_transaction: whether a transaction is open, in which nothing that is
            not the session's own can stand on the connection.
        :param final_query: goes along in the same round trip; it must have no effect
            if the connection is closed.
        :returns: the answer to `last`.
        :raises MemberSilent: if an answer is missing, or is an error.
        """
        queries = self.state_setup_queries(pooled, session, settings, in_transaction)
        stale = self.clock.monotonic() - pooled.used > VERIFY_AFTER_IDLE_SECONDS
        if not queries and final_query is None and stale and not in_transaction:
            queries = [self.internal_query(self.dialect.reset())]
            queries += [self.internal_query(text) for text in settings.values()]
        pooled.session = session
        sent = queries if final_query is None else [*queries, final_query]
        if not sent:
            return None
        pooled.state_uncertain = True
        replies = await pooled.connection.exchange(sent, STATE_SYNC_TIMEOUT_SECONDS)
        for reply in replies[: len(queries)]:
            if reply.fault is not StatementFault.NONE:
                pooled.connection.close()
                raise SessionTargetNoReplyError(
                    f"a setting was refused: {reply.fault.value}"
                )
        pooled.applied_settings = dict(settings)
        pooled.state_uncertain = False
        pooled.used = self.clock.monotonic()
        return None if final_query is None else replies[-1]

    def state_setup_queries(
        self,
        pooled: PooledConnection,
        session: str,
        settings: dict[str, str],
        in_transaction: bool,
    ) -> list[TargetQuery]:
        """Return the statements that lead to the state of the session."""
        if pooled.session != session or pooled.state_uncertain:
            if not pooled.applied_settings and not pooled.state_uncertain:
                return [self.internal_query(text) for text in settings.values()]
            if not in_transaction:
                fresh = [self.internal_query(self.dialect.reset())]
                return fresh + [self.internal_query(text) for text in settings.values()]
        return self.differences(pooled, settings)

    def differences(
        self, pooled: PooledConnection, settings: dict[str, str]
    ) -> list[TargetQuery]:
        """Return the statements that turn one state of a session into another."""
        queries = []
        for key, text in pooled.applied_settings.items():
            kind, _, name = key.partition(" ")
            if kind == PREPARED and settings.get(key) != text:
                queries.append(self.internal_query(self.dialect.deallocate(name)))
        for key, text in settings.items():
            if pooled.applied_settings.get(key) != text:
                queries.append(self.internal_query(text))
        return queries

    def internal_query(self, text: str) -> TargetQuery:
        """Return a query of our own."""
        return TargetQuery("", text)
