"""Session homes: reuse of connections, bounded waits and stalled targets."""

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
from reedhook_standins.promises import GuaranteeChecker, Sent

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_members import FakeDriver, FakePhrases

TEXTS = {SessionStatementKind.READ: "READ a", SessionStatementKind.WRITE: "WRITE a b"}
MANY_BUSY_REPLIES = 100


class SingleConnectionHome:
    """A home with a single connection, which sessions must share."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.group = DatabaseGroup("db", ["z0"])
        self.promises = GuaranteeChecker(self.group, asyncio.get_running_loop().time)
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
async def single_connection_home() -> AsyncIterator[SingleConnectionHome]:
    """Yield a home and check for violations by its target at the end."""
    fixture = SingleConnectionHome()
    yield fixture
    await fixture.home.close()
    assert not fixture.promises.violations


@in_virtual_time
async def test_busy_commit_frees_the_connection() -> None:
    """The target keeps the transaction open; no other session may run in it."""
    async with single_connection_home() as fixture:
        await fixture.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        fixture.group.primary.busy = MANY_BUSY_REPLIES
        reply = await fixture.run("s1", SessionStatementKind.COMMIT, "t1")
        assert reply.fault is StatementFault.BUSY
        fixture.group.primary.busy = 0
        reply = await fixture.run("s2", SessionStatementKind.READ)
        assert reply.fault is StatementFault.NONE
        assert not fixture.promises.committed


@pytest.mark.parametrize(
    "kind",
    [
        SessionStatementKind.READ,
        SessionStatementKind.WRITE,
        SessionStatementKind.COMMIT,
    ],
)
@in_virtual_time
async def test_busy_step_is_retried(
    kind: SessionStatementKind,
) -> None:
    """A refusal would cost the caller the whole transaction."""
    async with single_connection_home() as fixture:
        await fixture.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        fixture.group.primary.busy = 2
        reply = await fixture.run("s1", kind, "t1")
        assert reply.fault is StatementFault.NONE
        if kind is not SessionStatementKind.COMMIT:
            reply = await fixture.run("s1", SessionStatementKind.COMMIT, "t1")
        assert reply.fault is StatementFault.NONE
        assert fixture.promises.committed


@in_virtual_time
async def test_connection_left_in_a_transaction_is_not_reused() -> None:
    async with single_connection_home() as fixture:
        await fixture.run("s1", SessionStatementKind.READ)
        (pooled,) = fixture.home.connections.idle
        pooled.connection.session.open = "write"  # type: ignore[attr-defined]
        fixture.promises.sent["w2"] = Sent("READ a", "t", {}, {})
        fixture.sent += 1
        await fixture.home.run(
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
        assert not fixture.home.connections.idle


@in_virtual_time
async def test_wait_for_a_connection_is_bounded() -> None:
    """The caller must have time left to retry."""
    async with single_connection_home() as fixture:
        await fixture.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        started = asyncio.get_running_loop().time()
        with pytest.raises(RefusalError) as caught:
            await fixture.run("s2", SessionStatementKind.READ)
        waited = asyncio.get_running_loop().time() - started
        assert waited <= MAX_CONNECTION_WAIT_SECONDS + 0.01
        assert caught.value.reason is RefusalReason.OVERLOADED
        assert caught.value.verdict is Verdict.NOT_RUN
        assert caught.value.retry_after_ms is not None


@in_virtual_time
async def test_statement_is_refused_at_once_if_its_expected_wait_is_too_long() -> None:
    async with single_connection_home() as fixture:
        for number in range(4):
            # Four transactions of 0.4 s each set the mean lend time.
            await fixture.run(
                "s1", SessionStatementKind.WRITE, f"t{number}", first=True
            )
            await asyncio.sleep(0.4)
            await fixture.run("s1", SessionStatementKind.COMMIT, f"t{number}")
        await fixture.run("s1", SessionStatementKind.WRITE, "t", first=True)
        waiting = asyncio.ensure_future(fixture.run("s2", SessionStatementKind.READ))
        await asyncio.sleep(0.0)
        started = asyncio.get_running_loop().time()
        with pytest.raises(RefusalError) as caught:
            await fixture.run("s3", SessionStatementKind.READ)
        assert asyncio.get_running_loop().time() - started < 0.01
        assert caught.value.verdict is Verdict.NOT_RUN
        assert (caught.value.retry_after_ms or 0) >= 300
        await fixture.run("s1", SessionStatementKind.COMMIT, "t")
        assert (await waiting).fault is StatementFault.NONE


@in_virtual_time
async def test_free_connection_is_lent_despite_long_lend_times() -> None:
    async with single_connection_home() as fixture:
        for number in range(4):
            await fixture.run(
                "s1", SessionStatementKind.WRITE, f"t{number}", first=True
            )
            await asyncio.sleep(1.0)
            await fixture.run("s1", SessionStatementKind.COMMIT, f"t{number}")
        assert (
            await fixture.run("s2", SessionStatementKind.READ)
        ).fault is StatementFault.NONE


@in_virtual_time
async def test_stalled_target_refuses_new_and_queued_statements() -> None:
    """New statements are refused at once, and so are queued ones."""
    async with single_connection_home() as fixture:
        await fixture.run("s1", SessionStatementKind.READ)
        fixture.group.primary.down = True
        first = asyncio.ensure_future(fixture.run("s1", SessionStatementKind.READ))
        await asyncio.sleep(STALLED_AFTER_SECONDS + 0.01)
        started = asyncio.get_running_loop().time()
        with pytest.raises(RefusalError) as caught:
            await fixture.run("s2", SessionStatementKind.READ)
        assert asyncio.get_running_loop().time() == started
        assert caught.value.reason is RefusalReason.TARGET_UNREACHABLE
        assert caught.value.verdict is Verdict.NOT_RUN
        with pytest.raises(RefusalError):
            await first
        fixture.group.primary.down = False
        reply = await fixture.run("s1", SessionStatementKind.READ)
        assert reply.fault is StatementFault.NONE


@in_virtual_time
async def test_connection_of_an_ended_transaction_is_counted_once() -> None:
    """Guards against more open connections than the home may have."""
    async with single_connection_home() as fixture:
        await fixture.run("s1", SessionStatementKind.WRITE, "t1", first=True)
        step = asyncio.ensure_future(
            fixture.run("s1", SessionStatementKind.WRITE, "t1")
        )
        await asyncio.sleep(0.001)
        fixture.home.transactions.end("t1")
        with pytest.raises(RefusalError) as caught:
            await step
        assert caught.value.reason is RefusalReason.TRANSACTION_LOST
        assert fixture.home.connections.open_count == 0
