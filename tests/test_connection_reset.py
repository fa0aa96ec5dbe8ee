"""Abandoned requests must not be delivered once a network partition has healed."""

import asyncio

import pytest

from reedhook.connection.channel import ResponseIncompleteError, open_channel
from reedhook.connection.session_target import SessionTargetNoReplyError, TargetQuery
from reedhook.platform.driver import WireDriver
from reedhook.version.route_table import TargetAnnouncement

SHORT_TIMEOUT = 0.05
LONG_TIMEOUT = 2.0


class SilentServer:
    """Read all input, reply to the first line only, and record the connection's end."""

    def __init__(self, first: bytes) -> None:
        self.first = first
        self.ending: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.address = ""

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return server

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        if self.first:
            await reader.readline()
            writer.write(self.first)
        try:
            while await reader.read(4096):
                continue
            self.ending.set_result("closed")
        except ConnectionResetError:
            self.ending.set_result("reset")
        writer.close()


def test_timed_out_channel_exchange_resets_the_connection() -> None:
    async def main() -> None:
        silent = SilentServer(b"")
        server = await silent.start()
        channel = await open_channel(silent.address, LONG_TIMEOUT)
        with pytest.raises(ResponseIncompleteError):
            await channel.exchange("work", b"{}", SHORT_TIMEOUT)
        assert await asyncio.wait_for(silent.ending, LONG_TIMEOUT) == "reset"
        server.close()

    asyncio.run(main())


def test_timed_out_statement_resets_the_connection() -> None:
    async def main() -> None:
        silent = SilentServer(b"READY I 1.1\r\n")
        server = await silent.start()
        entry = TargetAnnouncement("i-1", "db", silent.address, "z", False, False)
        connection = await WireDriver("h1").connect(entry, LONG_TIMEOUT)
        with pytest.raises(SessionTargetNoReplyError):
            await connection.exchange([TargetQuery("1", "READ a")], SHORT_TIMEOUT)
        assert await asyncio.wait_for(silent.ending, LONG_TIMEOUT) == "reset"
        server.close()

    asyncio.run(main())
