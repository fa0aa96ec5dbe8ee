"""Start and graceful shutdown of a host."""

import asyncio

import aiohttp
import pytest

from reedhook.process.lifecycle import HostDaemon
from reedhook.process.shutdown_errors import ShutdownTimeoutError

from .daemon_fakes import Counted, FakeHost, a_process
from .support import on_loop

CLIENTS = 20


class Load:
    """Send requests from many clients until the host refuses connections.

    :ivar answered: number of complete responses.
    :ivar failed: errors of requests that were sent and got no complete response.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.answered = 0
        self.failed: list[Exception] = []

    async def client(self, number: int) -> None:
        """Send requests one after another on a persistent connection."""
        body = str(number).encode() * 100
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.post(self.url, data=body) as response:
                        assert await response.read() == body
                        self.answered += 1
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError as error:
                    self.failed.append(error)

    async def run(self) -> None:
        """Run all clients until they stop."""
        await asyncio.gather(*map(self.client, range(CLIENTS)))


@on_loop
async def test_stop_under_load_aborts_no_request() -> None:
    host, counted = FakeHost(), Counted()
    process = a_process(host, counted.app(), 10)
    await process.start()
    load = Load(f"http://{process.caller_server.address}/")
    running = asyncio.create_task(load.run())
    await asyncio.sleep(0.2)
    await process.stop()
    await running
    assert load.failed == []
    assert load.answered > CLIENTS
    assert counted.begun == counted.ended == load.answered
    assert host.steps == ["start", "started", "drain", "drained", "close"]


@on_loop
async def test_callers_and_peers_are_served_during_drain() -> None:
    host, counted = FakeHost(), Counted()
    host.drained.clear()
    process = a_process(host, counted.app(), 10)
    await process.start()
    stopping = asyncio.create_task(process.stop())
    await asyncio.sleep(0.3)
    async with aiohttp.ClientSession() as session:
        async with session.post(f"http://{process.caller_server.address}/") as response:
            assert response.status == 200
        async with session.get(f"http://{process.peer_server.address}/") as response:
            assert response.status == 404
    host.drained.set()
    await stopping


@on_loop
async def test_shutdown_timeout_is_reported_and_closes_the_host() -> None:
    host = FakeHost()
    host.drained.clear()
    process = a_process(host, Counted().app(), 0.2)
    await process.start()
    with pytest.raises(ShutdownTimeoutError):
        await process.stop()
    assert host.steps[-1] == "close"


@on_loop
async def test_process_can_be_stopped_before_start() -> None:
    host = FakeHost()
    process: HostDaemon = a_process(host, Counted().app(), 10)
    await process.stop()
    assert host.steps[-1] == "close"
