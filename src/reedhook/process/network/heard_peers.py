"""Calls to other hosts, with a note of when hosts and zones last answered."""

from ...clock import Clock
from ...peer import HostRef, Peers
from ...request.refusal import RefusalError
from ...wire import Json


class HeardPeers(Peers):
    """Pass calls on, and keep when each host and each zone last answered.

    :param calls: makes the calls.
    :ivar heard_at: time of the last answer by zone, by `Clock.monotonic`.
    :ivar host_heard_at: the same by host.
    """

    def __init__(self, calls: Peers, clock: Clock) -> None:
        self.calls = calls
        self.clock = clock
        self.heard_at: dict[str, float] = {}
        self.host_heard_at: dict[str, float] = {}

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        try:
            answer = await self.calls.call(peer, path, body, timeout)
        except RefusalError:
            # A refusal is an answer, too.
            self.heard(peer)
            raise
        self.heard(peer)
        return answer

    def heard(self, peer: HostRef) -> None:
        """Take note of an answer."""
        now = self.clock.monotonic()
        self.heard_at[peer.zone] = now
        self.host_heard_at[peer.host] = now

    def heard_since(self, host: str, moment: float) -> bool:
        """Say whether a host has answered a call since then."""
        return self.host_heard_at.get(host, float("-inf")) > moment

    def other_zone_heard_since(self, zone: str, moment: float) -> bool:
        """Say whether a host of any zone but this one has answered since then."""
        return any(at > moment for other, at in self.heard_at.items() if other != zone)

    async def close(self) -> None:
        await self.calls.close()
