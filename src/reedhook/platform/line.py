"""Encoding and decoding of the lines of the platform's protocol."""

from collections.abc import Iterator
from typing import Final

LINE_END: Final = b"\r\n"

MAX_LINE_BYTES: Final = 1 << 20
"""Limit of the protocol."""

ENCODING: Final = "latin-1"
"""Maps each byte to one character, so that any bytes survive a round trip."""

FORBIDDEN: Final = (b"\r", b"\n", b"\0")


class LineError(ValueError):
    """Report a malformed line."""


class LineReader:
    """Split a stream of bytes into lines.

    :ivar rest: bytes of the incomplete line.
    """

    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> Iterator[str]:
        """Yield the lines that `data` completes, without their terminators.

        :raises LineError: if a line is too long or holds a CR, LF or NUL, which
            another parser could take for the end of the line.
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
    """Decode a line.

    :raises LineError: if it is too long or holds a CR, LF or NUL.
    """
    if len(line) > MAX_LINE_BYTES:
        raise LineError("the line is too long")
    for character in FORBIDDEN:
        if character in line:
            raise LineError("the line holds a control character")
    return line.decode(ENCODING)


def encode_line(*fields: str) -> bytes:
    """Join a word and its fields into a line."""
    return " ".join(fields).encode(ENCODING) + LINE_END
