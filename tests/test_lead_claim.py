"""What a holder makes of the record of its service, as the store has it."""

import asyncio

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef
from reedhook.process.discovery.announcements import Announcements
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
DEPUTY = HostIncarnation(HostRef("h2", "z2", "10.0.0.2:1"), "b")


def claim_at(store: FakeStore) -> HolderClaim:
    """Return the claim of `ME` on a service that it has just taken."""
    clock = LoopClock()
    decisions = DecisionLog("h1", clock, output_fd=None)
    keyspace = store.client("h1")
    record = PrimaryLeaseRecord("db", ME, None, [], True, "m1", 3, "", 0)
    revision = store.write(lease_key("db"), record.encoded())
    announcements = Announcements(PlainDocuments(), clock, decisions)
    book = PrimaryLeaseRegistry(announcements, decisions)
    return HolderClaim(
        record.with_revision(revision),
        clock.boottime(),
        ME,
        keyspace,
        book,
        clock,
        decisions,
    )


def entry_of(target: str) -> TargetAnnouncement:
    """Return what a target announces."""
    return TargetAnnouncement(target, "db", "10.0.0.9:1", "z1", False, False, 7, 2, 1)


def stored(store: FakeStore) -> PrimaryLeaseRecord:
    """Return the record that stands in the store."""
    return PrimaryLeaseRecord.from_item(store.items[lease_key("db")])


@in_virtual_time
async def test_a_deputy_that_was_named_late_is_not_forgotten() -> None:
    """It may have seen the record, and use the primary by it."""
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 2.0
    assert not await claim.write(claim.record.with_backup_holder(DEPUTY))
    store.late.clear()
    await asyncio.sleep(3.0)
    assert stored(store).backup_holder == DEPUTY
    record = claim.record
    assert not await claim.write(record.with_successor(entry_of("m2")))
    assert await claim.write(claim.record.with_successor(entry_of("m2")))
    found = stored(store)
    assert found.backup_holder == DEPUTY or DEPUTY in found.former


@in_virtual_time
async def test_what_is_known_of_the_primary_outlives_a_late_write() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.late["h1"] = 2.0
    assert not await claim.write(claim.record.with_backup_holder(DEPUTY))
    store.late.clear()
    await asyncio.sleep(3.0)
    claim.record = claim.record.with_primary(entry_of("m2"), 4)
    claim.saved = False
    assert not await claim.write(claim.record)
    assert await claim.write(claim.record)
    found = stored(store)
    assert (found.primary, found.term, found.backup_holder) == ("m2", 4, DEPUTY)
    assert found.primary_started_at_ms == entry_of("m2").started_at_ms


@in_virtual_time
async def test_a_write_without_an_answer_counts_once_a_look_finds_it() -> None:
    store = FakeStore()
    claim = claim_at(store)
    store.losing.add("h1")
    assert await claim.write(claim.record.with_backup_holder(DEPUTY))
    assert claim.record == stored(store)


@in_virtual_time
async def test_a_permission_that_was_given_up_is_not_renewed_by_a_look() -> None:
    store = FakeStore()
    claim = claim_at(store)
    looking = asyncio.create_task(claim.refresh())
    await asyncio.sleep(0.001)
    claim.validity.revoke()
    assert await looking
    assert not claim.validity.valid
