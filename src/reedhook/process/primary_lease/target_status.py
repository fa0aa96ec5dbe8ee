"""Status queries to the targets of a service."""

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
"""Timeout to connect and to read the status; both may queue for a slot."""


class TargetStatusClient:
    """Query the status of targets, each on a new connection."""

    def __init__(
        self, announcements: Announcements, driver: SessionTargetDriver
    ) -> None:
        self.announcements = announcements
        self.driver = driver

    def last_entry(self, target: str) -> TargetAnnouncement | None:
        """Return the latest announcement of a target, or None if it never had one."""
        return self.announcements.last_entry(target)

    def accepts_new_work(self, target: str) -> bool:
        """Return whether a target neither leaves nor is gone."""
        announcements = self.announcements
        return not (announcements.is_leaving(target) or announcements.is_gone(target))

    def announced(self, service: str) -> list[TargetAnnouncement]:
        """Return the currently announced targets of a service."""
        found = self.announcements.targets.values()
        return [one for one in found if one.service == service]

    def known(self, service: str, max_missing: float) -> list[TargetAnnouncement]:
        """Return the targets announced now or up to `max_missing` seconds ago.

        A restore of the store loses announcements until the targets write them again.
        """
        announcements = self.announcements
        since = announcements.clock.boottime() - max_missing
        missing = [
            entry
            for target, entry in announcements.missing.items()
            if entry.service == service and announcements.missing_since[target] >= since
        ]
        return self.announced(service) + missing

    def running(self, service: str) -> list[TargetAnnouncement]:
        """Return the targets of a service that are not gone.

        An announcement that is missing may come back; see `Announcements.is_gone`.
        """
        missing = [
            entry
            for target, entry in self.announcements.missing.items()
            if entry.service == service and not self.announcements.is_gone(target)
        ]
        return self.announced(service) + missing

    async def all(
        self, entries: list[TargetAnnouncement], timeout: float = STATUS_TIMEOUT_SECONDS
    ) -> list[tuple[TargetAnnouncement, SessionTargetStatus]]:
        """Return the targets that respond within `timeout` seconds and their status."""
        answers = await asyncio.gather(
            *(self.status(entry, timeout) for entry in entries)
        )
        return [
            (entry, answer)
            for entry, answer in zip(entries, answers, strict=True)
            if answer is not None
        ]

    async def status(
        self, entry: TargetAnnouncement, timeout: float = STATUS_TIMEOUT_SECONDS
    ) -> SessionTargetStatus | None:
        """Return the status of one target, or None if it does not respond in time."""
        try:
            async with asyncio.timeout(timeout):
                connection = await self.driver.connect(entry, timeout)
                try:
                    return await connection.status(timeout)
                finally:
                    connection.close()
        except (TimeoutError, SessionTargetUnreachableError, SessionTargetNoReplyError):
            return None

    async def is_reachable(
        self, entry: TargetAnnouncement, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> bool:
        """Return whether a target accepts a new connection within `timeout` seconds."""
        try:
            connection = await self.driver.connect(entry, timeout)
        except SessionTargetUnreachableError:
            return False
        connection.close()
        return True
