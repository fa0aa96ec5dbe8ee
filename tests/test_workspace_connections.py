"""Connections bound to workspaces: isolation, eviction and reuse.

More workspaces of unequal size use a home than it may have connections open.
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

MAX_IN_USE = 4
MAX_OPEN = 6


def pool_of(
    group: DatabaseGroup, max_in_use: int = MAX_IN_USE, max_open: int = MAX_OPEN
) -> SessionConnectionPool:
    """Return the connection pool of one home."""
    return SessionConnectionPool(
        group.primary.entry,
        FakeDriver("h1", [group]),
        FakePhrases(),
        max_in_use,
        LoopClock(),
        max_open=max_open,
    )


async def use(pool: SessionConnectionPool, workspace: str) -> PooledConnection:
    """Borrow a connection of a workspace and give it back."""
    pooled = await pool.borrow("s", 1.0, workspace)
    pool.give_back(pooled)
    await asyncio.sleep(0.01)
    return pooled


@in_virtual_time
async def test_workspace_reuses_its_connection() -> None:
    pool = pool_of(DatabaseGroup("db", ["z0"]))
    first = await use(pool, "a")
    await use(pool, "b")
    assert await use(pool, "a") is first
    assert pool.open_count == 2


@in_virtual_time
async def test_least_recently_used_connection_is_evicted() -> None:
    pool = pool_of(DatabaseGroup("db", ["z0"]))
    for name in "abcdef":
        await use(pool, name)
    await use(pool, "a")
    await use(pool, "g")
    assert Counter(pooled.workspace for pooled in pool.idle) == Counter("acdefg")


@in_virtual_time
async def test_workspace_with_two_idle_connections_loses_one_first() -> None:
    pool = pool_of(DatabaseGroup("db", ["z0"]))
    for name in "abcd":
        await use(pool, name)
    both = [await pool.borrow("s", 1.0, "e") for _ in range(2)]
    for pooled in both:
        pool.give_back(pooled)
    await use(pool, "f")
    assert Counter(pooled.workspace for pooled in pool.idle) == Counter("abcdef")


@in_virtual_time
async def test_connection_goes_to_a_waiter_of_its_workspace() -> None:
    pool = pool_of(DatabaseGroup("db", ["z0"]), 1, 1)
    pooled = await pool.borrow("s1", 1.0, "a")
    other = asyncio.create_task(pool.borrow("s2", 1.0, "b"))
    same = asyncio.create_task(pool.borrow("s3", 1.0, "a"))
    await asyncio.sleep(0.01)
    pool.give_back(pooled)
    assert await same is pooled
    # No waiter of its workspace is left, so it is closed for the other workspace.
    pool.give_back(pooled)
    assert (await other).workspace == "b"
    assert pooled.connection.closed


@in_virtual_time
async def test_idle_connection_is_closed_when_the_target_is_full() -> None:
    group = DatabaseGroup("db", ["z0"], limit=3)
    pool = pool_of(group)
    for name in "abc":
        await use(pool, name)
    assert (await use(pool, "d")).workspace == "d"
    assert pool.open_count == 3


def test_home_leaves_connections_for_its_successor() -> None:
    for connections in range(2, 100):
        assert (
            connection_quota(connections, 0)
            <= home_connection_limit(connections)
            < connections
        )


@settings(max_examples=30, deadline=None)
@given(seed=strategies.integers(0, 10**6))
def test_no_workspace_gets_the_connection_of_another(seed: int) -> None:
    """Sessions of many workspaces borrow, wait, time out and lose connections."""

    async def run() -> None:
        rng = random.Random(seed)
        group = DatabaseGroup("db", ["z0"], limit=MAX_OPEN + 1)
        pool = pool_of(group)

        async def session(workspace: str) -> None:
            for _ in range(15):
                await asyncio.sleep(rng.uniform(0.0, 0.2))
                try:
                    async with asyncio.timeout(rng.choice([0.005, 0.05, 1.0])):
                        pooled = await pool.borrow("s", 0.5, workspace)
                except (RefusalError, TimeoutError):
                    continue
                assert pooled.workspace == workspace
                assert getattr(pooled.connection, "workspace") == workspace
                assert pool.in_use() <= MAX_IN_USE and pool.open_count <= MAX_OPEN
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                if rng.random() < 0.2:
                    pool.discard(pooled)
                else:
                    pool.give_back(pooled)

        names = [f"w{rng.randrange(9)}" for _ in range(14)]
        await asyncio.gather(*(session(name) for name in names))
        assert not pool.waiting
        assert pool.open_count == len(pool.idle)
        assert not pool.lent

    run_virtual(run())


@pytest.mark.parametrize("max_open", [22, 33])
def test_more_idle_connections_mean_fewer_new_ones(max_open: int) -> None:
    """A larger pool of idle connections must reduce the number of new ones."""

    async def run() -> int:
        rng = random.Random(7)
        group = DatabaseGroup("db", ["z0"], limit=47)
        pool = pool_of(group, 22, max_open)
        weights = [1.0 / (index + 1) for index in range(84)]
        opened = 0
        for _ in range(2000):
            (name,) = rng.choices([f"w{n}" for n in range(84)], weights)
            before = {id(pooled) for pooled in pool.idle}
            pooled = await pool.borrow("s", 1.0, name)
            opened += id(pooled) not in before
            pool.give_back(pooled)
        return opened

    opened = run_virtual(run())
    assert opened < (2000 * 0.6 if max_open == 22 else 2000 * 0.45)
