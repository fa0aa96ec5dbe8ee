"""HTTP server: limits, and a stop that lets requests in progress finish."""

import asyncio

import logbook
import pytest
from aiohttp import ClientSession, web

from reedhook.process.network.limits import ServerLimits
from reedhook.process.network.server import ApplicationServer, HandlerServer, Server
from reedhook.wire import decode

from .support import on_loop, run

of_both_kinds = pytest.mark.parametrize("kind", [ApplicationServer, HandlerServer])


class SlowApp:
    """Answer ``/`` immediately, and ``/slow`` once `proceed` is set.

    :ivar request_started: set when a slow request runs.
    :ivar proceed: lets the slow request finish.
    """

    def __init__(self) -> None:
        self.request_started = asyncio.Event()
        self.proceed = asyncio.Event()
        self.app = web.Application()
        self.app.router.add_get("/", self.answer)
        self.app.router.add_get("/slow", self.answer)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/":
            return web.Response(text="quick")
        self.request_started.set()
        await self.proceed.wait()
        return web.Response(text="whole")


async def serve(
    slow: SlowApp, kind: type[Server], limits: ServerLimits | None = None
) -> Server:
    """Start a server of the given kind on a free port."""
    limits = limits or ServerLimits()
    server: Server
    if kind is HandlerServer:
        server = HandlerServer("tests", slow.answer, "127.0.0.1:0", limits)
    else:
        server = ApplicationServer("tests", slow.app, "127.0.0.1:0", limits)
    await server.start()
    return server


@of_both_kinds
def test_stop_waits_for_a_request_in_progress(kind: type[Server]) -> None:
    async def main() -> tuple[str, bool]:
        slow = SlowApp()
        server = await serve(slow, kind)
        async with ClientSession() as session:
            pending_request = asyncio.create_task(get(session, server, "/slow"))
            await slow.request_started.wait()
            stopping = asyncio.create_task(server.stop())
            await asyncio.sleep(0.05)
            waited = not stopping.done()
            slow.proceed.set()
            text = await pending_request
            await stopping
        return text, waited

    assert run(main()) == ("whole", True)


@of_both_kinds
def test_stop_closes_idle_connections(kind: type[Server]) -> None:
    async def main() -> bool:
        server = await serve(SlowApp(), kind)
        host, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"quick")
        await server.stop()
        ended = await reader.read() == b""
        writer.close()
        return ended

    assert run(main())


@of_both_kinds
def test_stopped_server_accepts_no_connection(kind: type[Server]) -> None:
    async def main() -> bool:
        server = await serve(SlowApp(), kind)
        host, port = server.address.split(":")
        await server.stop()
        try:
            await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        return False

    assert run(main())


@of_both_kinds
def test_leaving_server_closes_connections_after_a_response(kind: type[Server]) -> None:
    async def main() -> tuple[str | None, str | None]:
        server = await serve(SlowApp(), kind)
        async with ClientSession() as session:
            async with session.get(f"http://{server.address}/") as before:
                first = before.headers.get("Connection")
            server.start_leaving()
            async with session.get(f"http://{server.address}/") as after:
                assert await after.text() == "quick"
                second = after.headers.get("Connection")
        await server.stop()
        return first, second

    assert run(main()) == (None, "close")


@of_both_kinds
@on_loop
async def test_request_past_the_shutdown_limit_is_aborted(kind: type[Server]) -> None:
    slow = SlowApp()
    server = await serve(slow, kind, ServerLimits(shutdown_s=1))
    async with ClientSession() as session:
        pending_request = asyncio.create_task(get(session, server, "/slow"))
        await slow.request_started.wait()
        await asyncio.wait_for(server.stop(), 5)
        assert not slow.proceed.is_set()
        assert isinstance(
            (await asyncio.gather(pending_request, return_exceptions=True))[0],
            Exception,
        )


@of_both_kinds
def test_header_lines_are_limited(kind: type[Server]) -> None:
    async def main() -> int:
        server = await serve(SlowApp(), kind, ServerLimits(header_bytes=1024))
        headers = {"X-Long": "x" * 2000}
        async with ClientSession() as session:
            async with session.get(f"http://{server.address}/", headers=headers) as got:
                status = got.status
        await server.stop()
        return status

    assert run(main()) == 400


@on_loop
async def test_compressed_body_is_not_decompressed() -> None:
    async def echo(request: web.BaseRequest) -> web.Response:
        return web.Response(body=await request.read())

    server = HandlerServer("tests", echo, "127.0.0.1:0", ServerLimits())
    await server.start()
    url = f"http://{server.address}/"
    headers = {"Content-Encoding": "br"}
    async with ClientSession() as session:
        async with session.post(url, data=b"not brotli", headers=headers) as response:
            assert (response.status, await response.read()) == (200, b"not brotli")
    await server.stop()


async def get(session: ClientSession, server: Server, path: str) -> str:
    """Return the text of the response to a GET request."""
    async with session.get(f"http://{server.address}{path}") as response:
        return await response.text()


@pytest.mark.parametrize(
    "head",
    [
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + "y" * 20000 + "\r\n\r\n",
        "GET /" + "y" * 20000 + " HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost a b" + "c" * 4000 + "\r\n\r\n",
        "what is this?\r\n\r\n",
    ],
    ids=["field", "line", "field without a colon", "not HTTP"],
)
@on_loop
async def test_malformed_request_is_refused_with_one_short_log_line(
    head: str, caplog: pytest.LogCaptureFixture
) -> None:
    server = await serve(SlowApp(), HandlerServer)
    with logbook.TestHandler().applicationbound() as records:
        host, _, port = server.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
    await server.stop()
    status, _, body = answer.partition(b"\r\n\r\n")
    assert b"application/json" in status
    message = decode(body)
    assert (message["reason"], message["verdict"]) == ("bad_request", "not run")
    lines = [one.message for one in records.records if one.level >= logbook.WARNING]
    assert len(lines) == 1
    assert len(lines[0]) < 300
    assert not caplog.records
