"""Guards against commits at a superseded primary under arbitrary faults."""

import asyncio
from typing import TypeAlias

from hypothesis import given, settings, strategies as st

from reedhook.request.session_command import SessionCommandKind

from .fakes_clock import run_virtual
from .session_world import SessionWorld

Event: TypeAlias = tuple[float, str, int, int]
"""Seconds since the previous event, kind, and indices of the hosts concerned."""

HOSTS = 6
WRITE_INTERVAL_SECONDS = 0.3
LATE_SECONDS = 4.0
KINDS = [
    "pause",
    "resume",
    "restart",
    "oneway",
    "isolate",
    "silent",
    "late",
    "cut primary",
    "dark primary",
    "member back",
    "heal",
]
EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 4.0),
        st.sampled_from(KINDS),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
    ),
    min_size=3,
    max_size=9,
)


def apply_event(world: SessionWorld, event: Event) -> None:
    """Apply one event; restarts are done by `play`."""
    _, kind, one, two = event
    host, other = world.refs[one].host, world.refs[two].host
    primary = world.group.primary
    if kind == "pause":
        world.network.pause(host)
    elif kind == "resume":
        world.network.resume(host)
    elif kind == "oneway":
        world.network.cut(host, other)
    elif kind == "isolate":
        world.network.isolate({host}, {ref.host for ref in world.refs} - {host})
    elif kind == "silent":
        world.store.silent.add(host)
    elif kind == "late":
        world.store.late[host] = LATE_SECONDS
    elif kind == "cut primary":
        world.group.cut(host, primary.entry.target)
    elif kind == "dark primary":
        primary.down = True
    elif kind == "member back":
        for member in world.group.members.values():
            member.down = False
    elif kind == "heal":
        world.heal()
        world.store.late.clear()


async def write(world: SessionWorld, host: str) -> None:
    """Write and read at one host until cancelled."""
    while True:
        if host in world.hosts:
            caller = await world.caller(host, "tickets")
            await caller.write()
            await caller.run(SessionCommandKind.READ)
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)


async def play(events: list[Event]) -> None:
    """Apply the events while callers write, and check the consistency guarantees."""
    world = SessionWorld()
    await world.start()
    hosts = [ref.host for ref in world.refs]
    callers = [asyncio.create_task(write(world, host)) for host in hosts]
    for event in events:
        await asyncio.sleep(event[0])
        if event[1] == "restart":
            await world.restart(hosts[event[2]])
        else:
            apply_event(world, event)
    await asyncio.sleep(2.0)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    world.check()
    await world.stop()


@given(EVENTS)
@settings(max_examples=25, deadline=None, derandomize=True)
def test_promises_hold_whatever_happens(events: list[Event]) -> None:
    run_virtual(play(events))


def test_paused_holder_and_late_writes_keep_guarantees() -> None:
    run_virtual(
        play(
            [
                (0.1, "late", 2, 0),
                (0.5, "pause", 3, 0),
                (1.0, "dark primary", 0, 0),
                (4.0, "cut primary", 1, 0),
                (4.0, "member back", 0, 0),
                (4.0, "resume", 3, 0),
            ]
        )
    )
