"""Calls to other hosts: live hosts reported lost, or long waits for lost hosts."""

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

LOCAL_HOST = HostRef("h1", "z1", "10.0.0.1:1")
REMOTE_HOST = HostRef("h2", "z2", "10.0.0.2:1")


class SlowPeers(PeerClient):
    """Answer all calls but statements, which time out."""

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        await asyncio.sleep(0.003)
        if path != "work":
            return {}
        await asyncio.sleep(timeout)
        raise PeerError("no answer", sent=True)

    async def close(self) -> None:
        pass


class UnusedStatementServer(StatementServer):
    """Stand in for a local statement server that the tests do not use."""

    def __init__(self) -> None:
        pass


def make_forwarder(
    peers: AnswerTrackingPeers, lost_hosts: list[str], cut_off: bool = False
) -> StatementForwarder:
    """Return a forwarder that adds the hosts it reports lost to `lost_hosts`."""
    clock = LoopClock()
    decisions = DecisionLog("h1", clock, output_fd=None)
    forwarder = StatementForwarder(
        LOCAL_HOST, UnusedStatementServer(), peers, lambda: cut_off, clock, decisions
    )
    forwarder.on_host_lost = lambda host: lost_hosts.append(host.host)
    return forwarder


def make_read() -> SessionStatement:
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


async def run_refused_read(forwarder: StatementForwarder) -> RefusalError:
    """Return the refusal of a read; fail if it succeeds."""
    with pytest.raises(RefusalError) as caught:
        await forwarder.run_at(StatementLocation(REMOTE_HOST, "t1"), make_read())
    return caught.value


@in_virtual_time
async def test_host_that_answers_other_calls_is_not_lost() -> None:
    peers, lost_hosts = AnswerTrackingPeers(SlowPeers(), LoopClock()), list[str]()
    forwarder = make_forwarder(peers, lost_hosts)
    waiting = asyncio.ensure_future(run_refused_read(forwarder))
    await asyncio.sleep(0.2)
    await peers.call(REMOTE_HOST, "alive", {}, 1.0)
    refusal = await waiting
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is RefusalReason.HOST_UNREACHABLE
    assert not lost_hosts and not forwarder.lost_since
    forwarder.check_host(REMOTE_HOST)


class UnresponsivePeers(SlowPeers):
    """Answer no call while `silent` is set."""

    def __init__(self) -> None:
        self.silent = False

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        if not self.silent:
            return await super().call(peer, path, body, timeout)
        await asyncio.sleep(timeout)
        raise PeerError("no answer", sent=True)


@in_virtual_time
async def test_unresponsive_host_is_reported_lost_quickly() -> None:
    peer_client = UnresponsivePeers()
    peers, lost_hosts = AnswerTrackingPeers(peer_client, LoopClock()), list[str]()
    forwarder = make_forwarder(peers, lost_hosts)
    await peers.call(REMOTE_HOST, "alive", {}, 1.0)
    peer_client.silent = True
    await asyncio.sleep(0.2)
    started_at = asyncio.get_running_loop().time()
    await run_refused_read(forwarder)
    assert lost_hosts == ["h2"]
    assert "h2" in forwarder.lost_since
    # The read must still reach another host before the soft deadline of 0.3 s.
    assert asyncio.get_running_loop().time() - started_at < 0.25


@pytest.mark.parametrize(
    "kind", [SessionStatementKind.READ, SessionStatementKind.WRITE]
)
@in_virtual_time
async def test_transaction_at_unresponsive_host_is_refused_quickly(
    kind: SessionStatementKind,
) -> None:
    peer_client = UnresponsivePeers()
    peer_client.silent = True
    forwarder = make_forwarder(AnswerTrackingPeers(peer_client, LoopClock()), [])
    statement = make_read()
    statement.kind, statement.transaction = kind, "t"
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError) as caught:
        await forwarder.run_at(StatementLocation(REMOTE_HOST, "t1"), statement)
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert caught.value.verdict is Verdict.NOT_RUN
    assert asyncio.get_running_loop().time() - started_at < 0.25


