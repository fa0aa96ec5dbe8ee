"""The home of a target whose answers leave a transaction open."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from reedhook.connection.session_connection_pool import MAX_CONNECTION_WAIT_SECONDS
from reedhook.connection.session_target import SessionTargetReply, StatementFault
from reedhook.connection.session_target_home import (
    STALLED_AFTER_SECONDS,
    SessionTargetHome,
)
from reedhook.decision_log import DecisionLog
from reedhook.request.refusal import RefusalError, RefusalReason
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.request.verdict import Verdict
from reedhook_standins.database import DatabaseGroup
from reedhook_standins.promises import Promises, Sent

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_members import FakeDriver, FakePhrases

TEXTS = {SessionStatementKind.READ: "READ a", SessionStatementKind.WRITE: "WRITE a b"}
MANY = 100


class OneConnection:
    """A home with a single connection, so that sessions must share it."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.group = DatabaseGroup("db", ["z0"])
        self.promises = Promises(self.group, asyncio.get_running_loop().time)
        self.promises.watch()
        self.sent = 0
        self.home = SessionTargetHome(
            self.group.primary.entry,
            FakeDriver("h1", [self.group]),
            FakePhrases(),
            1,
            clock,
            DecisionLog("h1", clock, output_fd=None),
            lambda: None,
            lambda position, asked: None,
            3.0,
        )

    async def run(
        self,
        session: str,
        kind: SessionStatementKind,
        transaction: str = "",
        first: bool = False,
    ) -> SessionTargetReply:
        """Run one statement."""
        self.sent += 1
        id, text = f"w{self.sent}", TEXTS.get(kind, "COMMIT")
        self.promises.sent[id] = Sent(text, transaction, {}, {})
        begin = TransactionMode.WRITE if first else TransactionMode.NONE
        work = SessionStatement(
            "db", "", session, {}, transaction, begin, None, kind, id, text, 0.8
        )
        return await self.home.run(work)


@asynccontextmanager
async def one_connection() -> AsyncIterator[OneConnection]:
    """Yield a home; what its target ran is judged at the end."""
    one = OneConnection()
    yield one
    await one.home.close()
    assert not one.promises.violations


@in_virtual_time
async def test_a_commit_that_is_turned_away_frees_the_connection() -> None:
    """The target keeps the transaction open; nobody else may meet it."""
    async with one_connection() as one:
        await one.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        one.group.primary.busy = MANY
        reply = await one.run("s1", SessionStatementKind.COMMIT, "t1")
        assert reply.fault is StatementFault.BUSY
        one.group.primary.busy = 0
        reply = await one.run("s2", SessionStatementKind.READ)
        assert reply.fault is StatementFault.NONE
        assert not one.promises.committed


@pytest.mark.parametrize(
    "kind",
    [
        SessionStatementKind.READ,
        SessionStatementKind.WRITE,
        SessionStatementKind.COMMIT,
    ],
)
@in_virtual_time
async def test_a_step_that_is_turned_away_is_tried_again(
    kind: SessionStatementKind,
) -> None:
    """Else a full queue would cost the caller its whole transaction."""
    async with one_connection() as one:
        await one.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        one.group.primary.busy = 2
        reply = await one.run("s1", kind, "t1")
        assert reply.fault is StatementFault.NONE
        if kind is not SessionStatementKind.COMMIT:
            reply = await one.run("s1", SessionStatementKind.COMMIT, "t1")
        assert reply.fault is StatementFault.NONE
        assert one.promises.committed


@in_virtual_time
async def test_a_single_statement_that_left_a_transaction_open_is_not_shared() -> None:
    async with one_connection() as one:
        await one.run("s1", SessionStatementKind.READ)
        (lane,) = one.home.connections.idle
        lane.connection.session.open = "write"  # type: ignore[attr-defined]
        one.promises.sent["w2"] = Sent("READ a", "t", {}, {})
        one.sent += 1
        await one.home.run(
            SessionStatement(
                "db",
                "",
                "s1",
                {},
                "",
                TransactionMode.NONE,
                None,
                SessionStatementKind.READ,
                "w2",
                "READ a",
                0.8,
            )
        )
        assert not one.home.connections.idle


@in_virtual_time
async def test_a_statement_waits_for_a_connection_for_a_bounded_time() -> None:
    """Waiting to the end of its time would leave the caller none to try again."""
    async with one_connection() as one:
        await one.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        begun = asyncio.get_running_loop().time()
        with pytest.raises(RefusalError) as caught:
            await one.run("s2", SessionStatementKind.READ)
        waited = asyncio.get_running_loop().time() - begun
        assert waited <= MAX_CONNECTION_WAIT_SECONDS + 0.01
        assert caught.value.reason is RefusalReason.OVERLOADED
        assert caught.value.verdict is Verdict.NOT_RUN
        assert caught.value.retry_after_ms is not None


@in_virtual_time
async def test_a_statement_behind_too_many_others_is_refused_at_once() -> None:
    async with one_connection() as one:
        for number in range(4):
            # Four transactions of 0.4 s each tell how long connections are lent.
            await one.run("s1", SessionStatementKind.WRITE, f"t{number}", first=True)
            await asyncio.sleep(0.4)
            await one.run("s1", SessionStatementKind.COMMIT, f"t{number}")
        await one.run("s1", SessionStatementKind.WRITE, "t", first=True)
        waiting = asyncio.ensure_future(one.run("s2", SessionStatementKind.READ))
        await asyncio.sleep(0.0)
        begun = asyncio.get_running_loop().time()
        with pytest.raises(RefusalError) as caught:
            await one.run("s3", SessionStatementKind.READ)
        assert asyncio.get_running_loop().time() - begun < 0.01
        assert caught.value.verdict is Verdict.NOT_RUN
        assert (caught.value.retry_after_ms or 0) >= 300
        await one.run("s1", SessionStatementKind.COMMIT, "t")
        assert (await waiting).fault is StatementFault.NONE


@in_virtual_time
async def test_a_free_connection_is_lent_whatever_others_waited_for() -> None:
    async with one_connection() as one:
        for number in range(4):
            await one.run("s1", SessionStatementKind.WRITE, f"t{number}", first=True)
            await asyncio.sleep(1.0)
            await one.run("s1", SessionStatementKind.COMMIT, f"t{number}")
        assert (
            await one.run("s2", SessionStatementKind.READ)
        ).fault is StatementFault.NONE


@in_virtual_time
async def test_nobody_waits_for_a_target_that_answers_nothing() -> None:
    """Its home refuses at once, and whoever waits there by then."""
    async with one_connection() as one:
        await one.run("s1", SessionStatementKind.READ)
        one.group.primary.down = True
        first = asyncio.ensure_future(one.run("s1", SessionStatementKind.READ))
        await asyncio.sleep(STALLED_AFTER_SECONDS + 0.01)
        begun = asyncio.get_running_loop().time()
        with pytest.raises(RefusalError) as caught:
            await one.run("s2", SessionStatementKind.READ)
        assert asyncio.get_running_loop().time() == begun
        assert caught.value.reason is RefusalReason.TARGET_UNREACHABLE
        assert caught.value.verdict is Verdict.NOT_RUN
        with pytest.raises(RefusalError):
            await first
        one.group.primary.down = False
        reply = await one.run("s1", SessionStatementKind.READ)
        assert reply.fault is StatementFault.NONE
