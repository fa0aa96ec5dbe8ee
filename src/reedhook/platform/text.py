"""Texts of statements, read into commands and written for targets."""

from typing import Final

from ..connection.session_state import SessionState
from ..connection.session_target import StatementFault
from ..request.position import Position
from ..request.session_command import SessionCommand, SessionCommandKind

NONE: Final = "-"
"""Stands where there is no id, no position or no signature."""

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
"""Codes of targets' errors."""

FAULTS: Final = {code: fault for fault, code in FAULT_CODES.items()}

IS_WRITE_BY_WORD: Final = {"READ": False, "WRITE": True}


def read_command(text: str) -> SessionCommand:
    """Return what `text` asks for; what is unknown is `MALFORMED`."""
    whole = FIELDLESS_COMMANDS.get(text)
    if whole is not None:
        return SessionCommand(whole, text)
    word, _, rest = text.partition(" ")
    fields = rest.split(" ")
    if not all(fields):
        return SessionCommand(SessionCommandKind.MALFORMED, text)
    return read_fields(text, word, fields)


def read_fields(text: str, word: str, fields: list[str]) -> SessionCommand:
    """Return the command of `word` with its fields."""
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
    """Return `text` with the demand that the log holds `position`."""
    return f"AFTER {write_position(position)} {text}"


def deallocate(name: str) -> str:
    """Return the text that forgets a prepared statement."""
    return f"DEALLOCATE {name}"


def demote(term: int) -> str:
    """Return the text that makes a primary of a lower term a replica."""
    return f"DEMOTE {term}"


def read_position(field: str) -> Position | None:
    """Return the position that a field holds, or None.

    :raises ValueError: if it holds something else.
    """
    if field == NONE:
        return None
    term, _, number = field.partition(".")
    return Position(int(term), int(number))


def write_position(position: Position | None) -> str:
    """Return the field that holds `position`."""
    return NONE if position is None else f"{position.term}.{position.index}"
