"""Hosts of an isolated zone become unready, so that callers move to other zones."""

import asyncio

from reedhook.process.caller_sessions import CallerConnection
from reedhook.process.drain_schedule import ROTATION_DELAY_SECONDS
from reedhook.request.verdict import Verdict

from .fakes_clock import run_virtual
from .session_world import SessionWorld
from .support import using
from .test_session_world import a_world

DETECTION_SECONDS = 1.2
"""Time limit for the detection of an isolation."""

USUAL_DETECTION_SECONDS = 0.75
"""Usual detection time; must be below `READINESS_CHECK_SECONDS`."""

READINESS_CHECK_SECONDS = 1.0
"""Interval of readiness checks; two failures take a host out of rotation."""

IMMEDIATE_SECONDS = 0.1
"""Time limit for reactions without a delay, such as an immediate refusal."""


class IdleConnection(CallerConnection):
    """Connection of a caller that sends no requests."""

    def __init__(self, busy: bool = False) -> None:
        self.busy = busy
        self.closed = False

    def is_quiet(self) -> bool:
        return not self.busy

    def is_idle(self) -> bool:
        return not self.busy

    def close(self) -> None:
        self.closed = True

    def is_access_revoked(self) -> bool:
        return False

    def abort_transaction(self, cause: str) -> None:
        raise AssertionError("no transaction may be aborted here")


def ready(world: SessionWorld) -> dict[str, bool]:
    """Return whether each host is ready, by name."""
    return {name: host.ready for name, host in world.hosts.items()}


@using(a_world, run_virtual)
async def test_hosts_of_an_isolated_zone_are_not_ready(world: SessionWorld) -> None:
    assert all(ready(world).values())
    world.cut_zone("z1")
    await asyncio.sleep(DETECTION_SECONDS)
    found = ready(world)
    assert not found["h10"] and not found["h11"]
    assert sum(found.values()) == 4


@using(a_world, run_virtual)
async def test_isolation_is_detected_before_the_next_readiness_check(
    world: SessionWorld,
) -> None:
    world.cut_zone("z1")
    await asyncio.sleep(USUAL_DETECTION_SECONDS)
    found = ready(world)
    assert not found["h10"] and not found["h11"]


@using(a_world, run_virtual)
async def test_hosts_are_ready_again_once_another_zone_is_reached(
    world: SessionWorld,
) -> None:
    world.cut_zone("z1")
    # Longer than membership remembers dead hosts.
    await asyncio.sleep(30.0)
    assert not world.hosts["h10"].ready
    world.heal()
    await asyncio.sleep(1.0)
    assert all(ready(world).values())


@using(a_world, run_virtual)
async def test_last_live_hosts_stay_ready(world: SessionWorld) -> None:
    for ref in world.refs:
        if ref.zone != "z1":
            await world.kill(ref.host)
    await asyncio.sleep(5.0)
    assert ready(world) == {"h10": True, "h11": True}


@using(a_world, run_virtual)
async def test_short_network_outage_takes_no_host_out_of_rotation(
    world: SessionWorld,
) -> None:
    world.cut_zone("z1")
    await asyncio.sleep(0.25)
    world.heal()
    unready = 0.0
    for _ in range(200):
        await asyncio.sleep(0.01)
        unready = 0.0 if all(ready(world).values()) else unready + 0.01
        assert unready < READINESS_CHECK_SECONDS


@using(a_world, run_virtual)
async def test_isolated_host_closes_idle_sessions_once_out_of_rotation(
    world: SessionWorld,
) -> None:
    idle, busy = IdleConnection(), IdleConnection(busy=True)
    callers = world.hosts["h10"].caller_sessions
    callers.connections |= {idle, busy}
    world.cut_zone("z1")
    await asyncio.sleep(ROTATION_DELAY_SECONDS)
    assert not idle.closed
    await asyncio.sleep(DETECTION_SECONDS)
    assert idle.closed
    assert not busy.closed
    busy.busy = False
    await asyncio.sleep(IMMEDIATE_SECONDS)
    assert busy.closed


@using(a_world, run_virtual)
async def test_isolated_host_does_not_close_new_sessions_at_once(
    world: SessionWorld,
) -> None:
    world.cut_zone("z1")
    await asyncio.sleep(ROTATION_DELAY_SECONDS + DETECTION_SECONDS)
    new_connection = IdleConnection()
    world.hosts["h10"].caller_sessions.connections.add(new_connection)
    await asyncio.sleep(IMMEDIATE_SECONDS)
    assert not new_connection.closed


@using(a_world, run_virtual)
async def test_isolated_host_refuses_writes_to_other_zones_immediately(
    world: SessionWorld,
) -> None:
    assert world.leader().me.zone != "z0"
    callers = [await world.caller("h00", "tickets") for _ in range(5)]
    world.cut_zone("z0")
    await asyncio.sleep(USUAL_DETECTION_SECONDS)
    started_at = asyncio.get_running_loop().time()
    replies = await asyncio.gather(*(caller.write() for caller in callers))
    assert asyncio.get_running_loop().time() - started_at < IMMEDIATE_SECONDS
    for reply in replies:
        assert reply.refusal is not None
        assert reply.refusal.verdict is Verdict.NOT_RUN


@using(a_world, run_virtual)
async def test_hosts_of_other_zones_keep_their_sessions(world: SessionWorld) -> None:
    idle = IdleConnection()
    world.hosts["h00"].caller_sessions.connections.add(idle)
    world.cut_zone("z1")
    await asyncio.sleep(8.0)
    assert not idle.closed
