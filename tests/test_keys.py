"""Callers' keys: whose work a statement is, and keys that are taken away."""

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

REVOKE = 5.0
"""Seconds after which a key that was taken away opens nothing anywhere."""

IN_FORCE = 2.5
"""Seconds until a version is in force in a calm world; transactions rest for 3."""

ROUTES = ["tickets", "views", "reports"]
FARM: Json = {"name": "farm", "keys": ["farm-key-1", "farm-key-2"]}
MILL: Json = {"name": "mill", "keys": ["mill-key-1"]}


class KeyedWorld(SessionWorld):
    """A world whose hosts bound how long a key that was taken away may be used.

    :ivar messages: bodies of all calls between hosts.
    """

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed=seed)
        self.messages: list[bytes] = []
        carry = self.network.carry

        async def noted(sender: str, receiver: str, body: bytes) -> None:
            self.messages.append(body)
            await carry(sender, receiver, body)

        self.network.carry = noted  # type: ignore[method-assign]

    def settings_of(self, *values: Any) -> SessionHostSettings:
        settings = super().settings_of(*values)
        settings.revoke = REVOKE
        return settings

    def configure_keys(self, version: int, *workspaces: Json) -> None:
        """Write a configuration with workspaces."""
        self.configure(version, ROUTES, list(workspaces))


@asynccontextmanager
async def keyed_world(seed: int = 0) -> AsyncIterator[KeyedWorld]:
    """Yield a world that runs, with two workspaces."""
    world = KeyedWorld(seed)
    await world.start()
    world.configure_keys(2, FARM, MILL)
    await asyncio.sleep(3.0)
    yield world
    world.check()
    await world.stop()


def run_as(world: SessionWorld, caller: Caller) -> str | None:
    """Return as whose work the last statement of a caller ran; None if it did not."""
    return world.group.ran_as.get(f"{caller.name}-{caller.sent}")


def refusal_of(reply: SessionReply) -> RefusalError:
    """Return the refusal of an answer."""
    assert reply.refusal is not None
    return reply.refusal


async def denied(world: SessionWorld, host: str, key: str) -> RefusalError:
    """Return how a caller is refused that opens a session."""
    with pytest.raises(RefusalError) as caught:
        await world.caller(host, "tickets", key)
    return caught.value


@in_virtual_time
async def test_a_target_is_told_whose_work_it_runs() -> None:
    async with keyed_world() as world:
        for key, name in [("farm-key-2", "farm"), ("mill-key-1", "mill")] * 3:
            for route in ROUTES:
                for ref in world.refs:
                    caller = await world.caller(ref.host, route, key)
                    assert (await caller.read()).refusal is None
                    assert run_as(world, caller) == name


@pytest.mark.parametrize("key", ["", "nobodys", "k" * 300, "farm-key-1 ", "farm"])
@in_virtual_time
async def test_an_unknown_key_opens_nothing(key: str) -> None:
    async with keyed_world() as world:
        ran = len(world.group.ran_as)
        refusal = await denied(world, world.refs[0].host, key)
        assert refusal.reason is RefusalReason.UNAUTHENTICATED
        assert refusal.verdict is Verdict.NOT_RUN
        assert len(world.group.ran_as) == ran


@in_virtual_time
async def test_no_key_goes_to_another_host_or_to_a_target() -> None:
    async with keyed_world() as world:
        for ref in world.refs:
            caller = await world.caller(ref.host, "tickets", "farm-key-1")
            await caller.write()
            await denied(world, ref.host, "wrong-key-1")
        said = b"".join(world.messages)
        assert b"farm" in said
        for key in (b"farm-key", b"mill-key", b"wrong-key"):
            assert key not in said


@in_virtual_time
async def test_a_key_that_is_taken_away_ends_what_it_opened() -> None:
    async with keyed_world() as world:
        host = world.refs[0].host
        idle = await world.caller(host, "tickets", "farm-key-1")
        open_one = await world.caller(host, "tickets", "farm-key-1")
        other = await world.caller(host, "tickets", "farm-key-2")
        await open_one.run(SessionCommandKind.BEGIN)
        await open_one.write()
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, MILL)
        await asyncio.sleep(IN_FORCE)
        ran = len(world.group.ran_as)
        for caller in (idle, open_one):
            is_open = caller.session.state is SessionState.OPEN
            kind = SessionCommandKind.COMMIT if is_open else SessionCommandKind.READ
            reply = await caller.run(kind)
            assert refusal_of(reply).reason is RefusalReason.UNAUTHENTICATED
            assert reply.ends
        assert len(world.group.ran_as) == ran
        # The other key of the workspace, and its sessions, stay as they were.
        assert (await other.write()).refusal is None


@in_virtual_time
async def test_a_key_that_moves_belongs_to_the_new_workspace() -> None:
    async with keyed_world() as world:
        host = world.refs[0].host
        single = await world.caller(host, "tickets", "farm-key-1")
        inside = await world.caller(host, "tickets", "farm-key-1")
        await single.write()
        await inside.run(SessionCommandKind.BEGIN)
        await inside.write()
        assert run_as(world, inside) == "farm"
        moved = {**MILL, "keys": ["mill-key-1", "farm-key-1"]}
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, moved)
        await asyncio.sleep(IN_FORCE)
        await single.write()
        assert run_as(world, single) == "mill"
        reply = await inside.run(SessionCommandKind.COMMIT)
        assert refusal_of(reply).reason is RefusalReason.TRANSACTION_LOST
        assert run_as(world, inside) is None
        await inside.write()
        assert run_as(world, inside) == "mill"


