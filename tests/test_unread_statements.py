"""Closing of sessions whose caller has sent a statement that was not read yet.

Guards against statements that a stopping host cuts, unread, after its event loop was
stalled: due timers run before the sockets are read.
"""

import asyncio
from http import HTTPStatus
from typing import cast

import pytest

from reedhook.address import split_address
from reedhook.connection.session import Session, SessionReply
from reedhook.platform.caller_listener import CallerProtocol
from reedhook.process.caller_sessions import CallerSessions
from reedhook.process.network.plain_server import (
    PlainRequest,
    PlainResponse,
    PlainServer,
)
from reedhook.request.session_command import SessionCommand

from .session_world import SessionWorld
from .support import on_loop
from .test_platform_wire import CallerClient, with_listener


async def open_quiet(callers: CallerSessions, caller: CallerClient) -> CallerProtocol:
    """Open a session whose time for a statement in transit has passed."""
    assert await caller.send(b"START tickets u1\r\n") == "READY I -"
    (connection,) = callers.connections
    protocol = cast(CallerProtocol, connection)
    protocol.quiet_at = 0.0
    return protocol


@pytest.mark.parametrize("statement", [b"QUERY 1 SET a b\r\n", b"QUERY 1 SE"])
def test_session_with_unread_bytes_is_not_closed(statement: bytes) -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        protocol = await open_quiet(callers, caller)
        caller.writer.write(statement)
        # The loop has no chance to read before this.
        callers.close_idle(callers.connections)
        assert protocol in callers.connections
        while not protocol.input_event.is_set() and not protocol.reader.rest:
            await asyncio.sleep(0)
        callers.close_idle(callers.connections)
        rest = b"QUERY 1 SET a b\r\n".removeprefix(statement)
        assert await caller.send(rest) == "COMPLETE -"
        assert await caller.next() == "READY I -"

    with_listener(test)


def test_session_without_unread_bytes_is_closed() -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        await open_quiet(callers, caller)
        callers.close_idle(callers.connections)
        assert await caller.next() == ""

    with_listener(test)


class AskingSession(Session):
    """Have the caller send another statement while one runs."""

    caller: CallerClient
    second: bytes

    async def run(self, id: str, command: SessionCommand) -> SessionReply:
        second, self.second = self.second, b""
        self.caller.writer.write(second)
        return await super().run(id, command)


def test_due_session_answers_a_statement_that_arrives_with_its_last_answer() -> None:
    """Guards against a reset that discards the answer as well."""

    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        protocol = await open_quiet(callers, caller)
        assert protocol.session is not None
        protocol.session.__class__ = AskingSession
        session = cast(AskingSession, protocol.session)
        session.caller, session.second = caller, b"QUERY 2 SET c d\r\n"
        callers.drain_schedule.start(6.0)
        protocol.close_at = 0.0
        assert await caller.send(b"QUERY 1 SET a b\r\n") == "COMPLETE -"
        assert await caller.next() == "READY I -"
        assert (await caller.next()).startswith("ERROR BUSY retry_after_ms=")
        assert await caller.next() == "READY I -"
        assert await caller.next() == ""

    with_listener(test)


async def answer_empty(request: PlainRequest) -> PlainResponse:
    """Answer a request of another host."""
    return PlainResponse(HTTPStatus.OK)


@on_loop
async def test_idle_connection_with_an_unread_request_is_not_closed() -> None:
    """Guards against the same cut of a statement that another host forwards."""
    server = PlainServer("peer", answer_empty, "127.0.0.1:0", 1000, 60.0, 0.0)
    await server.start()
    reader, writer = await asyncio.open_connection(*split_address(server.address))
    while not server.connections:
        await asyncio.sleep(0)
    (connection,) = server.connections
    writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    connection.close_idle()
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    writer.close()
    await server.stop()
