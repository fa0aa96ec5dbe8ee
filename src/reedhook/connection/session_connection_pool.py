"""Connections to one target, multiplexed among many sessions."""

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
from .session_target_refusals import home_closed_refusal

OnConnectionOpened: TypeAlias = Callable[[Position | None], None]

CONNECT_TIMEOUT_SECONDS: Final = 0.4
"""Must exceed the time that a busy target takes for the statements ahead."""

MAX_CONNECTION_WAIT_SECONDS: Final = 0.3
"""Must leave the caller time to retry elsewhere within its own timeout."""

LEND_TIME_SMOOTHING_FACTOR: Final = 0.2
"""Weight of the newest sample in the moving average of lend times."""

VERIFY_AFTER_IDLE_SECONDS: Final = 1.0
"""Idle time after which a connection is verified before it carries a statement,
since it may have been lost without notice."""

STATE_SYNC_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of statements that need no slot at the target."""

MAX_IDLE_SECONDS: Final = 20.0
"""Idle time after which a connection is closed; targets accept few, and the next
home of the target needs room."""

FULL_TARGET_RETRY_SECONDS: Final = 0.002
"""Delay for a full target to notice that a connection was closed."""

RETRY_MS: Final = 50
"""Minimum retry delay of a refusal."""

PREPARED: Final = "prepared"
VALUE: Final = "value"
"""Prefixes of the keys of session settings, which read ``<kind> <name>``."""


class SessionConnectionPool:
    """Open, lend and keep connections to one target.

    Each connection is bound to one workspace and never runs statements of another.
    At the limit of open connections, an idle one is evicted for another workspace.

    :param max_in_use: connections that may be in use at once.
    :param max_open: connections that may be open at once, idle ones included;
        defaults to `max_in_use`.
    :param on_open: called with the initial position of each new connection; raises
        `SessionTargetDataLossError` if the target must not be used.
    :ivar open_count: connections that are open or being opened.
    :ivar lent: connections in use.
    :ivar evicted: connections closed so far to make room for other workspaces.
    :ivar on_free: called when a connection or capacity for one becomes free.
    :ivar mean_lend_seconds: moving average of lend times.
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
        """Lend a connection of the workspace, preferably the session's last one.

        :param timeout: seconds.
        :param workspace: None for internal statements, which may use any connection.
        :raises RefusalError: not run, if no connection becomes free in time or the
            pool is closed.
        :raises SessionTargetUnreachableError: if no connection can be opened; see
            `SessionTargetDriver`.
        """
        self.check_queue()
        deadline = self.clock.monotonic() + timeout
        wait_until = self.clock.monotonic() + min(timeout, MAX_CONNECTION_WAIT_SECONDS)
        while True:
            if not self.exhausted():
                pooled = self.claim_idle(session, workspace)
                if pooled is not None:
                    return self.lend(pooled)
                if self.open_count >= self.max_open:
                    self.evict_idle()
            now = self.clock.monotonic()
            if now >= wait_until or self.closed:
                raise self.overloaded("no connection became free in time")
            if self.open_count < self.max_open and not self.exhausted():
                try:
                    connect_timeout = min(deadline - now, CONNECT_TIMEOUT_SECONDS)
                    return self.lend(await self.open(connect_timeout, workspace))
                except SessionTargetFullError:
                    if self.open_count == 0:
                        raise
                    if self.idle:
                        self.evict_idle()
                        await self.clock.sleep(FULL_TARGET_RETRY_SECONDS)
                        continue
            pooled = await self.wait(wait_until - now, workspace)
            if pooled is not None and self.closed:
                # It was neither idle nor lent as the pool was closed.
                self.discard(pooled)
                raise home_closed_refusal()
            if pooled is not None:
                return self.lend(pooled)

    def check_queue(self) -> None:
        """Refuse a statement at once if its expected wait is too long.

        :raises RefusalError: not run.
        """
        if self.exhausted() and self.expected_wait() > MAX_CONNECTION_WAIT_SECONDS:
            waiting = len(self.waiting)
            raise self.overloaded(f"{waiting} statements wait for a connection")

    def expected_wait(self) -> float:
        """Return the expected wait for a connection, in seconds."""
        return (
            (len(self.waiting) + 1) * self.mean_lend_seconds / max(self.max_in_use, 1)
        )

    def overloaded(self, detail: str) -> RefusalError:
        """Return an overload refusal whose retry delay covers the expected wait."""
        return not_run(
            RefusalReason.OVERLOADED,
            f"{detail} at {self.entry.target}",
            max(RETRY_MS, int(self.expected_wait() * 1000.0)),
        )

    def lend(self, pooled: PooledConnection) -> PooledConnection:
        """Mark a connection as in use."""
        self.lent.add(pooled)
        pooled.lent_at = self.clock.monotonic()
        return pooled

    def mark_returned(self, pooled: PooledConnection) -> None:
        """Mark a connection as not in use and update the mean lend time."""
        if pooled not in self.lent:
            return
        self.lent.discard(pooled)
        lent_seconds = self.clock.monotonic() - pooled.lent_at
        self.mean_lend_seconds += LEND_TIME_SMOOTHING_FACTOR * (
            lent_seconds - self.mean_lend_seconds
        )

    def claim_idle(
        self, session: str, workspace: str | None
    ) -> PooledConnection | None:
        """Take the idle connection that is cheapest to reset for the session.

        Return None if the workspace has none.
        """
        self.idle = [pooled for pooled in self.idle if not self.remove_if_lost(pooled)]
        candidates = [
            pooled for pooled in self.idle if pooled.accepts_workspace(workspace)
        ]
        if not candidates:
            return None
        pooled = min(candidates, key=lambda one: (reset_cost(one, session), one.used))
        self.idle.remove(pooled)
        return pooled

    def evict_idle(self) -> None:
        """Close an idle connection, if there is one.

        Prefer workspaces with several idle connections, then the least recently used.
        """
        if not self.idle:
            return
        idle_counts = Counter(pooled.workspace for pooled in self.idle)
        pooled = min(
            self.idle, key=lambda one: (idle_counts[one.workspace] < 2, one.used)
        )
        self.idle.remove(pooled)
        pooled.connection.close()
        self.open_count -= 1
        self.evicted += 1

    def in_use(self) -> int:
        """Return how many connections are lent or being opened."""
        return self.open_count - len(self.idle)

    def exhausted(self) -> bool:
        """Return whether the limit of connections in use is reached."""
        return self.in_use() >= self.max_in_use

    def remove_if_lost(self, pooled: PooledConnection) -> bool:
        """Remove an idle connection if it has closed; return whether it had."""
        if not pooled.connection.closed:
            return False
        self.remove(pooled)
        return True

    async def open(self, timeout: float, workspace: str | None) -> PooledConnection:
        """Open a connection.

        :raises RefusalError: not run, if the pool is closed meanwhile.
        :raises SessionTargetUnreachableError: if that fails.
        """
        self.open_count += 1
        try:
            bound_workspace = workspace or ""
            connection = await self.driver.connect(self.entry, timeout, bound_workspace)
            try:
                if self.closed:
                    raise home_closed_refusal()
                self.on_open(connection.initial_position)
            except (RefusalError, SessionTargetDataLossError):
                connection.close()
                raise
        except BaseException:
            self.open_count -= 1
            self.grant_to_waiter(None)
            raise
        return PooledConnection(connection, self.clock.monotonic(), bound_workspace)

    async def wait(
        self, timeout: float, workspace: str | None
    ) -> PooledConnection | None:
        """Wait for a connection; return None for capacity to open one, or a timeout."""
        waiter = Waiter(workspace)
        grant = waiter.granted
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout):
                return await grant
        except TimeoutError:
            return grant.result() if is_granted(grant) else None
        except asyncio.CancelledError:
            if is_granted(grant):
                self.reassign_grant(grant.result())
            raise
        finally:
            if waiter in self.waiting:
                self.waiting.remove(waiter)

    def reassign_grant(self, pooled: PooledConnection | None) -> None:
        """Pass a grant on whose waiter was cancelled."""
        if pooled is None:
            self.grant_to_waiter(None)
        else:
            self.give_back(pooled)

    def release(self, pooled: PooledConnection, reply: SessionTargetReply) -> None:
        """Take back a connection, or close it if a transaction is still open."""
        if reply.state is SessionState.IDLE:
            self.give_back(pooled)
        else:
            self.discard(pooled)

    def give_back(self, pooled: PooledConnection) -> None:
        """Take back a healthy connection."""
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
        """Close a connection whose state is unknown or has an open transaction."""
        pooled.connection.close()
        self.remove(pooled)

    def remove(self, pooled: PooledConnection) -> None:
        """Stop counting a connection that has closed, and wake a waiter."""
        self.mark_returned(pooled)
        self.open_count -= 1
        if not self.grant_to_waiter(None):
            self.on_free()

    def grant_to_waiter(self, pooled: PooledConnection | None) -> bool:
        """Hand a connection, or capacity for one, to the first eligible waiter."""
        for waiter in list(self.waiting):
            if pooled is not None and not pooled.accepts_workspace(waiter.workspace):
                continue
            self.waiting.remove(waiter)
            if not waiter.granted.done():
                waiter.granted.set_result(pooled)
                return True
        return False

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.discard(self.idle.pop())

    def drop_unused(self) -> None:
        """Close connections that have been idle for `MAX_IDLE_SECONDS`."""
        used_before = self.clock.monotonic() - MAX_IDLE_SECONDS
        for pooled in [one for one in self.idle if one.used < used_before]:
            self.idle.remove(pooled)
            self.discard(pooled)

    def close(self) -> None:
        """Close idle connections now, and others once they are open or returned."""
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
        """Apply the settings and prepared statements of a session to a connection.

        All replies are awaited before any statement of the session may run.

        :param in_transaction: whether a transaction of the session is open on the
            connection, so that a reset is neither needed nor allowed.
        :param final_query: sent in the same round trip; it must have no effect if the
            connection is closed.
        :returns: the reply to `final_query`.
        :raises SessionTargetNoReplyError: if a reply is missing or is an error.
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
                    f"the target refused a session setting: {reply.fault.value}"
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
        """Return the statements that bring a connection to the session's state."""
        if pooled.session != session or pooled.state_uncertain:
            if not pooled.applied_settings and not pooled.state_uncertain:
                return [self.internal_query(text) for text in settings.values()]
            if not in_transaction:
                reset = [self.internal_query(self.dialect.reset())]
                return reset + [self.internal_query(text) for text in settings.values()]
        return self.differences(pooled, settings)

    def differences(
        self, pooled: PooledConnection, settings: dict[str, str]
    ) -> list[TargetQuery]:
        """Return the statements that turn the applied settings into `settings`."""
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
        """Return a query without a caller's statement id."""
        return TargetQuery("", text)
