"""Edits of operators: checking, acceptance by compare-and-swap, history."""

import asyncio
from typing import Final

import logbook

from ..clock import Clock
from ..record import Record
from ..request.refusal import Reason, Refusal, may_have_run, not_run
from ..request.verdict import Verdict
from ..version.check import check
from ..version.document import BASE_FILE, Documents, overlay_file, parse
from ..version.edition import Edition, EditionError, Head, holds, make_edition
from ..version.fault import Fault
from ..version.merge import changed_paths
from ..wire import Json
from .archive import Archive, StoredHead
from .configuration import ConfigurationKeeper
from .store import Entry, StoreConflict, StoreError, StoreUnavailable
from .worker import ThreadWorker, Worker

APPLY_TIMEOUT: Final = 10.0
RETRY_DELAY: Final = 0.2
RETRY_AFTER_MS: Final = 1000
NAMED_VERSIONS: Final = 8
UNKNOWN_PARENT_READS: Final = 4
MAX_EDIT_ID: Final = 64
MAX_AUTHOR: Final = 128
MAX_COMMENT: Final = 2000

log = logbook.Logger("editor")


class Change(Record):
    """Carry one path that differs between two versions.

    :param file: the document.
    :param path: the keys that lead to what differs.
    """

    __slots__ = ("file", "path")

    def __init__(self, file: str, path: str) -> None:
        self.file = file
        self.path = path

    def to_json(self) -> Json:
        """Return the change as it stands on the wire."""
        return {"file": self.file, "path": self.path}


class VersionChanges(Record):
    """Carry what one version changed.

    :param head: the version's head.
    :param changes: what it changed; empty if only comments or layout did.
    """

    __slots__ = ("head", "changes")

    def __init__(self, head: Head, changes: tuple[Change, ...]) -> None:
        self.head = head
        self.changes = changes

    def to_json(self) -> Json:
        """Return the changes as they stand on the wire."""
        changes = [change.to_json() for change in self.changes]
        return {**self.head.summary(), "changes": changes}


class EditConflict(Refusal):
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
        super().__init__(Reason.CONFLICT, Verdict.NOT_RUN, detail)
        self.version = version
        self.since = since
        self.omitted = omitted

    def to_json(self) -> Json:
        since = [one.to_json() for one in self.since]
        extra = {"version": self.version, "since": since, "omitted": self.omitted}
        return {**super().to_json(), **extra}


