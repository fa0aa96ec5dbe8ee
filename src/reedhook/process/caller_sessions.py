"""Client sessions that are open at this host, and their graceful close."""

import asyncio
import math
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
from .drain_schedule import ROTATION_DELAY_SECONDS, DrainSchedule

CONFIGURATION_TIMEOUT_SECONDS: Final = 1.5
"""Limit of a new session's wait for the first configuration; callers time out
after 2 s."""

POLL_INTERVAL_SECONDS: Final = 0.05
CLOSE_INTERVAL_SECONDS: Final = 1.0
"""Interval at which an unready host selects open sessions to close; a caller that
reconnects to it nevertheless is served until the next round."""

HOST_ENDS: Final = "the host ends"
"""Why a transaction that exceeds its time in a shutdown is aborted."""

RETRY_MS: Final = 500
"""Retry delay for callers of a host without a configuration."""


class CallerConnection(ABC):
    """Represent the connection of one caller.

    :ivar close_at: monotonic time from which the connection closes as soon as no
        response is pending and no transaction is open.
    """

    close_at: float = math.inf

    @abstractmethod
    def is_quiet(self) -> bool:
        """Return whether no response is pending."""

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
    """Open sessions and track the connections of callers."""

    def __init__(
        self,
        incarnation: str,
        steering: SessionRouter,
        announcements: Announcements,
        authorization: Authorizer,
        drain_schedule: DrainSchedule,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.incarnation = incarnation
        self.authorization = authorization
        self.steering = steering
        self.announcements = announcements
        self.drain_schedule = drain_schedule
        self.clock = clock
        self.decisions = decisions
        self.metrics = metrics
        self.connections: set[CallerConnection] = set()
        self.opened = 0
        announcements.on_table.append(lambda table: self.close_revoked())

    async def open_session(self, database: str, key: str = "") -> Session:
        """Return a new session.

        :param key: the caller's access key; empty for none.
        :raises RefusalError: if the database is unknown, if there is no
            configuration yet, if the key grants no access to the database, or if
            this host would refuse its statements since it shuts down.
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
        self.drain_schedule.check_statement(route.statement_timeout_seconds)
        self.opened += 1
        self.metrics.increment("sessions")
        return Session(
            f"{self.incarnation}.{self.opened}",
            database,
            digest,
            self.steering,
            self.announcements,
            self.authorization,
            self.drain_schedule,
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

    async def drain(self, grace: float) -> None:
        """Close all sessions one by one, each when no transaction is open.

        A busy session closes with an answer, so that no statement is in transit.
        Returns when no session is left, or when open transactions were aborted.

        :param grace: seconds from now until the process is killed.
        """
        schedule = self.drain_schedule
        schedule.start(grace)
        for connection in self.connections:
            connection.close_at = schedule.closing_time()
        while not schedule.are_transactions_over():
            self.close_due()
            if schedule.is_out_of_rotation() and not self.connections:
                return
            await self.clock.sleep(POLL_INTERVAL_SECONDS)
        self.abort_transactions()
        self.close_due()

    async def finish(self) -> None:
        """Refuse statements, and close all sessions after the last answers."""
        self.drain_schedule.stop()
        self.abort_transactions()
        while self.connections:
            for connection in list(self.connections):
                if connection.is_quiet():
                    connection.close()
            if self.clock.monotonic() >= self.drain_schedule.exit_at:
                return
            await self.clock.sleep(POLL_INTERVAL_SECONDS)

    def abort_transactions(self) -> None:
        """Abort open transactions; those with a statement in progress end after it."""
        for connection in list(self.connections):
            connection.abort_transaction(HOST_ENDS)

    def accepts_none(self) -> bool:
        """Return whether the statements of all routes are refused."""
        routes = self.announcements.table.routes.values()
        return self.drain_schedule.accepts_none(
            route.statement_timeout_seconds for route in routes
        )

    def close_due(self) -> None:
        """Close the idle sessions that are scheduled to close."""
        now = self.clock.monotonic()
        self.close_idle([one for one in self.connections if now >= one.close_at])

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
