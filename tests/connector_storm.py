"""Open connections with timeouts that expire at random moments.

Runs in its own process, since the fault under test aborts the process.
"""

import asyncio
import os
import random
import sys
from typing import Any

import uvloop
from aiohttp import ClientError, ClientSession, web

from reedhook.connector import SingleStepConnector

CLIENTS = 60
CALLS = 30
LONGEST = 0.03


async def storm() -> list[str]:
    """Return the exceptions raised in callbacks of the event loop."""
    faults: list[str] = []

    def note(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        faults.append(str(context.get("exception")))

    asyncio.get_running_loop().set_exception_handler(note)
    server = web.ServerRunner(web.Server(respond))
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{server.addresses[0][1]}/"
    await asyncio.gather(*(call(url, number) for number in range(CLIENTS)))
    await server.cleanup()
    return faults


async def respond(request: web.BaseRequest) -> web.Response:
    """Answer every request."""
    return web.Response()


async def call(url: str, seed: int) -> None:
    """Call repeatedly, each time on a new connection."""
    rng = random.Random(seed)
    async with ClientSession(
        connector=SingleStepConnector(force_close=True)
    ) as session:
        for _ in range(CALLS):
            try:
                async with asyncio.timeout(rng.random() * LONGEST):
                    async with session.get(url) as response:
                        await response.read()
            except (TimeoutError, ClientError):
                continue


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    sys.exit("; ".join(uvloop.run(storm())) or 0)
