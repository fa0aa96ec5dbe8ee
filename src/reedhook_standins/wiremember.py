"""A minimal target of the platform's wire protocol, for tests of the adapter."""

import asyncio

from .listening import Listening


class WireMemberStandIn(Listening):
    """Answer each line from a table, and record the lines received.

    :param answers: bytes sent for a text; others get the answer of a read.
    :ivar asked: lines received, over all connections.
    :ivar silent: whether lines get no answer.
    """

    def __init__(self, answers: dict[str, bytes] | None = None) -> None:
        super().__init__()
        self.answers = answers or {}
        self.asked: list[str] = []
        self.silent = False
        self.start_answer = b"READY I 3.7\r\n"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        while line := await reader.readline():
            text = line.decode("latin-1").rstrip("\r\n")
            self.asked.append(text)
            if self.silent:
                continue
            writer.write(self.answer(text))
            if text.startswith("START") and not self.start_answer.startswith(b"READY"):
                break
        writer.close()

    def answer(self, text: str) -> bytes:
        """Return the answer to a line."""
        if text.startswith("START"):
            return self.start_answer
        _, _, query = text.split(" ", 2)
        if query in self.answers:
            return self.answers[query]
        return b"ROW a b\r\nCOMPLETE mac\r\nREADY I 3.8\r\n"
