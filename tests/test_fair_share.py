"""Shares of workspaces: one loud workspace, many workspaces, the cost of a decision."""

import asyncio
import sys
from collections import Counter
from random import Random
from typing import Any, Final

import pytest
from hypothesis import given, settings, strategies as st

from reedhook.connection.admission import AdmissionRequest
from reedhook.connection.backlog_sums import BacklogSums
from reedhook.connection.fair_share import (
    MIN_FLOWS,
    FairShare,
    Flow,
    Place,
    weight_of_priority,
)
from reedhook.connection.session_target_refusals import home_closed_refusal
from reedhook.connection.summed_skip_list import SummedSkipList

from . import former_admission_queue as former
from .fakes_clock import LoopClock, run_virtual
from .load import SLOTS
from .workspace_load import (
    Outcome,
    Stream,
    WorkspaceLoad,
    in_time,
    quantile,
    served,
)

WORK: Final = 0.018
QUIET: Final = 49
LOUD: Final = "loud"
SEEDS: Final = (1, 2, 3)


def make_load(seed: int, formerly: bool) -> WorkspaceLoad:
    """Return a load on a new queue, or on the former one."""
    if not formerly:
        return WorkspaceLoad(seed)
    connections = former.ConnectionAvailability(lambda: True, lambda: 0.0)
    queue = former.AdmissionQueue("t", SLOTS, connections, LoopClock())
    return WorkspaceLoad(seed, False, queue, former.AdmissionRequest)


def run_loud(
    usual: float, factor: float, seconds: float, formerly: bool = False
) -> list[Outcome]:
    """Return the outcomes of 49 workspaces while the 50th sends `factor` times its
    usual load.

    :param usual: usual load of all, as a multiple of the slots.
    """
    share = usual / (QUIET + 1)
    streams = [Stream(f"w{number}", share, WORK) for number in range(QUIET)]
    streams.append(Stream(LOUD, factor * share, WORK))

    async def run(seed: int) -> list[Outcome]:
        load = make_load(seed, formerly)
        await load.run(streams, seconds)
        return load.of(lambda stream: stream.workspace != LOUD)

    return [one for seed in SEEDS for one in run_virtual(run(seed))]


def growth(formerly: bool) -> float:
    """Return the growth of the 99th percentile of quiet workspaces' waits."""
    usual, loud = (
        quantile([one.wait for one in run_loud(0.55, factor, 40.0, formerly)], 0.99)
        for factor in (1.0, 10.0)
    )
    return loud - usual


def test_one_loud_workspace_among_fifty_delays_the_others_little() -> None:
    """It must not take the slots that the others would have had."""
    assert growth(formerly=False) <= WORK
    assert growth(formerly=True) > WORK


def test_one_workspace_beyond_all_slots_is_refused_by_its_own_backlog() -> None:
    """The others together need 0.7 of the slots; the loud one 0.7 more."""
    assert served(run_loud(0.7, 50.0, 10.0)) >= 0.98
    assert served(run_loud(0.7, 50.0, 10.0, formerly=True)) <= 0.8


def test_slots_are_shared_by_weight_among_workspaces_that_want_more() -> None:
    streams = [
        Stream(f"w{priority}", 1.0, WORK, weight=weight_of_priority(priority))
        for priority in range(4)
    ]

    async def run() -> list[int]:
        load = WorkspaceLoad(1)
        await load.run(streams, 20.0)
        counts = Counter(one.stream.workspace for one in load.outcomes if one.in_time())
        return [counts[stream.workspace] for stream in streams]

    answered = run_virtual(run())
    total = sum(answered)
    for count, share in zip(answered, (4 / 8, 2 / 8, 1 / 8, 1 / 8), strict=True):
        assert count / total == pytest.approx(share, abs=0.05)


