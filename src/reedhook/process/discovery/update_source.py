"""Propagation of store updates between hosts of an availability zone."""

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
from .store_epoch import StoreEpoch
from .store_revision import NO_REVISION, StoreRevision
from .store_watcher import UpdateSource

UPDATES_PATH: Final = "news"

HOLD_SECONDS: Final = 2.0
"""Hold time of an update request without updates; the response then shows that the
relay is alive."""

MAX_HOLD_SECONDS: Final = 10.0
"""Upper limit of the hold time that a requester may set."""

HOLD_MARGIN_SECONDS: Final = 0.5
"""Time after the hold before a missing response is a failure. A leaving target must be
known within 7 s even if both relays of a zone are unresponsive."""

AVOID_SECONDS: Final = 3.0
"""Time for which an unresponsive relay, or one without access to the store, is not
used."""

BATCH_DELAY_SECONDS: Final = 0.1
"""Pause between requests, so that concurrent changes share one response."""

BEHIND_DELAY_SECONDS: Final = 0.5
"""Pause after a response of an earlier epoch; the relay has yet to read the store."""

RELAY_BEHIND_SECONDS: Final = 3.5
"""Time after this host learned of an epoch in which relays may be behind: the hold of
a relay's own request to the store, its margin and its pause, and a read of all items.
Without it, all hosts of a zone would read the whole store."""

DIGEST_FIELD: Final = "d"

MS_PER_SECOND: Final = 1000.0


