"""Calls to other hosts over HTTP; `peer_wire` tells the form."""

import asyncio
import ssl
from typing import Final

import aiohttp
from aiohttp import hdrs
from multidict import CIMultiDict
from yarl import URL

from ..clock import Clock
from ..connector import Connector
from ..request.refusal import Refusal
from ..wire import Json, WireError, decode, encode
from .peer import HostRef, PeerError, Peers
from .peer_wire import BODY_LIMIT, CLIENT_KEEPALIVE, CREDENTIAL, PREFIX
from .timeline import Timeline

LINK_IDLE: Final = 60.0
SWEEP_INTERVAL: Final = 10.0
# A call whose connection could not be opened in time is proved not sent only
# if the connector's timer fires before that of the whole call.
CONNECT_MARGIN: Final = 0.002
NO_CEILING: Final = 86_400.0
# Spare headers are most of the bytes of a heartbeat.
SPARE_HEADERS: Final = (
    hdrs.USER_AGENT,
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
)


class Link:
    """Hold the connections to one peer.

    :param address: ``IP:port`` of the peer.
    :ivar in_flight: calls that wait for an answer.
    :ivar retired: whether no further call may use these connections.
    :ivar used: monotonic time in seconds of the last call.
    """

    __slots__ = ("base", "session", "in_flight", "retired", "used")

    def __init__(self, address: str, context: ssl.SSLContext | None) -> None:
        scheme = "http" if context is None else "https"
        self.base = URL(f"{scheme}://{address}{PREFIX}")
        self.session = aiohttp.ClientSession(
            connector=Connector(
                limit=0,
                ssl=context if context is not None else True,
                keepalive_timeout=CLIENT_KEEPALIVE,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=SPARE_HEADERS,
            auto_decompress=False,
            trust_env=False,
        )
        self.in_flight = 0
        self.retired = False
        self.used = 0.0

    async def release(self) -> None:
        """Close the connections once nobody waits on them."""
        if self.retired and self.in_flight == 0:
            await self.session.close()


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
        self.headers = CIMultiDict({CREDENTIAL: credential})
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
        link = await self.link(peer.address)
        link.in_flight += 1
        try:
            status, raw = await self.exchange(link, path, envelope, timeout)
        except aiohttp.ClientConnectorError as error:
            self.retire(peer.address, link)
            raise PeerError(f"{peer.host} unreachable: {error}", sent=False) from None
        except aiohttp.ConnectionTimeoutError:
            self.retire(peer.address, link)
            raise PeerError(f"{peer.host} accepts no connection", sent=False) from None
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.retire(peer.address, link)
            kind = type(error).__name__
            raise PeerError(f"{peer.host} did not answer: {kind}", sent=True) from None
        finally:
            link.in_flight -= 1
            await link.release()
        return self.read_answer(peer, status, raw)

    async def exchange(
        self, link: Link, path: str, envelope: bytes, timeout: float
    ) -> tuple[int, bytes]:
        """Send the envelope once; aiohttp does not repeat a POST."""
        limits = aiohttp.ClientTimeout(connect=timeout, ceil_threshold=NO_CEILING)
        async with asyncio.timeout(timeout + CONNECT_MARGIN):
            async with link.session.post(
                link.base / path,
                data=envelope,
                headers=self.headers,
                timeout=limits,
                allow_redirects=False,
            ) as response:
                if (response.content_length or 0) > BODY_LIMIT:
                    raise aiohttp.ClientPayloadError("the answer is too long")
                return response.status, await response.read()

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

    async def link(self, address: str) -> Link:
        """Return the link to `address`; drop links that nobody used for long."""
        now = self.clock.monotonic()
        link = self.links.get(address)
        if link is None:
            await self.sweep(now)
            link = self.links[address] = Link(address, self.context)
        link.used = now
        return link

    async def sweep(self, now: float) -> None:
        """Close links that are idle; the set of peers changes all the time."""
        if now - self.swept < SWEEP_INTERVAL:
            return
        self.swept = now
        for address, link in list(self.links.items()):
            if link.in_flight == 0 and now - link.used > LINK_IDLE:
                self.retire(address, link)
                await link.release()

    def retire(self, address: str, link: Link) -> None:
        """Let no further call use `link`."""
        link.retired = True
        if self.links.get(address) is link:
            del self.links[address]

    async def close(self) -> None:
        links = list(self.links.values())
        self.links.clear()
        for link in links:
            link.retired = True
            await link.session.close()
