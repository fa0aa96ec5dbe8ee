"""Acceptance of an edit as the next version."""

from typing import Final

from ...clock import Clock
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...request.verdict import Verdict
from ...version.difference import VersionChanges
from ...version.document import ConfigurationDocuments
from ...version.snapshot import (
    ConfigurationSnapshot,
    SnapshotError,
    SnapshotManifest,
    build_snapshot,
    manifest_matches,
)
from ...wire import Json
from .snapshot_reader import RETRY_AFTER_MS, SnapshotReader
from .snapshot_repository import StoredHead
from .store import StoreConflictError, StoreEntry, StoreError, StoreUnavailableError

APPLY_TIMEOUT_SECONDS: Final = 10.0
RETRY_DELAY_SECONDS: Final = 0.2
UNKNOWN_PARENT_READS: Final = 4


class EditConflictError(RefusalError):
    """Signal that a newer version than the parent of the edit was accepted.

    :param version: the current version.
    :param since: the latest versions after the parent, newest first.
    :param omitted: the number of versions after the parent that `since` omits.
    """

    def __init__(
        self, parent: int, version: int, since: list[VersionChanges], omitted: int
    ) -> None:
        authors = ", ".join(sorted({changes.manifest.author for changes in since}))
        by = f" (by {authors})" if authors else ""
        detail = (
            f"the edit is based on version {parent}, "
            f"but version {version} is current{by}"
        )
        super().__init__(RefusalReason.CONFLICT, Verdict.NOT_RUN, detail)
        self.version = version
        self.since = since
        self.omitted = omitted

    def to_json(self) -> Json:
        since = [changes.to_json() for changes in self.since]
        extra = {"version": self.version, "since": since, "omitted": self.omitted}
        return {**super().to_json(), **extra}


