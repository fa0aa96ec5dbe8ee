"""Statements in progress at a home that is closed.

Guards against statements that reach a target after its home is closed: the holder of
a primary lease closes the home before it records a successor.
"""

import asyncio
from collections.abc import Awaitable
from typing import Any

import pytest

from reedhook.connection.session_connection_pool import SessionConnectionPool
from reedhook.connection.session_target import SessionTargetReply
from reedhook.connection.session_target_home import SessionTargetHome
from reedhook.decision_log import DecisionLog
from reedhook.request.refusal import RefusalError
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.request.verdict import Verdict
from reedhook_standins.database import DatabaseGroup

from .fakes_clock import LoopClock, in_virtual_time, settle
from .fakes_members import FakeDriver, FakePhrases

TEXTS = {
    SessionStatementKind.READ: "READ a",
    SessionStatementKind.WRITE: "WRITE a b",
    SessionStatementKind.COMMIT: "COMMIT",
}


class ClosedHomeWorld:
    """A home of one target, which is closed at a chosen moment."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.group = DatabaseGroup("db", ["z0"])
        self.target = self.group.primary
        self.home = SessionTargetHome(
            self.target.entry,
            FakeDriver("h1", [self.group]),
            FakePhrases(),
            2,
            clock,
            DecisionLog("h1", clock, output_fd=None),
            lambda: None,
            lambda position, asked: None,
            3.0,
        )

    def run(
        self,
        kind: SessionStatementKind,
        transaction: str = "",
        begins: bool = False,
        settings: dict[str, str] | None = None,
    ) -> "asyncio.Task[SessionTargetReply]":
        """Start a statement of a session."""
        begin = TransactionMode.WRITE if begins else TransactionMode.NONE
        work = SessionStatement(
            "db",
            "",
            "s1",
            settings or {},
            transaction,
            begin,
            None,
            kind,
            f"w-{kind.value}",
            TEXTS[kind],
            0.8,
        )
        return asyncio.ensure_future(self.home.run(work))

    async def check_refused(self, statement: Awaitable[object]) -> None:
        """Check that a statement is refused as not run and reaches no target."""
        runs = list(self.target.runs)
        with pytest.raises(RefusalError) as caught:
            await statement
        assert caught.value.verdict is Verdict.NOT_RUN
        await asyncio.sleep(1.0)
        assert self.target.runs == runs
        assert not self.target.connections
        assert not self.home.connections.lent
        assert self.home.connections.open_count == 0


@pytest.mark.parametrize(
    "kind", [SessionStatementKind.READ, SessionStatementKind.WRITE]
)
@pytest.mark.parametrize("transaction", ["", "t1"])
@in_virtual_time
async def test_connection_that_opens_while_its_home_closes_is_not_used(
    kind: SessionStatementKind, transaction: str
) -> None:
    """Guards against a statement on a connection that the close did not know."""
    world = ClosedHomeWorld()
    statement = world.run(kind, transaction, begins=bool(transaction))
    await asyncio.sleep(0.005)
    await world.home.close()
    await world.check_refused(statement)


@in_virtual_time
async def test_position_probe_does_not_use_a_home_that_closes() -> None:
    """Guards against a probe on a connection that the close did not know."""
    world = ClosedHomeWorld()
    probe = asyncio.ensure_future(world.home.probe_position(0.25))
    await asyncio.sleep(0.005)
    await world.home.close()
    await world.check_refused(probe)


@in_virtual_time
async def test_connection_granted_to_a_waiter_is_not_used_after_the_close() -> None:
    """Guards against use of a connection that is neither idle nor lent at the close."""
    world = ClosedHomeWorld()
    pool: SessionConnectionPool = world.home.connections
    lent = [await pool.borrow("s1", 0.8), await pool.borrow("s2", 0.8)]
    waiting = asyncio.ensure_future(pool.borrow("s3", 0.8))
    await settle()
    pool.give_back(lent[0])
    await world.home.close()
    pool.discard(lent[1])
    await world.check_refused(waiting)


@pytest.mark.parametrize(
    "kind", [SessionStatementKind.WRITE, SessionStatementKind.COMMIT]
)
@in_virtual_time
async def test_statement_is_not_run_if_its_home_closes_before_it_is_sent(
    kind: SessionStatementKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an unknown outcome where only session settings were sent."""
    world = ClosedHomeWorld()
    transaction = "t1" if kind is SessionStatementKind.COMMIT else ""
    if transaction:
        await world.run(SessionStatementKind.WRITE, transaction, begins=True)
    pool, close = world.home.connections, world.home.close
    apply_session_state = pool.apply_session_state

    async def apply_and_close(*args: Any) -> SessionTargetReply | None:
        reply = await apply_session_state(*args)
        await close()
        return reply

    monkeypatch.setattr(pool, "apply_session_state", apply_and_close)
    await world.check_refused(
        world.run(kind, transaction, settings={"value a": "SET a b"})
    )
