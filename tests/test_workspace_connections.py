"""Connections that belong to workspaces: who gets which, and which makes room.

The pattern: more workspaces than a home may have connections open, of unequal size.
"""

import asyncio
import random
from collections import Counter

import pytest
from hypothesis import given, settings, strategies

from reedhook.connection.pooled_connection import PooledConnection
from reedhook.connection.session_connection_pool import SessionConnectionPool
from reedhook.process.fleet.rendezvous import connection_quota, home_connection_limit
from reedhook.request.refusal import RefusalError
from reedhook_standins.database import DatabaseGroup

from .fakes_clock import LoopClock, in_virtual_time, run_virtual
from .fakes_members import FakeDriver, FakePhrases

LIMIT = 4
MOST = 6


def lanes_of(
    group: DatabaseGroup, limit: int = LIMIT, most: int = MOST
) -> SessionConnectionPool:
    """Return the connections of one home."""
    return SessionConnectionPool(
        group.primary.entry,
        FakeDriver("h1", [group]),
        FakePhrases(),
        limit,
        LoopClock(),
        max_open=most,
    )


async def use(lanes: SessionConnectionPool, workspace: str) -> PooledConnection:
    """Borrow a connection of a workspace and give it back."""
    lane = await lanes.borrow("s", 1.0, workspace)
    lanes.give_back(lane)
    await asyncio.sleep(0.01)
    return lane


@in_virtual_time
async def test_a_workspace_finds_its_connection_again() -> None:
    lanes = lanes_of(DatabaseGroup("db", ["z0"]))
    first = await use(lanes, "a")
    await use(lanes, "b")
    assert await use(lanes, "a") is first
    assert lanes.open_count == 2


@in_virtual_time
async def test_the_one_idle_for_longest_makes_room() -> None:
    lanes = lanes_of(DatabaseGroup("db", ["z0"]))
    for name in "abcdef":
        await use(lanes, name)
    await use(lanes, "a")
    await use(lanes, "g")
    assert Counter(lane.workspace for lane in lanes.idle) == Counter("acdefg")


@in_virtual_time
async def test_a_workspace_with_two_idle_ones_gives_one_up_first() -> None:
    lanes = lanes_of(DatabaseGroup("db", ["z0"]))
    for name in "abcd":
        await use(lanes, name)
    both = [await lanes.borrow("s", 1.0, "e") for _ in range(2)]
    for lane in both:
        lanes.give_back(lane)
    await use(lanes, "f")
    assert Counter(lane.workspace for lane in lanes.idle) == Counter("abcdef")


@in_virtual_time
async def test_a_connection_goes_to_one_that_waits_of_its_workspace() -> None:
    lanes = lanes_of(DatabaseGroup("db", ["z0"]), 1, 1)
    lane = await lanes.borrow("s1", 1.0, "a")
    other = asyncio.create_task(lanes.borrow("s2", 1.0, "b"))
    same = asyncio.create_task(lanes.borrow("s3", 1.0, "a"))
    await asyncio.sleep(0.01)
    lanes.give_back(lane)
    assert await same is lane
    # Nobody of its workspace waits now: it is closed for the one that does.
    lanes.give_back(lane)
    assert (await other).workspace == "b"
    assert lane.connection.closed


@in_virtual_time
async def test_a_target_that_is_full_gets_room_from_idle_ones() -> None:
    group = DatabaseGroup("db", ["z0"], limit=3)
    lanes = lanes_of(group)
    for name in "abc":
        await use(lanes, name)
    assert (await use(lanes, "d")).workspace == "d"
    assert lanes.open_count == 3


def test_a_home_leaves_connections_for_a_successor() -> None:
    for connections in range(2, 100):
        assert (
            connection_quota(connections, 0)
            <= home_connection_limit(connections)
            < connections
        )


@settings(max_examples=30, deadline=None)
@given(seed=strategies.integers(0, 10**6))
def test_no_workspace_gets_the_connection_of_another(seed: int) -> None:
    """Sessions of many workspaces borrow, wait, give up, and lose connections."""

    async def course() -> None:
        rng = random.Random(seed)
        group = DatabaseGroup("db", ["z0"], limit=MOST + 1)
        lanes = lanes_of(group)

        async def session(workspace: str) -> None:
            for _ in range(15):
                await asyncio.sleep(rng.uniform(0.0, 0.2))
                try:
                    async with asyncio.timeout(rng.choice([0.005, 0.05, 1.0])):
                        lane = await lanes.borrow("s", 0.5, workspace)
                except (RefusalError, TimeoutError):
                    continue
                assert lane.workspace == workspace
                assert getattr(lane.connection, "workspace") == workspace
                assert lanes.in_use() <= LIMIT and lanes.open_count <= MOST
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                if rng.random() < 0.2:
                    lanes.discard(lane)
                else:
                    lanes.give_back(lane)

        names = [f"w{rng.randrange(9)}" for _ in range(14)]
        await asyncio.gather(*(session(name) for name in names))
        assert not lanes.waiting
        assert lanes.open_count == len(lanes.idle)
        assert not lanes.lent

    run_virtual(course())


@pytest.mark.parametrize("most", [22, 33])
def test_more_that_are_kept_open_fewer_anew(most: int) -> None:
    """84 workspaces at a target, as many operations as it has slots for."""

    async def course() -> int:
        rng = random.Random(7)
        group = DatabaseGroup("db", ["z0"], limit=47)
        lanes = lanes_of(group, 22, most)
        weights = [1.0 / (index + 1) for index in range(84)]
        opened = 0
        for _ in range(2000):
            (name,) = rng.choices([f"w{n}" for n in range(84)], weights)
            before = {id(lane) for lane in lanes.idle}
            lane = await lanes.borrow("s", 1.0, name)
            opened += id(lane) not in before
            lanes.give_back(lane)
        return opened

    opened = run_virtual(course())
    assert opened < (2000 * 0.6 if most == 22 else 2000 * 0.45)
