"""Callers' keys: attribution of statements to workspaces, and revocation."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from reedhook.connection.session import SessionReply
from reedhook.connection.session_state import SessionState
from reedhook.process.session_host_settings import SessionHostSettings
from reedhook.request.authorization import REVOCATION_MARGIN_SECONDS
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_command import SessionCommandKind
from reedhook.request.verdict import Verdict
from reedhook.wire import Json

from .fakes_clock import in_virtual_time, run_virtual
from .session_world import KINDS, Caller, SessionWorld

REVOCATION_LIMIT_SECONDS = 5.0
"""Time after which a revoked key is accepted by no host."""

CONFIGURATION_SECONDS = 2.5
"""Time for a configuration to take effect without faults; below the transaction idle
timeout of 3 s."""

ROUTES = ["tickets", "views", "reports"]
FARM: Json = {"name": "farm", "keys": ["farm-key-1", "farm-key-2"]}
MILL: Json = {"name": "mill", "keys": ["mill-key-1"]}


class KeyedWorld(SessionWorld):
    """A world whose hosts limit how long a revoked key may be used.

    :ivar messages: bodies of all calls between hosts.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed=seed)
        self.messages: list[bytes] = []
        carry = self.network.carry

        async def record_and_carry(sender: str, receiver: str, body: bytes) -> None:
            self.messages.append(body)
            await carry(sender, receiver, body)

        self.network.carry = record_and_carry  # type: ignore[method-assign]

    def settings_of(self, *values: Any) -> SessionHostSettings:
        settings = super().settings_of(*values)
        settings.revoke = REVOCATION_LIMIT_SECONDS
        return settings

    def configure_keys(self, version: int, *workspaces: Json) -> None:
        """Write a configuration with workspaces."""
        self.configure(version, ROUTES, list(workspaces))


@asynccontextmanager
async def keyed_world(seed: int = 0) -> AsyncIterator[KeyedWorld]:
    """Yield a running world with two workspaces."""
    world = KeyedWorld(seed)
    await world.start()
    world.configure_keys(2, FARM, MILL)
    await asyncio.sleep(3.0)
    yield world
    world.check()
    await world.stop()


def last_statement_workspace(world: SessionWorld, caller: Caller) -> str | None:
    """Return the workspace of a caller's last statement; None if it did not run."""
    return world.group.ran_as.get(f"{caller.name}-{caller.sent}")


def refusal_of(reply: SessionReply) -> RefusalError:
    """Return the refusal in a reply."""
    assert reply.refusal is not None
    return reply.refusal


async def open_refusal(world: SessionWorld, host: str, key: str) -> RefusalError:
    """Return the refusal of a new session."""
    with pytest.raises(RefusalError) as caught:
        await world.caller(host, "tickets", key)
    return caught.value


@in_virtual_time
async def test_target_receives_the_workspace() -> None:
    async with keyed_world() as world:
        for key, name in [("farm-key-2", "farm"), ("mill-key-1", "mill")] * 3:
            for route in ROUTES:
                for ref in world.refs:
                    caller = await world.caller(ref.host, route, key)
                    assert (await caller.read()).refusal is None
                    assert last_statement_workspace(world, caller) == name


@pytest.mark.parametrize("key", ["", "nobodys", "k" * 300, "farm-key-1 ", "farm"])
@in_virtual_time
async def test_unknown_key_opens_no_session(key: str) -> None:
    async with keyed_world() as world:
        ran = len(world.group.ran_as)
        refusal = await open_refusal(world, world.refs[0].host, key)
        assert refusal.reason is RefusalReason.UNAUTHENTICATED
        assert refusal.verdict is Verdict.NOT_RUN
        assert len(world.group.ran_as) == ran


@in_virtual_time
async def test_keys_are_not_sent_to_hosts_or_targets() -> None:
    async with keyed_world() as world:
        for ref in world.refs:
            caller = await world.caller(ref.host, "tickets", "farm-key-1")
            await caller.write()
            await open_refusal(world, ref.host, "wrong-key-1")
        said = b"".join(world.messages)
        assert b"farm" in said
        for key in (b"farm-key", b"mill-key", b"wrong-key"):
            assert key not in said


