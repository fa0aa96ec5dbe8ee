"""Configuration operations for operators."""

from typing import Final

import logbook

from ...clock import Clock
from ...request.refusal import RefusalReason, not_run
from ...version.difference import PathChange
from ...version.document import ConfigurationDocuments
from ...version.snapshot import SnapshotManifest
from ...version.validation import validate_documents
from ..worker import ThreadWorker, Worker
from .configuration_edit import ConfigurationEdit
from .configuration_manager import ConfigurationManager
from .snapshot_reader import SnapshotReader
from .snapshot_repository import SnapshotRepository

MAX_EDIT_ID_CHARACTERS: Final = 64
MAX_AUTHOR_CHARACTERS: Final = 128
MAX_COMMENT_CHARACTERS: Final = 2000

log = logbook.Logger("editor")


class ConfigurationEditor:
    """Validate, accept and show versions of the configuration."""

    __slots__ = ("manager", "clock", "worker", "reader")

    def __init__(
        self,
        manager: ConfigurationManager,
        archive: SnapshotRepository,
        clock: Clock,
        worker: Worker | None = None,
    ) -> None:
        self.manager = manager
        self.clock = clock
        self.worker = worker or ThreadWorker()
        self.reader = SnapshotReader(manager, archive, self.worker)

    async def check(self, documents: ConfigurationDocuments) -> None:
        """Validate the documents for every site.

        :raises InvalidConfigurationError: with all errors found.
        """
        await self.worker.run(validate_documents, documents)

    async def apply(
        self,
        documents: ConfigurationDocuments,
        parent_version: int,
        author: str,
        comment: str,
        edit_id: str,
    ) -> SnapshotManifest:
        """Accept an edit exactly once; a repeat of its id returns the same manifest.

        :param parent_version: the version that the edit is based on.
        :raises InvalidConfigurationError: with all errors found.
        :raises EditConflictError: if a newer version than the parent was accepted.
        :raises RefusalError: ``not run`` if the store failed before the head was
            replaced, ``may have run`` if later; repeat with the same id.
        """
        check_edit_metadata(author, comment, edit_id)
        await self.check(documents)
        edit = ConfigurationEdit(
            self.reader,
            self.clock,
            documents,
            parent_version,
            author,
            comment,
            edit_id,
        )
        manifest, snapshot = await edit.accept()
        if snapshot is not None:
            await self.manager.adopt(snapshot, "editor")
        log.info(f"Version {manifest.version} accepted, edit {manifest.edit_id}.")
        return manifest

    async def show(
        self, version: int | None = None
    ) -> tuple[SnapshotManifest, ConfigurationDocuments]:
        """Return a version, by default the active one.

        :raises RefusalError: if it is not stored or the store gives no response.
        """
        return await self.reader.show(version)

    async def diff(self, old: int, new: int) -> list[PathChange]:
        """Return the paths that differ between two versions.

        :raises RefusalError: if one is not stored or the store gives no response.
        """
        return await self.reader.diff(old, new)

    async def history(self, limit: int = 20) -> list[SnapshotManifest]:
        """Return the latest manifests, newest first.

        :raises RefusalError: if the store gives no response.
        """
        return await self.reader.history(limit)


def check_edit_metadata(author: str, comment: str, edit_id: str) -> None:
    """Raise a refusal if the metadata of an edit is missing or too long."""
    limits = (
        ("edit id", edit_id, 1, MAX_EDIT_ID_CHARACTERS),
        ("author", author, 1, MAX_AUTHOR_CHARACTERS),
        ("comment", comment, 0, MAX_COMMENT_CHARACTERS),
    )
    for name, text, least, most in limits:
        if not least <= len(text) <= most:
            detail = f"the {name} must have {least} to {most} characters"
            raise not_run(RefusalReason.BAD_REQUEST, detail)
