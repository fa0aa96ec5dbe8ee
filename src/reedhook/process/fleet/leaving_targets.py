"""Draining of targets that leave."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

import logbook

from ...clock import Clock
from ...connection.home import Home
from ...peer import PeerRoutes
from ...request.refusal import RefusalReason, not_run
from ...wire import Json, WireError
from ..events.timeline import EventKind, Timeline
from ..groups.group_manager import GroupManager

LEAVING_PATH: Final = "leaving"
HAND_OVER_TIMEOUT_SECONDS: Final = 1.5

TargetHomeLookup: TypeAlias = Callable[[str], Home | None]
GroupLookup: TypeAlias = Callable[[str], GroupManager | None]

log = logbook.Logger("leaving")


class LeavingTargetHandler:
    """Stop sending new work to targets that leave.

    A leaving primary is first replaced, to keep the write outage short. It takes no
    new work after `HAND_OVER_TIMEOUT_SECONDS` in any case.

    :param find_home: returns the local home of a member, or None.
    :param find_group: returns the manager of a group, or None.
    """

    def __init__(
        self,
        find_home: TargetHomeLookup,
        find_group: GroupLookup,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        self.find_home = find_home
        self.find_group = find_group
        self.clock = clock
        self.timeline = timeline
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def register(self, routes: PeerRoutes) -> None:
        """Register the peer request handler."""
        routes.add(LEAVING_PATH, self.handle_leaving)

    async def handle_leaving(self, body: Json) -> Json:
        """Handle a notification that a target leaves or no longer leaves.

        :raises RefusalError: if its home is on another host.
        """
        member = body.get("member")
        leaving = body.get("leaving")
        if not isinstance(member, str) or not isinstance(leaving, bool):
            raise WireError("leaving notification needs a target id and a flag")
        home = self.find_home(member)
        if home is None:
            raise not_run(RefusalReason.WRONG_HOME, f"the home of {member} is not here")
        if not leaving:
            home.leaving = False
        elif not home.leaving and member not in self.tasks:
            task = asyncio.create_task(self.retire(home))
            self.tasks[member] = task
            task.add_done_callback(lambda done: self.ended(member, done))
        return {}

    async def retire(self, home: Home) -> None:
        """Hand over the primary role of a target if it has it, then drain it."""
        member = home.member.member_id
        manager = self.find_group(home.group.name)
        moved = False
        if manager is not None and manager.view.primary == member:
            moved = await manager.hand_over(HAND_OVER_TIMEOUT_SECONDS)
        home.leaving = True
        self.timeline.record(EventKind.TARGET_LEAVING, member, moved=moved)

    def ended(self, member: str, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception."""
        self.tasks.pop(member, None)
        if not task.cancelled() and task.exception() is not None:
            log.error(
                "Draining leaving target {} failed: {!r}.", member, task.exception()
            )

    async def close(self) -> None:
        """Cancel all running tasks."""
        for task in list(self.tasks.values()):
            task.cancel()
