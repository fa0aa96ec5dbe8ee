"""Services for which this host is the backup holder."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final, TypeAlias

from ...background_tasks import BackgroundTasks
from ...decision_log import DecisionLog
from ..discovery.store_revision import NO_REVISION, StoreRevision
from .backup_holder import BackupHolder
from .lease_record import HostIncarnation, PrimaryLeaseRecord

BackupHolderFactory: TypeAlias = Callable[[PrimaryLeaseRecord, float], BackupHolder]

NEVER: Final = float("-inf")


class BackupHolders:
    """Act as backup holder where a record names this host, until told to stop.

    :ivar by_service: backup holders of this host, by service.
    :ivar stopping: number of backup holders that are being stopped, by service.
    :ivar relinquished_up_to: by service, the order of records up to which this host
        has promised a holder not to act as backup.
    """

    def __init__(
        self,
        me: HostIncarnation,
        make_backup_holder: BackupHolderFactory,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.make_backup_holder = make_backup_holder
        self.by_service: dict[str, BackupHolder] = {}
        self.relinquished_up_to: dict[str, StoreRevision] = {}
        self.stopping: Counter[str] = Counter()
        self.closed = False
        self.background = BackgroundTasks(decisions)

    def active_holder(self, service: str) -> BackupHolder | None:
        """Return the backup holder that uses the primary now, or None."""
        backup = self.by_service.get(service)
        return backup if backup is not None and backup.active else None

    def may_use_primary(self, service: str) -> bool:
        """Return whether this host is the backup holder, or is still being stopped."""
        return service in self.by_service or self.stopping[service] > 0

    def handle_record(self, record: PrimaryLeaseRecord) -> None:
        """Start or stop to be the backup holder of a service."""
        backup = self.by_service.get(record.service)
        named = record.backup_holder == self.me
        if backup is not None and not named:
            del self.by_service[record.service]
            self.stop_backup_holder(backup)
        if backup is None and named and not self.closed:
            # The lease starts expired: only a read by this host may extend it.
            backup = self.make_backup_holder(record, NEVER)
            self.by_service[record.service] = backup
            backup.start()

    async def set_holder_lost(self, service: str, lost: bool) -> None:
        """Activate the backup holder while the holder is lost.

        It stops if the primary leaves, since only a holder may replace the primary.
        """
        backup = self.by_service.get(service)
        if backup is None:
            return
        up_to = self.relinquished_up_to.get(service, NO_REVISION)
        relinquished = backup.record.order <= up_to
        if lost and not relinquished and backup.accepts_new_work():
            await backup.activate()
        else:
            await backup.deactivate()

    async def relinquish(self, service: str, revision: StoreRevision) -> None:
        """Stop using a primary under records up to `revision`."""
        known = self.relinquished_up_to.get(service, NO_REVISION)
        self.relinquished_up_to[service] = max(known, revision)
        backup = self.by_service.pop(service, None)
        if backup is not None:
            await asyncio.shield(self.stop_backup_holder(backup))

    def stop_backup_holder(self, backup_holder: BackupHolder) -> asyncio.Task[None]:
        """Stop a backup holder at once; return the task that releases its primary."""
        backup_holder.draining = True
        backup_holder.stop()
        self.stopping[backup_holder.service] += 1
        return self.background.spawn(self.release(backup_holder))

    async def release(self, backup_holder: BackupHolder) -> None:
        """Release the primary of a backup holder that is being stopped."""
        try:
            await backup_holder.release(0.0)
        finally:
            self.stopping[backup_holder.service] -= 1

    async def close(self) -> None:
        """Stop all backup holders and accept no new ones."""
        self.closed = True
        backups = list(self.by_service.values())
        self.by_service.clear()
        await asyncio.gather(*map(self.stop_backup_holder, backups))
