"""Editions of the configuration in the platform's store."""

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
    """Carry the head with the revision of its key.

    :param manifest: the head; None before the first edit.
    :param revision: the revision of the key; 0 before the first edit.
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
    """Read the head from its entry.

    :raises EditionError: if it is damaged.
    """
    if entry is None:
        return StoredHead(None, 0)
    return StoredHead(SnapshotManifest.decode(entry.value), entry.revision)


class SnapshotRepository:
    """Read and write heads, history and parts; safety lies in the order.

    Parts are written first, then the copy of the former head, then the head.
    A part's key holds the version that wrote it: once a version's parts are no
    longer referred to, no later version can refer to the same key.
    """

    __slots__ = ("store", "limit")

    def __init__(self, store: Store) -> None:
        self.store = store
        self.limit = asyncio.Semaphore(PARALLEL_CALLS)

    async def read_head(self) -> StoredHead:
        """Return the head, which may be stale.

        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if it is damaged.
        """
        return stored_head(await self.store.get(HEAD_KEY, CALL_TIMEOUT_SECONDS))

    async def read_past_manifest(self, version: int) -> SnapshotManifest | None:
        """Return the head that a version had, or None if it is not kept.

        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if it is damaged.
        """
        entry = await self.store.get(history_key(version), CALL_TIMEOUT_SECONDS)
        return stored_head(entry).manifest

    async def read_snapshot(
        self, head: SnapshotManifest, known: dict[str, bytes]
    ) -> ConfigurationSnapshot:
        """Return the edition of `head`; parts in `known` are not read.

        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if a part is missing or damaged.
        """
        missing = {part.digest: part for part in head.parts if part.digest not in known}
        contents = await asyncio.gather(*map(self.part, missing.values()))
        held = {**known, **dict(zip(missing, contents))}
        return ConfigurationSnapshot(
            head, {part.digest: held[part.digest] for part in head.parts}
        )

    async def part(self, part: PartRef) -> bytes:
        """Return the packed content of a part after a check of its digest.

        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if it is missing or damaged.
        """
        async with self.limit:
            entry = await self.store.get(part_key(part), CALL_TIMEOUT_SECONDS)
        if entry is None:
            raise SnapshotError(f"part {part.digest} is not in the store")
        decompress_part(part, entry.value)
        return entry.value

    async def save_past_manifest(self, head: SnapshotManifest) -> None:
        """Write the copy of a head that is to be replaced.

        :raises StoreUnavailable: if no answer came.
        """
        try:
            await self.store.put(
                history_key(head.version), head.encode(), 0, CALL_TIMEOUT_SECONDS
            )
        except StoreConflictError:
            # Only a head that was in force is ever written here, so that
            # whoever came first wrote the same.
            return

    async def write_parts(
        self, edition: ConfigurationSnapshot, written: list[StoreEntry]
    ) -> None:
        """Write the parts that the version adds.

        :param written: takes the entries that were absent before.
        :raises StoreUnavailable: if no answer came.
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
        """Write a part unless it stands there unharmed; raises as `write_parts`."""
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
                await self.mend_part(key, packed, entry.revision)

    async def mend_part(self, key: str, packed: bytes, revision: int) -> None:
        """Replace a damaged part."""
        try:
            await self.store.put(key, packed, revision, CALL_TIMEOUT_SECONDS)
        except StoreConflictError as error:
            raise StoreUnavailableError(f"{key} has changed meanwhile") from error

    async def swap_head(
        self, edition: ConfigurationSnapshot, expected: int
    ) -> StoreEntry:
        """Put the head of `edition` in the place of revision `expected`.

        :raises StoreConflict: if the head has another revision.
        :raises StoreUnavailable: if no answer came; it may have taken effect.
        """
        value = edition.manifest.encode()
        return await self.store.put(HEAD_KEY, value, expected, CALL_TIMEOUT_SECONDS)

    async def trim(self, head: SnapshotManifest) -> int:
        """Delete history beyond what is kept; return the highest version deleted.

        Errors end the work early; the next edit takes it up again.
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
        """Delete a version's history and the parts that its successor dropped.

        No later version refers to those parts; see the class.

        :raises StoreError: if a call failed; a repeat takes it up again.
        :raises EditionError: if the successor is not readable.
        """
        past = await self.read_past_manifest(version)
        if past is None:
            return
        successor = await self.read_past_manifest(version + 1)
        if successor is None:
            raise SnapshotError(f"history of version {version + 1} is not readable")
        used = {part_key(part) for part in successor.parts}
        for part in past.parts:
            if part_key(part) not in used:
                await self.delete(part_key(part))
        await self.delete(history_key(version))

    async def delete(self, key: str) -> None:
        """Delete a key that nothing refers to.

        :raises StoreError: if a call failed.
        """
        entry = await self.store.get(key, CALL_TIMEOUT_SECONDS)
        if entry is not None:
            await self.store.delete(key, entry.revision, CALL_TIMEOUT_SECONDS)

    async def delete_losing_parts(
        self, written: list[StoreEntry], winner: SnapshotManifest
    ) -> None:
        """Delete parts that an edit wrote which lost against `winner`.

        :param winner: the head that took the edit's version.
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
    """Return the key of the copy of a former head."""
    return f"{HISTORY_PREFIX}{version}"


def part_key(part: PartRef) -> str:
    """Return the key of a part."""
    return f"{PART_PREFIX}{part.version}-{part.digest}"
