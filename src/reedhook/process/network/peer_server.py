"""Server of calls from other hosts; see `peer_protocol` for the format."""

import hmac
import ssl
from typing import Any, Final, TypeGuard

import logbook

from ...peer import PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...wire import Json, WireError, decode, encode
from ..events.timeline import Timeline
from .peer_protocol import (
    CREDENTIAL,
    MAX_PEER_BODY_BYTES,
    PREFIX,
    SERVER_KEEPALIVE_SECONDS,
)
from .plain_server import LENGTH, PlainRequest, PlainResponse, PlainServer

SHUTDOWN_TIMEOUT_SECONDS: Final = 10.0
IDLE_GRACE_SECONDS: Final = 0.2
HTTP_OK: Final = 200
POST: Final = "POST"
ENCODING: Final = "content-encoding"
STAMP_FIELDS: Final = 2

log = logbook.Logger("peers")


class PeerServer(PlainServer):
    """Serve calls of other hosts.

    :param address: ``IP:port`` to listen on; port 0 selects a free one.
    :param tls: TLS context; None for plain TCP.
    :param shutdown: seconds for which `stop` waits for calls in progress.
    """

    def __init__(
        self,
        endpoint: "PeerEndpoint",
        address: str,
        tls: ssl.SSLContext | None = None,
        shutdown: float = SHUTDOWN_TIMEOUT_SECONDS,
    ) -> None:
        super().__init__(
            "peers",
            endpoint.handle,
            address,
            MAX_PEER_BODY_BYTES,
            SERVER_KEEPALIVE_SECONDS,
            IDLE_GRACE_SECONDS,
            tls,
            shutdown,
        )
        self.endpoint = endpoint

    def refuse(self, refusal: RefusalError) -> PlainResponse:
        return self.endpoint.refuse(refusal)


class PeerEndpoint:
    """Authenticate calls of other hosts and dispatch them to their handlers."""

    def __init__(self, routes: PeerRoutes, credential: str, timeline: Timeline) -> None:
        self.routes = routes
        self.credential = credential.encode()
        self.timeline = timeline

    async def handle(self, request: PlainRequest) -> PlainResponse:
        """Handle one call; a failure becomes a refusal rather than a bare 500."""
        try:
            self.authenticate(request)
            body = self.open(read_envelope(request))
            answer = await self.dispatch(path_of(request), body)
        except RefusalError as refusal:
            return self.refuse(refusal)
        return self.respond({"body": answer}, HTTP_OK)

    def authenticate(self, request: PlainRequest) -> None:
        """Check the shared credential in constant time.

        :raises RefusalError: if it is wrong.
        """
        given = request.headers.get(CREDENTIAL.lower(), b"")
        if not hmac.compare_digest(given, self.credential):
            raise not_run(RefusalReason.UNAUTHENTICATED, "the peer credential is wrong")

    def open(self, envelope: Json) -> Json:
        """Return the body of an envelope and merge its stamp into the timeline.

        :raises RefusalError: if the envelope is malformed.
        """
        body, stamp = envelope.get("body"), envelope.get("stamp")
        if not isinstance(body, dict) or not is_stamp(stamp):
            raise not_run(RefusalReason.BAD_REQUEST, "the envelope is malformed")
        self.timeline.observe(*stamp)
        return body

    async def dispatch(self, path: str, body: Json) -> Json:
        """Run the handler of `path`.

        :raises RefusalError: if the handler is unknown, refuses or fails.
        """
        handler = self.routes.handlers.get(path)
        if handler is None:
            raise not_run(RefusalReason.BAD_REQUEST, "the peer path is unknown")
        try:
            return await handler(body)
        except RefusalError:
            raise
        except WireError as error:
            raise not_run(RefusalReason.BAD_REQUEST, str(error)) from None
        except Exception:
            log.exception(
                "The handler of peer path {} failed; the call is refused.", path
            )
            detail = "the handler failed at the peer"
            raise may_have_run(RefusalReason.HOST_UNREACHABLE, detail) from None

    def refuse(self, refusal: RefusalError) -> PlainResponse:
        """Return the response that carries a refusal."""
        return self.respond({"refusal": refusal.to_json()}, refusal.status)

    def respond(self, message: Json, status: int) -> PlainResponse:
        """Encode a response with this host's stamp."""
        message["stamp"] = self.timeline.tick().to_json()
        return PlainResponse(status, encode(message))


def is_stamp(value: Any) -> TypeGuard[list[int]]:
    """Return whether `value` is an encoded stamp."""
    if not isinstance(value, list) or len(value) != STAMP_FIELDS:
        return False
    return all(type(one) is int and one >= 0 for one in value)


def path_of(request: PlainRequest) -> str:
    """Return the peer path of a request; empty if it has none."""
    if request.method != POST or not request.path.startswith(PREFIX):
        return ""
    return request.path[len(PREFIX) :]


def read_envelope(request: PlainRequest) -> Json:
    """Decode the body of a call.

    :raises RefusalError: if it is compressed or malformed.
    """
    if ENCODING in request.headers or LENGTH not in request.headers:
        raise not_run(
            RefusalReason.BAD_REQUEST,
            "an uncompressed body with a Content-Length is expected",
        )
    try:
        return decode(request.body)
    except WireError as error:
        raise not_run(RefusalReason.BAD_REQUEST, str(error)) from None
