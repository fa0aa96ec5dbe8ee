"""Rates of workspaces over all hosts, under even and uneven load and faults.

The pattern: many workspaces of very unequal size, whose operations arrive at a few
homes of targets. A home may admit what the one host that counts a workspace has
granted to it.
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
from .fakes_peers import FakeNetwork
from .session_world import PlainDocuments

USUAL = 1.6
"""Times its usual load that a workspace may run."""

REFUSED_MOST = 0.005
"""Share of the operations below a limit that may be refused."""


class FixedDirectory(HostDirectory):
    """Rank live hosts, as each host believes them to live.

    :ivar lost: hosts that this one takes for lost.
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


class CountingHost:
    """The parts of a host that count, and admit."""

    def __init__(self, world: "RateWorld", ref: HostRef) -> None:
        self.ref = ref
        clock = world.network.clock(ref.host)
        decisions = DecisionLog(ref.host, clock, output_fd=None)
        announcements = Announcements(PlainDocuments(), clock, decisions)
        self.freshness = ConfigurationFreshness(announcements, clock)
        self.directory = FixedDirectory(ref, world.refs)
        self.cut_off = False
        self.doubted: list[str] = []
        routes = PeerRoutes()
        peers = world.network.join(ref, routes)
        self.owner = RateOwner(
            self.directory,
            lambda: world.workspaces,
            self.freshness,
            lambda: self.cut_off,
            lambda: 2 * len(self.directory.lost) < len(world.refs),
            self.doubted.append,
            DEFAULT_TOLERANCE,
            clock,
            decisions,
        )
        self.owner.register(routes)
        self.allowances = WorkspaceRateLimiter(
            self.owner, peers, DEFAULT_TOLERANCE, clock, decisions, MemoryMetrics()
        )


class RateWorld:
    """Hosts that count, homes that admit, and what a strict count would say.

    :ivar ran: when operations of each workspace were admitted.
    :ivar refused: operations that were refused, by workspace.
    """

    def __init__(
        self, workspaces: list[Workspace], hosts: int = 84, homes: int = 12
    ) -> None:
        self.network = FakeNetwork(delay=0.0009)
        self.workspaces = Workspaces(workspaces)
        self.refs = [
            HostRef(f"h{n}", f"z{n % 4}", f"10.0.0.{n}:1") for n in range(hosts)
        ]
        self.hosts = [CountingHost(self, ref) for ref in self.refs]
        self.homes = self.hosts[:homes]
        self.ran: dict[str, list[float]] = {}
        self.refused: Counter[str] = Counter()
        self.begun = 0.0

    async def start(self) -> None:
        """Let the configuration of all hosts be proved."""
        self.begun = asyncio.get_running_loop().time()
        for host in self.hosts:
            host.freshness.record_proof(1e9)

    async def arrive(self, name: str, home: CountingHost) -> None:
        """Bring an operation to a home."""
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
        """Send operations of a workspace, to some homes more than to others."""
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

    def spans_over(self) -> list[str]:
        """Return the workspaces that ran more in some window than they may."""
        found = []
        for name, times in self.ran.items():
            workspace = self.workspaces.by_name[name]
            if most_in_window(times) > bound(workspace):
                found.append(f"{name}: {most_in_window(times)} {bound(workspace)}")
        return found


def bound(workspace: Workspace) -> float:
    """Return the operations that may run in any window."""
    terms = DEFAULT_TOLERANCE
    assert workspace.rate is not None
    allowed = workspace.rate * terms.window + workspace.burst
    return allowed * (1 + terms.overshoot) + terms.slack


def most_in_window(times: list[float]) -> int:
    """Return the most operations in any window."""
    times = sorted(times)
    first, most = 0, 0
    for index, at in enumerate(times):
        while at - times[first] > DEFAULT_TOLERANCE.window:
            first += 1
        most = max(most, index - first + 1)
    return most


def unequal(count: int, total: float) -> list[Workspace]:
    """Return workspaces whose usual loads add up to `total`, a few of them large."""
    sizes = [1.0 / (index + 1) for index in range(count)]
    scale = total / sum(sizes)
    rates = [max(5.0, size * scale * USUAL) for size in sizes]
    return [
        Workspace(f"w{index}", frozenset(), 1, rate, rate)
        for index, rate in enumerate(rates)
    ]


