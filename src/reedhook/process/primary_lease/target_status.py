"""The targets of a service, and what they say of themselves when asked."""

import asyncio
from typing import Final

from ...connection.session_connection_pool import CONNECT_TIMEOUT_SECONDS
from ...connection.session_target import (
    SessionTargetDriver,
    SessionTargetNoReplyError,
    SessionTargetStatus,
    SessionTargetUnreachableError,
)
from ...version.route_table import TargetAnnouncement
from ..discovery.announcements import Announcements

STATUS_TIMEOUT_SECONDS: Final = 0.4
"""Seconds to connect to a target and to learn its state; both wait for a slot
behind statements of 9 to 110 ms."""


class TargetStatusClient:
    """Ask targets for their states, each on a connection of its own."""

    def __init__(
        self, announcements: Announcements, driver: SessionTargetDriver
    ) -> None:
        self.announcements = announcements
        self.driver = driver

    def last_entry(self, target: str) -> TargetAnnouncement | None:
        """Return what a target announces, or announced last; None if never."""
        return self.announcements.last_entry(target)

    def announced(self, service: str) -> list[TargetAnnouncement]:
        """Return the targets of a service that announce themselves."""
        found = self.announcements.targets.values()
        return [one for one in found if one.service == service]

    async def all(
        self, entries: list[TargetAnnouncement]
    ) -> list[tuple[TargetAnnouncement, SessionTargetStatus]]:
        """Return the targets that answer, with their state."""
        answers = await asyncio.gather(*(self.status(entry) for entry in entries))
        return [
            (entry, answer)
            for entry, answer in zip(entries, answers, strict=True)
            if answer is not None
        ]

    async def status(self, entry: TargetAnnouncement) -> SessionTargetStatus | None:
        """Ask one target for its state; None if it gives no answer."""
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                connection = await self.driver.connect(entry, STATUS_TIMEOUT_SECONDS)
                try:
                    return await connection.status(STATUS_TIMEOUT_SECONDS)
                finally:
                    connection.close()
        except (TimeoutError, SessionTargetUnreachableError, SessionTargetNoReplyError):
            return None

    async def is_reachable(
        self, entry: TargetAnnouncement, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> bool:
        """Say whether a target accepts a new connection from here in time."""
        try:
            connection = await self.driver.connect(entry, timeout)
        except SessionTargetUnreachableError:
            return False
        connection.close()
        return True
