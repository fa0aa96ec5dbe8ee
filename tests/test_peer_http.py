"""Calls between hosts over real connections on loopback."""

import asyncio
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession
from hypothesis import given, settings, strategies as st

from reedhook.clock import SystemClock
from reedhook.connection.channel_pool import MAX_IDLE_CHANNELS
from reedhook.peer import HostRef, PeerError, PeerRoutes
from reedhook.process.events.timeline import Timeline
from reedhook.process.network.peer_http import LINK_IDLE_SECONDS, HttpPeers
from reedhook.process.network.peer_protocol import (
    CLIENT_KEEPALIVE_SECONDS,
    CREDENTIAL,
    MAX_PEER_BODY_BYTES,
)
from reedhook.process.network.peer_server import PeerEndpoint, PeerServer
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.verdict import Verdict
from reedhook.wire import Json, WireError

from .support import on_loop, using

SECRET = "a credential of the hosts"


class Listener:
    """Serve peer calls and record the bodies that reached a handler."""

    def __init__(self) -> None:
        self.seen: list[Json] = []
        self.timeline = Timeline("there", SystemClock())
        self.routes = PeerRoutes()
        self.routes.add("note", self.note)
        self.routes.add("refuse", self.refuse)
        self.routes.add("break", self.fail)
        self.routes.add("strict", self.strict)
        self.routes.add("slow", self.slow)
        self.ref = HostRef("there", "comiso", "127.0.0.1:0")
        self.url = ""
        self.server: PeerServer | None = None

    async def note(self, body: Json) -> Json:
        self.seen.append(body)
        return {"seen": len(self.seen)}

    async def refuse(self, body: Json) -> Json:
        raise not_run(RefusalReason.WRONG_HOME, "elsewhere", 20)

    async def fail(self, body: Json) -> Json:
        raise RuntimeError("a fault of the handler")

    async def strict(self, body: Json) -> Json:
        raise WireError("a field is missing")

    async def slow(self, body: Json) -> Json:
        await asyncio.sleep(body["seconds"])
        return await self.note(body)


PeersAndListener = tuple[HttpPeers, Listener]


@asynccontextmanager
async def run_listener(credential: str = SECRET) -> AsyncIterator[Listener]:
    listener = Listener()
    endpoint = PeerEndpoint(listener.routes, credential, listener.timeline)
    server = PeerServer(endpoint, "127.0.0.1:0", shutdown=0.1)
    await server.start()
    listener.server = server
    listener.ref = HostRef("there", "comiso", server.address)
    listener.url = f"http://{server.address}/peer/"
    try:
        yield listener
    finally:
        await server.stop()


@asynccontextmanager
async def make_peers() -> AsyncIterator[HttpPeers]:
    me = HostRef("here", "vittoria", "127.0.0.1:1")
    clock = SystemClock()
    peers = HttpPeers(me, SECRET, Timeline("here", clock), clock)
    try:
        yield peers
    finally:
        await peers.close()


@asynccontextmanager
async def peers_and_listener() -> AsyncIterator[PeersAndListener]:
    async with run_listener() as listener, make_peers() as peers:
        yield peers, listener


@using(peers_and_listener)
async def test_stop_resets_no_call_in_transit(pair: PeersAndListener) -> None:
    peers, listener = pair
    assert listener.server is not None
    calls = [
        asyncio.create_task(peers.call(listener.ref, "note", {}, 30.0))
        for _ in range(200)
    ]
    await asyncio.sleep(0.005)
    await listener.server.stop()
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    refused = [one for one in outcomes if isinstance(one, PeerError)]
    assert [one for one in refused if one.sent] == []
    assert 0 < len(listener.seen) == len(calls) - len(refused)


@using(peers_and_listener)
async def test_calls_return_answers_refusals_and_stamps(pair: PeersAndListener) -> None:
    peers, listener = pair
    ahead = int(listener.timeline.clock.wall() * 1000) + 30_000
    listener.timeline.observe(ahead, 3)
    assert await peers.call(listener.ref, "note", {"n": 1}, 1.0) == {"seen": 1}
    assert peers.timeline.stamp.wall_ms == ahead
    with pytest.raises(RefusalError) as refused:
        await peers.call(listener.ref, "refuse", {}, 1.0)
    assert refused.value.reason is RefusalReason.WRONG_HOME
    assert refused.value.verdict is Verdict.NOT_RUN
    assert refused.value.retry_after_ms == 20


