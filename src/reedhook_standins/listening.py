"""Base class of stand-ins that listen on a free loopback port."""

import asyncio
from abc import ABC, abstractmethod


class Listening(ABC):
    """Accept connections.

    :ivar address: ``IP:port``, set by `start`.
    """

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    @abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
