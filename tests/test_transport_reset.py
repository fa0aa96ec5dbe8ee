"""Reset of connections that have already ended."""

import asyncio

import pytest
import uvloop

from reedhook.connection.transport_reset import reset_transport


# Guards against statements whose host fails without an answer, because the connection
# to the target ended before its host closed it.
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_ended_connection_can_be_reset(new_loop: object) -> None:
    async def scenario() -> None:
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, "127.0.0.1", port)
        reset_transport(transport)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        reset_transport(transport)
        server.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:  # type: ignore[arg-type]
        runner.run(scenario())
