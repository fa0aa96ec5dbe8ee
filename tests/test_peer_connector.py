"""Tests of the connector of the HTTP clients."""

import asyncio
import os
import subprocess
import sys

import pytest
from aiohttp import ClientConnectorError, ClientSession, ClientTimeout, web

from reedhook.connector import SingleStepConnector

from .support import on_loop


def test_connect_timeouts_do_not_abort_the_process() -> None:
    """Guards against the abort that aiohttp's own connector causes with uvloop."""
    done = subprocess.run(
        [sys.executable, "-m", "tests.connector_storm"],
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stderr) == (0, "")


@on_loop
async def test_connector_succeeds_and_reports_refused_connections() -> None:
    server = web.ServerRunner(web.Server(respond))
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{server.addresses[0][1]}/"
    async with ClientSession(connector=SingleStepConnector()) as session:
        limit = ClientTimeout(total=2.0, sock_connect=1.0)
        async with session.get(url, timeout=limit) as response:
            assert await response.read() == b"here"
        await server.cleanup()
        with pytest.raises(ClientConnectorError):
            await session.get(url, timeout=limit)


async def respond(request: web.BaseRequest) -> web.Response:
    """Answer any request."""
    await asyncio.sleep(0)
    return web.Response(body=b"here")
