"""Promotion coordinators that succeed each other while orders are in flight.

Guards against an order of a former coordinator that reaches the platform after one of
its successor, and against two coordinators that order with the same token.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Coroutine
from typing import Any, Final, TypeAlias

import pytest
from hypothesis import example, given, settings, strategies as st

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerHandler, PeerRoutes
from reedhook.process.discovery.key_value_store import Item
from reedhook.process.discovery.store_revision import StoreRevision
from reedhook.process.fleet.membership_record import HostRecord, MembershipState
from reedhook.process.fleet.membership_table import MembershipTable
from reedhook.process.primary_lease.coordinator_role import (
    COORDINATOR_WAIT_SECONDS,
    MIN_WAIT_STORE_ANSWER_RATIO,
    ORDER_PERMIT_SECONDS,
    ORDER_TIMEOUT_SECONDS,
    SLOWEST_STORE_ANSWER_SECONDS,
    CoordinatorRole,
)
from reedhook.process.primary_lease.epoch_age import EpochAge
from reedhook.process.primary_lease.holder_failure_detector import (
    HolderFailureDetector,
)
from reedhook.process.primary_lease.lease_record import HostIncarnation
from reedhook.process.primary_lease.other_holders import INCARNATION_PATH
from reedhook.process.primary_lease.promotion_coordinator import (
    OrderOutcome,
    Promoter,
    PromotionCoordinator,
)
from reedhook.wire import Json

from .epoch_world import EventLog
from .fakes_clock import LoopClock, in_virtual_time, run_virtual
from .fakes_keyspace import FakeKeyspace, FakeStore, unlogged_epoch
from .fakes_peers import FakeNetwork

TRANSIT: Final = 0.003


class RecordingPlatform:
    """Record each order with its arrival, which may be late.

    :ivar transit: seconds on the way, by host; an order that is not answered within
        its timeout is reset and does not arrive later.
    :ivar arrived: the host and the token of each order, as they arrive.
    :ivar by_token: the incarnations that ordered with each token.
    """

    def __init__(self) -> None:
        self.transit: dict[str, float] = {}
        self.arrived: list[tuple[str, int]] = []
        self.by_token: defaultdict[int, set[str]] = defaultdict(set)

    def promoter(self, incarnation: str) -> "RecordingPromoter":
        """Return the access of one process."""
        return RecordingPromoter(self, incarnation)


class RecordingPromoter(Promoter):
    """Send the orders of one process to a `RecordingPlatform`."""

    def __init__(self, platform: RecordingPlatform, incarnation: str) -> None:
        self.platform = platform
        self.incarnation = incarnation

    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(self.platform.transit.get(holder, TRANSIT))
        except TimeoutError:
            return OrderOutcome.UNANSWERED
        self.platform.arrived.append((holder, token))
        self.platform.by_token[token].add(self.incarnation)
        return OrderOutcome.DONE


class HostKeyspace(FakeKeyspace):
    """Access the store as a host that answers reach late, or while it is paused.

    :ivar answer_delay: seconds between a read by the store and its answer.
    """

    def __init__(self, store: FakeStore, host: str, network: FakeNetwork) -> None:
        super().__init__(store, host, unlogged_epoch(host))
        self.network = network
        self.answer_delay = 0.0

    async def get(self, key: str, timeout: float) -> Item | None:
        item = await super().get(key, timeout)
        await asyncio.sleep(self.answer_delay)
        await self.network.awake(self.host)
        return item

    async def put(
        self,
        key: str,
        value: bytes,
        expected: StoreRevision | None,
        timeout: float,
        lease: int = 0,
    ) -> StoreRevision:
        revision = await super().put(key, value, expected, timeout, lease)
        await self.network.awake(self.host)
        return revision


def answer_with(incarnation: str) -> PeerHandler:
    """Return a handler that states the incarnation of a host."""

    async def handle(body: Json) -> Json:
        return {"life": incarnation}

    return handle


class Fleet:
    """Run coordinators over one store, network and platform."""

    def __init__(self, count: int = 2) -> None:
        self.store = FakeStore()
        self.network = FakeNetwork()
        self.platform = RecordingPlatform()
        self.refs = [
            HostRef(f"h{index}", f"z{index}", f"10.0.0.{index}:1")
            for index in range(count)
        ]
        self.tables = [MembershipTable() for _ in self.refs]
        for table in self.tables:
            for ref in self.refs:
                table.apply(HostRecord(ref, 1), 0.0)
        self.keyspaces = [
            HostKeyspace(self.store, ref.host, self.network) for ref in self.refs
        ]
        self.tasks: dict[int, list[asyncio.Future[object]]] = {}
        self.lives = 0
        self.coordinators = [self.start(index) for index in range(count)]

    def start(self, index: int, life: str = "a") -> PromotionCoordinator:
        """Start a host's coordinator as the incarnation `life`."""
        ref = self.refs[index]
        clock = self.network.clock(ref.host)
        routes = PeerRoutes()
        decisions = DecisionLog(ref.host, clock, output_fd=None)
        peers = self.network.join(ref, routes)
        me = HostIncarnation(ref, f"{ref.host}{life}")
        promoter = self.platform.promoter(me.incarnation)
        table = self.tables[index]
        detector = HolderFailureDetector(
            ref, table, peers, clock, random.Random(index), decisions
        )
        keyspace = self.keyspaces[index]
        age = EpochAge(keyspace.epoch, clock)
        role = CoordinatorRole(me, keyspace, peers, age, clock, decisions)
        coordinator = PromotionCoordinator(
            role, promoter, peers, table, detector, clock, decisions
        )
        coordinator.register(routes)
        detector.register(routes)
        routes.add(INCARNATION_PATH, answer_with(coordinator.me.incarnation))
        return coordinator

    def check(self) -> None:
        """Check that tokens never decrease and that each has one holder."""
        tokens = [token for _, token in self.platform.arrived]
        assert tokens == sorted(tokens)
        assert all(len(lives) == 1 for lives in self.platform.by_token.values())

    def declare_dead(self, index: int, by: int) -> None:
        """Have one host hold another one for dead."""
        record = HostRecord(self.refs[index], 2, MembershipState.DEAD)
        self.tables[by].apply(record, 0.0)

    def restart(self, index: int) -> None:
        """Replace the process of a host; its exchanges end with their connections."""
        for task in self.tasks.pop(index, []):
            task.cancel()
        self.network.resume(self.refs[index].host)
        self.lives += 1
        self.coordinators[index] = self.start(index, f"b{self.lives}")

    def spawn(self, index: int, work: Coroutine[Any, Any, object]) -> None:
        """Run `work` as part of a host's process."""
        task = asyncio.ensure_future(work)
        self.tasks.setdefault(index, []).append(task)


