"""Calls between hosts as HTTP with JSON.

A call is ``POST /peer/<path>``. The body is an envelope: the sender's id, its
time-line stamp and the body proper. The answer carries a stamp and either a
body or a refusal. The credential that all hosts share is a header.
"""

import asyncio
import hmac
import ssl
from typing import Final

import aiohttp
import logbook
from aiohttp import hdrs, web
from multidict import CIMultiDict
from yarl import URL

from ..clock import Clock
from ..request.refusal import Reason, Refusal, may_have_run, not_run
from ..wire import Json, WireError, decode, encode
from .peer import HostRef, PeerError, PeerRoutes, Peers
from .timeline import Timeline

CREDENTIAL: Final = "X-Peer"
PREFIX: Final = "/peer/"
BODY_LIMIT: Final = 4 * 1024 * 1024
BODY_TIMEOUT: Final = 5.0
KEEPALIVE: Final = 15.0
# Longer than at the client, so that no call meets a closing connection.
SERVER_KEEPALIVE: Final = 75.0
SHUTDOWN_TIMEOUT: Final = 10.0
LINGERING: Final = 1.0
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

log = logbook.Logger("peers")


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
            connector=aiohttp.TCPConnector(
                limit=0,
                ssl=context if context is not None else True,
                keepalive_timeout=KEEPALIVE,
                use_dns_cache=False,
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


class PeerEndpoint:
    """Answer the calls of other hosts."""

    def __init__(self, routes: PeerRoutes, credential: str, timeline: Timeline) -> None:
        self.routes = routes
        self.credential = credential.encode()
        self.timeline = timeline

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call; a failure becomes a refusal, never a bare 500."""
        try:
            self.authenticate(request)
            envelope = await read_envelope(request)
            answer = await self.dispatch(path_of(request), envelope)
        except Refusal as refusal:
            return self.respond({"refusal": refusal.to_json()}, refusal.status)
        return self.respond({"body": answer}, 200)

    def authenticate(self, request: web.BaseRequest) -> None:
        """Check the shared credential in constant time."""
        given = request.headers.get(CREDENTIAL, "").encode(errors="replace")
        if not hmac.compare_digest(given, self.credential):
            raise not_run(Reason.UNAUTHENTICATED, "the peer credential is wrong")

    async def dispatch(self, path: str, envelope: Json) -> Json:
        """Run the handler of `path`."""
        handler = self.routes.handlers.get(path)
        if handler is None:
            raise not_run(Reason.BAD_REQUEST, "there is no such peer path")
        try:
            wall_ms, count = envelope["stamp"]
            self.timeline.observe(int(wall_ms), int(count))
            body = envelope["body"]
        except (KeyError, TypeError, ValueError):
            raise not_run(Reason.BAD_REQUEST, "the envelope is malformed") from None
        if not isinstance(body, dict):
            raise not_run(Reason.BAD_REQUEST, "the body is not an object")
        try:
            return await handler(body)
        except WireError as error:
            raise not_run(Reason.BAD_REQUEST, str(error)) from None
        except Refusal:
            raise
        except Exception:
            log.exception("The handler of {} failed.", path)
            detail = "the handler failed at the peer"
            raise may_have_run(Reason.HOST_UNREACHABLE, detail) from None

    def respond(self, message: Json, status: int) -> web.Response:
        """Encode an answer with this host's stamp."""
        message["stamp"] = self.timeline.tick().to_json()
        return web.Response(
            body=encode(message), status=status, content_type="application/json"
        )


def path_of(request: web.BaseRequest) -> str:
    """Return the peer path that a request names; empty if it names none."""
    if request.method != hdrs.METH_POST or not request.path.startswith(PREFIX):
        return ""
    return request.path[len(PREFIX) :]


async def read_envelope(request: web.BaseRequest) -> Json:
    """Read a body of bounded size in bounded time.

    :raises Refusal: if it is too large, late, compressed or malformed.
    """
    length = request.content_length
    if length is None or hdrs.CONTENT_ENCODING in request.headers:
        raise not_run(Reason.BAD_REQUEST, "a plain body of stated length is expected")
    if length > BODY_LIMIT:
        raise not_run(Reason.TOO_LARGE, "the body is too large")
    try:
        async with asyncio.timeout(BODY_TIMEOUT):
            return decode(await request.content.read())
    except WireError as error:
        raise not_run(Reason.BAD_REQUEST, str(error)) from None
    except TimeoutError:
        raise not_run(Reason.DEADLINE, "the body did not arrive") from None


def peer_runner(
    endpoint: PeerEndpoint, shutdown_timeout: float = SHUTDOWN_TIMEOUT
) -> web.ServerRunner:
    """Return the runner of the listener that other hosts reach.

    It has no router, since the one path prefix needs none. Bodies are not
    decompressed, so that a small one can't grow.

    :param shutdown_timeout: how long `cleanup` waits for calls in progress,
        in seconds.
    """
    server = web.Server(
        endpoint.handle,
        auto_decompress=False,
        access_log=None,
        keepalive_timeout=SERVER_KEEPALIVE,
        lingering_time=LINGERING,
    )
    return web.ServerRunner(server, shutdown_timeout=shutdown_timeout)
