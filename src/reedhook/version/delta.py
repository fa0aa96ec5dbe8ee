"""Deltas between two versions of a document.

Documents are split into pieces after each end of a JSON object. A delta is a list of
parts: a string is literal text, and a pair ``[index, count]`` copies pieces of the base
document. `apply_delta` restores the document byte for byte or raises an error.
"""

import zlib
from base64 import b64decode, b64encode
from typing import Any, Final, TypeAlias

import orjson
import xxhash

from ..record import Record
from ..wire import WireError, wraps_decode_errors

Part: TypeAlias = str | list[int]

OBJECT_END: Final = b"}"
ENCODING: Final = "latin-1"
"""Maps each byte to one character, so that any document can be encoded."""

LEVEL: Final = 6
"""Compression level of zlib."""

MAX_DOCUMENT_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of the decompressed parts of a delta."""


class Delta(Record):
    """Hold the changes that turn one document into another.

    :param base: digest of the base document.
    :param digest: digest of the resulting document.
    :param packed: the parts as JSON, compressed with zlib, in base64.
    """

    __slots__ = ("base", "digest", "packed")

    def __init__(self, base: str, digest: str, packed: str) -> None:
        self.base = base
        self.digest = digest
        self.packed = packed

    def to_json(self) -> list[str]:
        """Return the delta in wire format."""
        return [self.base, self.digest, self.packed]

    @classmethod
    def from_json(cls, value: Any) -> "Delta":
        """Parse a delta in wire format.

        :raises WireError: if it is malformed.
        """
        if not isinstance(value, list) or len(value) != len(cls.__slots__):
            raise WireError("delta must be a list of three fields")
        if not all(isinstance(field, str) for field in value):
            raise WireError("fields of a delta must be strings")
        return cls(*value)


def make_delta(document: bytes, base: bytes) -> Delta:
    """Return the delta from `base`, which may be empty, to `document`."""
    parts = orjson.dumps(difference(document, base))
    packed = b64encode(zlib.compress(parts, LEVEL)).decode()
    return Delta(digest(base), digest(document), packed)


@wraps_decode_errors
def apply_delta(delta: Delta, base: bytes) -> bytes:
    """Apply a delta to `base` and return the resulting document.

    :raises WireError: if the delta is malformed or was made for another base.
    """
    if delta.base != digest(base):
        raise WireError("digest of the base document does not match the delta")
    raw = decompress(b64decode(delta.packed, validate=True))
    document = joined(orjson.loads(raw), split_pieces(base))
    if delta.digest != digest(document):
        raise WireError("digest of the resulting document does not match the delta")
    return document


def digest(document: bytes) -> str:
    """Return the XXH3 hex digest of a document."""
    return xxhash.xxh3_128_hexdigest(document)


EMPTY_DIGEST: Final = digest(b"")
"""Digest of the empty document, which is always available as a base."""


def difference(document: bytes, base: bytes) -> list[Part]:
    """Return the parts of `document`, copied from `base` where possible."""
    positions = {piece: index for index, piece in enumerate(split_pieces(base))}
    parts: list[Part] = []
    for piece in split_pieces(document):
        index = positions.get(piece)
        last = parts[-1] if parts else None
        if index is None and isinstance(last, str):
            parts[-1] = last + piece.decode(ENCODING)
        elif index is None:
            parts.append(piece.decode(ENCODING))
        elif isinstance(last, list) and sum(last) == index:
            last[1] += 1
        else:
            parts.append([index, 1])
    return parts


def split_pieces(document: bytes) -> list[bytes]:
    """Split a document into pieces; joining them restores it."""
    *whole, rest = document.split(OBJECT_END)
    return [piece + OBJECT_END for piece in whole] + ([rest] if rest else [])


def joined(parts: list[Part], base: list[bytes]) -> bytes:
    """Join the parts of a delta into a document.

    :raises WireError: if a part refers to pieces that the base lacks.
    """
    pieces = []
    for part in parts:
        if isinstance(part, str):
            pieces.append(part.encode(ENCODING))
            continue
        start, count = part
        copied = base[start : start + count]
        if start < 0 or len(copied) != count:
            raise WireError("delta refers to pieces that the base lacks")
        pieces += copied
    return b"".join(pieces)


def decompress(packed: bytes) -> bytes:
    """Decompress the parts of a delta.

    :raises WireError: if the data is corrupt or exceeds `MAX_DOCUMENT_BYTES`.
    """
    inflator = zlib.decompressobj()
    try:
        raw = inflator.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise WireError(f"cannot decompress the delta: {error}") from error
    if inflator.unconsumed_tail:
        raise WireError("decompressed delta exceeds the size limit")
    return raw
