"""Transfer of the operators' configuration between hosts."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from ...background_tasks import BackgroundTasks
from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError
from ...version.delta import EMPTY_DIGEST, Delta, apply_delta, digest, make_delta
from ...version.route_table import RouteTable
from ...wire import Json, WireError, non_negative_int_field, string_field
from .announcements import Announcements

TABLE_PATH: Final = "table"

RESPONSE_TIMEOUT_SECONDS: Final = 2.0
"""Timeout for one portion on a slow link shared with statements."""

MAX_PORTION_CHARACTERS: Final = 16384
"""Limit of one response. A long delta is sent in portions, so that it is not sent
again as a whole after a timeout on a slow link."""

RETRY_PAUSE_SECONDS: Final = 0.15
"""Pause before trying another host after a busy or unresponsive one."""

MAX_TRIES: Final = 12
"""Attempts of one fetch; the next heartbeat of any host starts a new one."""

MAX_KEPT_TABLES: Final = 4
"""Configurations kept as bases of deltas; most hosts have one of the last versions."""

MAX_CONCURRENT_TRANSFERS: Final = 2
"""Limit of concurrent transfers of long deltas: fewer transfers finish sooner, and
their receivers can then serve other hosts."""

TRANSFER_IDLE_SECONDS: Final = 1.0
"""Time without a request after which a transfer no longer counts as active."""


class RouteTableServer:
    """Serve the configuration in force to other hosts, as a delta if possible.

    :ivar kept: values of the last configurations by digest, the newest last.
    :ivar packed: deltas to the configuration in force, by the digest of their base.
    :ivar sending: active transfers of long deltas: the monotonic time of the last
        request, by host ID.
    """

    def __init__(self, announcements: Announcements, clock: Clock) -> None:
        self.announcements = announcements
        self.clock = clock
        self.kept: dict[str, bytes] = {EMPTY_DIGEST: b""}
        self.packed: dict[str, Delta] = {}
        self.sending: dict[str, float] = {}
        announcements.on_table.append(self.keep)

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handler."""
        routes.add(TABLE_PATH, self.handle_request)

    def keep(self, table: RouteTable) -> None:
        """Keep the value of a new configuration as a base of later deltas."""
        value = self.announcements.table_value
        self.kept[digest(value)] = value
        while len(self.kept) > MAX_KEPT_TABLES:
            # The empty base stays, for hosts that have no kept configuration.
            del self.kept[list(self.kept)[1]]
        self.packed.clear()

    async def handle_request(self, body: Json) -> Json:
        """Return a portion of the delta to the configuration in force.

        The body holds the requesting `host`, the `version` and `digest` of its
        configuration, and the `start` of the portion. A response without a delta
        means that this host is busy or has no newer configuration.
        """
        version = self.announcements.table.version
        if version <= non_negative_int_field(body, "version"):
            return {"version": version}
        base_digest, start = string_field(body, "digest"), non_negative_int_field(
            body, "start"
        )
        delta = self.difference(
            base_digest if base_digest in self.kept else EMPTY_DIGEST
        )
        size = len(delta.packed)
        end = start + MAX_PORTION_CHARACTERS
        if size > MAX_PORTION_CHARACTERS and not self.admits(
            string_field(body, "host"), end >= size
        ):
            return {"version": version}
        portion = Delta(delta.base, delta.digest, delta.packed[start:end])
        return {"version": version, "delta": portion.to_json(), "size": size}

    def difference(self, known: str) -> Delta:
        """Return the delta from a kept configuration to the one in force."""
        if known not in self.packed:
            value = self.announcements.table_value
            self.packed[known] = make_delta(value, self.kept[known])
        return self.packed[known]

    def admits(self, host: str, ends: bool) -> bool:
        """Return whether a portion of a long delta may be sent to a host now.

        :param ends: whether it is the last portion.
        """
        now = self.clock.monotonic()
        self.sending = {
            one: at
            for one, at in self.sending.items()
            if now - at < TRANSFER_IDLE_SECONDS
        }
        if host not in self.sending and len(self.sending) >= MAX_CONCURRENT_TRANSFERS:
            return False
        self.sending[host] = now
        if ends:
            del self.sending[host]
        return True


class RouteTableFetcher:
    """Fetch newer configurations from other hosts.

    :param holders: returns the hosts known to have a version or a newer one, those of
        this zone first.
    :ivar wanted: the newest version known to exist.
    """

    def __init__(
        self,
        me: HostRef,
        peers: PeerClient,
        announcements: Announcements,
        holders: Callable[[int], list[HostRef]],
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.peers = peers
        self.announcements = announcements
        self.holders = holders
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.wanted = 0
        self.background = BackgroundTasks(decisions)
        self.fetching: asyncio.Task[None] | None = None

    def request_version(self, peer: HostRef, version: int) -> None:
        """Fetch a version that a host reports, unless a fetch is running."""
        self.wanted = max(self.wanted, version)
        if self.fetching is None or self.fetching.done():
            self.fetching = self.background.spawn(self.fetch(peer))

    def close(self) -> None:
        """Cancel the fetch in progress."""
        self.background.cancel()

    async def fetch(self, peer: HostRef) -> None:
        """Try one host after the other until the wanted version is in force."""
        for _ in range(MAX_TRIES):
            wanted = self.wanted
            if self.announcements.table.version >= wanted:
                return
            if await self.fetch_from(peer):
                continue
            await self.clock.sleep(RETRY_PAUSE_SECONDS * self.random.uniform(0.5, 1.5))
            peer = self.next(peer)
        self.decisions.record(
            "configuration_not_fetched",
            version=self.wanted,
            kept=self.announcements.table.version,
        )

    def next(self, peer: HostRef) -> HostRef:
        """Return the host to try next."""
        holders = self.holders(self.announcements.table.version + 1)
        return self.random.choice(holders) if holders else peer

    async def fetch_from(self, peer: HostRef) -> bool:
        """Fetch from one host; return whether a newer configuration is in force."""
        value = self.announcements.table_value
        before = self.announcements.table.version
        try:
            delta = await self.collect(peer, before, digest(value))
            if delta is None:
                return False
            base = b"" if delta.base == EMPTY_DIGEST else value
            self.announcements.apply_table(apply_delta(delta, base))
        except (PeerError, RefusalError, WireError) as error:
            self.decisions.record(
                "configuration_unanswered",
                peer=peer.host,
                version=self.wanted,
                error=str(error),
            )
            return False
        return self.announcements.table.version > before

    async def collect(self, peer: HostRef, version: int, known: str) -> Delta | None:
        """Fetch a delta, portion by portion.

        :param version: version of this host's configuration.
        :param known: digest of this host's configuration.
        :returns: None if the peer is busy, or changed to another version meanwhile.
        :raises PeerError: if it does not respond.
        :raises RefusalError: if it refuses.
        :raises WireError: if its response is malformed.
        """
        packed, target_digest = "", ""
        while True:
            body: Json = {
                "host": self.me.host,
                "version": version,
                "digest": known,
                "start": len(packed),
            }
            answer = await self.peers.call(
                peer, TABLE_PATH, body, RESPONSE_TIMEOUT_SECONDS
            )
            if "delta" not in answer:
                return None
            portion = Delta.from_json(answer["delta"])
            if packed and portion.digest != target_digest:
                return None
            target_digest = portion.digest
            packed += portion.packed
            if len(packed) >= non_negative_int_field(answer, "size"):
                return Delta(portion.base, target_digest, packed)
            if not portion.packed:
                raise WireError("portion of a configuration delta is empty")
