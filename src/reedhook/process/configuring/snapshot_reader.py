"""Reading editions: what is in force here, and what the store keeps."""

import asyncio
from typing import Final

from ...request.refusal import RefusalError, RefusalReason, not_run
from ...version.difference import PathChange, VersionChanges, changes_between
from ...version.document import ConfigurationDocuments
from ...version.snapshot import ConfigurationSnapshot, SnapshotError, SnapshotManifest
from ..worker import Worker
from .configuration_manager import ConfigurationManager
from .snapshot_repository import SnapshotRepository, StoredHead
from .store import StoreError, StoreUnavailableError

MAX_REPORTED_VERSIONS: Final = 8
RETRY_AFTER_MS: Final = 1000


class SnapshotReader:
    """Read editions on behalf of operators."""

    __slots__ = ("manager", "archive", "worker")

    def __init__(
        self, manager: ConfigurationManager, archive: SnapshotRepository, worker: Worker
    ) -> None:
        self.manager = manager
        self.archive = archive
        self.worker = worker

    async def show(
        self, version: int | None = None
    ) -> tuple[SnapshotManifest, ConfigurationDocuments]:
        """Return a version; the one in force if `version` is None.

        :raises Refusal: if it is not kept or the store gave no answer.
        """
        current = self.manager.snapshot
        if current is not None and version in (None, current.version):
            return current.manifest, current.documents()
        if version is None:
            raise not_run(RefusalReason.NO_CONFIGURATION, "no version is in force here")
        try:
            edition = await self.load(await self.read_manifest(version))
            return edition.manifest, edition.documents()
        except (SnapshotError, StoreError) as error:
            raise store_refusal(error) from error

    async def diff(self, old: int, new: int) -> list[PathChange]:
        """Return what differs between two versions.

        :raises Refusal: if one is not kept or the store gave no answer.
        """
        _, before = await self.show(old)
        _, after = await self.show(new)
        return await self.worker.run(changes_between, before, after)

    async def history(self, limit: int = 20) -> list[SnapshotManifest]:
        """Return the newest heads, the newest first.

        :raises Refusal: if the store gave no answer.
        """
        try:
            stored = await self.read_newest_head()
            if stored.manifest is None:
                return []
            low = max(stored.manifest.trimmed, stored.version - limit)
            past = [
                self.archive.read_past_manifest(v)
                for v in range(stored.version - 1, low, -1)
            ]
            heads = [stored.manifest, *await asyncio.gather(*past)]
            return [head for head in heads if head is not None]
        except (SnapshotError, StoreError) as error:
            raise store_refusal(error) from error

    async def read_newest_head(self) -> StoredHead:
        """Return a head at least as new as the version in force here.

        :raises StoreUnavailable: if only older ones are read.
        :raises EditionError: if the head is damaged.
        """
        stored = await self.archive.read_head()
        if stored.version < self.manager.version:
            raise StoreUnavailableError(
                f"the store gives version {stored.version}, "
                f"older than version {self.manager.version} in force"
            )
        return stored

    async def read_manifest(self, version: int) -> SnapshotManifest:
        """Return the head of a version.

        :raises Refusal: if it is not kept.
        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if it is damaged.
        """
        head = await self.archive.read_past_manifest(version)
        if head is None:
            head = (await self.read_newest_head()).manifest
        if head is None or head.version != version:
            raise not_run(RefusalReason.BAD_REQUEST, f"version {version} is not kept")
        return head

    async def load(self, head: SnapshotManifest) -> ConfigurationSnapshot:
        """Return the edition of a head; raises as `Archive.edition`."""
        return await self.archive.read_snapshot(head, self.manager.parts())

    async def changes_since(
        self, parent: int, newest: SnapshotManifest
    ) -> list[VersionChanges]:
        """Return what the newest versions changed, the newest first.

        :raises Refusal: if one is not kept.
        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if one is damaged.
        """
        low = max(parent, newest.version - MAX_REPORTED_VERSIONS, oldest_base(newest))
        since: list[VersionChanges] = []
        head, texts = newest, (await self.load(newest)).documents()
        while head.version > low:
            past, before = await self.load_previous(head)
            changes = await self.worker.run(changes_between, before, texts)
            since.append(VersionChanges(head, tuple(changes)))
            if past is None:
                break
            head, texts = past, before
        return since

    async def load_previous(
        self, head: SnapshotManifest
    ) -> tuple[SnapshotManifest | None, ConfigurationDocuments]:
        """Return what the version before that of `head` held; raises as `load`."""
        if head.version == 1:
            return None, ConfigurationDocuments("", {})
        past = await self.read_manifest(head.version - 1)
        return past, (await self.load(past)).documents()


def oldest_base(head: SnapshotManifest) -> int:
    """Return the oldest version that later ones can be compared with."""
    return head.trimmed + 1 if head.trimmed else 0


def store_refusal(error: Exception) -> RefusalError:
    """Return the refusal of a reading for which the store gave no answer."""
    return not_run(RefusalReason.STORE_UNAVAILABLE, str(error), RETRY_AFTER_MS)
