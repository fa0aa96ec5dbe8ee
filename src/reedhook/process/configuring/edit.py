"""One edit on its way to being the version that stands."""

from typing import Final

from ...clock import Clock
from ...request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ...request.verdict import Verdict
from ...version.difference import VersionChanges
from ...version.document import Documents
from ...version.edition import Edition, EditionError, Head, holds, make_edition
from ...wire import Json
from .archive import StoredHead
from .reader import RETRY_AFTER_MS, EditionReader
from .store import Entry, StoreConflict, StoreError, StoreUnavailable

APPLY_TIMEOUT: Final = 10.0
RETRY_DELAY: Final = 0.2
UNKNOWN_PARENT_READS: Final = 4


class EditConflict(RefusalError):
    """Say that the configuration has moved on since the operator's version.

    :param version: the version now.
    :param since: the newest versions since, the newest first.
    :param omitted: how many versions since are not named.
    """

    def __init__(
        self, parent: int, version: int, since: list[VersionChanges], omitted: int
    ) -> None:
        authors = ", ".join(sorted({one.head.author for one in since}))
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


class Edit:
    """Carry one edit through acceptance.

    :ivar touched: whether the head may have been swapped by this edit.
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
        "touched",
        "wall",
        "written",
        "behind",
    )

    def __init__(
        self,
        reader: EditionReader,
        clock: Clock,
        documents: Documents,
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
        self.touched = False
        self.wall = clock.wall()
        self.written: list[Entry] = []
        self.behind = 0

    async def accept(self) -> tuple[Head, Edition | None]:
        """Return the accepted head, and the newest edition if it was read.

        Each attempt reads back first, so that an answer lost after the head
        was swapped is found as an accepted edit.
        """
        deadline = self.clock.monotonic() + APPLY_TIMEOUT
        while True:
            try:
                return await self.attempt()
            except (StoreError, EditionError) as error:
                if self.clock.monotonic() >= deadline:
                    raise self.unanswered(error) from error
            await self.clock.sleep(RETRY_DELAY)

    async def attempt(self) -> tuple[Head, Edition | None]:
        """Accept the edit, or find it accepted.

        :raises StoreUnavailable: if the outcome is not known yet.
        :raises EditionError: if the head is damaged.
        :raises Refusal: if the edit cannot be accepted.
        """
        stored = await self.reader.newest()
        found = await self.find(stored)
        if found is not None:
            self.refuse_reuse(found)
            return found, await self.load_newest(stored)
        if stored.version < self.parent:
            raise self.refuse_unknown_parent(stored)
        if stored.version > self.parent:
            raise await self.conflict(stored)
        edition = await self.reader.worker.run(
            make_edition,
            self.documents,
            stored.head,
            self.edit_id,
            self.author,
            self.comment,
            self.wall,
        )
        await self.prepare(stored, edition)
        self.touched = True
        try:
            await self.archive.swap_head(edition, stored.revision)
        except StoreConflict as error:
            raise StoreUnavailable("the head has moved; it is read again") from error
        return edition.head, edition

    async def prepare(self, stored: StoredHead, edition: Edition) -> None:
        """Write all that must stand before the head is swapped."""
        await self.archive.write_parts(edition, self.written)
        if stored.head is not None:
            await self.archive.keep_past(stored.head)
            edition.head.trimmed = await self.archive.trim(stored.head)

    async def find(self, stored: StoredHead) -> Head | None:
        """Return the head that this edit became, or None if it was not accepted.

        :raises StoreUnavailable: if that cannot be told now.
        :raises Refusal: if that cannot be told any more.
        """
        if stored.head is None:
            return None
        for version, edit_id in stored.head.recent:
            if edit_id == self.edit_id:
                return await self.head_at(version, stored.head)
        successor = self.parent + 1
        if stored.version < successor:
            return None
        if successor <= stored.head.trimmed:
            detail = f"version {successor} is not kept; compare with what stands"
            raise may_have_run(RefusalReason.CONFLICT, detail)
        head = await self.head_at(successor, stored.head)
        return head if head.edit_id == self.edit_id else None

    async def head_at(self, version: int, newest: Head) -> Head:
        """Return the head of a version that is known to be kept.

        :raises StoreUnavailable: if it cannot be read now.
        """
        if version == newest.version:
            return newest
        head = await self.archive.past_head(version)
        if head is None:
            raise StoreUnavailable(f"stale read of the history of version {version}")
        return head

    async def load_newest(self, stored: StoredHead) -> Edition | None:
        """Return the newest edition, or None if it cannot be read now."""
        if stored.head is None:
            return None
        try:
            return await self.reader.load(stored.head)
        except (EditionError, StoreError):
            return None

    def refuse_reuse(self, found: Head) -> None:
        """Raise a refusal if the id was used for other documents."""
        if holds(found, self.documents):
            return
        detail = f"edit id {self.edit_id} was used for version {found.version}"
        raise not_run(RefusalReason.REQUEST_REUSED, detail)

    def refuse_unknown_parent(self, stored: StoredHead) -> Exception:
        """Return what to raise if the store knows no such parent."""
        self.behind += 1
        detail = f"the store gives version {stored.version}, not {self.parent}"
        if self.touched or self.behind < UNKNOWN_PARENT_READS:
            return StoreUnavailable(detail)
        return not_run(RefusalReason.CONFLICT, detail)

    async def conflict(self, stored: StoredHead) -> EditConflict:
        """Return the conflict, after deleting parts that only this edit wrote."""
        newest = stored.head
        assert newest is not None
        winner = await self.head_at(self.parent + 1, newest)
        await self.archive.discard(self.written, winner)
        since = await self.reader.changes_since(self.parent, newest)
        omitted = newest.version - self.parent - len(since)
        return EditConflict(self.parent, newest.version, since, omitted)

    def unanswered(self, error: Exception) -> RefusalError:
        """Return the refusal of an edit whose outcome the store did not tell."""
        if not self.touched:
            detail = f"this attempt had no effect: {error}"
            return not_run(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
        detail = f"repeat with edit id {self.edit_id} to learn the outcome: {error}"
        return may_have_run(RefusalReason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
