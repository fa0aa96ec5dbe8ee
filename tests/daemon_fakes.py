"""A fake host behind real servers."""

import asyncio

from aiohttp import web

from reedhook.clock import SystemClock
from reedhook.process.lifecycle import HostDaemon, Lifecycle
from reedhook.process.network.limits import ServerLimits
from reedhook.process.network.server import ApplicationServer


class QuickClock(SystemClock):
    """Sleep for a tenth of the requested time."""

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds / 10)


class FakeHost(Lifecycle):
    """Record the lifecycle calls.

    :ivar steps: the calls, in order.
    :ivar drained: set by the test to end the drain.
    """

    def __init__(self) -> None:
        self.steps: list[str] = []
        self.on_drained = lambda: None
        self.drained = asyncio.Event()
        self.drained.set()
        self.started = asyncio.Event()
        self.started.set()

    async def start(self) -> None:
        self.steps.append("start")
        await self.started.wait()
        self.steps.append("started")

    async def drain(self) -> None:
        self.steps.append("drain")
        await self.drained.wait()
        self.steps.append("drained")

    async def close(self) -> None:
        self.steps.append("close")


class Counted:
    """Answer slowly and count started and completed requests."""

    def __init__(self) -> None:
        self.begun = 0
        self.ended = 0

    async def answer(self, request: web.Request) -> web.Response:
        self.begun += 1
        body = await request.read()
        await asyncio.sleep(0.01)
        self.ended += 1
        return web.Response(body=body)

    def app(self) -> web.Application:
        """Return an application that answers ``POST /``."""
        app = web.Application()
        app.router.add_post("/", self.answer)
        return app


def a_process(host: FakeHost, app: web.Application, bound: float) -> HostDaemon:
    """Return a process around `host` on free ports."""
    limits = ServerLimits()
    here = "127.0.0.1:0"
    return HostDaemon(
        host,
        ApplicationServer("callers", app, here, limits),
        ApplicationServer("peers", web.Application(), here, limits),
        ApplicationServer("operators", web.Application(), here, limits),
        QuickClock(),
        bound,
    )
