"""Tests of the fakes of other tests: virtual time and the faulty network."""

import asyncio

import pytest

from reedhook.peer import HostRef, PeerError, PeerRoutes
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.wire import Json

from .fakes_clock import VirtualTimeStuck, in_virtual_time, run_virtual
from .fakes_peers import FakeNetwork, FakePeers

ONE = HostRef("one", "vittoria", "127.0.0.1:1")
TWO = HostRef("two", "comiso", "127.0.0.1:2")


def connect_pair(network: FakeNetwork) -> tuple[FakePeers, list[Json]]:
    seen: list[Json] = []

    async def note(body: Json) -> Json:
        seen.append(body)
        return {"seen": len(seen)}

    async def refuse(body: Json) -> Json:
        raise not_run(RefusalReason.WRONG_HOME, "elsewhere", 5)

    routes = PeerRoutes()
    routes.add("note", note)
    routes.add("refuse", refuse)
    network.join(TWO, routes)
    return network.join(ONE, PeerRoutes()), seen


def test_virtual_time_skips_sleeps_and_detects_deadlock() -> None:
    async def main() -> float:
        await asyncio.sleep(3600)
        return asyncio.get_running_loop().time()

    async def stuck() -> None:
        await asyncio.Event().wait()

    assert 3600 <= run_virtual(main()) < 3600.001
    with pytest.raises(VirtualTimeStuck):
        run_virtual(stuck())


@in_virtual_time
async def test_refusal_is_raised_at_the_caller_and_crashed_host_gets_nothing() -> None:
    network = FakeNetwork()
    peers, _ = connect_pair(network)
    with pytest.raises(RefusalError) as refused:
        await peers.call(TWO, "refuse", {}, 1.0)
    assert refused.value.reason is RefusalReason.WRONG_HOME
    assert refused.value.retry_after_ms == 5
    network.crash("two")
    with pytest.raises(PeerError) as failed:
        await peers.call(TWO, "note", {}, 1.0)
    assert not failed.value.sent


@pytest.mark.parametrize(("sender", "effects"), [("one", 0), ("two", 1)])
@in_virtual_time
async def test_one_way_partition_loses_request_or_response(
    sender: str, effects: int
) -> None:
    network = FakeNetwork()
    peers, seen = connect_pair(network)
    network.cut(sender, "two" if sender == "one" else "one")
    with pytest.raises(PeerError) as failed:
        await peers.call(TWO, "note", {"n": 1}, 1.0)
    assert failed.value.sent
    assert len(seen) == effects


@in_virtual_time
async def test_paused_host_answers_after_it_resumes() -> None:
    network = FakeNetwork()
    peers, seen = connect_pair(network)
    network.pause("two")
    call = asyncio.create_task(peers.call(TWO, "note", {}, 10.0))
    await asyncio.sleep(2.0)
    assert seen == []
    network.resume("two")
    assert await call == {"seen": 1}
