"""Peer client that tracks when hosts and zones last answered."""

from ...clock import Clock
from ...peer import HostRef, PeerClient
from ...request.refusal import RefusalError
from ...wire import Json


class AnswerTrackingPeers(PeerClient):
    """Delegate calls and track when each host and each zone last answered.

    :param delegate: the client that makes the calls.
    :ivar zone_answered_at: time of the last answer, by zone and `Clock.monotonic`.
    :ivar host_answered_at: time of the last answer, by host and `Clock.monotonic`.
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
            # A refusal also proves that the host is reachable.
            self.record_answer(peer)
            raise
        self.record_answer(peer)
        return answer

    def record_answer(self, peer: HostRef) -> None:
        """Record that a host has answered now."""
        now = self.clock.monotonic()
        self.zone_answered_at[peer.zone] = now
        self.host_answered_at[peer.host] = now

    def host_answered_since(self, host: str, moment: float) -> bool:
        """Return whether a host has answered a call after `moment`."""
        return self.host_answered_at.get(host, float("-inf")) > moment

    def other_zone_answered_since(self, zone: str, moment: float) -> bool:
        """Return whether a host outside `zone` has answered a call after `moment`."""
        return any(
            answered_at > moment
            for other, answered_at in self.zone_answered_at.items()
            if other != zone
        )

    async def close(self) -> None:
        await self.delegate.close()
