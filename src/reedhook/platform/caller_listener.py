"""Server of the platform's line protocol for callers."""

import asyncio
from collections import deque
from typing import Final, cast

from ..address import split_address
from ..connection.output_gate import GatedProtocol
from ..connection.session import Session, SessionReply
from ..connection.session_state import SessionState
from ..connection.session_target import StatementFault
from ..connection.unread_input import has_unread_input
from ..process.caller_sessions import HOST_ENDS, CallerConnection, CallerSessions
from ..process.drain_schedule import stopping_refusal
from ..request.caller_presence import PRESENCE, CallerPresence
from ..request.refusal import RefusalError, RefusalReason
from ..request.verdict import Verdict
from . import text
from .line import ENCODING, LineError, LineReader, encode_line

MAX_QUEUED_STATEMENTS: Final = 32
"""Pipelined lines of a session beyond which reading from its connection pauses."""

MAX_QUEUED_CHARACTERS: Final = 1 << 16
"""The same for their characters, which are one byte each on the connection."""

UNREAD_TIMEOUT_SECONDS: Final = 30.0
"""Time after which a connection is closed whose caller reads no answers."""

BACKLOG: Final = 512
"""Connections that may wait to be accepted, such as after a restart."""

IDLE_GRACE_SECONDS: Final = 0.03
"""Idle time before a draining host closes a session, so that a statement already
in transit arrives first."""

OPENING_GRACE_SECONDS: Final = 0.2
"""The same before the first line and the first statement of a session, which its
caller sends at once."""

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


