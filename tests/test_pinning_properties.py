"""Sessions that share connections never see the settings of other sessions."""

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
from reedhook_standins.promises import GuaranteeChecker, Sent, Viewer

from .fakes_clock import LoopClock, run_virtual
from .fakes_members import FakeDriver, FakePhrases

Step: TypeAlias = tuple[int, str, str]
"""A session, its action, and the value of the action."""

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


class ModelSession:
    """Track the settings, prepared statements and transaction of one session."""

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
    """Run the steps of several sessions at one home."""

    def __init__(self) -> None:
        clock = LoopClock()
        self.group = DatabaseGroup("db", ["z0"])
        self.promises = GuaranteeChecker(self.group, asyncio.get_running_loop().time)
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
        self.sessions = [ModelSession(f"s{number}") for number in range(SESSIONS)]

    async def step(self, step: Step) -> None:
        """Run one step of one session."""
        number, action, value = step
        session = self.sessions[number]
        if action == "set":
            session.state["value v"] = f"SET v {value}"
            session.values["v"] = value
        elif action == "prepare":
            writes = value == "1"
            shape = "WRITE" if writes else "READ"
            session.state[f"prepared p{value}"] = f"PREPARE p{value} {shape} q"
            session.prepared[f"p{value}"] = writes
        elif action == "deallocate":
            session.state.pop(f"prepared p{value}", None)
            session.prepared.pop(f"p{value}", None)
        elif action == "begin" and not session.transaction:
            session.transaction = f"{session.name}.t{session.sent}"
            session.opened = False
        elif action == "rollback" or action == "break":
            self.end(session, action)
        elif action in ("read", "write"):
            kind = (
                SessionStatementKind.READ
                if action == "read"
                else SessionStatementKind.WRITE
            )
            await self.run(session, kind, "READ a" if action == "read" else "WRITE a b")
        elif action == "commit" and session.opened:
            await self.run(session, SessionStatementKind.COMMIT, "COMMIT")
            session.transaction = ""

    def end(self, session: ModelSession, action: str) -> None:
        """Roll back a transaction, or close the idle connections."""
        if action == "break":
            self.home.connections.drop_idle()
            return
        self.home.transactions.end(session.transaction)
        session.transaction = ""

    async def run(
        self, session: ModelSession, kind: SessionStatementKind, text: str
    ) -> None:
        """Run a statement and check the session state that it saw."""
        work = session.work(kind, text)
        self.promises.sent[work.id] = Sent(
            text, work.transaction, dict(session.values), dict(session.prepared)
        )
        try:
            reply = await self.home.run(work)
        except RefusalError:
            # No connection became free, so nothing ran.
            assert work.id not in self.group.primary.runs
            self.home.transactions.end(session.transaction)
            session.transaction = ""
            return
        session.opened = bool(session.transaction)
        self.check_reply(session, reply)

    def check_reply(self, session: ModelSession, reply: SessionTargetReply) -> None:
        """Compare the result of a read with the session's state."""
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
