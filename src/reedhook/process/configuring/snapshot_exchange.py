"""Transfer of snapshots between hosts."""

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
    """Return the active version, and its manifest if it is newer than `have`."""
    if edition is None:
        return {"version": 0, "head": None}
    head = edition.manifest.to_json() if edition.version > have else None
    return {"version": edition.version, "head": head}


def parts_answer(edition: ConfigurationSnapshot | None, digests: list[str]) -> Json:
    """Return as many requested parts as fit into a response, at least one."""
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
    """Pull the active snapshot of a peer.

    :param source: the peer.
    :param edition: the active snapshot of this host, whose parts are reused.
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
        """Return the peer's snapshot, or None if it is not newer.

        Part digests are verified later, by `ConfigurationSnapshot.documents`.

        :raises PeerError: if the peer gives no response.
        :raises RefusalError: if the peer refuses the request.
        :raises SnapshotError: if a response is malformed.
        """
        answer = await self.ask({"have": self.version})
        message = answer.get("head")
        if not isinstance(message, dict):
            return None
        manifest = SnapshotManifest.from_json(message)
        if manifest.version <= self.version:
            return None
        await self.fetch(manifest.parts)
        packed = {part.digest: self.packed[part.digest] for part in manifest.parts}
        return ConfigurationSnapshot(manifest, packed)

    async def fetch(self, parts: tuple[PartRef, ...]) -> None:
        """Fetch missing parts in up to `MAX_PULLS` requests.

        :raises SnapshotError: if the peer no longer has the parts.
        """
        for _ in range(MAX_PULLS):
            missing = [part.digest for part in parts if part.digest not in self.packed]
            if not missing:
                return
            self.add_parts(missing, (await self.ask({"want": missing})).get("parts"))
        raise SnapshotError("snapshot is incomplete after too many requests")

    def add_parts(self, missing: list[str], parts: Any) -> None:
        """Add the parts of a response.

        :raises SnapshotError: if there are none, or one is malformed or unrequested.
        """
        if not isinstance(parts, dict) or not parts:
            raise SnapshotError("peer no longer has the requested parts")
        for digest, text in parts.items():
            if digest not in missing:
                raise SnapshotError("peer sent a part that was not requested")
            self.packed[digest] = decode_part(digest, text)

    async def ask(self, body: Json) -> Json:
        """Send one request to the peer."""
        return await self.peers.call(
            self.source, CONFIGURATION_PATH, body, PEER_TIMEOUT_SECONDS
        )


def decode_part(digest: str, text: str) -> bytes:
    """Decode the compressed content of a part in wire format.

    :raises SnapshotError: if `text` is not valid base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise SnapshotError(f"part {digest} is not valid base64") from error
