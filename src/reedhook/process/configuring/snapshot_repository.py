"""Storage of configuration snapshots in the platform's store."""

import asyncio
from typing import Final

from ...record import Record
from ...version.snapshot import (
    ConfigurationSnapshot,
    PartRef,
    SnapshotError,
    SnapshotManifest,
    decompress_part,
)
from .store import (
    Store,
    StoreConflictError,
    StoreEntry,
    StoreError,
    StoreUnavailableError,
)

HEAD_KEY: Final = "config/head"
HISTORY_PREFIX: Final = "config/history/"
PART_PREFIX: Final = "config/part/"
KEPT_VERSIONS: Final = 200
TRIMMED_PER_EDIT: Final = 4
CALL_TIMEOUT_SECONDS: Final = 2.0
PARALLEL_CALLS: Final = 8


class StoredHead(Record):
    """Hold the newest manifest with the revision of the head key.

    :param manifest: the manifest; None before the first edit.
    :param revision: the revision of the head key; 0 before the first edit.
    """

    __slots__ = ("manifest", "revision")

    def __init__(self, manifest: SnapshotManifest | None, revision: int) -> None:
        self.manifest = manifest
        self.revision = revision

    @property
    def version(self) -> int:
        """Return the version; 0 before the first edit."""
        return 0 if self.manifest is None else self.manifest.version


def stored_head(entry: StoreEntry | None) -> StoredHead:
    """Parse the entry of the head key.

    :raises SnapshotError: if the manifest is damaged.
    """
    if entry is None:
        return StoredHead(None, 0)
    return StoredHead(SnapshotManifest.decode(entry.value), entry.revision)


