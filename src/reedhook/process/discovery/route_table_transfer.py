"""The operators' configuration between hosts: who fetches it, and from whom."""

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
"""Seconds for an answer: a portion takes 0.13 s over a link of 1 Mbit/s, and shares
it with another one and with statements."""

MAX_PORTION_CHARACTERS: Final = 16384
"""Characters of one answer. A long difference is fetched portion by portion, so that
none of it is sent twice where a link is slow: in one piece, 130 KB for each of
16 hosts of a zone came too late over 1 Mbit/s, and were asked for again."""

RETRY_PAUSE_SECONDS: Final = 0.15
"""Seconds until another host is asked after one that was busy or silent; within a
second a version is at hosts enough for all others."""

MAX_TRIES: Final = 12
"""Hosts that are asked in turn; the next heartbeat of any host starts anew."""

MAX_KEPT_TABLES: Final = 4
"""Configurations from which differences are made; in a series of versions most
hosts are at one of the last few."""

MAX_CONCURRENT_TRANSFERS: Final = 2
"""Hosts to which a long difference is sent at once. One that is sent fast is soon
passed on: what 16 hosts get at a time each has after 16 times as long."""

TRANSFER_IDLE_SECONDS: Final = 1.0
"""Seconds after which a host that asks for no further portion makes room."""


class RouteTableServer:
    """Give the configuration in force to other hosts, as a difference if possible.

    :ivar kept: values of the last configurations by digest, the newest last.
    :ivar packed: differences to the configuration in force, by the digest of what
        they start from.
    :ivar sending: hosts to which a long difference is sent, with the time of their
        last question.
    """

    def __init__(self, announcements: Announcements, clock: Clock) -> None:
        self.announcements = announcements
        self.clock = clock
        self.kept: dict[str, bytes] = {EMPTY_DIGEST: b""}
        self.packed: dict[str, Delta] = {}
        self.sending: dict[str, float] = {}
        announcements.on_table.append(self.keep)

    def register(self, routes: PeerRoutes) -> None:
        """Add the handler of this host."""
        routes.add(TABLE_PATH, self.handle_request)

    def keep(self, table: RouteTable) -> None:
        """Keep the value of a configuration that came into force."""
        value = self.announcements.table_value
        self.kept[digest(value)] = value
        while len(self.kept) > MAX_KEPT_TABLES:
            # The empty one stays, for those that have none of the others.
            del self.kept[list(self.kept)[1]]
        self.packed.clear()

    async def handle_request(self, body: Json) -> Json:
        """Return a portion of the configuration in force, as a difference.

        `host` asks, has the configuration `version` with the `digest`, and wants
        the portion that begins at `start`. An answer without a difference says that
        this host is busy, or has nothing newer.
        """
        version = self.announcements.table.version
        if version <= non_negative_int_field(body, "version"):
            return {"version": version}
        known, start = string_field(body, "digest"), non_negative_int_field(
            body, "start"
        )
        delta = self.difference(known if known in self.kept else EMPTY_DIGEST)
        size = len(delta.packed)
        end = start + MAX_PORTION_CHARACTERS
        if size > MAX_PORTION_CHARACTERS and not self.admits(
            string_field(body, "host"), end >= size
        ):
            return {"version": version}
        portion = Delta(delta.base, delta.digest, delta.packed[start:end])
        return {"version": version, "delta": portion.to_json(), "size": size}

    def difference(self, known: str) -> Delta:
        """Return the difference from a configuration that is kept."""
        if known not in self.packed:
            value = self.announcements.table_value
            self.packed[known] = make_delta(value, self.kept[known])
        return self.packed[known]

    def admits(self, host: str, ends: bool) -> bool:
        """Return whether a portion of a long difference is sent to a host now.

        :param ends: whether it is the last one.
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
    """Fetch configurations that other hosts have and this one lacks.

    :param holders: returns the hosts that are known to have a version, those of
        this zone first.
    :ivar wanted: the newest version that is known of.
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
        """Fetch a version that a host says it has, if it is newer."""
        self.wanted = max(self.wanted, version)
        if self.fetching is None or self.fetching.done():
            self.fetching = self.background.spawn(self.fetch(peer))

    def close(self) -> None:
        """Fetch nothing any more."""
        self.background.cancel()

    async def fetch(self, peer: HostRef) -> None:
        """Ask one host after the other until the wanted version is in force."""
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
        """Return whom to ask next."""
        holders = self.holders(self.announcements.table.version + 1)
        return self.random.choice(holders) if holders else peer

    async def fetch_from(self, peer: HostRef) -> bool:
        """Ask a host; return whether a newer configuration came into force."""
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
        """Fetch a difference, portion by portion.

        :param version: that this host has, with the digest `known`.
        :returns: None if the host is busy, or goes on to another version.
        :raises PeerError: if it gives no answer.
        :raises RefusalError: if it refuses.
        :raises WireError: if it gives a malformed answer.
        """
        packed, found = "", ""
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
            if packed and portion.digest != found:
                return None
            found = portion.digest
            packed += portion.packed
            if len(packed) >= non_negative_int_field(answer, "size"):
                return Delta(portion.base, found, packed)
            if not portion.packed:
                raise WireError("a portion is empty")
