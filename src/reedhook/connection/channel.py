"""One TCP connection that carries HTTP exchanges, one at a time.

Targets count connections and pin transactions to them, so the caller must control
which connection carries a request. General HTTP clients manage their own pools; they
also cost more processor time per call and more time at start.
"""

import asyncio
import ssl
from collections.abc import Callable, Mapping
from typing import Final, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from .transport_reset import reset_transport

CONNECTION_ERRORS: Final = (OSError, TimeoutError)
JSON_HEADERS: Final[dict[str, str]] = {"Content-Type": "application/json"}
FORBIDDEN_HEADER_CHARACTERS: Final = frozenset("\r\n\0")
CONTENT_LENGTH: Final = b"content-length"
POST: Final = "POST"


class ChannelClosedError(Exception):
    """The channel is closed and nothing was sent."""


class ResponseIncompleteError(Exception):
    """A request was sent and no complete response arrived."""


class ChannelResponse:
    """Carry the status, the headers and the complete body of a response.

    :param headers: header values by lower-case name.
    :param transfer_seconds: seconds from the first byte to the last.
    """

    __slots__ = ("status", "headers", "body", "transfer_seconds")

    def __init__(
        self,
        status: int,
        headers: dict[bytes, bytes],
        body: bytes,
        transfer_seconds: float = 0.0,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.transfer_seconds = transfer_seconds


class ResponseProtocol(asyncio.Protocol):
    """Parse the responses that arrive on one connection.

    :ivar usable: whether another request may be sent.
    :ivar limit: maximum size of the next body in bytes; None for no limit.
    :ivar headers: headers of the response so far, by lower-case name.
    :ivar begun: loop time at which the first byte of the response arrived.
    :ivar on_progress: called for each piece of a response.
    """

    def __init__(self) -> None:
        self.parser = HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.usable = True
        self.limit: int | None = None
        self.waiting: asyncio.Future[ChannelResponse] | None = None
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.size = 0
        self.begun: float | None = None
        self.on_progress: Callable[[], None] = ignore_progress

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; called by the loop.

        Unsolicited bytes abort the connection, since they would be taken for the
        response to the next request.
        """
        if self.waiting is None or self.waiting.done():
            self.abort()
            return
        if self.begun is None:
            self.begun = asyncio.get_running_loop().time()
        self.on_progress()
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.fail(f"invalid HTTP response: {error!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress; called by the loop."""
        self.usable = False
        self.fail("the connection was closed")

    def expect(self, limit: int | None) -> "asyncio.Future[ChannelResponse]":
        """Return a future for the next response."""
        self.limit = limit
        self.headers = {}
        self.parts = []
        self.size = 0
        self.begun = None
        self.waiting = asyncio.get_running_loop().create_future()
        return self.waiting

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, and fail if the declared length exceeds the limit.

        Called by the parser.
        """
        name = name.lower()
        self.headers[name] = value
        if self.limit is None or name != CONTENT_LENGTH:
            return
        if value.isdigit() and int(value) > self.limit:
            self.fail("the response exceeds the size limit")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        self.size += len(body)
        if self.limit is not None and self.size > self.limit:
            self.fail("the response exceeds the size limit")
            return
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """Complete the exchange; called by the parser."""
        if self.waiting is None or self.waiting.done():
            self.usable = False
            return
        self.usable = self.usable and self.parser.should_keep_alive()
        response = ChannelResponse(
            self.parser.get_status_code(),
            self.headers,
            b"".join(self.parts),
            self.transfer_seconds(),
        )
        self.waiting.set_result(response)

    def transfer_seconds(self) -> float:
        """Return the seconds since the first byte of the response arrived."""
        if self.begun is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.begun

    def fail(self, detail: str) -> None:
        """Fail the exchange in progress and abort the connection."""
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionError(detail))
        self.abort()

    def abort(self) -> None:
        """Abort the connection."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()


class Channel:
    """Send requests and await their responses; a failed exchange closes the channel.

    :param headers: header lines of each request.
    """

    __slots__ = ("protocol", "headers", "busy")

    def __init__(self, protocol: ResponseProtocol, headers: str) -> None:
        self.protocol = protocol
        self.headers = headers
        self.busy = False

    @property
    def closed(self) -> bool:
        """Whether no further exchange is possible."""
        transport = self.protocol.transport
        return not self.protocol.usable or transport is None or transport.is_closing()

    async def exchange(
        self,
        path: str,
        body: bytes,
        timeout: float,
        limit: int | None = None,
        method: str = POST,
        progress_timeout: float = 0.0,
    ) -> ChannelResponse:
        """Send a request and return the response.

        :param path: without the leading slash, with its query.
        :param timeout: in seconds, for the complete response.
        :param limit: maximum size of the response body in bytes.
        :param progress_timeout: seconds that each piece of the response extends the
            deadline to, also beyond `timeout`; 0 to keep `timeout`.
        :raises ChannelClosedError: if nothing was sent.
        :raises ResponseIncompleteError: if no complete response arrived.
        """
        if self.busy:
            raise RuntimeError("an exchange is already in progress on this channel")
        transport = self.protocol.transport
        if transport is None or self.closed:
            self.close()
            raise ChannelClosedError("the connection was closed")
        self.busy = True
        try:
            waiting = self.protocol.expect(limit)
            transport.write(self.head(method, path, len(body)) + body)
            async with asyncio.timeout(timeout) as deadline:
                if progress_timeout:
                    self.protocol.on_progress = lambda: extend_deadline(
                        deadline, progress_timeout
                    )
                return await waiting
        except CONNECTION_ERRORS as error:
            self.reset_and_close()
            raise ResponseIncompleteError(repr(error)) from error
        except BaseException:
            self.reset_and_close()
            raise
        finally:
            self.busy = False
            self.protocol.on_progress = ignore_progress

    def head(self, method: str, path: str, length: int) -> bytes:
        """Return the head of a request."""
        return (
            f"{method} /{path} HTTP/1.1\r\n"
            f"{self.headers}"
            f"Content-Length: {length}\r\n\r\n"
        ).encode()

    def reset_and_close(self) -> None:
        """Close and discard request bytes that have not been delivered yet."""
        reset_transport(self.protocol.transport)
        self.close()

    def close(self) -> None:
        """Close at once; an outstanding response is never read."""
        self.protocol.fail("the channel was closed")


def ignore_progress() -> None:
    """Do nothing; the default progress callback."""


def extend_deadline(deadline: asyncio.Timeout, progress_timeout: float) -> None:
    """Move the deadline to `progress_timeout` from now, if that is later."""
    if deadline.expired():
        return
    expires_at = deadline.when()
    later = asyncio.get_running_loop().time() + progress_timeout
    if expires_at is not None and later > expires_at:
        deadline.reschedule(later)


async def open_channel(
    address: str,
    timeout: float,
    headers: Mapping[str, str] = JSON_HEADERS,
    tls: ssl.SSLContext | None = None,
) -> Channel:
    """Open a channel to `address` (``IP:port``).

    :param timeout: in seconds.
    :param headers: sent with each request, in addition to ``Host``.
    :raises ChannelClosedError: if it cannot be opened.
    """
    host, _, port = address.rpartition(":")
    lines = header_lines({"Host": address, **headers})
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(
                ResponseProtocol, host.strip("[]"), int(port), ssl=tls
            )
    except (OSError, TimeoutError) as error:
        raise ChannelClosedError(f"cannot connect to {address}: {error!r}") from error
    return Channel(protocol, lines)


def header_lines(headers: Mapping[str, str]) -> str:
    """Return `headers` as lines of a request head.

    :raises ValueError: if a value contains a line break or a null character.
    """
    lines = []
    for name, value in headers.items():
        if not FORBIDDEN_HEADER_CHARACTERS.isdisjoint(value):
            raise ValueError(f"value of header {name} contains a line break or null")
        lines.append(f"{name}: {value}\r\n")
    return "".join(lines)
