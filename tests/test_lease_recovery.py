"""Records of leases and of the coordinator over a restore of the store.

Guards against a record of the restored copy that permits use of a primary, an order of
a promotion or a repeated fencing token, and against a change of what is stored or sent
while the store has not been restored.
"""

import asyncio

import pytest

from reedhook.connection.session_target import SessionTargetStatus
from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.store_revision import NO_REVISION, StoreRevision
from reedhook.process.primary_lease.coordinator_role import (
    COORDINATOR_WAIT_SECONDS,
    CoordinatorRecord,
    CoordinatorRole,
)
from reedhook.process.primary_lease.epoch_age import EpochAge
from reedhook.process.primary_lease.lease_claim import (
    BackupHolderClaim,
    HolderClaim,
    LeaseClaim,
)
from reedhook.process.primary_lease.lease_record import (
    PROMOTION_COORDINATOR_KEY,
    HostIncarnation,
    PrimaryLeaseRecord,
    lease_key,
)
from reedhook.process.primary_lease.lease_registry import PrimaryLeaseRegistry
from reedhook.process.primary_lease.lease_validity import LEASE_VALIDITY_SECONDS
from reedhook.process.primary_lease.primary_proof import Report, proven_primary
from reedhook.request.position import Position
from reedhook.version.route_table import TargetAnnouncement

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeKeyspace, FakeStore
from .fakes_peers import FakeNetwork
from .session_world import PlainDocuments

ME = HostIncarnation(HostRef("h1", "z1", "10.0.0.1:1"), "a")
OTHER = HostIncarnation(HostRef("h2", "z2", "10.0.0.2:1"), "b")
KEY = lease_key("db")


def record_of(
    holder: HostIncarnation, number: int, epoch: int = 0, stamp: int | None = None
) -> PrimaryLeaseRecord:
    """Return a record written in `epoch` and read in the epoch `stamp`."""
    revision = StoreRevision(epoch if stamp is None else stamp, number)
    return PrimaryLeaseRecord(
        "db", holder, None, [], True, "m1", 3, "", revision, epoch=epoch
    )


def registry_of(clock: LoopClock) -> PrimaryLeaseRegistry:
    """Return an empty registry."""
    decisions = DecisionLog("h1", clock, output_fd=None)
    return PrimaryLeaseRegistry(
        Announcements(PlainDocuments(), clock, decisions), decisions
    )


def claim_at(
    keyspace: FakeKeyspace, record: PrimaryLeaseRecord, kind: type[LeaseClaim]
) -> LeaseClaim:
    """Return a claim of `ME` on a record that it has just read."""
    clock = LoopClock()
    decisions = DecisionLog("h1", clock, output_fd=None)
    return kind(
        record, clock.boottime(), ME, keyspace, registry_of(clock), clock, decisions
    )


def stored(store: FakeStore) -> PrimaryLeaseRecord:
    """Return the stored record, as an answer of now carries it."""
    item = store.items[KEY]
    record = PrimaryLeaseRecord.from_item(item)
    return record.with_revision(StoreRevision(store.epoch, item.revision.number))


async def restored_claim(kind: type[LeaseClaim]) -> tuple[FakeStore, LeaseClaim]:
    """Return a claim on a record of which the restored copy holds an older state."""
    store = FakeStore()
    record = record_of(ME, 0)
    if kind is BackupHolderClaim:
        record = record_of(OTHER, 0).with_backup_holder(ME)
    store.write(KEY, record.encoded())
    store.save()
    number = store.write(KEY, record.with_primary(ENTRY, 4).encoded())
    keyspace = store.client("h1")
    claim = claim_at(
        keyspace, record.with_primary(ENTRY, 4).with_revision(number), kind
    )
    await asyncio.sleep(2.0)
    store.restore(0.0)
    return store, claim


ENTRY = TargetAnnouncement("m2", "db", "10.0.0.9:1", "z1", False, False, 7, 2, 1)


@pytest.mark.parametrize("kind", [HolderClaim, BackupHolderClaim])
@in_virtual_time
async def test_read_of_an_unconfirmed_record_extends_nothing(
    kind: type[LeaseClaim],
) -> None:
    _, claim = await restored_claim(kind)
    expires_at = claim.validity.expires_at
    assert await claim.refresh()
    assert claim.validity.expires_at == expires_at
    assert (claim.record.primary, claim.record.term) == ("m2", 4)
    assert not claim.current


