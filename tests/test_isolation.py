"""Writes at a primary whose home reaches no majority are refused without delay."""

import asyncio

import pytest

from reedhook.request.refusal import RefusalError, RefusalReason, may_have_run
from reedhook.request.statement import StatementKind
from reedhook.request.verdict import Verdict

from .cluster_group import Cluster
from .fakes_clock import run_virtual
from .fakes_request import World, write


async def refused(cluster: Cluster, value: str) -> tuple[RefusalError, float]:
    """Return the refusal of a write at m1, and how long it took in seconds."""
    started_at = cluster.now()
    with pytest.raises(RefusalError) as caught:
        await cluster.write("m1", value, 5.0)
    return caught.value, cluster.now() - started_at


def test_pending_write_is_refused_once_no_majority_is_reachable() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await cluster.write("m1", "a")
        await asyncio.sleep(1.0)
        cluster.cut_zone("m1")
        refusal, duration = await refused(cluster, "b")
        assert refusal.reason is RefusalReason.NOT_DURABLE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert refusal.retry_after_ms is not None
        assert duration < 1.0
        refusal, duration = await refused(cluster, "c")
        assert refusal.reason is RefusalReason.NOT_DURABLE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert duration < 0.01
        log = cluster.truth.members["m1"].log
        assert "c" not in [entry.value for entry in log]
        await cluster.stop()

    run_virtual(main())


def test_late_reports_after_a_successful_round_refuse_no_write() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(1.0)
        manager = cluster.hosts["m1a"].keeper
        # No reports arrive for a while; the other members are queried and answer.
        manager.last_report_at.clear()
        while not manager.majority_reported_recently():
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        # Reports are late again before the next check.
        manager.last_report_at.clear()
        assert not manager.isolated
        await cluster.write("m1", "a", 5.0)
        await cluster.stop()

    run_virtual(main())


def test_answers_missed_during_a_stall_refuse_no_write() -> None:
    async def request_during_stall(member: str, timeout: float) -> None:
        await asyncio.sleep(timeout + 0.3)

    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(1.0)
        manager = cluster.hosts["m1a"].keeper
        original_request, manager.confirmation.request_state = (
            manager.confirmation.request_state,
            request_during_stall,
        )
        ended_rounds = manager.confirmation.ended_round
        manager.last_report_at.clear()
        while manager.confirmation.ended_round == ended_rounds:
            manager.last_report_at.clear()
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.001)
        manager.last_report_at.clear()
        assert not manager.isolated
        manager.confirmation.request_state = original_request
        await cluster.write("m1", "a", 5.0)
        await cluster.stop()

    run_virtual(main())


def test_short_partition_refuses_no_write() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(1.0)
        cluster.cut_zone("m1")
        loop = asyncio.get_running_loop()
        loop.call_later(0.25, cluster.heal)
        await cluster.write("m1", "a", 5.0)
        assert cluster.leader() == "m1"
        await cluster.stop()

    run_virtual(main())


def test_refused_write_is_returned_without_delay() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        for entry in (0, 1):
            refusal = may_have_run(RefusalReason.NOT_DURABLE, "no majority", 100)
            world.model.refuse(StatementKind.WRITE, refusal)
            started_at = world.model.now()
            with pytest.raises(RefusalError) as caught:
                await world.run(write("1-a"), entry)
            assert caught.value.reason is RefusalReason.NOT_DURABLE
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            assert caught.value.retry_after_ms == 100
            assert world.model.now() - started_at < 0.01
        await world.close()

    run_virtual(main())
