"""A queued statement leaves its queue when its caller disconnects.

Otherwise it takes a slot for an answer that nobody reads, just when slots are scarce.
"""

import asyncio
from collections import OrderedDict
from random import Random
from typing import Any

import pytest

from reedhook.clock import SystemClock
from reedhook.connection.admission import AdmissionRequest
from reedhook.connection.admission_queue import (
    EXTRA_IN_FLIGHT_LIMIT,
    AdmissionQueue,
    ConnectionAvailability,
)
from reedhook.connection.session import Session, SessionReply
from reedhook.connection.session_state import SessionState
from reedhook.decision_log import DecisionLog
from reedhook.peer import HostRef, PeerRoutes
from reedhook.platform.caller_listener import CallerListener
from reedhook.process.caller_sessions import CallerSessions
from reedhook.process.drain_schedule import DrainSchedule
from reedhook.process.events.timeline import Timeline
from reedhook.process.network.answer_tracking_peers import AnswerTrackingPeers
from reedhook.process.network.peer_http import HttpPeers
from reedhook.process.network.peer_server import PeerEndpoint, PeerServer
from reedhook.process.statement_server import StatementServer
from reedhook.request.caller_presence import (
    PRESENCE,
    CallerPresence,
    caller_gone_refusal,
)
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_command import SessionCommand
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    SessionStatementResult,
    TransactionMode,
)
from reedhook.request.statement_forwarder import StatementLocation
from reedhook.request.verdict import Verdict
from reedhook.version.route_table import EMPTY_ROUTE_TABLE
from reedhook.wire import Json

from .fakes_clock import LoopClock, in_virtual_time, settle
from .test_statement_forwarder import REMOTE_HOST, SlowPeers, make_forwarder

SLOTS = 2
SECRET = "a credential of the hosts"


async def full_queue() -> AdmissionQueue:
    """Return the queue of a target whose slots are taken."""
    queue = AdmissionQueue(
        "t", SLOTS, ConnectionAvailability(lambda: True, lambda: 0.0), LoopClock()
    )
    for _ in range(SLOTS + EXTRA_IN_FLIGHT_LIMIT):
        await queue.admit(request())
    return queue


def request() -> AdmissionRequest:
    """Return the request of a statement that may wait for long."""
    now = asyncio.get_running_loop().time()
    return AdmissionRequest("r", 1, now + 30.0, now + 30.0, False)


async def until_waiting(queue: AdmissionQueue, count: int) -> None:
    """Wait until so many statements wait."""
    async with asyncio.timeout(2.0):
        while len(queue.waiting) != count:
            await asyncio.sleep(0.002)


async def admit_for(presence: CallerPresence, queue: AdmissionQueue) -> None:
    """Wait in a queue on behalf of a caller."""
    PRESENCE.set(presence)
    await queue.admit(request())


@in_virtual_time
async def test_waiting_statement_is_refused_and_started_ones_go_on() -> None:
    queue = await full_queue()
    presence = CallerPresence()
    waiting = asyncio.ensure_future(admit_for(presence, queue))
    await settle()
    assert len(queue.waiting) == 1
    presence.leave()
    with pytest.raises(RefusalError) as caught:
        await waiting
    assert caught.value.reason is RefusalReason.CALLER_GONE
    assert caught.value.verdict is Verdict.NOT_RUN
    assert not queue.waiting
    assert queue.in_flight == SLOTS + EXTRA_IN_FLIGHT_LIMIT
    with pytest.raises(RefusalError):
        await admit_for(presence, queue)
    assert not presence.listeners


class QueueingSession(Session):
    """A session whose statements wait in a queue."""

    def __init__(self, queue: AdmissionQueue) -> None:
        self.queue = queue
        self.state = SessionState.IDLE

    async def run(self, id: str, command: SessionCommand) -> SessionReply:
        try:
            await self.queue.admit(request())
        except RefusalError as refusal:
            return SessionReply(self.state, refusal=refusal)
        return SessionReply(self.state)

    def close(self) -> None:
        pass


