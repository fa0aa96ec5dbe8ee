"""Routers that choose targets by load reports, without hosts and without a network.

simulation = ChoiceSimulation(seed=1, services=[0.02, 0.02, 0.1])
simulation.add_routers(64, "z0")
simulation.run(10.0, reads_per_second=300.0)
simulation.arrivals          # the reads that each target got
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from random import Random

from reedhook.request.service_observations import ServiceObservations
from reedhook.request.target_choice import TargetChoice
from reedhook.request.target_load import TargetCondition, TargetLoad
from reedhook.request.target_loads import TargetLoads
from reedhook.version.route_table import TargetAnnouncement

from .timeline_fakes import HandClock

SLOTS = 4
HOP_SECONDS = 0.0005
OTHER_ZONE_HOP = 0.002
SMOOTHING = 0.1


class SimulatedTarget:
    """Serve reads in order of arrival in `SLOTS` slots.

    :param service_seconds: mean duration of a read.
    """

    def __init__(self, name: str, zone: str, service_seconds: float) -> None:
        self.entry = TargetAnnouncement(
            name, "db", "", zone, False, False, 1, slots=SLOTS
        )
        self.service_seconds = service_seconds
        self.mean_seconds = 0.012
        self.running = 0
        self.waiting: deque[Callable[[], None]] = deque()
        self.condition = TargetCondition.HEALTHY

    def report(self, now: float) -> TargetLoad:
        """Return a report of the current load, as its home makes it."""
        free_slots = SLOTS - self.running
        ahead = len(self.waiting) + self.running / 2
        wait = 0.0 if free_slots else ahead * self.mean_seconds / SLOTS
        return TargetLoad(
            self.entry.target,
            1,
            wait,
            free_slots,
            self.mean_seconds,
            self.condition,
            now,
        )


class SimulatedRouter:
    """Choose targets for the reads of one host."""

    def __init__(self, zone: str, clock: HandClock, random: Random) -> None:
        self.zone = zone
        self.loads = TargetLoads(clock)
        self.observations = ServiceObservations()
        self.choice = TargetChoice(self.loads, zone, random)


class ChoiceSimulation:
    """Run reads of many routers at a few targets, in virtual time.

    :param services: mean duration of a read at each target.
    :param zones: the zones of the targets; all in ``z0`` by default.
    :param shared_reports_interval: if set, all routers get the same reports at the
        same times, and none with answers.
    :ivar arrivals: reads by target.
    :ivar arrivals_by_zone: reads by zone of the router and target.
    :ivar latencies: seconds from the choice to the answer.
    """

    def __init__(
        self,
        seed: int,
        services: list[float],
        zones: list[str] | None = None,
        shared_reports_interval: float | None = None,
    ) -> None:
        self.random = Random(seed)
        self.clock = HandClock(0.0)
        zones = zones or ["z0"] * len(services)
        self.targets = {
            f"t{index}": SimulatedTarget(f"t{index}", zone, seconds)
            for index, (zone, seconds) in enumerate(zip(zones, services, strict=True))
        }
        self.entries = [target.entry for target in self.targets.values()]
        self.routers: list[SimulatedRouter] = []
        self.shared_reports_interval = shared_reports_interval
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.arrivals: Counter[str] = Counter()
        self.arrivals_by_zone: Counter[tuple[str, str]] = Counter()
        self.latencies: list[float] = []
        self.on_arrival: Callable[[SimulatedRouter, str], None] = (
            lambda router, target: None
        )

    def add_routers(self, count: int, zone: str) -> list[SimulatedRouter]:
        """Add and return the routers of the hosts of a zone."""
        added = [SimulatedRouter(zone, self.clock, self.random) for _ in range(count)]
        self.routers += added
        return added

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.sequence += 1
        heapq.heappush(self.events, (seconds, self.sequence, action))

    def run(self, seconds: float, reads_per_second: float) -> None:
        """Send reads of random routers at a constant mean rate."""
        end = self.clock.now + seconds
        self.start_arrivals(self.routers, lambda now: reads_per_second, end)
        self.run_until(end)

    def start_arrivals(
        self,
        routers: list[SimulatedRouter],
        rate: Callable[[float], float],
        end: float,
    ) -> None:
        """Send reads of `routers` until `end`, at a rate that may change with time."""

        def arrive() -> None:
            self.send(self.random.choice(routers))
            schedule()

        def schedule() -> None:
            at = self.clock.now + self.random.expovariate(rate(self.clock.now))
            if at < end:
                self.at(at, arrive)

        schedule()

    def run_until(self, end: float) -> None:
        """Run all events until `end`."""
        if self.shared_reports_interval is not None:
            self.share_reports(end)
        while self.events and self.events[0][0] <= end:
            self.clock.now, _, action = heapq.heappop(self.events)
            action()
        self.clock.now = end

    def share_reports(self, end: float) -> None:
        """Give the same reports to all routers, now and in each interval."""
        assert self.shared_reports_interval is not None
        now = self.clock.now
        for target in self.targets.values():
            report = target.report(now)
            for router in self.routers:
                router.loads.record(report)
        if now + self.shared_reports_interval < end:
            self.at(now + self.shared_reports_interval, lambda: self.share_reports(end))

    def send(self, router: SimulatedRouter) -> None:
        """Choose a target for a read, and send it there."""
        now = self.clock.now
        entry = router.choice.choose(self.entries, router.observations, now)
        assert entry is not None
        target = self.targets[entry.target]
        self.arrivals[entry.target] += 1
        self.arrivals_by_zone[router.zone, entry.target] += 1
        self.on_arrival(router, entry.target)
        router.observations.target(entry.target).inflight += 1
        near = entry.zone == router.zone
        hop = HOP_SECONDS if near else OTHER_ZONE_HOP

        def start() -> None:
            target.running += 1
            work = self.random.expovariate(1.0 / target.service_seconds)
            self.at(self.clock.now + work, lambda: end(work))

        def end(work: float) -> None:
            target.running -= 1
            target.mean_seconds += SMOOTHING * (work - target.mean_seconds)
            if target.waiting:
                target.waiting.popleft()()
            report = target.report(self.clock.now)
            self.at(self.clock.now + hop, lambda: self.answer(router, report, now))

        def arrive() -> None:
            if target.running < SLOTS:
                start()
            else:
                target.waiting.append(start)

        self.at(now + hop, arrive)

    def answer(self, router: SimulatedRouter, report: TargetLoad, sent: float) -> None:
        """Record an answer at the router that sent the read."""
        now = self.clock.now
        observations = router.observations.target(report.target)
        observations.inflight -= 1
        observations.record_answer(now - sent, None, now)
        self.latencies.append(now - sent)
        if self.shared_reports_interval is None:
            router.loads.record(report)

    def spread(self) -> float:
        """Return the arrivals at the busiest target, as a multiple of the mean."""
        return max(self.arrivals.values()) * len(self.targets) / self.arrivals.total()

    def latency_at(self, quantile: float) -> float:
        """Return a quantile of the latencies in seconds."""
        ordered = sorted(self.latencies)
        return ordered[int(quantile * (len(ordered) - 1))]
