"""Open connections under timeouts that strike at any moment.

Run as a process of its own, since the fault that it looks for aborts it.
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
    """Return what went wrong in callbacks of the loop."""
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
    """Answer anything."""
    return web.Response()


async def call(url: str, seed: int) -> None:
    """Call again and again, each time on a new connection."""
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
