"""Load reports between hosts: their size, and hosts that use and repeat by them.

Also guards against any change for deployments that do not ask for outlier detection.
"""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from reedhook.peer import HostRef
from reedhook.process.load_reporter import REPORTS_FIELD, LoadReporter
from reedhook.process.session_host_settings import SessionHostSettings
from reedhook.request.position import Position
from reedhook.request.replica_reader import CROSS_ZONE_COST_SECONDS, ReplicaReader
from reedhook.request.session_router import SessionRouter
from reedhook.request.target_load import TargetCondition, TargetLoad
from reedhook.request.target_loads import MAX_REPORTS_PER_HEARTBEAT, TargetLoads
from reedhook.version.route_table import TargetAnnouncement
from reedhook.wire import Json, decode, encode

from .fakes_clock import in_virtual_time, run_virtual
from .fakes_hosts import FakeHost, FakeHosts
from .fakes_peers import FakeNetwork
from .session_world import SessionWorld
from .support import using
from .test_session_world import leaving, traffic

MAX_REPORT_BYTES = 70
MAX_REPORTS_BYTES = 570
CONTROL_BYTES_PER_SECOND = 21_000


class RecordingNetwork(FakeNetwork):
    """Keep the answers that hosts send.

    :ivar answers: sender and body of each answer.
    """

    def __init__(self) -> None:
        super().__init__(delay=0.0014)
        self.answers: list[tuple[str, Json]] = []

    async def carry(self, sender: str, receiver: str, body: bytes) -> None:
        message = decode(body)
        if set(message) == {"body"}:
            self.answers.append((sender, message["body"]))
        await super().carry(sender, receiver, body)

    def results(self) -> list[Json]:
        """Return the results of statements."""
        return [answer for _, answer in self.answers if "signature" in answer]

    def heartbeats(self) -> list[Json]:
        """Return the answers to heartbeats."""
        return [answer for _, answer in self.answers if "d" in answer]


class HealthWorld(SessionWorld):
    """Run hosts with target outlier detection."""

    def settings_of(self, *values: Any) -> SessionHostSettings:
        settings = SessionHostSettings(*values)
        settings.target_outlier_detection = True
        return settings


@asynccontextmanager
async def a_health_world() -> AsyncIterator[SessionWorld]:
    """Yield a running world with outlier detection; check its guarantees."""
    world = HealthWorld(network=RecordingNetwork())
    await world.start()
    yield world
    world.check()
    await world.stop()


def errors_of(world: SessionWorld) -> dict[str, int]:
    """Return the counted failures of all hosts, by cause."""
    found: dict[str, int] = {}
    for host in world.hosts.values():
        for name, count in host.metrics.counters.items():
            if name.startswith("failed."):
                found[name] = found.get(name, 0) + count
    return found


def replicas(world: SessionWorld) -> list[Any]:
    """Return the members that are not the primary."""
    return [one for one in world.group.members.values() if not one.leads]


async def reads(world: SessionWorld, seconds: float) -> int:
    """Read at all hosts on the routes of replicas; return the number of reads."""
    until = asyncio.get_running_loop().time() + seconds
    count = 0

    async def one(host: str, database: str) -> None:
        nonlocal count
        caller = await world.caller(host, database)
        while asyncio.get_running_loop().time() < until:
            await caller.read()
            count += 1
            await asyncio.sleep(0.02)

    names = list(world.hosts)
    await asyncio.gather(
        *(one(name, route) for name in names for route in ("views", "reports"))
    )
    return count


@using(a_health_world, run_virtual)
async def test_results_and_heartbeats_carry_reports(world: SessionWorld) -> None:
    await traffic(world, 3.0, 1)
    network = world.network
    assert isinstance(network, RecordingNetwork)
    reported = [result for result in network.results() if "load" in result]
    assert len(reported) == len(network.results()) > 50
    heard = {
        report[0]
        for answer in network.heartbeats()
        for report in answer.get(REPORTS_FIELD, [])
    }
    assert heard == set(world.group.members)
    for host in world.hosts.values():
        known = {target for target, _ in host.loads.reports}
        assert known == set(world.group.members)