@in_virtual_time
async def test_log_of_an_order_states_what_permitted_it() -> None:
    """A token alone does not tell a second coordinator from a restored store."""
    fleet = Fleet()
    coordinator = fleet.coordinators[0]
    log = coordinator.decisions = EventLog("h0", LoopClock())
    await claim(coordinator)
    fleet.keyspaces[0].answer_delay = 0.2
    assert await coordinator.order("db", "m1") is OrderOutcome.DONE
    ((_, inputs),) = [one for one in log.events if one[0] == "promotion_ordered"]
    known = coordinator.role.known
    assert known is not None
    assert inputs["revision"] == known.revision.to_json()
    assert 0.2 <= inputs["read_age"] <= ORDER_PERMIT_SECONDS


@pytest.mark.parametrize("read_age", [0.0, 0.2, 0.29])
@pytest.mark.parametrize("transit", [0.1, 0.6, 0.69])
@in_virtual_time
async def test_order_of_a_live_coordinator_held_for_dead_precedes_its_successors(
    read_age: float, transit: float
) -> None:
    """Without the wait the successor's order arrived first, with the higher token."""
    fleet = Fleet()
    former, successor = fleet.coordinators
    assert await former.order("db", "m1") is OrderOutcome.DONE
    fleet.keyspaces[0].answer_delay = read_age
    fleet.platform.transit["h0"] = transit
    fleet.declare_dead(0, by=1)
    late = asyncio.create_task(former.order("db", "m2"))
    await asyncio.sleep(0.01)
    await order_until_done(successor)
    await late
    fleet.check()
    assert {host for host, _ in fleet.platform.arrived} == {"h0", "h1"}


