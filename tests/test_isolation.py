"""A primary whose home reaches no majority answers at once, and truthfully."""

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
    begun = cluster.now()
    with pytest.raises(RefusalError) as caught:
        await cluster.write("m1", value, 5.0)
    return caught.value, cluster.now() - begun


def test_a_write_in_flight_is_given_up_once_no_majority_is_reached() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await cluster.write("m1", "a")
        await asyncio.sleep(1.0)
        cluster.cut_zone("m1")
        refusal, took = await refused(cluster, "b")
        assert refusal.reason is RefusalReason.NOT_DURABLE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert refusal.retry_after_ms is not None
        assert took < 1.0
        refusal, took = await refused(cluster, "c")
        assert refusal.reason is RefusalReason.NOT_DURABLE
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert took < 0.01
        log = cluster.truth.members["m1"].log
        assert "c" not in [entry.value for entry in log]
        await cluster.stop()

    run_virtual(main())


def test_a_stall_after_others_were_asked_and_answered_refuses_nothing() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(1.0)
        keeper = cluster.hosts["m1a"].keeper
        # Nobody is heard for a while: the others are asked, and answer.
        keeper.last_report_at.clear()
        while not keeper.majority_reported_recently():
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        # Reports are late again before the next look.
        keeper.last_report_at.clear()
        assert not keeper.isolated
        await cluster.write("m1", "a", 5.0)
        await cluster.stop()

    run_virtual(main())


def test_answers_missed_in_a_stall_of_this_process_refuse_nothing() -> None:
    async def asked_in_a_stall(member: str, timeout: float) -> None:
        await asyncio.sleep(timeout + 0.3)

    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        await asyncio.sleep(1.0)
        keeper = cluster.hosts["m1a"].keeper
        answered, keeper.confirmation.request_state = (
            keeper.confirmation.request_state,
            asked_in_a_stall,
        )
        rounds = keeper.confirmation.ended
        keeper.last_report_at.clear()
        while keeper.confirmation.ended == rounds:
            keeper.last_report_at.clear()
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.001)
        keeper.last_report_at.clear()
        assert not keeper.isolated
        keeper.confirmation.request_state = answered
        await cluster.write("m1", "a", 5.0)
        await cluster.stop()

    run_virtual(main())


def test_a_short_silence_of_the_others_gives_nothing_up() -> None:
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


def test_a_write_that_was_given_up_is_not_held_back() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        for entry in (0, 1):
            refusal = may_have_run(RefusalReason.NOT_DURABLE, "no majority", 100)
            world.model.refuse(StatementKind.WRITE, refusal)
            begun = world.model.now()
            with pytest.raises(RefusalError) as caught:
                await world.run(write("1-a"), entry)
            assert caught.value.reason is RefusalReason.NOT_DURABLE
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            assert caught.value.retry_after_ms == 100
            assert world.model.now() - begun < 0.01
        await world.close()

    run_virtual(main())
