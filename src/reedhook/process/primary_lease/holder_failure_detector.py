"""Failure detection of lease holders by the hosts that would claim their leases."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError
from ...wire import Json, WireError
from ..fleet.membership_table import MembershipTable

ALIVE_PATH: Final = "alive"
REACH_PATH: Final = "reaches"

PROBE_INTERVAL_SECONDS: Final = 0.3
"""Shorter than the detection time of membership, since writes wait for the claim of
a lost holder's lease."""

PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of a probe; after it, other hosts are asked to probe the holder."""

LOST_VALIDITY_SECONDS: Final = 2.0
"""Must exceed the longest probe, direct and indirect, plus PROBE_INTERVAL_SECONDS, so
that the result is renewed before it expires."""

UNCONFIRMED_SECONDS: Final = 1.0
"""Time without a response of a host or of an indirect prober, so that one round of
probes through hosts that are lost as well does not suffice."""

MAX_INDIRECT_PROBERS: Final = 3


class HolderFailureDetector:
    """Probe holders, directly and through other hosts, and determine which are lost.

    No host is declared lost if none of the indirect probers responds: this host may be
    partitioned itself. Such a host is unreachable, and its loss unconfirmed.

    :ivar lost_at: monotonic time when each host was last found lost.
    :ivar unreachable_since: monotonic time from which neither the host nor an indirect
        prober has responded.
    :ivar unreachable_at: monotonic time when that was last found.
    :ivar on_lost: callback after a host is found lost.
    """

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.table = table
        self.peers = peers
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.lost_at: dict[str, float] = {}
        self.unreachable_since: dict[str, float] = {}
        self.unreachable_at: dict[str, float] = {}
        self.probed_at: dict[str, float] = {}
        self.probe_tasks: dict[str, asyncio.Task[None]] = {}
        self.on_lost: Callable[[], None] = lambda: None

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handlers."""
        routes.add(ALIVE_PATH, self.handle_alive)
        routes.add(REACH_PATH, self.handle_reaches)

    async def handle_alive(self, body: Json) -> Json:
        """Respond to a probe of this host."""
        return {}

    async def handle_reaches(self, body: Json) -> Json:
        """Probe another host and report whether it responds."""
        try:
            host = HostRef.from_json(body["host"])
        except (LookupError, TypeError) as error:
            raise WireError("host reference is missing or malformed") from error
        return {"reached": await self.is_reachable(host)}

    def probe_if_due(self, host: HostRef) -> None:
        """Start a probe of a host unless one is running or recent."""
        now = self.clock.monotonic()
        if now - self.probed_at.get(host.host, float("-inf")) < PROBE_INTERVAL_SECONDS:
            return
        running = self.probe_tasks.get(host.host)
        if running is not None and not running.done():
            return
        self.probed_at[host.host] = now
        loop = asyncio.get_running_loop()
        self.probe_tasks[host.host] = loop.create_task(self.probe(host))

    async def probe(self, host: HostRef) -> None:
        """Probe a host; if it fails, retry and probe it through other hosts.

        The retry uses a new connection.
        """
        if await self.is_reachable(host):
            self.clear_lost(host)
            return
        retry_succeeded, *answers = await asyncio.gather(
            self.is_reachable(host),
            *(self.probe_indirectly(one, host) for one in self.choose_probers(host)),
        )
        if retry_succeeded:
            self.clear_lost(host)
            return
        if True in answers:
            self.clear_unreachable(host)
            return
        now = self.clock.monotonic()
        if False not in answers:
            self.record_unreachable(host, now, len(answers))
            return
        self.clear_unreachable(host)
        self.lost_at[host.host] = now
        self.decisions.record("holder_lost", lost=host.host, witnesses=len(answers))
        self.on_lost()

    def is_lost(self, host: HostRef) -> bool:
        """Return whether a host was found lost recently."""
        return self.is_recent(self.lost_at, host)

    def record_unreachable(self, host: HostRef, now: float, probers: int) -> None:
        """Record that neither a host nor any of the indirect probers responds."""
        if not self.is_recent(self.unreachable_at, host):
            self.unreachable_since[host.host] = now
            self.decisions.record(
                "holder_unreachable", unreachable=host.host, probers=probers
            )
        self.unreachable_at[host.host] = now

    def is_unreachable(self, host: HostRef) -> bool:
        """Return whether a host has not responded, and no other host to ask has."""
        if not self.is_recent(self.unreachable_at, host):
            return False
        since = self.unreachable_since[host.host]
        return self.clock.monotonic() - since >= UNCONFIRMED_SECONDS

    def is_recent(self, results: dict[str, float], host: HostRef) -> bool:
        """Return whether a host has a result that is still valid."""
        found_at = results.get(host.host, float("-inf"))
        return self.clock.monotonic() - found_at < LOST_VALIDITY_SECONDS

    def clear_lost(self, host: HostRef) -> None:
        """Discard the results for a host that responds or has restarted."""
        self.lost_at.pop(host.host, None)
        self.clear_unreachable(host)

    def clear_unreachable(self, host: HostRef) -> None:
        """Discard the result for a host of which another one has reported."""
        self.unreachable_since.pop(host.host, None)
        self.unreachable_at.pop(host.host, None)

    async def is_reachable(
        self, host: HostRef, timeout: float = PROBE_TIMEOUT_SECONDS
    ) -> bool:
        """Return whether a host responds within `timeout` seconds."""
        try:
            await self.peers.call(host, ALIVE_PATH, {}, timeout)
        except (PeerError, RefusalError):
            return False
        return True

    async def probe_indirectly(self, prober: HostRef, host: HostRef) -> bool | None:
        """Probe a host through `prober`; None if the prober does not respond."""
        body: Json = {"host": host.to_json()}
        try:
            answer = await self.peers.call(
                prober, REACH_PATH, body, 2 * PROBE_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return None
        return answer.get("reached") is True

    def choose_probers(self, host: HostRef) -> list[HostRef]:
        """Choose hosts outside this host's zone, the probed host's zone last.

        If all hosts are in one zone, choose others of that zone.
        """
        others = [
            ref
            for ref in self.table.refs()
            if ref.host not in (self.me.host, host.host)
        ]
        self.random.shuffle(others)
        outside_zone = [ref for ref in others if ref.zone != self.me.zone] or others
        outside_zone.sort(key=lambda ref: ref.zone == host.zone)
        return outside_zone[:MAX_INDIRECT_PROBERS]
