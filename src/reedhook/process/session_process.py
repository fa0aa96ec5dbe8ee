"""Start and graceful shutdown of a session host with its servers."""

import asyncio
from abc import ABC, abstractmethod
from typing import Final, Protocol

from .network.peer_server import PeerServer
from .network.plain_server import PlainServer
from .session_host import SessionHost

SETTINGS_POLL_SECONDS: Final = 1.0


class CallersListener(Protocol):
    """Accept connections of callers."""

    async def start(self) -> None:
        """Start listening."""

    def stop(self) -> None:
        """Stop accepting connections."""


class SessionProcess(ABC):
    """Run a host behind its servers.

    :param caller_listener: serves callers; opened last.
    :param peers: serves other hosts.
    :param readiness_server: answers readiness checks.
    :param metrics: serves the metrics.
    :param loaded_stamp: value of `stamp` taken before the settings in force were
        read, so that no later change is missed.
    """

    def __init__(
        self,
        host: SessionHost,
        caller_listener: CallersListener,
        peers: PeerServer,
        readiness_server: PlainServer,
        metrics: PlainServer,
        loaded_stamp: float,
    ) -> None:
        self.host = host
        self.caller_listener = caller_listener
        self.peers = peers
        self.readiness_server = readiness_server
        self.metrics = metrics
        self.loaded_stamp = loaded_stamp
        self.watch_task: asyncio.Task[None] | None = None

    @abstractmethod
    def reload(self) -> None:
        """Read the settings again and apply what has changed."""

    @abstractmethod
    def stamp(self) -> float:
        """Return a value that changes with the settings; 0 if they are unavailable."""

    async def start(self) -> None:
        """Open the servers and start the host.

        :raises OSError: if an address cannot be bound.
        """
        await self.readiness_server.start()
        await self.peers.start()
        await self.metrics.start()
        await self.host.start()
        await self.caller_listener.start()
        self.watch_task = asyncio.get_running_loop().create_task(self.watch_settings())

    async def watch_settings(self) -> None:
        """Poll the settings and reload them after a change, until cancelled."""
        while True:
            await self.host.clock.sleep(SETTINGS_POLL_SECONDS)
            current_stamp = self.stamp()
            if current_stamp and current_stamp != self.loaded_stamp:
                self.loaded_stamp = current_stamp
                self.reload()

    async def stop(self) -> None:
        """Shut down gracefully; let statements in progress finish."""
        await self.host.drain()
        self.caller_listener.stop()
        await self.host.finish()
        if self.watch_task is not None:
            self.watch_task.cancel()
        await self.host.close()
