"""Start and graceful shutdown of a host with its three HTTP servers."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

import logbook

from ..clock import Clock
from .network.plain_server import PlainServer
from .network.server import Server
from .shutdown_errors import ShutdownTimeoutError

Companion: TypeAlias = Callable[[Clock], Coroutine[Any, Any, None]]

DRAIN_NOTICE_SECONDS: Final = 1.0

log = logbook.Logger("daemon")


class Lifecycle(ABC):
    """Start, drain and close the components of a host.

    :ivar on_drained: called when a drain requested by an operator has finished.
    """

    on_drained: Callable[[], None]

    @abstractmethod
    async def start(self) -> None:
        """Join the other hosts and start serving."""

    @abstractmethod
    async def drain(self) -> None:
        """Announce the shutdown, hand over homes, let work in progress finish."""

    @abstractmethod
    async def close(self) -> None:
        """Release all resources immediately."""


class HostDaemon:
    """Run a host behind its servers.

    :param caller_server: serves callers; opened last and closed first.
    :param peer_server: serves other hosts; open while homes are handed over.
    :param admin_server: serves operators.
    :param shutdown_seconds: time limit of a graceful shutdown, in seconds.
    :param companions: background tasks that run until the host has stopped.
    """

    __slots__ = (
        "host",
        "caller_server",
        "peer_server",
        "admin_server",
        "clock",
        "shutdown_seconds",
        "companions",
        "tasks",
    )

    def __init__(
        self,
        host: Lifecycle,
        caller_server: Server,
        peer_server: Server | PlainServer,
        admin_server: Server,
        clock: Clock,
        shutdown_seconds: float,
        companions: tuple[Companion, ...] = (),
    ) -> None:
        self.host = host
        self.caller_server = caller_server
        self.peer_server = peer_server
        self.admin_server = admin_server
        self.clock = clock
        self.shutdown_seconds = shutdown_seconds
        self.companions = companions
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the servers and start the host.

        :raises OSError: if an address cannot be bound.
        """
        self.host.on_drained = self.caller_server.start_leaving
        self.tasks = [asyncio.create_task(run(self.clock)) for run in self.companions]
        await self.peer_server.start()
        await self.admin_server.start()
        await self.host.start()
        await self.caller_server.start()

    async def stop(self) -> None:
        """Shut down and let requests in progress finish.

        :raises ShutdownTimeoutError: if `shutdown_seconds` have passed; requests
            still in progress are aborted.
        """
        try:
            async with asyncio.timeout(self.shutdown_seconds):
                await self.drain()
        except TimeoutError as error:
            log.error(
                "The graceful shutdown timed out after {} s;"
                " requests in progress are aborted.",
                self.shutdown_seconds,
            )
            raise ShutdownTimeoutError(
                f"shutdown not finished after {self.shutdown_seconds} s"
            ) from error
        finally:
            await self.host.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Drain the host, then close the servers one by one."""
        log.info("Draining the host.")
        self.caller_server.start_leaving()
        # Let idle clients learn of the shutdown from their next response.
        await asyncio.gather(self.host.drain(), self.clock.sleep(DRAIN_NOTICE_SECONDS))
        self.peer_server.start_leaving()
        await self.caller_server.stop()
        await self.peer_server.stop()
        await self.admin_server.stop()
        log.info("The host is drained and its servers are closed.")
