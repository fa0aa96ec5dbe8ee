"""One HTTP server of the process, with bounds and a graceful stop."""

import asyncio
import socket
import ssl
from typing import Final

import logbook
from aiohttp import web

from .settings import ServerLimits
from .settings_schema import split_address

BACKLOG: Final = 1024
ACCEPT_TIME: Final = 0.05
IDLE_GRACE: Final = 1.0
POLL_INTERVAL: Final = 0.02

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
        self.listener: socket.socket | None = None
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
        await self.runner.setup()
        self.listener = bound_socket(self.address)
        site = web.SockSite(
            self.runner, self.listener, ssl_context=self.tls, backlog=BACKLOG
        )
        await site.start()
        self.address = address_of(self.listener)
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

        A connection that was just accepted may carry a request that is not
        read yet, so that connections get some time to become known as idle.
        Requests still in progress after the limit ``shutdown_s`` are cut.
        """
        self.leaving = True
        runner = self.runner
        if runner is None:
            return
        self.runner = None
        await self.stop_listening(runner)
        await until_unused(runner)
        await runner.cleanup()
        log.info("The interface for {} is closed.", self.name)

    async def stop_listening(self, runner: web.AppRunner) -> None:
        """Close the listening socket once its queue is empty.

        The kernel resets connections that wait to be accepted. With the
        shortest queue, new clients wait for the socket's end instead, and
        are then told that nobody listens, which proves that nothing ran.
        """
        if self.listener is not None:
            self.listener.listen(0)
            await asyncio.sleep(ACCEPT_TIME)
        for site in runner.sites:
            await site.stop()


async def until_unused(runner: web.AppRunner) -> None:
    """Return once no connection is open, or after `IDLE_GRACE` seconds.

    The first look comes late, since the last connections that were accepted
    are not among the runner's yet; its own end would wait on them for long.
    """
    try:
        async with asyncio.timeout(IDLE_GRACE):
            await asyncio.sleep(POLL_INTERVAL)
            while runner.server is not None and runner.server.connections:
                await asyncio.sleep(POLL_INTERVAL)
    except TimeoutError:
        return


def bound_socket(address: str) -> socket.socket:
    """Return a socket that is bound to ``IP:port``.

    :raises OSError: if the address cannot be had.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    found = socket.socket(family, socket.SOCK_STREAM)
    try:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        found.setblocking(False)
        found.bind((host, port))
    except OSError as error:
        found.close()
        raise OSError(error.errno, f"{address}: {error.strerror}") from error
    return found


def address_of(listener: socket.socket) -> str:
    """Return ``IP:port`` that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