class ConfigurationEditor:
    """Check, accept and show editions on behalf of operators."""

    __slots__ = ("keeper", "archive", "clock", "worker")

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        archive: Archive,
        clock: Clock,
        worker: Worker | None = None,
    ) -> None:
        self.keeper = keeper
        self.archive = archive
        self.clock = clock
        self.worker = worker or ThreadWorker()

    async def check(self, documents: Documents) -> None:
        """Check the documents for every site.

        :raises InvalidConfiguration: with every fault found.
        """
        await self.worker.run(check, documents)

    async def apply(
        self,
        documents: Documents,
        parent_version: int,
        author: str,
        comment: str,
        edit_id: str,
    ) -> Head:
        """Accept an edit exactly once; a repeat with its id returns the first's head.

        :param parent_version: the version that the operator edited.
        :raises InvalidConfiguration: with every fault found.
        :raises EditConflict: if another version stands.
        :raises Refusal: ``not run`` if the store gave no answer before the
            head was touched, ``may have run`` after; repeat with the same id.
        """
        refuse_bad_labels(author, comment, edit_id)
        await self.check(documents)
        edit = Edit(self, documents, parent_version, author, comment, edit_id)
        head, edition = await edit.accept()
        if edition is not None:
            await self.keeper.adopt(edition, "editor")
        log.info(f"Version {head.version} accepted, edit {head.edit_id}.")
        return head

    async def show(self, version: int | None = None) -> tuple[Head, Documents]:
        """Return a version; the one in force if `version` is None.

        :raises Refusal: if it is not kept or the store gave no answer.
        """
        current = self.keeper.edition
        if current is not None and version in (None, current.version):
            return current.head, current.documents()
        if version is None:
            raise not_run(Reason.NO_CONFIGURATION, "no version is in force here")
        try:
            edition = await self.load(await self.head_of(version))
            return edition.head, edition.documents()
        except (EditionError, StoreError) as error:
            raise store_refusal(error) from error

    async def diff(self, old: int, new: int) -> list[Change]:
        """Return what differs between two versions.

        :raises Refusal: if one is not kept or the store gave no answer.
        """
        _, before = await self.show(old)
        _, after = await self.show(new)
        return await self.worker.run(changes_between, before, after)

    async def history(self, limit: int = 20) -> list[Head]:
        """Return the newest heads, the newest first.

        :raises Refusal: if the store gave no answer.
        """
        try:
            stored = await self.newest()
            if stored.head is None:
                return []
            low = max(stored.head.trimmed, stored.version - limit)
            past = [
                self.archive.past_head(v) for v in range(stored.version - 1, low, -1)
            ]
            heads = [stored.head, *await asyncio.gather(*past)]
            return [head for head in heads if head is not None]
        except (EditionError, StoreError) as error:
            raise store_refusal(error) from error

    async def newest(self) -> StoredHead:
        """Return a head at least as new as the version in force here.

        :raises StoreUnavailable: if only older ones are read.
        :raises EditionError: if the head is damaged.
        """
        stored = await self.archive.head()
        if stored.version < self.keeper.version:
            raise StoreUnavailable(
                f"the store gives version {stored.version}, "
                f"older than version {self.keeper.version} in force"
            )
        return stored

    async def head_of(self, version: int) -> Head:
        """Return the head of a version.

        :raises Refusal: if it is not kept.
        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if it is damaged.
        """
        head = await self.archive.past_head(version)
        if head is None:
            head = (await self.newest()).head
        if head is None or head.version != version:
            raise not_run(Reason.BAD_REQUEST, f"version {version} is not kept")
        return head

    async def load(self, head: Head) -> Edition:
        """Return the edition of a head; raises as `Archive.edition`."""
        return await self.archive.edition(head, self.keeper.parts())

    async def changes_since(self, parent: int, newest: Head) -> list[VersionChanges]:
        """Return what the newest versions changed, the newest first.

        :raises Refusal: if one is not kept.
        :raises StoreUnavailable: if no answer came.
        :raises EditionError: if one is damaged.
        """
        low = max(parent, newest.version - NAMED_VERSIONS, oldest_base(newest))
        since: list[VersionChanges] = []
        head, texts = newest, (await self.load(newest)).documents()
        while head.version > low:
            past, before = await self.before(head)
            changes = await self.worker.run(changes_between, before, texts)
            since.append(VersionChanges(head, tuple(changes)))
            if past is None:
                break
            head, texts = past, before
        return since

    async def before(self, head: Head) -> tuple[Head | None, Documents]:
        """Return what the version before that of `head` held; raises as `load`."""
        if head.version == 1:
            return None, Documents("", {})
        past = await self.head_of(head.version - 1)
        return past, (await self.load(past)).documents()


def oldest_base(head: Head) -> int:
    """Return the oldest version that later ones can be compared with."""
    return head.trimmed + 1 if head.trimmed else 0


