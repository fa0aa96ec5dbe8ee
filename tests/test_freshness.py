"""How new the configuration of a host is proved to be, and by what."""

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


class Known:
    """What one host knows, with a store."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.store = FakeStore()
        self.decisions = DecisionLog("h1", self.clock, output_fd=None)
        self.announcements = Announcements(PlainDocuments(), self.clock, self.decisions)
        self.freshness = ConfigurationFreshness(self.announcements, self.clock)
        self.watch = StoreWatcher(
            self.store.client("h1"),
            self.announcements,
            Alone(),
            self.clock,
            Random(1),
            self.freshness,
        )

    def put(self, version: int) -> None:
        """Put a version in force."""
        self.announcements.apply_table(self.value(version))

    def value(self, version: int) -> bytes:
        """Return a configuration with a workspace."""
        return PlainDocuments().without_keys(
            encode({"version": version, "routes": [], "workspaces": [FARM]})
        )

    def proving(self, first: HostRef = ME) -> FreshnessProver:
        """Return what has the configuration proved; other hosts say nothing."""

        async def silent(ref: HostRef) -> bool:
            return False

        return FreshnessProver(
            self.store.client("h1"),
            self.announcements,
            self.freshness,
            ME,
            lambda: first,
            lambda: False,
            silent,
            self.clock,
            Random(1),
        )


class Alone(UpdateSource):
    """Leave a host to the store."""

    async def fetch_updates(self) -> bool:
        return False


@in_virtual_time
async def test_nothing_is_proved_at_first() -> None:
    known = Known()
    assert known.freshness.age() == float("inf")
    answer: Json = {}
    known.freshness.add_age(answer, known.clock.boottime())
    assert answer == {}


@in_virtual_time
async def test_a_version_that_is_lacking_proves_nothing_yet() -> None:
    known = Known()
    known.put(2)
    await asyncio.sleep(1.0)
    known.freshness.read_age({"a": 0}, 3, known.clock.boottime(), "h2")
    assert known.freshness.age() == float("inf")
    await asyncio.sleep(1.0)
    known.put(3)
    assert known.freshness.age() == pytest.approx(1.0)


@in_virtual_time
async def test_an_age_is_dated_from_the_question() -> None:
    """The answer may have been under way, or a host at rest, for any time."""
    known = Known()
    known.put(2)
    asked = known.clock.boottime()
    await asyncio.sleep(3.0)
    known.freshness.read_age({"a": 500}, 2, asked, "h2")
    assert known.freshness.age() == pytest.approx(3.5)


@in_virtual_time
async def test_an_older_proof_changes_nothing() -> None:
    known = Known()
    known.put(2)
    await asyncio.sleep(9.0)
    known.freshness.read_age({"a": 100}, 2, known.clock.boottime(), "h2")
    known.freshness.read_age({"a": 4000}, 2, known.clock.boottime(), "h3")
    assert known.freshness.age() == pytest.approx(0.1)
    assert known.freshness.source == "h2"


@pytest.mark.parametrize("age", ["1", 1.5, None, True, -10_000])
@in_virtual_time
async def test_no_answer_proves_the_future(age: object) -> None:
    known = Known()
    known.put(2)
    await asyncio.sleep(1.0)
    try:
        known.freshness.read_age({"a": age}, 2, known.clock.boottime(), "h2")
    except WireError:
        assert known.freshness.age() == float("inf")
    assert known.freshness.age() >= 0.0


@in_virtual_time
async def test_a_change_during_a_question_is_not_covered_by_its_answer() -> None:
    known = Known()
    known.store.write(TABLE_KEY, known.value(1))
    await known.watch.read_all()
    question = asyncio.create_task(known.watch.follow_store())
    await asyncio.sleep(0.9)
    # The answer tells of this change; one after it may be acknowledged already.
    known.store.write("x", b"1")
    await question
    assert known.freshness.age() >= 0.9


@in_virtual_time
async def test_an_answer_that_may_be_a_part_proves_nothing() -> None:
    known = Known()
    await known.watch.read_all()
    proved = known.freshness.as_of
    await asyncio.sleep(1.0)
    for index in range(150):
        known.store.write(f"x{index}", b"1")
    await known.watch.follow_store()
    assert known.freshness.as_of == proved


@in_virtual_time
async def test_held_news_states_the_age_at_which_it_was_asked() -> None:
    known = Known()
    known.put(2)
    desk = UpdateServer(known.announcements, known.clock, known.freshness)
    asked = known.clock.boottime()
    question = asyncio.create_task(
        desk.handle_request({"after": 0, "version": 2, "hold_ms": 2000})
    )
    await asyncio.sleep(1.5)
    known.freshness.record_proof(known.clock.boottime())
    answer = await question
    # Two seconds have passed; half a second ago all was known.
    other = Known()
    other.put(2)
    other.freshness.read_age(answer, answer["version"], asked, "h1")
    assert other.freshness.age() == pytest.approx(0.5, abs=0.01)


@in_virtual_time
async def test_a_revision_proves_once_all_up_to_it_is_known() -> None:
    known = Known()
    known.store.write(TABLE_KEY, known.value(1))
    await known.watch.read_all()
    proved = known.freshness.as_of
    await asyncio.sleep(1.0)
    known.store.write(TABLE_KEY, known.value(2))
    proving = known.proving()
    await proving.query()
    # The store is ahead: the change is not known here.
    assert known.freshness.as_of == proved
    await known.watch.follow_store()
    proving.apply_awaited_proof()
    assert known.freshness.age() < 1.0


@in_virtual_time
async def test_a_host_whose_prover_is_silent_asks_the_store_itself() -> None:
    known = Known()
    known.store.write(TABLE_KEY, known.value(1))
    await known.watch.read_all()
    task = asyncio.create_task(known.proving(OTHER).run())
    ages = []
    for _ in range(200):
        await asyncio.sleep(0.1)
        ages.append(known.freshness.age())
    task.cancel()
    assert max(ages) < 2 * FALLBACK_AGE_SECONDS
    assert known.store.calls.count("list") < 1 + 20.0 / FALLBACK_AGE_SECONDS + 1


@in_virtual_time
async def test_without_workspaces_nobody_asks() -> None:
    known = Known()
    task = asyncio.create_task(known.proving().run())
    await asyncio.sleep(30.0)
    task.cancel()
    assert known.store.calls == []


@in_virtual_time
async def test_a_home_keeps_a_transaction_to_its_workspace() -> None:
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
        lambda position, asked: None,
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
    """Return a write of one transaction."""
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
