"""Choice by load reports: herds at one target, slow and ejected targets, old ones."""

import math
from collections import Counter
from random import Random

import pytest

from reedhook.request.service_observations import (
    DEFAULT_MEAN_SECONDS,
    PROBATION_READ_INTERVAL,
)
from reedhook.request.target_choice import (
    MAX_REPORT_AGE_SECONDS,
    OTHER_ZONE_HOP_SECONDS,
    TargetChoice,
)
from reedhook.request.target_load import TargetCondition, TargetLoad
from reedhook.request.target_loads import TargetLoads
from reedhook.version.route_table import TargetAnnouncement

from .choice_simulation import SLOTS, ChoiceSimulation, SimulatedRouter
from .timeline_fakes import HandClock

ENTRIES = ChoiceSimulation(0, [0.02] * 3).entries
ZONES = ["z0", "z1", "z2"]
WAVE_PERIOD = 17.0
WAVE_BINS = 6


def router_with(*loads: TargetLoad, zone: str = "z0") -> SimulatedRouter:
    """Return a router that knows reports, at the time 100."""
    router = SimulatedRouter(zone, HandClock(100.0), Random(1))
    for load in loads:
        assert router.loads.record(load)
    return router


def load(
    target: str,
    wait: float = 0.0,
    service: float = 0.02,
    condition: TargetCondition = TargetCondition.HEALTHY,
    as_of: float = 100.0,
    free_slots: int = SLOTS,
    born: int = 1,
) -> TargetLoad:
    """Return a report."""
    return TargetLoad(target, born, wait, free_slots, service, condition, as_of)


def choices(router: SimulatedRouter, reads: int = 3000) -> Counter[str]:
    """Return how often each target is chosen."""
    chosen: Counter[str] = Counter()
    for _ in range(reads):
        entry = router.choice.choose(ENTRIES, router.observations, 100.0)
        chosen["" if entry is None else entry.target] += 1
    return chosen


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("utilization", [0.5, 0.8, 0.95])
def test_64_routers_do_not_herd(seed: int, utilization: float) -> None:
    """In no second does a target get 1.3 times its share of the reads."""
    simulation = ChoiceSimulation(seed, [0.02] * 3)
    simulation.add_routers(64, "z0")
    simulation.run(1.0, utilization * 600.0)
    for _ in range(20):
        simulation.arrivals.clear()
        simulation.run(1.0, utilization * 600.0)
        assert simulation.spread() < 1.3


def test_64_routers_with_the_same_reports_do_not_herd() -> None:
    """Reports that differ slightly and reach all routers must not select one target."""
    simulation = ChoiceSimulation(1, [0.02] * 3)
    chosen: Counter[str] = Counter()
    for router in simulation.add_routers(64, "z0"):
        for target, wait in (("t0", 0.010), ("t1", 0.0105), ("t2", 0.011)):
            router.loads.record(load(target, wait, as_of=0.0, free_slots=0))
        for _ in range(20):
            entry = router.choice.choose(simulation.entries, router.observations, 0.0)
            assert entry is not None
            chosen[entry.target] += 1
    assert max(chosen.values()) < 1.3 * chosen.total() / 3


def test_slow_target_of_three_gets_few_reads() -> None:
    simulation = ChoiceSimulation(1, [0.02, 0.02, 0.1])
    simulation.add_routers(64, "z0")
    simulation.run(20.0, 250.0)
    assert simulation.arrivals["t2"] < 0.12 * simulation.arrivals.total()
    assert simulation.latency_at(0.5) < 0.025


