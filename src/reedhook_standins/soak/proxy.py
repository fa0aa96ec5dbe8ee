"""Loopback proxies that delay, drop and break connections."""

import asyncio
from collections.abc import Callable
from typing import Final, cast

from reedhook.address import split_address
from reedhook.connection.transport_reset import reset_transport

from ..listening import Listening

WHO: Final = 2
"""Index of the host's name in the first line of a connection to a target."""

CHUNK: Final = 65536
"""Bytes forwarded at a time."""


class ProxyLink:
    """Describe the faults between two parties.

    :ivar delay: seconds by which each chunk is delayed.
    :ivar up: whether bytes pass from the connecting side.
    :ivar down: whether bytes pass back to it.
    """

    __slots__ = ("delay", "up", "down")

    def __init__(self) -> None:
        self.heal()

    def heal(self) -> None:
        """Clear all faults."""
        self.delay = 0.0
        self.up = True
        self.down = True


class Proxy(Listening):
    """Forward connections to one address.

    :param target: ``IP:port``.
    :param link: used by all connections; see `link_of`.
    :ivar on_forward: called with bytes that were sent on to the address.
    """

    def __init__(self, target: str, link: ProxyLink) -> None:
        super().__init__()
        self.target = target
        self.link = link
        self.open: dict[asyncio.StreamWriter, ProxyLink] = {}
        self.on_forward: Callable[[bytes], None] = lambda data: None

    def link_of(self, first: bytes) -> ProxyLink:
        """Return the link of a connection that begins with these bytes."""
        return self.link

    def reset(self, link: ProxyLink | None = None) -> None:
        """Break the connections of a link, or all."""
        for writer, connection_link in list(self.open.items()):
            if link is None or connection_link is link:
                reset_transport(cast(asyncio.Transport, writer.transport))

    async def stop(self) -> None:
        """Stop listening and break all connections."""
        await super().stop()
        self.reset()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until either side ends it."""
        writers = [writer]
        try:
            first_bytes = await reader.read(CHUNK)
            link = self.link_of(first_bytes)
            host, port = split_address(self.target)
            far_reader, far_writer = await asyncio.open_connection(host, port)
            writers.append(far_writer)
            for end_writer in writers:
                self.open[end_writer] = link
            up = self.pump(reader, far_writer, link, True, first_bytes)
            down = self.pump(far_reader, writer, link, False, b"")
            await asyncio.gather(up, down)
        except OSError:
            # One side has closed; the other is closed below.
            pass
        finally:
            for end_writer in writers:
                self.open.pop(end_writer, None)
                end_writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: ProxyLink,
        up: bool,
        data: bytes,
    ) -> None:
        """Forward the bytes of one direction."""
        data = data or await reader.read(CHUNK)
        while data:
            if link.delay:
                await asyncio.sleep(link.delay)
            if link.up if up else link.down:
                writer.write(data)
                if up:
                    self.on_forward(data)
                await writer.drain()
            data = await reader.read(CHUNK)
        writer.close()


class MemberProxy(Proxy):
    """Forward connections to a target, with a link for each host."""

    def __init__(self, target: str, links: dict[str, ProxyLink]) -> None:
        super().__init__(target, ProxyLink())
        self.links = links

    def link_of(self, first: bytes) -> ProxyLink:
        fields = first.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
        host = fields[WHO] if len(fields) > WHO else ""
        return self.links.get(host, self.link)