@in_virtual_time
async def test_nothing_is_sent_without_outlier_detection() -> None:
    """Earlier deployments send the same messages as before, and route as before."""
    network = RecordingNetwork()
    world = SessionWorld(network=network)
    await world.start()
    await traffic(world, 3.0, 1)
    fields = {name for result in network.results() for name in result}
    assert fields <= {
        *("target", "rows", "signature", "position"),
        *("fault", "detail", "state", "proof"),
    }
    fields = {name for answer in network.heartbeats() for name in answer}
    assert fields <= {"me", "v", "d", "u", "died", "a"}
    for host in world.hosts.values():
        assert type(host.router) is SessionRouter
        assert type(host.replicas) is ReplicaReader
        assert not host.loads.reports
    world.check()
    await world.stop()


class UnusedReader(ReplicaReader):
    """Choose among given targets; the rest of the reader is not used."""

    def __init__(self, entries: list[TargetAnnouncement], now: float) -> None:
        self.entries = entries
        self.services = {}
        self.now = now
        self.me = HostRef("h0", "z0", "10.0.0.1:1")
        self.clock = self  # type: ignore[assignment]

    def monotonic(self) -> float:
        """Return the fixed time."""
        return self.now

    def replicas(self, service: str, tried: set[str]) -> list[TargetAnnouncement]:
        return [entry for entry in self.entries if entry.target not in tried]


@pytest.mark.parametrize("seed", range(20))
def test_choice_without_outlier_detection_is_the_lowest_own_cost(seed: int) -> None:
    rng = random.Random(seed)
    entries = [
        TargetAnnouncement(f"t{n}", "db", "", rng.choice(["z0", "z1"]), False, False)
        for n in range(4)
    ]
    reader = UnusedReader(entries, 10.0)
    for entry in entries:
        target = reader.observations("db").target(entry.target)
        target.mean_seconds = rng.uniform(0.001, 0.1)
        target.updated_at = rng.uniform(5.0, 10.0)
        target.inflight = rng.randrange(3)
        target.avoid_until = rng.choice([0.0, 11.0])
        target.position = Position(1, rng.randrange(4))

    def cost(entry: TargetAnnouncement) -> float:
        target = reader.observations("db").target(entry.target)
        far = entry.zone != "z0"
        return target.expected_seconds(10.0) + far * CROSS_ZONE_COST_SECONDS

    def usable(entry: TargetAnnouncement) -> bool:
        target = reader.observations("db").target(entry.target)
        assert target.position is not None
        return target.avoid_until <= 10.0 or target.position >= Position(1, 2)

    best = min(filter(usable, entries), key=cost, default=None)
    assert reader.best_replica("db", Position(1, 2), set()) is best


@using(a_health_world, run_virtual)
async def test_guarantees_hold_while_targets_fail(world: SessionWorld) -> None:
    """Writes that fail take effect, so that a repeated one would be found."""
    for member in world.group.members.values():
        member.failing = 0.3
    await traffic(world, 6.0, 5)
    assert len(world.acknowledged) > 20


@using(a_health_world, run_virtual)
async def test_replica_that_fails_40_percent_costs_no_read(world: SessionWorld) -> None:
    """Its health answers are good, so that only the errors tell."""
    replicas(world)[0].failing = 0.4
    count = await reads(world, 10.0)
    assert count > 3000
    assert sum(errors_of(world).values()) <= count // 10_000


@using(a_health_world, run_virtual)
async def test_ejected_replica_gets_no_reads(world: SessionWorld) -> None:
    await reads(world, 1.0)
    ejected = replicas(world)[0]
    name = ejected.entry.target
    for host in world.hosts.values():
        home = host.statement_server.replica_homes.get(name)
        if home is not None:
            home.load_meter.condition = TargetCondition.EJECTED
    await reads(world, 4.0)
    ejected.runs.clear()
    count = await reads(world, 2.0)
    assert len(ejected.runs) < 0.01 * count


@using(a_health_world, run_virtual)
async def test_lost_home_costs_no_read(world: SessionWorld) -> None:
    await reads(world, 1.0)
    holders = {world.leader().me.host, world.backup_holder().me.host}
    name = next(
        name
        for name, host in world.hosts.items()
        if host.statement_server.replica_homes and name not in holders
    )
    others = [one for one in world.hosts if one != name]

    async def one(host: str) -> None:
        caller = await world.caller(host, "views")
        for _ in range(100):
            await caller.read()
            await asyncio.sleep(0.02)

    running = asyncio.gather(*(one(host) for host in others))
    await asyncio.sleep(0.5)
    await world.kill(name)
    await running
    assert errors_of(world) == {}


