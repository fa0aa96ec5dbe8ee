"""Client sessions that are open at this host, and their graceful close."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Final

from ..clock import Clock
from ..connection.session import Session, unknown_database_refusal
from ..decision_log import DecisionLog
from ..metrics import Metrics
from ..request.authorization import Authorizer
from ..request.refusal import RefusalReason, not_run
from ..request.session_router import SessionRouter
from .discovery.announcements import Announcements

CONFIGURATION_TIMEOUT_SECONDS: Final = 1.5
"""Limit of a new session's wait for the first configuration; callers time out
after 2 s."""

ROTATION_DELAY_SECONDS: Final = 2.2
"""Time until the load balancer stops sending connections to an unready host: it
removes a host after two failed readiness checks, one a second."""

POLL_INTERVAL_SECONDS: Final = 0.05
CLOSE_INTERVAL_SECONDS: Final = 1.0
"""Interval at which an unready host selects open sessions to close; a caller that
reconnects to it nevertheless is served until the next round."""

RETRY_MS: Final = 500
"""Retry delay for callers of a host without a configuration."""


class CallerConnection(ABC):
    """Represent the connection of one caller."""

    @abstractmethod
    def is_idle(self) -> bool:
        """Return whether no response is pending and no transaction is open."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection after flushing its write buffer."""

    @abstractmethod
    def abort_transaction(self, cause: str) -> None:
        """Abort the open transaction, if any, on behalf of the host."""

    @abstractmethod
    def is_access_revoked(self) -> bool:
        """Return whether the caller's key no longer grants access."""


class CallerSessions:
    """Open sessions and track the connections of callers.

    :ivar leaving: whether this host drains: sessions are closed when idle.
    """

    def __init__(
        self,
        incarnation: str,
        steering: SessionRouter,
        announcements: Announcements,
        authorization: Authorizer,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.incarnation = incarnation
        self.authorization = authorization
        self.steering = steering
        self.announcements = announcements
        self.clock = clock
        self.decisions = decisions
        self.metrics = metrics
        self.connections: set[CallerConnection] = set()
        self.opened = 0
        self.leaving = False
        announcements.on_table.append(lambda table: self.close_revoked())

    async def open_session(self, database: str, key: str = "") -> Session:
        """Return a new session.

        :param key: the caller's access key; empty for none.
        :raises RefusalError: if the database is unknown, if there is no
            configuration yet, or if the key grants no access to the database.
        """
        if not self.announcements.configured.is_set():
            await self.wait_for_configuration()
        route = self.announcements.table.routes.get(database)
        if route is None:
            self.decisions.record(
                "unknown_database",
                database=database,
                configuration=self.announcements.table.version,
            )
            raise unknown_database_refusal(database)
        digest = self.authorization.authorize_session(route, key)
        self.opened += 1
        self.metrics.increment("sessions")
        return Session(
            f"{self.incarnation}.{self.opened}",
            database,
            digest,
            self.steering,
            self.announcements,
            self.authorization,
            self.clock,
            self.decisions,
            self.metrics,
        )

    async def wait_for_configuration(self) -> None:
        """Wait for the first configuration.

        :raises RefusalError: if none arrives in time.
        """
        try:
            async with asyncio.timeout(CONFIGURATION_TIMEOUT_SECONDS):
                await self.announcements.configured.wait()
        except TimeoutError:
            raise not_run(
                RefusalReason.NO_CONFIGURATION,
                "no configuration is known yet",
                RETRY_MS,
            ) from None

    async def drain(self, transactions: float) -> None:
        """Close all sessions as they become idle.

        :param transactions: seconds after which open transactions are aborted.
        """
        self.leaving = True
        started_at = self.clock.monotonic()
        while self.clock.monotonic() - started_at < transactions:
            self.close_idle(self.connections)
            out_of_rotation = (
                self.clock.monotonic() - started_at >= ROTATION_DELAY_SECONDS
            )
            if out_of_rotation and not self.connections:
                return
            await self.clock.sleep(POLL_INTERVAL_SECONDS)
        for connection in list(self.connections):
            connection.abort_transaction("the host ends")
        self.close_idle(self.connections)

    async def close_while_unready(self, unready_seconds: Callable[[], float]) -> None:
        """Close idle sessions while this host is out of rotation, until cancelled.

        Their callers reconnect to a host that can serve them. Busy sessions are
        closed as soon as they become idle, without waiting for the next round.

        :param unready_seconds: returns how long this host has been unready, in
            seconds; 0 while it is ready.
        """
        next_round = ROTATION_DELAY_SECONDS
        closing: set[CallerConnection] = set()
        while True:
            await self.clock.sleep(POLL_INTERVAL_SECONDS)
            unready_for = unready_seconds()
            if unready_for == 0.0:
                next_round = ROTATION_DELAY_SECONDS
                closing.clear()
            elif unready_for >= next_round:
                next_round = unready_for + CLOSE_INTERVAL_SECONDS
                closing = set(self.connections)
                self.decisions.record("sessions_moved", sessions=len(closing))
            closing &= self.connections
            self.close_idle(closing)

    def close_idle(self, among: Iterable[CallerConnection]) -> None:
        """Close the idle ones of the given connections."""
        for connection in list(among):
            if connection.is_idle():
                connection.close()

    def close_revoked(self) -> None:
        """Close idle sessions whose access key was revoked.

        The next statement of a busy session is refused instead.
        """
        revoked = [one for one in self.connections if one.is_access_revoked()]
        if revoked:
            self.decisions.record("keys_removed", sessions=len(revoked))
        self.close_idle(revoked)

    def has_requests_in_progress(self) -> bool:
        """Return whether a request or a transaction is in progress."""
        return any(not one.is_idle() for one in self.connections)
