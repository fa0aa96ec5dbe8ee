"""Reading of active and stored snapshots for operators."""

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
    """Read the active snapshot and stored versions."""

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
        """Return a version, by default the active one.

        :raises RefusalError: if it is not stored or the store gives no response.
        """
        current = self.manager.snapshot
        if current is not None and version in (None, current.version):
            return current.manifest, current.documents()
        if version is None:
            raise not_run(
                RefusalReason.NO_CONFIGURATION, "this host has no active version"
            )
        try:
            snapshot = await self.load(await self.read_manifest(version))
            return snapshot.manifest, snapshot.documents()
        except (SnapshotError, StoreError) as error:
            raise store_refusal(error) from error

    async def diff(self, old: int, new: int) -> list[PathChange]:
        """Return the paths that differ between two versions.

        :raises RefusalError: if one is not stored or the store gives no response.
        """
        _, before = await self.show(old)
        _, after = await self.show(new)
        return await self.worker.run(changes_between, before, after)

    async def history(self, limit: int = 20) -> list[SnapshotManifest]:
        """Return the latest manifests, newest first.

        :raises RefusalError: if the store gives no response.
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
            manifests = [stored.manifest, *await asyncio.gather(*past)]
            return [manifest for manifest in manifests if manifest is not None]
        except (SnapshotError, StoreError) as error:
            raise store_refusal(error) from error

    async def read_newest_head(self) -> StoredHead:
        """Read the head; it is at least as new as the active version.

        :raises StoreUnavailableError: if the read is older or the store gives no
            response.
        :raises SnapshotError: if the manifest is damaged.
        """
        stored = await self.archive.read_head()
        if stored.version < self.manager.version:
            raise StoreUnavailableError(
                f"store returned version {stored.version}, "
                f"older than the active version {self.manager.version}"
            )
        return stored

    async def read_manifest(self, version: int) -> SnapshotManifest:
        """Read the manifest of a version.

        :raises RefusalError: if it is not stored.
        :raises StoreUnavailableError: if the store gives no response.
        :raises SnapshotError: if it is damaged.
        """
        manifest = await self.archive.read_past_manifest(version)
        if manifest is None:
            manifest = (await self.read_newest_head()).manifest
        if manifest is None or manifest.version != version:
            raise not_run(RefusalReason.BAD_REQUEST, f"version {version} is not kept")
        return manifest

    async def load(self, head: SnapshotManifest) -> ConfigurationSnapshot:
        """Read the snapshot of a manifest; raise as `read_snapshot`."""
        return await self.archive.read_snapshot(head, self.manager.parts())

    async def changes_since(
        self, parent: int, newest: SnapshotManifest
    ) -> list[VersionChanges]:
        """Return the changes of the latest versions, newest first.

        :raises RefusalError: if one is not stored.
        :raises StoreUnavailableError: if the store gives no response.
        :raises SnapshotError: if one is damaged.
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
        """Read the version before that of `head`; raise as `load`."""
        if head.version == 1:
            return None, ConfigurationDocuments("", {})
        past = await self.read_manifest(head.version - 1)
        return past, (await self.load(past)).documents()


def oldest_base(head: SnapshotManifest) -> int:
    """Return the oldest version that can be compared with later ones."""
    return head.trimmed + 1 if head.trimmed else 0


def store_refusal(error: Exception) -> RefusalError:
    """Return the refusal of a read that failed at the store."""
    return not_run(RefusalReason.STORE_UNAVAILABLE, str(error), RETRY_AFTER_MS)