class ConfigurationEdit:
    """Run one edit through acceptance.

    :ivar swap_attempted: whether this edit may have replaced the head.
    :ivar written: the parts written by this edit.
    :ivar behind: how often the store returned a version older than the parent.
    """

    __slots__ = (
        "reader",
        "archive",
        "clock",
        "documents",
        "parent",
        "author",
        "comment",
        "edit_id",
        "swap_attempted",
        "wall",
        "written",
        "behind",
    )

    def __init__(
        self,
        reader: SnapshotReader,
        clock: Clock,
        documents: ConfigurationDocuments,
        parent: int,
        author: str,
        comment: str,
        edit_id: str,
    ) -> None:
        self.reader = reader
        self.archive = reader.archive
        self.clock = clock
        self.documents = documents
        self.parent = parent
        self.author = author
        self.comment = comment
        self.edit_id = edit_id
        self.swap_attempted = False
        self.wall = clock.wall()
        self.written: list[StoreEntry] = []
        self.behind = 0

    async def accept(self) -> tuple[SnapshotManifest, ConfigurationSnapshot | None]:
        """Return the accepted manifest, and the newest snapshot if it was read.

        Each attempt first checks whether an earlier one was accepted, in case the
        response to the swap of the head was lost.
        """
        deadline = self.clock.monotonic() + APPLY_TIMEOUT_SECONDS
        while True:
            try:
                return await self.attempt()
            except (StoreError, SnapshotError) as error:
                if self.clock.monotonic() >= deadline:
                    raise self.store_refusal(error) from error
            await self.clock.sleep(RETRY_DELAY_SECONDS)

    async def attempt(self) -> tuple[SnapshotManifest, ConfigurationSnapshot | None]:
        """Accept the edit unless it was already accepted.

        :raises StoreUnavailableError: if the outcome is not known yet.
        :raises SnapshotError: if the manifest is damaged.
        :raises RefusalError: if the edit cannot be accepted.
        """
        stored = await self.reader.read_newest_head()
        found = await self.find_accepted(stored)
        if found is not None:
            self.check_edit_id_reuse(found)
            return found, await self.load_newest(stored)
        if stored.version < self.parent:
            raise self.unknown_parent_error(stored)
        if stored.version > self.parent:
            raise await self.conflict(stored)
        snapshot = await self.reader.worker.run(
            build_snapshot,
            self.documents,
            stored.manifest,
            self.edit_id,
            self.author,
            self.comment,
            self.wall,
        )
        await self.prepare(stored, snapshot)
        self.swap_attempted = True
        try:
            await self.archive.swap_head(snapshot, stored.revision)
        except StoreConflictError as error:
            raise StoreUnavailableError(
                "the head was replaced by another edit"
            ) from error
        return snapshot.manifest, snapshot

    async def prepare(self, stored: StoredHead, edition: ConfigurationSnapshot) -> None:
        """Write everything that must exist before the head is replaced."""
        await self.archive.write_parts(edition, self.written)
        if stored.manifest is not None:
            await self.archive.save_past_manifest(stored.manifest)
            edition.manifest.trimmed = await self.archive.trim(stored.manifest)

    async def find_accepted(self, stored: StoredHead) -> SnapshotManifest | None:
        """Return the manifest of this edit if it was accepted, else None.

        :raises StoreUnavailableError: if that is unknown for now.
        :raises RefusalError: if that can no longer be determined.
        """
        if stored.manifest is None:
            return None
        for version, edit_id in stored.manifest.recent:
            if edit_id == self.edit_id:
                return await self.read_manifest(version, stored.manifest)
        successor = self.parent + 1
        if stored.version < successor:
            return None
        if successor <= stored.manifest.trimmed:
            detail = f"version {successor} is not kept; check the current version"
            raise may_have_run(RefusalReason.CONFLICT, detail)
        manifest = await self.read_manifest(successor, stored.manifest)
        return manifest if manifest.edit_id == self.edit_id else None

    async def read_manifest(
        self, version: int, newest: SnapshotManifest
    ) -> SnapshotManifest:
        """Return the manifest of a version that is known to be stored.

        :raises StoreUnavailableError: if it cannot be read for now.
        """
        if version == newest.version:
            return newest
        manifest = await self.archive.read_past_manifest(version)
        if manifest is None:
            raise StoreUnavailableError(
                f"stale read of the history of version {version}"
            )
        return manifest

    async def load_newest(self, stored: StoredHead) -> ConfigurationSnapshot | None:
        """Return the newest snapshot, or None if it cannot be read for now."""
        if stored.manifest is None:
            return None
        try:
            return await self.reader.load(stored.manifest)
        except (SnapshotError, StoreError):
            return None

    def check_edit_id_reuse(self, found: SnapshotManifest) -> None:
        """Raise a refusal if the edit id was used for other documents."""
        if manifest_matches(found, self.documents):
            return
        detail = f"edit id {self.edit_id} was already used for version {found.version}"
        raise not_run(RefusalReason.REQUEST_REUSED, detail)

    def unknown_parent_error(self, stored: StoredHead) -> Exception:
        """Return the exception for a parent that the store does not have yet."""
        self.behind += 1
        detail = f"the store has version {stored.version}, not {self.parent}"
        if self.swap_attempted or self.behind < UNKNOWN_PARENT_READS:
            return StoreUnavailableError(detail)
        return not_run(RefusalReason.CONFLICT, detail)

    async def conflict(self, stored: StoredHead) -> EditConflictError:
        """Delete the parts that only this edit uses and return the conflict."""
        newest = stored.manifest
        assert newest is not None
        winner = await self.read_manifest(self.parent + 1, newest)
        await self.archive.delete_losing_parts(self.written, winner)
        since = await self.reader.changes_since(self.parent, newest)
        omitted = newest.version - self.parent - len(since)
        return EditConflictError(self.parent, newest.version, since, omitted)

    def store_refusal(self, error: Exception) -> RefusalError:
        """Return the refusal of an edit that failed at the store."""
        if not self.swap_attempted:
            detail = f"this attempt had no effect: {error}"
            return not_run(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
        detail = f"repeat with edit id {self.edit_id} to learn the outcome: {error}"
        return may_have_run(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
