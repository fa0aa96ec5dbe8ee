"""Other hosts that are asked whether they reach a target."""

import asyncio
from collections import Counter
from random import Random
from typing import Final

from ...peer import HostRef, PeerError, PeerRoutes, Peers
from ...record import Record
from ...request.refusal import RefusalError
from ...version.registry import TargetEntry
from ...wire import Json, text
from ..announced.announcements import Announcements
from ..fleet.membership_table import MembershipTable
from .states import TargetStates

PATH: Final = "sight"
TAKE_PATH: Final = "take"

COUNT: Final = 9
"""Hosts that are asked at most; a primary may be cut off from most hosts and
still serve the others."""

ANSWER_TIMEOUT: Final = 0.45
"""Seconds for the host's answer."""

TAKE_TIMEOUT: Final = 1.0
"""Seconds in which a host takes a lead over at the store: two calls of 4 ms, or
of 240 ms at a slow store."""


class Sighting(Record):
    """Carry what another host says of its surroundings.

    :param reached: whether it reaches the target.
    :param stored: whether it reaches the store.
    """

    __slots__ = ("host", "reached", "stored")

    def __init__(self, host: HostRef, reached: bool, stored: bool) -> None:
        self.host = host
        self.reached = reached
        self.stored = stored


class Witnesses:
    """Ask other hosts for targets, and answer such questions."""

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        peers: Peers,
        announcements: Announcements,
        states: TargetStates,
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
        routes.add(PATH, self.answer)

    async def answer(self, body: Json) -> Json:
        """Say whether this host reaches a target, and the store."""
        entry = self.announcements.targets.get(text(body, "target"))
        reached = entry is not None and await self.states.reached(entry)
        return {"reached": reached, "stored": self.announcements.reached}

    async def look(self, entry: TargetEntry) -> list[Sighting]:
        """Return what hosts that answer say of a target and the store."""
        asked = self.chosen(entry.zone)
        answers = await asyncio.gather(*(self.ask(one, entry) for one in asked))
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
        return others[:COUNT]

    async def ask(self, host: HostRef, entry: TargetEntry) -> Sighting | None:
        """Ask one host; None if it gives no answer."""
        body: Json = {"target": entry.target}
        try:
            answer = await self.peers.call(host, PATH, body, ANSWER_TIMEOUT)
        except (PeerError, RefusalError):
            return None
        return Sighting(
            host, answer.get("reached") is True, answer.get("stored") is True
        )

    async def pass_on_to_any(self, service: str, sightings: list[Sighting]) -> bool:
        """Have the first host that reaches the store take a lead over."""
        for one in sightings:
            if one.stored and await self.pass_on(service, one.host):
                return True
        return False

    async def pass_on(self, service: str, host: HostRef, alone: bool = False) -> bool:
        """Have a host take the lead of a service over.

        :param alone: whether no earlier holder can still use the primary.
        """
        body: Json = {"service": service, "alone": alone}
        try:
            answer = await self.peers.call(host, TAKE_PATH, body, TAKE_TIMEOUT)
        except (PeerError, RefusalError):
            return False
        return answer.get("taken") is True