@in_virtual_time
async def test_write_at_unresponsive_host_waits_until_deadline() -> None:
    peer_client = UnresponsivePeers()
    peer_client.silent = True
    forwarder = make_forwarder(AnswerTrackingPeers(peer_client, LoopClock()), [])
    statement = make_read()
    statement.kind = SessionStatementKind.WRITE
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError) as caught:
        await forwarder.run_at(StatementLocation(REMOTE_HOST, "t1"), statement)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert asyncio.get_running_loop().time() - started_at > statement.remaining


@in_virtual_time
async def test_read_waits_for_host_that_answers_probe() -> None:
    peers, lost_hosts = AnswerTrackingPeers(SlowPeers(), LoopClock()), list[str]()
    forwarder = make_forwarder(peers, lost_hosts)
    started_at = asyncio.get_running_loop().time()
    refusal = await run_refused_read(forwarder)
    assert refusal.reason is RefusalReason.HOST_UNREACHABLE
    assert (
        asyncio.get_running_loop().time() - started_at > READ_WAIT_LIMIT_SECONDS - 0.01
    )
    assert not lost_hosts


@pytest.mark.parametrize(
    "kind", [SessionStatementKind.READ, SessionStatementKind.WRITE]
)
@in_virtual_time
async def test_statement_for_unreachable_zone_is_refused_at_once(
    kind: SessionStatementKind,
) -> None:
    peers, lost_hosts = AnswerTrackingPeers(SlowPeers(), LoopClock()), list[str]()
    forwarder = make_forwarder(peers, lost_hosts, cut_off=True)
    statement = make_read()
    statement.kind = kind
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError) as caught:
        await forwarder.run_at(StatementLocation(REMOTE_HOST, "t1"), statement)
    assert asyncio.get_running_loop().time() == started_at
    assert caught.value.verdict is Verdict.NOT_RUN
    assert caught.value.retry_after_ms is not None
    assert not forwarder.expects_failover(REMOTE_HOST)
    assert lost_hosts == []


@in_virtual_time
async def test_isolated_zone_still_uses_hosts_of_same_zone() -> None:
    peers, lost_hosts = AnswerTrackingPeers(SlowPeers(), LoopClock()), list[str]()
    forwarder = make_forwarder(peers, lost_hosts, cut_off=True)
    near = HostRef("h3", LOCAL_HOST.zone, "10.0.0.3:1")
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(RefusalError):
        await forwarder.run_at(StatementLocation(near, "t1"), make_read())
    assert asyncio.get_running_loop().time() > started_at
    assert forwarder.expects_failover(REMOTE_HOST) is False


class LaggingPeers(SlowPeers):
    """Answer statements after a moment with a replica's lag."""

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        await asyncio.sleep(0.005)
        return {
            "target": "t1",
            "rows": [],
            "signature": "",
            "position": [1, 1],
            "fault": "lagging",
        }


@in_virtual_time
async def test_read_in_progress_keeps_its_remaining_time_for_a_hedge() -> None:
    """The second attempt copies the statement while the first is in progress."""
    forwarder = make_forwarder(AnswerTrackingPeers(LaggingPeers(), LoopClock()), [])
    read = make_read()
    location = StatementLocation(REMOTE_HOST, "t1")
    first = asyncio.ensure_future(forwarder.run_at(location, read))
    await asyncio.sleep(0.002)
    assert read.remaining == 0.8
    await first


@in_virtual_time
async def test_read_keeps_its_soft_deadline_for_the_next_target() -> None:
    """A replica that lags must not extend the time that the read may wait elsewhere.

    The shorter time limit of a call to another host replaced the remaining time, and
    the difference was added to the soft deadline before the next attempt.
    """
    clock = LoopClock()
    forwarder = make_forwarder(AnswerTrackingPeers(LaggingPeers(), clock), [])
    read = make_read()
    deadline = clock.monotonic() + read.remaining
    soft_deadline = clock.monotonic() + read.soft_deadline_seconds
    await forwarder.run_at(StatementLocation(REMOTE_HOST, "t1"), read)
    read.subtract_elapsed(read.remaining - (deadline - clock.monotonic()))
    assert read.remaining == pytest.approx(deadline - clock.monotonic())
    assert read.soft_deadline_seconds == pytest.approx(
        soft_deadline - clock.monotonic()
    )
