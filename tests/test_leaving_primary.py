"""Primaries that leave around a change of the host that uses them.

Guards against new statements at a primary that has announced that it leaves, or whose
announcement has ended.
"""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

import pytest

from reedhook.connection.session_target import StatementFault
from reedhook.process.primary_lease.former_wait import MAX_WAIT_SECONDS
from reedhook.process.primary_lease.primary_client import PRIMARY_WAIT_LIMIT_SECONDS
from reedhook.process.session_host import SessionHost
from reedhook.request.refusal import RefusalReason
from reedhook.request.session_command import SessionCommandKind
from reedhook.request.verdict import Verdict
from reedhook.version.route_table import TargetAnnouncement
from reedhook_standins.database import DatabaseMember

from .fakes_clock import run_virtual
from .late_write_world import LateWriteWorld, names_successor
from .session_world import SERVICE, TARGET_PREFIX

DRAIN_SECONDS: Final = 7.0
"""Time for which a target serves after it has announced that it leaves."""

MISSING_SECONDS: Final = 3.5
"""Time without an announcement after which a target counts as gone."""

IMMEDIATE_SECONDS: Final = 0.05
"""Time of a statement that passes between hosts and waits for nothing."""

REPLACEMENT_SECONDS: Final = 3.0
"""Longest time until writes succeed again after a planned change of primary."""


class LeavingWorld(LateWriteWorld):
    """Run hosts whose primary leaves, under a steady load of writes and reads.

    :ivar primary: the primary at the start.
    """

    async def start(self) -> None:
        await super().start()
        self.primary: DatabaseMember = self.group.primary
        self.others = [
            name
            for name in self.hosts
            if name not in (self.leader().me.host, self.backup_holder().me.host)
        ]
        for name in self.others:
            self.spawn(self.keep_calling(name, "tickets"))

    def leave(self, member: DatabaseMember) -> None:
        """Announce that a member leaves."""
        values = [*member.entry.values()]
        values[4] = True
        member.entry = TargetAnnouncement(*values)
        self.announce(member.entry)

    def lapse(self, member: DatabaseMember) -> None:
        """End the announcement of a member that still responds."""
        self.store.write(TARGET_PREFIX + member.entry.target, None)

    async def remove_host(self, host: SessionHost) -> None:
        """Remove a host for good; it confirms nothing any more."""
        await host.drain()
        await self.kill(host.me.host)

    async def first_write(self, seconds: float) -> float:
        """Return the seconds until a write succeeds."""
        started_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started_at < seconds:
            caller = await self.caller(self.others[0], "tickets")
            reply = await caller.write()
            if reply.refusal is None and reply.fault is StatementFault.NONE:
                return asyncio.get_running_loop().time() - started_at
            await asyncio.sleep(0.02)
        raise AssertionError("no write succeeded")


def in_leaving_world(
    play: Callable[[LeavingWorld], Coroutine[Any, Any, None]],
) -> None:
    """Run a play in a world of its own, and check the guarantees."""

    async def run() -> None:
        world = LeavingWorld()
        await world.start()
        await play(world)
        await world.end()

    run_virtual(run())


async def replace_holder(world: LeavingWorld, leaves: bool, lapses: bool) -> None:
    """Replace the holder of a primary that could not be replaced in time.

    A host that was removed before does not confirm that it has stopped.
    """
    removed = world.backup_holder()
    await world.remove_host(removed)
    gone = removed.me.host
    assert await world.until(lambda: names_other_backup(world, gone), 8.0)
    if leaves:
        world.leave(world.primary)
        await asyncio.sleep(DRAIN_SECONDS)
    if lapses:
        world.lapse(world.primary)
        await asyncio.sleep(MISSING_SECONDS)
    await asyncio.sleep(0.5)
    holder, runs = world.leader(), len(world.primary.runs)
    await holder.drain()
    await asyncio.sleep(3.0)
    assert world.leader() is not holder
    assert len(world.primary.runs) == runs
    await world.first_write(15.0)
    assert world.group.primary is not world.primary


def names_other_backup(world: LeavingWorld, removed: str) -> bool:
    """Return whether the record names a backup holder other than a removed host."""
    deputy = world.record()["deputy"]
    return deputy is not None and deputy["ref"][0] != removed