@in_virtual_time
async def test_holder_writes_its_newest_record_again() -> None:
    store, claim = await restored_claim(HolderClaim)
    assert isinstance(claim, HolderClaim)
    await claim.refresh()
    assert await claim.write_again()
    found = stored(store)
    assert (found.epoch, found.primary, found.term) == (1, "m2", 4)
    assert not found.former_complete
    assert claim.current
    left = claim.validity.expires_at - claim.clock.boottime()
    assert left > LEASE_VALIDITY_SECONDS - 0.1


@in_virtual_time
async def test_holder_writes_a_missing_record_again() -> None:
    store, claim = await restored_claim(HolderClaim)
    assert isinstance(claim, HolderClaim)
    store.write(KEY, None)
    await claim.refresh()
    assert await claim.write_again()
    assert stored(store).epoch == 1


@in_virtual_time
async def test_holder_leaves_the_record_of_a_claimer_in_the_new_epoch() -> None:
    store, claim = await restored_claim(HolderClaim)
    assert isinstance(claim, HolderClaim)
    claimed = record_of(OTHER, 0, epoch=1)
    store.write(KEY, claimed.encoded())
    await claim.refresh()
    assert not await claim.write_again()
    assert stored(store).holder == OTHER
    known = claim.registry.get("db")
    assert known is not None and known.holder == OTHER


@in_virtual_time
async def test_write_that_met_a_second_restore_is_not_taken_for_stored() -> None:
    store, claim = await restored_claim(HolderClaim)
    assert isinstance(claim, HolderClaim)
    await claim.refresh()
    expires_at = claim.validity.expires_at
    store.delay["h1"] = 0.1
    writing = asyncio.create_task(claim.write_again())
    await asyncio.sleep(0.15)
    store.restore(0.0)
    assert not await writing
    assert claim.validity.expires_at == expires_at
    assert not claim.current


@pytest.mark.parametrize(
    ("known", "heard", "holder"),
    [
        # Memory is newer than the copy that the store was restored from.
        (record_of(ME, 50), record_of(OTHER, 12, epoch=0, stamp=1), ME),
        # A late write of the earlier epoch has got a high number in the new one.
        (record_of(ME, 50), record_of(OTHER, 60, epoch=0, stamp=1), ME),
        # A host that started after the restore hears of what others remember.
        (record_of(OTHER, 60, epoch=0, stamp=1), record_of(ME, 50), ME),
        # A record of a later epoch replaces one with a higher number.
        (record_of(OTHER, 50), record_of(ME, 13, epoch=1), ME),
        (record_of(ME, 13, epoch=1), record_of(OTHER, 50), ME),
    ],
)
@in_virtual_time
async def test_record_of_a_copy_does_not_replace_memory(
    known: PrimaryLeaseRecord, heard: PrimaryLeaseRecord, holder: HostIncarnation
) -> None:
    registry = registry_of(LoopClock())
    registry.update(known, "store")
    registry.update(heard, "peer")
    found = registry.get("db")
    assert found is not None and found.holder == holder


def test_nothing_stored_or_sent_changes_without_a_restore() -> None:
    assert "epoch" not in record_of(ME, 5).to_json()
    assert record_of(ME, 5, epoch=2).to_json()["epoch"] == 2
    plain = CoordinatorRecord(ME, StoreRevision(0, 5), 0)
    assert plain.encoded() == CoordinatorRecord(ME, NO_REVISION, 0).encoded()
    assert b"epoch" not in plain.encoded()
    assert plain.token == 5
    assert CoordinatorRecord(ME, StoreRevision(2, 5), 2).token == (2 << 40) + 5


class Coordinator:
    """One host's role over a store that may be restored."""

    def __init__(self, store: FakeStore, me: HostIncarnation = ME) -> None:
        clock = LoopClock()
        keyspace = store.client(me.ref.host)
        peers = FakeNetwork().join(me.ref, PeerRoutes())
        decisions = DecisionLog(me.ref.host, clock, output_fd=None)
        age = EpochAge(keyspace.epoch, clock)
        self.role = CoordinatorRole(me, keyspace, peers, age, clock, decisions)

    async def claim(self) -> float:
        """Claim the role; return the seconds until this host may order."""
        reading = await self.role.read()
        assert reading is not None
        assert await self.role.claim(reading)
        return max(self.role.not_before - self.role.clock.boottime(), 0.0)

    async def permitted(self) -> bool:
        """Return whether a read permits an order now."""
        reading = await self.role.read()
        return reading is not None and self.role.permits(reading)


