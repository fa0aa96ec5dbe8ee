"""An accepted edition: a head and the parts that hold the documents' texts."""

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
    """Say that a head or a part is not what it should be."""


class PartRef(Record):
    """Refer to a part.

    :param version: the version that wrote the part.
    :param digest: hex SHA-256 of the unpacked content.
    :param size: length of the unpacked content, in bytes.
    """

    __slots__ = ("version", "digest", "size")

    def __init__(self, version: int, digest: str, size: int) -> None:
        self.version = version
        self.digest = digest
        self.size = size


class SnapshotManifest(Record):
    """Describe one version of the configuration.

    :param version: the version; it only ever grows.
    :param parent: the version that the operator edited.
    :param edit_id: the id of the edit.
    :param author: who made the edit.
    :param comment: why.
    :param wall: wall-clock time of the edit in seconds, for people only.
    :param texts: name and size in bytes of each text; the base has no name.
    :param parts: the parts, whose contents joined are the texts joined.
    :param trimmed: the highest version whose history was deleted.
    :param recent: the last versions with their edit ids, this one included.
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
        """Return the head as it stands in the store and on the wire."""
        message = {name: getattr(self, name) for name in self.__slots__}
        message["parts"] = [part.values() for part in self.parts]
        message["digest"] = digest_of(message)
        return message

    def summary(self) -> Json:
        """Return what operators see of the head."""
        names = ("version", "parent", "edit_id", "author", "comment", "wall")
        return {name: getattr(self, name) for name in names}

    def encode(self) -> bytes:
        """Return the head as it stands in the store."""
        return orjson.dumps(self.to_json())

    @classmethod
    def decode(cls, value: bytes) -> "SnapshotManifest":
        """Read a head from the store.

        :raises EditionError: if it is damaged.
        """
        try:
            return cls.from_json(decode(value))
        except WireError as error:
            raise SnapshotError(str(error)) from error

    @classmethod
    def from_json(cls, message: Json) -> "SnapshotManifest":
        """Read a head from the wire.

        :raises EditionError: if it is damaged.
        """
        content: Json = {name: message.get(name) for name in cls.__slots__}
        if message.get("digest") != digest_of(content):
            raise SnapshotError("the digest of the head differs")
        try:
            content["texts"] = tuple((name, int(n)) for name, n in message["texts"])
            content["parts"] = tuple(PartRef(*part) for part in message["parts"])
            content["recent"] = tuple((int(v), one) for v, one in message["recent"])
        except (TypeError, ValueError, KeyError) as error:
            raise SnapshotError("the head has another form") from error
        return cls(**content)


class ConfigurationSnapshot(Record):
    """Carry a head with all its parts.

    :param packed: the packed content of each part, by digest.
    """

    __slots__ = ("manifest", "packed")

    def __init__(self, manifest: SnapshotManifest, packed: dict[str, bytes]) -> None:
        self.manifest = manifest
        self.packed = packed

    @property
    def version(self) -> int:
        """Return the version."""
        return self.manifest.version

    def documents(self) -> ConfigurationDocuments:
        """Return the documents.

        :raises EditionError: if a part is missing or damaged.
        """
        raw = b"".join(self.content(part) for part in self.manifest.parts)
        texts: dict[str, str] = {}
        start = 0
        for name, size in self.manifest.texts:
            texts[name] = raw[start : start + size].decode()
            start += size
        if start != len(raw) or "" not in texts:
            raise SnapshotError("the parts do not add up to the texts")
        return ConfigurationDocuments(texts.pop(""), texts)

    def content(self, part: PartRef) -> bytes:
        """Return the unpacked content of a part.

        :raises EditionError: if it is missing or damaged.
        """
        packed = self.packed.get(part.digest)
        if packed is None:
            raise SnapshotError(f"part {part.digest} is missing")
        return decompress_part(part, packed)


def digest_of(message: Json) -> str:
    """Return the hex SHA-256 of a message without its digest."""
    plain = {key: value for key, value in message.items() if key != "digest"}
    encoded = orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(encoded).hexdigest()


def compress_part(content: bytes) -> bytes:
    """Return the content of a part as it stands in the store and on the wire."""
    return zlib.compress(content)


def decompress_part(part: PartRef, packed: bytes) -> bytes:
    """Return the content of a part after a check of its digest.

    :raises EditionError: if it is damaged.
    """
    if part.size > MAX_PART_BYTES:
        raise SnapshotError(f"part {part.digest} is too large")
    try:
        unpacker = zlib.decompressobj()
        content = unpacker.decompress(packed, part.size + 1)
    except zlib.error as error:
        raise SnapshotError(f"part {part.digest} is damaged") from error
    if not unpacker.eof or unpacker.unused_data:
        raise SnapshotError(f"part {part.digest} has another length")
    if hashlib.sha256(content).hexdigest() != part.digest:
        raise SnapshotError(f"part {part.digest} has another digest")
    return content


def build_snapshot(
    documents: ConfigurationDocuments,
    previous: SnapshotManifest | None,
    edit_id: str,
    author: str,
    comment: str,
    wall: float,
) -> ConfigurationSnapshot:
    """Return the edition that follows `previous`.

    Parts of `previous` whose content stays are referred to, not written again.
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
    head = SnapshotManifest(
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
    return ConfigurationSnapshot(head, packed)


def manifest_matches(head: SnapshotManifest, documents: ConfigurationDocuments) -> bool:
    """Say whether `head` holds just these documents."""
    texts, raw = join_texts(documents)
    digests = [hashlib.sha256(content).hexdigest() for content in split(raw)]
    return head.texts == texts and [part.digest for part in head.parts] == digests


def join_texts(
    documents: ConfigurationDocuments,
) -> tuple[tuple[tuple[str, int], ...], bytes]:
    """Return the names and sizes of the texts, and the texts joined."""
    texts = [("", documents.base.encode())]
    for site in sorted(documents.overlays):
        texts.append((site, documents.overlays[site].encode()))
    sizes = tuple((name, len(text)) for name, text in texts)
    return sizes, b"".join(text for _, text in texts)


def split(raw: bytes) -> list[bytes]:
    """Cut `raw` behind lines that its content chooses.

    Whether a part ends behind a line depends on that line, not on its place,
    so that an edit changes the parts around it alone and the others keep their
    digests. The longer a line, the likelier it ends a part.
    """
    parts: list[bytes] = []
    start = end = 0
    for line in raw.splitlines(keepends=True):
        end += len(line)
        while end - start > MAX_PART_BYTES:
            parts.append(raw[start : start + MAX_PART_BYTES])
            start += MAX_PART_BYTES
        chosen = xxhash.xxh32_intdigest(line) % MEAN_PART_BYTES < len(line)
        if chosen and end - start >= MIN_PART_BYTES:
            parts.append(raw[start:end])
            start = end
    if start < end:
        parts.append(raw[start:end])
    return parts
