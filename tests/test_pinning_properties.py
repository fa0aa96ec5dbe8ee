"""Sessions that share connections in turns never meet each other's state."""

import asyncio
from typing import TypeAlias

from hypothesis import given, settings, strategies as st

from reedhook.connection.session_target import SessionTargetReply, StatementFault
from reedhook.connection.session_target_home import SessionTargetHome
from reedhook.decision_log import DecisionLog
from reedhook.request.refusal import RefusalError
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.version.route_table import RouteConsistency
from reedhook_standins.database import DatabaseGroup
from reedhook_standins.promises import Promises, Sent, Viewer

from .fakes_clock import LoopClock, run_virtual
from .fakes_members import FakeDriver, FakePhrases

Step: TypeAlias = tuple[int, str, str]
"""A session, what it does, and with which value."""

SESSIONS = 4
CONNECTIONS = 2
STEPS = st.lists(
    st.tuples(
        st.integers(0, SESSIONS - 1),
        st.sampled_from(
            "set prepare deallocate read write begin commit rollback break".split()
        ),
        st.sampled_from(["1", "2", "3"]),
    ),
    min_size=5,
    max_size=40,
)


class SessionOfHome:
    """Hold what one session has set and prepared, and its transaction."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.state: dict[str, str] = {}
        self.values: dict[str, str] = {}
        self.prepared: dict[str, bool] = {}
        self.transaction = ""
        self.opened = False
        self.sent = 0

    def work(self, kind: SessionStatementKind, text: str) -> SessionStatement:
        """Return the next statement."""
        self.sent += 1
        first = bool(self.transaction) and not self.opened
        return SessionStatement(
            service="db",
            target="",
            session=self.name,
            settings=dict(self.state),
            transaction=self.transaction,
            begin=TransactionMode.WRITE if first else TransactionMode.NONE,
            min_position=None,
            kind=kind,
            id=f"{self.name}-{self.sent}",
            text=text,
            remaining=0.5,
        )


class HomeOfSessions:
    """Drive a home with the steps of many sessions."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.group = DatabaseGroup("db", ["z0"])
        self.promises = Promises(self.group, asyncio.get_running_loop().time)
        self.promises.watch()
        self.home = SessionTargetHome(
            self.group.primary.entry,
            FakeDriver("h1", [self.group]),
            FakePhrases(),
            CONNECTIONS,
            clock,
            DecisionLog("h1", clock, output_fd=None),
            lambda: None,
            lambda position, asked: None,
            3.0,
        )
        self.sessions = [SessionOfHome(f"s{one}") for one in range(SESSIONS)]

    async def step(self, step: Step) -> None:
        """Take one step of one session."""
        number, what, value = step
        session = self.sessions[number]
        if what == "set":
            session.state["value v"] = f"SET v {value}"
            session.values["v"] = value
        elif what == "prepare":
            writes = value == "1"
            shape = "WRITE" if writes else "READ"
            session.state[f"prepared p{value}"] = f"PREPARE p{value} {shape} q"
            session.prepared[f"p{value}"] = writes
        elif what == "deallocate":
            session.state.pop(f"prepared p{value}", None)
            session.prepared.pop(f"p{value}", None)
        elif what == "begin" and not session.transaction:
            session.transaction = f"{session.name}.t{session.sent}"
            session.opened = False
        elif what == "rollback" or what == "break":
            self.end(session, what)
        elif what in ("read", "write"):
            kind = (
                SessionStatementKind.READ
                if what == "read"
                else SessionStatementKind.WRITE
            )
            await self.run(session, kind, "READ a" if what == "read" else "WRITE a b")
        elif what == "commit" and session.opened:
            await self.run(session, SessionStatementKind.COMMIT, "COMMIT")
            session.transaction = ""

    def end(self, session: SessionOfHome, what: str) -> None:
        """Roll a transaction back, or lose the connections that are idle."""
        if what == "break":
            self.home.connections.drop_idle()
            return
        self.home.transactions.end(session.transaction)
        session.transaction = ""

    async def run(
        self, session: SessionOfHome, kind: SessionStatementKind, text: str
    ) -> None:
        """Run a statement and check what it met."""
        work = session.work(kind, text)
        self.promises.sent[work.id] = Sent(
            text, work.transaction, dict(session.values), dict(session.prepared)
        )
        try:
            reply = await self.home.run(work)
        except RefusalError:
            # No connection came free: nothing ran.
            assert work.id not in self.group.primary.runs
            self.home.transactions.end(session.transaction)
            session.transaction = ""
            return
        session.opened = bool(session.transaction)
        self.judge(session, reply)

    def judge(self, session: SessionOfHome, reply: SessionTargetReply) -> None:
        """Compare what a read saw with the session's state."""
        assert reply.fault is StatementFault.NONE
        if not reply.rows:
            return
        viewer = Viewer(
            session.name,
            session.name,
            RouteConsistency.BOUNDED,
            1.0,
            session.values,
            session.prepared,
        )
        now = asyncio.get_running_loop().time()
        self.promises.read(viewer, reply.rows[0], now)


@given(STEPS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_no_statement_meets_the_state_of_another_session(steps: list[Step]) -> None:
    async def run() -> None:
        home = HomeOfSessions()
        for step in steps:
            await home.step(step)
        await home.home.close()
        assert not home.promises.violations

    run_virtual(run())
