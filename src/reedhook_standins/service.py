"""JSON over HTTP for all stand-ins, with access to each TCP connection."""

import asyncio
from abc import ABC, abstractmethod
from contextlib import suppress
from typing import Any, Final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from reedhook.wire import Json, WireError, decode, encode

LOOPBACK: Final = "127.0.0.1"
KEEP_OPEN: Final = 86400.0


class ServiceRefusal(Exception):
    """Refuse a request with a code; nothing was executed.

    :param status: the HTTP status.
    """

    def __init__(self, code: str, detail: str, status: int = 409) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.status = status


class AnswerLost(Exception):
    """Close the connection without an answer."""


class ServiceConnection:
    """Track one open TCP connection.

    :ivar admitted: whether it counts towards the connection limit.
    :ivar greeted: whether it is set up.
    :ivar silent: whether it stopped answering for good.
    :ivar transaction: the open transaction of the connection.
    :ivar closed: set once the connection has ended.
    """

    __slots__ = (
        "transport",
        "closed",
        "admitted",
        "client",
        "greeted",
        "silent",
        "transaction",
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.closed = asyncio.Event()
        self.admitted = True
        self.client = ""
        self.greeted = False
        self.silent = False
        self.transaction: Any = None

    async def wait_closed(self, seconds: float) -> None:
        """Return once the connection has ended, or after `seconds`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.closed.wait()

    def abort(self) -> None:
        """Close without sending buffered data."""
        self.transport.abort()


class ConnectionServer(web.Server):
    """Notify a service of each connection that opens or ends."""

    def __init__(self, service: "Service") -> None:
        super().__init__(service.handle, access_log=None, keepalive_timeout=KEEP_OPEN)
        self.service = service

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Track a new connection."""
        super().connection_made(handler, transport)
        connection = ServiceConnection(transport)
        self.service.connections[handler] = connection
        self.service.opened(connection)

    def connection_lost(
        self, handler: RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Untrack an ended connection."""
        super().connection_lost(handler, exc)
        connection = self.service.connections.pop(handler, None)
        if connection is None:
            return
        connection.closed.set()
        self.service.ended(connection)


class Service(ABC):
    """Serve `POST /<name>` with a JSON object each way."""

    def __init__(self) -> None:
        self.connections: dict[RequestHandler, ServiceConnection] = {}
        self.listener: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Return ``IP:port``."""
        return f"{LOOPBACK}:{self.port}"

    async def listen(self) -> None:
        """Listen on `port`; 0 takes a free one, which a later call reuses."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            ConnectionServer(self), LOOPBACK, self.port
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def hang_up(self) -> None:
        """Stop listening and abort all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for connection in list(self.connections.values()):
            connection.abort()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, or close the connection if the answer is lost."""
        protocol = request.protocol
        connection = self.connections.get(protocol)
        if connection is None:
            return web.Response(status=400)
        try:
            body = await request.content.read(-1)
            message = decode(body) if body else {}
            answer = await self.serve(connection, request.path[1:], message)
        except ServiceRefusal as error:
            return refused(error.code, error.detail, error.status)
        except (WireError, KeyError, TypeError, ValueError) as error:
            return refused("bad_request", repr(error), 400)
        except AnswerLost:
            connection.abort()
            return web.Response(status=500)
        return web.Response(body=encode(answer), content_type="application/json")

    @abstractmethod
    async def serve(
        self, connection: ServiceConnection, name: str, message: Json
    ) -> Json:
        """Answer the request `name`.

        :raises ServiceRefusal: if it is refused.
        :raises AnswerLost: if the connection must close without an answer.
        """

    def opened(self, connection: ServiceConnection) -> None:
        """Handle a new connection."""

    def ended(self, connection: ServiceConnection) -> None:
        """Handle the end of a connection."""


def refused(code: str, detail: str, status: int) -> web.Response:
    """Return the HTTP response of a refusal."""
    body = encode({"code": code, "detail": detail})
    return web.Response(status=status, body=body, content_type="application/json")
