"""Start and gentle end of a host that serves sessions, with its servers."""

import asyncio
from abc import ABC, abstractmethod
from typing import Final, Protocol

from .network.peer_server import PeerServer
from .network.plain_server import PlainServer
from .session_host import SessionHost

SETTINGS_POLL_SECONDS: Final = 1.0
"""Seconds between two looks at whether the settings file has changed."""


class CallersListener(Protocol):
    """Listen for callers."""

    async def start(self) -> None:
        """Listen."""

    def stop(self) -> None:
        """Accept nobody any more."""


class SessionProcess(ABC):
    """Run a host behind its servers.

    :param caller_listener: serves callers; opened last.
    :param peers: serves other hosts.
    :param readiness_server: answers whether this host is ready.
    :param metrics: shows the metrics.
    :param loaded_stamp: `stamp` from before the settings in force were read.
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
        """Read the settings again and go on with what has changed."""

    @abstractmethod
    def stamp(self) -> float:
        """Return what differs when the settings have changed."""

    async def start(self) -> None:
        """Open the servers and start the host.

        :raises OSError: if an address cannot be had.
        """
        await self.readiness_server.start()
        await self.peers.start()
        await self.metrics.start()
        await self.host.start()
        await self.caller_listener.start()
        self.watch_task = asyncio.get_running_loop().create_task(self.watch_settings())

    async def watch_settings(self) -> None:
        """Reload when the settings change without a signal."""
        while True:
            await self.host.clock.sleep(SETTINGS_POLL_SECONDS)
            found = self.stamp()
            if found and found != self.loaded_stamp:
                self.loaded_stamp = found
                self.reload()

    async def stop(self) -> None:
        """Shut down without cutting a statement in progress."""
        await self.host.drain()
        self.caller_listener.stop()
        if self.watch_task is not None:
            self.watch_task.cancel()
        await self.host.close()
