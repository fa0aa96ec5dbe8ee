"""A minimal HTTP server for calls between hosts and readiness checks.

It accepts only bodies with a Content-Length and answers the requests of a connection
in order. It loads faster and uses less CPU per request than a general HTTP server.
"""

import asyncio
import socket
import ssl
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, TypeAlias, cast

import logbook
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from ...connection.output_gate import GatedProtocol
from ...connection.unread_input import has_unread_input
from ...record import Record
from ...request.caller_presence import PRESENCE, CallerPresence
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import encode
from .sockets import BACKLOG, address_of, bound_socket, end_listening

LENGTH: Final = "content-length"

MAX_HEAD_BYTES: Final = 16384
"""Limit of the request line and headers together."""

REQUEST_TIMEOUT_SECONDS: Final = 5.0
"""Time limit from the first byte of a request to its last."""

REFUSED_READ_SECONDS: Final = 1.0
"""How long data of a refused client is read and discarded: closing a connection with
unread data resets it, and the client would lose the refusal."""

POLL_INTERVAL_SECONDS: Final = 0.02

MAX_QUEUED_REQUESTS: Final = 8
"""Limit of pipelined requests of one connection; hosts do not pipeline."""

MAX_DETAIL_CHARACTERS: Final = 160
"""Limit of the parser's message in a log line, since it quotes the request."""

JSON_TYPE: Final = "application/json"
INTERNAL_ERROR: Final = 500

log = logbook.Logger("server")