@pytest.mark.parametrize("leaves, lapses", [(True, False), (True, True), (False, True)])
def test_next_holder_sends_nothing_to_a_primary_that_leaves(
    leaves: bool, lapses: bool
) -> None:
    """Guards against use of the recorded primary before its announcement is read."""
    in_leaving_world(partial(replace_holder, leaves=leaves, lapses=lapses))


def test_leaving_primary_is_not_resumed_when_its_announcement_ends() -> None:
    """Guards against new statements until the primary counts as gone."""
    in_leaving_world(end_announcement)


async def end_announcement(world: LeavingWorld) -> None:
    await world.remove_host(world.backup_holder())
    world.leave(world.primary)
    await asyncio.sleep(DRAIN_SECONDS)
    runs = len(world.primary.runs)
    world.lapse(world.primary)
    await asyncio.sleep(MISSING_SECONDS)
    assert len(world.primary.runs) == runs


def test_primary_that_left_before_its_holder_started_is_replaced() -> None:
    """Guards against a service without a primary for as long as its holder lives."""
    in_leaving_world(restart_hosts_after_the_primary)


async def restart_hosts_after_the_primary(world: LeavingWorld) -> None:
    world.primary.down = True
    world.lapse(world.primary)
    for name in list(world.hosts):
        await world.restart(name)
    await world.first_write(20.0)
    assert world.group.primary is not world.primary


def test_promoted_successor_that_leaves_takes_no_statements() -> None:
    """Guards against use of a successor that left before its promotion was ordered."""
    in_leaving_world(promote_leaving_successor)


async def promote_leaving_successor(world: LeavingWorld) -> None:
    world.promoter.silent = True
    world.leave(world.primary)
    assert await world.until(lambda: names_successor(world.record()), 3.0)
    successor = world.group.members[world.record()["successor"]]
    world.leave(successor)
    await asyncio.sleep(DRAIN_SECONDS)
    world.promoter.silent = False
    await world.first_write(REPLACEMENT_SECONDS)
    assert world.group.primary not in (successor, world.primary)
    assert not successor.runs


def test_backup_holder_does_not_use_a_primary_that_leaves() -> None:
    """Guards against new statements while the store does not respond."""
    in_leaving_world(lose_holder_and_store)


async def lose_holder_and_store(world: LeavingWorld) -> None:
    backup = world.backup_holder().primary_leases.backup_holders
    await world.kill(world.leader().me.host)
    world.leave(world.primary)
    await asyncio.sleep(0.05)
    world.store.silent |= {ref.host for ref in world.refs}
    runs = len(world.primary.runs)
    await asyncio.sleep(DRAIN_SECONDS)
    assert len(world.primary.runs) == runs
    assert backup.active_holder(SERVICE) is None


def test_active_backup_holder_stops_when_the_primary_leaves() -> None:
    """Guards against new statements for as long as the lease is valid."""
    in_leaving_world(leave_active_backup_holder)


async def leave_active_backup_holder(world: LeavingWorld) -> None:
    host = world.backup_holder()
    backups = host.primary_leases.backup_holders
    await world.kill(world.leader().me.host)
    world.store.silent |= {ref.host for ref in world.refs}
    assert await world.until(lambda: backups.active_holder(SERVICE) is not None, 5.0)
    await world.first_write(2.0)
    world.leave(world.primary)
    key = TARGET_PREFIX + world.primary.entry.target
    host.announcements.process_item(world.store.items[key])
    await asyncio.sleep(1.5)
    runs = len(world.primary.runs)
    await asyncio.sleep(3.0)
    assert len(world.primary.runs) == runs


def test_change_of_holder_and_primary_costs_little_time() -> None:
    """Guards against a long outage if the holder ends just after the announcement."""
    in_leaving_world(end_holder_after_announcement)


async def end_holder_after_announcement(world: LeavingWorld) -> None:
    holder = world.leader()
    caller = await world.caller(world.others[0], "tickets")
    await caller.run(SessionCommandKind.BEGIN)
    await caller.write()
    world.leave(world.primary)
    world.spawn(holder.drain())
    await asyncio.sleep(0.3)
    reply = await caller.run(SessionCommandKind.COMMIT)
    assert reply.refusal is None and reply.fault is StatementFault.NONE
    assert await world.first_write(15.0) < REPLACEMENT_SECONDS
    assert world.group.primary is not world.primary


