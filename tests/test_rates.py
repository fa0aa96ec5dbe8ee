"""Workspace rate limits across all hosts, under uneven load and faults.

Guards against more operations than the tolerance allows in any window, and against
refusals below the rate. Many workspaces of unequal size send to a few homes.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

import pytest

from reedhook.decision_log import DecisionLog
from reedhook.host_directory import HostDirectory
from reedhook.metrics import MemoryMetrics
from reedhook.peer import HostRef, PeerRoutes
from reedhook.process.discovery.announcements import Announcements
from reedhook.process.discovery.configuration_freshness import ConfigurationFreshness
from reedhook.process.fleet.rendezvous import ranked_hosts
from reedhook.process.rates.rate_owner import GrantRequest, RateOwner
from reedhook.process.rates.rate_tolerance import DEFAULT_TOLERANCE
from reedhook.process.rates.workspace_rate_limiter import WorkspaceRateLimiter
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.version.workspace import Workspace, Workspaces

from .fakes_clock import in_virtual_time, run_virtual
from .fakes_keyspace import unlogged_epoch
from .fakes_peers import FakeNetwork
from .session_world import PlainDocuments

LIMIT_TO_USUAL_LOAD = 1.6
"""Ratio of a workspace's rate limit to its usual load."""

MAX_REFUSED_SHARE = 0.005
"""Share of operations that may be refused below the limit."""


class FixedDirectory(HostDirectory):
    """Rank hosts by the liveness that one host sees.

    :ivar lost: hosts that this one considers lost.
    """

    def __init__(self, me: HostRef, refs: list[HostRef]) -> None:
        self.ref = me
        self.refs = {ref.host: ref for ref in refs}
        self.lost: set[str] = set()
        self.orders: dict[str, list[str]] = {}

    @property
    def me(self) -> HostRef:
        return self.ref

    def ranked(self, member: str, zone: str) -> list[HostRef]:
        order = self.orders.get(member)
        if order is None:
            order = self.orders[member] = ranked_hosts(member, self.refs)
        return [self.refs[host] for host in order if host not in self.lost]

    def subscribe(self, callback: Callable[[], None]) -> None:
        pass


class RateHost:
    """The parts of a host that grant and admit operations."""

    def __init__(self, world: "RateWorld", ref: HostRef) -> None:
        self.ref = ref
        clock = world.network.clock(ref.host)
        decisions = DecisionLog(ref.host, clock, output_fd=None)
        announcements = Announcements(PlainDocuments(), clock, decisions)
        self.freshness = ConfigurationFreshness(
            announcements, clock, unlogged_epoch(ref.host)
        )
        self.directory = FixedDirectory(ref, world.refs)
        self.cut_off = False
        self.reported_silent: list[str] = []
        routes = PeerRoutes()
        peers = world.network.join(ref, routes)
        self.owner = RateOwner(
            self.directory,
            lambda: world.workspaces,
            self.freshness,
            lambda: self.cut_off,
            lambda: 2 * len(self.directory.lost) < len(world.refs),
            self.reported_silent.append,
            DEFAULT_TOLERANCE,
            clock,
            decisions,
        )
        self.owner.register(routes)
        self.allowances = WorkspaceRateLimiter(
            self.owner, peers, DEFAULT_TOLERANCE, clock, decisions, MemoryMetrics()
        )