def usual(workspace: Workspace) -> float:
    """Return the usual operations per second of a workspace."""
    assert workspace.rate is not None
    return workspace.rate / USUAL


async def day(
    world: RateWorld, factors: dict[str, float], seed: int, seconds: float = 20.0
) -> None:
    """Run the usual load of all workspaces, of some so many times it."""
    rng = random.Random(seed)
    await world.start()
    await asyncio.gather(
        *(
            world.load(
                name,
                usual(one) * factors.get(name, 1.0),
                seconds,
                random.Random(rng.random()),
            )
            for name, one in world.workspaces.by_name.items()
        )
    )


def refused_share(world: RateWorld, but: set[str]) -> float:
    """Return which share of the operations of all workspaces `but` some was refused."""
    ran = sum(len(times) for name, times in world.ran.items() if name not in but)
    refused = sum(n for name, n in world.refused.items() if name not in but)
    return refused / (ran + refused)


@pytest.mark.parametrize("seed", range(3))
def test_unequal_workspaces_run_freely_below_their_limits(seed: int) -> None:
    async def course() -> None:
        world = RateWorld(unequal(84, 1000.0))
        await day(world, {}, seed)
        assert not world.spans_over()
        assert refused_share(world, set()) < REFUSED_MOST

    run_virtual(course())


@pytest.mark.parametrize("seed", range(3))
def test_a_hot_workspace_leaves_the_others_as_they_were(seed: int) -> None:
    async def course() -> None:
        world = RateWorld(unequal(84, 1000.0))
        await day(world, {"w1": 7.5, "w40": 7.5}, seed)
        assert not world.spans_over()
        assert refused_share(world, {"w1", "w40"}) < REFUSED_MOST
        # What the limit allows is not lost to the one that is over it.
        for name in ("w1", "w40"):
            workspace = world.workspaces.by_name[name]
            assert workspace.rate is not None
            assert len(world.ran[name]) > 0.9 * 20.0 * workspace.rate

    run_virtual(course())


@pytest.mark.parametrize("seed", range(3))
def test_the_death_of_hosts_that_count_breaks_no_bound(seed: int) -> None:
    """Each 3 s the first host of a hot workspace is lost, and seen to be a second
    later; it comes back with an empty memory."""

    async def course() -> None:
        world = RateWorld(unequal(20, 400.0), hosts=24)
        hot = "w0"

        async def lose() -> None:
            for _ in range(6):
                await asyncio.sleep(2.0)
                first = world.hosts[20].owner.first(hot)
                assert first is not None
                world.network.crash(first.host)
                await asyncio.sleep(1.0)
                for host in world.hosts:
                    host.directory.lost = {first.host}
                index = int(first.host[1:])
                again = CountingHost(world, first)
                again.freshness.record_proof(1e9)
                world.hosts[index] = again
                if index < len(world.homes):
                    world.homes[index] = again
                await asyncio.sleep(1.0)
                for host in world.hosts:
                    host.directory.lost = set()

        await asyncio.gather(day(world, {hot: 7.5}, seed), lose())
        assert not world.spans_over()
        assert refused_share(world, {hot}) < 0.1

    run_virtual(course())


@pytest.mark.parametrize("seed", range(3))
def test_two_sides_of_a_cut_stay_within_the_bound(seed: int) -> None:
    """One zone of four is cut off for 5 s; each side takes the other for lost."""

    async def course() -> None:
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
        await asyncio.gather(day(world, hot, seed), cut())
        assert not world.spans_over()

    run_virtual(course())


@pytest.mark.parametrize("seed", range(3))
def test_a_loss_of_all_power_is_no_second_burst(seed: int) -> None:
    async def course() -> None:
        world = RateWorld(unequal(10, 200.0), hosts=12)

        async def lose() -> None:
            for _ in range(3):
                await asyncio.sleep(5.0)
                for index, host in enumerate(world.hosts):
                    world.network.crash(host.ref.host)
                    again = CountingHost(world, host.ref)
                    again.freshness.record_proof(1e9)
                    world.hosts[index] = again
                world.homes[:] = world.hosts[: len(world.homes)]

        hot = {name: 7.5 for name in ("w0", "w3", "w9")}
        await asyncio.gather(day(world, hot, seed), lose())
        assert not world.spans_over()

    run_virtual(course())


