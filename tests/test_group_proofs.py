"""Proofs of durability, of leadership and of the age of data."""

import asyncio

import pytest
from hypothesis import given, strategies as st

from reedhook.connection.target import MemberState, Role
from reedhook.process.groups.durability_tracker import (
    DurabilityTracker,
    durable_position,
)
from reedhook.process.groups.leader_confirmation import GroupLeader, LeaderConfirmation
from reedhook.process.groups.primary_sample import PrimarySample, PrimarySamples
from reedhook.request.position import ORIGIN, Position
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import Consistency

from .cluster_group import Cluster, cluster_of
from .fakes_clock import LoopClock, in_virtual_time, run_virtual
from .home_support import refusal_of
from .support import using


def state(
    member: str, promised: int, held: Position, role: Role = Role.REPLICA
) -> MemberState:
    return MemberState(member, role, promised, held.term, held, held, 1, 1)


def test_entry_of_former_term_on_majority_is_not_durable() -> None:
    # Three of five members hold (2, 2), one of them copied it in term 4 from a
    # primary whose own entry is on no majority. The member with (3, 2) may still
    # win term 5 and discard it.
    copied = MemberState("m3", Role.REPLICA, 4, 4, Position(2, 2), Position(2, 2), 1, 1)
    leader = state("m1", 4, Position(4, 3), Role.PRIMARY)
    states = [leader, state("m2", 2, Position(2, 2)), copied]
    states += [state("m4", 2, Position(1, 1)), state("m5", 3, Position(3, 2))]
    assert durable_position(states, 4, 3) is None
    assert durable_position(states, 2, 3) is None


def test_member_with_higher_promised_term_does_not_count_for_durability() -> None:
    leader = state("m1", 3, Position(3, 9), Role.PRIMARY)
    fenced = state("m2", 4, Position(3, 9), Role.FENCED)
    behind = state("m3", 3, Position(3, 5))
    assert durable_position([leader, fenced, behind], 3, 2) == Position(3, 5)
    assert durable_position([leader, fenced], 3, 2) is None


@in_virtual_time
async def test_later_term_does_not_make_last_entries_of_former_term_durable() -> None:
    durability = DurabilityTracker()
    durability.advance(Position(1, 5))
    assert durability.is_durable(Position(1, 5))
    waiting = asyncio.create_task(durability.wait(Position(1, 7), 1.0))
    await asyncio.sleep(0.01)
    durability.advance(Position(2, 6))
    assert await waiting is False
    assert not durability.is_durable(Position(1, 7))
    assert await durability.wait(Position(2, 6), 1.0) is True


@in_virtual_time
async def test_higher_term_ends_durability_waits_immediately() -> None:
    durability = DurabilityTracker()
    durability.enter_term(1)
    waiting = [
        asyncio.create_task(durability.wait(Position(1, index), 10.0))
        for index in range(1, 6)
    ]
    await asyncio.sleep(0.01)
    durability.advance(Position(1, 2))
    durability.enter_term(2)
    assert await asyncio.gather(*waiting) == [True, True, False, False, False]
    assert asyncio.get_running_loop().time() < 0.1


@in_virtual_time
async def test_timed_out_durability_waiters_are_dropped() -> None:
    durability = DurabilityTracker()
    durability.enter_term(1)
    for serial in range(5000):
        with pytest.raises(TimeoutError):
            await durability.wait(Position(1, serial), 0.0)
    assert len(durability.waiters) <= 1100


class Members:
    """Members that answer the state requests of confirmation rounds.

    :ivar states: answers by member; None for no answer.
    :ivar delay: seconds until each answer.
    """

    def __init__(self, states: dict[str, MemberState | None]) -> None:
        self.states = states
        self.delay = 0.01
        self.asked = 0
        self.samples: list[PrimarySample] = []

    async def ask(self, member: str, timeout: float) -> MemberState | None:
        self.asked += 1
        answer = self.states[member]
        await asyncio.sleep(self.delay)
        return answer

    def confirmation(self) -> LeaderConfirmation:
        return LeaderConfirmation(
            list(self.states),
            len(self.states) // 2 + 1,
            self.ask,
            lambda: GroupLeader(3, "m1"),
            self.samples.append,
            LoopClock(),
            0.25,
        )


LEADER = state("m1", 3, Position(3, 9), Role.PRIMARY)


@pytest.mark.parametrize(
    "second, third, proved",
    [
        (state("m2", 3, Position(3, 8)), None, True),
        (state("m2", 2, Position(2, 1)), None, True),
        (None, None, False),
        (state("m2", 4, Position(3, 8)), state("m3", 4, Position(3, 8)), False),
        (state("m2", 4, Position(3, 8)), state("m3", 3, Position(3, 8)), True),
    ],
)
@in_virtual_time
async def test_round_needs_majority_without_higher_promised_term(
    second: MemberState | None, third: MemberState | None, proved: bool
) -> None:
    members = Members({"m1": LEADER, "m2": second, "m3": third})
    confirmation = members.confirmation()
    round_number = confirmation.request_round()
    await confirmation.wait_for_round(round_number)
    assert confirmation.is_confirmed(round_number, 3) is proved
    assert not confirmation.is_confirmed(round_number, 2)
    assert len(members.samples) == int(proved)