def test_long_statements_cost_their_workspace_as_much_slot_time() -> None:
    """Shares by count would give the workspace with long statements most slots."""
    streams = [
        Stream("short", 1.0, 0.006, objective=0.5, route="short"),
        Stream("long", 1.0, 0.036, objective=0.5, route="long"),
    ]

    async def run() -> list[float]:
        load = WorkspaceLoad(1)
        await load.run(streams, 20.0)
        return [
            stream.work
            * sum(one.seconds is not None for one in load.of(lambda s: s is stream))
            for stream in streams
        ]

    short, long = run_virtual(run())
    assert 0.8 <= short / long <= 1.25


def place(workspace: str, number: int, seconds: float = WORK) -> Place:
    """Return the place of an entry."""
    return Place(workspace, 1.0, 0, (1.0, seconds, 0.0, number), seconds)


def deep_size(share: FairShare[int]) -> int:
    """Return the bytes that the state of a share takes, without waiting entries."""
    size = sys.getsizeof(share.flows) + sum(map(sys.getsizeof, share.heaps))
    for workspace, flow in share.flows.items():
        size += sys.getsizeof(workspace) + sys.getsizeof(flow)
        size += sys.getsizeof(flow.tag) + sys.getsizeof(flow.seconds)
    return size


def test_ten_thousand_workspaces_fit_in_memory() -> None:
    """The bound is 10 MB a target, also while each of them waits."""
    share: FairShare[int] = FairShare(Random(1))
    for number in range(10_000):
        share.add(place(f"workspace-{number}", number), number)
    waiting = sum(
        sys.getsizeof(lane) + sys.getsizeof(lane.head) + 4 * sys.getsizeof([0])
        for flow in share.flows.values()
        for lane in flow.lanes or ()
        if lane is not None
    )
    assert deep_size(share) + waiting <= 10_000_000
    for number in range(10_000):
        share.remove(place(f"workspace-{number}", number))
        share.start(f"workspace-{number}", 1.0, WORK, in_turn=True)
    assert deep_size(share) <= 4_000_000


def test_workspaces_that_are_owed_nothing_are_forgotten() -> None:
    """Names of workspaces that have gone must not accumulate."""
    share: FairShare[int] = FairShare(Random(1))
    for number in range(50_000):
        share.start(f"w{number}", 1.0, WORK, in_turn=True)
    assert len(share.flows) <= 2 * MIN_FLOWS


def visits(count: int) -> float:
    """Return the mean nodes visited by an insertion, a sum and a removal."""
    entries: SummedSkipList[int] = SummedSkipList(Random(1))
    random = Random(2)
    keys = [(random.random(), float(number)) for number in range(count)]
    for key in keys:
        entries.add(key, WORK, 1)
    before, tries = entries.steps, keys[:: max(count // 500, 1)]
    for value, index in tries:
        key = (value, index + 0.5)
        entries.add(key, WORK, 1)
        entries.sum_up_to(key)
        entries.remove(key, WORK)
    return (entries.steps - before) / len(tries)


def test_steps_of_a_decision_grow_with_the_logarithm_of_the_entries() -> None:
    """At 10,000 waiting statements a scan would visit each of them."""
    few, many = visits(100), visits(10_000)
    assert many <= 3.0 * few
    assert many <= 120.0


def test_heap_of_workspaces_does_not_keep_outdated_entries() -> None:
    """Each charge of a waiting workspace adds an entry to the heap."""
    share: FairShare[int] = FairShare(Random(1))
    for number in range(100):
        share.add(place(f"w{number}", number), number)
    for number in range(20_000):
        share.start(f"w{number % 100}", 1.0, WORK, in_turn=False)
        share.correct(f"w{number % 100}", 1.0, -WORK / 2)
    assert len(share.heaps[0]) <= 300


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 30), st.integers(1, 64)), max_size=80
    ),
    st.integers(-1, 31),
)
def test_skip_list_sums_as_a_scan_does(
    changes: list[tuple[bool, int, int]], bound: int
) -> None:
    entries: SummedSkipList[int] = SummedSkipList(Random(1))
    expected: dict[tuple[float, ...], int] = {}
    for adds, value, seconds in changes:
        key = (float(value),)
        if adds and key not in expected:
            entries.add(key, float(seconds), value)
            expected[key] = seconds
        elif not adds and key in expected:
            entries.remove(key, float(expected.pop(key)))
        elif not adds:
            with pytest.raises(KeyError):
                entries.remove(key, 0.0)
    below = [seconds for key, seconds in expected.items() if key <= (bound,)]
    assert entries.sum_up_to((float(bound),)) == (len(below), sum(below))
    assert [(value,) for value in entries] == sorted(expected)
    assert entries.total_seconds == sum(expected.values())


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from([1.0, 2.0, 4.0]), st.floats(1e-4, 10.0)), max_size=30
    ),
    st.floats(1e-4, 10.0),
)
def test_backlog_sums_are_close_to_the_sum_over_workspaces(
    backlogs: list[tuple[float, float]], within: float
) -> None:
    """They may overestimate, since a bucket is served in one."""
    sums = BacklogSums()
    for weight, seconds in backlogs:
        sums.add(weight, seconds)
    exact = sum(min(seconds, weight * within) for weight, seconds in backlogs)
    assert exact * 0.999 <= sums.served_within(within) <= 1.5 * exact + 1e-9