class UpdateServer:
    """Serve store updates to other hosts, with the age of the configuration."""

    def __init__(
        self,
        announcements: Announcements,
        clock: Clock,
        freshness: ConfigurationFreshness,
        epoch: StoreEpoch,
    ) -> None:
        self.announcements = announcements
        self.clock = clock
        self.freshness = freshness
        self.epoch = epoch

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handler."""
        routes.add(UPDATES_PATH, self.handle_request)

    async def handle_request(self, body: Json) -> Json:
        """Return updates as soon as there are any, or an empty response after the hold.

        The body holds `after`, the revision known to the requester, `version`, its
        configuration version, and `hold_ms`, the hold time.
        """
        received_at = self.clock.boottime()
        after = StoreRevision.from_json(body.get("after"))
        version = non_negative_int_field(body, "version")
        hold = min(
            non_negative_int_field(body, "hold_ms") / MS_PER_SECOND, MAX_HOLD_SECONDS
        )
        try:
            async with asyncio.timeout(hold):
                while not self.has_updates(after, version):
                    await self.announcements.updated.wait()
        except TimeoutError:
            # No updates: the response only shows that this host is alive.
            pass
        answer = self.message(after)
        self.freshness.add_age(answer, received_at)
        return answer

    def has_updates(self, after: StoreRevision, version: int) -> bool:
        """Return whether there are updates for a requester with this state."""
        if self.announcements.table.version > version:
            return True
        mirror = self.announcements.mirror
        if mirror.revision.epoch < self.epoch.current:
            # The items are those of before a restore until this host reads again.
            return False
        return mirror.revision.epoch > after.epoch or mirror.changed_after(after)

    def message(self, after: StoreRevision) -> Json:
        """Return the response with the updates after a revision.

        If deletions since then are not known, `keys` lists the remaining keys.
        """
        known = self.announcements
        keys = None
        try:
            items = known.mirror.changes(after)
        except HistoryCompactedError as error:
            known.decisions.record(
                "updates_sent_in_full", after=after.to_json(), cause=str(error)
            )
            items = known.mirror.written(after)
            keys = list(known.mirror.items)
        answer: Json = {
            "at": known.mirror.revision.to_json(),
            "items": [encode_item(item) for item in items],
            "keys": keys,
            "version": known.table.version,
            "reached": known.usable_as_relay,
        }
        if known.mirror.revision.epoch and after < known.mirror.complete_at:
            answer[DIGEST_FIELD] = known.mirror.digest
        return answer


class PeerUpdateSource(UpdateSource):
    """Fetch store updates from the relays of this host's zone.

    After a restore, a relay sends what changed with it, as far as the relay knows: it
    may have been behind this host. A digest tells whether this host then holds what
    the relay holds; if not, all items are requested.

    :param relays: returns the hosts that follow the store for the zone; may include
        this one.
    :param on_version: receives a host with a newer configuration and its version.
    :ivar avoided: monotonic time until which a relay is not used, by host ID.
    :ivar last: the relay used last.
    :ivar differs: whether the items here differ from those of the relay.
    :ivar behind: whether the last response was of an earlier epoch.
    :ivar epoch_since: monotonic time at which this host learned of the epoch.
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
        epoch: StoreEpoch,
    ) -> None:
        self.freshness = freshness
        self.epoch = epoch
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
        self.differs = False
        self.behind = False
        self.epoch_since = float("-inf")
        epoch.on_change.append(self.handle_epoch)

    def handle_epoch(self, epoch: int) -> None:
        """Ask the relays again, and give them time to read the restored store.

        Without the store, before it was restored, they were avoided.
        """
        self.avoided.clear()
        self.epoch_since = self.clock.monotonic()

    async def fetch_updates(self) -> bool:
        relay = self.choose()
        if relay is None:
            return False
        body: Json = {
            "after": self.known_revision().to_json(),
            "version": self.announcements.table.version,
            "hold_ms": int(HOLD_SECONDS * MS_PER_SECOND),
        }
        requested_at = self.clock.boottime()
        try:
            answer = await self.peers.call(
                relay, UPDATES_PATH, body, HOLD_SECONDS + HOLD_MARGIN_SECONDS
            )
            self.epoch.learn_from(answer, relay.host)
            reached = self.apply_response(relay, answer)
            version = non_negative_int_field(answer, "version")
            self.freshness.read_age(answer, version, requested_at, relay.host)
        except (PeerError, RefusalError, WireError) as error:
            self.avoid(relay, str(error))
            return True
        if not reached:
            self.avoid(relay, "relay does not reach the store")
        await self.clock.sleep(self.pause_after(relay))
        return True

    def known_revision(self) -> StoreRevision:
        """Return the revision after which to request changes."""
        revision = self.announcements.mirror.revision
        return NO_REVISION if self.differs else revision

    def pause_after(self, relay: HostRef) -> float:
        """Return the pause before the next request; leave a relay that stays behind."""
        if not self.behind:
            return BATCH_DELAY_SECONDS
        if self.clock.monotonic() - self.epoch_since >= RELAY_BEHIND_SECONDS:
            self.avoid(relay, "relay has not read the restored store")
        return BEHIND_DELAY_SECONDS

    def choose(self) -> HostRef | None:
        """Return the relay to use; None if this host follows the store.

        A random relay is chosen and kept, so that requests spread over the relays.
        """
        relays = self.relays()
        if self.me in relays:
            return None
        now = self.clock.monotonic()
        usable = [ref for ref in relays if self.avoided.get(ref.host, now) <= now]
        if not usable:
            return None
        if self.last not in usable:
            self.last = self.random.choice(usable)
        return self.last

    def avoid(self, relay: HostRef, cause: str) -> None:
        """Do not use a relay for a while, with jitter between hosts."""
        pause = AVOID_SECONDS * self.random.uniform(0.5, 1.0)
        self.avoided[relay.host] = self.clock.monotonic() + pause
        self.decisions.record("updates_unanswered", relay=relay.host, cause=cause)

    def apply_response(self, relay: HostRef, answer: Json) -> bool:
        """Apply a response; return whether the relay reaches the store.

        :raises WireError: if it is malformed.
        """
        found = decode_items(answer)
        self.epoch.learn(found.revision.epoch, relay.host)
        self.behind = found.revision.epoch < self.epoch.current
        if not self.behind:
            self.apply_items(relay, found, answer)
        version = non_negative_int_field(answer, "version")
        if version > self.announcements.table.version:
            self.on_version(relay, version)
        if answer.get("reached") is not True:
            return False
        self.announcements.mark_store_reached()
        return True

    def apply_items(self, relay: HostRef, found: Items, answer: Json) -> None:
        """Apply the items of a response of the current epoch."""
        known = self.announcements
        keys = answer.get("keys")
        full = self.differs and isinstance(keys, list)
        if found.revision.epoch > known.mirror.revision.epoch:
            known.apply_restored(found, full)
        else:
            known.apply_changes(found)
            if isinstance(keys, list):
                known.keep_only(set(keys))
        if DIGEST_FIELD in answer:
            self.compare(relay, found.revision, full, answer[DIGEST_FIELD])

    def compare(
        self, relay: HostRef, at: StoreRevision, full: bool, digest: object
    ) -> None:
        """Request all items next unless the items here are those of the relay.

        :param full: whether the relay has sent all items.
        """
        known = self.announcements
        self.differs = not full and digest != known.mirror.digest
        if not self.differs:
            known.complete(at)
            return
        self.decisions.record(
            "updates_differ",
            relay=relay.host,
            at=at.to_json(),
            known=known.mirror.revision.to_json(),
        )


def encode_item(item: Item) -> list[Any]:
    """Return the form of an item sent to other hosts."""
    value = None if item.value is None else b64encode(item.value).decode()
    return [item.key, item.revision.to_json(), value]


@wraps_decode_errors
def decode_items(message: Json) -> Items:
    """Decode items of another host.

    :raises WireError: if they are malformed.
    """
    items = []
    for key, revision, value in message["items"]:
        raw = None if value is None else b64decode(value, validate=True)
        items.append(Item(str(key), raw, StoreRevision.from_json(revision)))
    return Items(items, StoreRevision.from_json(message["at"]))
