"""The sessions that are open at this host, and their gentle end."""

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
"""Seconds for which a new session waits for the first configuration; callers
give up after 2 s."""

ROTATION_DELAY_SECONDS: Final = 2.2
"""Seconds for which the platform goes on sending new connections to a host that
is not ready: it asks each second, twice."""

POLL_INTERVAL_SECONDS: Final = 0.05
"""Seconds between two looks at what is still open."""

CLOSE_INTERVAL_SECONDS: Final = 1.0
"""Seconds between two rounds in which idle sessions are closed at a host that gets
no new ones; a caller that comes back all the same has some time in between."""

RETRY_MS: Final = 500
"""When to come back to a host without a configuration, in milliseconds."""


class CallerConnection(ABC):
    """Hold the connection of one caller."""

    @abstractmethod
    def is_idle(self) -> bool:
        """Say whether no answer is owed and no transaction is open."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection once what was written has gone out."""

    @abstractmethod
    def abort_transaction(self, cause: str) -> None:
        """End the open transaction on our own account."""

    @abstractmethod
    def is_access_revoked(self) -> bool:
        """Say whether the key of the caller opens nothing any more."""


class CallerSessions:
    """Open sessions and keep the connections of callers.

    :ivar leaving: whether sessions are closed when nothing is outstanding.
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

        :param key: of the caller; empty for none.
        :raises Refusal: if there is no such database, no configuration, or if the
            key does not open the database.
        """
        if not self.announcements.configured.is_set():
            await self.wait_for_configuration()
        route = self.announcements.table.routes.get(database)
        if route is None:
            self.decisions.record(
                "no_database",
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

        :raises Refusal: if none comes in time.
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

        :param transactions: seconds for which open transactions may go on.
        """
        self.leaving = True
        begun = self.clock.monotonic()
        while self.clock.monotonic() - begun < transactions:
            self.close_idle(self.connections)
            rotated = self.clock.monotonic() - begun >= ROTATION_DELAY_SECONDS
            if rotated and not self.connections:
                return
            await self.clock.sleep(POLL_INTERVAL_SECONDS)
        for connection in list(self.connections):
            connection.abort_transaction("the host ends")
        self.close_idle(self.connections)

    async def close_while_unready(self, unready_seconds: Callable[[], float]) -> None:
        """Close idle sessions while this host is out of rotation, until cancelled.

        Their callers open them again at a host that can serve them. Those in which
        something is outstanding are closed as soon as it has ended: in the next
        round, a tenth of the callers of a zone cut off was refused for 1 s more.

        :param unready_seconds: returns for how many seconds this host has not been
            ready,
            though it goes on.
        """
        next_round = ROTATION_DELAY_SECONDS
        moving: set[CallerConnection] = set()
        while True:
            await self.clock.sleep(POLL_INTERVAL_SECONDS)
            lasted = unready_seconds()
            if lasted == 0.0:
                next_round = ROTATION_DELAY_SECONDS
                moving.clear()
            elif lasted >= next_round:
                next_round = lasted + CLOSE_INTERVAL_SECONDS
                moving = set(self.connections)
                self.decisions.record("sessions_moved", sessions=len(moving))
            moving &= self.connections
            self.close_idle(moving)

    def close_idle(self, among: Iterable[CallerConnection]) -> None:
        """Close those sessions in which nothing is outstanding."""
        for connection in list(among):
            if connection.is_idle():
                connection.close()

    def close_revoked(self) -> None:
        """Close idle sessions whose keys were taken away; others stay as they are.

        One that is busy is refused with its next statement.
        """
        denied = [one for one in self.connections if one.is_access_revoked()]
        if denied:
            self.decisions.record("keys_removed", sessions=len(denied))
        self.close_idle(denied)

    def has_requests_in_progress(self) -> bool:
        """Say whether an answer is owed to somebody."""
        return any(not one.is_idle() for one in self.connections)
