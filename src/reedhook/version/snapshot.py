"""Snapshots of the configuration: a manifest and content-addressed parts."""

import hashlib
import zlib
from typing import Final

import orjson
import xxhash

from ..record import Record
from ..wire import Json, WireError, decode
from .document import ConfigurationDocuments

MIN_PART_BYTES: Final = 4 * 1024
MAX_PART_BYTES: Final = 128 * 1024
MEAN_PART_BYTES: Final = 16 * 1024
KEPT_EDIT_IDS: Final = 32


class SnapshotError(ValueError):
    """Signal a missing or damaged manifest or part."""


class PartRef(Record):
    """Refer to a part of a snapshot.

    :param version: the version that wrote the part.
    :param digest: hex SHA-256 of the uncompressed content.
    :param size: length of the uncompressed content in bytes.
    """

    __slots__ = ("version", "digest", "size")

    def __init__(self, version: int, digest: str, size: int) -> None:
        self.version = version
        self.digest = digest
        self.size = size


class SnapshotManifest(Record):
    """Describe one version of the configuration.

    :param version: the version; versions only increase.
    :param parent: the version that the edit is based on.
    :param edit_id: the id of the edit.
    :param author: the author of the edit.
    :param comment: the author's reason for the edit.
    :param wall: wall-clock time of the edit in seconds, for display only.
    :param texts: name and size in bytes of each text; the base has an empty name.
    :param parts: the parts, whose joined contents are the joined texts.
    :param trimmed: the highest version whose history was deleted.
    :param recent: the latest versions with their edit ids, including this one.
    """

    __slots__ = (
        "version",
        "parent",
        "edit_id",
        "author",
        "comment",
        "wall",
        "texts",
        "parts",
        "trimmed",
        "recent",
    )

    def __init__(
        self,
        version: int,
        parent: int,
        edit_id: str,
        author: str,
        comment: str,
        wall: float,
        texts: tuple[tuple[str, int], ...],
        parts: tuple[PartRef, ...],
        trimmed: int,
        recent: tuple[tuple[int, str], ...],
    ) -> None:
        self.version = version
        self.parent = parent
        self.edit_id = edit_id
        self.author = author
        self.comment = comment
        self.wall = wall
        self.texts = texts
        self.parts = parts
        self.trimmed = trimmed
        self.recent = recent

    def to_json(self) -> Json:
        """Return the manifest in store and wire format."""
        message = {name: getattr(self, name) for name in self.__slots__}
        message["parts"] = [part.values() for part in self.parts]
        message["digest"] = digest_of(message)
        return message

    def summary(self) -> Json:
        """Return the fields that are shown to operators."""
        names = ("version", "parent", "edit_id", "author", "comment", "wall")
        return {name: getattr(self, name) for name in names}

    def encode(self) -> bytes:
        """Return the manifest as the bytes of a store value."""
        return orjson.dumps(self.to_json())

    @classmethod
    def decode(cls, value: bytes) -> "SnapshotManifest":
        """Parse a manifest from the bytes of a store value.

        :raises SnapshotError: if the manifest is damaged.
        """
        try:
            return cls.from_json(decode(value))
        except WireError as error:
            raise SnapshotError(str(error)) from error

    @classmethod
    def from_json(cls, message: Json) -> "SnapshotManifest":
        """Parse a manifest in store and wire format.

        :raises SnapshotError: if the manifest is damaged.
        """
        content: Json = {name: message.get(name) for name in cls.__slots__}
        if message.get("digest") != digest_of(content):
            raise SnapshotError("digest of the manifest does not match")
        try:
            content["texts"] = tuple((name, int(n)) for name, n in message["texts"])
            content["parts"] = tuple(PartRef(*part) for part in message["parts"])
            content["recent"] = tuple(
                (int(v), edit_id) for v, edit_id in message["recent"]
            )
        except (TypeError, ValueError, KeyError) as error:
            raise SnapshotError("manifest is malformed") from error
        return cls(**content)


