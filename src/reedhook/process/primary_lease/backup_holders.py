"""The services for whose holders this host stands in."""

from collections.abc import Callable
from typing import Final, TypeAlias

from ...background_tasks import BackgroundTasks
from ...decision_log import DecisionLog
from .backup_holder import BackupHolder
from .lease_record import HostIncarnation, PrimaryLeaseRecord

BackupHolderFactory: TypeAlias = Callable[[PrimaryLeaseRecord, float], BackupHolder]

NEVER: Final = float("-inf")


class BackupHolders:
    """Stand in where a record names this host, and give that up when asked.

    :ivar promised: revisions of records by which this host will not act, since
        it has given its word to a holder that promotes.
    """

    def __init__(
        self,
        me: HostIncarnation,
        make_backup_holder: BackupHolderFactory,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.make_backup_holder = make_backup_holder
        self.found: dict[str, BackupHolder] = {}
        self.promised: dict[str, int] = {}
        self.closed = False
        self.background = BackgroundTasks(decisions)

    def active_holder(self, service: str) -> BackupHolder | None:
        """Return what uses a primary in its holder's place, or None."""
        deputy = self.found.get(service)
        return deputy if deputy is not None and deputy.active else None

    def handle_record(self, record: PrimaryLeaseRecord) -> None:
        """Become the deputy of a service, or cease to be it."""
        deputy = self.found.get(record.service)
        named = record.backup_holder == self.me
        if deputy is not None and not named:
            del self.found[record.service]
            self.background.spawn(self.stop_backup_holder(deputy))
        if deputy is None and named and not self.closed:
            # Only an own look permits to act; the first is due at once.
            deputy = self.make_backup_holder(record, NEVER)
            self.found[record.service] = deputy
            deputy.start()

    async def set_holder_lost(self, service: str, lost: bool) -> None:
        """Act as the deputy while the holder is lost, and no longer."""
        deputy = self.found.get(service)
        if deputy is None:
            return
        barred = deputy.record.revision <= self.promised.get(service, 0)
        if lost and not barred:
            await deputy.activate()
        else:
            await deputy.deactivate()

    async def relinquish(self, service: str, revision: int) -> None:
        """Use a primary no more by a record as old as `revision`."""
        known = self.promised.get(service, 0)
        self.promised[service] = max(known, revision)
        deputy = self.found.pop(service, None)
        if deputy is not None:
            await self.stop_backup_holder(deputy)

    async def stop_backup_holder(self, backup_holder: BackupHolder) -> None:
        """Use a primary no more as a deputy."""
        backup_holder.draining = True
        backup_holder.stop()
        await backup_holder.release(0.0)

    async def close(self) -> None:
        """Stand in for nobody any more."""
        self.closed = True
        for service in list(self.found):
            await self.stop_backup_holder(self.found.pop(service))