@in_virtual_time
async def test_claim_without_an_answer_is_followed_by_the_wait() -> None:
    """A read that showed the claim's effect permitted an order at once."""
    fleet = Fleet()
    former, successor = fleet.coordinators
    assert await former.order("db", "m1") is OrderOutcome.DONE
    fleet.platform.transit["h0"] = 0.6
    fleet.declare_dead(0, by=1)
    fleet.store.losing.add("h1")
    claiming = asyncio.create_task(successor.order("db", "m2"))
    await asyncio.sleep(0.003)
    late = asyncio.create_task(former.order("db", "m2"))
    await asyncio.sleep(0.007)
    fleet.store.losing.clear()
    claiming.cancel()
    await order_until_done(successor)
    await late
    fleet.check()


@in_virtual_time
async def test_host_that_lost_the_role_is_not_taken_for_ended() -> None:
    """Its refusal of an order said only that another host had become coordinator."""
    fleet = Fleet(3)
    first, second, third = fleet.coordinators
    assert await first.order("db", "m1") is OrderOutcome.DONE
    # The second host asks the first one, which has lost the role to the third by then.
    fleet.network.delays["h1", "h0"] = 0.1
    asked = asyncio.create_task(second.order("db", "m2"))
    await asyncio.sleep(0.02)
    fleet.declare_dead(0, by=2)
    await order_until_done(third)
    await asked
    fleet.network.delays.clear()
    # The first one claims the role again, and is then wrongly held for dead.
    fleet.declare_dead(2, by=0)
    await order_until_done(first)
    fleet.platform.transit["h0"] = 0.6
    late = asyncio.create_task(first.order("db", "m3"))
    await asyncio.sleep(0.01)
    fleet.declare_dead(0, by=1)
    await order_until_done(second)
    await late
    fleet.check()


@in_virtual_time
async def test_ended_successor_does_not_shorten_the_wait_for_its_predecessor() -> None:
    """The order of the coordinator before the one that ended may be in flight."""
    fleet = Fleet(3)
    first, second, third = fleet.coordinators
    assert await first.order("db", "m1") is OrderOutcome.DONE
    fleet.platform.transit["h0"] = 0.6
    fleet.declare_dead(0, by=1)
    late = asyncio.create_task(first.order("db", "m2"))
    await asyncio.sleep(0.01)
    claiming = asyncio.create_task(second.order("db", "m2"))
    await asyncio.sleep(0.02)
    claiming.cancel()
    fleet.start(1, "b")
    await order_until_done(third)
    await late
    fleet.check()


@in_virtual_time
async def test_role_of_a_restarted_host_is_claimed_without_a_wait() -> None:
    fleet = Fleet()
    former, successor = fleet.coordinators
    assert await former.order("db", "m1") is OrderOutcome.DONE
    assert await successor.order("db", "m2") is OrderOutcome.DONE
    await asyncio.sleep(2.0)
    fleet.start(0, "b")
    started_at = asyncio.get_running_loop().time()
    await order_until_done(successor)
    assert asyncio.get_running_loop().time() - started_at < 0.1
    fleet.check()


async def order_until_done(coordinator: PromotionCoordinator) -> None:
    """Repeat an order until the platform has taken it."""
    while await coordinator.order("db", "m2") is not OrderOutcome.DONE:
        await asyncio.sleep(0.01)


Event: TypeAlias = tuple[float, str, int, int]
"""Seconds since the previous event, kind, and indices of the hosts concerned."""

HOSTS: Final = 3
KINDS: Final = [
    "order",
    "order",
    "claim",
    "news",
    "held for dead",
    "pause",
    "resume",
    "restart",
    "late write",
    "lost answer",
    "slow read",
    "slow order",
    "cut",
    "heal",
]
EVENTS: Final = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.002, 0.005, 0.01, 0.1, 0.25, 0.5, 0.9, 1.5]),
        st.sampled_from(KINDS),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
    ),
    min_size=4,
    max_size=24,
)

