"""Probes of targets through other hosts, and lease transfers to them."""

import asyncio
from collections import Counter
from random import Random
from typing import Final

from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...record import Record
from ...request.refusal import RefusalError
from ...version.route_table import TargetAnnouncement
from ...wire import Json, string_field
from ..discovery.announcements import Announcements
from ..fleet.membership_table import MembershipTable
from .former_wait import FormerHolderWait
from .target_status import TargetStatusClient

PROBE_TARGET_PATH: Final = "sight"
CLAIM_PATH: Final = "take"

MAX_PROBERS: Final = 9
"""A primary may be unreachable from most hosts and still serve the others."""

RESPONSE_TIMEOUT_SECONDS: Final = 0.45
"""Timeout of a probe request to another host."""

CLAIM_TIMEOUT_SECONDS: Final = 1.0
"""Timeout for another host to claim a lease, which takes two calls to the store."""


class TargetObservation(Record):
    """Carry the probe result of another host.

    :param target_reachable: whether that host reaches the target.
    :param store_reachable: whether that host reaches the store.
    """

    __slots__ = ("host", "target_reachable", "store_reachable")

    def __init__(
        self, host: HostRef, target_reachable: bool, store_reachable: bool
    ) -> None:
        self.host = host
        self.target_reachable = target_reachable
        self.store_reachable = store_reachable


class IndirectProber:
    """Have other hosts probe targets, and probe targets for them."""

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        peers: PeerClient,
        announcements: Announcements,
        states: TargetStatusClient,
        random: Random,
    ) -> None:
        self.me = me
        self.table = table
        self.peers = peers
        self.announcements = announcements
        self.states = states
        self.random = random

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handler."""
        routes.add(PROBE_TARGET_PATH, self.handle_probe)

    async def handle_probe(self, body: Json) -> Json:
        """Probe a target and report whether this host reaches it and the store."""
        entry = self.announcements.targets.get(string_field(body, "target"))
        reached = entry is not None and await self.states.is_reachable(entry)
        return {"reached": reached, "stored": self.announcements.store_reached}

    async def probe(self, entry: TargetAnnouncement) -> list[TargetObservation]:
        """Return the probe results of the hosts that respond."""
        probers = self.chosen(entry.zone)
        answers = await asyncio.gather(
            *(self.request_probe(one, entry) for one in probers)
        )
        return [one for one in answers if one is not None]

    def chosen(self, zone: str) -> list[HostRef]:
        """Choose probers from each zone in turn, those of `zone` last in each round."""
        others = [ref for ref in self.table.refs() if ref.host != self.me.host]
        self.random.shuffle(others)
        seen: Counter[str] = Counter()
        rounds = {}
        for ref in others:
            rounds[ref.host] = seen[ref.zone]
            seen[ref.zone] += 1
        others.sort(key=lambda ref: (rounds[ref.host], ref.zone == zone))
        return others[:MAX_PROBERS]

    async def request_probe(
        self, host: HostRef, entry: TargetAnnouncement
    ) -> TargetObservation | None:
        """Probe a target through one host; None if the host does not respond."""
        body: Json = {"target": entry.target}
        try:
            answer = await self.peers.call(
                host, PROBE_TARGET_PATH, body, RESPONSE_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return None
        return TargetObservation(
            host, answer.get("reached") is True, answer.get("stored") is True
        )

    async def transfer_lease_to_any(
        self, service: str, observations: list[TargetObservation]
    ) -> bool:
        """Transfer a lease to the first host that reaches the store and accepts it."""
        for one in observations:
            if one.store_reachable and await self.transfer_lease(service, one.host):
                return True
        return False

    async def transfer_lease(
        self,
        service: str,
        host: HostRef,
        wait: FormerHolderWait | None = None,
    ) -> bool:
        """Transfer the lease of a service to a host; return whether it accepts.

        :param wait: what this host, as the holder, knows of former holders.
        """
        body: Json = {"service": service}
        if wait is not None:
            body |= wait.to_json()
        try:
            answer = await self.peers.call(
                host, CLAIM_PATH, body, CLAIM_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return False
        return answer.get("taken") is True
