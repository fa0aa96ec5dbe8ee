"""Tests of the line protocol with callers and targets over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reedhook.connection.session_target import (
    SessionTargetFullError,
    SessionTargetNoReplyError,
    SessionTargetUnreachableError,
    StatementFault,
    TargetQuery,
    WrongTargetError,
)
from reedhook.platform.caller_listener import CallerListener, refusal_fields
from reedhook.platform.driver import WireDriver
from reedhook.process.caller_sessions import CallerSessions
from reedhook.request.position import Position
from reedhook.request.refusal import RefusalReason, may_have_run, not_run
from reedhook.version.route_table import TargetAnnouncement
from reedhook_standins.wiremember import WireMemberStandIn

from .session_world import SessionWorld

TIMEOUT = 2.0
LAGGING = b"ERROR LAGGING i-1\r\nREADY I 3.4\r\n"
STATUS = b"ROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n"


def with_member(
    test: Callable[[WireMemberStandIn, TargetAnnouncement], Awaitable[None]],
    answers: dict[str, bytes] | None = None,
) -> None:
    """Run a test with a stand-in target and its announcement."""

    async def run() -> None:
        member = WireMemberStandIn(answers)
        await member.start()
        announcement = TargetAnnouncement(
            "i-1", "huvo11a", member.address, "z", False, False
        )
        try:
            await test(member, announcement)
        finally:
            await member.stop()

    asyncio.run(run())


def test_pipelined_queries_are_answered_in_order() -> None:
    async def test(member: WireMemberStandIn, announcement: TargetAnnouncement) -> None:
        connection = await WireDriver("reedhook").connect(announcement, TIMEOUT)
        queries = [
            TargetQuery("", "RESET"),
            TargetQuery("5c0e", "READ a", Position(3, 9)),
            TargetQuery("5c0f", "READ b"),
        ]
        replies = await connection.exchange(queries, TIMEOUT)
        assert [one.fault for one in replies] == [
            StatementFault.NONE,
            StatementFault.LAGGING,
            StatementFault.NONE,
        ]
        assert replies[1].detail == "i-1"
        assert replies[2].rows == ["a b"]
        assert replies[2].signature == "mac"
        assert replies[2].position == Position(3, 8)
        assert member.asked == [
            "START huvo11a reedhook i-1",
            "QUERY - RESET",
            "QUERY 5c0e AFTER 3.9 READ a",
            "QUERY 5c0f READ b",
        ]
        connection.close()

    with_member(test, {"AFTER 3.9 READ a": LAGGING})


def test_status_of_a_target_is_parsed() -> None:
    async def test(member: WireMemberStandIn, announcement: TargetAnnouncement) -> None:
        connection = await WireDriver("reedhook").connect(announcement, TIMEOUT)
        status = await connection.status(TIMEOUT)
        assert not status.is_primary
        assert (status.term, status.received) == (3, Position(3, 1209))
        assert status.connections == 17

    with_member(test, {"STATUS": STATUS})


@pytest.mark.parametrize(
    "answer, error",
    [
        (b"ERROR OVERLOADED i-1\r\n", SessionTargetFullError),
        (b"ERROR MISROUTED i-9\r\n", WrongTargetError),
        (b"ERROR BUSY x\r\n", SessionTargetUnreachableError),
    ],
)
def test_refused_start_raises_the_specific_error(
    answer: bytes, error: type[SessionTargetUnreachableError]
) -> None:
    async def test(member: WireMemberStandIn, announcement: TargetAnnouncement) -> None:
        member.start_answer = answer
        with pytest.raises(error):
            await WireDriver("reedhook").connect(announcement, TIMEOUT)

    with_member(test)


@pytest.mark.parametrize(
    "answer",
    [b"ROW half\r\nREADY I", b"WHAT\r\n", b"READY I x.y\r\n", b"\xff\r\n"],
)
def test_malformed_reply_raises_no_reply_and_closes(
    answer: bytes,
) -> None:
    async def test(member: WireMemberStandIn, announcement: TargetAnnouncement) -> None:
        connection = await WireDriver("reedhook").connect(announcement, TIMEOUT)
        with pytest.raises(SessionTargetNoReplyError):
            await connection.exchange([TargetQuery("1", "READ a")], 0.1)
        assert connection.closed

    with_member(test, {"READ a": answer})


def test_connect_to_a_silent_target_times_out() -> None:
    async def test(member: WireMemberStandIn, announcement: TargetAnnouncement) -> None:
        member.silent = True
        with pytest.raises(SessionTargetUnreachableError):
            await WireDriver("reedhook").connect(announcement, 0.05)

    with_member(test)


class CallerClient:
    """Hold the connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> str:
        """Send bytes and return the next line."""
        self.writer.write(data)
        return (await self.reader.readline()).decode("latin-1").rstrip("\r\n")

    async def next(self) -> str:
        """Return the next line; empty at the end of the connection."""
        return (await self.reader.readline()).decode("latin-1").rstrip("\r\n")


