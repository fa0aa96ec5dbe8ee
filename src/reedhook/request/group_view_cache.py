"""Cache of group views from responses and from queries to homes.

Every response of a home contains its view of the group. A host queries the homes
only if it has no view, if a view in use is stale, or while requests wait for a new
primary. The homes hold the latter queries open until the primary changes (long
polling).
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

from ..clock import Clock
from ..host_directory import HostDirectory
from ..peer import HostRef, PeerClient, PeerError, PeerHandler
from ..version.catalog import Group
from ..wire import Json
from .group_view import GroupView, GroupViewRequest
from .refusal import RefusalError, RefusalReason, not_run

STALE_AFTER_SECONDS: Final = 0.5
QUERY_TIMEOUT_SECONDS: Final = 0.5
MIN_BACKOFF_SECONDS: Final = 0.02
MAX_BACKOFF_SECONDS: Final = 0.25
JITTER_FRACTION: Final = 0.5
LONG_POLL_SECONDS: Final = 0.4
MAX_WAITERS: Final = 256

PrimaryListener: TypeAlias = Callable[[], None]


class CachedGroupView:
    """Keep the view of one group, its waiters and its listeners.

    :ivar refreshed_at: local monotonic time of the last view from a home.
    :ivar rounds_failed: consecutive query rounds without a response.
    :ivar waiters: requests that wait for a change of primary.
    :ivar primary_changed: set, then replaced, when the primary changes.
    :ivar listeners: called in order when the primary changes.
    :ivar poll_requests: number of unfinished calls of `start_polling`.
    """

    __slots__ = (
        "view",
        "refreshed_at",
        "rounds_failed",
        "waiters",
        "primary_changed",
        "listeners",
        "poll_requests",
        "refresh_task",
        "poll_task",
    )

    def __init__(self, group: str) -> None:
        self.view = GroupView(group)
        self.refreshed_at = float("-inf")
        self.rounds_failed = 0
        self.waiters = 0
        self.primary_changed = asyncio.Event()
        self.listeners: dict[PrimaryListener, None] = {}
        self.poll_requests = 0
        self.refresh_task: asyncio.Task[bool] | None = None
        self.poll_task: asyncio.Task[None] | None = None


class GroupViewCache:
    """Keep the views of all groups that this host serves.

    :param query_local: the handler of the peer path ``view`` of this host.
    """

    __slots__ = (
        "clock",
        "random",
        "directory",
        "peers",
        "query_local",
        "known",
        "query_tasks",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        directory: HostDirectory,
        peers: PeerClient,
        query_local: PeerHandler,
    ) -> None:
        self.clock = clock
        self.random = rng
        self.directory = directory
        self.peers = peers
        self.query_local = query_local
        self.known: dict[str, CachedGroupView] = {}
        self.query_tasks: set[asyncio.Task[bool]] = set()

    def group(self, name: str) -> CachedGroupView:
        """Return the cache entry of the group `name`, created on first use."""
        known = self.known.get(name)
        if known is None:
            known = self.known[name] = CachedGroupView(name)
        return known

    def merge(self, view: GroupView) -> None:
        """Merge a view from a home; notify waiters if the primary changed."""
        known = self.group(view.group)
        known.refreshed_at = self.clock.monotonic()
        if known.view.merge(view):
            known.primary_changed.set()
            known.primary_changed = asyncio.Event()
            for listener in list(known.listeners):
                listener()

    async def current(self, group: Group) -> GroupView:
        """Return the view of `group`; query the homes first if it is empty.

        A stale view is returned at once and refreshed in the background.
        """
        known = self.group(group.name)
        if not known.view.members:
            await self.refresh(group)
        elif self.clock.monotonic() - known.refreshed_at > STALE_AFTER_SECONDS:
            self.start_refresh(group, known)
        return known.view

    async def refresh(self, group: Group) -> bool:
        """Query the homes of the group; return whether one responded.

        Concurrent calls share one round of queries.
        """
        task = self.start_refresh(group, self.group(group.name))
        return await asyncio.shield(task)

    def start_refresh(self, group: Group, known: CachedGroupView) -> asyncio.Task[bool]:
        """Return the task of the current round of queries; start one if needed."""
        if known.refresh_task is None or known.refresh_task.done():
            known.refresh_task = asyncio.create_task(
                self.query_homes(group, known, 0.0)
            )
        return known.refresh_task

    async def query_homes(
        self, group: Group, known: CachedGroupView, long_poll_seconds: float
    ) -> bool:
        """Query the homes of all members; return whether one responded.

        Returns on the first response; later ones are merged when they arrive.

        :param long_poll_seconds: how long homes wait for a change of primary.
        """
        calls = [
            self.start_query(self.query_home(home, group, long_poll_seconds))
            for home in self.homes(group)
        ]
        for call in asyncio.as_completed(calls):
            if await call:
                known.rounds_failed = 0
                return True
        known.rounds_failed += 1
        return False

    def start_query(self, query: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        """Run a query as a task; keep a reference until it is done."""
        task = asyncio.create_task(query)
        self.query_tasks.add(task)
        task.add_done_callback(self.query_tasks.discard)
        return task

    def homes(self, group: Group) -> list[HostRef]:
        """Return the distinct homes of the members."""
        homes: dict[str, HostRef] = {}
        for member in group.members:
            home = self.directory.home(member.member_id, member.zone)
            if home is not None:
                homes[home.host] = home
        return list(homes.values())

    async def query_home(
        self, home: HostRef, group: Group, long_poll_seconds: float
    ) -> bool:
        """Query one home for its view; return whether it responded.

        The view is dated by the time of the request, also after a long poll.
        """
        requested_at = self.clock.monotonic()
        view = self.group(group.name).view
        query = GroupViewRequest(group.name, long_poll_seconds, view.term, view.primary)
        try:
            message = await self.call(
                home, query.to_json(), QUERY_TIMEOUT_SECONDS + long_poll_seconds
            )
            self.merge(GroupView.from_json(message["view"], requested_at))
        except (PeerError, RefusalError, LookupError, TypeError, ValueError):
            return False
        return True

    async def call(self, home: HostRef, body: Json, timeout: float) -> Json:
        """Send a query to `home`, which may be this host."""
        if home.host == self.directory.me.host:
            return await self.query_local(body)
        return await self.peers.call(home, "view", body, timeout)

    async def wait_for_primary_change(self, group: Group, timeout: float) -> None:
        """Return when the primary changes, or after `timeout` seconds.

        While requests wait, one task polls the homes with exponential backoff.

        :raises RefusalError: not run, if too many requests wait.
        """
        known = self.group(group.name)
        if known.waiters >= MAX_WAITERS:
            raise not_run(
                RefusalReason.OVERLOADED,
                "too many requests are waiting for a primary",
                500,
            )
        known.waiters += 1
        try:
            self.ensure_polling(group, known)
            async with asyncio.timeout(timeout):
                await known.primary_changed.wait()
        except TimeoutError:
            return
        finally:
            known.waiters -= 1

    def ensure_polling(self, group: Group, known: CachedGroupView) -> None:
        """Start the polling task unless it is running."""
        if known.poll_task is None or known.poll_task.done():
            known.poll_task = asyncio.create_task(self.poll_homes(group, known))

    def add_listener(self, group: Group, listener: PrimaryListener) -> None:
        """Call `listener` on each change of primary, until `remove_listener`."""
        self.group(group.name).listeners[listener] = None

    def remove_listener(self, group: Group, listener: PrimaryListener) -> None:
        """Remove a listener, if it is registered."""
        self.group(group.name).listeners.pop(listener, None)

    def start_polling(self, group: Group) -> None:
        """Poll the homes until the matching `stop_polling`."""
        known = self.group(group.name)
        known.poll_requests += 1
        self.ensure_polling(group, known)

    def stop_polling(self, group: Group) -> None:
        """Undo one call of `start_polling`."""
        self.group(group.name).poll_requests -= 1

    async def poll_homes(self, group: Group, known: CachedGroupView) -> None:
        """Query the homes repeatedly while requests or listeners need a new primary.

        The backoff grows unless the homes hold the query open.
        """
        backoff = MIN_BACKOFF_SECONDS
        while known.waiters + known.poll_requests > 0:
            started_at = self.clock.monotonic()
            answered = await self.query_homes(group, known, LONG_POLL_SECONDS)
            held_open = (
                self.clock.monotonic() - started_at
                >= JITTER_FRACTION * LONG_POLL_SECONDS
            )
            jitter = 1.0 + JITTER_FRACTION * self.random.random()
            await self.clock.sleep(backoff * jitter)
            backoff = (
                MIN_BACKOFF_SECONDS
                if answered and held_open
                else min(2 * backoff, MAX_BACKOFF_SECONDS)
            )

    async def close(self) -> None:
        """Cancel all queries and tasks."""
        for query in self.query_tasks:
            query.cancel()
        for known in self.known.values():
            for task in (known.refresh_task, known.poll_task):
                if task is not None:
                    task.cancel()
