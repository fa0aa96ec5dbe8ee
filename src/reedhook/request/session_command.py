"""What a caller asks for with one statement of its session."""

from enum import Enum

from ..record import Record


class SessionCommandKind(str, Enum):
    """Name what a command does."""

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

    :param text: what a target is sent, to the letter as the caller sent it.
    :param name: of the session value or prepared statement it is about.
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
