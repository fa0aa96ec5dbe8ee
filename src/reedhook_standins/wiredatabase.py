"""The members of a `DatabaseGroup`, served over the platform's wire protocol."""

import asyncio
from typing import Final

from reedhook.connection.session_target import (
    SessionTargetReply,
    StatementFault,
    TargetQuery,
)
from reedhook.platform.line import LineError, LineReader, encode_line
from reedhook.platform.text import (
    FAULT_CODES,
    STATE_LETTERS,
    read_position,
    write_position,
)

from .database import DatabaseMember, DatabaseSession
from .listening import Listening

WORK: Final = 0.003
"""Seconds that a read, a write or a commit takes."""

POLL: Final = 0.05
"""Seconds between two checks whether a stopped target is back."""

AT_WORK: Final = ("READ", "WRITE", "EXECUTE", "COMMIT")
PLAIN_FIELDS: Final = 3
AFTER_FIELDS: Final = 5


class WireDatabase(Listening):
    """Serve one member on a port of its own."""

    def __init__(self, member: DatabaseMember) -> None:
        super().__init__()
        self.member = member

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        lines = LineReader()
        session = DatabaseSession(self.member)
        session.on_close = writer.close
        started = False
        try:
            while data := await reader.read(65536):
                for line in lines.feed(data):
                    while self.member.down:
                        await asyncio.sleep(POLL)
                    if self.member.delay:
                        await asyncio.sleep(self.member.delay)
                    if started:
                        writer.write(await self.query(session, line))
                    else:
                        started = self.start_session(line, session, writer)
        except (OSError, LineError):
            # The host disconnected; its open transaction is rolled back.
            pass
        finally:
            self.member.connections.discard(session)
            writer.close()

    def start_session(
        self, line: str, session: DatabaseSession, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer the first line; return whether the session may go on."""
        entry = self.member.entry
        _, service, _, target = line.split(" ")
        if (service, target) != (entry.service, entry.target):
            writer.write(encode_line("ERROR", "MISROUTED", entry.target))
            return False
        if len(self.member.connections) >= self.member.limit:
            writer.write(encode_line("ERROR", "OVERLOADED", entry.target))
            return False
        self.member.connections.add(session)
        writer.write(encode_line("READY", "I", write_position(self.member.position)))
        return True

    async def query(self, session: DatabaseSession, line: str) -> bytes:
        """Run one statement; return the lines of the answer."""
        fields = line.split(" ", PLAIN_FIELDS - 1)
        id, text, after = fields[1], fields[2], None
        if text.startswith("AFTER "):
            parts = line.split(" ", AFTER_FIELDS - 1)
            after, text = read_position(parts[3]), parts[4]
        if text == "STATUS":
            return self.status()
        if text.split(" ")[0] in AT_WORK:
            await asyncio.sleep(WORK)
        if session.closed:
            return b""
        reply = session.run(TargetQuery("" if id == "-" else id, text, after))
        await session.until_acknowledged()
        return self.worded(reply)

    def status(self) -> bytes:
        """Return the answer to a status request."""
        member = self.member
        position = write_position(member.position)
        role = "primary" if member.leads else "replica"
        row = f"{role} {member.term} {position} 0 0 0 {len(member.connections)}"
        return (
            encode_line("ROW", row)
            + encode_line("COMPLETE", "-")
            + encode_line("READY", "I", position)
        )

    def worded(self, reply: SessionTargetReply) -> bytes:
        """Encode an answer as lines."""
        if reply.fault is StatementFault.NONE:
            lines = b"".join(encode_line("ROW", row) for row in reply.rows)
            lines += encode_line("COMPLETE", reply.signature)
        else:
            code = FAULT_CODES[reply.fault]
            lines = encode_line("ERROR", code, self.member.entry.target)
        letter = STATE_LETTERS[reply.state]
        return lines + encode_line("READY", letter, write_position(reply.position))
