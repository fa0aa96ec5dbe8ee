"""A hop that breaks tells of its host only if that host answers nobody."""

import asyncio

import pytest

from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerClient, PeerError
from reedhook.process.network.answer_tracking_peers import AnswerTrackingPeers
from reedhook.process.statement_server import StatementServer
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.request.statement_forwarder import (
    READ_WAIT_LIMIT_SECONDS,
    StatementForwarder,
    StatementLocation,
)
from reedhook.request.verdict import Verdict
from reedhook.wire import Json

from .fakes_clock import LoopClock, in_virtual_time

ME = HostRef("h1", "z1", "10.0.0.1:1")
OTHER = HostRef("h2", "z2", "10.0.0.2:1")


class SlowWork(PeerClient):
    """Answer at once, but for work, which stays without an answer."""

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        await asyncio.sleep(0.003)
        if path != "work":
            return {}
        await asyncio.sleep(timeout)
        raise PeerError("no answer", sent=True)

    async def close(self) -> None:
        pass


class NoDesk(StatementServer):
    """Stand in for a desk at which nothing runs."""

    def __init__(self) -> None:
        pass


def hops_to(
    peers: AnswerTrackingPeers, lost: list[str], cut_off: bool = False
) -> StatementForwarder:
    """Return hops that note which hosts they held for lost."""
    clock = LoopClock()
    decisions = DecisionLog("h1", clock, output_fd=None)
    hops = StatementForwarder(ME, NoDesk(), peers, lambda: cut_off, clock, decisions)
    hops.on_host_lost = lambda host: lost.append(host.host)
    return hops


def a_read() -> SessionStatement:
    """Return a read outside transactions."""
    return SessionStatement(
        "db",
        "t1",
        "s",
        {},
        "",
        TransactionMode.NONE,
        None,
        SessionStatementKind.READ,
        "i",
        "READ a",
        0.8,
    )


async def refused(hops: StatementForwarder) -> RefusalError:
    """Return how a read was refused."""
    with pytest.raises(RefusalError) as caught:
        await hops.run_at(StatementLocation(OTHER, "t1"), a_read())
    return caught.value


@in_virtual_time
async def test_a_host_that_answers_others_is_not_lost() -> None:
    peers, lost = AnswerTrackingPeers(SlowWork(), LoopClock()), list[str]()
    hops = hops_to(peers, lost)
    waiting = asyncio.ensure_future(refused(hops))
    await asyncio.sleep(0.2)
    await peers.call(OTHER, "alive", {}, 1.0)
    refusal = await waiting
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is RefusalReason.HOST_UNREACHABLE
    assert not lost and not hops.lost_since
    hops.check_host(OTHER)


class Silent(SlowWork):
    """Answer nothing from a moment on."""

    def __init__(self) -> None:
        self.silent = False

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        if not self.silent:
            return await super().call(peer, path, body, timeout)
        await asyncio.sleep(timeout)
        raise PeerError("no answer", sent=True)


@in_virtual_time
async def test_a_host_that_answers_nobody_is_lost_and_soon() -> None:
    calls = Silent()
    peers, lost = AnswerTrackingPeers(calls, LoopClock()), list[str]()
    hops = hops_to(peers, lost)
    await peers.call(OTHER, "alive", {}, 1.0)
    calls.silent = True
    await asyncio.sleep(0.2)
    begun = asyncio.get_running_loop().time()
    await refused(hops)
    assert lost == ["h2"]
    assert "h2" in hops.lost_since
    # A caller expects the whole answer within 0.3 s, and it is sent elsewhere now.
    assert asyncio.get_running_loop().time() - begun < 0.25


@pytest.mark.parametrize(
    "kind", [SessionStatementKind.READ, SessionStatementKind.WRITE]
)
@in_virtual_time
async def test_a_transaction_at_a_silent_host_is_refused_soon(
    kind: SessionStatementKind,
) -> None:
    calls = Silent()
    calls.silent = True
    hops = hops_to(AnswerTrackingPeers(calls, LoopClock()), [])
    work = a_read()
    work.kind, work.transaction = kind, "t"
    begun = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError) as caught:
        await hops.run_at(StatementLocation(OTHER, "t1"), work)
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert caught.value.verdict is Verdict.NOT_RUN
    assert asyncio.get_running_loop().time() - begun < 0.25


@in_virtual_time
async def test_a_write_in_doubt_is_waited_for_at_a_silent_host() -> None:
    calls = Silent()
    calls.silent = True
    hops = hops_to(AnswerTrackingPeers(calls, LoopClock()), [])
    work = a_read()
    work.kind = SessionStatementKind.WRITE
    begun = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError) as caught:
        await hops.run_at(StatementLocation(OTHER, "t1"), work)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert asyncio.get_running_loop().time() - begun > work.remaining


@in_virtual_time
async def test_a_host_that_says_it_lives_is_waited_for() -> None:
    peers, lost = AnswerTrackingPeers(SlowWork(), LoopClock()), list[str]()
    hops = hops_to(peers, lost)
    begun = asyncio.get_running_loop().time()
    refusal = await refused(hops)
    assert refusal.reason is RefusalReason.HOST_UNREACHABLE
    assert asyncio.get_running_loop().time() - begun > READ_WAIT_LIMIT_SECONDS - 0.01
    assert not lost


@pytest.mark.parametrize(
    "kind", [SessionStatementKind.READ, SessionStatementKind.WRITE]
)
@in_virtual_time
async def test_nothing_is_sent_to_a_zone_that_is_known_to_be_out_of_reach(
    kind: SessionStatementKind,
) -> None:
    peers, lost = AnswerTrackingPeers(SlowWork(), LoopClock()), list[str]()
    hops = hops_to(peers, lost, cut_off=True)
    work = a_read()
    work.kind = kind
    begun = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError) as caught:
        await hops.run_at(StatementLocation(OTHER, "t1"), work)
    assert asyncio.get_running_loop().time() == begun
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.retry_after_ms is not None
    assert not hops.expects_failover(OTHER)
    assert lost == []


@in_virtual_time
async def test_hosts_of_the_own_zone_are_asked_during_a_cut() -> None:
    peers, lost = AnswerTrackingPeers(SlowWork(), LoopClock()), list[str]()
    hops = hops_to(peers, lost, cut_off=True)
    near = HostRef("h3", ME.zone, "10.0.0.3:1")
    begun = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError):
        await hops.run_at(StatementLocation(near, "t1"), a_read())
    assert asyncio.get_running_loop().time() > begun
    assert hops.expects_failover(OTHER) is False