class RateWorld:
    """Hosts, the homes among them, and the admitted and refused operations.

    :ivar ran: times of admitted operations, by workspace.
    :ivar refused: number of refused operations, by workspace.
    """

    def __init__(
        self, workspaces: list[Workspace], hosts: int = 84, homes: int = 12
    ) -> None:
        self.network = FakeNetwork(delay=0.0009)
        self.workspaces = Workspaces(workspaces)
        self.refs = [
            HostRef(f"h{n}", f"z{n % 4}", f"10.0.0.{n}:1") for n in range(hosts)
        ]
        self.hosts = [RateHost(self, ref) for ref in self.refs]
        self.homes = self.hosts[:homes]
        self.ran: dict[str, list[float]] = {}
        self.refused: Counter[str] = Counter()
        self.begun = 0.0

    async def start(self) -> None:
        """Prove the configuration of all hosts."""
        self.begun = asyncio.get_running_loop().time()
        for host in self.hosts:
            host.freshness.record_proof(1e9)

    async def arrive(self, name: str, home: RateHost) -> None:
        """Send an operation to a home."""
        loop = asyncio.get_running_loop()
        try:
            await home.allowances.admit(name)
        except RefusalError as refusal:
            assert refusal.reason is RefusalReason.RATE_LIMITED
            assert refusal.retry_after_ms
            self.refused[name] += 1
            return
        self.ran.setdefault(name, []).append(loop.time())

    async def load(
        self, name: str, rate: float, seconds: float, rng: random.Random
    ) -> None:
        """Send operations of a workspace, distributed unevenly over the homes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        weights = [rng.paretovariate(1.0) for _ in self.homes]
        tasks = set()
        while loop.time() < until:
            await asyncio.sleep(rng.expovariate(rate))
            (home,) = rng.choices(self.homes, weights)
            task = asyncio.create_task(self.arrive(name, home))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    def limit_violations(self) -> list[str]:
        """Return the workspaces that exceeded their limit in any window."""
        violations = []
        for name, times in self.ran.items():
            workspace = self.workspaces.by_name[name]
            if max_in_window(times) > window_limit(workspace):
                violations.append(
                    f"{name}: {max_in_window(times)} {window_limit(workspace)}"
                )
        return violations


def window_limit(workspace: Workspace) -> float:
    """Return the maximum number of operations in any window."""
    tolerance = DEFAULT_TOLERANCE
    assert workspace.rate is not None
    allowed = workspace.rate * tolerance.window + workspace.burst
    return allowed * (1 + tolerance.overshoot) + tolerance.slack


def max_in_window(times: list[float]) -> int:
    """Return the highest number of operations in any window."""
    times = sorted(times)
    first, highest = 0, 0
    for index, at in enumerate(times):
        while at - times[first] > DEFAULT_TOLERANCE.window:
            first += 1
        highest = max(highest, index - first + 1)
    return highest


def unequal(count: int, total: float) -> list[Workspace]:
    """Return workspaces of unequal size whose usual loads add up to `total`."""
    sizes = [1.0 / (index + 1) for index in range(count)]
    scale = total / sum(sizes)
    rates = [max(5.0, size * scale * LIMIT_TO_USUAL_LOAD) for size in sizes]
    return [
        Workspace(f"w{index}", frozenset(), 1, rate, rate)
        for index, rate in enumerate(rates)
    ]


def usual_load(workspace: Workspace) -> float:
    """Return the usual operations per second of a workspace."""
    assert workspace.rate is not None
    return workspace.rate / LIMIT_TO_USUAL_LOAD


async def run_load(
    world: RateWorld, factors: dict[str, float], seed: int, seconds: float = 20.0
) -> None:
    """Run the usual load of all workspaces, multiplied by `factors` for some."""
    rng = random.Random(seed)
    await world.start()
    await asyncio.gather(
        *(
            world.load(
                name,
                usual_load(one) * factors.get(name, 1.0),
                seconds,
                random.Random(rng.random()),
            )
            for name, one in world.workspaces.by_name.items()
        )
    )


def refused_share(world: RateWorld, excluded: set[str]) -> float:
    """Return the share of refused operations, without the `excluded` workspaces."""
    ran = sum(len(times) for name, times in world.ran.items() if name not in excluded)
    refused = sum(n for name, n in world.refused.items() if name not in excluded)
    return refused / (ran + refused)


@pytest.mark.parametrize("seed", range(3))
def test_load_below_limits_is_not_refused(seed: int) -> None:
    async def scenario() -> None:
        world = RateWorld(unequal(84, 1000.0))
        await run_load(world, {}, seed)
        assert not world.limit_violations()
        assert refused_share(world, set()) < MAX_REFUSED_SHARE

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_hot_workspace_does_not_affect_others(seed: int) -> None:
    async def scenario() -> None:
        world = RateWorld(unequal(84, 1000.0))
        await run_load(world, {"w1": 7.5, "w40": 7.5}, seed)
        assert not world.limit_violations()
        assert refused_share(world, {"w1", "w40"}) < MAX_REFUSED_SHARE
        # Workspaces that exceed the limit still get what it allows.
        for name in ("w1", "w40"):
            workspace = world.workspaces.by_name[name]
            assert workspace.rate is not None
            assert len(world.ran[name]) > 0.9 * 20.0 * workspace.rate

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_owners_keeps_the_limit(seed: int) -> None:
    """The owner of a hot workspace crashes repeatedly and restarts without counts;
    other hosts detect each loss a second later."""

    async def scenario() -> None:
        world = RateWorld(unequal(20, 400.0), hosts=24)
        hot = "w0"

        async def crash_hosts() -> None:
            for _ in range(6):
                await asyncio.sleep(2.0)
                first = world.hosts[20].owner.owner_of(hot)
                assert first is not None
                world.network.crash(first.host)
                await asyncio.sleep(1.0)
                for host in world.hosts:
                    host.directory.lost = {first.host}
                index = int(first.host[1:])
                restarted = RateHost(world, first)
                restarted.freshness.record_proof(1e9)
                world.hosts[index] = restarted
                if index < len(world.homes):
                    world.homes[index] = restarted
                await asyncio.sleep(1.0)
                for host in world.hosts:
                    host.directory.lost = set()

        await asyncio.gather(run_load(world, {hot: 7.5}, seed), crash_hosts())
        assert not world.limit_violations()
        assert refused_share(world, {hot}) < 0.1

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_partition_keeps_the_limit(seed: int) -> None:
    """One zone of four is partitioned for 5 s; each side considers the other lost."""

    async def scenario() -> None:
        world = RateWorld(unequal(20, 400.0), hosts=24)
        inside = {host for host in world.hosts if host.ref.zone == "z0"}
        outside = set(world.hosts) - inside
        names = {host.ref.host for host in inside}, {host.ref.host for host in outside}

        async def cut() -> None:
            await asyncio.sleep(6.0)
            world.network.isolate(*names)
            await asyncio.sleep(0.6)
            for host in inside:
                host.cut_off = True
            await asyncio.sleep(0.4)
            for host in world.hosts:
                host.directory.lost = names[host in inside]
            await asyncio.sleep(4.0)
            world.network.heal()
            for host in world.hosts:
                host.cut_off = False
                host.directory.lost = set()

        hot = {name: 7.5 for name in ("w0", "w3", "w9")}
        await asyncio.gather(run_load(world, hot, seed), cut())
        assert not world.limit_violations()

    run_virtual(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_restart_of_all_hosts_allows_no_second_burst(seed: int) -> None:
    async def scenario() -> None:
        world = RateWorld(unequal(10, 200.0), hosts=12)

        async def crash_hosts() -> None:
            for _ in range(3):
                await asyncio.sleep(5.0)
                for index, host in enumerate(world.hosts):
                    world.network.crash(host.ref.host)
                    restarted = RateHost(world, host.ref)
                    restarted.freshness.record_proof(1e9)
                    world.hosts[index] = restarted
                world.homes[:] = world.hosts[: len(world.homes)]

        hot = {name: 7.5 for name in ("w0", "w3", "w9")}
        await asyncio.gather(run_load(world, hot, seed), crash_hosts())
        assert not world.limit_violations()

    run_virtual(scenario())


@in_virtual_time
async def test_lowered_rate_applies_within_a_window() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 40.0, 40.0)], hosts=12)
    await world.start()
    rng = random.Random(1)
    load = asyncio.create_task(world.load("w0", 60.0, 20.0, rng))
    await asyncio.sleep(8.0)
    world.workspaces = Workspaces([Workspace("w0", frozenset(), 1, 5.0, 5.0)])
    lowered_at = asyncio.get_running_loop().time()
    await load
    late = [at for at in world.ran["w0"] if at > lowered_at + DEFAULT_TOLERANCE.window]
    assert max_in_window(late) <= window_limit(world.workspaces.by_name["w0"])
    # Within a second already, since grants are small.
    soon = [at for at in world.ran["w0"] if at > lowered_at + 1.0]
    assert max_in_window(soon) <= window_limit(world.workspaces.by_name["w0"])


@in_virtual_time
async def test_returned_operations_do_not_count() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 5.0, 5.0)], hosts=12)
    await world.start()
    home = world.homes[0]
    for _ in range(200):
        await home.allowances.admit("w0")
        home.allowances.give_back("w0")
        await asyncio.sleep(0.01)
    await home.allowances.admit("w0")


@in_virtual_time
async def test_possibly_replaced_owner_grants_restricted_share() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 100.0, 100.0)], hosts=12)
    await world.start()
    first = world.hosts[0].owner.owner_of("w0")
    assert first is not None
    host = next(one for one in world.hosts if one.ref == first)
    granted = host.owner.grant(GrantRequest("w0", 1000)).count
    host.freshness.as_of = asyncio.get_running_loop().time()
    # Neither the store nor a majority of hosts is reachable.
    host.directory.lost = {ref.host for ref in world.refs[:8]} - {first.host}
    await asyncio.sleep(5.0)
    granted = host.owner.grant(GrantRequest("w0", 1000)).count
    assert granted <= DEFAULT_TOLERANCE.spare(world.workspaces.by_name["w0"], 100.0)


@in_virtual_time
async def test_store_outage_causes_no_refusals() -> None:
    """All hosts are alive, and none has reached the store for 4 s."""
    world = RateWorld(unequal(20, 400.0), hosts=24)
    for host in world.hosts:
        host.freshness.as_of = asyncio.get_running_loop().time() - 4.0
    rng = random.Random(1)
    loads = [
        world.load(name, usual_load(one), 5.0, random.Random(rng.random()))
        for name, one in world.workspaces.by_name.items()
    ]
    await asyncio.gather(*loads)
    assert not world.limit_violations()
    assert refused_share(world, set()) < MAX_REFUSED_SHARE


@in_virtual_time
async def test_workspace_without_rate_requests_no_grants() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, None, 0.0)], hosts=12)
    await world.start()
    for _ in range(1000):
        await world.homes[0].allowances.admit("w0")
    assert not world.network.calls


@in_virtual_time
async def test_zero_rate_admits_nothing() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 0.0, 5.0)], hosts=12)
    await world.start()
    with pytest.raises(RefusalError) as caught:
        await world.homes[0].allowances.admit("w0")
    assert caught.value.reason is RefusalReason.RATE_LIMITED


@in_virtual_time
async def test_unresponsive_owner_is_skipped() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 50.0, 50.0)], hosts=12)
    await world.start()
    first = world.hosts[0].owner.owner_of("w0")
    assert first is not None
    world.network.pause(first.host)
    home = next(one for one in world.homes if one.ref != first)
    await home.allowances.admit("w0")
    # The unresponsive owner is reported, so that its loss is detected.
    assert first.host in home.reported_silent
    # Later operations do not wait for another timeout.
    begun = asyncio.get_running_loop().time()
    await asyncio.sleep(0.3)
    await home.allowances.admit("w0")
    assert asyncio.get_running_loop().time() - begun < 0.4


def test_message_bytes_at_the_design_size() -> None:
    """840 workspaces at 740 hosts, 280 of them homes: rate limits may use a fifth of
    each host's budget of 21 KB/s."""

    async def scenario() -> None:
        world = RateWorld(unequal(840, 2000.0), hosts=740, homes=280)
        await run_load(world, {}, 1, 5.0)
        sent = sum(world.network.sent_bytes.values())
        assert sent / 740 / 5.0 < 21_000 / 5
        assert refused_share(world, set()) < MAX_REFUSED_SHARE

    run_virtual(scenario())