@in_virtual_time
async def test_revoked_key_ends_open_sessions() -> None:
    async with keyed_world() as world:
        host = world.refs[0].host
        idle = await world.caller(host, "tickets", "farm-key-1")
        open_one = await world.caller(host, "tickets", "farm-key-1")
        other = await world.caller(host, "tickets", "farm-key-2")
        await open_one.run(SessionCommandKind.BEGIN)
        await open_one.write()
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, MILL)
        await asyncio.sleep(CONFIGURATION_SECONDS)
        ran = len(world.group.ran_as)
        for caller in (idle, open_one):
            is_open = caller.session.state is SessionState.OPEN
            kind = SessionCommandKind.COMMIT if is_open else SessionCommandKind.READ
            reply = await caller.run(kind)
            assert refusal_of(reply).reason is RefusalReason.UNAUTHENTICATED
            assert reply.ends
        assert len(world.group.ran_as) == ran
        # Sessions opened with the workspace's other key are not affected.
        assert (await other.write()).refusal is None


@in_virtual_time
async def test_moved_key_belongs_to_the_new_workspace() -> None:
    async with keyed_world() as world:
        host = world.refs[0].host
        single = await world.caller(host, "tickets", "farm-key-1")
        inside = await world.caller(host, "tickets", "farm-key-1")
        await single.write()
        await inside.run(SessionCommandKind.BEGIN)
        await inside.write()
        assert last_statement_workspace(world, inside) == "farm"
        moved = {**MILL, "keys": ["mill-key-1", "farm-key-1"]}
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, moved)
        await asyncio.sleep(CONFIGURATION_SECONDS)
        await single.write()
        assert last_statement_workspace(world, single) == "mill"
        reply = await inside.run(SessionCommandKind.COMMIT)
        assert refusal_of(reply).reason is RefusalReason.TRANSACTION_LOST
        assert last_statement_workspace(world, inside) is None
        await inside.write()
        assert last_statement_workspace(world, inside) == "mill"


@in_virtual_time
async def test_isolated_host_refuses_within_the_revocation_limit() -> None:
    """Partitioned from the store and all hosts, it cannot know of revocations."""
    async with keyed_world() as world:
        host = world.refs[0].host
        caller = await world.caller(host, "tickets", "farm-key-1")
        others = {ref.host for ref in world.refs} - {host}
        world.network.isolate({host}, others)
        world.store.silent.add(host)
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, MILL)
        await asyncio.sleep(REVOCATION_LIMIT_SECONDS)
        reply = await caller.read()
        assert refusal_of(reply).reason is RefusalReason.KEYS_UNPROVED
        assert refusal_of(reply).verdict is Verdict.NOT_RUN
        assert refusal_of(reply).retry_after_ms
        # An unknown key may have been added meanwhile, so it is not rejected as such.
        assert (
            await open_refusal(world, host, "x")
        ).reason is RefusalReason.KEYS_UNPROVED
        world.heal()
        await asyncio.sleep(1.5)
        reply = await caller.read()
        assert refusal_of(reply).reason is RefusalReason.UNAUTHENTICATED


@in_virtual_time
async def test_hosts_without_store_receive_revocations_from_others() -> None:
    async with keyed_world() as world:
        without = [ref.host for ref in world.refs[::3]]
        world.store.declining |= set(without)
        await asyncio.sleep(2 * REVOCATION_LIMIT_SECONDS)
        for host in without:
            caller = await world.caller(host, "tickets", "farm-key-1")
            assert (await caller.write()).refusal is None
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, MILL)
        await asyncio.sleep(REVOCATION_LIMIT_SECONDS)
        for host in without:
            refusal = await open_refusal(world, host, "farm-key-1")
            assert refusal.reason is RefusalReason.UNAUTHENTICATED


@in_virtual_time
async def test_idle_store_keeps_keys_proved() -> None:
    """Without changes, ages stay below the limit with few calls to the store."""
    async with keyed_world() as world:
        calls = len(world.store.calls)
        ages = []
        for _ in range(100):
            await asyncio.sleep(0.2)
            ages += [host.freshness.age() for host in world.hosts.values()]
        assert max(ages) < REVOCATION_LIMIT_SECONDS - REVOCATION_MARGIN_SECONDS
        # One call per second proves the keys of all hosts; six relays hold requests.
        assert len(world.store.calls) - calls < 20 * (1 + 6)