def test_quiet_workspace_goes_before_the_backlog_of_another() -> None:
    share: FairShare[int] = FairShare(Random(1))
    for number in range(5):
        share.add(place(LOUD, number), number)
    order = []
    for arriving in (5, 0, 0):
        first = share.first()
        assert first is not None
        order.append(first)
        workspace = LOUD if first < 5 else "quiet"
        share.remove(place(workspace, first))
        share.start(workspace, 1.0, WORK, in_turn=True)
        if arriving:
            share.add(place("quiet", arriving), arriving)
    assert order == [0, 5, 1]


def test_expected_wait_counts_others_only_with_their_share() -> None:
    share: FairShare[int] = FairShare(Random(1))
    for number in range(1000):
        share.add(place(LOUD, number), number)
    count, seconds = share.before(place("quiet", 2000), waits=False)
    assert seconds == pytest.approx(WORK)
    assert count == 1
    loud_count, loud_seconds = share.before(place(LOUD, 2000), waits=False)
    assert loud_count == 1000
    assert loud_seconds == pytest.approx(1000 * WORK)


def test_home_that_is_lost_in_a_burst_starts_with_equal_shares() -> None:
    """The next home knows no tags; the loud workspace must not profit from that."""
    streams = [Stream(f"w{number}", 0.01, WORK) for number in range(QUIET)]
    streams.append(Stream(LOUD, 1.5, WORK))

    async def run() -> list[Outcome]:
        load = make_load(1, formerly=False)
        sending = asyncio.ensure_future(load.send(streams, 6.0))
        await asyncio.sleep(3.0)
        queue: Any = load.queue
        waiting = list(queue.waiting)
        queue.refuse_waiting(home_closed_refusal())
        load.queue = make_load(1, formerly=False).queue
        await sending
        await asyncio.gather(*load.calls)
        assert waiting and not queue.waiting and not load.queue.waiting
        return [
            one
            for one in load.of(lambda stream: stream.workspace != LOUD)
            if one.started_at > 3.0
        ]

    quiet = run_virtual(run())
    assert in_time(quiet) >= 0.95


def test_flow_without_entries_sums_to_nothing() -> None:
    flow: Flow[int] = Flow(1.0, 0.0)
    assert flow.sum_up_to((1.0,)) == (0, 0.0)


def test_request_without_workspace_has_the_weight_of_the_others() -> None:
    assert AdmissionRequest("r", 1, 0.0, 0.0, False).weight == weight_of_priority(9)
