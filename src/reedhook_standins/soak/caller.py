"""Callers of the soak test, which check every answer."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from reedhook.address import split_address
from reedhook.platform.text import read_position
from reedhook.record import Record
from reedhook.request.position import Position
from reedhook.version.route_table import RouteConsistency

from ..promises import GuaranteeChecker, Sent, Viewer

PATIENCE: Final = 3.0
"""Seconds for an answer; must exceed a host's own statement limit of 0.8."""

SHORT_PAUSES: Final = (0.0, 0.05)
LONG_PAUSES: Final = (0.1, 0.8)
"""Pauses in transactions, in seconds; long ones span the end of a host."""

LONGEST_LINE: Final = 1 << 22
"""Bytes of one line of an answer: a read returns the whole log of its target."""

WITHOUT_TRACE: Final = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOADED"}
)
"""Errors that guarantee that the statement had no effect."""

ROUTES: Final = {
    "tickets": (RouteConsistency.PRIMARY, None),
    "views": (RouteConsistency.BOUNDED, 1.5),
    "reports": (RouteConsistency.OWN_WRITES, 2.5),
}
"""Consistency and maximum age in seconds of each database."""


class WireAnswer(Record):
    """Represent the answer to one statement.

    :param error: empty for a success.
    """

    __slots__ = ("rows", "signature", "error", "state", "position")

    def __init__(
        self,
        rows: list[str],
        signature: str,
        error: str,
        state: str,
        position: Position | None,
    ) -> None:
        self.rows = rows
        self.signature = signature
        self.error = error
        self.state = state
        self.position = position


class SessionEnded(Exception):
    """Report that the session has ended or does not answer."""


