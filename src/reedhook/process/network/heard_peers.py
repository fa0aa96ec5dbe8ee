"""Calls to other hosts, with a note of when each availability zone last answered."""

from ...clock import Clock
from ...request.refusal import Refusal
from ...wire import Json
from .peer import HostRef, Peers


class HeardPeers(Peers):
    """Pass calls on, and keep when hosts of each zone last answered.

    :param calls: makes the calls.
    :ivar heard_at: time of the last answer by zone, by `Clock.monotonic`.
    """

    def __init__(self, calls: Peers, clock: Clock) -> None:
        self.calls = calls
        self.clock = clock
        self.heard_at: dict[str, float] = {}

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        try:
            answer = await self.calls.call(peer, path, body, timeout)
        except Refusal:
            # A refusal is an answer, too.
            self.heard_at[peer.zone] = self.clock.monotonic()
            raise
        self.heard_at[peer.zone] = self.clock.monotonic()
        return answer

    async def close(self) -> None:
        await self.calls.close()
