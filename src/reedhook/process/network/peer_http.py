"""Calls to other hosts over HTTP; `peer_wire` tells the form."""

import ssl
from typing import Final

from ...clock import Clock
from ...connection.channel import (
    Channel,
    ChannelAnswer,
    ChannelBroken,
    ChannelClosed,
    open_channel,
)
from ...request.refusal import Refusal
from ...wire import Json, WireError, decode, encode
from ..events.timeline import Timeline
from .peer import HostRef, PeerError, Peers
from .peer_wire import BODY_LIMIT, CLIENT_KEEPALIVE, CREDENTIAL, PREFIX

LINK_IDLE: Final = 60.0
SWEEP_INTERVAL: Final = 10.0
MAX_IDLE: Final = 16
PATH_PREFIX: Final = PREFIX.lstrip("/")


class Idle:
    """Keep a channel that no call uses.

    :ivar since: monotonic time in seconds of its last use.
    """

    __slots__ = ("channel", "since")

    def __init__(self, channel: Channel, since: float) -> None:
        self.channel = channel
        self.since = since


class Link:
    """Hold the channels to one peer; each call has one for itself.

    :param address: ``IP:port`` of the peer.
    :param headers: stand in each request.
    :ivar idle: channels that no call uses, the last used at the end.
    :ivar in_use: channels of the calls that wait for an answer.
    :ivar retired: whether no further call may use these channels.
    :ivar used: monotonic time in seconds of the last call.
    """

    __slots__ = ("address", "headers", "context", "idle", "in_use", "retired", "used")

    def __init__(
        self, address: str, headers: dict[str, str], context: ssl.SSLContext | None
    ) -> None:
        self.address = address
        self.headers = headers
        self.context = context
        self.idle: list[Idle] = []
        self.in_use: set[Channel] = set()
        self.retired = False
        self.used = 0.0

    async def exchange(
        self, path: str, envelope: bytes, timeout: float, clock: Clock
    ) -> ChannelAnswer:
        """Send the envelope once and return the answer.

        :raises ChannelClosed: if nothing was sent.
        :raises ChannelBroken: if no whole answer came.
        """
        deadline = clock.monotonic() + timeout
        channel = self.take() or await self.open(timeout)
        left = deadline - clock.monotonic()
        self.in_use.add(channel)
        try:
            answer = await channel.exchange(path, envelope, left, BODY_LIMIT)
        finally:
            self.in_use.discard(channel)
        self.used = clock.monotonic()
        self.keep(channel)
        return answer

    def take(self) -> Channel | None:
        """Return the channel last used that is still open, if there is one."""
        while self.idle:
            channel = self.idle.pop().channel
            if not channel.closed:
                return channel
            channel.close()
        return None

    async def open(self, timeout: float) -> Channel:
        """Open a channel."""
        return await open_channel(self.address, timeout, self.headers, self.context)

    def keep(self, channel: Channel) -> None:
        """Keep a channel for the next call, unless there are enough."""
        if self.retired or channel.closed or len(self.idle) >= MAX_IDLE:
            channel.close()
            return
        self.idle.append(Idle(channel, self.used))

    def close_unused(self, before: float) -> None:
        """Close the channels that were last used before that time."""
        while self.idle and self.idle[0].since < before:
            self.idle.pop(0).channel.close()

    def retire(self) -> None:
        """Close idle channels now and the others after their calls."""
        self.retired = True
        while self.idle:
            self.idle.pop().channel.close()

    def cut(self) -> None:
        """Let the calls in progress end without an answer."""
        for channel in self.in_use:
            channel.close()


class HttpPeers(Peers):
    """Call other hosts over kept-alive connections.

    Each peer has connections of its own. After a call without an answer all
    of them are given up at once, since what lost track of one connection may
    have lost its neighbours too; the next call opens a new one.

    :param me: this host.
    :param credential: the credential that all hosts share.
    :param context: TLS context of outgoing connections; None for plain HTTP.
    """

    def __init__(
        self,
        me: HostRef,
        credential: str,
        timeline: Timeline,
        clock: Clock,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.me = me
        self.headers = {CREDENTIAL: credential}
        self.timeline = timeline
        self.clock = clock
        self.context = context
        self.links: dict[str, Link] = {}
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
                PATH_PREFIX + path, envelope, timeout, self.clock
            )
        except ChannelClosed as error:
            self.retire(link)
            raise PeerError(f"{peer.host} unreachable: {error}", sent=False) from None
        except ChannelBroken as error:
            self.retire(link)
            detail = f"{peer.host} did not answer: {error}"
            raise PeerError(detail, sent=True) from None
        return self.read_answer(peer, answer.status, answer.body)

    def read_answer(self, peer: HostRef, status: int, raw: bytes) -> Json:
        """Return the body of an answer or raise the refusal that it carries."""
        try:
            message = decode(raw)
            self.timeline.observe(*message["stamp"])
            if "refusal" in message:
                raise Refusal.from_json(message["refusal"])
            body: Json = message["body"]
            return body
        except (WireError, KeyError, TypeError, ValueError):
            detail = f"{peer.host} gave no usable answer, status {status}"
            raise PeerError(detail, sent=True) from None

    def link(self, address: str) -> Link:
        """Return the link to `address`; drop what nobody used for long."""
        now = self.clock.monotonic()
        if now - self.swept >= SWEEP_INTERVAL:
            self.sweep(now)
        link = self.links.get(address)
        if link is None:
            link = Link(address, self.headers, self.context)
            self.links[address] = link
        link.used = now
        return link

    def sweep(self, now: float) -> None:
        """Close channels and drop links that are idle; peers come and go."""
        self.swept = now
        for link in list(self.links.values()):
            link.close_unused(now - CLIENT_KEEPALIVE)
            if not link.in_use and now - link.used > LINK_IDLE:
                self.retire(link)

    def retire(self, link: Link) -> None:
        """Let no further call use `link`."""
        link.retire()
        if self.links.get(link.address) is link:
            del self.links[link.address]

    async def close(self) -> None:
        for link in list(self.links.values()):
            self.retire(link)
            link.cut()
