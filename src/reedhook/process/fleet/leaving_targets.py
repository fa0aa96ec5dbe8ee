"""Targets that the platform takes away."""

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
    """Give no new work to targets that leave.

    A primary that leaves first hands the lead over, so that writes pause only
    shortly; past `HAND_OVER_TIMEOUT` seconds it takes no new work either way.

    :param find_home: gives the local home of a member, or None.
    :param find_group: gives the keeper of a group, or None.
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
        """Add the handler of this host."""
        routes.add(LEAVING_PATH, self.handle_leaving)

    async def handle_leaving(self, body: Json) -> Json:
        """Take note that a target leaves, or that it came back.

        :raises Refusal: if its home is not here.
        """
        member = body.get("member")
        leaving = body.get("leaving")
        if not isinstance(member, str) or not isinstance(leaving, bool):
            raise WireError("a target and whether it leaves are expected")
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
        """Move the lead away if the target has it, then give it no new work."""
        member = home.member.member_id
        keeper = self.find_group(home.group.name)
        moved = False
        if keeper is not None and keeper.view.primary == member:
            moved = await keeper.hand_over(HAND_OVER_TIMEOUT_SECONDS)
        home.leaving = True
        self.timeline.record(EventKind.TARGET_LEAVING, member, moved=moved)

    def ended(self, member: str, task: asyncio.Task[None]) -> None:
        """Forget a task; log what it raised."""
        self.tasks.pop(member, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("Retiring {} failed: {!r}.", member, task.exception())

    async def close(self) -> None:
        """Stop what is in progress."""
        for task in list(self.tasks.values()):
            task.cancel()
