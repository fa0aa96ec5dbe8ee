"""One edit on its way to being the version that stands."""

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
    """Say that the configuration has moved on since the operator's version.

    :param version: the version now.
    :param since: the newest versions since, the newest first.
    :param omitted: how many versions since are not named.
    """

    def __init__(
        self, parent: int, version: int, since: list[VersionChanges], omitted: int
    ) -> None:
        authors = ", ".join(sorted({one.manifest.author for one in since}))
        by = f" (by {authors})" if authors else ""
        detail = f"version {parent} was edited, but version {version} stands{by}"
        super().__init__(RefusalReason.CONFLICT, Verdict.NOT_RUN, detail)
        self.version = version
        self.since = since
        self.omitted = omitted

    def to_json(self) -> Json:
        since = [one.to_json() for one in self.since]
        extra = {"version": self.version, "since": since, "omitted": self.omitted}
        return {**super().to_json(), **extra}


class ConfigurationEdit:
    """Carry one edit through acceptance.

    :ivar swap_attempted: whether the head may have been swapped by this edit.
    :ivar written: the parts that it wrote.
    :ivar behind: how often the store gave a version older than the parent.
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
        """Return the accepted head, and the newest edition if it was read.

        Each attempt reads back first, so that an answer lost after the head
        was swapped is found as an accepted edit.
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
        """Accept the edit, or find it accepted.

        :raises StoreUnavailable: if the outcome is not known yet.
        :raises EditionError: if the head is damaged.
        :raises Refusal: if the edit cannot be accepted.
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
        edition = await self.reader.worker.run(
            build_snapshot,
            self.documents,
            stored.manifest,
            self.edit_id,
            self.author,
            self.comment,
            self.wall,
        )
        await self.prepare(stored, edition)
        self.swap_attempted = True
        try:
            await self.archive.swap_head(edition, stored.revision)
        except StoreConflictError as error:
            raise StoreUnavailableError(
                "the head has moved; it is read again"
            ) from error
        return edition.manifest, edition

    async def prepare(self, stored: StoredHead, edition: ConfigurationSnapshot) -> None:
        """Write all that must stand before the head is swapped."""
        await self.archive.write_parts(edition, self.written)
        if stored.manifest is not None:
            await self.archive.save_past_manifest(stored.manifest)
            edition.manifest.trimmed = await self.archive.trim(stored.manifest)

    async def find_accepted(self, stored: StoredHead) -> SnapshotManifest | None:
        """Return the head that this edit became, or None if it was not accepted.

        :raises StoreUnavailable: if that cannot be told now.
        :raises Refusal: if that cannot be told any more.
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
            detail = f"version {successor} is not kept; compare with what stands"
            raise may_have_run(RefusalReason.CONFLICT, detail)
        head = await self.read_manifest(successor, stored.manifest)
        return head if head.edit_id == self.edit_id else None

    async def read_manifest(
        self, version: int, newest: SnapshotManifest
    ) -> SnapshotManifest:
        """Return the head of a version that is known to be kept.

        :raises StoreUnavailable: if it cannot be read now.
        """
        if version == newest.version:
            return newest
        head = await self.archive.read_past_manifest(version)
        if head is None:
            raise StoreUnavailableError(
                f"stale read of the history of version {version}"
            )
        return head

    async def load_newest(self, stored: StoredHead) -> ConfigurationSnapshot | None:
        """Return the newest edition, or None if it cannot be read now."""
        if stored.manifest is None:
            return None
        try:
            return await self.reader.load(stored.manifest)
        except (SnapshotError, StoreError):
            return None

    def check_edit_id_reuse(self, found: SnapshotManifest) -> None:
        """Raise a refusal if the id was used for other documents."""
        if manifest_matches(found, self.documents):
            return
        detail = f"edit id {self.edit_id} was used for version {found.version}"
        raise not_run(RefusalReason.REQUEST_REUSED, detail)

    def unknown_parent_error(self, stored: StoredHead) -> Exception:
        """Return what to raise if the store knows no such parent."""
        self.behind += 1
        detail = f"the store gives version {stored.version}, not {self.parent}"
        if self.swap_attempted or self.behind < UNKNOWN_PARENT_READS:
            return StoreUnavailableError(detail)
        return not_run(RefusalReason.CONFLICT, detail)

    async def conflict(self, stored: StoredHead) -> EditConflictError:
        """Return the conflict, after deleting parts that only this edit wrote."""
        newest = stored.manifest
        assert newest is not None
        winner = await self.read_manifest(self.parent + 1, newest)
        await self.archive.delete_losing_parts(self.written, winner)
        since = await self.reader.changes_since(self.parent, newest)
        omitted = newest.version - self.parent - len(since)
        return EditConflictError(self.parent, newest.version, since, omitted)

    def store_refusal(self, error: Exception) -> RefusalError:
        """Return the refusal of an edit whose outcome the store did not tell."""
        if not self.swap_attempted:
            detail = f"this attempt had no effect: {error}"
            return not_run(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
        detail = f"repeat with edit id {self.edit_id} to learn the outcome: {error}"
        return may_have_run(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
