"""HTTP servers based on aiohttp, with limits and a graceful stop."""

import asyncio
import ssl
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, TypeAlias

import logbook
from aiohttp import web

from .limits import ServerLimits
from .listener import Listener, Runner
from .parsing import RefusingServer

IDLE_GRACE_SECONDS: Final = 1.0

Handler: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = logbook.Logger("server")


class Server(ABC):
    """Serve HTTP on one address.

    :param name: name of the server in log lines, such as ``callers``.
    :param address: ``IP:port`` to listen on; port 0 selects a free one.
    :param tls: TLS context; None for plain TCP.
    """

    __slots__ = (
        "name",
        "address",
        "limits",
        "tls",
        "runner",
        "listener",
        "leaving",
    )

    def __init__(
        self,
        name: str,
        address: str,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.limits = limits
        self.tls = tls
        self.runner: Runner | None = None
        self.listener: Listener | None = None
        self.leaving = False

    async def start(self) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound.
        """
        self.runner = self.make_runner(
            access_log=None,
            keepalive_timeout=self.limits.keepalive_s,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
        )
        self.listener = Listener(self.runner, self.address, IDLE_GRACE_SECONDS)
        await self.listener.start(self.tls)
        self.address = self.listener.address
        log.info("The {} server is listening on {}.", self.name, self.address)

    @abstractmethod
    def make_runner(self, **options: Any) -> Runner:
        """Return the aiohttp runner of this server.

        :param options: options of the aiohttp server.
        """

    def ask_to_close(self, response: web.StreamResponse) -> None:
        """Close the connection after this response if the host is leaving."""
        if not self.leaving:
            return
        response.headers["Connection"] = "close"
        response.force_close()

    def start_leaving(self) -> None:
        """Keep serving, but close each connection after its next response.

        Clients then reconnect elsewhere without a request of unknown outcome.
        """
        self.leaving = True

    async def stop(self) -> None:
        """Stop listening, let requests finish, close idle connections.

        Requests still in progress after `ServerLimits.shutdown_s` are aborted.
        """
        self.leaving = True
        listener, self.listener = self.listener, None
        if listener is None:
            return
        self.runner = None
        await listener.stop()
        log.info("The {} server is closed.", self.name)


class ApplicationServer(Server):
    """Serve an aiohttp application with its router and middleware."""

    __slots__ = ("app",)

    def __init__(
        self,
        name: str,
        app: web.Application,
        address: str,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(name, address, limits, tls)
        self.app = app

    def make_runner(self, **options: Any) -> Runner:
        self.app.on_response_prepare.append(self.prepare)
        return web.AppRunner(
            self.app, shutdown_timeout=self.limits.shutdown_s, **options
        )

    async def prepare(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Prepare a response; a signal handler of aiohttp."""
        self.ask_to_close(response)


class HandlerServer(Server):
    """Serve all requests with one handler, which uses less CPU than a router.

    Request bodies are not decompressed, as a guard against decompression bombs.
    """

    __slots__ = ("handler",)

    def __init__(
        self,
        name: str,
        handler: Handler,
        address: str,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(name, address, limits, tls)
        self.handler = handler

    def make_runner(self, **options: Any) -> Runner:
        server = RefusingServer(
            self.answer,
            request_factory=partial(
                web.BaseRequest,
                loop=asyncio.get_running_loop(),
                client_max_size=self.limits.body_bytes,
            ),
            auto_decompress=False,
            **options,
        )
        return web.ServerRunner(server, shutdown_timeout=self.limits.shutdown_s)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run the handler for one request."""
        response = await self.handler(request)
        self.ask_to_close(response)
        return response
