"""Promotions under faults at every step.

Guards against lost acknowledged writes and against two primaries.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest

from reedhook.connection.target import MemberState, Role
from reedhook.process.events.timeline import EventKind
from reedhook.process.groups.member_control import (
    ControlOperation,
    MemberController,
    MemberControlRequest,
)
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalError, RefusalReason, may_have_run
from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict

from .cluster_group import NAMES, Cluster, cluster_of, values
from .fakes_clock import in_virtual_time, run_virtual
from .home_support import refusal_of
from .support import using

Hook = Callable[[str, MemberControlRequest], Awaitable[None]]
CHOSEN, OTHER = "chosen", "other"
STEPS = [
    (ControlOperation.STATE, OTHER),
    (ControlOperation.RAISE, CHOSEN),
    (ControlOperation.RAISE, OTHER),
    (ControlOperation.PROMOTE, CHOSEN),
    (ControlOperation.FOLLOW, OTHER),
]


class SteppedController(MemberController):
    """Call a hook before and after each step of a coordinator."""

    def __init__(
        self,
        host: str,
        inner: MemberController,
        before: Hook | None,
        after: Hook | None,
    ) -> None:
        self.host = host
        self.inner = inner
        self.before = before
        self.after = after

    async def control(
        self, request: MemberControlRequest, timeout: float
    ) -> MemberState:
        if self.before is not None:
            await self.before(self.host, request)
        state = await self.inner.control(request, timeout)
        if self.after is not None:
            await self.after(self.host, request)
        return state


def stepped(before: Hook | None = None, after: Hook | None = None) -> Cluster:
    """Return a cluster whose coordinators call the hooks at each step."""
    return Cluster(wrap=lambda host, c: SteppedController(host, c, before, after))


async def check_acknowledged(cluster: Cluster, acknowledged: list[Position]) -> None:
    """Check that all members follow one primary with all acknowledged writes."""
    await cluster.until_writable()
    await asyncio.sleep(3.0)
    leader = cluster.truth.members[cluster.leader()]
    held = [entry.position for entry in leader.log]
    for position in acknowledged:
        assert position in held
    for member in cluster.truth.members.values():
        if not member.down:
            assert [entry.position for entry in member.log] == held
    primaries = [m for m in cluster.truth.members.values() if m.role is Role.PRIMARY]
    assert [m.name for m in primaries if not m.down] == [leader.name]


async def write_some(cluster: Cluster, member: str, prefix: str) -> list[Position]:
    """Return the positions of ten acknowledged writes."""
    return [await cluster.write(member, f"{prefix}{serial}") for serial in range(10)]


async def write_last_to_one(
    cluster: Cluster, chosen: str, other: str
) -> list[Position]:
    """Write to m1 so that only `chosen` also holds the last acknowledged write."""
    acknowledged = await write_some(cluster, "m1", "a")
    await asyncio.sleep(0.1)
    cluster.truth.cut({other})
    acknowledged.append(await cluster.write("m1", f"only {chosen} has it"))
    return acknowledged


@pytest.mark.parametrize("side", ["before", "after"])
@pytest.mark.parametrize("op, whose", STEPS)
@pytest.mark.parametrize("chosen, other", [("m2", "m3"), ("m3", "m2")])
@in_virtual_time
async def test_coordinator_paused_at_any_step_loses_no_write(
    op: ControlOperation, whose: str, side: str, chosen: str, other: str
) -> None:
    member = chosen if whose == CHOSEN else other
    paused: list[str] = []

    async def pause(host: str, order: MemberControlRequest) -> None:
        if not cluster.truth.members["m1"].down:
            return
        if not paused and (order.operation, order.member) == (op, member):
            paused.append(host)
            cluster.network.pause(host)
        await cluster.network.awake(host)

    cluster = stepped(**{side: pause})
    await cluster.start()
    acknowledged = await write_last_to_one(cluster, chosen, other)
    cluster.kill_target("m1")
    cluster.truth.cuts.clear()
    await asyncio.sleep(2.0)
    assert len(paused) == 1
    cluster.network.resume(paused[0])
    await cluster.until_writable()
    acknowledged += await write_some(cluster, cluster.leader(), "b")
    cluster.revive_target("m1")
    await check_acknowledged(cluster, acknowledged)
    await cluster.stop()


@pytest.mark.parametrize("op, whose", STEPS)
@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize("chosen, other", [("m2", "m3"), ("m3", "m2")])
@in_virtual_time
async def test_responses_lost_at_any_step_lose_no_write(
    op: ControlOperation, whose: str, times: int, chosen: str, other: str
) -> None:
    member = chosen if whose == CHOSEN else other
    lost: list[str] = []

    async def lose(host: str, order: MemberControlRequest) -> None:
        if not cluster.truth.members["m1"].down:
            return
        if (order.operation, order.member) == (op, member) and len(lost) < times:
            lost.append(host)
            raise may_have_run(RefusalReason.HOST_UNREACHABLE, "the answer was lost")

    cluster = stepped(after=lose)
    await cluster.start()
    acknowledged = await write_last_to_one(cluster, chosen, other)
    cluster.kill_target("m1")
    cluster.truth.cuts.clear()
    await cluster.until_writable()
    assert lost != []
    acknowledged += await write_some(cluster, cluster.leader(), "b")
    cluster.revive_target("m1")
    await check_acknowledged(cluster, acknowledged)
    await cluster.stop()


@pytest.mark.parametrize("seed", range(12))
@in_virtual_time
async def test_concurrent_coordinators_leave_one_primary(seed: int) -> None:
    cluster = Cluster(seed)
    cluster.network.delays = {
        ("m2a", "m3a"): 0.001 + 0.0007 * seed,
        ("m3a", "m2a"): 0.006 - 0.0004 * seed,
    }
    for host in cluster.hosts.values():
        host.keeper.coordinator.rank = lambda cause, former: 0  # type: ignore
    await cluster.start()
    acknowledged = await write_some(cluster, "m1", "a")
    cluster.cut_zone("m1")
    await cluster.until_writable()
    acknowledged += await write_some(cluster, cluster.leader(), "b")
    cluster.heal()
    await check_acknowledged(cluster, acknowledged)
    await cluster.stop()


@pytest.mark.parametrize("seed", [7, 21, 24, 59])
@in_virtual_time
async def test_conflicting_coordinators_do_not_conflict_again(seed: int) -> None:
    cluster = Cluster(seed)
    for host in cluster.hosts.values():
        host.keeper.coordinator.rank = lambda cause, former: 0  # type: ignore
    await cluster.start()
    await cluster.until_writable()
    cluster.cut_zone("m1")
    started_at = asyncio.get_running_loop().time()
    await cluster.until_writable()
    assert asyncio.get_running_loop().time() - started_at < 0.7
    await cluster.stop()


@in_virtual_time
async def test_lagging_replica_is_never_chosen() -> None:
    for behind, ahead in (("m2", "m3"), ("m3", "m2")):
        cluster = Cluster()
        await cluster.start()
        cluster.truth.cut({behind})
        acknowledged = await write_some(cluster, "m1", "a")
        cluster.truth.cuts.clear()
        cluster.truth.cut({"m1"})
        cluster.kill_target("m1")
        await cluster.until_writable()
        assert cluster.leader() == ahead
        await check_acknowledged(cluster, acknowledged)
        await cluster.stop()


@using(cluster_of, run_virtual)
async def test_isolated_primary_serves_no_writes_or_fresh_reads(
    cluster: Cluster,
) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    cluster.cut_zone("m1")
    written = await refusal_of(cluster.write("m1", "lost", 0.5))
    assert written.verdict is Verdict.MAY_HAVE_RUN
    await cluster.until_writable()
    acknowledged += await write_some(cluster, cluster.leader(), "b")
    fresh = await refusal_of(cluster.read("m1", Consistency.FRESH, remaining=0.5))
    assert fresh.reason is RefusalReason.UNCONFIRMED
    assert fresh.verdict is Verdict.NOT_RUN
    session = await refusal_of(
        cluster.read("m1", Consistency.SESSION, covers=acknowledged[0])
    )
    assert session.reason is RefusalReason.NOT_COVERED
    cluster.heal()
    await check_acknowledged(cluster, acknowledged)
    assert cluster.truth.members["m1"].role is Role.REPLICA


@using(cluster_of, run_virtual)
async def test_partitioned_replica_serves_only_covered_sessions(
    cluster: Cluster,
) -> None:
    before = await cluster.write("m1", "a")
    await asyncio.sleep(0.1)
    cluster.cut_zone("m2")
    after = await cluster.write("m1", "b")
    served = await cluster.read("m2", Consistency.SESSION, covers=before)
    assert "a" in values(served)
    with pytest.raises(RefusalError):
        await cluster.read("m2", Consistency.SESSION, covers=after)


@using(cluster_of, run_virtual)
async def test_returning_primary_follows_and_drops_unacknowledged_writes(
    cluster: Cluster,
) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    cluster.truth.cut({"m1"})
    with contextlib.suppress(RefusalError):
        await cluster.write("m1", "lost", 0.05)
    cluster.kill_target("m1")
    await cluster.until_writable()
    cluster.truth.cuts.clear()
    cluster.revive_target("m1")
    await check_acknowledged(cluster, acknowledged)
    entries = [entry.value for entry in cluster.truth.members["m1"].log]
    assert "lost" not in entries
    served = await cluster.read("m1", Consistency.SESSION, covers=acknowledged[-1])
    assert "lost" not in values(served)


@using(cluster_of, run_virtual)
async def test_loss_of_home_host_causes_no_promotion(
    cluster: Cluster,
) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    await cluster.kill_host("m1a", listed=False)
    await asyncio.sleep(1.5)
    assert list(cluster.truth.leaders) == [1]
    lost = [ref.host for host in cluster.hosts.values() for ref in host.lost_hosts]
    assert set(lost) == {"m1a"}
    await cluster.take_over("m1a")
    gap = await cluster.until_writable()
    assert gap < 0.5
    await asyncio.sleep(3.0)
    assert list(cluster.truth.leaders) == [1]
    await check_acknowledged(cluster, acknowledged)


@using(cluster_of, run_virtual)
async def test_primary_without_home_host_is_replaced(
    cluster: Cluster,
) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    await cluster.kill_host("m1a", listed=False)
    gap = await cluster.until_writable()
    assert 2.9 < gap < 4.0
    assert cluster.leader() != "m1"
    await cluster.take_over("m1a")
    await check_acknowledged(cluster, acknowledged)


@using(cluster_of, run_virtual)
async def test_primary_reachable_from_another_zone_is_kept(cluster: Cluster) -> None:
    cluster.network.isolate({"m1a", "m1b"}, {"m2a", "m2b"})
    cluster.truth.cuts |= {("m2", "m1"), ("m1", "m2")}
    for serial in range(50):
        await cluster.write("m1", f"w{serial}")
        await asyncio.sleep(0.1)
    assert list(cluster.truth.leaders) == [1]
    counted = cluster.counted()
    assert counted["primary.suspected"] > 0
    assert counted["primary.cleared"] > 0
    assert counted["primary.promoted"] == 0


@using(cluster_of, run_virtual)
async def test_no_term_is_raised_without_a_majority(cluster: Cluster) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    cluster.kill_target("m3")
    acknowledged += await write_some(cluster, "m1", "b")
    cluster.kill_target("m1")
    await asyncio.sleep(10.0)
    assert list(cluster.truth.leaders) == [1]
    assert cluster.truth.members["m2"].promised == 1
    assert cluster.events(EventKind.PROMOTION_FAILED) != []
    assert cluster.counted()["primary.attempt_failed"] > 0
    cluster.revive_target("m1")
    gap = await cluster.until_writable()
    assert gap < 2.0
    cluster.revive_target("m3")
    await check_acknowledged(cluster, acknowledged)


@using(cluster_of, run_virtual)
async def test_loss_of_new_primary_after_promotion(cluster: Cluster) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    cluster.kill_target("m1")
    await cluster.until_writable()
    second = cluster.leader()
    acknowledged += await write_some(cluster, second, "b")
    cluster.kill_target(second)
    await asyncio.sleep(0.3)
    cluster.revive_target("m1")
    await cluster.until_writable()
    third = cluster.leader()
    assert third not in ("m1", second)
    acknowledged += await write_some(cluster, third, "c")
    cluster.revive_target(second)
    await check_acknowledged(cluster, acknowledged)


@using(cluster_of, run_virtual)
async def test_member_fenced_by_abandoned_attempt_rejoins(
    cluster: Cluster,
) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    cluster.truth.members["m2"].raise_term(7, "gone")
    acknowledged += await write_some(cluster, "m1", "b")
    await asyncio.sleep(3.0)
    assert cluster.truth.members["m2"].role is not Role.FENCED
    assert cluster.leader() == "m1"
    assert max(cluster.truth.leaders) > 7
    await check_acknowledged(cluster, acknowledged)


@using(cluster_of, run_virtual)
async def test_fully_fenced_group_elects_a_leader(
    cluster: Cluster,
) -> None:
    acknowledged = await write_some(cluster, "m1", "a")
    for name in NAMES:
        cluster.truth.members[name].raise_term(4, "gone")
    gap = await cluster.until_writable()
    assert gap < 1.5
    await check_acknowledged(cluster, acknowledged)


@in_virtual_time
async def test_message_loss_causes_no_promotion() -> None:
    cluster = Cluster()
    cluster.network.loss = 0.05
    await cluster.start()
    for serial in range(600):
        with contextlib.suppress(RefusalError):
            await cluster.write("m1", f"w{serial}", 0.5)
        await asyncio.sleep(0.1)
    assert list(cluster.truth.leaders) == [1]
    await cluster.stop()


@using(cluster_of, run_virtual)
async def test_planned_change_loses_no_write(
    cluster: Cluster,
) -> None:
    acknowledged: list[Position] = []
    refusals: list[RefusalError] = []
    finished = asyncio.Event()

    async def write_until_finished(number: int) -> None:
        serial = 0
        while not finished.is_set():
            serial += 1
            member = cluster.leader()
            try:
                acknowledged.append(await cluster.write(member, f"{number}.{serial}"))
            except RefusalError as refusal:
                refusals.append(refusal)
                await asyncio.sleep(0.005)

    callers = [asyncio.create_task(write_until_finished(number)) for number in range(5)]
    await asyncio.sleep(0.2)
    assert await cluster.hosts["m1a"].keeper.hand_over(2.0)
    assert cluster.leader() != "m1"
    await asyncio.sleep(0.2)
    finished.set()
    await asyncio.gather(*callers)
    assert all(one.verdict is Verdict.NOT_RUN for one in refusals)
    await check_acknowledged(cluster, acknowledged)


@using(cluster_of, run_virtual)
async def test_failover_is_recorded_in_the_timeline(cluster: Cluster) -> None:
    cluster.cut_zone("m1")
    await cluster.until_writable()
    suspected = cluster.events(EventKind.PRIMARY_SUSPECTED)
    raised = cluster.events(EventKind.TERM_RAISED)
    promoted = cluster.events(EventKind.PRIMARY_PROMOTED)
    resumed = cluster.events(EventKind.WRITES_RESUMED)
    assert {event.detail["cause"] for event in suspected} == {"silent"}
    assert len(raised) == len(promoted) == 1
    detail = promoted[0].detail
    for step in ("suspicion_ms", "agreement_ms", "promotion_ms"):
        assert detail[step] > 0.0
    assert resumed[-1].detail["term"] == detail["term"]
    assert resumed[-1].detail["after_learned_ms"] > 0.0
    counted = cluster.counted()
    assert counted["primary.promoted"] == 1
    for step in ("suspicion", "agreement", "promotion", "first_write"):
        assert counted[f"primary.{step}.count"] == 1
