"""Calls to other hosts over HTTP; `peer_wire` tells the form."""

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
from .peer_protocol import CLIENT_KEEPALIVE, CREDENTIAL, MAX_PEER_BODY_BYTES, PREFIX

LINK_IDLE_SECONDS: Final = 60.0
SWEEP_INTERVAL: Final = 10.0
NEAR: Final = "zone"
FAR: Final = "other_zones"

HEADERS_BYTES: Final = 220
"""Bytes of the heads of a call and its answer."""

PATH_PREFIX: Final = PREFIX.lstrip("/")


class HttpPeers(PeerClient):
    """Call other hosts over kept-alive connections.

    Each peer has connections of its own. After a call without an answer all
    of them are given up at once, since what lost track of one connection may
    have lost its neighbours too; the next call opens a new one.

    :param me: this host.
    :param credential: the credential that all hosts share.
    :param context: TLS context of outgoing connections; None for plain HTTP.
    :param metrics: counts the bytes of calls and their answers, by path, and apart
        for hosts of this zone and of others.
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
        self.links: dict[str, ChannelPool] = {}
        self.swept = 0.0

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        envelope = encode(
            {
                "from": self.me.host,
                "stamp": self.timeline.tick().to_json(),
                "body": body,
            }
        )
        link = self.link(peer.address)
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
        where = NEAR if peer.zone == self.me.zone else FAR
        size = len(envelope) + len(answer.body) + HEADERS_BYTES
        self.metrics.increment(f"peers.{path}.{where}_bytes", size)
        return self.read_answer(peer, answer.status, answer.body)

    def read_answer(self, peer: HostRef, status: int, raw: bytes) -> Json:
        """Return the body of an answer or raise the refusal that it carries."""
        try:
            message = decode(raw)
            self.timeline.observe(*message["stamp"])
            if "refusal" in message:
                raise RefusalError.from_json(message["refusal"])
            body: Json = message["body"]
            return body
        except (WireError, KeyError, TypeError, ValueError):
            detail = f"{peer.host} gave no usable answer, status {status}"
            raise PeerError(detail, sent=True) from None

    def link(self, address: str) -> ChannelPool:
        """Return the link to `address`; drop what nobody used for long."""
        now = self.clock.monotonic()
        if now - self.swept >= SWEEP_INTERVAL:
            self.sweep(now)
        link = self.links.get(address)
        if link is None:
            link = ChannelPool(address, self.headers, self.context)
            self.links[address] = link
        link.used = now
        return link

    def sweep(self, now: float) -> None:
        """Close channels and drop links that are idle; peers come and go."""
        self.swept = now
        for link in list(self.links.values()):
            link.close_unused(now - CLIENT_KEEPALIVE)
            if not link.in_use and now - link.used > LINK_IDLE_SECONDS:
                self.retire(link)

    def retire(self, link: ChannelPool) -> None:
        """Let no further call use `link`."""
        link.retire()
        if self.links.get(link.address) is link:
            del self.links[link.address]

    async def close(self) -> None:
        for link in list(self.links.values()):
            self.retire(link)
            link.abort_exchanges()
