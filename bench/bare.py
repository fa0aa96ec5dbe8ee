"""Bare aiohttp servers and clients as a baseline of the system."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final, TypeAlias

import aiohttp
from aiohttp import web

from reedhook import wire
from reedhook.wire import Json

Handler: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

LOOPBACK: Final = "127.0.0.1"
JSON_HEADERS: Final = {"Content-Type": "application/json"}


async def listen(handler: Handler) -> str:
    """Serve `handler` on a free port and return ``IP:port``."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    port = runner.addresses[0][1]
    return f"{LOOPBACK}:{port}"


async def serve_echo() -> str:
    """Answer each request with its body."""

    async def echo(request: web.BaseRequest) -> web.Response:
        return web.Response(body=await request.read(), content_type="application/json")

    return await listen(echo)


async def serve_pass_through(target: str) -> str:
    """Forward each request to `target` over one persistent connection."""
    link = Link(target)

    async def pass_on(request: web.BaseRequest) -> web.Response:
        answer = await link.send(request.path, await request.read())
        return web.Response(body=answer, content_type="application/json")

    return await listen(pass_on)


class Link:
    """Send requests to one address over one persistent connection."""

    def __init__(self, address: str, headers: dict[str, str] | None = None) -> None:
        self.address = address
        self.headers = {**JSON_HEADERS, **(headers or {})}
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1),
            timeout=aiohttp.ClientTimeout(total=30),
        )

    async def __aenter__(self) -> "Link":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.session.close()

    async def send(self, path: str, body: bytes) -> bytes:
        """Send one request and return the answer's body."""
        url = f"http://{self.address}{path}"
        async with self.session.post(url, data=body, headers=self.headers) as answer:
            return await answer.read()

    async def ask_raw(self, path: str, body: bytes) -> Json:
        """Send one encoded message and return the answer."""
        return wire.decode(await self.send(path, body))

    async def ask(self, path: str, message: Json) -> Json:
        """Send one message and return the answer."""
        return await self.ask_raw(path, wire.encode(message))


async def open_link(
    stack: AsyncExitStack, address: str, headers: dict[str, str] | None = None
) -> Link:
    """Open a link that closes with `stack`."""
    return await stack.enter_async_context(Link(address, headers))
