"""The judge of promises notices each kind of broken one."""

import asyncio

import pytest

from reedhook.connection.session_target import TargetQuery
from reedhook.request.position import Position
from reedhook.version.route_table import RouteConsistency
from reedhook_standins.database import DatabaseGroup, DatabaseSession
from reedhook_standins.promises import Promises, Sent, Viewer


class Case:
    """Hold a group, its judge, and a clock that is set by hand."""

    def __init__(self) -> None:
        self.group = DatabaseGroup("db", ["z0", "z1", "z2"])
        self.at = 100.0
        self.promises = Promises(self.group, lambda: self.at)
        self.promises.watch()

    def session(self, target: str = "db-0") -> DatabaseSession:
        """Return a session at a target."""
        return DatabaseSession(self.group.members[target])

    def sent(self, id: str, text: str, transaction: str = "") -> TargetQuery:
        """Remember a statement as sent; return it for a target."""
        self.promises.sent[id] = Sent(text, transaction, {}, {})
        return TargetQuery(id, text)

    def broken(self) -> str:
        """Return what was found."""
        return "\n".join(self.promises.violations)


def viewer(kind: RouteConsistency, max_age: float | None, session: str = "s") -> Viewer:
    """Return a reader that has set and prepared nothing."""
    return Viewer("c1", session, kind, max_age, {}, {})


async def a_write(one: Case) -> Position:
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
def test_a_read_that_misses_a_commit(
    kind: RouteConsistency, max_age: float | None, age: float, session: str, stale: bool
) -> None:
    async def run() -> None:
        one = Case()
        position = await a_write(one)
        one.promises.acknowledge("c", position, session)
        behind = one.session("db-1").run(one.sent("r", "READ a"))
        one.at += age
        one.promises.read(viewer(kind, max_age), behind.rows[0], one.at)
        assert ("a log without" in one.broken()) is stale

    asyncio.run(run())


def test_a_commit_that_a_promotion_rolled_back_need_not_be_seen() -> None:
    async def run() -> None:
        one = Case()
        position = await a_write(one)
        one.promises.acknowledge("c", position, "s")
        one.group.members["db-2"].deaf = True
        await one.group.promote("db-2")
        one.at += 1.0
        row = one.session("db-2").run(one.sent("r", "READ a")).rows[0]
        one.promises.read(viewer(RouteConsistency.PRIMARY, None), row, one.at)
        assert not one.promises.violations

    asyncio.run(run())


def test_a_commit_at_a_former_primary_is_not_to_be_acknowledged() -> None:
    async def run() -> None:
        one = Case()
        await one.group.promote("db-2")
        position = await a_write(one)
        one.promises.acknowledge("c", position, "s")
        assert "committed too late" in one.broken()

    asyncio.run(run())


def test_a_statement_that_nobody_sent() -> None:
    async def run() -> None:
        one = Case()
        one.session().run(TargetQuery("x", "READ a"))
        one.session().run(TargetQuery(one.sent("y", "READ a").id, "READ b"))
        assert one.broken().count("which nobody sent") == 2

    asyncio.run(run())


def test_a_statement_outside_its_transaction_or_on_another_connection() -> None:
    async def run() -> None:
        one = Case()
        one.session().run(one.sent("a", "READ a", "t1"))
        assert "runs elsewhere" in one.broken()
        first, second = one.session(), one.session()
        for session in (first, second):
            session.run(TargetQuery("", "BEGIN"))
        first.run(one.sent("b", "READ a", "t2"))
        second.run(one.sent("c", "READ a", "t2"))
        assert "another connection" in one.broken()

    asyncio.run(run())


def test_a_statement_that_meets_values_of_another_session() -> None:
    async def run() -> None:
        one = Case()
        session = one.session()
        session.run(TargetQuery("", "SET v 1"))
        session.run(one.sent("a", "READ a"))
        assert "runs with {'v': '1'}" in one.broken()

    asyncio.run(run())


def test_a_write_that_takes_effect_twice() -> None:
    async def run() -> None:
        one = Case()
        query = one.sent("w", "WRITE a b")
        one.session().run(query)
        one.session().run(query)
        assert "took effect twice" in one.broken()

    asyncio.run(run())


@pytest.mark.parametrize("promised_first", [True, False])
def test_a_write_that_was_said_not_to_be_kept(promised_first: bool) -> None:
    async def run() -> None:
        one = Case()
        query = one.sent("w", "WRITE a b")
        if promised_first:
            one.promises.promise("c", ["w"])
        one.session().run(query)
        if not promised_first:
            one.promises.promise("c", ["w"])
        assert "said not to be kept" in one.broken()

    asyncio.run(run())