class QueueingSessions(CallerSessions):
    """Open sessions whose statements wait in one queue."""

    def __init__(self, queue: AdmissionQueue) -> None:
        self.queue = queue
        self.connections = set()
        self.clock = SystemClock()
        self.drain_schedule = DrainSchedule(self.clock, Random(1))
        self.announcements: Any = type(
            "Announcements", (), {"table": EMPTY_ROUTE_TABLE}
        )

    async def open_session(self, database: str, key: str = "") -> Session:
        return QueueingSession(self.queue)


def test_statement_of_a_session_that_has_closed_leaves_the_queue() -> None:
    async def run() -> None:
        queue = await full_queue()
        listener = CallerListener(QueueingSessions(queue), "127.0.0.1:0")
        await listener.start()
        address, _, port = listener.address.rpartition(":")
        _, writer = await asyncio.open_connection(address, int(port))
        writer.write(b"START db\r\nQUERY 1 READ a\r\n")
        await until_waiting(queue, 1)
        writer.close()
        await until_waiting(queue, 0)
        listener.stop()

    asyncio.run(run())


def test_statement_of_another_host_leaves_the_queue_when_its_call_ends() -> None:
    async def run() -> None:
        queue = await full_queue()

        async def handle(body: Json) -> Json:
            await queue.admit(request())
            return {}

        routes = PeerRoutes()
        routes.add("work", handle)
        timeline = Timeline("there", SystemClock())
        server = PeerServer(PeerEndpoint(routes, SECRET, timeline), "127.0.0.1:0")
        await server.start()
        there = HostRef("there", "z", server.address)
        here = HostRef("here", "z", "127.0.0.1:0")
        peers = HttpPeers(here, SECRET, timeline, SystemClock())
        call = asyncio.ensure_future(peers.call(there, "work", {}, 30.0))
        await until_waiting(queue, 1)
        call.cancel()
        await until_waiting(queue, 0)
        await peers.close()
        await server.stop()

    asyncio.run(run())


def make_work(kind: SessionStatementKind) -> SessionStatement:
    """Return a statement outside transactions."""
    return SessionStatement(
        "db", "", "s", {}, "", TransactionMode.NONE, None, kind, "i", "READ a", 0.8
    )


@pytest.mark.parametrize(
    ("kind", "verdict"),
    [
        (SessionStatementKind.READ, Verdict.NOT_RUN),
        (SessionStatementKind.WRITE, Verdict.MAY_HAVE_RUN),
    ],
)
@in_virtual_time
async def test_call_to_another_host_ends_when_the_caller_disconnects(
    kind: SessionStatementKind, verdict: Verdict
) -> None:
    """A write may have started at the other host, so its verdict is unknown."""
    lost_hosts: list[str] = []
    forwarder = make_forwarder(
        AnswerTrackingPeers(SlowPeers(), LoopClock()), lost_hosts
    )
    presence = CallerPresence()
    PRESENCE.set(presence)
    location = StatementLocation(REMOTE_HOST, "")
    running = asyncio.ensure_future(forwarder.run_at(location, make_work(kind)))
    await asyncio.sleep(0.05)
    presence.leave()
    with pytest.raises(RefusalError) as caught:
        await running
    assert asyncio.get_running_loop().time() == 0.05
    assert caught.value.reason is RefusalReason.CALLER_GONE
    assert caught.value.verdict is verdict
    assert not lost_hosts


class DroppingStatementServer(StatementServer):
    """Drop each write from its queue, as for a caller that has disconnected."""

    def __init__(self) -> None:
        self.outcomes = OrderedDict()
        self.clock = LoopClock()
        self.decisions = DecisionLog("h1", self.clock, output_fd=None)
        self.runs = 0

    async def run(self, work: SessionStatement) -> SessionStatementResult:
        self.runs += 1
        raise caller_gone_refusal()


@in_virtual_time
async def test_resent_write_that_was_dropped_from_the_queue_is_not_in_doubt() -> None:
    """The connection of the calling host may have failed while its caller stayed."""
    server = DroppingStatementServer()
    work = make_work(SessionStatementKind.WRITE)
    with pytest.raises(RefusalError):
        await server.execute(work)
    work.resent = True
    with pytest.raises(RefusalError) as caught:
        await server.execute(work)
    assert caught.value.verdict is Verdict.NOT_RUN
    assert server.runs == 1
    work.resent = False
    with pytest.raises(RefusalError):
        await server.execute(work)
    assert server.runs == 2
