"""The listener that other hosts reach; `peer_wire` tells the form."""

import asyncio
import hmac
import ssl
from typing import Any, Final, TypeGuard

import logbook
from aiohttp import hdrs, web

from ...request.refusal import Reason, Refusal, may_have_run, not_run
from ...wire import Json, WireError, decode, encode
from ..events.timeline import Timeline
from .listener import Listener
from .peer import PeerRoutes
from .peer_wire import BODY_LIMIT, CREDENTIAL, PREFIX, SERVER_KEEPALIVE

BODY_TIMEOUT: Final = 5.0
SHUTDOWN: Final = 10.0
LINGERING: Final = 1.0
IDLE_GRACE: Final = 0.2
HTTP_OK: Final = 200
JSON_TYPE: Final = "application/json"
STAMP_FIELDS: Final = 2

log = logbook.Logger("peers")


class PeerServer:
    """Listen for calls of other hosts.

    It has no router, since there is one path prefix only. Bodies are not
    decompressed, so that a small one cannot grow.

    :param address: ``IP:port`` to listen on; port 0 takes a free one.
    :param tls: None for plain TCP.
    :param shutdown: how long `stop` waits for calls in progress, in seconds.
    """

    def __init__(
        self,
        endpoint: "PeerEndpoint",
        address: str,
        tls: ssl.SSLContext | None = None,
        shutdown: float = SHUTDOWN,
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self.tls = tls
        server = web.Server(
            endpoint.handle,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=SERVER_KEEPALIVE,
            lingering_time=LINGERING,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=shutdown)
        self.listener = Listener(self.runner, address, IDLE_GRACE)

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address cannot be had.
        """
        await self.listener.start(self.tls)
        self.address = self.listener.address

    def start_leaving(self) -> None:
        """Serve on, and let each connection end with its next answer."""
        self.endpoint.leaving = True

    async def stop(self) -> None:
        """Stop listening and let calls in progress end."""
        self.start_leaving()
        await self.listener.stop()


class PeerEndpoint:
    """Answer the calls of other hosts."""

    def __init__(self, routes: PeerRoutes, credential: str, timeline: Timeline) -> None:
        self.routes = routes
        self.credential = credential.encode()
        self.timeline = timeline
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call; a failure becomes a refusal, never a bare 500."""
        try:
            self.authenticate(request)
            body = self.open(await read_envelope(request))
            answer = await self.dispatch(path_of(request), body)
        except Refusal as refusal:
            return self.respond({"refusal": refusal.to_json()}, refusal.status)
        return self.respond({"body": answer}, HTTP_OK)

    def authenticate(self, request: web.BaseRequest) -> None:
        """Check the shared credential in constant time."""
        given = request.headers.get(CREDENTIAL, "").encode(errors="replace")
        if not hmac.compare_digest(given, self.credential):
            raise not_run(Reason.UNAUTHENTICATED, "the peer credential is wrong")

    def open(self, envelope: Json) -> Json:
        """Return the body of an envelope and take note of its stamp."""
        body, stamp = envelope.get("body"), envelope.get("stamp")
        if not isinstance(body, dict) or not is_stamp(stamp):
            raise not_run(Reason.BAD_REQUEST, "the envelope is malformed")
        self.timeline.observe(*stamp)
        return body

    async def dispatch(self, path: str, body: Json) -> Json:
        """Run the handler of `path`."""
        handler = self.routes.handlers.get(path)
        if handler is None:
            raise not_run(Reason.BAD_REQUEST, "there is no such peer path")
        try:
            return await handler(body)
        except Refusal:
            raise
        except WireError as error:
            raise not_run(Reason.BAD_REQUEST, str(error)) from None
        except Exception:
            log.exception("The handler of {} failed.", path)
            detail = "the handler failed at the peer"
            raise may_have_run(Reason.HOST_UNREACHABLE, detail) from None

    def respond(self, message: Json, status: int) -> web.Response:
        """Encode an answer with this host's stamp."""
        message["stamp"] = self.timeline.tick().to_json()
        response = web.Response(
            body=encode(message), status=status, content_type=JSON_TYPE
        )
        if self.leaving:
            response.force_close()
        return response


def is_stamp(value: Any) -> TypeGuard[list[int]]:
    """Return whether `value` is a stamp as it stands on the wire."""
    if not isinstance(value, list) or len(value) != STAMP_FIELDS:
        return False
    return all(type(one) is int and one >= 0 for one in value)


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
