"""Attempts at a primary that is superseded: late retries or writes run twice."""

import asyncio

import pytest

from reedhook.request.group_view import GroupView
from reedhook.request.primary_attempt import PrimaryAttempt
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.statement import StatementKind
from reedhook.request.statement_executor import HomeResponse
from reedhook.request.verdict import Verdict

from .cluster_group import Cluster
from .fakes_clock import run_virtual
from .fakes_request import World, write

PRIMARY = "g1-z1"
NEAR = "g1-z2"


def partition_primary(world: World) -> None:
    """Cut the network between the primary's home and the first entry host."""
    world.network.cut("h1", "e1")
    world.network.cut("e1", "h1")


def test_inflight_write_is_retried_at_new_primary() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        partition_primary(world)
        task = asyncio.create_task(world.run(write("1-a", remaining=4.0)))
        await asyncio.sleep(0.5)
        assert not task.done()
        world.model.promote(NEAR)
        promoted_at = world.model.now()
        response = await task
        assert response.result.target == NEAR
        assert world.model.now() - promoted_at < 0.5
        assert world.model.ran["1-a"] == 1
        assert world.model.executed[PRIMARY] == 0
        await world.close()

    run_virtual(main())


def test_write_run_before_partition_does_not_run_twice() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        world.network.cut("h1", "e1")
        task = asyncio.create_task(world.run(write("1-a", remaining=4.0)))
        await asyncio.sleep(0.3)
        world.model.promote(NEAR)
        response = await task
        assert response.result.repeated
        assert world.model.ran["1-a"] == 1
        await world.close()

    run_virtual(main())


def test_unrepeatable_write_is_not_cancelled() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        partition_primary(world)
        router = world.entries[0].router
        statement = write("1-a", remaining=2.0)
        task = asyncio.create_task(router.run(world.model.group, statement, False))
        await asyncio.sleep(0.3)
        world.model.promote(NEAR)
        with pytest.raises(RefusalError) as caught:
            await task
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        assert caught.value.reason is RefusalReason.HOST_UNREACHABLE
        assert world.model.ran["1-a"] == 0
        await world.close()

    run_virtual(main())


def test_cancelled_request_stops_polling() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        partition_primary(world)
        task = asyncio.create_task(world.run(write("1-a", remaining=4.0)))
        await asyncio.sleep(0.3)
        known = world.entries[0].views.group("g1")
        assert known.poll_requests == 1
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert known.poll_requests == 0 and not known.listeners
        queries_before = world.network.calls["view"]
        await asyncio.sleep(2.0)
        assert world.network.calls["view"] - queries_before <= 3
        await world.close()

    run_virtual(main())


def test_view_long_poll_returns_on_new_term() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        requester, home = cluster.hosts["m1b"], cluster.hosts["m2a"]
        view = home.keeper.view
        body = {"group": "g", "term": view.term, "primary": view.primary}

        async def request_view(hold: float, term: int) -> tuple[float, int]:
            started_at = cluster.now()
            query = {**body, "hold": hold, "term": term}
            message = await requester.peers.call(home.ref, "view", query, 2.0)
            return cluster.now() - started_at, message["view"]["term"]

        duration, term = await request_view(0.8, view.term - 1)
        assert duration < 0.02 and term == view.term
        duration, term = await request_view(0.3, view.term)
        assert 0.3 <= duration < 0.35 and term == view.term
        new_term = view.term + 1
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, home.keeper.group_state.record_leader, new_term, "m2")
        duration, term = await request_view(0.8, view.term)
        assert 0.1 <= duration < 0.13 and term == new_term
        await cluster.stop()

    run_virtual(main())


def test_view_change_from_own_response_does_not_cancel_attempt() -> None:
    async def main() -> None:
        world = World()
        response = await world.run(write("1-a"))
        views = world.entries[0].views

        async def attempt() -> HomeResponse:
            views.merge(GroupView("g1", 2, NEAR))
            await asyncio.sleep(0.01)
            return response

        primary_attempt = PrimaryAttempt(views, world.model.group, PRIMARY, 1)
        assert await primary_attempt.run(attempt(), StatementKind.WRITE) is response
        await asyncio.sleep(0.01)
        await world.close()

    run_virtual(main())