def test_zone_without_targets_follows_the_free_room_of_the_others() -> None:
    """Demand moves through the zones of the targets; the fourth zone has none."""
    simulation = ChoiceSimulation(1, [0.02] * 3, ZONES)
    end = 8 * WAVE_PERIOD
    room = [Counter[str]() for _ in range(WAVE_BINS)]
    sent = [Counter[str]() for _ in range(WAVE_BINS)]

    def count(router: SimulatedRouter, target: str) -> None:
        phase = int(simulation.clock.now / WAVE_PERIOD * WAVE_BINS) % WAVE_BINS
        for name, other in simulation.targets.items():
            room[phase][name] += SLOTS - other.running
        if router.zone == "z3":
            sent[phase][target] += 1

    simulation.on_arrival = count
    for index, zone in enumerate(ZONES):

        def rate(now: float, shift: float = index / 3) -> float:
            angle = 2 * math.pi * (now / WAVE_PERIOD - shift)
            return 110.0 * (1.0 + 0.9 * math.sin(angle))

        simulation.start_arrivals(simulation.add_routers(16, zone), rate, end)
    far = simulation.add_routers(16, "z3")
    simulation.start_arrivals(far, lambda now: 60.0, end)
    simulation.run_until(end)
    for phase in range(WAVE_BINS):
        for target in simulation.targets:
            free = room[phase][target] / room[phase].total()
            assert abs(sent[phase][target] / sent[phase].total() - free) < 0.08


def test_old_report_does_not_count() -> None:
    """A target whose home no longer reports must not be avoided forever."""
    old = 100.0 - MAX_REPORT_AGE_SECONDS - 0.1
    router = router_with(
        load("t0", wait=9.0, condition=TargetCondition.EJECTED, as_of=old)
    )
    assert min(choices(router).values()) > 900
    target = router.observations.target("t0")
    seconds = router.choice.expected_seconds(ENTRIES[0], target, 100.0)
    assert seconds == DEFAULT_MEAN_SECONDS


def test_weight_of_a_report_halves_in_half_a_second() -> None:
    router = router_with(load("t0", wait=0.08, service=0.02, as_of=99.5))
    target = router.observations.target("t0")
    seconds = router.choice.expected_seconds(ENTRIES[0], target, 100.0)
    assert seconds == pytest.approx(0.5 * 0.1 + 0.5 * DEFAULT_MEAN_SECONDS)


def test_statements_in_progress_and_the_hop_add_to_the_expected_time() -> None:
    router = router_with(load("t0", service=0.02), zone="z9")
    target = router.observations.target("t0")
    target.inflight = 2
    seconds = router.choice.expected_seconds(ENTRIES[0], target, 100.0)
    assert seconds == pytest.approx(0.02 + 2 * 0.02 / SLOTS + OTHER_ZONE_HOP_SECONDS)


def test_report_of_an_earlier_incarnation_does_not_count() -> None:
    router = router_with(load("t0", wait=9.0, born=0), load("t0", wait=9.0, born=2))
    assert router.choice.find_report(ENTRIES[0], 100.0) is None


def test_ejected_target_is_not_chosen_while_another_is_left() -> None:
    ejected = TargetCondition.EJECTED
    router = router_with(
        load("t0", condition=ejected), load("t1", wait=5.0), load("t2", wait=6.0)
    )
    assert choices(router)["t0"] == 0
    all_ejected = router_with(*(load(f"t{n}", condition=ejected) for n in range(3)))
    assert choices(all_ejected) == {"": 3000}


def test_target_in_probation_gets_one_read_in_ten() -> None:
    router = router_with(load("t1", condition=TargetCondition.PROBATION))
    assert choices(router)["t1"] == 3000 // PROBATION_READ_INTERVAL
    alone = router_with(
        load("t0", condition=TargetCondition.EJECTED),
        load("t1", condition=TargetCondition.PROBATION),
        load("t2", condition=TargetCondition.EJECTED),
    )
    assert choices(alone)["t1"] == 3000


def test_failing_target_without_a_report_is_avoided() -> None:
    """Its errors come fast, which must not make it the best choice."""
    router = router_with()
    target = router.observations.target("t0")
    for _ in range(10):
        target.record_failure(100.0)
    assert choices(router)["t0"] == 0
    assert target.failed_share_at(110.0) < 0.05


def test_choice_looks_up_reports_of_its_candidates_only() -> None:
    """Guards against work on each read that grows with the reports of all targets."""
    found: list[str] = []

    class CountingLoads(TargetLoads):
        def find(self, entry: TargetAnnouncement) -> TargetLoad | None:
            found.append(entry.target)
            return super().find(entry)

    router = router_with()
    loads = CountingLoads(HandClock(100.0))
    for number in range(3000):
        loads.record(load(f"t{number}"))
    TargetChoice(loads, "z0", Random(1)).choose(ENTRIES, router.observations, 100.0)
    assert len(found) <= 3 + 2 * 2