@in_virtual_time
async def test_a_limit_that_sinks_binds_within_a_window() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 40.0, 40.0)], hosts=12)
    await world.start()
    rng = random.Random(1)
    load = asyncio.create_task(world.load("w0", 60.0, 20.0, rng))
    await asyncio.sleep(8.0)
    world.workspaces = Workspaces([Workspace("w0", frozenset(), 1, 5.0, 5.0)])
    sunk = asyncio.get_running_loop().time()
    await load
    late = [at for at in world.ran["w0"] if at > sunk + DEFAULT_TOLERANCE.window]
    assert most_in_window(late) <= bound(world.workspaces.by_name["w0"])
    # It takes effect at once: portions are small.
    soon = [at for at in world.ran["w0"] if at > sunk + 1.0]
    assert most_in_window(soon) <= bound(world.workspaces.by_name["w0"])


@in_virtual_time
async def test_what_reaches_no_target_counts_for_nothing() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 5.0, 5.0)], hosts=12)
    await world.start()
    home = world.homes[0]
    for _ in range(200):
        await home.allowances.admit("w0")
        home.allowances.give_back("w0")
        await asyncio.sleep(0.01)
    await home.allowances.admit("w0")


@in_virtual_time
async def test_a_host_that_may_have_been_replaced_grants_little() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 100.0, 100.0)], hosts=12)
    await world.start()
    first = world.hosts[0].owner.first("w0")
    assert first is not None
    host = next(one for one in world.hosts if one.ref == first)
    granted = host.owner.grant(GrantRequest("w0", 1000)).count
    host.freshness.as_of = asyncio.get_running_loop().time()
    # Neither the store is heard of, nor most of the hosts.
    host.directory.lost = {ref.host for ref in world.refs[:8]} - {first.host}
    await asyncio.sleep(5.0)
    granted = host.owner.grant(GrantRequest("w0", 1000)).count
    assert granted <= DEFAULT_TOLERANCE.spare(world.workspaces.by_name["w0"], 100.0)


@in_virtual_time
async def test_a_silent_store_limits_nobody() -> None:
    """The pattern: all hosts live, and none has heard of the store for 4 s."""
    world = RateWorld(unequal(20, 400.0), hosts=24)
    for host in world.hosts:
        host.freshness.as_of = asyncio.get_running_loop().time() - 4.0
    rng = random.Random(1)
    loads = [
        world.load(name, usual(one), 5.0, random.Random(rng.random()))
        for name, one in world.workspaces.by_name.items()
    ]
    await asyncio.gather(*loads)
    assert not world.spans_over()
    assert refused_share(world, set()) < REFUSED_MOST


@in_virtual_time
async def test_without_a_rate_nobody_is_asked() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, None, 0.0)], hosts=12)
    await world.start()
    for _ in range(1000):
        await world.homes[0].allowances.admit("w0")
    assert not world.network.calls


@in_virtual_time
async def test_a_rate_of_nothing_admits_nothing() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 0.0, 5.0)], hosts=12)
    await world.start()
    with pytest.raises(RefusalError) as caught:
        await world.homes[0].allowances.admit("w0")
    assert caught.value.reason is RefusalReason.RATE_LIMITED


@in_virtual_time
async def test_silent_hosts_that_count_are_passed_over() -> None:
    world = RateWorld([Workspace("w0", frozenset(), 1, 50.0, 50.0)], hosts=12)
    await world.start()
    first = world.hosts[0].owner.first("w0")
    assert first is not None
    world.network.pause(first.host)
    home = next(one for one in world.homes if one.ref != first)
    await home.allowances.admit("w0")
    # The host that is silent is looked at, so that the next one soon counts alone.
    assert first.host in home.doubted
    # One time-out, and none for the next ones.
    begun = asyncio.get_running_loop().time()
    await asyncio.sleep(0.3)
    await home.allowances.admit("w0")
    assert asyncio.get_running_loop().time() - begun < 0.4


def test_messages_at_the_size_to_design_for() -> None:
    """840 workspaces at 740 hosts, 840 of which are homes of targets here and there:
    a fifth of each host's budget of 21 KB a second is left for rates."""

    async def course() -> None:
        world = RateWorld(unequal(840, 2000.0), hosts=740, homes=280)
        await day(world, {}, 1, 5.0)
        sent = sum(world.network.sent_bytes.values())
        assert sent / 740 / 5.0 < 21_000 / 5
        assert refused_share(world, set()) < REFUSED_MOST

    run_virtual(course())