@using(a_health_world, run_virtual)
async def test_target_that_leaves_during_reads_costs_no_read(
    world: SessionWorld,
) -> None:
    running = asyncio.create_task(reads(world, 4.0))
    await asyncio.sleep(1.0)
    world.announce(leaving(replicas(world)[0].entry))
    await running
    assert errors_of(world) == {}


@using(a_health_world, run_virtual)
async def test_target_that_restarts_during_reads_costs_no_read(
    world: SessionWorld,
) -> None:
    """Reports of the earlier process must not vouch for the empty new one."""
    running = asyncio.create_task(reads(world, 4.0))
    await asyncio.sleep(1.0)
    member = replicas(world)[0]
    member.start_again()
    world.announce(member.entry)
    await running
    assert errors_of(world) == {}


@using(a_health_world, run_virtual)
async def test_guarantees_hold_while_a_host_is_cut_off(world: SessionWorld) -> None:
    running = asyncio.create_task(traffic(world, 8.0, 9, pause=0.4))
    await asyncio.sleep(1.0)
    name = next(
        name
        for name, host in world.hosts.items()
        if host.statement_server.replica_homes
    )
    world.network.isolate({name}, set(world.hosts) - {name})
    await asyncio.sleep(3.0)
    world.heal()
    await running
    assert len(world.acknowledged) > 20


@using(a_health_world, run_virtual)
async def test_malformed_reports_cost_neither_results_nor_hosts(
    world: SessionWorld,
) -> None:
    """A host with another version may send reports that this one cannot read."""
    host = world.hosts["h00"]
    host.load_reporter.read_reports({REPORTS_FIELD: [["t", "x"]]}, 0.0, "h01")
    host.load_reporter.read_reports({REPORTS_FIELD: 7}, 0.0, "h01")
    for other in world.hosts.values():
        server = other.statement_server
        handle = server.handle_work

        async def malformed(body: Json, handle: Any = handle) -> Json:
            result: Json = await handle(body)
            return {**result, "load": ["x"]}

        other.routes.handlers["work"] = malformed
        world.network.at[other.me.address].routes.handlers["work"] = malformed
    await reads(world, 1.0)
    assert errors_of(world) == {}


def long_report(number: int, as_of: float) -> TargetLoad:
    """Return a report with names and figures as long as they get."""
    return TargetLoad(
        f"i-{number:010x}",
        1_764_815_000_000 + number,
        0.1234,
        4,
        0.0987,
        TargetCondition.SUSPECTED,
        as_of,
        Position(7, 12_345_678),
    )


def test_reports_fit_their_sizes() -> None:
    report = long_report(1, 0.0).to_json(1.9)
    assert len(encode({"load": report})) - len(b'{"load":}') <= MAX_REPORT_BYTES
    reports = [report] * MAX_REPORTS_PER_HEARTBEAT
    assert len(encode({"l": reports})) - len(b'{"l":}') <= MAX_REPORTS_BYTES


@in_virtual_time
async def test_reports_take_a_tenth_of_the_control_traffic() -> None:
    """740 hosts and 840 databases: each answer carries 8 of the 2,520 reports.

    A host sends as many heartbeats with 60 hosts as with 740.
    """
    sent = []
    for reports in (False, True):
        hosts = FakeHosts({"a": 20, "b": 20, "c": 20})
        await hosts.until_agreed()
        await asyncio.sleep(5.0)
        for number, host in enumerate(hosts.hosts.values()):
            if reports:
                report_targets(host, number)
        before = sum(hosts.network.sent_bytes.values())
        await asyncio.sleep(20.0)
        sent.append((sum(hosts.network.sent_bytes.values()) - before) / 60 / 20.0)
        await hosts.stop()
    added = sent[1] - sent[0]
    assert 0.0 < added < CONTROL_BYTES_PER_SECOND / 10, sent


class NineTargets(LoadReporter):
    """Report nine targets, of which eight fit into one answer."""

    def __init__(self, host: FakeHost, number: int) -> None:
        self.clock = host.clock
        self.loads = TargetLoads(host.clock)
        self.requested_at = 0.0
        self.number = number

    def own_reports(self) -> list[TargetLoad]:
        now = self.clock.monotonic()
        return [long_report(9 * self.number + index, now) for index in range(9)]


def report_targets(host: FakeHost, number: int) -> None:
    """Let a host ask for reports and send its own."""
    reporter = NineTargets(host, number)
    host.heartbeats.on_probe = reporter.request_reports
    host.membership.on_request = reporter.add_reports
