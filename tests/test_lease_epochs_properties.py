"""Guards against commits at a superseded primary and falling tokens over restores."""

import asyncio
from typing import Final, TypeAlias

from hypothesis import example, given, settings, strategies as st

from .fakes_clock import run_virtual
from .restored_world import RestoredWorld

Event: TypeAlias = tuple[float, str, int, int]
"""Seconds since the previous event, kind, and indices of the hosts concerned."""

HOSTS: Final = 6
LATE_SECONDS: Final = 1.5
KINDS: Final = [
    "save",
    "restore newest",
    "restore newest",
    "restore oldest",
    "move lease",
    "pause",
    "pause holder",
    "resume",
    "restart",
    "kill holder",
    "isolate",
    "silent",
    "late",
    "cut primary",
    "dark primary",
    "member back",
    "heal",
]
EVENTS: Final = st.lists(
    st.tuples(
        st.sampled_from([0.0, 0.005, 0.05, 0.3, 0.76, 1.0, 2.0, 5.0]),
        st.sampled_from(KINDS),
        st.integers(0, HOSTS - 1),
        st.integers(0, HOSTS - 1),
    ),
    min_size=4,
    max_size=12,
)


async def apply_event(world: RestoredWorld, event: Event) -> None:
    """Apply one event."""
    _, kind, one, two = event
    host = world.refs[one].host
    primary = world.group.primary
    holders = [name for name, each in world.hosts.items() if each.primary_leases.held]
    if kind == "save":
        world.store.save()
    elif kind.startswith("restore"):
        copies = world.store.copies
        copy = copies[-1 if kind == "restore newest" else 0]
        world.copied_at = copy.saved_at
        world.restore()
    elif kind == "move lease":
        for holder in holders[:1]:
            prober = world.hosts[holder].indirect_probers
            world.spawn(prober.transfer_lease("db", world.refs[one]))
    elif kind == "pause":
        world.network.pause(host)
    elif kind == "pause holder":
        for holder in holders:
            world.network.pause(holder)
    elif kind == "resume":
        for ref in world.refs:
            world.network.resume(ref.host)
    elif kind == "restart":
        world.network.resume(host)
        await world.restart(host)
    elif kind == "kill holder":
        for holder in holders:
            await world.kill(holder)
    elif kind == "isolate":
        world.network.isolate({host}, {ref.host for ref in world.refs} - {host})
    elif kind == "silent":
        world.store.silent.add(host)
    elif kind == "late":
        world.store.late[host] = LATE_SECONDS
    elif kind == "cut primary":
        for ref in world.refs[: two + 1]:
            world.group.cut(ref.host, primary.entry.target)
    elif kind == "dark primary":
        primary.down = True
    elif kind == "member back":
        for member in world.group.members.values():
            member.down = False
    else:
        world.heal()
        world.store.late.clear()


async def play(events: list[Event]) -> None:
    """Apply the events while callers write, and check the consistency guarantees.

    Everything is mended at the end, and service resumes then.
    """
    world = RestoredWorld()
    await world.start()
    for ref in world.refs:
        world.write_at(ref.host)
    for event in events:
        await asyncio.sleep(event[0])
        await apply_event(world, event)
    await asyncio.sleep(2.0)
    world.heal()
    world.store.late.clear()
    for member in world.group.members.values():
        member.down = False
    for ref in world.refs:
        world.network.resume(ref.host)
        if ref.host not in world.hosts:
            await world.start_host(ref)
    mended_at = world.now()
    await asyncio.sleep(24.0)
    resumed = [at for at in world.written_at if at > mended_at]
    await world.end()
    assert resumed


@given(EVENTS)
@example(
    [
        # The holder is paused while another host claims its lease and uses the
        # primary; the restore loses that claim, and the primary is lost.
        (0.0, "save", 0, 0),
        (0.0, "pause holder", 0, 0),
        (2.0, "restore newest", 0, 0),
        (0.0, "resume", 0, 0),
        (0.3, "dark primary", 0, 0),
        (0.3, "member back", 0, 0),
    ]
)
@settings(max_examples=15, deadline=None, derandomize=True)
def test_promises_hold_over_restores(events: list[Event]) -> None:
    run_virtual(play(events))
