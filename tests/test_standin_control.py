"""Fault injection through the control service over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.channel import open_channel
from reedhook.connection.target import TargetUnreachableError
from reedhook.process.fleet.hostlist import ListedState
from reedhook.wire import Json, decode, encode
from reedhook_standins.control import FaultControl
from reedhook_standins.deployment import Deployment
from reedhook_standins.platform import Platform, base_ports

from .support import using
from .support_group import connect


class Hand:
    """Call the control service."""

    def __init__(self, platform: Platform, control: FaultControl) -> None:
        self.platform = platform
        self.control = control

    async def call(self, name: str, status: int = 200, **message: object) -> Json:
        channel = await open_channel(self.control.address, 1.0)
        answer = await channel.exchange(name, encode(message), 1.0)
        channel.close()
        assert answer.status == status, answer.body
        return decode(answer.body)


@asynccontextmanager
async def hand_of(name: str = "plant") -> AsyncIterator[Hand]:
    platform = Platform(Deployment(name))
    control = FaultControl(platform)
    await platform.start()
    await control.listen()
    try:
        yield Hand(platform, control)
    finally:
        control.hang_up()
        await platform.close()


@using(hand_of)
async def test_revived_member_keeps_its_address(hand: Hand) -> None:
    member = hand.platform.members()["feedlog-1-a"]
    address = member.address
    await hand.call("kill", member=member.name)
    with pytest.raises(TargetUnreachableError):
        await connect(member)
    await hand.call("revive", member=member.name)
    await hand.call("revive", 400, member=member.name)
    assert member.address == address
    assert (await (await connect(member)).state(1.0)).member == member.name


@using(hand_of)
async def test_control_calls_set_faults_of_stand_ins(hand: Hand) -> None:
    platform = hand.platform
    member = platform.members()["feedlog-1-a"]
    await hand.call("pause", member=member.name)
    assert not member.runs
    await hand.call("resume", member=member.name)
    assert member.runs
    await hand.call("lag", member=member.name, ship=2, apply=1)
    assert (member.ship_lag, member.apply_lag) == (2.0, 1.0)
    await hand.call("partition", members=[member.name])
    group = platform.groups["feedlog-1"]
    assert not group.reachable(member.name, "feedlog-1-b")
    await hand.call("heal")
    assert group.reachable(member.name, "feedlog-1-b")
    await hand.call("store", down=True, slow=0.5)
    assert platform.store.down and platform.store.slow == 0.5
    await hand.call("leave", member=member.name)
    assert member.left is not None
    await hand.call(
        "list", host="h1", zone="comiso", address="127.0.0.1:1", state="live"
    )
    listed = {entry.host: entry.state for entry in platform.hostlist.visible()}
    assert listed["h1"] is ListedState.LIVE
    assert listed[member.name] is ListedState.LEAVING
    await hand.call("list", host="h1", state=None)
    assert len(platform.hostlist.visible()) == len(platform.members())


@using(hand_of)
async def test_unknown_call_member_or_fault_is_refused(hand: Hand) -> None:
    await hand.call("explode", 404)
    await hand.call("kill", 404, member="nobody")
    await hand.call("store", 400, broken=True)
    answer = await hand.call("status")
    assert len(answer["members"]) == 9


@pytest.mark.parametrize("name", ["plant", "danube"])
def test_base_files_assign_unique_member_ports(name: str) -> None:
    ports = base_ports(Deployment(name))
    assert len(ports) == 9
    assert len(set(ports.values())) == 9
