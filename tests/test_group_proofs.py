"""The proofs by themselves: durable positions, confirmations, samples."""

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


def test_an_entry_of_a_former_term_is_not_durable_by_being_on_a_majority() -> None:
    # Of five, two hold (2, 2) since term 2; one took it over in term 4 from a
    # primary whose own entry no majority holds. A holder of (3, 2) may still
    # win term 5 and drop it.
    taken = MemberState("m3", Role.REPLICA, 4, 4, Position(2, 2), Position(2, 2), 1, 1)
    leader = state("m1", 4, Position(4, 3), Role.PRIMARY)
    states = [leader, state("m2", 2, Position(2, 2)), taken]
    states += [state("m4", 2, Position(1, 1)), state("m5", 3, Position(3, 2))]
    assert durable_position(states, 4, 3) is None
    assert durable_position(states, 2, 3) is None


def test_a_member_that_promised_a_higher_term_does_not_count() -> None:
    leader = state("m1", 3, Position(3, 9), Role.PRIMARY)
    fenced = state("m2", 4, Position(3, 9), Role.FENCED)
    behind = state("m3", 3, Position(3, 5))
    assert durable_position([leader, fenced, behind], 3, 2) == Position(3, 5)
    assert durable_position([leader, fenced], 3, 2) is None


@in_virtual_time
async def test_a_later_term_proves_nothing_of_the_last_entries_of_a_former_one() -> (
    None
):
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
async def test_waits_end_at_once_when_a_higher_term_is_seen() -> None:
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
async def test_waits_that_gave_up_are_dropped() -> None:
    durability = DurabilityTracker()
    durability.enter_term(1)
    for serial in range(5000):
        with pytest.raises(TimeoutError):
            await durability.wait(Position(1, serial), 0.0)
    assert len(durability.waiters) <= 1100


class Members:
    """Answer the questions of confirmation rounds.

    :ivar states: answers by member; None gives none.
    :ivar delay: seconds until an answer.
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
async def test_a_round_needs_a_majority_that_promised_nothing_higher(
    second: MemberState | None, third: MemberState | None, proved: bool
) -> None:
    members = Members({"m1": LEADER, "m2": second, "m3": third})
    confirmation = members.confirmation()
    ticket = confirmation.request_round()
    await confirmation.wait_for_round(ticket)
    assert confirmation.is_confirmed(ticket, 3) is proved
    assert not confirmation.is_confirmed(ticket, 2)
    assert len(members.samples) == int(proved)


@in_virtual_time
async def test_a_round_without_its_primary_proves_nothing() -> None:
    replica = state("m2", 3, Position(3, 8))
    other = state("m3", 3, Position(3, 8))
    fenced = state("m1", 3, Position(3, 9), Role.FENCED)
    for first in (None, fenced):
        members = Members({"m1": first, "m2": replica, "m3": other})
        confirmation = members.confirmation()
        ticket = confirmation.request_round()
        await confirmation.wait_for_round(ticket)
        assert not confirmation.is_confirmed(ticket, 3)


@in_virtual_time
async def test_a_round_begun_before_the_question_does_not_serve_it() -> None:
    replica = state("m2", 3, Position(3, 8))
    members = Members({"m1": LEADER, "m2": replica, "m3": None})
    confirmation = members.confirmation()
    first = confirmation.request_round()
    await asyncio.sleep(0.005)
    members.states["m2"] = state("m2", 4, Position(3, 8))
    tickets = {confirmation.request_round() for _ in range(10)}
    assert len(tickets) == 1
    second = tickets.pop()
    await confirmation.wait_for_round(first)
    assert confirmation.is_confirmed(first, 3)
    assert not confirmation.is_confirmed(second, 3)
    await confirmation.wait_for_round(second)
    assert not confirmation.is_confirmed(second, 3)
    assert members.asked == 6


times = st.floats(0.0, 100.0)
positions = st.builds(Position, st.integers(1, 3), st.integers(1, 9))


@given(dated=times, asked=times, gap=times, transit=times, back=times)
def test_a_sample_handed_on_is_never_dated_later(
    dated: float, asked: float, gap: float, transit: float, back: float
) -> None:
    # Both clocks are read off one axis here; `gap` is how far they differ.
    answered = max(dated, asked + transit)
    sample = PrimarySample(Position(1, 1), dated)
    handed = PrimarySample.from_json(sample.to_json(answered), asked + gap)
    assert handed.as_of - gap <= dated + 1e-6


@given(st.lists(st.tuples(positions, times), max_size=80), positions)
def test_an_age_is_that_of_a_sample_that_is_covered(
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


def test_a_replica_that_lags_proves_an_older_sample() -> None:
    samples = PrimarySamples()
    for index in range(1, 50):
        samples.add(PrimarySample(Position(1, index), index * 0.1))
    assert samples.age(Position(1, 20), 10.0) == pytest.approx(8.0)
    assert samples.age(ORIGIN, 10.0) is None


@using(cluster_of, run_virtual)
async def test_a_superseded_primary_that_wrote_nothing_reads_nothing_fresh(
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
async def test_a_fresh_read_does_not_show_what_may_still_be_lost(
    cluster: Cluster,
) -> None:
    cluster.truth.cut({"m1"})
    with pytest.raises(RefusalError):
        await cluster.write("m1", "unsafe", 0.1)
    refusal = await refusal_of(cluster.read("m1", Consistency.FRESH, remaining=0.3))
    assert refusal.reason is RefusalReason.UNCONFIRMED


@using(cluster_of, run_virtual)
async def test_a_write_whose_proof_took_long_is_confirmed_first(
    cluster: Cluster,
) -> None:
    position = await cluster.write("m1", "a")
    keeper = cluster.hosts["m1a"].keeper
    await keeper.wait_until_durable(position, 0.3, since=cluster.now() - 1.0)
    cluster.network.isolate({"m1a"}, {"m2a", "m3a"})
    await keeper.wait_until_durable(position, 0.3)
    refusal = await refusal_of(
        keeper.wait_until_durable(position, 0.3, since=cluster.now() - 1.0)
    )
    assert refusal.reason is RefusalReason.NOT_DURABLE


@using(cluster_of, run_virtual)
async def test_a_proof_that_nobody_can_give_yet_is_not_asked_for_without_a_pause(
    cluster: Cluster,
) -> None:
    host = cluster.hosts["m2a"]
    home = host.local["m2"]
    assert home.task is not None
    home.task.cancel()
    home.state = None
    begun = cluster.now()
    await host.keeper.sampler.fetch_shared_sample(0.5)
    assert cluster.now() > begun