@in_virtual_time
async def test_round_without_answer_of_primary_confirms_nothing() -> None:
    replica = state("m2", 3, Position(3, 8))
    other = state("m3", 3, Position(3, 8))
    fenced = state("m1", 3, Position(3, 9), Role.FENCED)
    for first in (None, fenced):
        members = Members({"m1": first, "m2": replica, "m3": other})
        confirmation = members.confirmation()
        round_number = confirmation.request_round()
        await confirmation.wait_for_round(round_number)
        assert not confirmation.is_confirmed(round_number, 3)


@in_virtual_time
async def test_round_started_before_request_does_not_confirm_it() -> None:
    replica = state("m2", 3, Position(3, 8))
    members = Members({"m1": LEADER, "m2": replica, "m3": None})
    confirmation = members.confirmation()
    first = confirmation.request_round()
    await asyncio.sleep(0.005)
    members.states["m2"] = state("m2", 4, Position(3, 8))
    round_numbers = {confirmation.request_round() for _ in range(10)}
    assert len(round_numbers) == 1
    second = round_numbers.pop()
    await confirmation.wait_for_round(first)
    assert confirmation.is_confirmed(first, 3)
    assert not confirmation.is_confirmed(second, 3)
    await confirmation.wait_for_round(second)
    assert not confirmation.is_confirmed(second, 3)
    assert members.asked == 6


times = st.floats(0.0, 100.0)
positions = st.builds(Position, st.integers(1, 3), st.integers(1, 9))


@given(dated=times, asked=times, gap=times, transit=times, back=times)
def test_forwarded_sample_is_never_dated_later(
    dated: float, asked: float, gap: float, transit: float, back: float
) -> None:
    # All times are on the sender's clock; `gap` is the offset of the receiver's.
    answered = max(dated, asked + transit)
    sample = PrimarySample(Position(1, 1), dated)
    forwarded = PrimarySample.from_json(sample.to_json(answered), asked + gap)
    assert forwarded.as_of - gap <= dated + 1e-6


@given(st.lists(st.tuples(positions, times), max_size=80), positions)
def test_age_is_that_of_a_covered_sample(
    given_samples: list[tuple[Position, float]], applied: Position
) -> None:
    samples = PrimarySamples()
    for position, dated in given_samples:
        samples.add(PrimarySample(position, dated))
    age = samples.age(applied, 200.0)
    covered = [
        200.0 - dated for position, dated in given_samples if position <= applied
    ]
    if age is None:
        return
    assert age in covered


def test_lagging_replica_gets_age_of_older_sample() -> None:
    samples = PrimarySamples()
    for index in range(1, 50):
        samples.add(PrimarySample(Position(1, index), index * 0.1))
    assert samples.age(Position(1, 20), 10.0) == pytest.approx(8.0)
    assert samples.age(ORIGIN, 10.0) is None


@using(cluster_of, run_virtual)
async def test_superseded_primary_without_writes_refuses_fresh_reads(
    cluster: Cluster,
) -> None:
    await cluster.write("m1", "a")
    cluster.cut_zone("m1")
    await asyncio.sleep(1.0)
    assert cluster.leader() != "m1"
    await cluster.write(cluster.leader(), "b")
    refusal = await refusal_of(cluster.read("m1", Consistency.FRESH, remaining=0.6))
    assert refusal.reason is RefusalReason.UNCONFIRMED


@using(cluster_of, run_virtual)
async def test_fresh_read_does_not_return_entries_that_may_be_lost(
    cluster: Cluster,
) -> None:
    cluster.truth.cut({"m1"})
    with pytest.raises(RefusalError):
        await cluster.write("m1", "unsafe", 0.1)
    refusal = await refusal_of(cluster.read("m1", Consistency.FRESH, remaining=0.3))
    assert refusal.reason is RefusalReason.UNCONFIRMED


@using(cluster_of, run_virtual)
async def test_slow_write_also_needs_leader_confirmation(
    cluster: Cluster,
) -> None:
    position = await cluster.write("m1", "a")
    manager = cluster.hosts["m1a"].keeper
    await manager.wait_until_durable(position, 0.3, since=cluster.now() - 1.0)
    cluster.network.isolate({"m1a"}, {"m2a", "m3a"})
    await manager.wait_until_durable(position, 0.3)
    refusal = await refusal_of(
        manager.wait_until_durable(position, 0.3, since=cluster.now() - 1.0)
    )
    assert refusal.reason is RefusalReason.NOT_DURABLE


@using(cluster_of, run_virtual)
async def test_fetch_of_unavailable_sample_pauses(
    cluster: Cluster,
) -> None:
    host = cluster.hosts["m2a"]
    home = host.local["m2"]
    assert home.task is not None
    home.task.cancel()
    home.state = None
    started_at = cluster.now()
    await host.keeper.sampler.fetch_shared_sample(0.5)
    assert cluster.now() > started_at
