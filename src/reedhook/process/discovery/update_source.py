"""News of the store between hosts of an availability zone."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable
from random import Random
from typing import Any, Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError
from ...wire import Json, WireError, non_negative_int_field, wraps_decode_errors
from .announcements import Announcements
from .configuration_freshness import ConfigurationFreshness
from .key_value_store import HistoryCompactedError, Item, Items
from .store_watcher import UpdateSource

UPDATES_PATH: Final = "news"

HOLD_SECONDS: Final = 2.0
"""Seconds for which a question for news is held, and after which its answer shows
that the host asked still lives."""

MAX_HOLD_SECONDS: Final = 10.0
"""Seconds for which a question is held at most, whatever the asker wishes."""

HOLD_MARGIN_SECONDS: Final = 0.5
"""Seconds beyond the hold after which a silent host is not asked for a while; a
target that leaves is to be known in 7 s, both hosts of a zone silent."""

AVOID_SECONDS: Final = 3.0
"""Seconds for which a host is not asked that was silent, or does not reach the
store itself."""

BATCH_DELAY_SECONDS: Final = 0.1
"""Seconds between two answers to one asker, so that changes that come together
make one answer."""

MS_PER_SECOND: Final = 1000.0


class UpdateServer:
    """Tell other hosts what is new in the store, and how surely it is all."""

    def __init__(
        self,
        announcements: Announcements,
        clock: Clock,
        freshness: ConfigurationFreshness,
    ) -> None:
        self.announcements = announcements
        self.clock = clock
        self.freshness = freshness

    def register(self, routes: PeerRoutes) -> None:
        """Add the handler of this host."""
        routes.add(UPDATES_PATH, self.handle_request)

    async def handle_request(self, body: Json) -> Json:
        """Return news once there is some, or what stands after the hold.

        `after` is the revision that the asker knows, `version` its configuration,
        `hold_ms` how long the answer may wait.
        """
        received = self.clock.boottime()
        after, version = non_negative_int_field(body, "after"), non_negative_int_field(
            body, "version"
        )
        hold = min(
            non_negative_int_field(body, "hold_ms") / MS_PER_SECOND, MAX_HOLD_SECONDS
        )
        try:
            async with asyncio.timeout(hold):
                while not self.has_updates(after, version):
                    await self.announcements.updated.wait()
        except TimeoutError:
            # Nothing new, as mostly: the answer shows that this host lives.
            pass
        answer = self.message(after)
        self.freshness.add_age(answer, received)
        return answer

    def has_updates(self, after: int, version: int) -> bool:
        """Return whether this host knows something that the asker does not."""
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
        except HistoryCompactedError as error:
            known.decisions.record("news_in_full", after=after, cause=str(error))
            items = known.mirror.written(after)
            keys = list(known.mirror.items)
        return {
            "at": known.mirror.revision,
            "items": [encode_item(item) for item in items],
            "keys": keys,
            "version": known.table.version,
            "reached": known.usable_as_relay,
        }


class PeerUpdateSource(UpdateSource):
    """Learn from the hosts that follow the store for this one's zone.

    :param relays: returns those hosts, this one perhaps among them.
    :param on_version: is told of a host and the version of its configuration.
    :ivar avoided: until when a host is not asked, by monotonic time.
    """

    def __init__(
        self,
        me: HostRef,
        relays: Callable[[], list[HostRef]],
        peers: PeerClient,
        announcements: Announcements,
        on_version: Callable[[HostRef, int], None],
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        freshness: ConfigurationFreshness,
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

    async def fetch_updates(self) -> bool:
        relay = self.choose()
        if relay is None:
            return False
        body: Json = {
            "after": self.announcements.mirror.revision,
            "version": self.announcements.table.version,
            "hold_ms": int(HOLD_SECONDS * MS_PER_SECOND),
        }
        asked = self.clock.boottime()
        try:
            answer = await self.peers.call(
                relay, UPDATES_PATH, body, HOLD_SECONDS + HOLD_MARGIN_SECONDS
            )
            reached = self.apply_response(relay, answer)
            version = non_negative_int_field(answer, "version")
            self.freshness.read_age(answer, version, asked, relay.host)
        except (PeerError, RefusalError, WireError) as error:
            self.avoid(relay, str(error))
            return True
        if not reached:
            self.avoid(relay, "it does not reach the store")
        await self.clock.sleep(BATCH_DELAY_SECONDS)
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
        pause = AVOID_SECONDS * self.random.uniform(0.5, 1.0)
        self.avoided[relay.host] = self.clock.monotonic() + pause
        self.decisions.record("news_unanswered", relay=relay.host, cause=cause)

    def apply_response(self, relay: HostRef, answer: Json) -> bool:
        """Take news over; return whether they come from the store.

        :raises WireError: if they are malformed.
        """
        self.announcements.apply_changes(decode_items(answer))
        keys = answer.get("keys")
        if isinstance(keys, list):
            self.announcements.keep_only(set(keys))
        version = non_negative_int_field(answer, "version")
        if version > self.announcements.table.version:
            self.on_version(relay, version)
        if answer.get("reached") is not True:
            return False
        self.announcements.mark_store_reached()
        return True


def encode_item(item: Item) -> list[Any]:
    """Return an item as it stands between hosts."""
    value = None if item.value is None else b64encode(item.value).decode()
    return [item.key, item.revision, value]


@wraps_decode_errors
def decode_items(message: Json) -> Items:
    """Read items from another host.

    :raises WireError: if they have another form.
    """
    items = []
    for key, revision, value in message["items"]:
        raw = None if value is None else b64decode(value, validate=True)
        items.append(Item(str(key), raw, int(revision)))
    return Items(items, non_negative_int_field(message, "at"))
