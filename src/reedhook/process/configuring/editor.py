"""What operators do with the configuration."""

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
    """Check, accept and show editions on behalf of operators."""

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
        """Check the documents for every site.

        :raises InvalidConfiguration: with every fault found.
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
        """Accept an edit exactly once; a repeat with its id returns the first's head.

        :param parent_version: the version that the operator edited.
        :raises InvalidConfiguration: with every fault found.
        :raises EditConflict: if another version stands.
        :raises Refusal: ``not run`` if the store gave no answer before the
            head was touched, ``may have run`` after; repeat with the same id.
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
        head, edition = await edit.accept()
        if edition is not None:
            await self.manager.adopt(edition, "editor")
        log.info(f"Version {head.version} accepted, edit {head.edit_id}.")
        return head

    async def show(
        self, version: int | None = None
    ) -> tuple[SnapshotManifest, ConfigurationDocuments]:
        """Return a version; the one in force if `version` is None.

        :raises Refusal: if it is not kept or the store gave no answer.
        """
        return await self.reader.show(version)

    async def diff(self, old: int, new: int) -> list[PathChange]:
        """Return what differs between two versions.

        :raises Refusal: if one is not kept or the store gave no answer.
        """
        return await self.reader.diff(old, new)

    async def history(self, limit: int = 20) -> list[SnapshotManifest]:
        """Return the newest heads, the newest first.

        :raises Refusal: if the store gave no answer.
        """
        return await self.reader.history(limit)


def check_edit_metadata(author: str, comment: str, edit_id: str) -> None:
    """Raise a refusal if what goes with an edit is empty or too long."""
    limits = (
        ("edit id", edit_id, 1, MAX_EDIT_ID_CHARACTERS),
        ("author", author, 1, MAX_AUTHOR_CHARACTERS),
        ("comment", comment, 0, MAX_COMMENT_CHARACTERS),
    )
    for name, text, least, most in limits:
        if not least <= len(text) <= most:
            detail = f"the {name} must have {least} to {most} characters"
            raise not_run(RefusalReason.BAD_REQUEST, detail)
