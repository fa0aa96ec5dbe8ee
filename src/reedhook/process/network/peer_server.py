"""The listener that other hosts reach; `peer_wire` tells the form."""

import hmac
import ssl
from typing import Any, Final, TypeGuard

import logbook

from ...peer import PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...wire import Json, WireError, decode, encode
from ..events.timeline import Timeline
from .peer_protocol import CREDENTIAL, MAX_PEER_BODY_BYTES, PREFIX, SERVER_KEEPALIVE
from .plain_server import LENGTH, PlainRequest, PlainResponse, PlainServer

SHUTDOWN: Final = 10.0
IDLE_GRACE: Final = 0.2
HTTP_OK: Final = 200
POST: Final = "POST"
ENCODING: Final = "content-encoding"
STAMP_FIELDS: Final = 2

log = logbook.Logger("peers")


class PeerServer(PlainServer):
    """Listen for calls of other hosts.

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
        super().__init__(
            "peers",
            endpoint.handle,
            address,
            MAX_PEER_BODY_BYTES,
            SERVER_KEEPALIVE,
            IDLE_GRACE,
            tls,
            shutdown,
        )
        self.endpoint = endpoint

    def refuse(self, refusal: RefusalError) -> PlainResponse:
        return self.endpoint.refuse(refusal)


class PeerEndpoint:
    """Answer the calls of other hosts."""

    def __init__(self, routes: PeerRoutes, credential: str, timeline: Timeline) -> None:
        self.routes = routes
        self.credential = credential.encode()
        self.timeline = timeline

    async def handle(self, request: PlainRequest) -> PlainResponse:
        """Answer one call; a failure becomes a refusal, never a bare 500."""
        try:
            self.authenticate(request)
            body = self.open(read_envelope(request))
            answer = await self.dispatch(path_of(request), body)
        except RefusalError as refusal:
            return self.refuse(refusal)
        return self.respond({"body": answer}, HTTP_OK)

    def authenticate(self, request: PlainRequest) -> None:
        """Check the shared credential in constant time."""
        given = request.headers.get(CREDENTIAL.lower(), b"")
        if not hmac.compare_digest(given, self.credential):
            raise not_run(RefusalReason.UNAUTHENTICATED, "the peer credential is wrong")

    def open(self, envelope: Json) -> Json:
        """Return the body of an envelope and take note of its stamp."""
        body, stamp = envelope.get("body"), envelope.get("stamp")
        if not isinstance(body, dict) or not is_stamp(stamp):
            raise not_run(RefusalReason.BAD_REQUEST, "the envelope is malformed")
        self.timeline.observe(*stamp)
        return body

    async def dispatch(self, path: str, body: Json) -> Json:
        """Run the handler of `path`."""
        handler = self.routes.handlers.get(path)
        if handler is None:
            raise not_run(RefusalReason.BAD_REQUEST, "there is no such peer path")
        try:
            return await handler(body)
        except RefusalError:
            raise
        except WireError as error:
            raise not_run(RefusalReason.BAD_REQUEST, str(error)) from None
        except Exception:
            log.exception("The handler of {} failed.", path)
            detail = "the handler failed at the peer"
            raise may_have_run(RefusalReason.HOST_UNREACHABLE, detail) from None

    def refuse(self, refusal: RefusalError) -> PlainResponse:
        """Return the answer that carries a refusal."""
        return self.respond({"refusal": refusal.to_json()}, refusal.status)

    def respond(self, message: Json, status: int) -> PlainResponse:
        """Encode an answer with this host's stamp."""
        message["stamp"] = self.timeline.tick().to_json()
        return PlainResponse(status, encode(message))


def is_stamp(value: Any) -> TypeGuard[list[int]]:
    """Return whether `value` is a stamp as it stands on the wire."""
    if not isinstance(value, list) or len(value) != STAMP_FIELDS:
        return False
    return all(type(one) is int and one >= 0 for one in value)


def path_of(request: PlainRequest) -> str:
    """Return the peer path that a request names; empty if it names none."""
    if request.method != POST or not request.path.startswith(PREFIX):
        return ""
    return request.path[len(PREFIX) :]


def read_envelope(request: PlainRequest) -> Json:
    """Read the body of a call.

    :raises Refusal: if it is compressed or malformed.
    """
    if ENCODING in request.headers or LENGTH not in request.headers:
        raise not_run(
            RefusalReason.BAD_REQUEST, "a plain body of stated length is expected"
        )
    try:
        return decode(request.body)
    except WireError as error:
        raise not_run(RefusalReason.BAD_REQUEST, str(error)) from None
