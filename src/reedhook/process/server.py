"""One HTTP server of the process, with bounds and a graceful stop."""

import ssl
from typing import Final

import logbook
from aiohttp import web

from .listener import Listener
from .settings import ServerLimits

IDLE_GRACE: Final = 1.0

log = logbook.Logger("server")


class Server:
    """Serve an application on one address.

    :param name: for the logs, such as ``callers``.
    :param address: ``IP:port`` to listen on; port 0 takes a free one.
    :param tls: None for plain TCP.
    """

    __slots__ = (
        "name",
        "app",
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
        app: web.Application,
        address: str,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.name = name
        self.app = app
        self.address = address
        self.limits = limits
        self.tls = tls
        self.runner: web.AppRunner | None = None
        self.listener: Listener | None = None
        self.leaving = False

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address cannot be had.
        """
        self.app.on_response_prepare.append(self.ask_to_close)
        self.runner = web.AppRunner(
            self.app,
            access_log=None,
            shutdown_timeout=self.limits.shutdown_s,
            keepalive_timeout=self.limits.keepalive_s,
            max_line_size=self.limits.header_bytes,
            max_field_size=self.limits.header_bytes,
        )
        self.listener = Listener(self.runner, self.address, IDLE_GRACE)
        await self.listener.start(self.tls)
        self.address = self.listener.address
        log.info("The interface for {} listens on {}.", self.name, self.address)

    async def ask_to_close(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Let the connection end with this response once the host leaves."""
        if not self.leaving:
            return
        response.headers["Connection"] = "close"
        response.force_close()

    def start_leaving(self) -> None:
        """Serve on, and let each connection end with its next response.

        A client that learns so of the end repeats nothing in doubt.
        """
        self.leaving = True

    async def stop(self) -> None:
        """Stop listening, let requests end, close idle connections.

        Requests still in progress after the limit ``shutdown_s`` are cut.
        """
        self.leaving = True
        listener, self.listener = self.listener, None
        if listener is None:
            return
        self.runner = None
        await listener.stop()
        log.info("The interface for {} is closed.", self.name)
