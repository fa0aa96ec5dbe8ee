"""Late, lost and declined writes of the lease record, among other faults.

Guards against commits at a superseded primary and reads that lack acknowledged commits.
"""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

import pytest
from hypothesis import given, settings, strategies as st

from reedhook.connection.session_target import StatementFault
from reedhook.process.discovery.key_value_store import StoreRejectedError
from reedhook.request.refusal import RefusalError
from reedhook.request.session_command import SessionCommandKind
from reedhook.version.route_table import TargetAnnouncement
from reedhook.wire import Json, decode
from reedhook_standins.database import DatabaseMember

from .fakes_clock import run_virtual
from .late_write_world import (
    CALLER_INTERVAL_SECONDS,
    LEASE_KEY,
    LateWriteWorld,
    names_successor,
)

Event: TypeAlias = tuple[float, str, int, int, float]
"""Seconds since the previous event, kind, two choices, and a duration in seconds."""

HOSTS: Final = 6
RECORD_KINDS: Final = 6
LATE_SECONDS: Final = 2.5
PLAY_SECONDS: Final = 20.0
RESUME_SECONDS: Final = 30.0
WRITE_INTERVAL_SECONDS: Final = 0.2
ROUTES: Final = ["tickets", "views", "reports"]
TRANSACTION_SECONDS: Final = [0.3, 0.8, 1.4]
ANNOUNCE_INTERVAL_SECONDS: Final = 0.5
RESTART_SECONDS: Final = 0.7

KINDS: Final = [
    "late",
    "late",
    "late",
    "lost",
    "declined",
    "outage",
    "outage",
    "outage",
    "drain holder",
    "drain backup holder",
    "drain",
    "kill holder",
    "kill backup holder",
    "kill",
    "pause holder",
    "pause",
    "cut zone",
    "leaving primary",
    "leaving",
]
EVENTS: Final = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.1, 0.3, 0.7, 1.2, 2.0, 3.5]),
        st.sampled_from(KINDS),
        st.integers(0, HOSTS - 1),
        st.integers(0, 3),
        st.sampled_from([0.5, 0.8, 1.2, 1.8, 2.5, 4.0, 6.0]),
    ),
    min_size=4,
    max_size=14,
)


class FailingWriteWorld(LateWriteWorld):
    """Run hosts whose next writes of a chosen lease record get no answer.

    :ivar failing: the records chosen; None for none.
    :ivar failing_left: number of further writes that fail.
    """

    def __init__(self) -> None:
        super().__init__()
        self.failing: Callable[[Json], bool] | None = None
        self.failing_seconds: float | None = None
        self.failing_left = 0

    def fail_writes(
        self, chosen: Callable[[Json], bool], seconds: float | None, count: int
    ) -> None:
        """Apply the next `count` chosen writes of any host late, without an answer.

        :param seconds: 0 loses the answer only; None refuses the write.
        """
        self.failing, self.failing_seconds = chosen, seconds
        self.failing_left = count

    def delay_of_write(self, host: str, key: str, value: bytes) -> float | None:
        """Return the delay of a write that takes effect late, or None.

        :raises StoreRejectedError: if the write is refused.
        """
        if key != LEASE_KEY or self.failing is None or not self.failing_left:
            return None
        if not self.failing(decode(value)):
            return None
        self.failing_left -= 1
        if self.failing_seconds is None:
            raise StoreRejectedError("busy")
        return self.failing_seconds

    async def keep_transacting(self, host: str, seconds: float) -> None:
        """Hold a transaction open for `seconds` again and again until cancelled."""
        while True:
            await asyncio.sleep(CALLER_INTERVAL_SECONDS)
            if host in self.hosts:
                try:
                    await self.transact(host, seconds)
                except RefusalError:
                    continue

    async def transact(self, host: str, seconds: float) -> None:
        """Write in a transaction, and commit it after `seconds`."""
        caller = await self.caller(host, "tickets")
        await caller.run(SessionCommandKind.BEGIN)
        reply = await caller.write()
        if reply.refusal is not None or reply.fault is not StatementFault.NONE:
            return
        await asyncio.sleep(seconds)
        await caller.run(SessionCommandKind.COMMIT)


def record_kinds(world: FailingWriteWorld) -> list[Callable[[Json], bool]]:
    """Return a condition for each kind of write of the lease record."""
    return [
        names_successor,
        lambda record: record["deputy"] != world.record()["deputy"],
        lambda record: not names_successor(record)
        and (names_successor(world.record()) or changes(record, world, "term")),
        lambda record: len(record["former"]) < len(world.record()["former"]),
        lambda record: changes(record, world, "holder"),
        lambda record: True,
    ]


def changes(record: Json, world: FailingWriteWorld, name: str) -> bool:
    """Return whether a field of a record differs from the stored one."""
    return bool(record[name] != world.record()[name])


def named_host(world: FailingWriteWorld, kind: str, index: int) -> str:
    """Return the host that an event concerns."""
    record = world.record()
    role = "deputy" if kind.endswith("backup holder") else "holder"
    if kind.endswith("holder") and record[role] is not None:
        return str(record[role]["ref"][0])
    return world.refs[index].host


