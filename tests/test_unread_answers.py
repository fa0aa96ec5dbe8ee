"""Callers and clients that do not read what is sent to them.

Guards against answers that fill the memory of a host, and against statements that wait
there without a bound in bytes.
"""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, cast

import pytest

from reedhook.address import split_address
from reedhook.connection.output_gate import OutputGate
from reedhook.platform.caller_listener import (
    MAX_QUEUED_CHARACTERS,
    MAX_QUEUED_STATEMENTS,
    CallerProtocol,
)
from reedhook.process.caller_sessions import CallerSessions
from reedhook.process.network.plain_server import (
    PlainConnection,
    PlainRequest,
    PlainResponse,
    PlainServer,
)

from .fakes_clock import in_virtual_time
from .session_world import SessionWorld
from .support import on_loop
from .test_platform_wire import CallerClient, with_listener

NAME_BYTES: Final = 16000
STATEMENTS: Final = 400
PRESSED_SECONDS: Final = 0.5
BUFFER_BYTES: Final = 256 * 1024
"""The high-water mark of a transport with one read of the event loop; far below what
the statements of a test come to."""


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the test's time limit ends the wait."""
    while not condition():
        await asyncio.sleep(0.01)


async def until_steady(value: Callable[[], int]) -> int:
    """Wait until a number does not change any more; return it."""
    last = -1
    while value() != last:
        last = value()
        await asyncio.sleep(PRESSED_SECONDS)
    return last


def unknown_name(number: int) -> bytes:
    """Return a statement whose answer quotes its long name."""
    return f"QUERY {number} EXECUTE {'n' * NAME_BYTES} item\r\n".encode()


def test_statements_of_a_caller_that_reads_no_answers_are_not_run() -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        assert await caller.send(b"START tickets u1\r\n") == "READY I -"
        protocol = cast(CallerProtocol, next(iter(callers.connections)))
        assert protocol.transport is not None
        transport = protocol.transport
        cast(asyncio.Transport, caller.writer.transport).pause_reading()
        statements = [unknown_name(number) for number in range(STATEMENTS)]
        caller.writer.write(b"".join(statements))
        await until(lambda: not protocol.output.open.is_set())
        await until_steady(lambda: len(protocol.lines))
        assert transport.get_write_buffer_size() < BUFFER_BYTES
        assert protocol.queued_characters < MAX_QUEUED_CHARACTERS + BUFFER_BYTES
        assert not transport.is_reading()
        cast(asyncio.Transport, caller.writer.transport).resume_reading()
        for _ in statements:
            assert (await caller.next()).startswith("ERROR UNKNOWN")
            assert await caller.next() == "READY I -"
        assert transport.is_reading() and not protocol.queued_characters

    with_listener(test)


def test_short_statements_are_bounded_by_their_number() -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        assert await caller.send(b"START tickets u1\r\n") == "READY I -"
        protocol = cast(CallerProtocol, next(iter(callers.connections)))
        protocol.lines.extend(["QUERY 1 SET a b"] * (MAX_QUEUED_STATEMENTS + 1))
        assert protocol.has_enough_input()
        protocol.lines.clear()
        assert not protocol.has_enough_input()

    with_listener(test)


def test_requests_of_a_client_that_reads_no_responses_are_not_handled() -> None:
    handled = 0

    async def handle(request: PlainRequest) -> PlainResponse:
        nonlocal handled
        handled += 1
        return PlainResponse(HTTPStatus.OK, b"x" * NAME_BYTES)

    async def test() -> None:
        server = PlainServer("test", handle, "127.0.0.1:0", 1 << 16, 60.0, 0.0)
        await server.start()
        host, port = split_address(server.address)
        _, writer = await asyncio.open_connection(host, port)
        cast(asyncio.Transport, writer.transport).pause_reading()
        await until(lambda: bool(server.connections))
        connection: PlainConnection = next(iter(server.connections))
        while connection.output.open.is_set():
            before = handled
            writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
            await until(lambda: handled > before or not connection.output.open.is_set())
        before = handled
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        await until(lambda: bool(connection.waiting))
        await asyncio.sleep(PRESSED_SECONDS)
        assert handled == before
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() < BUFFER_BYTES
        writer.transport.abort()
        await until(lambda: not server.connections)
        await server.stop()

    on_loop(test)()


@pytest.mark.parametrize("opens", [True, False])
@in_virtual_time
async def test_gate_holds_writers_back_for_a_limited_time(opens: bool) -> None:
    gate = OutputGate()
    assert await gate.passable(1.0)
    gate.open.clear()
    if opens:
        asyncio.get_running_loop().call_later(0.5, gate.open.set)
    assert await gate.passable(1.0) is opens