def test_removed_host_is_not_waited_for() -> None:
    """Guards against a leaving primary that is not replaced for 12.5 s."""
    in_leaving_world(leave_after_a_removal)


async def leave_after_a_removal(world: LeavingWorld) -> None:
    removed = world.backup_holder()
    await world.remove_host(removed)
    gone = removed.me.host
    assert await world.until(lambda: names_other_backup(world, gone), 4.0)
    world.leave(world.primary)
    assert await world.first_write(15.0) < REPLACEMENT_SECONDS
    assert await world.until(lambda: world.group.primary is not world.primary, 1.0)


def test_removed_holder_is_not_waited_for() -> None:
    """Guards against the same wait after the host that held the lease is removed."""
    in_leaving_world(leave_after_the_removal_of_the_holder)


async def leave_after_the_removal_of_the_holder(world: LeavingWorld) -> None:
    await world.remove_host(world.leader())
    await asyncio.sleep(2.0)
    assert not world.record()["former"]
    world.leave(world.primary)
    assert await world.until(lambda: world.group.primary is not world.primary, 3.0)


@pytest.mark.parametrize("seconds", [0.5, 4.0])
def test_wait_for_a_killed_host_passes_on_with_the_lease(seconds: float) -> None:
    """Guards against a wait that begins anew with each holder of a rolling restart."""
    in_leaving_world(partial(transfer_during_wait, seconds=seconds))


async def transfer_during_wait(world: LeavingWorld, seconds: float) -> None:
    killed = world.backup_holder().me.host
    await world.kill(killed)
    assert await world.until(lambda: names_other_backup(world, killed), 8.0)
    replaced_at = asyncio.get_running_loop().time()
    for _ in range(2):
        await asyncio.sleep(seconds / 2)
        holder = world.leader()
        await world.remove_host(holder)
    world.leave(world.primary)
    assert await world.until(lambda: world.group.primary is not world.primary, 15.0)
    waited = asyncio.get_running_loop().time() - replaced_at
    assert MAX_WAIT_SECONDS <= waited < MAX_WAIT_SECONDS + REPLACEMENT_SECONDS


def test_reads_are_served_while_a_killed_host_is_waited_for() -> None:
    """Guards against reads refused for want of a proof of their age."""
    in_leaving_world(read_during_wait)


async def read_during_wait(world: LeavingWorld) -> None:
    host = await leave_while_a_host_is_waited_for(world)
    reader = await world.caller(host, "views")
    for _ in range(10):
        assert (await reader.read()).refusal is None
        await asyncio.sleep(0.5)
    assert world.group.primary is world.primary


async def leave_while_a_host_is_waited_for(world: LeavingWorld) -> str:
    """Have the primary leave while it cannot be replaced; return a host."""
    killed = world.backup_holder().me.host
    await world.kill(killed)
    assert await world.until(lambda: names_other_backup(world, killed), 8.0)
    world.leave(world.primary)
    await asyncio.sleep(2.0)
    return next(name for name in world.others if name in world.hosts)


def test_writes_are_refused_at_once_while_a_killed_host_is_waited_for() -> None:
    """Guards against writes that are held although no primary can be ready in time."""
    in_leaving_world(write_during_wait)


async def write_during_wait(world: LeavingWorld) -> None:
    host = await leave_while_a_host_is_waited_for(world)
    writer = await world.caller(host, "tickets")
    loop = asyncio.get_running_loop()
    for _ in range(10):
        started_at = loop.time()
        refusal = (await writer.write()).refusal
        assert loop.time() - started_at < IMMEDIATE_SECONDS
        assert refusal is not None and refusal.retry_after_ms is not None
        assert refusal.reason is RefusalReason.NO_PRIMARY
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_ms / 1000.0 >= PRIMARY_WAIT_LIMIT_SECONDS
        await asyncio.sleep(0.5)
    await world.first_write(15.0)
    assert world.group.primary is not world.primary
