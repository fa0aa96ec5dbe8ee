"""The replicated log of a group, and the records in its entries."""

from collections.abc import Sequence
from typing import Any

from reedhook.record import Record
from reedhook.request.position import ORIGIN, Position


class LoggedStatement(Record):
    """Represent one statement with its parameters."""

    __slots__ = ("sql", "params")

    def __init__(self, sql: str, params: Sequence[Any]) -> None:
        self.sql = sql
        self.params = params


class Rows(Record):
    """Represent the result of a statement."""

    __slots__ = ("columns", "rows", "rowcount")

    def __init__(self, columns: list[str], rows: list[Any], rowcount: int) -> None:
        self.columns = columns
        self.rows = rows
        self.rowcount = rowcount


class RequestKey(Record):
    """Identify a request by its id and a digest of its content.

    :param issued: when the id was created, in milliseconds since the epoch, as encoded
        in the id.
    """

    __slots__ = ("request_id", "issued", "digest")

    def __init__(self, request_id: str, issued: int, digest: str) -> None:
        self.request_id = request_id
        self.issued = issued
        self.digest = digest


class LogEntry(Record):
    """Represent one log entry; the opening entry of a term has no changes.

    :param key: the request that caused it, if it has an id.
    :param result: the result returned to the request.
    :param written: when its primary wrote it, clock time in seconds.
    """

    __slots__ = ("position", "changes", "key", "result", "written")

    def __init__(
        self,
        position: Position,
        changes: tuple[LoggedStatement, ...],
        key: RequestKey | None,
        result: Rows,
        written: float,
    ) -> None:
        self.position = position
        self.changes = changes
        self.key = key
        self.result = result
        self.written = written


NO_ROWS = Rows([], [], 0)


class Log:
    """Store the durable entries of one member."""

    __slots__ = ("entries",)

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []

    @property
    def last(self) -> Position:
        """Return the position of the last entry."""
        return self.entries[-1].position if self.entries else ORIGIN

    def position_at(self, index: int) -> Position:
        """Return the position of entry `index`, counted from 1; 0 is the origin."""
        return self.entries[index - 1].position if index else ORIGIN

    def append(self, entry: LogEntry) -> None:
        """Append the entry that follows the last one."""
        assert entry.position.index == len(self.entries) + 1, entry.position
        self.entries.append(entry)

    def shared(self, other: "Log") -> int:
        """Return the length of the common prefix of both logs.

        Entries of one position are the same entry, and so are all before it, as only
        one member writes in a term.
        """
        count = min(len(self.entries), len(other.entries))
        while count and self.position_at(count) != other.position_at(count):
            count -= 1
        return count
