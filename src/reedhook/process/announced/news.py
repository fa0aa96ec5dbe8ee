"""News of the store between hosts of an availability zone."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable
from random import Random
from typing import Any, Final

from ...clock import Clock
from ...decisions import Decisions
from ...peer import HostRef, PeerError, PeerRoutes, Peers
from ...request.refusal import RefusalError
from ...wire import Json, WireError, reader, whole
from .announcements import Announcements
from .freshness import Freshness
from .keyspace import HistoryGone, Item, Items
from .watch import Source

PATH: Final = "news"

HOLD: Final = 2.0
"""Seconds for which a question for news is held, and after which its answer shows
that the host asked still lives."""

HOLD_MOST: Final = 10.0
"""Seconds for which a question is held at most, whatever the asker wishes."""

MARGIN: Final = 0.5
"""Seconds beyond the hold after which a silent host is not asked for a while; a
target that leaves is to be known in 7 s, both hosts of a zone silent."""

AVOIDED_FOR: Final = 3.0
"""Seconds for which a host is not asked that was silent, or does not reach the
store itself."""

GATHER: Final = 0.1
"""Seconds between two answers to one asker, so that changes that come together
make one answer."""

MILLISECONDS: Final = 1000.0


class NewsDesk:
    """Tell other hosts what is new in the store, and how surely it is all."""

    def __init__(
        self,
        announcements: Announcements,
        clock: Clock,
        freshness: Freshness,
    ) -> None:
        self.announcements = announcements
        self.clock = clock
        self.freshness = freshness

    def register(self, routes: PeerRoutes) -> None:
        """Add the handler of this host."""
        routes.add(PATH, self.answer)

    async def answer(self, body: Json) -> Json:
        """Return news once there is some, or what stands after the hold.

        `after` is the revision that the asker knows, `version` its configuration,
        `hold_ms` how long the answer may wait.
        """
        received = self.clock.elapsed()
        after, version = whole(body, "after"), whole(body, "version")
        hold = min(whole(body, "hold_ms") / MILLISECONDS, HOLD_MOST)
        try:
            async with asyncio.timeout(hold):
                while not self.is_news(after, version):
                    await self.announcements.changed.wait()
        except TimeoutError:
            # Nothing new, as mostly: the answer shows that this host lives.
            pass
        answer = self.message(after)
        self.freshness.state(answer, received)
        return answer

    def is_news(self, after: int, version: int) -> bool:
        """Say whether this host knows something that the asker does not."""
        known = self.announcements
        return known.table.version > version or known.mirror.changed_after(after)

    def message(self, after: int) -> Json:
        """Return what is new after a revision.

        Where deletions since then are not known, `keys` says what is left.
        """
        known = self.announcements
        keys = None
        try:
            items = known.mirror.changes(after)
        except HistoryGone as error:
            known.decisions.note("news_in_full", after=after, cause=str(error))
            items = known.mirror.written(after)
            keys = list(known.mirror.items)
        return {
            "at": known.mirror.at,
            "items": [item_message(item) for item in items],
            "keys": keys,
            "version": known.table.version,
            "reached": known.followed,
        }


class NewsSource(Source):
    """Learn from the hosts that follow the store for this one's zone.

    :param relays: returns those hosts, this one perhaps among them.
    :param on_version: is told of a host and the version of its configuration.
    :ivar avoided: until when a host is not asked, by monotonic time.
    """

    def __init__(
        self,
        me: HostRef,
        relays: Callable[[], list[HostRef]],
        peers: Peers,
        announcements: Announcements,
        on_version: Callable[[HostRef, int], None],
        clock: Clock,
        random: Random,
        decisions: Decisions,
        freshness: Freshness,
    ) -> None:
        self.freshness = freshness
        self.me = me
        self.relays = relays
        self.peers = peers
        self.announcements = announcements
        self.on_version = on_version
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.avoided: dict[str, float] = {}
        self.last: HostRef | None = None

    async def follow(self) -> bool:
        relay = self.choose()
        if relay is None:
            return False
        body: Json = {
            "after": self.announcements.mirror.at,
            "version": self.announcements.table.version,
            "hold_ms": int(HOLD * MILLISECONDS),
        }
        asked = self.clock.elapsed()
        try:
            answer = await self.peers.call(relay, PATH, body, HOLD + MARGIN)
            reached = self.take(relay, answer)
            version = whole(answer, "version")
            self.freshness.read(answer, version, asked, relay.host)
        except (PeerError, RefusalError, WireError) as error:
            self.avoid(relay, str(error))
            return True
        if not reached:
            self.avoid(relay, "it does not reach the store")
        await self.clock.sleep(GATHER)
        return True

    def choose(self) -> HostRef | None:
        """Return the host to ask; None if this one follows the store.

        Half of the zone asks each of two, and stays there.
        """
        relays = self.relays()
        if self.me in relays:
            return None
        now = self.clock.monotonic()
        left = [ref for ref in relays if self.avoided.get(ref.host, now) <= now]
        if not left:
            return None
        if self.last not in left:
            self.last = self.random.choice(left)
        return self.last

    def avoid(self, relay: HostRef, cause: str) -> None:
        """Ask a host for nothing for a while, not as long as others do."""
        pause = AVOIDED_FOR * self.random.uniform(0.5, 1.0)
        self.avoided[relay.host] = self.clock.monotonic() + pause
        self.decisions.note("news_unanswered", relay=relay.host, cause=cause)

    def take(self, relay: HostRef, answer: Json) -> bool:
        """Take news over; return whether they come from the store.

        :raises WireError: if they are malformed.
        """
        self.announcements.take(read_news(answer))
        keys = answer.get("keys")
        if isinstance(keys, list):
            self.announcements.keep_only(set(keys))
        version = whole(answer, "version")
        if version > self.announcements.table.version:
            self.on_version(relay, version)
        if answer.get("reached") is not True:
            return False
        self.announcements.heard()
        return True


def item_message(item: Item) -> list[Any]:
    """Return an item as it stands between hosts."""
    value = None if item.value is None else b64encode(item.value).decode()
    return [item.key, item.revision, value]


@reader
def read_news(message: Json) -> Items:
    """Read items from another host.

    :raises WireError: if they have another form.
    """
    items = []
    for key, revision, value in message["items"]:
        raw = None if value is None else b64decode(value, validate=True)
        items.append(Item(str(key), raw, int(revision)))
    return Items(items, whole(message, "at"))
