"""What this host knows of each group, learned from answers and by asking homes.

Every answer of a home carries its view of the group. A host asks only when it
knows nothing, when what it knows is old and in use, or while requests wait
for the news of a new primary. Such a question is held open by the homes until
there is news, so that it travels at once.
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
    """Keep the view of one group and who waits for news of it.

    :ivar refreshed_at: local monotonic time when a home's view last came in.
    :ivar rounds_failed: rounds of asking in a row that no home answered.
    :ivar primary_changed: done once another leader is learned.
    :ivar listeners: called in order when another leader is learned.
    :ivar poll_requests: how many listeners want the homes to be asked.
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
        """Return what is known of the group `name`."""
        known = self.known.get(name)
        if known is None:
            known = self.known[name] = CachedGroupView(name)
        return known

    def merge(self, view: GroupView) -> None:
        """Take over a view that came from a home."""
        known = self.group(view.group)
        known.refreshed_at = self.clock.monotonic()
        if known.view.merge(view):
            known.primary_changed.set()
            known.primary_changed = asyncio.Event()
            for listener in list(known.listeners):
                listener()

    async def current(self, group: Group) -> GroupView:
        """Return the view of `group`, asking first if nothing is known.

        An old view is returned as it is and refreshed in the background.
        """
        known = self.group(group.name)
        if not known.view.members:
            await self.refresh(group)
        elif self.clock.monotonic() - known.refreshed_at > STALE_AFTER_SECONDS:
            self.start_refresh(group, known)
        return known.view

    async def refresh(self, group: Group) -> bool:
        """Ask the homes of the group; return whether one answered.

        Callers that refresh at once share one round.
        """
        task = self.start_refresh(group, self.group(group.name))
        return await asyncio.shield(task)

    def start_refresh(self, group: Group, known: CachedGroupView) -> asyncio.Task[bool]:
        """Return the running round of asking, started if there is none."""
        if known.refresh_task is None or known.refresh_task.done():
            known.refresh_task = asyncio.create_task(
                self.query_homes(group, known, 0.0)
            )
        return known.refresh_task

    async def query_homes(
        self, group: Group, known: CachedGroupView, long_poll_seconds: float
    ) -> bool:
        """Ask the homes of all members; return once the first has answered.

        The other answers are merged when they come.

        :param long_poll_seconds: for how many seconds homes wait for news to tell.
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
        """Run a question as a task that is kept until it ends."""
        task = asyncio.create_task(query)
        self.query_tasks.add(task)
        task.add_done_callback(self.query_tasks.discard)
        return task

    def homes(self, group: Group) -> list[HostRef]:
        """Return the homes of the members, each once."""
        found: dict[str, HostRef] = {}
        for member in group.members:
            home = self.directory.home(member.member_id, member.zone)
            if home is not None:
                found[home.host] = home
        return list(found.values())

    async def query_home(
        self, home: HostRef, group: Group, long_poll_seconds: float
    ) -> bool:
        """Ask one home for its view; return whether it answered.

        A view that was held open is dated by the question all the same.
        """
        asked = self.clock.monotonic()
        view = self.group(group.name).view
        question = GroupViewRequest(
            group.name, long_poll_seconds, view.term, view.primary
        )
        try:
            message = await self.call(
                home, question.to_json(), QUERY_TIMEOUT_SECONDS + long_poll_seconds
            )
            self.merge(GroupView.from_json(message["view"], asked))
        except (PeerError, RefusalError, LookupError, TypeError, ValueError):
            return False
        return True

    async def call(self, home: HostRef, body: Json, timeout: float) -> Json:
        """Send the question to `home`, which may be this host."""
        if home.host == self.directory.me.host:
            return await self.query_local(body)
        return await self.peers.call(home, "view", body, timeout)

    async def wait_for_primary_change(self, group: Group, timeout: float) -> None:
        """Return once another leader is learned, or after `timeout` seconds.

        While requests wait, one task asks the homes, with a growing pause.

        :raises Refusal: if too many requests wait already; nothing was run.
        """
        known = self.group(group.name)
        if known.waiters >= MAX_WAITERS:
            raise not_run(
                RefusalReason.OVERLOADED, "too many requests wait for a primary", 500
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
        """Let one task ask for news as long as requests wait."""
        if known.poll_task is None or known.poll_task.done():
            known.poll_task = asyncio.create_task(self.poll_homes(group, known))

    def add_listener(self, group: Group, listener: PrimaryListener) -> None:
        """Call `listener` whenever another leader is learned, until `unlisten`."""
        self.group(group.name).listeners[listener] = None

    def remove_listener(self, group: Group, listener: PrimaryListener) -> None:
        """Take back a call of `listen`."""
        self.group(group.name).listeners.pop(listener, None)

    def start_polling(self, group: Group) -> None:
        """Have the homes asked for news until `look_away`."""
        known = self.group(group.name)
        known.poll_requests += 1
        self.ensure_polling(group, known)

    def stop_polling(self, group: Group) -> None:
        """Take back one call of `look_out`."""
        self.group(group.name).poll_requests -= 1

    async def poll_homes(self, group: Group, known: CachedGroupView) -> None:
        """Ask the homes again and again while requests wait for news.

        The pause grows unless homes hold the question open.
        """
        pause = MIN_BACKOFF_SECONDS
        while known.waiters + known.poll_requests > 0:
            asked = self.clock.monotonic()
            answered = await self.query_homes(group, known, LONG_POLL_SECONDS)
            held = self.clock.monotonic() - asked >= JITTER_FRACTION * LONG_POLL_SECONDS
            jitter = 1.0 + JITTER_FRACTION * self.random.random()
            await self.clock.sleep(pause * jitter)
            pause = (
                MIN_BACKOFF_SECONDS
                if answered and held
                else min(2 * pause, MAX_BACKOFF_SECONDS)
            )

    async def close(self) -> None:
        """Stop asking."""
        for question in self.query_tasks:
            question.cancel()
        for known in self.known.values():
            for task in (known.refresh_task, known.poll_task):
                if task is not None:
                    task.cancel()
