"""Calls to other hosts, with a note of when hosts and zones last answered."""

from ...clock import Clock
from ...peer import HostRef, PeerClient
from ...request.refusal import RefusalError
from ...wire import Json


class AnswerTrackingPeers(PeerClient):
    """Pass calls on, and keep when each host and each zone last answered.

    :param delegate: makes the calls.
    :ivar zone_answered_at: time of the last answer by zone, by `Clock.monotonic`.
    :ivar host_answered_at: the same by host.
    """

    def __init__(self, delegate: PeerClient, clock: Clock) -> None:
        self.delegate = delegate
        self.clock = clock
        self.zone_answered_at: dict[str, float] = {}
        self.host_answered_at: dict[str, float] = {}

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        try:
            answer = await self.delegate.call(peer, path, body, timeout)
        except RefusalError:
            # A refusal is an answer, too.
            self.record_answer(peer)
            raise
        self.record_answer(peer)
        return answer

    def record_answer(self, peer: HostRef) -> None:
        """Take note of an answer."""
        now = self.clock.monotonic()
        self.zone_answered_at[peer.zone] = now
        self.host_answered_at[peer.host] = now

    def host_answered_since(self, host: str, moment: float) -> bool:
        """Say whether a host has answered a call since then."""
        return self.host_answered_at.get(host, float("-inf")) > moment

    def other_zone_answered_since(self, zone: str, moment: float) -> bool:
        """Say whether a host of any zone but this one has answered since then."""
        return any(
            at > moment for other, at in self.zone_answered_at.items() if other != zone
        )

    async def close(self) -> None:
        await self.delegate.close()