class PlainRequest(Record):
    """Represent one request.

    :param path: the request target, including the query.
    :param headers: values by lower-case name.
    """

    __slots__ = ("method", "path", "headers", "body")

    def __init__(
        self, method: str, path: str, headers: dict[str, bytes], body: bytes
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


class PlainResponse(Record):
    """Represent one response."""

    __slots__ = ("status", "body", "content_type")

    def __init__(
        self, status: int, body: bytes = b"", content_type: str = JSON_TYPE
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type

    def encoded(self, closes: bool) -> bytes:
        """Return the encoded response.

        :param closes: whether it is the last response on its connection.
        """
        connection_header = "Connection: close\r\n" if closes else ""
        head = (
            f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}\r\n"
            f"Content-Type: {self.content_type}\r\n{connection_header}"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


Handler: TypeAlias = Callable[[PlainRequest], Awaitable[PlainResponse]]


class PlainServer:
    """Serve a handler on one address.

    :param name: name of the server in log lines.
    :param address: ``IP:port`` to listen on; port 0 selects a free one.
    :param body_limit: maximum size of a request body, in bytes.
    :param keepalive: seconds after which an idle connection is closed.
    :param idle_grace: seconds for which `stop` leaves idle connections open, since
        a request may be in transit.
    :param tls: TLS context; None for plain TCP.
    :param shutdown: seconds for which `stop` waits for requests in progress.
    """

    def __init__(
        self,
        name: str,
        handler: Handler,
        address: str,
        body_limit: int,
        keepalive: float,
        idle_grace: float,
        tls: ssl.SSLContext | None = None,
        shutdown: float = 10.0,
    ) -> None:
        self.name = name
        self.handler = handler
        self.address = address
        self.body_limit = body_limit
        self.keepalive = keepalive
        self.idle_grace = idle_grace
        self.tls = tls
        self.shutdown = shutdown
        self.leaving = False
        self.listener: socket.socket | None = None
        self.server: asyncio.Server | None = None
        self.connections: set[PlainConnection] = set()

    def refuse(self, refusal: RefusalError) -> PlainResponse:
        """Return the response to a malformed or oversized request."""
        return PlainResponse(refusal.status, encode(refusal.to_json()))

    async def start(self) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound.
        """
        self.listener = bound_socket(self.address)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: PlainConnection(self),
            sock=self.listener,
            ssl=self.tls,
            backlog=BACKLOG,
        )
        self.address = address_of(self.listener)

    def start_leaving(self) -> None:
        """Keep serving, but close each connection after its next response."""
        self.leaving = True

    async def stop(self) -> None:
        """Stop listening, let requests finish, close idle connections.

        A newly accepted connection may carry a request that has not been read yet,
        so idle connections stay open for `idle_grace` seconds.
        """
        self.start_leaving()
        if self.server is None or self.listener is None:
            return
        await end_listening(self.listener)
        self.server.close()
        await self.wait_until(lambda: not self.connections, self.idle_grace)
        for connection in list(self.connections):
            connection.close_idle()
        await self.wait_until(lambda: not self.connections, self.shutdown)
        self.abort()

    def abort(self) -> None:
        """Stop immediately and abort the requests in progress."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for connection in list(self.connections):
            connection.abort()

    async def wait_until(self, done: Callable[[], bool], timeout: float) -> None:
        """Wait until `done` returns True, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while not done():
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            # The caller closes the connections that remain.
            return


class PlainConnection(GatedProtocol):
    """Serve the requests of one connection in order.

    No request is handled while the client does not read earlier responses.

    :ivar waiting: queued requests, and refusals of malformed ones.
    """

    def __init__(self, server: PlainServer) -> None:
        super().__init__()
        self.server = server
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.waiting: deque[PlainRequest | RefusalError] = deque()
        self.arrived = asyncio.Event()
        self.serving = False
        self.ended = False
        self.refused = False
        self.presence = CallerPresence()
        self.timer: asyncio.TimerHandle | None = None
        self.clear()

    def clear(self) -> None:
        """Reset the parsed data of the request in progress."""
        self.url = b""
        self.headers: dict[str, bytes] = {}
        self.head_size = 0
        self.parts: list[bytes] = []
        self.request_started = False

    # Received data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.restart_timeout(self.server.keepalive)
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Parse received data; called by the event loop."""
        if self.refused:
            return
        if not self.request_started:
            self.restart_timeout(REQUEST_TIMEOUT_SECONDS)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            detail = str(error)[:MAX_DETAIL_CHARACTERS]
            self.refuse(
                not_run(
                    RefusalReason.BAD_REQUEST, f"the request cannot be parsed: {detail}"
                )
            )

    def eof_received(self) -> bool:
        """Keep the connection open to answer queued requests; called by the loop.

        A host that has died is seen no other way. Hosts end no connection of a call
        in progress otherwise.
        """
        self.ended = True
        self.arrived.set()
        self.presence.leave()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; called by the event loop."""
        super().connection_lost(exc)
        self.ended = True
        self.arrived.set()
        self.presence.leave()
        self.server.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def on_message_begin(self) -> None:
        """Reset the state for a new request; called by the parser."""
        self.clear()
        self.request_started = True

    def on_url(self, url: bytes) -> None:
        """Keep a part of the path; called by the parser."""
        self.url += url
        self.add_to_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.headers[name.lower().decode("latin-1")] = value
        self.add_to_head(len(name) + len(value))

    def add_to_head(self, size: int) -> None:
        """Count bytes of the request line and headers; refuse too many."""
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            self.refuse(
                not_run(
                    RefusalReason.TOO_LARGE,
                    "the request line and headers are too large",
                )
            )

    def on_headers_complete(self) -> None:
        """Refuse a body that is too large; called by the parser."""
        length = self.headers.get(LENGTH, b"0")
        if length.isdigit() and int(length) > self.server.body_limit:
            self.refuse(not_run(RefusalReason.TOO_LARGE, "the body is too large"))

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        if LENGTH in self.headers and not self.refused:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request; called by the parser."""
        self.request_started = False
        if self.refused:
            return
        if len(self.waiting) >= MAX_QUEUED_REQUESTS:
            self.refuse(
                not_run(RefusalReason.BAD_REQUEST, "too many pipelined requests")
            )
            return
        self.waiting.append(
            PlainRequest(
                self.parser.get_method().decode("latin-1"),
                self.url.decode("latin-1"),
                self.headers,
                b"".join(self.parts),
            )
        )
        self.arrived.set()

    def refuse(self, refusal: RefusalError) -> None:
        """Queue a refusal as the last response and read no further request."""
        if self.refused:
            return
        self.refused = True
        log.warning(
            "Refused a request to the {} server; closing the connection: {}",
            self.server.name,
            refusal.detail,
        )
        self.waiting.append(refusal)
        self.arrived.set()

    # Requests

    async def serve(self) -> None:
        """Answer queued requests until the connection ends."""
        PRESENCE.set(self.presence)
        while True:
            request = await self.next_request()
            if request is None:
                break
            self.serving = True
            response = await self.answer(request)
            self.serving = False
            closes = self.server.leaving or self.refused and not self.waiting
            closes = closes or not self.parser.should_keep_alive()
            self.write(response.encoded(closes))
            if closes:
                break
            if not await self.output.passable(self.server.keepalive):
                self.abort_unread()
                return
            self.restart_timeout(self.server.keepalive)
        await self.finish()

    def abort_unread(self) -> None:
        """Abort the connection of a client that does not read."""
        log.warning(
            "A client of the {} server reads no responses; closing the connection.",
            self.server.name,
        )
        if self.transport is not None:
            self.transport.abort()

    async def next_request(self) -> PlainRequest | RefusalError | None:
        """Return the next request, or None after the end of the client's data."""
        while not self.waiting:
            if self.ended:
                return None
            self.arrived.clear()
            await self.arrived.wait()
        return self.waiting.popleft()

    async def answer(self, request: PlainRequest | RefusalError) -> PlainResponse:
        """Return the response to one request."""
        if isinstance(request, RefusalError):
            return self.server.refuse(request)
        try:
            return await self.server.handler(request)
        except Exception:
            log.exception(
                "The handler of the {} server failed; responding with status 500.",
                self.server.name,
            )
            return PlainResponse(INTERNAL_ERROR)

    async def finish(self) -> None:
        """Close the connection, after discarding remaining data of a refused client."""
        if self.refused and not self.ended:
            await self.server.wait_until(lambda: self.ended, REFUSED_READ_SECONDS)
        if self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send data unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    # Close

    def restart_timeout(self, seconds: float) -> None:
        """Restart the timer that closes an idle connection."""
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.close_idle)

    def close_idle(self) -> None:
        """Close the connection unless a request is in progress or has arrived."""
        if self.serving or self.waiting or self.transport is None:
            return
        if has_unread_input(self.transport):
            self.restart_timeout(self.server.keepalive)
            return
        self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately and abort its request."""
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
