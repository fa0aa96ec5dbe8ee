"""Reading editions: what is in force here, and what the store keeps."""

import asyncio
from typing import Final

from ...request.refusal import RefusalError, RefusalReason, not_run
from ...version.difference import Change, VersionChanges, changes_between
from ...version.document import Documents
from ...version.edition import Edition, EditionError, Head
from ..worker import Worker
from .archive import Archive, StoredHead
from .configuration import ConfigurationKeeper
from .store import StoreError, StoreUnavailable

NAMED_VERSIONS: Final = 8
RETRY_AFTER_MS: Final = 1000


class EditionReader:
    """Read editions on behalf of operators."""

    __slots__ = ("keeper", "archive", "worker")

    def __init__(
        self, keeper: ConfigurationKeeper, archive: Archive, worker: Worker
    ) -> None:
        self.keeper = keeper
        self.archive = archive
        self.worker = worker

    async def show(self, version: int | None = None) -> tuple[Head, Documents]:
        """Return a version; the one in force if `version` is None.

        :raises Refusal: if it is not kept or the store gave no answer.
        """
        current = self.keeper.edition
        if current is not None and version in (None, current.version):
            return current.head, current.documents()
        if version is None:
            raise not_run(RefusalReason.NO_CONFIGURATION, "no version is in force here")
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
            raise not_run(RefusalReason.BAD_REQUEST, f"version {version} is not kept")
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


def store_refusal(error: Exception) -> RefusalError:
    """Return the refusal of a reading for which the store gave no answer."""
    return not_run(RefusalReason.STORE_UNAVAILABLE, str(error), RETRY_AFTER_MS)
