"""HTTP targets: no hidden reconnects or retries, and no incomplete responses."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.target import (
    Role,
    TargetFullError,
    TargetNoReplyError,
    TargetRefusedError,
    TargetUnreachableError,
)
from reedhook.connection.target_http import HttpTargetConnection, HttpTargetFactory
from reedhook.request.position import Position
from reedhook_standins.group import GroupStandin

from .support import on_loop, using
from .support_group import INSERT, SELECT, applied, connect, group_of

HELLO_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
EMPTY_RESULT = (
    b'{"columns":[],"rows":[],"rowcount":0,"position":[1,1],'
    b'"term":1,"role":"primary","repeated":false}'
)


class RawTarget:
    """Reply to ``hello``, then to each request with the next raw response.

    A response of None closes the connection.
    """

    def __init__(self, responses: list[bytes | None]) -> None:
        self.responses = responses
        self.accepted = 0
        self.requests = 0
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        try:
            await self.request(reader)
            writer.write(HELLO_RESPONSE)
            while True:
                await self.request(reader)
                self.requests += 1
                response = self.responses.pop(0)
                if response is None:
                    break
                writer.write(response)
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def request(self, reader: asyncio.StreamReader) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)

    async def connect(self) -> HttpTargetConnection:
        target = HttpTargetFactory().target("raw", f"127.0.0.1:{self.port}")
        return await target.connect(1.0)


@asynccontextmanager
async def raw_target(*responses: bytes | None) -> AsyncIterator[RawTarget]:
    raw = RawTarget(list(responses))
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    raw.port = server.sockets[0].getsockname()[1]
    async with server:
        yield raw


def http_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@using(group_of)
async def test_write_reaches_the_replicas(group: GroupStandin) -> None:
    first, second, _ = group.members.values()
    primary = await connect(first)
    replica = await connect(second)
    written = await primary.write(INSERT, ["pomace"], None, 1.0)
    assert written.position == Position(1, 3)
    assert written.role is Role.PRIMARY
    await applied(replica, written.position)
    read = await replica.read(SELECT, [], 1.0)
    assert read.rows == [["pomace"]]
    assert read.columns == ["load"]
    assert read.position == written.position
    assert read.role is Role.REPLICA


@using(group_of)
async def test_connect_without_a_listener_raises_unreachable(
    group: GroupStandin,
) -> None:
    await group.primary.kill()
    with pytest.raises(TargetUnreachableError):
        await connect(group.primary)


@using(lambda: group_of(connections=3))
async def test_full_target_accepts_a_connection_after_a_close(
    group: GroupStandin,
) -> None:
    connections = [await connect(group.primary) for _ in range(3)]
    with pytest.raises(TargetFullError):
        await connect(group.primary)
    assert group.primary.open_connections == 3
    await connections[0].close()
    state = await connections[1].state(1.0)
    while state.connections == 3:
        state = await connections[1].wait_state(state.revision, 1.0)
    reopened = await connect(group.primary)
    assert (await reopened.state(1.0)).connections == 3
    assert group.primary.peak_connections == 3


@using(lambda: raw_target(None))
async def test_broken_connection_is_not_replaced_and_the_request_not_repeated(
    raw: RawTarget,
) -> None:
    connection = await raw.connect()
    with pytest.raises(TargetNoReplyError):
        await connection.read("SELECT 1", [], 1.0)
    with pytest.raises(TargetUnreachableError):
        await connection.read("SELECT 1", [], 1.0)
    assert raw.requests == 1
    assert raw.accepted == 1


@using(group_of)
async def test_connection_closed_while_idle_sends_nothing(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    await group.primary.kill()
    await group.primary.revive()
    group.primary.received.clear()
    with pytest.raises(TargetUnreachableError):
        await connection.write(INSERT, ["pomace"], None, 1.0)
    assert not group.primary.received
    assert group.primary.open_connections == 0


@on_loop
async def test_truncated_response_raises_no_reply() -> None:
    truncated = http_response(EMPTY_RESULT)[:-10]
    async with raw_target(truncated, None) as raw:
        connection = await raw.connect()
        with pytest.raises(TargetNoReplyError):
            await connection.read("SELECT 1", [], 0.2)
        assert connection.channel.closed


@using(lambda: raw_target(http_response(b'{"rows":[]}')))
async def test_result_without_a_field_raises_no_reply(raw: RawTarget) -> None:
    connection = await raw.connect()
    with pytest.raises(TargetNoReplyError):
        await connection.write("DELETE FROM ticket", [], None, 1.0)


@on_loop
async def test_unsolicited_response_is_not_taken_for_the_next_one() -> None:
    unsolicited = EMPTY_RESULT.replace(b'"rowcount":0', b'"rowcount":7')
    async with raw_target(
        http_response(EMPTY_RESULT) + http_response(unsolicited), None
    ) as raw:
        connection = await raw.connect()
        first = await connection.read("SELECT 1", [], 1.0)
        assert first.rowcount == 0
        with pytest.raises(TargetUnreachableError):
            await connection.read("SELECT 2", [], 1.0)
        assert raw.requests == 1


@using(group_of)
async def test_cancelled_request_closes_the_connection(
    group: GroupStandin,
) -> None:
    group.primary.statement_time = 0.2
    connection = await connect(group.primary)
    reading = asyncio.create_task(connection.read(SELECT, [], 1.0))
    await asyncio.sleep(0.05)
    reading.cancel()
    with pytest.raises(asyncio.CancelledError):
        await reading
    with pytest.raises(TargetUnreachableError):
        await connection.read(SELECT, [], 1.0)


@using(group_of)
async def test_large_response_is_read_completely(group: GroupStandin) -> None:
    connection = await connect(group.primary)
    load = "citrus" * 500_000
    await connection.write(INSERT, [load], None, 5.0)
    read = await connection.read(SELECT, [], 5.0)
    assert read.rows == [[load]]


@using(group_of)
async def test_parameters_without_a_json_form_are_refused_before_sending(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    with pytest.raises(TargetRefusedError, match="not JSON serializable") as caught:
        await connection.write(INSERT, [object()], None, 1.0)
    assert caught.value.code == "bad_request"
    assert (await connection.read(SELECT, [], 1.0)).rows == []


@using(group_of)
async def test_concurrent_exchanges_on_one_connection_raise(
    group: GroupStandin,
) -> None:
    connection = await connect(group.primary)
    waiting = asyncio.create_task(connection.wait_state(-1, 0.0))
    await asyncio.sleep(0)
    with pytest.raises(RuntimeError):
        await connection.read(SELECT, [], 1.0)
    assert (await waiting).member == "m1"
