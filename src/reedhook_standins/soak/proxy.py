"""Proxies on the loopback that delay, swallow and break connections."""

import asyncio
from typing import Final, cast

from reedhook.address import split_address
from reedhook.connection.transport_reset import reset_transport

from ..listening import Listening

WHO: Final = 2
"""Place of the host's name in the first line of a connection to a target."""

CHUNK: Final = 65536
"""Bytes that are passed on at a time."""


class Link:
    """Say what becomes of the bytes between two parties.

    :ivar delay: seconds by which each piece is late.
    :ivar up: whether bytes arrive on the way from who connected.
    :ivar down: whether bytes arrive on the way back.
    """

    __slots__ = ("delay", "up", "down")

    def __init__(self) -> None:
        self.heal()

    def heal(self) -> None:
        """Pass everything on at once."""
        self.delay = 0.0
        self.up = True
        self.down = True


class Proxy(Listening):
    """Pass connections on to one address.

    :param target: ``IP:port``.
    :param link: used by all connections; see `link_of`.
    """

    def __init__(self, target: str, link: Link) -> None:
        super().__init__()
        self.target = target
        self.link = link
        self.open: dict[asyncio.StreamWriter, Link] = {}

    def link_of(self, first: bytes) -> Link:
        """Return the link of a connection that begins with these bytes."""
        return self.link

    def reset(self, link: Link | None = None) -> None:
        """Break the connections of a link, or all."""
        for writer, used in list(self.open.items()):
            if link is None or used is link:
                reset_transport(cast(asyncio.Transport, writer.transport))

    async def stop(self) -> None:
        """Stop listening and break all connections."""
        await super().stop()
        self.reset()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until either side ends it."""
        ends = [writer]
        try:
            first = await reader.read(CHUNK)
            link = self.link_of(first)
            host, port = split_address(self.target)
            far_reader, far_writer = await asyncio.open_connection(host, port)
            ends.append(far_writer)
            for one in ends:
                self.open[one] = link
            up = self.pump(reader, far_writer, link, True, first)
            down = self.pump(far_reader, writer, link, False, b"")
            await asyncio.gather(up, down)
        except OSError:
            # One side is gone; the other is told below.
            pass
        finally:
            for one in ends:
                self.open.pop(one, None)
                one.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        up: bool,
        data: bytes,
    ) -> None:
        """Pass the bytes of one direction on."""
        data = data or await reader.read(CHUNK)
        while data:
            if link.delay:
                await asyncio.sleep(link.delay)
            if link.up if up else link.down:
                writer.write(data)
                await writer.drain()
            data = await reader.read(CHUNK)
        writer.close()


class MemberProxy(Proxy):
    """Pass connections on to a target, with a link for each host."""

    def __init__(self, target: str, links: dict[str, Link]) -> None:
        super().__init__(target, Link())
        self.links = links

    def link_of(self, first: bytes) -> Link:
        fields = first.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
        host = fields[WHO] if len(fields) > WHO else ""
        return self.links.get(host, self.link)
