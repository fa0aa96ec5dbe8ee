"""Lines of the wire that callers and targets speak, split and joined."""

from collections.abc import Iterator
from typing import Final

LINE_END: Final = b"\r\n"

MAX_LINE_BYTES: Final = 1 << 20
"""Bytes of the longest message; stated by the protocol."""

ENCODING: Final = "latin-1"
"""Maps each byte to one character and back, so that no text is changed."""

FORBIDDEN: Final = (b"\r", b"\n", b"\0")


class LineError(ValueError):
    """Say that the bytes received are no line of the wire."""


class LineReader:
    """Cut a stream of bytes into lines.

    :ivar rest: bytes of the line that is not complete yet.
    """

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> Iterator[str]:
        """Iterate over the lines that `data` completes, without their ends.

        :raises LineError: for a line that is too long or holds a control
            character that could pass for the end of a line.
        """
        data = self.rest + data if self.rest else data
        start = 0
        while (end := data.find(LINE_END, start)) >= 0:
            line = data[start:end]
            start = end + len(LINE_END)
            self.rest = data[start:]
            yield decode_line(line)
        self.rest = data[start:]
        if len(self.rest) > MAX_LINE_BYTES:
            raise LineError("the line is too long")


def decode_line(line: bytes) -> str:
    """Return the text of a line.

    :raises LineError: as `LineReader.feed`.
    """
    if len(line) > MAX_LINE_BYTES:
        raise LineError("the line is too long")
    for one in FORBIDDEN:
        if one in line:
            raise LineError("the line holds a control character")
    return line.decode(ENCODING)


def encode_line(*fields: str) -> bytes:
    """Return the line of a word and its fields."""
    return " ".join(fields).encode(ENCODING) + LINE_END
