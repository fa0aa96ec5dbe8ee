"""One HTTP server of the process, with bounds and a graceful stop."""

import ssl

import logbook
from aiohttp import web

from .settings import ServerLimits
from .settings_schema import split_address

log = logbook.Logger("server")


class Server:
    """Serve an application on one address.

    :param name: for the logs, such as ``callers``.
    :param address: ``IP:port`` to listen on; port 0 takes a free one.
    :param tls: None for plain TCP.
    """

    __slots__ = ("name", "app", "address", "limits", "tls", "runner", "leaving")

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
        host, port = split_address(self.address)
        site = web.TCPSite(self.runner, host, port, ssl_context=self.tls)
        await site.start()
        self.address = listening_address(self.runner)
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
        """Stop listening, close idle connections, let requests end, close.

        Requests still in progress after the limit ``shutdown_s`` are cut.
        """
        self.leaving = True
        runner = self.runner
        if runner is None:
            return
        self.runner = None
        await runner.cleanup()
        log.info("The interface for {} is closed.", self.name)


def listening_address(runner: web.AppRunner) -> str:
    """Return ``IP:port`` that the runner's one site listens on."""
    host, port = runner.addresses[0][:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
