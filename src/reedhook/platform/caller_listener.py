"""The callers' end of the platform's wire."""

import asyncio
from collections import deque
from typing import Final, cast

from ..address import split_address
from ..connection.session import Session, SessionReply
from ..connection.session_state import SessionState
from ..connection.session_target import StatementFault
from ..process.caller_sessions import CallerConnection, CallerSessions
from ..request.refusal import RefusalError, RefusalReason
from ..request.verdict import Verdict
from . import text
from .line import ENCODING, LineError, LineReader, encode_line

MAX_QUEUED_STATEMENTS: Final = 32
"""Statements that may wait in a session before its connection is read on; a
caller waits for its answers, so that more are a mistake of its."""

BACKLOG: Final = 512
"""New connections that may wait to be accepted, such as after a restart."""

IDLE_GRACE_SECONDS: Final = 0.03
"""Seconds of rest before a session is closed as the host ends: a statement that
was sent just then is likely to have arrived."""

IN_DOUBT_CODE: Final = "INDOUBT"
NOT_RUN_CODE: Final = "BUSY"
REASON_CODES: Final = {
    RefusalReason.BAD_REQUEST: "MALFORMED",
    RefusalReason.UNKNOWN_NAME: "UNKNOWN",
    RefusalReason.UNKNOWN_GROUP: "NODATABASE",
    RefusalReason.TRANSACTION_LOST: "ABORTED",
    RefusalReason.TARGET_LOST: "ABORTED",
    RefusalReason.OVERLOADED: "OVERLOADED",
    RefusalReason.DEADLINE: "OVERLOADED",
    RefusalReason.RATE_LIMITED: "OVERLOADED",
    RefusalReason.UNAUTHENTICATED: "DENIED",
}


class CallerProtocol(asyncio.Protocol, CallerConnection):
    """Serve one caller, one statement after the other."""

    def __init__(self, callers: CallerSessions) -> None:
        self.callers = callers
        self.reader = LineReader()
        self.lines: deque[str] = deque()
        self.input_event = asyncio.Event()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.session: Session | None = None
        self.serving = False
        self.ended = False
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)
        self.callers.connections.add(self)
        self.idle_since = self.callers.clock.monotonic()
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Cut what arrives into lines; called by the loop."""
        if self.ended:
            return
        try:
            self.lines.extend(self.reader.feed(data))
        except LineError as error:
            self.lines.append("")
            self.callers.decisions.record("malformed_line", error=str(error))
        self.input_event.set()
        if len(self.lines) > MAX_QUEUED_STATEMENTS and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """End the session as the caller does; called by the loop."""
        self.ended = True
        self.input_event.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the caller; called by the loop."""
        self.ended = True
        self.callers.connections.discard(self)
        self.input_event.set()
        if self.session is not None and not self.serving:
            self.session.close()

    async def serve(self) -> None:
        """Open the session and answer its statements in their order."""
        try:
            async with asyncio.timeout(self.callers.announcements.table.start_timeout):
                line = await self.next_line()
        except TimeoutError:
            self.close()
            return
        if line is not None and await self.start(line):
            await self.answer_all()
        if self.session is not None:
            self.session.close()
        self.close()

    async def next_line(self) -> str | None:
        """Return the next line, or None once the caller has ended."""
        while not self.lines:
            if self.ended:
                return None
            self.input_event.clear()
            await self.input_event.wait()
        if len(self.lines) == MAX_QUEUED_STATEMENTS and self.transport is not None:
            self.transport.resume_reading()
        return self.lines.popleft()

    async def start(self, line: str) -> bool:
        """Open the session that the first line asks for; say whether it is.

        The key stands behind the database; it goes no further than to its digest.
        """
        fields = line.split(" ", 2)
        if fields[0] != "START" or len(fields) < 2 or not fields[1]:
            self.write(encode_line("ERROR", "MALFORMED", "START is expected"))
            return False
        self.serving = True
        try:
            key = read_key(fields[2]) if len(fields) > 2 else ""
            self.session = await self.callers.open_session(fields[1], key)
        except RefusalError as refusal:
            self.write(encode_line("ERROR", *refusal_fields(refusal)))
            return False
        finally:
            self.serving = False
        self.write(
            encode_line("READY", text.STATE_LETTERS[SessionState.IDLE], text.NONE)
        )
        self.mark_idle()
        return True

    async def answer_all(self) -> None:
        """Answer statements until the session ends."""
        assert self.session is not None
        while True:
            line = await self.next_line()
            if line is None or line == "TERMINATE":
                return
            word, _, rest = line.partition(" ")
            id, _, statement = rest.partition(" ")
            if word != "QUERY" or not id or not statement:
                self.write(encode_line("ERROR", "MALFORMED", "QUERY is expected"))
                return
            self.serving = True
            reply = await self.session.run(id, text.read_command(statement))
            self.serving = False
            self.write(encode_reply(reply))
            if reply.ends:
                return
            self.mark_idle()

    def mark_idle(self) -> None:
        """Note that nothing is owed now; a host that ends says good-bye."""
        self.idle_since = self.callers.clock.monotonic()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the caller is gone."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def is_idle(self) -> bool:
        if self.serving or self.lines:
            return False
        if self.callers.clock.monotonic() - self.idle_since < IDLE_GRACE_SECONDS:
            return False
        return self.session is None or self.session.state is SessionState.IDLE

    def close(self) -> None:
        self.ended = True
        self.input_event.set()
        if self.transport is not None:
            self.transport.close()

    def is_access_revoked(self) -> bool:
        return self.session is not None and self.session.is_denied()

    def abort_transaction(self, cause: str) -> None:
        if self.session is not None and not self.serving:
            self.session.abort(cause)


class CallerListener:
    """Listen for callers.

    :param address: ``IP:port``; port 0 takes a free one.
    """

    def __init__(self, callers: CallerSessions, address: str) -> None:
        self.callers = callers
        self.address = address
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        :raises OSError: if the address cannot be had.
        """
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerProtocol(self.callers), host, port, backlog=BACKLOG
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Accept nobody any more."""
        if self.server is not None:
            self.server.close()


def read_key(field: str) -> str:
    """Return a key as configurations state it; bytes that are no text stay apart."""
    return field.encode(ENCODING).decode("utf-8", "surrogateescape")


def encode_reply(reply: SessionReply) -> bytes:
    """Return the bytes of an answer."""
    state = encode_line(
        "READY", text.STATE_LETTERS[reply.state], text.write_position(reply.position)
    )
    if reply.refusal is not None:
        return encode_line("ERROR", *refusal_fields(reply.refusal)) + state
    if reply.fault is not StatementFault.NONE:
        return encode_line("ERROR", text.FAULT_CODES[reply.fault], reply.detail) + state
    rows = b"".join(encode_line("ROW", row) for row in reply.rows)
    return rows + encode_line("COMPLETE", reply.signature or text.NONE) + state


def refusal_fields(refusal: RefusalError) -> tuple[str, str]:
    """Return the code of a refusal, and its text with when to come back."""
    detail = refusal.detail
    if refusal.retry_after_ms is not None:
        detail = f"retry_after_ms={refusal.retry_after_ms} {detail}"
    detail = detail.encode(ENCODING, "replace").decode(ENCODING)
    if refusal.verdict is Verdict.MAY_HAVE_RUN:
        return IN_DOUBT_CODE, detail
    return REASON_CODES.get(refusal.reason, NOT_RUN_CODE), detail