class CallerProtocol(GatedProtocol, CallerConnection):
    """Serve one caller and run its statements one at a time.

    No statement runs while the caller does not read the answers to earlier ones, and
    none is read from the connection while enough wait.

    :ivar queued_characters: total length of `lines`.
    :ivar pipelined: received statements that still run before a session closes that
        is due; None while it is not due.
    :ivar refusing: whether this session refuses all further statements. None may run
        after a refused one, which it may depend on.
    """

    def __init__(self, callers: CallerSessions) -> None:
        super().__init__()
        self.callers = callers
        self.reader = LineReader()
        self.lines: deque[str] = deque()
        self.queued_characters = 0
        self.input_event = asyncio.Event()
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.session: Session | None = None
        self.serving = False
        self.ended = False
        self.pipelined: int | None = None
        self.refusing = False
        self.quiet_at = 0.0
        self.presence = CallerPresence()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        self.callers.connections.add(self)
        self.mark_idle(OPENING_GRACE_SECONDS)
        self.close_at = self.callers.drain_schedule.closing_time()
        self.task = asyncio.get_running_loop().create_task(self.serve())

    def data_received(self, data: bytes) -> None:
        """Split received bytes into lines; called by the event loop."""
        if self.ended:
            return
        try:
            for line in self.reader.feed(data):
                self.lines.append(line)
                self.queued_characters += len(line)
        except LineError as error:
            self.lines.append("")
            self.callers.decisions.record("malformed_line", error=str(error))
        self.input_event.set()
        if self.has_enough_input() and self.transport is not None:
            self.transport.pause_reading()

    def has_enough_input(self) -> bool:
        """Return whether no more statements are to be read for now."""
        return (
            len(self.lines) > MAX_QUEUED_STATEMENTS
            or self.queued_characters > MAX_QUEUED_CHARACTERS
        )

    def eof_received(self) -> bool:
        """End the session after the caller has ended; called by the event loop."""
        self.ended = True
        self.input_event.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection; called by the event loop."""
        super().connection_lost(exc)
        self.ended = True
        self.callers.connections.discard(self)
        self.input_event.set()
        self.presence.leave()
        if self.session is not None and not self.serving:
            self.session.close()

    async def serve(self) -> None:
        """Open the session and answer its statements in order."""
        PRESENCE.set(self.presence)
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
        """Return the next line, or None after the caller has disconnected."""
        while not self.lines:
            if self.ended:
                return None
            self.input_event.clear()
            await self.input_event.wait()
        paused = self.has_enough_input()
        line = self.lines.popleft()
        self.queued_characters -= len(line)
        if paused and not self.has_enough_input() and self.transport is not None:
            self.transport.resume_reading()
        return line

    async def start(self, line: str) -> bool:
        """Open the session that the first line requests; return whether it is open.

        The key follows the database name; only its digest is kept.
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
        self.mark_idle(OPENING_GRACE_SECONDS)
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
            reply = await self.answer(self.session, id, statement)
            self.write(encode_reply(reply))
            if reply.ends or self.closes_now(self.session):
                return
            if not await self.output.passable(UNREAD_TIMEOUT_SECONDS):
                self.abort_unread()
                return
            self.mark_idle(IDLE_GRACE_SECONDS)

    def abort_unread(self) -> None:
        """Abort the connection of a caller that does not read."""
        self.callers.decisions.record("answers_unread", queued=len(self.lines))
        if self.transport is not None:
            self.transport.abort()

    async def answer(self, session: Session, id: str, statement: str) -> SessionReply:
        """Run a statement, or refuse it if the session is about to close."""
        command = text.read_command(statement)
        if self.refusing or self.pipelined == 0 and session.state is SessionState.IDLE:
            self.refusing = True
            return session.refuse(id, command, stopping_refusal())
        if self.pipelined:
            self.pipelined -= 1
        self.serving = True
        reply = await session.run(id, command)
        self.serving = False
        refusal = reply.refusal
        if refusal is not None and refusal.reason is RefusalReason.DRAINING:
            self.refusing = True
        if self.callers.drain_schedule.are_transactions_over():
            session.abort(HOST_ENDS)
        return reply

    def closes_now(self, session: Session) -> bool:
        """Return whether a session that is due closes with the answer just sent.

        Statements that were received before it was due run first.
        """
        if not self.refusing and self.callers.clock.monotonic() < self.close_at:
            return False
        if self.pipelined is None:
            self.pipelined = len(self.lines)
        if self.lines or has_unread_input(self.transport):
            return False
        return session.state is SessionState.IDLE

    def mark_idle(self, grace: float) -> None:
        """Record that no statement is in progress.

        :param grace: seconds until a statement in transit has arrived.
        """
        self.quiet_at = self.callers.clock.monotonic() + grace

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def is_quiet(self) -> bool:
        if self.serving or self.lines or self.reader.rest:
            return False
        if self.callers.clock.monotonic() < self.quiet_at:
            return False
        return not has_unread_input(self.transport)

    def is_idle(self) -> bool:
        if not self.is_quiet():
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
    """Accept connections of callers.

    :param address: ``IP:port``; port 0 takes a free one.
    """

    def __init__(self, callers: CallerSessions, address: str) -> None:
        self.callers = callers
        self.address = address
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind the address and accept connections.

        :raises OSError: if the address cannot be bound.
        """
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerProtocol(self.callers), host, port, backlog=BACKLOG
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()


def read_key(field: str) -> str:
    """Decode a key from UTF-8, as in configurations; keep invalid bytes distinct."""
    return field.encode(ENCODING).decode("utf-8", "surrogateescape")


def encode_reply(reply: SessionReply) -> bytes:
    """Return the lines of a reply."""
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
    """Return the code of a refusal, and its detail with the retry delay."""
    detail = refusal.detail
    if refusal.retry_after_ms is not None:
        detail = f"retry_after_ms={refusal.retry_after_ms} {detail}"
    detail = detail.encode(ENCODING, "replace").decode(ENCODING)
    if refusal.verdict is Verdict.MAY_HAVE_RUN:
        return IN_DOUBT_CODE, detail
    return REASON_CODES.get(refusal.reason, NOT_RUN_CODE), detail
