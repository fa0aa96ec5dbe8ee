"""Other hosts that are asked whether they reach a target."""

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
from .target_status import TargetStatusClient

PROBE_TARGET_PATH: Final = "sight"
CLAIM_PATH: Final = "take"

MAX_PROBERS: Final = 9
"""Hosts that are asked at most; a primary may be cut off from most hosts and
still serve the others."""

RESPONSE_TIMEOUT_SECONDS: Final = 0.45
"""Seconds for the host's answer."""

CLAIM_TIMEOUT_SECONDS: Final = 1.0
"""Seconds in which a host takes a lead over at the store: two calls of 4 ms, or
of 240 ms at a slow store."""


class TargetObservation(Record):
    """Carry what another host says of its surroundings.

    :param target_reachable: whether it reaches the target.
    :param store_reachable: whether it reaches the store.
    """

    __slots__ = ("host", "target_reachable", "store_reachable")

    def __init__(
        self, host: HostRef, target_reachable: bool, store_reachable: bool
    ) -> None:
        self.host = host
        self.target_reachable = target_reachable
        self.store_reachable = store_reachable


class IndirectProber:
    """Ask other hosts for targets, and answer such questions."""

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
        """Add the handler of this host."""
        routes.add(PROBE_TARGET_PATH, self.handle_probe)

    async def handle_probe(self, body: Json) -> Json:
        """Say whether this host reaches a target, and the store."""
        entry = self.announcements.targets.get(string_field(body, "target"))
        reached = entry is not None and await self.states.is_reachable(entry)
        return {"reached": reached, "stored": self.announcements.store_reached}

    async def probe(self, entry: TargetAnnouncement) -> list[TargetObservation]:
        """Return what hosts that answer say of a target and the store."""
        asked = self.chosen(entry.zone)
        answers = await asyncio.gather(
            *(self.request_probe(one, entry) for one in asked)
        )
        return [one for one in answers if one is not None]

    def chosen(self, zone: str) -> list[HostRef]:
        """Choose whom to ask: hosts of each zone in turn, those of one last."""
        others = [ref for ref in self.table.refs() if ref.host != self.me.host]
        self.random.shuffle(others)
        seen: Counter[str] = Counter()
        turns = {}
        for ref in others:
            turns[ref.host] = seen[ref.zone]
            seen[ref.zone] += 1
        others.sort(key=lambda ref: (turns[ref.host], ref.zone == zone))
        return others[:MAX_PROBERS]

    async def request_probe(
        self, host: HostRef, entry: TargetAnnouncement
    ) -> TargetObservation | None:
        """Ask one host; None if it gives no answer."""
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
        """Have the first host that reaches the store take a lead over."""
        for one in observations:
            if one.store_reachable and await self.transfer_lease(service, one.host):
                return True
        return False

    async def transfer_lease(
        self, service: str, host: HostRef, no_former_holders: bool = False
    ) -> bool:
        """Have a host take the lead of a service over.

        :param no_former_holders: whether no earlier holder can still use the primary.
        """
        body: Json = {"service": service, "alone": no_former_holders}
        try:
            answer = await self.peers.call(
                host, CLAIM_PATH, body, CLAIM_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return False
        return answer.get("taken") is True
