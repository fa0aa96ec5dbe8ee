"""Parsing of callers' statements and formatting of statements for targets."""

from typing import Final

from ..connection.session_state import SessionState
from ..connection.session_target import StatementFault
from ..request.position import Position
from ..request.session_command import SessionCommand, SessionCommandKind

NONE: Final = "-"
"""Placeholder for a missing id, position or signature."""

BEGIN: Final = "BEGIN"
BEGIN_READ: Final = "BEGIN READ"
ROLLBACK: Final = "ROLLBACK"
RESET: Final = "RESET"
STATUS: Final = "STATUS"

FIELDLESS_COMMANDS: Final = {
    BEGIN: SessionCommandKind.BEGIN,
    BEGIN_READ: SessionCommandKind.BEGIN_READ,
    "COMMIT": SessionCommandKind.COMMIT,
    ROLLBACK: SessionCommandKind.ROLLBACK,
}
STATE_LETTERS: Final = {
    SessionState.IDLE: "I",
    SessionState.OPEN: "T",
    SessionState.FAILED: "E",
}
STATES: Final = {letter: state for state, letter in STATE_LETTERS.items()}

FAULT_CODES: Final = {
    StatementFault.BUSY: "BUSY",
    StatementFault.UNKNOWN_NAME: "UNKNOWN",
    StatementFault.LAGGING: "LAGGING",
    StatementFault.READ_ONLY: "READONLY",
    StatementFault.ABORTED: "ABORTED",
    StatementFault.MALFORMED: "MALFORMED",
    StatementFault.FAILED: "FAILED",
    StatementFault.TIMEOUT: "TIMEOUT",
}
"""Error codes of the line protocol."""

FAULTS: Final = {code: fault for fault, code in FAULT_CODES.items()}

IS_WRITE_BY_WORD: Final = {"READ": False, "WRITE": True}


def read_command(text: str) -> SessionCommand:
    """Parse a statement; an unknown one becomes a `MALFORMED` command."""
    kind = FIELDLESS_COMMANDS.get(text)
    if kind is not None:
        return SessionCommand(kind, text)
    word, _, rest = text.partition(" ")
    fields = rest.split(" ")
    if not all(fields):
        return SessionCommand(SessionCommandKind.MALFORMED, text)
    return read_fields(text, word, fields)


def read_fields(text: str, word: str, fields: list[str]) -> SessionCommand:
    """Parse a statement that consists of `word` and `fields`."""
    count = len(fields)
    if word == "READ" and count == 1:
        return SessionCommand(SessionCommandKind.READ, text)
    if word == "WRITE" and count >= 2:
        return SessionCommand(SessionCommandKind.WRITE, text)
    if word == "EXECUTE" and count >= 2:
        return SessionCommand(SessionCommandKind.EXECUTE, text, fields[0])
    if word == "SET" and count >= 2:
        return SessionCommand(SessionCommandKind.SET, text, fields[0])
    if word == "PREPARE" and count >= 3 and fields[1] in IS_WRITE_BY_WORD:
        return SessionCommand(
            SessionCommandKind.PREPARE, text, fields[0], IS_WRITE_BY_WORD[fields[1]]
        )
    if word == "DEALLOCATE" and count == 1:
        return SessionCommand(SessionCommandKind.DEALLOCATE, text, fields[0])
    return SessionCommand(SessionCommandKind.MALFORMED, text)


def after(position: Position, text: str) -> str:
    """Return `text` with the condition that the target's log holds `position`."""
    return f"AFTER {write_position(position)} {text}"


def deallocate(name: str) -> str:
    """Return the statement that drops a prepared statement."""
    return f"DEALLOCATE {name}"


def demote(term: int) -> str:
    """Return the statement that demotes a primary of a term below `term`."""
    return f"DEMOTE {term}"


def read_position(field: str) -> Position | None:
    """Parse a position; return None for the placeholder.

    :raises ValueError: if the field is malformed.
    """
    if field == NONE:
        return None
    term, _, number = field.partition(".")
    return Position(int(term), int(number))


def write_position(position: Position | None) -> str:
    """Format a position, or the placeholder for None."""
    return NONE if position is None else f"{position.term}.{position.index}"
