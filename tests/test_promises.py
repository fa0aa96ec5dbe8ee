"""The `GuaranteeChecker` checks detect each kind of violation."""

import asyncio

import pytest

from reedhook.connection.session_target import TargetQuery
from reedhook.request.position import Position
from reedhook.version.route_table import RouteConsistency
from reedhook_standins.database import DatabaseGroup, DatabaseSession
from reedhook_standins.promises import GuaranteeChecker, Sent, Viewer


class Case:
    """Hold a group, its checks, and a clock set by the test."""

    def __init__(self) -> None:
        self.group = DatabaseGroup("db", ["z0", "z1", "z2"])
        self.at = 100.0
        self.promises = GuaranteeChecker(self.group, lambda: self.at)
        self.promises.watch()

    def session(self, target: str = "db-0") -> DatabaseSession:
        """Return a session at a target."""
        return DatabaseSession(self.group.members[target])

    def sent(self, id: str, text: str, transaction: str = "") -> TargetQuery:
        """Record a statement as sent; return it as a query to a target."""
        self.promises.sent[id] = Sent(text, transaction, {}, {})
        return TargetQuery(id, text)

    def broken(self) -> str:
        """Return the violations found."""
        return "\n".join(self.promises.violations)


def viewer(kind: RouteConsistency, max_age: float | None, session: str = "s") -> Viewer:
    """Return a reader whose session has no settings or prepared statements."""
    return Viewer("c1", session, kind, max_age, {}, {})


async def run_write(one: Case) -> Position:
    """Run a write and return its position."""
    reply = one.session().run(one.sent("w", "WRITE a b"))
    assert reply.position is not None
    return reply.position


@pytest.mark.parametrize(
    ("kind", "max_age", "age", "session", "stale"),
    [
        (RouteConsistency.PRIMARY, None, 0.1, "s", True),
        (RouteConsistency.PRIMARY, None, 0.1, "other", True),
        (RouteConsistency.BOUNDED, 1.5, 1.4, "s", False),
        (RouteConsistency.BOUNDED, 1.5, 1.6, "s", True),
        (RouteConsistency.OWN_WRITES, 2.5, 0.1, "s", True),
        (RouteConsistency.OWN_WRITES, 2.5, 2.4, "other", False),
        (RouteConsistency.OWN_WRITES, 2.5, 2.6, "other", True),
    ],
)
def test_read_that_misses_required_commit_is_reported(
    kind: RouteConsistency, max_age: float | None, age: float, session: str, stale: bool
) -> None:
    async def run() -> None:
        case = Case()
        position = await run_write(case)
        case.promises.acknowledge("c", position, session)
        reply = case.session("db-1").run(case.sent("r", "READ a"))
        case.at += age
        case.promises.read(viewer(kind, max_age), reply.rows[0], case.at)
        assert ("a log without" in case.broken()) is stale

    asyncio.run(run())


def test_read_may_miss_commit_rolled_back_by_promotion() -> None:
    async def run() -> None:
        case = Case()
        position = await run_write(case)
        case.promises.acknowledge("c", position, "s")
        case.group.members["db-2"].deaf = True
        await case.group.promote("db-2")
        case.at += 1.0
        row = case.session("db-2").run(case.sent("r", "READ a")).rows[0]
        case.promises.read(viewer(RouteConsistency.PRIMARY, None), row, case.at)
        assert not case.promises.violations

    asyncio.run(run())


def test_acknowledged_commit_at_former_primary_is_reported() -> None:
    async def run() -> None:
        case = Case()
        await case.group.promote("db-2")
        position = await run_write(case)
        case.promises.acknowledge("c", position, "s")
        assert "committed at a superseded primary" in case.broken()

    asyncio.run(run())


def test_statement_that_was_not_sent_is_reported() -> None:
    async def run() -> None:
        case = Case()
        case.session().run(TargetQuery("x", "READ a"))
        case.session().run(TargetQuery(case.sent("y", "READ a").id, "READ b"))
        assert case.broken().count("which no caller sent") == 2

    asyncio.run(run())


def test_statement_outside_its_transaction_is_reported() -> None:
    async def run() -> None:
        case = Case()
        case.session().run(case.sent("a", "READ a", "t1"))
        assert "runs outside it" in case.broken()
        first, second = case.session(), case.session()
        for session in (first, second):
            session.run(TargetQuery("", "BEGIN"))
        first.run(case.sent("b", "READ a", "t2"))
        second.run(case.sent("c", "READ a", "t2"))
        assert "another connection" in case.broken()

    asyncio.run(run())


def test_statement_with_settings_of_another_session_is_reported() -> None:
    async def run() -> None:
        case = Case()
        session = case.session()
        session.run(TargetQuery("", "SET v 1"))
        session.run(case.sent("a", "READ a"))
        assert "runs with {'v': '1'}" in case.broken()

    asyncio.run(run())


def test_write_with_two_effects_is_reported() -> None:
    async def run() -> None:
        case = Case()
        query = case.sent("w", "WRITE a b")
        case.session().run(query)
        case.session().run(query)
        assert "took effect twice" in case.broken()

    asyncio.run(run())


@pytest.mark.parametrize("promised_first", [True, False])
def test_effect_of_write_answered_not_run_is_reported(promised_first: bool) -> None:
    async def run() -> None:
        case = Case()
        query = case.sent("w", "WRITE a b")
        if promised_first:
            case.promises.promise("c", ["w"])
        case.session().run(query)
        if not promised_first:
            case.promises.promise("c", ["w"])
        assert "answered as not run" in case.broken()

    asyncio.run(run())
