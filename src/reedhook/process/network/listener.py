"""A listening socket whose end resets no connection."""

import asyncio
import socket
import ssl
from typing import Final, TypeAlias

from aiohttp import web

from .sockets import BACKLOG, address_of, bound_socket, end_listening

Runner: TypeAlias = web.AppRunner | web.ServerRunner

POLL_INTERVAL: Final = 0.02


class Listener:
    """Accept connections for a runner.

    :param runner: serves them; it is set up by `start`.
    :param idle_grace: seconds for which connections without a request are left
        open at the end, lest one of them be on its way.
    :ivar address: ``IP:port``; with the port that was taken, once started.
    """

    __slots__ = ("runner", "address", "idle_grace", "socket")

    def __init__(self, runner: Runner, address: str, idle_grace: float) -> None:
        self.runner = runner
        self.address = address
        self.idle_grace = idle_grace
        self.socket: socket.socket | None = None

    async def start(self, tls: ssl.SSLContext | None) -> None:
        """Listen.

        :raises OSError: if the address cannot be had.
        """
        await self.runner.setup()
        self.socket = bound_socket(self.address)
        site = web.SockSite(self.runner, self.socket, ssl_context=tls, backlog=BACKLOG)
        await site.start()
        self.address = address_of(self.socket)

    async def stop(self) -> None:
        """Stop listening, let requests end, close idle connections.

        A connection that was just accepted may carry a request that is not
        read yet, so that connections get some time to become known as idle.
        Requests in progress after the runner's own limit are cut.
        """
        await self.stop_listening()
        await self.wait_until_unused()
        await self.runner.cleanup()

    async def stop_listening(self) -> None:
        """Close the listening socket once its queue is empty."""
        if self.socket is not None and self.runner.sites:
            await end_listening(self.socket)
        for site in self.runner.sites:
            await site.stop()

    async def wait_until_unused(self) -> None:
        """Return once no connection is open, or after `idle_grace` seconds.

        The first look comes late, since the last connections that were
        accepted are not among the runner's yet; its own end would wait on
        them for long.
        """
        try:
            async with asyncio.timeout(self.idle_grace):
                await asyncio.sleep(POLL_INTERVAL)
                while self.runner.server and self.runner.server.connections:
                    await asyncio.sleep(POLL_INTERVAL)
        except TimeoutError:
            return
