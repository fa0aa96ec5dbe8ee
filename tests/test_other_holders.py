"""Hosts that may still use the primary, seen from a holder whose record changes.

Guards against a promotion while a former or backup holder is neither asked nor waited
for.
"""

import asyncio
from unittest.mock import create_autospec

import pytest

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerClient, PeerError
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.primary_lease.former_wait import (
    UNKNOWN_WAIT,
    FormerHolderWait,
)
from reedhook.process.primary_lease.holder_failure_detector import (
    HolderFailureDetector,
)
from reedhook.process.primary_lease.holder_ranking import LeaseHolderRanking
from reedhook.process.primary_lease.lease_record import (
    MAX_FORMER_HOLDERS,
    HostIncarnation,
    PrimaryLeaseRecord,
)
from reedhook.process.primary_lease.lease_validity import (
    EXPIRY_MARGIN_SECONDS,
    LEASE_VALIDITY_SECONDS,
)
from reedhook.process.primary_lease.other_holders import OtherHolders
from reedhook.wire import Json, WireError

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .test_lease_claim import BACKUP, claim_at

SECOND = HostIncarnation(HostRef("h3", "z3", "10.0.0.3:1"), "c")
WAIT_SECONDS = LEASE_VALIDITY_SECONDS + EXPIRY_MARGIN_SECONDS
ROUNDING_SECONDS = 1e-6


class StoppedPeers(PeerClient):
    """Confirm that a host stopped, unless it is silent.

    :ivar asked: IDs of the hosts asked.
    :ivar bodies: what they were asked.
    :ivar delay: seconds until a host answers.
    """

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.bodies: list[Json] = []
        self.silent: set[str] = set()
        self.delay = 0.0

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        self.asked.append(peer.host)
        self.bodies.append(body)
        await asyncio.sleep(self.delay)
        if peer.host in self.silent:
            raise PeerError("silent", sent=True)
        return {"life": "", "holds": False}

    async def close(self) -> None:
        return


def host_number(number: int) -> HostIncarnation:
    """Return one of many hosts."""
    ref = HostRef(f"n{number}", "z1", f"10.0.1.{number}:1")
    return HostIncarnation(ref, f"life {number}")


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


@in_virtual_time
async def test_confirmation_asked_for_before_a_host_is_named_again_does_not_count() -> (
    None
):
    """Guards against a former holder that is neither asked nor waited for."""
    others, peers = others_at(FakeStore())
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    peers.delay = 0.3
    asked = asyncio.create_task(others.confirm_stopped(BACKUP))
    await asyncio.sleep(0.1)
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    assert await asked
    assert others.unconfirmed_others() == [BACKUP]


@in_virtual_time
async def test_former_holder_is_sent_the_record_of_its_service_only() -> None:
    """Guards against questions that grow with the number of services."""
    others, peers = others_at(FakeStore())
    record = others.claim.record
    other = PrimaryLeaseRecord.from_json("other", record.to_json(), record.revision)
    for known in (record, other):
        others.claim.registry.update(known, "test")
    await others.confirm_stopped(BACKUP)
    assert list(peers.bodies[0]["records"]) == [record.service]


@in_virtual_time
async def test_wait_includes_former_holders_that_the_record_names_no_more() -> None:
    """Guards against a wait for the named ones only, once the latest have confirmed."""
    others, peers = others_at(FakeStore())
    hosts = [host_number(number) for number in range(MAX_FORMER_HOLDERS + 2)]
    await others.set_backup_holder(hosts[0])
    replaced_at = asyncio.get_running_loop().time()
    for host in hosts[1:]:
        await others.set_backup_holder(host)
    record = others.claim.record
    assert hosts[0] not in record.former and not record.former_complete
    peers.silent.add(hosts[0].ref.host)
    confirming = asyncio.create_task(others.keep_confirming())
    await asyncio.sleep(1.0)
    await others.forget_former()
    assert others.claim.record.former == []
    assert not others.former_expired()
    assert not await others.stop_all()
    left = others.former_wait().seconds
    now = asyncio.get_running_loop().time()
    assert now + left >= replaced_at + WAIT_SECONDS - ROUNDING_SECONDS
    await asyncio.sleep(left + ROUNDING_SECONDS)
    assert others.former_expired()
    confirming.cancel()


@in_virtual_time
async def test_former_holder_is_waited_for_as_long_as_by_the_holder_before() -> None:
    """Guards against a wait that begins anew with each holder, or ends too early."""
    others, peers = others_at(FakeStore())
    peers.silent.add(BACKUP.ref.host)
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    before = others.claim.record
    next_others, _ = others_at(FakeStore())
    next_others.claim.record = before.claimed_by(others.claim.me)
    next_others.adopt_wait(before, asyncio.get_running_loop().time() + 2.0)
    assert next_others.unconfirmed_former() == [BACKUP, SECOND]
    await asyncio.sleep(2.0)
    assert next_others.unconfirmed_former() == [SECOND]


@in_virtual_time
async def test_host_that_has_ended_is_neither_asked_nor_waited_for() -> None:
    others, peers = others_at(FakeStore())
    peers.silent |= {BACKUP.ref.host, SECOND.ref.host}
    await others.set_backup_holder(BACKUP)
    await others.set_backup_holder(SECOND)
    for host in (BACKUP, SECOND):
        others.handle_ended(host.incarnation)
    assert await others.stop_all()
    assert peers.asked == []
    assert others.former_wait().seconds == 0.0


@pytest.mark.parametrize("left", [None, "1", -0.1, WAIT_SECONDS + 1.0, True])
def test_malformed_wait_of_a_request_is_refused(left: object) -> None:
    """Guards against a claim that takes an unreadable statement for a short wait."""
    body: Json = {"former": {"order": [0, 1], "left": left}}
    with pytest.raises(WireError):
        FormerHolderWait.from_json(body)


def test_wait_survives_the_wire() -> None:
    for seconds in (0.0, 3.5, WAIT_SECONDS):
        wait = FormerHolderWait(StoreRevision(1, 7), seconds)
        assert FormerHolderWait.from_json(wait.to_json()) == wait
    assert FormerHolderWait.from_json({}) == UNKNOWN_WAIT