class Revocations:
    """Revoke keys under faults, and check which statements run.

    :ivar revoked_at: when the store acknowledged the revocation of each key.
    :ivar violations: descriptions of statements that should not have run.
    """

    def __init__(self, world: KeyedWorld, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.keys = {name: [f"{name}-{n}" for n in range(8)] for name in ("a", "b")}
        self.version = 2
        self.revoked_at: dict[str, float] = {}
        self.violations: list[str] = []
        self.ran = 0

    def write(self) -> None:
        """Write the configuration with the remaining keys."""
        self.version += 1
        left = [{"name": name, "keys": keys} for name, keys in self.keys.items()]
        self.world.configure_keys(self.version, *left)

    async def revoke_keys(self, until: float) -> None:
        """Revoke keys one by one at random times."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.random.uniform(0.5, 4.0))
            name = self.random.choice(["a", "b"])
            if len(self.keys[name]) > 1:
                key = self.keys[name].pop(0)
                self.write()
                self.revoked_at[key] = loop.time()

    async def inject_faults(self, until: float) -> None:
        """Partition and pause hosts, or cut them off from the store, some at a time."""
        world, rng = self.world, self.random
        loop = asyncio.get_running_loop()
        hosts = [ref.host for ref in world.refs]
        while loop.time() < until:
            chosen = set(rng.sample(hosts, rng.randint(1, 2)))
            if rng.random() < 0.7:
                # Its primary lease outlasts the limit for revoked keys.
                chosen.add(world.leader().me.host)
            kinds = ["cut", "cut", "one way", "silent", "declining", "pause"]
            kind = rng.choice(kinds)
            if kind == "cut":
                world.network.isolate(chosen, set(hosts) - chosen)
                world.store.silent |= chosen
            elif kind == "one way":
                for one in chosen:
                    for other in set(hosts) - chosen:
                        world.network.cut(other, one)
            elif kind == "silent":
                world.store.silent |= set(hosts if rng.random() < 0.3 else chosen)
            elif kind == "declining":
                world.store.declining |= chosen
            else:
                for one in chosen:
                    world.network.pause(one)
            if rng.random() < 0.3:
                world.store.forget()
            await asyncio.sleep(rng.uniform(0.5, 9.0))
            for one in chosen & set(world.network.paused):
                world.network.resume(one)
            world.heal()
            world.store.declining.clear()
            await asyncio.sleep(rng.uniform(0.0, 3.0))

    async def run_sessions(self, host: str, until: float) -> None:
        """Send statements with random keys, also in idle transactions."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            name = self.random.choice(["a", "b"])
            key = f"{name}-{self.random.randrange(8)}"
            try:
                route = self.random.choice(ROUTES)
                caller = await self.world.caller(host, route, key)
            except RefusalError:
                await asyncio.sleep(0.2)
                continue
            await self.run_session(caller, name, key)

    async def run_session(self, caller: Caller, name: str, key: str) -> None:
        """Run some statements of one session."""
        kinds = [SessionCommandKind.READ] * 8 + [
            SessionCommandKind.BEGIN,
            SessionCommandKind.WRITE,
        ]
        for kind in kinds:
            await self.send(caller, kind, name, key)
            await asyncio.sleep(self.random.choice([0.05, 0.3, 2.0]))
        if caller.session.state is not SessionState.IDLE:
            await self.send(caller, SessionCommandKind.COMMIT, name, key)

    async def send(
        self, caller: Caller, kind: SessionCommandKind, name: str, key: str
    ) -> None:
        """Send one statement, and check whether and for which workspace it ran."""
        sent = asyncio.get_running_loop().time()
        await caller.run(kind, KINDS[kind])
        ran = last_statement_workspace(self.world, caller)
        if ran is None:
            return
        self.ran += 1
        if ran != name:
            self.violations.append(f"{key} ran as {ran}")
        if sent > self.revoked_at.get(key, sent) + REVOCATION_LIMIT_SECONDS:
            self.violations.append(
                f"{key} ran {sent - self.revoked_at[key]:.2f} s after"
            )


@pytest.mark.parametrize("seed", range(6))
def test_no_revoked_key_runs_after_the_limit(seed: int) -> None:
    async def scenario() -> None:
        world = KeyedWorld(seed)
        await world.start()
        revocations = Revocations(world, seed)
        revocations.write()
        await asyncio.sleep(3.0)
        until = asyncio.get_running_loop().time() + 40.0
        callers = [revocations.run_sessions(ref.host, until) for ref in world.refs]
        await asyncio.gather(
            revocations.revoke_keys(until), revocations.inject_faults(until), *callers
        )
        await world.stop()
        assert not revocations.violations
        assert revocations.ran > 100
        assert len(revocations.revoked_at) > 5

    run_virtual(scenario())