class Edit:
    """Carry one edit through acceptance.

    :ivar touched: whether the head may have been swapped by this edit.
    :ivar written: the parts that it wrote.
    :ivar behind: how often the store gave a version older than the parent.
    """

    __slots__ = (
        "editor",
        "archive",
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
        editor: ConfigurationEditor,
        documents: Documents,
        parent: int,
        author: str,
        comment: str,
        edit_id: str,
    ) -> None:
        self.editor = editor
        self.archive = editor.archive
        self.documents = documents
        self.parent = parent
        self.author = author
        self.comment = comment
        self.edit_id = edit_id
        self.touched = False
        self.wall = editor.clock.wall()
        self.written: list[Entry] = []
        self.behind = 0

    async def accept(self) -> tuple[Head, Edition | None]:
        """Return the accepted head, and the newest edition if it was read.

        Each attempt reads back first, so that an answer lost after the head
        was swapped is found as an accepted edit.
        """
        deadline = self.editor.clock.monotonic() + APPLY_TIMEOUT
        while True:
            try:
                return await self.attempt()
            except (StoreError, EditionError) as error:
                if self.editor.clock.monotonic() >= deadline:
                    raise self.unanswered(error) from error
            await self.editor.clock.sleep(RETRY_DELAY)

    async def attempt(self) -> tuple[Head, Edition | None]:
        """Accept the edit, or find it accepted.

        :raises StoreUnavailable: if the outcome is not known yet.
        :raises EditionError: if the head is damaged.
        :raises Refusal: if the edit cannot be accepted.
        """
        stored = await self.editor.newest()
        found = await self.find(stored)
        if found is not None:
            self.refuse_reuse(found)
            return found, await self.load_newest(stored)
        if stored.version < self.parent:
            raise self.refuse_unknown_parent(stored)
        if stored.version > self.parent:
            raise await self.conflict(stored)
        edition = await self.editor.worker.run(
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
            raise may_have_run(Reason.CONFLICT, detail)
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
            return await self.editor.load(stored.head)
        except (EditionError, StoreError):
            return None

    def refuse_reuse(self, found: Head) -> None:
        """Raise a refusal if the id was used for other documents."""
        if holds(found, self.documents):
            return
        detail = f"edit id {self.edit_id} was used for version {found.version}"
        raise not_run(Reason.REQUEST_REUSED, detail)

    def refuse_unknown_parent(self, stored: StoredHead) -> Exception:
        """Return what to raise if the store knows no such parent."""
        self.behind += 1
        detail = f"the store gives version {stored.version}, not {self.parent}"
        if self.touched or self.behind < UNKNOWN_PARENT_READS:
            return StoreUnavailable(detail)
        return not_run(Reason.CONFLICT, detail)

    async def conflict(self, stored: StoredHead) -> EditConflict:
        """Return the conflict, after deleting parts that only this edit wrote."""
        newest = stored.head
        assert newest is not None
        winner = await self.head_at(self.parent + 1, newest)
        await self.archive.discard(self.written, winner)
        since = await self.editor.changes_since(self.parent, newest)
        omitted = newest.version - self.parent - len(since)
        return EditConflict(self.parent, newest.version, since, omitted)

    def unanswered(self, error: Exception) -> Refusal:
        """Return the refusal of an edit whose outcome the store did not tell."""
        if not self.touched:
            detail = f"this attempt had no effect: {error}"
            return not_run(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)
        detail = f"repeat with edit id {self.edit_id} to learn the outcome: {error}"
        return may_have_run(Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_MS)


def refuse_bad_labels(author: str, comment: str, edit_id: str) -> None:
    """Raise a refusal if what goes with an edit is empty or too long."""
    limits = (
        ("edit id", edit_id, 1, MAX_EDIT_ID),
        ("author", author, 1, MAX_AUTHOR),
        ("comment", comment, 0, MAX_COMMENT),
    )
    for name, text, least, most in limits:
        if not least <= len(text) <= most:
            detail = f"the {name} must have {least} to {most} characters"
            raise not_run(Reason.BAD_REQUEST, detail)


def store_refusal(error: Exception) -> Refusal:
    """Return the refusal of a reading for which the store gave no answer."""
    return not_run(Reason.STORE_UNAVAILABLE, str(error), RETRY_AFTER_MS)


def changes_between(before: Documents, after: Documents) -> list[Change]:
    """Return the paths at which two editions differ."""
    ignored: list[Fault] = []
    texts = {BASE_FILE: (before.base, after.base)}
    for site in sorted({*before.overlays, *after.overlays}):
        pair = before.overlays.get(site, ""), after.overlays.get(site, "")
        texts[overlay_file(site)] = pair
    changes: list[Change] = []
    for file, (old, new) in texts.items():
        if old == new:
            continue
        left, right = parse(file, old, ignored), parse(file, new, ignored)
        for path in changed_paths(left.content, right.content):
            changes.append(Change(file, ".".join(path)))
    return changes