@pytest.mark.parametrize(
    ("path", "reason", "verdict"),
    [
        ("break", RefusalReason.HOST_UNREACHABLE, Verdict.MAY_HAVE_RUN),
        ("strict", RefusalReason.BAD_REQUEST, Verdict.NOT_RUN),
        ("nowhere", RefusalReason.BAD_REQUEST, Verdict.NOT_RUN),
    ],
)
@using(peers_and_listener)
async def test_failing_handler_returns_a_refusal(
    pair: PeersAndListener, path: str, reason: RefusalReason, verdict: Verdict
) -> None:
    peers, listener = pair
    with pytest.raises(RefusalError) as refused:
        await peers.call(listener.ref, path, {}, 1.0)
    assert refused.value.reason is reason
    assert refused.value.verdict is verdict


@using(peers_and_listener)
async def test_refused_connection_counts_as_not_sent(pair: PeersAndListener) -> None:
    peers, _ = pair
    nobody = HostRef("nobody", "comiso", "127.0.0.1:1")
    with pytest.raises(PeerError) as failed:
        await peers.call(nobody, "note", {}, 1.0)
    assert not failed.value.sent


@on_loop
async def test_unaccepted_connection_counts_as_not_sent() -> None:
    """A full accept queue drops connection requests, as a dead host does."""

    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        port = full.getsockname()[1]
        waiting = [socket.socket() for _ in range(4)]
        for one in waiting:
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", port))
        async with make_peers() as peers:
            silent = HostRef("silent", "comiso", f"127.0.0.1:{port}")
            with pytest.raises(PeerError) as failed:
                await peers.call(silent, "note", {}, 0.2)
        for one in waiting:
            one.close()
    assert not failed.value.sent


