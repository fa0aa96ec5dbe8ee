"""Age bound of a host's configuration.

Guards against proofs that make a configuration look more recent than it is.
"""

import asyncio
from random import Random

import pytest

from reedhook.connection.session_target_home import SessionTargetHome
from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.discovery.freshness_prover import (
    FALLBACK_AGE_SECONDS,
    FreshnessProver,
)
from reedhook.process.discovery.store_watcher import StoreWatcher, UpdateSource
from reedhook.process.discovery.update_source import UpdateServer
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.wire import Json, WireError, encode
from reedhook_standins.database import DatabaseGroup

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_keyspace import FakeStore
from .fakes_members import FakeDriver, FakePhrases
from .session_world import TABLE_KEY, PlainDocuments

ME = HostRef("h1", "z1", "10.0.0.1:1")
OTHER = HostRef("h2", "z1", "10.0.0.2:1")
FARM: Json = {"name": "farm", "keys": ["farm-key-1"]}


class HostState:
    """The configuration state of one host, with a store."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.store = FakeStore()
        self.decisions = DecisionLog("h1", self.clock, output_fd=None)
        self.announcements = Announcements(PlainDocuments(), self.clock, self.decisions)
        self.keyspace = self.store.client("h1")
        self.freshness = ConfigurationFreshness(
            self.announcements, self.clock, self.keyspace.epoch
        )
        self.watch = StoreWatcher(
            self.keyspace,
            self.announcements,
            StoreOnlySource(),
            self.clock,
            Random(1),
            self.freshness,
        )

    def put(self, version: int) -> None:
        """Put a configuration version in force."""
        self.announcements.apply_table(self.value(version))

    def value(self, version: int) -> bytes:
        """Return a configuration with a workspace."""
        return PlainDocuments().without_keys(
            encode({"version": version, "routes": [], "workspaces": [FARM]})
        )

    def prover(self, first: HostRef = ME) -> FreshnessProver:
        """Return a prover for which other hosts do not respond."""

        async def query_unanswered(ref: HostRef) -> bool:
            return False

        return FreshnessProver(
            self.keyspace,
            self.announcements,
            self.freshness,
            ME,
            lambda: first,
            lambda: False,
            query_unanswered,
            self.clock,
            Random(1),
        )


class StoreOnlySource(UpdateSource):
    """Make a host follow the store itself."""

    async def fetch_updates(self) -> bool:
        return False


@in_virtual_time
async def test_age_is_infinite_before_the_first_proof() -> None:
    host = HostState()
    assert host.freshness.age() == float("inf")
    answer: Json = {}
    host.freshness.add_age(answer, host.clock.boottime())
    assert answer == {}


@in_virtual_time
async def test_proof_of_missing_version_is_pending() -> None:
    host = HostState()
    host.put(2)
    await asyncio.sleep(1.0)
    host.freshness.read_age({"a": 0}, 3, host.clock.boottime(), "h2")
    assert host.freshness.age() == float("inf")
    await asyncio.sleep(1.0)
    host.put(3)
    assert host.freshness.age() == pytest.approx(1.0)


@in_virtual_time
async def test_age_counts_from_the_request() -> None:
    """The response may be delayed, or a host paused, for any time."""
    host = HostState()
    host.put(2)
    requested_at = host.clock.boottime()
    await asyncio.sleep(3.0)
    host.freshness.read_age({"a": 500}, 2, requested_at, "h2")
    assert host.freshness.age() == pytest.approx(3.5)


@in_virtual_time
async def test_older_proof_is_ignored() -> None:
    host = HostState()
    host.put(2)
    await asyncio.sleep(9.0)
    host.freshness.read_age({"a": 100}, 2, host.clock.boottime(), "h2")
    host.freshness.read_age({"a": 4000}, 2, host.clock.boottime(), "h3")
    assert host.freshness.age() == pytest.approx(0.1)
    assert host.freshness.source == "h2"


@pytest.mark.parametrize("age", ["1", 1.5, None, True, -10_000])
@in_virtual_time
async def test_response_cannot_prove_a_future_time(age: object) -> None:
    host = HostState()
    host.put(2)
    await asyncio.sleep(1.0)
    try:
        host.freshness.read_age({"a": age}, 2, host.clock.boottime(), "h2")
    except WireError:
        assert host.freshness.age() == float("inf")
    assert host.freshness.age() >= 0.0


@in_virtual_time
async def test_held_request_proves_only_its_start() -> None:
    host = HostState()
    host.store.write(TABLE_KEY, host.value(1))
    await host.watch.read_all()
    request = asyncio.create_task(host.watch.follow_store())
    await asyncio.sleep(0.9)
    # The response contains this change; later ones may be acknowledged already.
    host.store.write("x", b"1")
    await request
    assert host.freshness.age() >= 0.9


@in_virtual_time
async def test_partial_response_proves_nothing() -> None:
    host = HostState()
    await host.watch.read_all()
    proved_as_of = host.freshness.as_of
    await asyncio.sleep(1.0)
    for index in range(150):
        host.store.write(f"x{index}", b"1")
    await host.watch.follow_store()
    assert host.freshness.as_of == proved_as_of


@in_virtual_time
async def test_held_response_states_age_at_the_request() -> None:
    host = HostState()
    host.put(2)
    server = UpdateServer(
        host.announcements, host.clock, host.freshness, host.keyspace.epoch
    )
    requested_at = host.clock.boottime()
    request = asyncio.create_task(
        server.handle_request({"after": 0, "version": 2, "hold_ms": 2000})
    )
    await asyncio.sleep(1.5)
    host.freshness.record_proof(host.clock.boottime())
    answer = await request
    # The request was held for 2 s; the proof was recorded 1.5 s after it.
    other = HostState()
    other.put(2)
    other.freshness.read_age(answer, answer["version"], requested_at, "h1")
    assert other.freshness.age() == pytest.approx(0.5, abs=0.01)


@in_virtual_time
async def test_revision_is_a_proof_once_it_is_applied() -> None:
    host = HostState()
    host.store.write(TABLE_KEY, host.value(1))
    await host.watch.read_all()
    proved_as_of = host.freshness.as_of
    await asyncio.sleep(1.0)
    host.store.write(TABLE_KEY, host.value(2))
    prover = host.prover()
    await prover.query()
    # The store is ahead of this host, which lacks the change.
    assert host.freshness.as_of == proved_as_of
    await host.watch.follow_store()
    prover.apply_awaited_proof()
    assert host.freshness.age() < 1.0


@in_virtual_time
async def test_host_queries_store_if_first_host_is_unresponsive() -> None:
    host = HostState()
    host.store.write(TABLE_KEY, host.value(1))
    await host.watch.read_all()
    task = asyncio.create_task(host.prover(OTHER).run())
    ages = []
    for _ in range(200):
        await asyncio.sleep(0.1)
        ages.append(host.freshness.age())
    task.cancel()
    assert max(ages) < 2 * FALLBACK_AGE_SECONDS
    assert host.store.calls.count("list") < 1 + 20.0 / FALLBACK_AGE_SECONDS + 1


@in_virtual_time
async def test_no_queries_without_workspaces() -> None:
    host = HostState()
    task = asyncio.create_task(host.prover().run())
    await asyncio.sleep(30.0)
    task.cancel()
    assert host.store.calls == []


@in_virtual_time
async def test_transaction_is_bound_to_its_workspace() -> None:
    clock = LoopClock()
    group = DatabaseGroup("db", ["z0"])
    home = SessionTargetHome(
        group.primary.entry,
        FakeDriver("h1", [group]),
        FakePhrases(),
        4,
        clock,
        DecisionLog("h1", clock, output_fd=None),
        lambda: None,
        lambda position, requested_at: None,
        3.0,
    )
    first = step("1", "farm", TransactionMode.WRITE)
    await home.run(first)
    with pytest.raises(RefusalError) as caught:
        await home.run(step("2", "mill", TransactionMode.NONE))
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert "2" not in group.ran_as
    await home.close()


def step(id: str, workspace: str, begin: TransactionMode) -> SessionStatement:
    """Return a write in a transaction."""
    return SessionStatement(
        "db",
        "",
        "s",
        {},
        "t",
        begin,
        None,
        SessionStatementKind.WRITE,
        id,
        "WRITE a b",
        0.8,
        workspace=workspace,
    )