DENSE_EVENTS: Final = st.lists(
    st.tuples(
        st.sampled_from([0.002, 0.01, 0.05, 0.4]),
        st.sampled_from(["order", "order", "order", "claim", "restart"]),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
    ),
    min_size=4,
    max_size=12,
)


async def claim(coordinator: PromotionCoordinator) -> None:
    """Claim the role as a standby does, before a promotion is needed."""
    reading = await coordinator.role.read()
    if reading is not None and reading.holder != coordinator.me:
        await coordinator.role.claim(reading)


def apply_event(fleet: Fleet, event: Event) -> None:
    """Apply one event."""
    _, kind, one, two = event
    host = fleet.refs[one].host
    coordinator = fleet.coordinators[one]
    if kind == "order":
        fleet.spawn(one, coordinator.order("db", "m2"))
    elif kind == "claim":
        fleet.spawn(one, claim(coordinator))
    elif kind == "news":
        for item in fleet.store.items.values():
            coordinator.role.handle_item(item)
    elif kind == "held for dead":
        fleet.declare_dead(two, by=one)
    elif kind == "pause":
        fleet.network.pause(host)
    elif kind == "resume":
        fleet.network.resume(host)
    elif kind == "restart":
        fleet.restart(one)
    elif kind == "late write":
        fleet.store.late[host] = 0.7
    elif kind == "lost answer":
        fleet.store.losing.add(host)
    elif kind == "slow read":
        fleet.keyspaces[one].answer_delay = 0.29
    elif kind == "slow order":
        fleet.platform.transit[host] = ORDER_TIMEOUT_SECONDS - 0.001
    elif kind == "cut":
        fleet.network.isolate({host}, {fleet.refs[two].host})
    else:
        heal(fleet)


def heal(fleet: Fleet) -> None:
    """Remove all faults."""
    fleet.network.heal()
    fleet.store.late.clear()
    fleet.store.losing.clear()
    fleet.platform.transit.clear()
    for ref, keyspace in zip(fleet.refs, fleet.keyspaces, strict=True):
        fleet.network.resume(ref.host)
        keyspace.answer_delay = 0.0


async def play(events: list[Event], slow: bool = False, dead: bool = False) -> None:
    """Apply the events, then check the orders that arrived.

    :param slow: whether all orders of all hosts take as long as possible.
    :param dead: whether each host holds all others for dead.
    """
    fleet = Fleet(HOSTS)
    for one in range(HOSTS):
        if slow:
            apply_event(fleet, (0.0, "slow order", one, 0))
        for two in range(HOSTS):
            if dead and one != two:
                fleet.declare_dead(two, by=one)
    for event in events:
        await asyncio.sleep(event[0])
        apply_event(fleet, event)
    heal(fleet)
    await asyncio.sleep(5.0)
    tasks = [task for tasks in fleet.tasks.values() for task in tasks]
    assert all(task.done() for task in tasks)
    fleet.check()
    assert not fleet.network.failures


@given(EVENTS)
@example(
    [
        (0.0, "order", 0, 0),
        (0.1, "slow order", 0, 0),
        (0.0, "order", 0, 0),
        (0.01, "held for dead", 1, 0),
        (0.0, "order", 1, 0),
    ]
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_tokens_rise_with_the_coordinators_in_any_interleaving(
    events: list[Event],
) -> None:
    run_virtual(play(events))


@given(DENSE_EVENTS, st.booleans())
@settings(max_examples=500, deadline=None, derandomize=True)
def test_tokens_rise_when_slow_orders_meet_quick_changes_of_the_role(
    events: list[Event], dead: bool
) -> None:
    """Few kinds of events, so that each of them is met by an order in flight."""
    run_virtual(play(events, slow=True, dead=dead))


def test_wait_exceeds_four_times_the_slowest_store_answer() -> None:
    least = MIN_WAIT_STORE_ANSWER_RATIO * SLOWEST_STORE_ANSWER_SECONDS
    assert COORDINATOR_WAIT_SECONDS > least
    assert ORDER_PERMIT_SECONDS > SLOWEST_STORE_ANSWER_SECONDS