def with_listener(
    test: Callable[[CallerSessions, CallerClient, SessionWorld], Awaitable[None]],
) -> None:
    """Run a test with a listener whose host has a configuration but no target."""

    async def run() -> None:
        world = SessionWorld(zones=1, hosts_a_zone=1)
        world.configure(1, ["tickets", "views"])
        host = await world.start_host(world.refs[0])
        await host.announcements.configured.wait()
        listener = CallerListener(host.caller_sessions, "127.0.0.1:0")
        await listener.start()
        address, _, port = listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        try:
            await test(host.caller_sessions, CallerClient(reader, writer), world)
        finally:
            writer.close()
            listener.stop()
            await world.stop()

    asyncio.run(run())


def test_session_answers_statements_that_need_no_target() -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        assert await caller.send(b"START tickets u1\r\n") == "READY I -"
        assert await caller.send(b"QUERY 1 SET a b\r\n") == "COMPLETE -"
        assert await caller.next() == "READY I -"
        assert await caller.send(b"QUERY 2 PREPARE s READ q\r\n") == "COMPLETE -"
        assert await caller.next() == "READY I -"
        assert await caller.send(b"QUERY 3 BEGIN\r\n") == "COMPLETE -"
        assert await caller.next() == "READY T -"
        assert await caller.send(b"QUERY 4 BEGIN\r\n") == (
            "ERROR MALFORMED a transaction is open already"
        )
        assert await caller.next() == "READY E -"
        assert await caller.send(b"QUERY 5 ROLLBACK\r\n") == "COMPLETE -"
        assert await caller.next() == "READY I -"
        assert (await caller.send(b"QUERY 6 EXECUTE x a\r\n")).startswith(
            "ERROR UNKNOWN"
        )
        assert await caller.next() == "READY I -"

    with_listener(test)


@pytest.mark.parametrize(
    "start, code",
    [
        (b"START nobody u1\r\n", "ERROR NODATABASE "),
        (b"START \r\n", "ERROR MALFORMED "),
        (b"GET / HTTP/1.1\r\n", "ERROR MALFORMED "),
        (b"START tickets\nQUERY 1 WRITE a b\r\n", "ERROR MALFORMED "),
    ],
)
def test_invalid_start_is_refused_and_closed(start: bytes, code: str) -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        assert (await caller.send(start)).startswith(code)
        assert await caller.next() == ""

    with_listener(test)


def test_line_with_embedded_newline_closes_the_session() -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        await caller.send(b"START tickets u1\r\n")
        answer = await caller.send(b"QUERY 1 READ a\nQUERY 2 WRITE a b\r\n")
        assert answer.startswith("ERROR MALFORMED")
        assert await caller.next() == ""
        assert all(not one.runs for one in world.group.members.values())

    with_listener(test)


def test_draining_host_closes_idle_sessions() -> None:
    async def test(
        callers: CallerSessions, caller: CallerClient, world: SessionWorld
    ) -> None:
        await caller.send(b"START tickets u1\r\n")
        draining = asyncio.create_task(callers.drain(0.5))
        assert await caller.next() == ""
        draining.cancel()

    with_listener(test)


def test_refusals_carry_their_code_and_retry_delay() -> None:
    refusal = not_run(RefusalReason.NO_PRIMARY, "no primary", 150)
    assert refusal_fields(refusal) == ("BUSY", "retry_after_ms=150 no primary")
    lost = not_run(RefusalReason.TRANSACTION_LOST, "lost")
    assert refusal_fields(lost) == ("ABORTED", "lost")
    doubt = may_have_run(RefusalReason.TARGET_UNREACHABLE, "no answer")
    assert refusal_fields(doubt) == ("INDOUBT", "no answer")
