"""Commands that a caller sends in a session."""

from enum import Enum

from ..record import Record


class SessionCommandKind(str, Enum):
    """Enumerate the kinds of commands."""

    READ = "read"
    WRITE = "write"
    EXECUTE = "execute"
    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    PREPARE = "prepare"
    DEALLOCATE = "deallocate"
    MALFORMED = "malformed"


class SessionCommand(Record):
    """Carry one command.

    :param text: the text for the target, unchanged from the caller's.
    :param name: the name of the session setting or prepared statement.
    :param writes: whether the statement to be prepared writes.
    """

    __slots__ = ("kind", "text", "name", "writes")

    def __init__(
        self, kind: SessionCommandKind, text: str, name: str = "", writes: bool = False
    ) -> None:
        self.kind = kind
        self.text = text
        self.name = name
        self.writes = writes
