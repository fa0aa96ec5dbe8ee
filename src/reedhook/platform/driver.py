"""Connections to targets over the platform's line protocol."""

import asyncio
from typing import Final, cast

from ..connection.session_state import SessionState
from ..connection.session_target import (
    SessionTargetConnection,
    SessionTargetDriver,
    SessionTargetFullError,
    SessionTargetNoReplyError,
    SessionTargetReply,
    SessionTargetStatus,
    SessionTargetUnreachableError,
    StatementDialect,
    StatementFault,
    TargetQuery,
    WrongTargetError,
)
from ..connection.transport_reset import reset_transport
from ..request.position import ORIGIN, Position
from ..version.route_table import TargetAnnouncement
from . import text
from .line import LineError, LineReader, encode_line

STATUS_FIELDS: Final = 7
REFUSAL_ERRORS: Final = {
    "OVERLOADED": SessionTargetFullError,
    "MISROUTED": WrongTargetError,
}


class WireConnection(asyncio.Protocol, SessionTargetConnection):
    """Exchange pipelined queries and replies with one target."""

    def __init__(self) -> None:
        self.closed = False
        self.initial_position: Position | None = None
        self.reader = LineReader()
        self.transport: asyncio.Transport | None = None
        self.replies: list[SessionTargetReply] = []
        self.expected_replies = 0
        self.exchange_done: asyncio.Future[None] | None = None
        self.refusal = ""
        self.reset_reply()

    def reset_reply(self) -> None:
        """Discard the partial reply."""
        self.rows: list[str] = []
        self.signature = ""
        self.code = ""
        self.detail = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse replies; called by the event loop."""
        try:
            for line in self.reader.feed(data):
                self.parse_line(line)
        except (LineError, ValueError):
            # The outcome is unknown after a malformed reply; closing makes the
            # pending exchange raise.
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending exchange; called by the event loop."""
        self.closed = True
        self.wake()

    def parse_line(self, line: str) -> None:
        """Add one line to the current reply.

        :raises ValueError: if the line is malformed.
        """
        word, _, rest = line.partition(" ")
        if word == "ROW":
            self.rows.append(rest)
        elif word == "COMPLETE":
            self.signature = rest
        elif word == "ERROR":
            self.code, _, self.detail = rest.partition(" ")
        elif word == "READY":
            state, _, position = rest.partition(" ")
            if state not in text.STATES:
                raise ValueError(f"unknown state {state!r}")
            self.complete_reply(text.STATES[state], text.read_position(position))
        else:
            raise ValueError(f"unknown word {word!r}")

    def complete_reply(self, state: SessionState, position: Position | None) -> None:
        """Append the current reply, and wake the exchange after the last one."""
        fault = StatementFault.NONE
        if self.code:
            fault = text.FAULTS.get(self.code, StatementFault.FAILED)
        reply = SessionTargetReply(
            self.rows, self.signature, fault, self.detail, state, position
        )
        self.refusal = self.code
        self.reset_reply()
        self.replies.append(reply)
        if len(self.replies) >= self.expected_replies:
            self.wake()

    def wake(self) -> None:
        """Wake the pending exchange."""
        if self.exchange_done is not None and not self.exchange_done.done():
            self.exchange_done.set_result(None)

    async def exchange(
        self, queries: list[TargetQuery], timeout: float
    ) -> list[SessionTargetReply]:
        lines = [
            encode_line("QUERY", query.id or text.NONE, query_text(query))
            for query in queries
        ]
        return await self.send(b"".join(lines), len(queries), timeout)

    async def send(
        self, data: bytes, count: int, timeout: float
    ) -> list[SessionTargetReply]:
        """Send bytes and return `count` replies; raises the errors of `exchange`."""
        if self.closed or self.transport is None:
            raise SessionTargetNoReplyError("the connection is closed")
        self.replies = []
        self.expected_replies = count
        self.exchange_done = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        try:
            async with asyncio.timeout(timeout):
                await self.exchange_done
        except TimeoutError:
            self.close()
            raise SessionTargetNoReplyError("timed out waiting for a reply") from None
        except asyncio.CancelledError:
            self.close()
            raise
        if len(self.replies) < count:
            self.close()
            raise SessionTargetNoReplyError(
                "the connection closed before the reply was complete"
            )
        return self.replies

    async def status(self, timeout: float) -> SessionTargetStatus:
        (reply,) = await self.exchange([TargetQuery("", text.STATUS)], timeout)
        if reply.fault is not StatementFault.NONE or not reply.rows:
            raise SessionTargetNoReplyError(
                f"the status query failed: {reply.fault.value}"
            )
        return read_status(reply.rows[0])

    def close(self) -> None:
        self.closed = True
        if self.exchange_done is not None and len(self.replies) < self.expected_replies:
            reset_transport(self.transport)
        elif self.transport is not None:
            self.transport.abort()
        self.wake()


class WireDriver(SessionTargetDriver):
    """Open connections over TCP.

    :param host: this host's id, sent to targets as the caller if there is no workspace.
    """

    def __init__(self, host: str) -> None:
        self.host = host

    async def connect(
        self, entry: TargetAnnouncement, timeout: float, workspace: str = ""
    ) -> SessionTargetConnection:
        host, _, port = entry.address.rpartition(":")
        loop = asyncio.get_running_loop()
        connection = WireConnection()
        try:
            async with asyncio.timeout(timeout):
                await loop.create_connection(lambda: connection, host, int(port))
                caller = workspace or self.host
                start = encode_line("START", entry.service, caller, entry.target)
                (reply,) = await connection.send(start, 1, timeout)
                connection.initial_position = reply.position
        except (TimeoutError, OSError, SessionTargetNoReplyError) as error:
            connection.close()
            # A target refuses START with an ERROR line without READY, then closes.
            error_type = REFUSAL_ERRORS.get(
                connection.code, SessionTargetUnreachableError
            )
            raise error_type(f"{entry.target}: {connection.code or error}") from error
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.refusal:
            connection.close()
            error_type = REFUSAL_ERRORS.get(
                connection.refusal, SessionTargetUnreachableError
            )
            raise error_type(f"{entry.target}: {connection.refusal}")
        return connection


class WirePhrases(StatementDialect):
    """Format statements for the line protocol."""

    def begin(self, read_only: bool) -> str:
        return text.BEGIN_READ if read_only else text.BEGIN

    def rollback(self) -> str:
        return text.ROLLBACK

    def reset(self) -> str:
        return text.RESET

    def deallocate(self, name: str) -> str:
        return text.deallocate(name)

    def demote(self, term: int) -> str:
        return text.demote(term)


def query_text(query: TargetQuery) -> str:
    """Return the text of a query, prefixed with its minimum position if it has one."""
    if query.min_position is None:
        return query.text
    return text.after(query.min_position, query.text)


def read_status(row: str) -> SessionTargetStatus:
    """Parse a row of role, term, received, term held, lag, busy, connections.

    :raises SessionTargetNoReplyError: if the row is malformed.
    """
    fields = row.split(" ")
    try:
        role, term, received = fields[:3]
        connections = int(fields[STATUS_FIELDS - 1])
        position = text.read_position(received) or ORIGIN
        return SessionTargetStatus(role == "primary", int(term), position, connections)
    except (LookupError, ValueError) as error:
        raise SessionTargetNoReplyError(f"malformed status: {row!r}") from error
