"""Both ends of the platform's wire, on real sockets."""

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
    """Run a test with a stand-in of a target."""

    async def run() -> None:
        member = WireMemberStandIn(answers)
        await member.start()
        entry = TargetAnnouncement("i-1", "huvo11a", member.address, "z", False, False)
        try:
            await test(member, entry)
        finally:
            await member.stop()

    asyncio.run(run())


def test_queries_that_travel_together_are_answered_in_order() -> None:
    async def test(member: WireMemberStandIn, entry: TargetAnnouncement) -> None:
        connection = await WireDriver("reedhook").connect(entry, TIMEOUT)
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


def test_the_state_of_a_target_is_read() -> None:
    async def test(member: WireMemberStandIn, entry: TargetAnnouncement) -> None:
        connection = await WireDriver("reedhook").connect(entry, TIMEOUT)
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
def test_a_start_that_is_refused_says_why(
    answer: bytes, error: type[SessionTargetUnreachableError]
) -> None:
    async def test(member: WireMemberStandIn, entry: TargetAnnouncement) -> None:
        member.start_answer = answer
        with pytest.raises(error):
            await WireDriver("reedhook").connect(entry, TIMEOUT)

    with_member(test)


@pytest.mark.parametrize(
    "answer",
    [b"ROW half\r\nREADY I", b"WHAT\r\n", b"READY I x.y\r\n", b"\xff\r\n"],
)
def test_an_answer_that_cannot_be_read_leaves_the_exchange_in_doubt(
    answer: bytes,
) -> None:
    async def test(member: WireMemberStandIn, entry: TargetAnnouncement) -> None:
        connection = await WireDriver("reedhook").connect(entry, TIMEOUT)
        with pytest.raises(SessionTargetNoReplyError):
            await connection.exchange([TargetQuery("1", "READ a")], 0.1)
        assert connection.closed

    with_member(test, {"READ a": answer})


def test_a_silent_target_is_given_up() -> None:
    async def test(member: WireMemberStandIn, entry: TargetAnnouncement) -> None:
        member.silent = True
        with pytest.raises(SessionTargetUnreachableError):
            await WireDriver("reedhook").connect(entry, 0.05)

    with_member(test)


class Line:
    """One caller's connection to the front."""

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
        """Return the next line; empty at the end."""
        return (await self.reader.readline()).decode("latin-1").rstrip("\r\n")


def with_front(
    test: Callable[[CallerSessions, Line, SessionWorld], Awaitable[None]],
) -> None:
    """Run a test with a front whose host knows a configuration and no target."""

    async def run() -> None:
        world = SessionWorld(zones=1, hosts_a_zone=1)
        world.configure(1, ["tickets", "views"])
        host = await world.start_host(world.refs[0])
        await host.announcements.configured.wait()
        front = CallerListener(host.caller_sessions, "127.0.0.1:0")
        await front.start()
        address, _, port = front.address.rpartition(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        try:
            await test(host.caller_sessions, Line(reader, writer), world)
        finally:
            writer.close()
            front.stop()
            await world.stop()

    asyncio.run(run())


def test_a_session_answers_what_needs_no_target() -> None:
    async def test(callers: CallerSessions, line: Line, world: SessionWorld) -> None:
        assert await line.send(b"START tickets u1\r\n") == "READY I -"
        assert await line.send(b"QUERY 1 SET a b\r\n") == "COMPLETE -"
        assert await line.next() == "READY I -"
        assert await line.send(b"QUERY 2 PREPARE s READ q\r\n") == "COMPLETE -"
        assert await line.next() == "READY I -"
        assert await line.send(b"QUERY 3 BEGIN\r\n") == "COMPLETE -"
        assert await line.next() == "READY T -"
        assert await line.send(b"QUERY 4 BEGIN\r\n") == (
            "ERROR MALFORMED a transaction is open already"
        )
        assert await line.next() == "READY E -"
        assert await line.send(b"QUERY 5 ROLLBACK\r\n") == "COMPLETE -"
        assert await line.next() == "READY I -"
        assert (await line.send(b"QUERY 6 EXECUTE x a\r\n")).startswith("ERROR UNKNOWN")
        assert await line.next() == "READY I -"

    with_front(test)


@pytest.mark.parametrize(
    "first, code",
    [
        (b"START nobody u1\r\n", "ERROR NODATABASE "),
        (b"START \r\n", "ERROR MALFORMED "),
        (b"GET / HTTP/1.1\r\n", "ERROR MALFORMED "),
        (b"START tickets\nQUERY 1 WRITE a b\r\n", "ERROR MALFORMED "),
    ],
)
def test_a_start_that_makes_no_sense_is_refused_and_closed(
    first: bytes, code: str
) -> None:
    async def test(callers: CallerSessions, line: Line, world: SessionWorld) -> None:
        assert (await line.send(first)).startswith(code)
        assert await line.next() == ""

    with_front(test)


def test_a_smuggled_statement_closes_the_session() -> None:
    async def test(callers: CallerSessions, line: Line, world: SessionWorld) -> None:
        await line.send(b"START tickets u1\r\n")
        answer = await line.send(b"QUERY 1 READ a\nQUERY 2 WRITE a b\r\n")
        assert answer.startswith("ERROR MALFORMED")
        assert await line.next() == ""
        assert all(not one.runs for one in world.group.members.values())

    with_front(test)


def test_a_host_that_ends_closes_idle_sessions() -> None:
    async def test(callers: CallerSessions, line: Line, world: SessionWorld) -> None:
        await line.send(b"START tickets u1\r\n")
        draining = asyncio.create_task(callers.drain(0.5))
        assert await line.next() == ""
        draining.cancel()

    with_front(test)


def test_refusals_carry_their_code_and_when_to_come_back() -> None:
    refusal = not_run(RefusalReason.NO_PRIMARY, "no primary", 150)
    assert refusal_fields(refusal) == ("BUSY", "retry_after_ms=150 no primary")
    lost = not_run(RefusalReason.TRANSACTION_LOST, "lost")
    assert refusal_fields(lost) == ("ABORTED", "lost")
    doubt = may_have_run(RefusalReason.TARGET_UNREACHABLE, "no answer")
    assert refusal_fields(doubt) == ("INDOUBT", "no answer")
