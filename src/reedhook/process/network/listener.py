"""A listening socket that closes without resetting connections."""

import asyncio
import socket
import ssl
from typing import Final, TypeAlias

from aiohttp import web

from .sockets import BACKLOG, address_of, bound_socket, end_listening

Runner: TypeAlias = web.AppRunner | web.ServerRunner

POLL_INTERVAL_SECONDS: Final = 0.02


class Listener:
    """Accept connections for an aiohttp runner.

    :param runner: serves the connections; set up by `start`.
    :param idle_grace: seconds for which `stop` leaves idle connections open, since
        a request may be in transit.
    :ivar address: ``IP:port``; with the actual port once started.
    """

    __slots__ = ("runner", "address", "idle_grace", "socket")

    def __init__(self, runner: Runner, address: str, idle_grace: float) -> None:
        self.runner = runner
        self.address = address
        self.idle_grace = idle_grace
        self.socket: socket.socket | None = None

    async def start(self, tls: ssl.SSLContext | None) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound.
        """
        await self.runner.setup()
        self.socket = bound_socket(self.address)
        site = web.SockSite(self.runner, self.socket, ssl_context=tls, backlog=BACKLOG)
        await site.start()
        self.address = address_of(self.socket)

    async def stop(self) -> None:
        """Stop listening, let requests finish, close idle connections.

        A newly accepted connection may carry a request that has not been read yet,
        so idle connections stay open for `idle_grace` seconds. Requests in progress
        after the runner's shutdown timeout are aborted.
        """
        await self.stop_listening()
        await self.wait_until_unused()
        await self.runner.cleanup()

    async def stop_listening(self) -> None:
        """Close the listening socket once its accept queue is empty."""
        if self.socket is not None and self.runner.sites:
            await end_listening(self.socket)
        for site in self.runner.sites:
            await site.stop()

    async def wait_until_unused(self) -> None:
        """Wait until no connection is open, at most `idle_grace` seconds.

        Sleeps before the first check: the runner does not know the last accepted
        connections yet, and its cleanup would wait long for them.
        """
        try:
            async with asyncio.timeout(self.idle_grace):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
                while self.runner.server and self.runner.server.connections:
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            return
