"""The end of the backup use of a primary."""

import asyncio
from unittest.mock import create_autospec

from reedhook.connection.session_target_home import SessionTargetHome
from reedhook.decision_log import DecisionLog
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.primary_lease.backup_holder import BackupHolder
from reedhook.process.primary_lease.target_status import TargetStatusClient

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .test_lease_claim import claim_at


# Guards against a stop that is confirmed to the holder while a commit of a transaction
# that was open at the end of the backup use can still be acknowledged.
@in_virtual_time
async def test_release_closes_a_home_whose_transactions_still_end() -> None:
    clock = LoopClock()
    backup = BackupHolder(
        claim_at(FakeStore()),
        create_autospec(Announcements, instance=True),
        create_autospec(TargetStatusClient, instance=True),
        create_autospec(SessionTargetHome),
        clock,
        DecisionLog("h1", clock, output_fd=None),
    )
    home = create_autospec(SessionTargetHome, instance=True)
    home.transactions = create_autospec(object, end_all=lambda cause: None)
    home.is_idle.return_value = False
    backup.home, backup.active = home, True
    ending = asyncio.create_task(backup.deactivate())
    await asyncio.sleep(0.1)
    await backup.release(0.0)
    home.close.assert_awaited()
    await ending
    assert backup.home is None and not backup.active
