"""A small HTTP server for calls between hosts and for probes.

It knows whole bodies of stated length, and answers each connection's requests in
their order. A general server would take 0.1 s more of each start to load, in which
a host that lost power serves nobody, and twice the processor time of a call.
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

from ...record import Record
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import encode
from .sockets import BACKLOG, address_of, bound_socket, end_listening

LENGTH: Final = "content-length"

MAX_HEAD_BYTES: Final = 16384
"""Bytes of the head of a request."""

REQUEST_TIMEOUT: Final = 5.0
"""Seconds in which a request arrives once its first byte is there."""

REFUSED_READ_SECONDS: Final = 1.0
"""Seconds for which what a refused client still sends is read and dropped: a
connection closed with unread bytes is reset, and the refusal lost."""

POLL_INTERVAL_SECONDS: Final = 0.02
"""Seconds between two looks at whether connections have ended."""

MAX_QUEUED_REQUESTS: Final = 8
"""Requests of one connection that may wait for their turn; a client of ours waits
for each answer."""

DETAIL_MOST: Final = 160
"""Characters of the parser's words that are logged; it quotes what was sent."""

JSON_TYPE: Final = "application/json"
INTERNAL_ERROR: Final = 500

log = logbook.Logger("server")


class PlainRequest(Record):
    """Carry one request.

    :param path: as it stands in the request, with its query.
    :param headers: by name in lower case.
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
    """Carry one response."""

    __slots__ = ("status", "body", "content_type")

    def __init__(
        self, status: int, body: bytes = b"", content_type: str = JSON_TYPE
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type

    def encoded(self, closes: bool) -> bytes:
        """Return the bytes of the response.

        :param closes: whether it is the last one of its connection.
        """
        last = "Connection: close\r\n" if closes else ""
        head = (
            f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}\r\n"
            f"Content-Type: {self.content_type}\r\n{last}"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


Handler: TypeAlias = Callable[[PlainRequest], Awaitable[PlainResponse]]


class PlainServer:
    """Serve a handler on one address.

    :param name: for the logs.
    :param address: ``IP:port`` to listen on; port 0 takes a free one.
    :param body_limit: the most bytes of a body.
    :param keepalive: seconds after which an unused connection is closed.
    :param idle_grace: seconds for which connections without a request are left
        open at the end, lest one of them be on its way.
    :param tls: None for plain TCP.
    :param shutdown: how long `stop` waits for requests in progress, in seconds.
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
        """Return the response to what is no request, or passes a bound."""
        return PlainResponse(refusal.status, encode(refusal.to_json()))

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address cannot be had.
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
        """Serve on, and let each connection end with its next response."""
        self.leaving = True

    async def stop(self) -> None:
        """Stop listening, let requests end, close idle connections.

        A connection that was just accepted may carry a request that is not read
        yet, so that connections get some time to become known as idle.
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
        """Stop at once, with the requests in progress."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for connection in list(self.connections):
            connection.abort()

    async def wait_until(self, done: Callable[[], bool], timeout: float) -> None:
        """Return once something is so, or after `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while not done():
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            # What is left is ended by the caller.
            return


class PlainConnection(asyncio.Protocol):
    """Serve the requests of one connection, one after another.

    :ivar waiting: requests, and refusals of what cannot be one.
    """

    def __init__(self, server: PlainServer) -> None:
        self.server = server
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.waiting: deque[PlainRequest | RefusalError] = deque()
        self.arrived = asyncio.Event()
        self.serving = False
        self.ended = False
        self.refused = False
        self.timer: asyncio.TimerHandle | None = None
        self.clear()

    def clear(self) -> None:
        """Forget what was read of the request in progress."""
        self.url = b""
        self.headers: dict[str, bytes] = {}
        self.head_size = 0
        self.parts: list[bytes] = []
        self.request_started = False

    # Bytes that arrive

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.restart_timeout(self.server.keepalive)
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Read bytes of requests; called by the loop."""
        if self.refused:
            return
        if not self.request_started:
            self.restart_timeout(REQUEST_TIMEOUT)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            detail = str(error)[:DETAIL_MOST]
            self.refuse(
                not_run(
                    RefusalReason.BAD_REQUEST, f"the request cannot be read: {detail}"
                )
            )

    def eof_received(self) -> bool:
        """Let the requests that were read be answered; called by the loop."""
        self.ended = True
        self.arrived.set()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the client; called by the loop."""
        self.ended = True
        self.arrived.set()
        self.server.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def on_message_begin(self) -> None:
        """Take note that a request begins; called by the parser."""
        self.clear()
        self.request_started = True

    def on_url(self, url: bytes) -> None:
        """Keep a part of the path; called by the parser."""
        self.url += url
        self.add_to_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; called by the parser."""
        self.headers[name.lower().decode("latin-1")] = value
        self.add_to_head(len(name) + len(value))

    def add_to_head(self, size: int) -> None:
        """Refuse a head that is too large."""
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            self.refuse(not_run(RefusalReason.TOO_LARGE, "the head is too large"))

    def on_headers_complete(self) -> None:
        """Refuse a body that is too large; called by the parser."""
        length = self.headers.get(LENGTH, b"0")
        if length.isdigit() and int(length) > self.server.body_limit:
            self.refuse(not_run(RefusalReason.TOO_LARGE, "the body is too large"))

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body; called by the parser."""
        if LENGTH in self.headers and not self.refused:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Hand the request over; called by the parser."""
        self.request_started = False
        if self.refused:
            return
        if len(self.waiting) >= MAX_QUEUED_REQUESTS:
            self.refuse(not_run(RefusalReason.BAD_REQUEST, "too many requests at once"))
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
        """Answer with a refusal in its turn, and read no further request."""
        if self.refused:
            return
        self.refused = True
        log.warning("A request to {} was refused: {}", self.server.name, refusal.detail)
        self.waiting.append(refusal)
        self.arrived.set()

    # Requests

    async def serve(self) -> None:
        """Answer requests until the connection ends."""
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
            self.restart_timeout(self.server.keepalive)
        await self.finish()

    async def next_request(self) -> PlainRequest | RefusalError | None:
        """Return the next request, or None once the client has ended."""
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
            log.exception("The handler of {} failed.", self.server.name)
            return PlainResponse(INTERNAL_ERROR)

    async def finish(self) -> None:
        """Close, once what a refused client still sends was read for a while."""
        if self.refused and not self.ended:
            await self.server.wait_until(lambda: self.ended, REFUSED_READ_SECONDS)
        if self.transport is not None:
            self.transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the client is gone."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    # The end

    def restart_timeout(self, seconds: float) -> None:
        """Close the connection unless something arrives in time."""
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self.close_idle)

    def close_idle(self) -> None:
        """Close unless a request is in progress."""
        if not self.serving and not self.waiting and self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End at once, with the request in progress."""
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()
