"""Start and graceful end of a host with its three HTTP servers."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

import logbook

from ..clock import Clock
from .network.plain_server import PlainServer
from .network.server import Server
from .overdue import ShutdownOverdue

Companion: TypeAlias = Callable[[Clock], Coroutine[Any, Any, None]]

LINGER: Final = 1.0

log = logbook.Logger("daemon")


class Lifecycle(ABC):
    """Start, drain and close what a host consists of.

    :ivar on_drained: called once a drain that an operator ordered is done.
    """

    on_drained: Callable[[], None]

    @abstractmethod
    async def start(self) -> None:
        """Join the other hosts and begin to serve."""

    @abstractmethod
    async def drain(self) -> None:
        """Announce the end, hand homes over, let work in progress end."""

    @abstractmethod
    async def close(self) -> None:
        """Release everything at once."""


class HostProcess:
    """Run a host behind its servers.

    :param callers: serves callers; opened last and closed first.
    :param peers: serves other hosts, which may wait for this one's homes.
    :param admin: serves operators.
    :param bound: time in seconds for a graceful shutdown.
    :param companions: run beside the host until it has stopped.
    """

    __slots__ = (
        "host",
        "callers",
        "peers",
        "admin",
        "clock",
        "bound",
        "companions",
        "tasks",
    )

    def __init__(
        self,
        host: Lifecycle,
        callers: Server,
        peers: Server | PlainServer,
        admin: Server,
        clock: Clock,
        bound: float,
        companions: tuple[Companion, ...] = (),
    ) -> None:
        self.host = host
        self.callers = callers
        self.peers = peers
        self.admin = admin
        self.clock = clock
        self.bound = bound
        self.companions = companions
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the servers and start the host.

        :raises OSError: if an address cannot be had.
        """
        self.host.on_drained = self.callers.start_leaving
        self.tasks = [asyncio.create_task(run(self.clock)) for run in self.companions]
        await self.peers.start()
        await self.admin.start()
        await self.host.start()
        await self.callers.start()

    async def stop(self) -> None:
        """Shut down without cutting a request in progress.

        :raises ShutdownOverdue: once the bound has passed; what was still in
            progress is cut then.
        """
        try:
            async with asyncio.timeout(self.bound):
                await self.drain()
        except TimeoutError as error:
            log.error("Requests in progress are cut after {} s.", self.bound)
            raise ShutdownOverdue(f"not done after {self.bound} s") from error
        finally:
            await self.host.close()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Hand over, then close the servers one by one."""
        log.info("The host drains.")
        self.callers.start_leaving()
        # Idle clients get a chance to be told before their connections close.
        await asyncio.gather(self.host.drain(), self.clock.sleep(LINGER))
        self.peers.start_leaving()
        await self.callers.stop()
        await self.peers.stop()
        await self.admin.stop()
        log.info("The host is drained.")
