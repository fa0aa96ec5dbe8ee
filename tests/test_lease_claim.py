"""Writes of the lease record by its holder, with late and lost responses.

Guards against a lease record that no longer names a host that may use the primary.
"""

import asyncio

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.store_revision import NO_REVISION
from reedhook.process.primary_lease.lease_claim import HolderClaim
from reedhook.process.primary_lease.lease_record import (
    HostIncarnation,
    PrimaryLeaseRecord,
    lease_key,
)
from reedhook.process.primary_lease.lease_registry import PrimaryLeaseRegistry
from reedhook.version.route_table import TargetAnnouncement

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .session_world import PlainDocuments

ME = HostIncarnation(HostRef("h1", "z1", "10.0.0.1:1"), "a")
BACKUP = HostIncarnation(HostRef("h2", "z2", "10.0.0.2:1"), "b")


def claim_at(store: FakeStore) -> HolderClaim:
    """Return the claim of `ME` on a lease that it has just written."""
    clock = LoopClock()
    decisions = DecisionLog("h1", clock, output_fd=None)
    keyspace = store.client("h1")
    record = PrimaryLeaseRecord("db", ME, None, [], True, "m1", 3, "", NO_REVISION)
    revision = store.write(lease_key("db"), record.encoded())
    announcements = Announcements(PlainDocuments(), clock, decisions)
    registry = PrimaryLeaseRegistry(announcements, decisions)
    return HolderClaim(
        record.with_revision(revision),
        clock.boottime(),
        ME,
        keyspace,
        registry,
        clock,
        decisions,
    )


def entry_of(target: str) -> TargetAnnouncement:
    """Return the announcement of a target."""
    return TargetAnnouncement(target, "db", "10.0.0.9:1", "z1", False, False, 7, 2, 1)


def stored(store: FakeStore) -> PrimaryLeaseRecord:
    """Return the stored record."""
    return PrimaryLeaseRecord.from_item(store.items[lease_key("db")])


@in_virtual_time
async def test_backup_holder_of_late_write_stays_recorded() -> None:
    """The backup holder may have read the record and use the primary."""
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 2.0
    assert not await claim.write(claim.record.with_backup_holder(BACKUP))
    store.late.clear()
    await asyncio.sleep(3.0)
    assert stored(store).backup_holder == BACKUP
    record = claim.record
    assert not await claim.write(record.with_successor(entry_of("m2")))
    assert await claim.write(claim.record.with_successor(entry_of("m2")))
    found = stored(store)
    assert found.backup_holder == BACKUP or BACKUP in found.former


@in_virtual_time
async def test_late_write_does_not_revert_the_primary() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 2.0
    assert not await claim.write(claim.record.with_backup_holder(BACKUP))
    store.late.clear()
    await asyncio.sleep(3.0)
    claim.record = claim.record.with_primary(entry_of("m2"), 4)
    claim.saved = False
    assert not await claim.write(claim.record)
    assert await claim.write(claim.record)
    found = stored(store)
    assert (found.primary, found.term, found.backup_holder) == ("m2", 4, BACKUP)
    assert found.primary_started_at_ms == entry_of("m2").started_at_ms


@in_virtual_time
async def test_write_with_lost_response_is_confirmed_by_a_read() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.losing.add("h1")
    assert await claim.write(claim.record.with_backup_holder(BACKUP))
    assert claim.record == stored(store)


@in_virtual_time
async def test_late_write_is_repeated() -> None:
    """Guards against a write that counts as not done and takes effect later."""
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 2.0
    asyncio.get_running_loop().call_later(0.2, store.late.clear)
    assert await claim.write(claim.record.with_successor(entry_of("m2")))
    written = stored(store)
    await asyncio.sleep(3.0)
    assert claim.pending is None
    assert stored(store) == written == claim.record


@in_virtual_time
async def test_nothing_else_is_written_before_a_pending_write_is_settled() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 20.0
    assert not await claim.write(claim.record.with_successor(entry_of("m2")))
    assert claim.successor_pending
    assert not await claim.write(claim.record.with_successor(entry_of("m3")))
    store.late.clear()
    assert await claim.settle()
    assert stored(store).successor == claim.record.successor == "m2"


@in_virtual_time
async def test_write_that_a_claim_has_replaced_is_settled() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 2.0
    assert not await claim.write(claim.record.with_successor(entry_of("m2")))
    store.write(lease_key("db"), claim.record.claimed_by(BACKUP).encoded())
    assert await claim.settle()
    await asyncio.sleep(3.0)
    assert not claim.record.successor
    assert stored(store).holder == BACKUP


@in_virtual_time
async def test_rejected_write_is_not_pending() -> None:
    """The store states that nothing was done, so that the primary stays in use."""
    store = FakeStore()
    claim = claim_at(store)
    store.declining.add("h1")
    assert not await claim.write(claim.record.with_successor(entry_of("m2")))
    assert not claim.successor_pending


@in_virtual_time
async def test_rejected_repetition_leaves_the_write_pending() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 5.0
    assert not await claim.write(claim.record.with_successor(entry_of("m2")))
    store.declining.add("h1")
    assert not await claim.settle()
    assert claim.successor_pending


@in_virtual_time
async def test_pending_successor_has_to_be_proven_after_a_restore() -> None:
    """Another host may have read the record, or the one that it replaces."""
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 20.0
    assert not await claim.write(claim.record.with_successor(entry_of("m2")))
    assert claim.handle_epoch()
    assert claim.pending is None
    assert claim.record.successor == "m2"
    assert claim.record.successor_inherited


@in_virtual_time
async def test_revoked_lease_is_not_renewed_by_a_pending_read() -> None:
    store = FakeStore()
    claim = claim_at(store)
    refresh_task = asyncio.create_task(claim.refresh())
    await asyncio.sleep(0.001)
    claim.validity.revoke()
    assert await refresh_task
    assert not claim.validity.valid
