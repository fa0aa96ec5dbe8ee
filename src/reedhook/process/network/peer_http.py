"""Calls to other hosts over HTTP; see `peer_protocol` for the format."""

import ssl
from typing import Final

from ...clock import Clock
from ...connection.channel import ChannelClosedError, ResponseIncompleteError
from ...connection.channel_pool import ChannelPool
from ...metrics import MemoryMetrics, Metrics
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from ...wire import Json, WireError, decode, encode
from ..events.timeline import Timeline
from .peer_protocol import (
    CLIENT_KEEPALIVE_SECONDS,
    CREDENTIAL,
    MAX_PEER_BODY_BYTES,
    PREFIX,
)

LINK_IDLE_SECONDS: Final = 60.0
SWEEP_INTERVAL_SECONDS: Final = 10.0
NEAR: Final = "zone"
FAR: Final = "other_zones"

HEADERS_BYTES: Final = 220
"""Approximate size of the headers of a call and its response."""

PATH_PREFIX: Final = PREFIX.lstrip("/")


class HttpPeers(PeerClient):
    """Call other hosts over persistent connections.

    Each peer has its own pool of connections. A call without a response retires
    the whole pool, since the fault may affect its other connections too; the next
    call opens a new connection.

    :param me: this host.
    :param credential: the credential that all hosts share.
    :param context: TLS context of outgoing connections; None for plain HTTP.
    :param metrics: counts the bytes of calls and responses by path, separately for
        hosts of this zone and of other zones.
    """

    def __init__(
        self,
        me: HostRef,
        credential: str,
        timeline: Timeline,
        clock: Clock,
        context: ssl.SSLContext | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.me = me
        self.metrics = metrics or MemoryMetrics()
        self.headers = {CREDENTIAL: credential}
        self.timeline = timeline
        self.clock = clock
        self.context = context
        self.channel_pools: dict[str, ChannelPool] = {}
        self.swept_at = 0.0

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        envelope = encode(
            {
                "from": self.me.host,
                "stamp": self.timeline.tick().to_json(),
                "body": body,
            }
        )
        link = self.channel_pool(peer.address)
        try:
            answer = await link.exchange(
                PATH_PREFIX + path, envelope, timeout, self.clock, MAX_PEER_BODY_BYTES
            )
        except ChannelClosedError as error:
            self.retire(link)
            raise PeerError(f"{peer.host} unreachable: {error}", sent=False) from None
        except ResponseIncompleteError as error:
            self.retire(link)
            detail = f"{peer.host} did not answer: {error}"
            raise PeerError(detail, sent=True) from None
        zone_label = NEAR if peer.zone == self.me.zone else FAR
        size = len(envelope) + len(answer.body) + HEADERS_BYTES
        self.metrics.increment(f"peers.{path}.{zone_label}_bytes", size)
        return self.read_answer(peer, answer.status, answer.body)

    def read_answer(self, peer: HostRef, status: int, raw: bytes) -> Json:
        """Return the body of a response or raise the refusal that it carries.

        :raises RefusalError: if the peer refused the call.
        :raises PeerError: if the response is malformed.
        """
        try:
            message = decode(raw)
            self.timeline.observe(*message["stamp"])
            if "refusal" in message:
                raise RefusalError.from_json(message["refusal"])
            body: Json = message["body"]
            return body
        except (WireError, KeyError, TypeError, ValueError):
            detail = f"{peer.host} sent a malformed response, status {status}"
            raise PeerError(detail, sent=True) from None

    def channel_pool(self, address: str) -> ChannelPool:
        """Return the connection pool of `address`; sweep idle pools periodically."""
        now = self.clock.monotonic()
        if now - self.swept_at >= SWEEP_INTERVAL_SECONDS:
            self.sweep(now)
        link = self.channel_pools.get(address)
        if link is None:
            link = ChannelPool(address, self.headers, self.context)
            self.channel_pools[address] = link
        link.used = now
        return link

    def sweep(self, now: float) -> None:
        """Close idle channels and drop the pools of peers that are not called."""
        self.swept_at = now
        for link in list(self.channel_pools.values()):
            link.close_unused(now - CLIENT_KEEPALIVE_SECONDS)
            if not link.in_use and now - link.used > LINK_IDLE_SECONDS:
                self.retire(link)

    def retire(self, link: ChannelPool) -> None:
        """Remove a pool so that no further call uses it."""
        link.retire()
        if self.channel_pools.get(link.address) is link:
            del self.channel_pools[link.address]

    async def close(self) -> None:
        for link in list(self.channel_pools.values()):
            self.retire(link)
            link.abort_exchanges()
