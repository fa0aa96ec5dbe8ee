"""Attempts at a primary that loses its lead while they are under way."""

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


def cut_off(world: World) -> None:
    """Let the primary's home give no more answers to the first entry host."""
    world.network.cut("h1", "e1")
    world.network.cut("e1", "h1")


def test_a_write_in_flight_goes_on_at_the_new_primary() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        cut_off(world)
        task = asyncio.create_task(world.run(write("1-a", remaining=4.0)))
        await asyncio.sleep(0.5)
        assert not task.done()
        world.model.promote(NEAR)
        promoted = world.model.now()
        served = await task
        assert served.result.target == NEAR
        assert world.model.now() - promoted < 0.5
        assert world.model.ran["1-a"] == 1
        assert world.model.executed[PRIMARY] == 0
        await world.close()

    run_virtual(main())


def test_a_write_that_ran_before_the_cut_does_not_run_twice() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        world.network.cut("h1", "e1")
        task = asyncio.create_task(world.run(write("1-a", remaining=4.0)))
        await asyncio.sleep(0.3)
        world.model.promote(NEAR)
        served = await task
        assert served.result.repeated
        assert world.model.ran["1-a"] == 1
        await world.close()

    run_virtual(main())


def test_what_may_not_be_repeated_is_left_alone() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        cut_off(world)
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


def test_a_caller_that_hangs_up_leaves_nothing_behind() -> None:
    async def main() -> None:
        world = World()
        await world.warm()
        cut_off(world)
        task = asyncio.create_task(world.run(write("1-a", remaining=4.0)))
        await asyncio.sleep(0.3)
        known = world.entries[0].views.group("g1")
        assert known.poll_requests == 1
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert known.poll_requests == 0 and not known.listeners
        asked = world.network.calls["view"]
        await asyncio.sleep(2.0)
        assert world.network.calls["view"] - asked <= 3
        await world.close()

    run_virtual(main())


def test_a_question_for_news_is_held_open_until_there_are_any() -> None:
    async def main() -> None:
        cluster = Cluster()
        await cluster.start()
        asker, home = cluster.hosts["m1b"], cluster.hosts["m2a"]
        view = home.keeper.view
        body = {"group": "g", "term": view.term, "primary": view.primary}

        async def ask(hold: float, term: int) -> tuple[float, int]:
            begun = cluster.now()
            question = {**body, "hold": hold, "term": term}
            message = await asker.peers.call(home.ref, "view", question, 2.0)
            return cluster.now() - begun, message["view"]["term"]

        took, term = await ask(0.8, view.term - 1)
        assert took < 0.02 and term == view.term
        took, term = await ask(0.3, view.term)
        assert 0.3 <= took < 0.35 and term == view.term
        later = view.term + 1
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, home.keeper.group_state.record_leader, later, "m2")
        took, term = await ask(0.8, view.term)
        assert 0.1 <= took < 0.13 and term == later
        await cluster.stop()

    run_virtual(main())


def test_news_that_an_answer_brings_itself_do_not_end_it() -> None:
    async def main() -> None:
        world = World()
        served = await world.run(write("1-a"))
        views = world.entries[0].views

        async def attempt() -> HomeResponse:
            views.merge(GroupView("g1", 2, NEAR))
            await asyncio.sleep(0.01)
            return served

        reign = PrimaryAttempt(views, world.model.group, PRIMARY, 1)
        assert await reign.run(attempt(), StatementKind.WRITE) is served
        await asyncio.sleep(0.01)
        await world.close()

    run_virtual(main())