class WireCaller:
    """Run one session, and check each answer.

    :ivar done: statements that succeeded.
    :ivar pauses: shortest and longest pause in a transaction, in seconds.
    :ivar least_choice: excludes the first ones of the operations in `operate`.
    :ivar on_cut: called with the ID of a statement and when it was sent, if its
        connection ends without an answer.
    """

    def __init__(
        self, name: str, database: str, promises: GuaranteeChecker, random: Random
    ) -> None:
        self.name = name
        self.database = database
        self.promises = promises
        self.random = random
        self.sent = 0
        self.done = 0
        self.pauses = SHORT_PAUSES
        self.least_choice = 0.0
        self.on_cut: Callable[[str, float], None] = lambda id, sent_at: None
        self.writer: asyncio.StreamWriter | None = None
        self.state = "I"
        self.transaction = ""
        self.begun_at = 0.0
        self.writes: list[str] = []
        self.settings: dict[str, str] = {}
        self.prepared: dict[str, bool] = {}

    async def open(self, address: str) -> None:
        """Open the session.

        :raises SessionEnded: if that fails.
        """
        host, port = split_address(address)
        try:
            async with asyncio.timeout(PATIENCE):
                self.reader, self.writer = await asyncio.open_connection(
                    host, port, limit=LONGEST_LINE
                )
                self.writer.write(f"START {self.database} {self.name}\r\n".encode())
                line = await self.line()
        except (OSError, TimeoutError) as error:
            raise SessionEnded(repr(error)) from error
        if not line.startswith("READY"):
            raise SessionEnded(line)

    async def line(self) -> str:
        """Return the next line.

        :raises SessionEnded: if there is none.
        """
        data = await self.reader.readline()
        if not data.endswith(b"\r\n"):
            raise SessionEnded("the session was closed")
        return data.decode("latin-1").rstrip("\r\n")

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        if self.writer is not None:
            self.writer.close()

    async def ask(self, text: str) -> WireAnswer:
        """Send one statement and read its answer.

        :raises SessionEnded: if there is none in time.
        """
        self.sent += 1
        id = f"{self.name}-{self.sent}"
        self.promises.sent[id] = Sent(
            text, self.transaction, dict(self.settings), dict(self.prepared)
        )
        sent_at = self.promises.now()
        assert self.writer is not None
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        try:
            async with asyncio.timeout(PATIENCE):
                answer = await self.read_answer()
        except TimeoutError as error:
            raise SessionEnded(repr(error)) from error
        except (OSError, SessionEnded) as error:
            self.on_cut(id, sent_at)
            raise SessionEnded(repr(error)) from error
        self.state = answer.state
        self.judge(id, text, answer, sent_at)
        return answer

    async def read_answer(self) -> WireAnswer:
        """Read the lines of one answer."""
        rows, signature, error = [], "", ""
        while True:
            word, _, content = (await self.line()).partition(" ")
            if word == "ROW":
                rows.append(content)
            elif word == "COMPLETE":
                signature = content
            elif word == "ERROR":
                error = content.partition(" ")[0]
            else:
                state, _, position = content.partition(" ")
                return WireAnswer(
                    rows, signature, error, state, read_position(position)
                )

    def judge(self, id: str, text: str, answer: WireAnswer, asked: float) -> None:
        """Check an answer against the guarantees."""
        word = text.split(" ")[0]
        writes = self.writes_by(word, text)
        if answer.error:
            if answer.error in WITHOUT_TRACE:
                lost = [id] if writes else []
                self.promises.promise(self.name, lost + self.writes)
            return
        self.done += 1
        if word == "BEGIN":
            self.begun_at = asked
        if writes and self.transaction:
            self.writes.append(id)
        elif writes or (word == "COMMIT" and self.writes):
            assert answer.position is not None
            self.promises.acknowledge(self.name, answer.position, self.name)
        if word == "READ" or (word == "EXECUTE" and not writes):
            self.judge_read(id, answer, self.begun_at if self.transaction else asked)

    def writes_by(self, word: str, text: str) -> bool:
        """Return whether a statement writes."""
        if word == "EXECUTE":
            return self.prepared.get(text.split(" ")[1], False)
        return word == "WRITE"

    def judge_read(self, id: str, answer: WireAnswer, asked: float) -> None:
        """Check the result of a read."""
        if not answer.rows or not answer.signature.startswith("mac"):
            self.promises.broken(f"{id} succeeded without rows or signature")
            return
        kind, max_age = ROUTES[self.database]
        viewer = Viewer(
            self.name, self.name, kind, max_age, self.settings, self.prepared
        )
        self.promises.read(viewer, answer.rows[0], asked)

    # Operations

    async def operate(self) -> None:
        """Run a few operations.

        :raises SessionEnded: if the session ends before.
        """
        if self.random.random() < 0.4:
            await self.set("v", str(self.random.random()))
        if self.random.random() < 0.4 and not self.prepared:
            await self.prepare("s", self.random.random() < 0.5)
        for _ in range(self.random.randint(1, 4)):
            choice = self.random.uniform(self.least_choice, 1.0)
            if choice < 0.4:
                await self.ask("READ a")
            elif choice < 0.6:
                await self.ask("WRITE a b")
            elif choice < 0.7 and self.prepared:
                await self.ask("EXECUTE s a b")
            else:
                await self.transact()
            if self.state != "I":
                raise SessionEnded("an operation ended outside of idle")

    async def set(self, name: str, value: str) -> None:
        """Set a session variable."""
        answer = await self.ask(f"SET {name} {value}")
        if answer.error:
            raise SessionEnded(answer.error)
        self.settings[name] = value

    async def prepare(self, name: str, writes: bool) -> None:
        """Prepare a statement."""
        answer = await self.ask(f"PREPARE {name} {'WRITE' if writes else 'READ'} q")
        if answer.error:
            raise SessionEnded(answer.error)
        self.prepared[name] = writes

    async def transact(self) -> None:
        """Run a transaction of a few statements."""
        reads_only = self.random.random() < 0.3
        if (await self.ask("BEGIN READ" if reads_only else "BEGIN")).error:
            return
        self.transaction = f"{self.name}.{self.sent}"
        try:
            if await self.steps(reads_only):
                end = "ROLLBACK" if self.random.random() < 0.2 else "COMMIT"
                await self.ask(end)
            else:
                await self.ask("ROLLBACK")
        finally:
            self.transaction, self.writes = "", []

    async def steps(self, reads_only: bool) -> bool:
        """Run the statements of a transaction; return whether all succeeded."""
        for _ in range(self.random.randint(1, 4)):
            reads = reads_only or self.random.random() < 0.5
            if (await self.ask("READ a" if reads else "WRITE a b")).error:
                return False
            await asyncio.sleep(self.random.uniform(*self.pauses))
        return True
