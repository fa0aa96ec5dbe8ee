"""Hosts that may still use the primary, seen from a holder whose record changes.

Guards against a promotion while a former or backup holder is neither asked nor waited
for.
"""

import asyncio
from unittest.mock import create_autospec

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerClient, PeerError
from reedhook.process.primary_lease.holder_failure_detector import (
    HolderFailureDetector,
)
from reedhook.process.primary_lease.holder_ranking import LeaseHolderRanking
from reedhook.process.primary_lease.lease_record import HostIncarnation
from reedhook.process.primary_lease.lease_validity import (
    EXPIRY_MARGIN_SECONDS,
    LEASE_VALIDITY_SECONDS,
)
from reedhook.process.primary_lease.other_holders import OtherHolders
from reedhook.wire import Json

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .test_lease_claim import BACKUP, claim_at

SECOND = HostIncarnation(HostRef("h3", "z3", "10.0.0.3:1"), "c")
WAIT_SECONDS = LEASE_VALIDITY_SECONDS + EXPIRY_MARGIN_SECONDS
ROUNDING_SECONDS = 1e-6


class StoppedPeers(PeerClient):
    """Confirm that a host stopped, unless it is silent.

    :ivar asked: IDs of the hosts asked.
    """

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.silent: set[str] = set()

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        self.asked.append(peer.host)
        if peer.host in self.silent:
            raise PeerError("silent", sent=True)
        return {"life": "", "holds": False}

    async def close(self) -> None:
        return


def others_at(store: FakeStore) -> tuple[OtherHolders, StoppedPeers]:
    """Return the other holders seen from a claim, and the peers that it asks."""
    peers = StoppedPeers()
    clock = LoopClock()
    others = OtherHolders(
        claim_at(store),
        create_autospec(LeaseHolderRanking),
        create_autospec(HolderFailureDetector),
        peers,
        clock,
        DecisionLog("h1", clock, output_fd=None),
    )
    return others, peers


@in_virtual_time
async def test_backup_holder_of_a_second_time_is_asked_again() -> None:
    """Guards against a confirmation that outlives a later use as backup holder."""
    others, peers = others_at(FakeStore())
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    assert await others.stop_all()
    assert peers.asked == ["h2", "h3"]
    assert await others.stop_all()
    assert peers.asked == ["h2", "h3", "h3"]
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    peers.silent.add("h2")
    assert not await others.stop_all()
    assert set(peers.asked[3:]) == {"h2", "h3"}


@in_virtual_time
async def test_confirmation_before_a_late_record_ends_with_it() -> None:
    """Guards against a confirmation given before the host is named by a late write."""
    store = FakeStore()
    others, peers = others_at(store)
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    store.late["h1"] = 2.0
    await others.set_backup_holder(BACKUP)
    store.late.clear()
    assert await others.confirm_stopped(BACKUP)
    await asyncio.sleep(2.0)
    await others.claim.refresh()
    assert await others.claim.settle()
    assert others.claim.record.backup_holder == BACKUP
    await others.set_backup_holder(SECOND)
    assert others.claim.record.backup_holder == SECOND
    assert BACKUP in others.unconfirmed_former()


@in_virtual_time
async def test_backup_holder_replaced_by_a_late_write_is_waited_for() -> None:
    """Guards against a former backup holder that counts as expired at once."""
    store = FakeStore()
    others, peers = others_at(store)
    await others.set_backup_holder(BACKUP)
    await asyncio.sleep(WAIT_SECONDS)
    assert others.former_expired()
    store.late["h1"] = 2.0
    await others.set_backup_holder(SECOND)
    store.late.clear()
    await asyncio.sleep(2.0)
    await others.claim.refresh()
    assert others.claim.record.former == [BACKUP]
    peers.silent.add("h2")
    assert not await others.stop_all()
    await asyncio.sleep(WAIT_SECONDS - ROUNDING_SECONDS)
    assert not others.former_expired()
    await asyncio.sleep(2 * ROUNDING_SECONDS)
    assert others.former_expired()
    assert await others.stop_all()


@in_virtual_time
async def test_former_holder_that_is_backup_holder_again_is_waited_for() -> None:
    """Guards against a wait that counts from when the host was replaced first."""
    store = FakeStore()
    others, peers = others_at(store)
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    await others.set_backup_holder(BACKUP)
    await asyncio.sleep(WAIT_SECONDS)
    store.late["h1"] = 2.0
    await others.set_backup_holder(SECOND)
    store.late.clear()
    await asyncio.sleep(2.0)
    await others.claim.refresh()
    assert others.claim.record.former == [BACKUP, SECOND]
    assert others.claim.record.backup_holder == SECOND
    assert not others.former_expired()
