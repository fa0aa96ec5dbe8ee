"""The hop to a home, broken at every point, against what really ran."""

import asyncio
from collections.abc import Callable
from typing import Final

import pytest

from reedhook.peer import HostRef
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.statement import Statement, StatementKind
from reedhook.request.statement_executor import HomeResponse
from reedhook.request.verdict import Verdict
from reedhook.wire import Json

from .fakes_clock import in_virtual_time
from .fakes_peers import FakeNetwork
from .fakes_request import (
    EntryHost,
    FakeDirectory,
    FakeGroup,
    join_hosts,
    make_catalog,
    make_group,
)

WRITE_AT: Final = "g1-z1"
SETTLE: Final = 5.0


class Hop:
    """Hold an entry host that is no home, and the two homes of the target."""

    def __init__(self) -> None:
        self.network = FakeNetwork()
        self.model = FakeGroup(make_group())
        self.hosts = join_hosts(self.network, self.model)
        me = HostRef("entry", "z9", "127.0.0.1:9999")
        self.network.join(me, self.model.routes(self.model.now))
        self.directory = FakeDirectory(me, self.hosts)
        catalog = make_catalog([self.model.group], [])
        clock = self.network.clock("entry")
        self.entry = EntryHost(
            self.network, self.directory, lambda: catalog, self.model, clock
        )

    def serve(self, host: str, handler: Callable[[Json], Json]) -> None:
        """Let `host` answer statements by `handler`."""

        async def answer(body: Json) -> Json:
            return handler(body)

        routes = self.network.at[self.address(host)].routes
        routes.add("statement", answer)

    def address(self, host: str) -> str:
        """Return the address of `host`."""
        return next(one.address for one in self.hosts if one.host == host)


def wrong_home(body: Json) -> Json:
    raise not_run(RefusalReason.WRONG_HOME, "not the home")


def nonsense(body: Json) -> Json:
    return {"answer": 7}


def fails(body: Json) -> Json:
    raise ZeroDivisionError


def lose_request(hop: Hop) -> None:
    hop.network.cut("entry", "h1")


def lose_answer(hop: Hop) -> None:
    hop.network.cut("h1", "entry")


def pause_home(hop: Hop) -> None:
    hop.network.pause("h1")
    asyncio.get_running_loop().call_later(1.0, hop.network.resume, "h1")


def run_late(hop: Hop) -> None:
    hop.model.service_time = 1.0


def crash_home(hop: Hop) -> None:
    hop.network.crash("h1")


def crash_both(hop: Hop) -> None:
    hop.network.crash("h1")
    hop.network.crash("h2")


def crash_then_wrong(hop: Hop) -> None:
    hop.network.crash("h1")
    hop.serve("h2", wrong_home)


def home_moved(hop: Hop) -> None:
    hop.serve("h1", wrong_home)


def no_home(hop: Hop) -> None:
    hop.serve("h1", wrong_home)
    hop.serve("h2", wrong_home)


def no_host(hop: Hop) -> None:
    hop.directory.fixed[WRITE_AT] = []


def answer_nonsense(hop: Hop) -> None:
    hop.serve("h1", nonsense)


def handler_fails(hop: Hop) -> None:
    hop.serve("h1", fails)


def home_refuses(hop: Hop) -> None:
    hop.model.refuse(StatementKind.WRITE, not_run(RefusalReason.OVERLOADED, "no slot"))


def nothing_broken(hop: Hop) -> None:
    pass


DONE: Final = Verdict.DONE
NOT: Final = Verdict.NOT_RUN
MAY: Final = Verdict.MAY_HAVE_RUN

POINTS: Final[list[tuple[Callable[[Hop], None], Verdict, int]]] = [
    (nothing_broken, DONE, 1),
    (no_host, NOT, 0),
    (crash_home, DONE, 1),
    (crash_both, NOT, 0),
    (crash_then_wrong, NOT, 0),
    (home_moved, DONE, 1),
    (no_home, NOT, 0),
    (home_refuses, NOT, 0),
    (lose_request, MAY, 0),
    (lose_answer, MAY, 1),
    (pause_home, MAY, 0),
    (run_late, MAY, 1),
    (answer_nonsense, MAY, 0),
    (handler_fails, MAY, 0),
]