class ConfigurationSnapshot(Record):
    """Hold a manifest with all its parts.

    :param packed: the compressed content of each part, by digest.
    """

    __slots__ = ("manifest", "packed")

    def __init__(self, manifest: SnapshotManifest, packed: dict[str, bytes]) -> None:
        self.manifest = manifest
        self.packed = packed

    @property
    def version(self) -> int:
        """Return the version of the manifest."""
        return self.manifest.version

    def documents(self) -> ConfigurationDocuments:
        """Decode the documents from the parts.

        :raises SnapshotError: if a part is missing or damaged.
        """
        raw = b"".join(self.content(part) for part in self.manifest.parts)
        texts: dict[str, str] = {}
        start = 0
        for name, size in self.manifest.texts:
            texts[name] = raw[start : start + size].decode()
            start += size
        if start != len(raw) or "" not in texts:
            raise SnapshotError("sizes of parts and texts do not match")
        return ConfigurationDocuments(texts.pop(""), texts)

    def content(self, part: PartRef) -> bytes:
        """Return the uncompressed content of a part.

        :raises SnapshotError: if it is missing or damaged.
        """
        packed = self.packed.get(part.digest)
        if packed is None:
            raise SnapshotError(f"part {part.digest} is missing")
        return decompress_part(part, packed)


def digest_of(message: Json) -> str:
    """Return the hex SHA-256 of a message, excluding its digest field."""
    plain = {key: value for key, value in message.items() if key != "digest"}
    encoded = orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(encoded).hexdigest()


def compress_part(content: bytes) -> bytes:
    """Compress the content of a part for the store and the wire."""
    return zlib.compress(content)


def decompress_part(part: PartRef, packed: bytes) -> bytes:
    """Decompress a part and verify its digest.

    :raises SnapshotError: if the part is damaged.
    """
    if part.size > MAX_PART_BYTES:
        raise SnapshotError(f"part {part.digest} exceeds the size limit")
    try:
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(packed, part.size + 1)
    except zlib.error as error:
        raise SnapshotError(f"part {part.digest} is damaged") from error
    if not decompressor.eof or decompressor.unused_data:
        raise SnapshotError(f"part {part.digest} has a wrong length")
    if hashlib.sha256(content).hexdigest() != part.digest:
        raise SnapshotError(f"part {part.digest} has a wrong digest")
    return content


def build_snapshot(
    documents: ConfigurationDocuments,
    previous: SnapshotManifest | None,
    edit_id: str,
    author: str,
    comment: str,
    wall: float,
) -> ConfigurationSnapshot:
    """Build the snapshot that follows `previous`.

    Unchanged parts refer to the version that first wrote them.
    """
    version = 1 if previous is None else previous.version + 1
    known = {} if previous is None else {part.digest: part for part in previous.parts}
    texts, raw = join_texts(documents)
    parts: list[PartRef] = []
    packed: dict[str, bytes] = {}
    for content in split(raw):
        digest = hashlib.sha256(content).hexdigest()
        fresh = PartRef(version, digest, len(content))
        parts.append(known.get(digest, fresh))
        packed[digest] = compress_part(content)
    recent = (*(previous.recent if previous else ()), (version, edit_id))
    manifest = SnapshotManifest(
        version=version,
        parent=version - 1,
        edit_id=edit_id,
        author=author,
        comment=comment,
        wall=wall,
        texts=texts,
        parts=tuple(parts),
        trimmed=previous.trimmed if previous else 0,
        recent=recent[-KEPT_EDIT_IDS:],
    )
    return ConfigurationSnapshot(manifest, packed)


def manifest_matches(head: SnapshotManifest, documents: ConfigurationDocuments) -> bool:
    """Return whether `head` describes exactly these documents."""
    texts, raw = join_texts(documents)
    digests = [hashlib.sha256(content).hexdigest() for content in split(raw)]
    return head.texts == texts and [part.digest for part in head.parts] == digests


def join_texts(
    documents: ConfigurationDocuments,
) -> tuple[tuple[tuple[str, int], ...], bytes]:
    """Return the names and sizes of the texts, and the joined texts."""
    texts = [("", documents.base.encode())]
    for site in sorted(documents.overlays):
        texts.append((site, documents.overlays[site].encode()))
    sizes = tuple((name, len(text)) for name, text in texts)
    return sizes, b"".join(text for _, text in texts)


def split(raw: bytes) -> list[bytes]:
    """Split `raw` into parts at content-defined line boundaries.

    Whether a part ends after a line depends on the content of the line only, so an
    edit changes only nearby parts. The probability is proportional to the length of
    the line.
    """
    parts: list[bytes] = []
    start = end = 0
    for line in raw.splitlines(keepends=True):
        end += len(line)
        while end - start > MAX_PART_BYTES:
            parts.append(raw[start : start + MAX_PART_BYTES])
            start += MAX_PART_BYTES
        is_boundary = xxhash.xxh32_intdigest(line) % MEAN_PART_BYTES < len(line)
        if is_boundary and end - start >= MIN_PART_BYTES:
            parts.append(raw[start:end])
            start = end
    if start < end:
        parts.append(raw[start:end])
    return parts