@in_virtual_time
async def test_revived_coordinator_orders_nothing_before_it_claims_again() -> None:
    store = FakeStore()
    coordinator = Coordinator(store)
    assert await coordinator.claim() == 0.0
    token = store.items[PROMOTION_COORDINATOR_KEY].revision.number
    store.save()
    await asyncio.sleep(5.0)
    store.restore(0.0)
    assert not await coordinator.permitted()
    assert await coordinator.claim() == pytest.approx(COORDINATOR_WAIT_SECONDS, 0.05)
    await coordinator.role.until_free()
    assert await coordinator.permitted()
    assert coordinator.role.known is not None
    assert coordinator.role.known.token > token


@in_virtual_time
async def test_coordinator_named_just_before_the_restore_does_not_wait() -> None:
    """No other host can have ordered since: it would have waited after its claim."""
    store = FakeStore()
    coordinator = Coordinator(store)
    await coordinator.claim()
    store.save()
    await asyncio.sleep(5.0)
    assert await coordinator.permitted()
    await asyncio.sleep(0.5)
    store.restore(0.0)
    assert await coordinator.claim() == 0.0
    assert await coordinator.permitted()


@in_virtual_time
async def test_claim_of_a_lost_role_is_followed_by_the_wait() -> None:
    store = FakeStore()
    store.save()
    former = Coordinator(store, OTHER)
    await former.claim()
    store.restore(0.0)
    wait = await Coordinator(store).claim()
    assert wait == pytest.approx(COORDINATOR_WAIT_SECONDS, 0.05)


@in_virtual_time
async def test_lower_token_after_a_claim_that_the_restore_has_lost() -> None:
    """Guards against an order that skips the wait while a lost claimer may order."""
    store = FakeStore()
    me, other = Coordinator(store, ME), Coordinator(store, OTHER)
    await me.claim()
    store.save()
    await asyncio.sleep(5.0)
    assert await me.permitted()  # the latest read that names it
    await asyncio.sleep(0.01)
    await other.claim()
    await asyncio.sleep(0.85)
    reading = await other.role.read()
    assert reading is not None and reading.holder == OTHER
    await asyncio.sleep(0.03)
    store.restore(0.0)
    await asyncio.sleep(0.01)
    await me.claim()
    ordered_first = await me.permitted()
    await other.role.until_free()
    assert other.role.permits(reading)
    assert not ordered_first


@in_virtual_time
async def test_read_of_before_the_restore_permits_no_order_after_it() -> None:
    store = FakeStore()
    coordinator = Coordinator(store)
    await coordinator.claim()
    store.save()
    reading = await coordinator.role.read()
    assert reading is not None and coordinator.role.permits(reading)
    coordinator.role.keyspace.epoch.learn(1, "h2")
    assert not coordinator.role.permits(reading)


def report(target: str, term: int, leads: bool) -> Report:
    """Return what a target reports."""
    entry = TargetAnnouncement(target, "db", "10.0.0.9:1", "z1", False, leads, 7, 2, 1)
    return entry, SessionTargetStatus(leads, term, Position(term, 1), 0)


@pytest.mark.parametrize(
    ("reports", "complete", "waited", "primary"),
    [
        ([("m1", 3, True), ("m2", 3, False)], True, False, "m1"),
        ([("m1", 3, True), ("m2", 3, False)], False, False, None),
        ([("m1", 3, True), ("m2", 3, False)], False, True, "m1"),
        # The former primary still says that it leads.
        ([("m1", 3, True), ("m2", 4, True)], True, False, "m2"),
        ([("m1", 3, True), ("m2", 4, True)], False, True, None),
        # A replica has followed a primary of a later term.
        ([("m1", 3, True), ("m2", 4, False)], True, True, None),
        ([("m1", 3, False), ("m2", 3, False)], True, True, None),
        ([], False, True, None),
    ],
)
def test_primary_is_proven_by_what_the_targets_report(
    reports: list[tuple[str, int, bool]],
    complete: bool,
    waited: bool,
    primary: str | None,
) -> None:
    proven = proven_primary([report(*one) for one in reports], complete, waited)
    assert (None if proven is None else proven[0].target) == primary