async def outcome(hop: Hop, statement: Statement) -> HomeResponse | RefusalError:
    """Return the answer or the refusal of a statement sent over the hop."""
    try:
        return await hop.entry.dispatch.execute(WRITE_AT, statement)
    except RefusalError as refusal:
        return refusal


def make(kind: StatementKind) -> Statement:
    """Return a statement with half a second to its deadline."""
    return Statement(kind, "g1", "gate", "pay", [], remaining=0.5)


@pytest.mark.parametrize(("fault", "verdict", "ran"), POINTS)
@in_virtual_time
async def test_the_verdict_on_a_write_holds_wherever_the_hop_breaks(
    fault: Callable[[Hop], None], verdict: Verdict, ran: int
) -> None:
    hop = Hop()
    fault(hop)
    result = await outcome(hop, make(StatementKind.WRITE))
    got = result.verdict if isinstance(result, RefusalError) else Verdict.DONE
    assert got is verdict
    await asyncio.sleep(SETTLE)
    assert hop.model.ran["pay"] == ran


@pytest.mark.parametrize(("fault", "verdict", "ran"), POINTS)
@in_virtual_time
async def test_a_read_that_got_no_answer_has_no_effect(
    fault: Callable[[Hop], None], verdict: Verdict, ran: int
) -> None:
    hop = Hop()
    fault(hop)
    result = await outcome(hop, make(StatementKind.READ))
    if isinstance(result, RefusalError):
        assert result.verdict is Verdict.NOT_RUN
    await asyncio.sleep(SETTLE)
    assert not hop.model.ran


@pytest.mark.parametrize(
    "kind", [StatementKind.STEP, StatementKind.COMMIT, StatementKind.ROLLBACK]
)
@in_virtual_time
async def test_a_statement_of_a_transaction_is_sent_once(kind: StatementKind) -> None:
    hop = Hop()
    lose_answer(hop)
    statement = make(kind)
    statement.transaction = "t1"
    with pytest.raises(RefusalError) as caught:
        await hop.entry.dispatch.execute_at(hop.hosts[0], WRITE_AT, statement)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert hop.network.calls["statement"] == 1


@in_virtual_time
async def test_a_target_whose_home_is_here_takes_no_hop() -> None:
    hop = Hop()
    hop.directory.fixed[WRITE_AT] = [hop.directory.me]
    served = await hop.entry.dispatch.execute(WRITE_AT, make(StatementKind.WRITE))
    assert served.host == hop.directory.me
    assert hop.network.calls["statement"] == 0


@in_virtual_time
async def test_no_host_is_asked_a_third_time() -> None:
    hop = Hop()
    no_home(hop)
    refusal = await outcome(hop, make(StatementKind.WRITE))
    assert isinstance(refusal, RefusalError)
    assert refusal.reason is RefusalReason.WRONG_HOME
    assert hop.network.calls["statement"] == 2


@in_virtual_time
async def test_the_home_knows_how_much_time_is_left() -> None:
    hop = Hop()
    seen = []

    def note(body: Json) -> Json:
        seen.append(body["statement"]["remaining"])
        raise not_run(RefusalReason.WRONG_HOME, "not the home")

    hop.serve("h1", note)
    hop.serve("h2", note)
    await outcome(hop, make(StatementKind.WRITE))
    assert seen[0] == 0.5
    assert seen[1] < seen[0]


@pytest.mark.parametrize(
    ("fault", "lost"),
    [(crash_home, ["h1"]), (lose_request, ["h1"]), (home_moved, [])],
)
@in_virtual_time
async def test_a_host_without_an_answer_is_looked_at(
    fault: Callable[[Hop], None], lost: list[str]
) -> None:
    hop = Hop()
    told: list[str] = []
    hop.entry.dispatch.on_host_lost = lambda host: told.append(host.host)
    fault(hop)
    statement = Statement(StatementKind.READ, "g1", "gate", "select 1", [], 1.0)
    try:
        await hop.entry.dispatch.execute(WRITE_AT, statement)
    except RefusalError:
        pass
    assert told == lost
