"""Editions between hosts: the answers of one side, the pull of the other."""

import base64
import binascii
from typing import Any, Final

from ...peer import HostRef, PeerClient
from ...version.snapshot import (
    ConfigurationSnapshot,
    PartRef,
    SnapshotError,
    SnapshotManifest,
)
from ...wire import Json

CONFIGURATION_PATH: Final = "config"
PEER_TIMEOUT_SECONDS: Final = 2.0
MAX_ANSWER_BYTES: Final = 256 * 1024
MAX_PULLS: Final = 256


def head_answer(edition: ConfigurationSnapshot | None, have: int) -> Json:
    """Return the version in force, and its head if it is newer than `have`."""
    if edition is None:
        return {"version": 0, "head": None}
    head = edition.manifest.to_json() if edition.version > have else None
    return {"version": edition.version, "head": head}


def parts_answer(edition: ConfigurationSnapshot | None, digests: list[str]) -> Json:
    """Return as many of the wanted parts as fit one answer, at least one."""
    held = {} if edition is None else edition.packed
    parts: dict[str, str] = {}
    size = 0
    for digest in digests:
        if digest not in held:
            continue
        size += len(held[digest])
        if parts and size > MAX_ANSWER_BYTES:
            break
        parts[digest] = base64.b64encode(held[digest]).decode()
    return {"parts": parts}


class SnapshotPull:
    """Fetch the edition of one peer.

    :param source: the peer.
    :param edition: the edition in force here, whose parts are not fetched.
    """

    __slots__ = ("peers", "source", "version", "packed")

    def __init__(
        self, peers: PeerClient, source: HostRef, edition: ConfigurationSnapshot | None
    ) -> None:
        self.peers = peers
        self.source = source
        self.version = 0 if edition is None else edition.version
        self.packed = {} if edition is None else dict(edition.packed)

    async def run(self) -> ConfigurationSnapshot | None:
        """Return the edition, or None if it is not newer.

        Its digests are checked when the documents are put together.

        :raises PeerError: if no answer came.
        :raises Refusal: if the peer refused.
        :raises EditionError: if what came is not readable.
        """
        answer = await self.ask({"have": self.version})
        message = answer.get("head")
        if not isinstance(message, dict):
            return None
        head = SnapshotManifest.from_json(message)
        if head.version <= self.version:
            return None
        await self.fetch(head.parts)
        packed = {part.digest: self.packed[part.digest] for part in head.parts}
        return ConfigurationSnapshot(head, packed)

    async def fetch(self, parts: tuple[PartRef, ...]) -> None:
        """Fetch the parts that are not held, over as many answers as it takes.

        :raises EditionError: if the peer does not have them any more.
        """
        for _ in range(MAX_PULLS):
            missing = [one.digest for one in parts if one.digest not in self.packed]
            if not missing:
                return
            self.add_parts(missing, (await self.ask({"want": missing})).get("parts"))
        raise SnapshotError("too many answers for one edition")

    def add_parts(self, missing: list[str], parts: Any) -> None:
        """Keep the parts of one answer.

        :raises EditionError: if none came or one is not readable.
        """
        if not isinstance(parts, dict) or not parts:
            raise SnapshotError("the peer has moved on")
        for digest, text in parts.items():
            if digest not in missing:
                raise SnapshotError("a part came that was not asked for")
            self.packed[digest] = decode_part(digest, text)

    async def ask(self, body: Json) -> Json:
        """Send one question to the peer."""
        return await self.peers.call(
            self.source, CONFIGURATION_PATH, body, PEER_TIMEOUT_SECONDS
        )


def decode_part(digest: str, text: str) -> bytes:
    """Return the packed content of a part from the wire.

    :raises EditionError: if it is not base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise SnapshotError(f"part {digest} is not base64") from error