async def serve_raw(
    answer: Callable[
        [int, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
) -> tuple[asyncio.Server, HostRef, list[int]]:
    """Serve raw connections; `answer` receives the number of each connection."""
    opened: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened.append(len(opened))
        await answer(opened[-1], reader, writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, HostRef("raw", "comiso", f"127.0.0.1:{port}"), opened


async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one call with a valid response."""
    await reader.readuntil(b"}}")
    body = b'{"body":{"ok":1},"stamp":[1,1]}'
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()


@on_loop
async def test_interrupted_call_counts_as_sent_and_is_not_repeated() -> None:
    """The peer closes after reading the call; no second connection may follow."""
    calls: list[bytes] = []

    async def cut(
        number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if number == 0:
            await respond(reader, writer)
        calls.append(await reader.readuntil(b"}}"))
        writer.close()

    server, ref, opened = await serve_raw(cut)
    async with server, make_peers() as peers:
        assert await peers.call(ref, "note", {}, 1.0) == {"ok": 1}
        with pytest.raises(PeerError) as failed:
            await peers.call(ref, "note", {}, 1.0)
        assert failed.value.sent
        assert opened == [0]
        assert len(calls) == 1


@on_loop
async def test_call_after_a_timeout_opens_a_new_connection() -> None:
    async def silent(
        number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await respond(reader, writer)
        if number == 0:
            await asyncio.Event().wait()
        await respond(reader, writer)

    server, ref, opened = await serve_raw(silent)
    async with server, make_peers() as peers:
        await peers.call(ref, "note", {}, 1.0)
        with pytest.raises(PeerError) as failed:
            await peers.call(ref, "note", {}, 0.05)
        assert failed.value.sent
        assert await peers.call(ref, "note", {}, 1.0) == {"ok": 1}
        assert opened == [0, 1]
        assert await peers.call(ref, "note", {}, 1.0) == {"ok": 1}
        assert opened == [0, 1]


@using(peers_and_listener)
async def test_timeout_of_a_call_does_not_affect_other_calls(
    pair: PeersAndListener,
) -> None:
    peers, listener = pair
    long = asyncio.create_task(peers.call(listener.ref, "slow", {"seconds": 0.3}, 2.0))
    with pytest.raises(PeerError):
        await peers.call(listener.ref, "slow", {"seconds": 1.0}, 0.05)
    assert await long == {"seen": 1}


@using(peers_and_listener)
async def test_concurrent_calls_use_separate_connections_that_are_reused(
    pair: PeersAndListener,
) -> None:
    peers, listener = pair
    calls_in_parallel = [
        peers.call(listener.ref, "slow", {"seconds": 0.05}, 2.0) for _ in range(3)
    ]
    answers = await asyncio.gather(*calls_in_parallel)
    assert sorted(answer["seen"] for answer in answers) == [1, 2, 3]
    link = peers.channel_pools[listener.ref.address]
    idle_channels = {one.channel for one in link.idle}
    assert len(idle_channels) == 3
    await peers.call(listener.ref, "note", {}, 1.0)
    assert {one.channel for one in link.idle} == idle_channels


@using(peers_and_listener)
async def test_idle_connections_are_limited_and_closed_after_a_timeout(
    pair: PeersAndListener,
) -> None:
    peers, listener = pair
    calls_in_parallel = [
        peers.call(listener.ref, "slow", {"seconds": 0.05}, 5.0)
        for _ in range(MAX_IDLE_CHANNELS + 4)
    ]
    await asyncio.gather(*calls_in_parallel)
    link = peers.channel_pools[listener.ref.address]
    assert len(link.idle) == MAX_IDLE_CHANNELS
    now = peers.clock.monotonic()
    peers.sweep(now + CLIENT_KEEPALIVE_SECONDS + 1.0)
    assert link.idle == []
    assert peers.channel_pools == {listener.ref.address: link}
    peers.sweep(now + LINK_IDLE_SECONDS + 1.0)
    assert peers.channel_pools == {}


@using(peers_and_listener)
async def test_closing_the_client_ends_its_calls(pair: PeersAndListener) -> None:
    peers, listener = pair
    call = asyncio.create_task(
        peers.call(listener.ref, "slow", {"seconds": 30.0}, 60.0)
    )
    await asyncio.sleep(0.05)
    await peers.close()
    with pytest.raises(PeerError) as failed:
        await call
    assert failed.value.sent


@on_loop
async def test_response_with_excessive_content_length_is_not_read() -> None:
    async def respond_with_excessive_length(
        number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"}}")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {MAX_PEER_BODY_BYTES + 1}\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()

    server, ref, _ = await serve_raw(respond_with_excessive_length)
    async with server, make_peers() as peers:
        with pytest.raises(PeerError, match="exceeds the size limit") as failed:
            await peers.call(ref, "note", {}, 30.0)
        assert failed.value.sent


@using(peers_and_listener)
async def test_credential_with_line_breaks_is_rejected(pair: PeersAndListener) -> None:
    peers, listener = pair
    peers.headers[CREDENTIAL] = f"{SECRET}\r\nContent-Length: 0"
    with pytest.raises(ValueError):
        await peers.call(listener.ref, "note", {}, 1.0)
    assert listener.seen == []


@pytest.mark.parametrize("given_credential", ["", "wrong", SECRET + "x", SECRET[:-1]])
@using(peers_and_listener)
async def test_call_with_wrong_credential_is_refused_without_effect(
    pair: PeersAndListener, given_credential: str
) -> None:
    peers, listener = pair
    peers.headers[CREDENTIAL] = given_credential
    with pytest.raises(RefusalError) as refused:
        await peers.call(listener.ref, "note", {}, 1.0)
    assert refused.value.reason is RefusalReason.UNAUTHENTICATED
    assert listener.seen == []


@using(peers_and_listener)
async def test_oversized_body_is_refused(pair: PeersAndListener) -> None:
    peers, listener = pair
    with pytest.raises(RefusalError) as refused:
        await peers.call(listener.ref, "note", {"x": "y" * MAX_PEER_BODY_BYTES}, 5.0)
    assert refused.value.reason is RefusalReason.TOO_LARGE
    assert listener.seen == []


@settings(max_examples=10)
@given(st.integers(0, 2**32))
@on_loop
async def test_malformed_calls_get_client_errors_and_have_no_effect(seed: int) -> None:
    rng = random.Random(seed)
    async with run_listener() as listener, ClientSession() as session:
        for _ in range(20):
            status = await send_junk(session, listener.url, rng)
            assert 400 <= status < 500
        assert listener.seen == []


async def send_junk(session: ClientSession, url: str, rng: random.Random) -> int:
    """Send a malformed call with a valid or a missing credential."""
    junk = [
        rng.randbytes(rng.randrange(200)),
        b"[]",
        b'{"body":{}}',
        b'{"stamp":[1],"body":{}}',
        b'{"stamp":["a",{}],"body":{}}',
        b'{"stamp":[1,1],"body":7}',
        b'{"stamp":[1e400,1],"body":{}}',
        b"[" * 5000,
    ]
    headers = {CREDENTIAL: rng.choice([SECRET, "x", "\u00e9"])}
    if rng.random() < 0.2:
        headers["Content-Encoding"] = "gzip"
    path = rng.choice(["note", "nowhere", "..", "note/x", "%00"])
    async with session.post(
        url + path, data=rng.choice(junk), headers=headers
    ) as response:
        await response.read()
        return response.status
