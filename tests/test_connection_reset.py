"""What was sent and given up must not arrive after a partition has healed."""

import asyncio

import pytest

from reedhook.connection.channel import ResponseIncompleteError, open_channel
from reedhook.connection.session_target import SessionTargetNoReplyError, TargetQuery
from reedhook.platform.driver import WireDriver
from reedhook.version.route_table import TargetAnnouncement

SHORT = 0.05
PATIENCE = 2.0


class Silent:
    """Read what comes, answer the first line only, and note how it ends."""

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


def test_a_call_that_was_given_up_is_reset() -> None:
    async def main() -> None:
        silent = Silent(b"")
        server = await silent.start()
        channel = await open_channel(silent.address, PATIENCE)
        with pytest.raises(ResponseIncompleteError):
            await channel.exchange("work", b"{}", SHORT)
        assert await asyncio.wait_for(silent.ending, PATIENCE) == "reset"
        server.close()

    asyncio.run(main())


def test_a_statement_that_was_given_up_is_reset() -> None:
    async def main() -> None:
        silent = Silent(b"READY I 1.1\r\n")
        server = await silent.start()
        entry = TargetAnnouncement("i-1", "db", silent.address, "z", False, False)
        connection = await WireDriver("h1").connect(entry, PATIENCE)
        with pytest.raises(SessionTargetNoReplyError):
            await connection.exchange([TargetQuery("1", "READ a")], SHORT)
        assert await asyncio.wait_for(silent.ending, PATIENCE) == "reset"
        server.close()

    asyncio.run(main())