async def apply_event(world: FailingWriteWorld, event: Event) -> None:
    """Apply one event; its end follows by itself."""
    _, kind, one, two, seconds = event
    if kind == "late":
        world.fail_writes(record_kinds(world)[one], seconds, two + 1)
    elif kind == "lost":
        world.fail_writes(record_kinds(world)[one], 0.0, two + 1)
    elif kind == "declined":
        world.fail_writes(record_kinds(world)[one], None, two + 1)
    elif kind == "outage":
        world.spawn(interrupt_primary(world, min(seconds, 2.5)))
    elif kind.startswith("drain"):
        world.spawn(drain(world, named_host(world, kind, one)))
    elif kind.startswith("kill"):
        world.spawn(kill(world, named_host(world, kind, one)))
    elif kind.startswith("pause"):
        host = named_host(world, kind, one)
        world.network.pause(host)
        asyncio.get_running_loop().call_later(seconds, world.network.resume, host)
    elif kind == "cut zone":
        world.cut_zone(f"z{one % 3}")
        asyncio.get_running_loop().call_later(seconds, world.heal)
    else:
        members = list(world.group.members.values())
        member = world.group.primary if "primary" in kind else members[one % 3]
        world.spawn(leave(world, member, seconds))


async def leave(
    world: FailingWriteWorld, member: DatabaseMember, seconds: float
) -> None:
    """Have a target announce for some seconds that it leaves."""
    member.entry = changed(member.entry, leaving=True)
    world.announce(member.entry)
    await asyncio.sleep(seconds)
    member.entry = changed(member.entry, leaving=False)
    world.announce(member.entry)


async def announce_roles(world: FailingWriteWorld) -> None:
    """Have the targets announce whether they consider themselves the primary."""
    while True:
        for member in world.group.members.values():
            if not member.down and member.entry.claims_primary is not member.leads:
                member.entry = changed(member.entry, claims_primary=member.leads)
                world.announce(member.entry)
        await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)


def changed(entry: TargetAnnouncement, **values: bool) -> TargetAnnouncement:
    """Return an announcement with other values."""
    known = dict(zip(entry.__slots__, entry.values(), strict=True))
    return TargetAnnouncement(**{**known, **values})


async def interrupt_primary(world: FailingWriteWorld, seconds: float) -> None:
    """Have the primary answer nothing for some seconds."""
    member = world.group.primary
    member.down = True
    await asyncio.sleep(seconds)
    member.down = False


async def drain(world: FailingWriteWorld, name: str) -> None:
    """End a host gracefully, and start it again."""
    host = world.hosts.get(name)
    if host is None or host.leaving:
        return
    await host.drain()
    if world.hosts.get(name) is host:
        await restart(world, name)


async def kill(world: FailingWriteWorld, name: str) -> None:
    """Kill a host, and start it again."""
    if name in world.hosts:
        await restart(world, name)


async def restart(world: FailingWriteWorld, name: str) -> None:
    """End a host at once, and start it after a while."""
    await world.kill(name)
    await asyncio.sleep(RESTART_SECONDS)
    if name not in world.hosts:
        await world.restart(name)


async def write_succeeds(world: FailingWriteWorld, host: str) -> bool:
    """Return whether a write at a host succeeds."""
    if host not in world.hosts:
        return False
    try:
        caller = await world.caller(host, "tickets")
        reply = await caller.write()
    except RefusalError:
        return False
    return reply.refusal is None and reply.fault is StatementFault.NONE


async def play(events: list[Event]) -> None:
    """Apply the events while callers write, read and hold transactions open.

    All faults end within seconds after that, and a write succeeds.
    """
    world = FailingWriteWorld()
    await world.start()
    world.spawn(announce_roles(world))
    for ref, database in zip(world.refs, 2 * ROUTES, strict=True):
        world.spawn(world.keep_calling(ref.host, database))
    for ref, seconds in zip(world.refs[::2], TRANSACTION_SECONDS, strict=True):
        world.spawn(world.keep_transacting(ref.host, seconds))
    loop = asyncio.get_running_loop()
    end = loop.time() + PLAY_SECONDS
    for event in events:
        await asyncio.sleep(event[0])
        if loop.time() < end:
            await apply_event(world, event)
    await asyncio.sleep(max(end - loop.time(), 0.0))
    world.failing = None
    deadline = loop.time() + RESUME_SECONDS
    while not await write_succeeds(world, world.refs[0].host):
        assert loop.time() < deadline
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)
    failed = [task for task in world.tasks if task.done() and task.exception()]
    assert not failed
    await world.end()


@pytest.mark.parametrize("record_kind", range(RECORD_KINDS))
@given(events=EVENTS)
@settings(max_examples=3)
def test_guarantees_hold_over_late_lease_writes(
    record_kind: int, events: list[Event]
) -> None:
    """Each kind of record is written late once at least, if it is written."""
    run_virtual(play([(0.0, "late", record_kind, 1, LATE_SECONDS), *events]))


def test_successor_that_still_leads_in_an_earlier_term() -> None:
    """Guards against use of a successor before its promotion has taken effect."""
    events: list[Event] = [
        (0.7, "drain backup holder", 0, 1, 6.0),
        (0.3, "kill backup holder", 0, 1, 0.8),
        (1.2, "kill holder", 5, 3, 4.0),
        (3.5, "outage", 1, 1, 2.5),
        (0.1, "cut zone", 3, 3, 1.2),
        (2.0, "late", 0, 3, 4.0),
        (0.3, "outage", 0, 0, 0.5),
        (3.5, "kill backup holder", 5, 2, 0.5),
        (0.0, "cut zone", 4, 1, 1.2),
        (0.3, "lost", 4, 2, 2.5),
        (0.3, "outage", 5, 3, 6.0),
        (2.0, "leaving", 3, 2, 1.8),
        (0.7, "outage", 5, 0, 0.8),
    ]
    run_virtual(play(events))