@in_virtual_time
async def test_a_host_that_hears_nothing_refuses_in_time() -> None:
    """Cut off from the store and all hosts, it may not know what was taken away."""
    async with keyed_world() as world:
        host = world.refs[0].host
        caller = await world.caller(host, "tickets", "farm-key-1")
        others = {ref.host for ref in world.refs} - {host}
        world.network.isolate({host}, others)
        world.store.silent.add(host)
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, MILL)
        await asyncio.sleep(REVOKE)
        reply = await caller.read()
        assert refusal_of(reply).reason is RefusalReason.KEYS_UNPROVED
        assert refusal_of(reply).verdict is Verdict.NOT_RUN
        assert refusal_of(reply).retry_after_ms
        # A key that is not known here may have been added: nothing denies it.
        assert (await denied(world, host, "x")).reason is RefusalReason.KEYS_UNPROVED
        world.heal()
        await asyncio.sleep(1.5)
        reply = await caller.read()
        assert refusal_of(reply).reason is RefusalReason.UNAUTHENTICATED


@in_virtual_time
async def test_hosts_without_the_store_learn_from_the_others() -> None:
    async with keyed_world() as world:
        without = [ref.host for ref in world.refs[::3]]
        world.store.declining |= set(without)
        await asyncio.sleep(2 * REVOKE)
        for host in without:
            caller = await world.caller(host, "tickets", "farm-key-1")
            assert (await caller.write()).refusal is None
        world.configure_keys(3, {**FARM, "keys": ["farm-key-2"]}, MILL)
        await asyncio.sleep(REVOKE)
        for host in without:
            refusal = await denied(world, host, "farm-key-1")
            assert refusal.reason is RefusalReason.UNAUTHENTICATED


@in_virtual_time
async def test_a_quiet_store_proves_the_keys_all_the_time() -> None:
    """Nothing changes for a while; no host refuses, and the store is asked rarely."""
    async with keyed_world() as world:
        calls = len(world.store.calls)
        ages = []
        for _ in range(100):
            await asyncio.sleep(0.2)
            ages += [host.freshness.age() for host in world.hosts.values()]
        assert max(ages) < REVOKE - REVOCATION_MARGIN_SECONDS
        # One call a second proves the keys of all hosts; six relays hold questions.
        assert len(world.store.calls) - calls < 20 * (1 + 6)


class Revocations:
    """Take keys away under faults, and keep what may run when.

    :ivar gone: when the store had acknowledged that a key was taken away.
    """

    def __init__(self, world: KeyedWorld, seed: int) -> None:
        self.world = world
        self.random = random.Random(seed)
        self.keys = {name: [f"{name}-{n}" for n in range(8)] for name in ("a", "b")}
        self.version = 2
        self.gone: dict[str, float] = {}
        self.broken: list[str] = []
        self.ran = 0

    def write(self) -> None:
        """Write the configuration with the keys that are left."""
        self.version += 1
        left = [{"name": name, "keys": keys} for name, keys in self.keys.items()]
        self.world.configure_keys(self.version, *left)

    async def take_away(self, until: float) -> None:
        """Take keys away, now and then one more."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.random.uniform(0.5, 4.0))
            name = self.random.choice(["a", "b"])
            if len(self.keys[name]) > 1:
                key = self.keys[name].pop(0)
                self.write()
                self.gone[key] = loop.time()

    async def disturb(self, until: float) -> None:
        """Cut, pause and silence hosts, some at a time."""
        world, rng = self.world, self.random
        loop = asyncio.get_running_loop()
        hosts = [ref.host for ref in world.refs]
        while loop.time() < until:
            chosen = set(rng.sample(hosts, rng.randint(1, 2)))
            if rng.random() < 0.7:
                # Alone, it may use its primary for longer than keys may be used.
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

    async def call(self, host: str, until: float) -> None:
        """Send statements with any key, also in transactions that rest."""
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
            await self.operate(caller, name, key)

    async def operate(self, caller: Caller, name: str, key: str) -> None:
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
        """Send one statement, and look at whether and as whose work it ran."""
        sent = asyncio.get_running_loop().time()
        await caller.run(kind, KINDS[kind])
        ran = run_as(self.world, caller)
        if ran is None:
            return
        self.ran += 1
        if ran != name:
            self.broken.append(f"{key} ran as {ran}")
        if sent > self.gone.get(key, sent) + REVOKE:
            self.broken.append(f"{key} ran {sent - self.gone[key]:.2f} s after")


@pytest.mark.parametrize("seed", range(6))
def test_no_key_runs_for_long_after_it_was_taken_away(seed: int) -> None:
    async def course() -> None:
        world = KeyedWorld(seed)
        await world.start()
        course = Revocations(world, seed)
        course.write()
        await asyncio.sleep(3.0)
        until = asyncio.get_running_loop().time() + 40.0
        callers = [course.call(ref.host, until) for ref in world.refs]
        await asyncio.gather(course.take_away(until), course.disturb(until), *callers)
        await world.stop()
        assert not course.broken
        assert course.ran > 100
        assert len(course.gone) > 5

    run_virtual(course())