class SnapshotRepository:
    """Read and write the head, past manifests and parts.

    The order of writes is essential: parts first, then the copy of the previous
    manifest, then the head. A part's key contains the version that wrote it, so a
    part that a version no longer refers to is never referred to by a later version.
    """

    __slots__ = ("store", "limit")

    def __init__(self, store: Store) -> None:
        self.store = store
        self.limit = asyncio.Semaphore(PARALLEL_CALLS)

    async def read_head(self) -> StoredHead:
        """Read the head, which may be stale.

        :raises StoreUnavailableError: if the store gives no response.
        :raises SnapshotError: if the manifest is damaged.
        """
        return stored_head(await self.store.get(HEAD_KEY, CALL_TIMEOUT_SECONDS))

    async def read_past_manifest(self, version: int) -> SnapshotManifest | None:
        """Read the manifest of a past version; None if it is not stored.

        :raises StoreUnavailableError: if the store gives no response.
        :raises SnapshotError: if the manifest is damaged.
        """
        entry = await self.store.get(history_key(version), CALL_TIMEOUT_SECONDS)
        return stored_head(entry).manifest

    async def read_snapshot(
        self, head: SnapshotManifest, known: dict[str, bytes]
    ) -> ConfigurationSnapshot:
        """Read the snapshot of `head`, except for parts in `known`.

        :raises StoreUnavailableError: if the store gives no response.
        :raises SnapshotError: if a part is missing or damaged.
        """
        missing = {part.digest: part for part in head.parts if part.digest not in known}
        contents = await asyncio.gather(*map(self.part, missing.values()))
        held = {**known, **dict(zip(missing, contents))}
        return ConfigurationSnapshot(
            head, {part.digest: held[part.digest] for part in head.parts}
        )

    async def part(self, part: PartRef) -> bytes:
        """Read the compressed content of a part and verify its digest.

        :raises StoreUnavailableError: if the store gives no response.
        :raises SnapshotError: if the part is missing or damaged.
        """
        async with self.limit:
            entry = await self.store.get(part_key(part), CALL_TIMEOUT_SECONDS)
        if entry is None:
            raise SnapshotError(f"part {part.digest} is not in the store")
        decompress_part(part, entry.value)
        return entry.value

    async def save_past_manifest(self, head: SnapshotManifest) -> None:
        """Copy the current manifest to the history before it is replaced.

        :raises StoreUnavailableError: if the store gives no response.
        """
        try:
            await self.store.put(
                history_key(head.version), head.encode(), 0, CALL_TIMEOUT_SECONDS
            )
        except StoreConflictError:
            # Only accepted manifests are written here, so the existing copy is equal.
            return

    async def write_parts(
        self, edition: ConfigurationSnapshot, written: list[StoreEntry]
    ) -> None:
        """Write the parts that are new in this version.

        :param written: list to which newly created entries are appended.
        :raises StoreUnavailableError: if the store gives no response.
        """
        fresh = {
            part.digest: part
            for part in edition.manifest.parts
            if part.version == edition.version
        }
        await asyncio.gather(
            *(
                self.write_part(part, edition.packed[part.digest], written)
                for part in fresh.values()
            )
        )

    async def write_part(
        self, part: PartRef, packed: bytes, written: list[StoreEntry]
    ) -> None:
        """Write a part unless an undamaged copy exists; raise as `write_parts`."""
        key = part_key(part)
        async with self.limit:
            try:
                written.append(
                    await self.store.put(key, packed, 0, CALL_TIMEOUT_SECONDS)
                )
                return
            except StoreConflictError:
                entry = await self.store.get(key, CALL_TIMEOUT_SECONDS)
            if entry is None:
                raise StoreUnavailableError(f"stale read of {key}")
            try:
                decompress_part(part, entry.value)
            except SnapshotError:
                await self.repair_part(key, packed, entry.revision)

    async def repair_part(self, key: str, packed: bytes, revision: int) -> None:
        """Replace a damaged part."""
        try:
            await self.store.put(key, packed, revision, CALL_TIMEOUT_SECONDS)
        except StoreConflictError as error:
            raise StoreUnavailableError(f"{key} was changed concurrently") from error

    async def swap_head(
        self, edition: ConfigurationSnapshot, expected: int
    ) -> StoreEntry:
        """Replace the head at revision `expected` by the manifest of `edition`.

        :raises StoreConflictError: if the head has another revision.
        :raises StoreUnavailableError: if the store gives no response; the write may
            have taken effect.
        """
        value = edition.manifest.encode()
        return await self.store.put(HEAD_KEY, value, expected, CALL_TIMEOUT_SECONDS)

    async def trim(self, head: SnapshotManifest) -> int:
        """Delete expired history; return the highest version deleted.

        After an error, the next edit resumes the deletion.
        """
        trimmed = head.trimmed
        bound = min(head.version - KEPT_VERSIONS, trimmed + TRIMMED_PER_EDIT)
        try:
            while trimmed < bound:
                await self.trim_version(trimmed + 1)
                trimmed += 1
        except (StoreError, SnapshotError):
            return trimmed
        return trimmed

    async def trim_version(self, version: int) -> None:
        """Delete a version's manifest and the parts that its successor does not use.

        No later version refers to those parts, see `SnapshotRepository`.

        :raises StoreError: if a call failed; the method may be repeated.
        :raises SnapshotError: if the manifest of the successor cannot be read.
        """
        past = await self.read_past_manifest(version)
        if past is None:
            return
        successor = await self.read_past_manifest(version + 1)
        if successor is None:
            raise SnapshotError(f"no manifest of version {version + 1} in the history")
        used = {part_key(part) for part in successor.parts}
        for part in past.parts:
            if part_key(part) not in used:
                await self.delete(part_key(part))
        await self.delete(history_key(version))

    async def delete(self, key: str) -> None:
        """Delete an unreferenced key.

        :raises StoreError: if a call failed.
        """
        entry = await self.store.get(key, CALL_TIMEOUT_SECONDS)
        if entry is not None:
            await self.store.delete(key, entry.revision, CALL_TIMEOUT_SECONDS)

    async def delete_losing_parts(
        self, written: list[StoreEntry], winner: SnapshotManifest
    ) -> None:
        """Delete the parts written by an edit that lost to `winner`.

        :param winner: the accepted manifest of the same version.
        """
        used = {part_key(part) for part in winner.parts}
        for entry in written:
            if entry.key in used:
                continue
            try:
                await self.store.delete(entry.key, entry.revision, CALL_TIMEOUT_SECONDS)
            except StoreError:
                return


def history_key(version: int) -> str:
    """Return the key of a past manifest."""
    return f"{HISTORY_PREFIX}{version}"


def part_key(part: PartRef) -> str:
    """Return the key of a part."""
    return f"{PART_PREFIX}{part.version}-{part.digest}"
