"""Calls to a home that fail at any point: verdicts that contradict what ran."""

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

TARGET: Final = "g1-z1"
SETTLE_SECONDS: Final = 5.0


class DispatchSetup:
    """Set up an entry host that is not a home, and the two homes of the target."""

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
        """Replace the statement handler of `host`."""

        async def answer(body: Json) -> Json:
            return handler(body)

        routes = self.network.at[self.address(host)].routes
        routes.add("statement", answer)

    def address(self, host: str) -> str:
        """Return the address of `host`."""
        return next(one.address for one in self.hosts if one.host == host)


def wrong_home(body: Json) -> Json:
    raise not_run(RefusalReason.WRONG_HOME, "not the home")


def malformed_response(body: Json) -> Json:
    return {"answer": 7}


def failing_handler(body: Json) -> Json:
    raise ZeroDivisionError


def lose_request(setup: DispatchSetup) -> None:
    setup.network.cut("entry", "h1")


def lose_response(setup: DispatchSetup) -> None:
    setup.network.cut("h1", "entry")


def pause_home(setup: DispatchSetup) -> None:
    setup.network.pause("h1")
    asyncio.get_running_loop().call_later(1.0, setup.network.resume, "h1")


def run_late(setup: DispatchSetup) -> None:
    setup.model.service_time = 1.0


def crash_home(setup: DispatchSetup) -> None:
    setup.network.crash("h1")


def crash_both(setup: DispatchSetup) -> None:
    setup.network.crash("h1")
    setup.network.crash("h2")


def crash_then_wrong(setup: DispatchSetup) -> None:
    setup.network.crash("h1")
    setup.serve("h2", wrong_home)


def home_moved(setup: DispatchSetup) -> None:
    setup.serve("h1", wrong_home)


def no_home(setup: DispatchSetup) -> None:
    setup.serve("h1", wrong_home)
    setup.serve("h2", wrong_home)


def no_host(setup: DispatchSetup) -> None:
    setup.directory.fixed[TARGET] = []


def return_malformed_response(setup: DispatchSetup) -> None:
    setup.serve("h1", malformed_response)


def handler_fails(setup: DispatchSetup) -> None:
    setup.serve("h1", failing_handler)


def home_refuses(setup: DispatchSetup) -> None:
    setup.model.refuse(
        StatementKind.WRITE, not_run(RefusalReason.OVERLOADED, "no slot")
    )


def nothing_broken(setup: DispatchSetup) -> None:
    pass


DONE: Final = Verdict.DONE
NOT_RUN: Final = Verdict.NOT_RUN
MAY_HAVE_RUN: Final = Verdict.MAY_HAVE_RUN

FAULTS: Final[list[tuple[Callable[[DispatchSetup], None], Verdict, int]]] = [
    (nothing_broken, DONE, 1),
    (no_host, NOT_RUN, 0),
    (crash_home, DONE, 1),
    (crash_both, NOT_RUN, 0),
    (crash_then_wrong, NOT_RUN, 0),
    (home_moved, DONE, 1),
    (no_home, NOT_RUN, 0),
    (home_refuses, NOT_RUN, 0),
    (lose_request, MAY_HAVE_RUN, 0),
    (lose_response, MAY_HAVE_RUN, 1),
    (pause_home, MAY_HAVE_RUN, 0),
    (run_late, MAY_HAVE_RUN, 1),
    (return_malformed_response, MAY_HAVE_RUN, 0),
    (handler_fails, MAY_HAVE_RUN, 0),
]


async def outcome(
    setup: DispatchSetup, statement: Statement
) -> HomeResponse | RefusalError:
    """Return the response or the refusal of a statement."""
    try:
        return await setup.entry.dispatch.execute(TARGET, statement)
    except RefusalError as refusal:
        return refusal


def make_statement(kind: StatementKind) -> Statement:
    """Return a statement with a deadline of 0.5 s."""
    return Statement(kind, "g1", "gate", "pay", [], remaining=0.5)


@pytest.mark.parametrize(("fault", "verdict", "ran"), FAULTS)
@in_virtual_time
async def test_write_verdict_is_correct_for_each_fault(
    fault: Callable[[DispatchSetup], None], verdict: Verdict, ran: int
) -> None:
    setup = DispatchSetup()
    fault(setup)
    result = await outcome(setup, make_statement(StatementKind.WRITE))
    actual = result.verdict if isinstance(result, RefusalError) else Verdict.DONE
    assert actual is verdict
    await asyncio.sleep(SETTLE_SECONDS)
    assert setup.model.ran["pay"] == ran


@pytest.mark.parametrize(("fault", "verdict", "ran"), FAULTS)
@in_virtual_time
async def test_refused_read_has_no_effect(
    fault: Callable[[DispatchSetup], None], verdict: Verdict, ran: int
) -> None:
    setup = DispatchSetup()
    fault(setup)
    result = await outcome(setup, make_statement(StatementKind.READ))
    if isinstance(result, RefusalError):
        assert result.verdict is Verdict.NOT_RUN
    await asyncio.sleep(SETTLE_SECONDS)
    assert not setup.model.ran


@pytest.mark.parametrize(
    "kind", [StatementKind.STEP, StatementKind.COMMIT, StatementKind.ROLLBACK]
)
@in_virtual_time
async def test_transaction_statement_is_sent_once(kind: StatementKind) -> None:
    setup = DispatchSetup()
    lose_response(setup)
    statement = make_statement(kind)
    statement.transaction = "t1"
    with pytest.raises(RefusalError) as caught:
        await setup.entry.dispatch.execute_at(setup.hosts[0], TARGET, statement)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert setup.network.calls["statement"] == 1


@in_virtual_time
async def test_local_target_needs_no_peer_call() -> None:
    setup = DispatchSetup()
    setup.directory.fixed[TARGET] = [setup.directory.me]
    response = await setup.entry.dispatch.execute(
        TARGET, make_statement(StatementKind.WRITE)
    )
    assert response.host == setup.directory.me
    assert setup.network.calls["statement"] == 0


@in_virtual_time
async def test_at_most_two_hosts_are_tried() -> None:
    setup = DispatchSetup()
    no_home(setup)
    refusal = await outcome(setup, make_statement(StatementKind.WRITE))
    assert isinstance(refusal, RefusalError)
    assert refusal.reason is RefusalReason.WRONG_HOME
    assert setup.network.calls["statement"] == 2


@in_virtual_time
async def test_remaining_time_is_sent_to_home() -> None:
    setup = DispatchSetup()
    seen = []

    def record_remaining(body: Json) -> Json:
        seen.append(body["statement"]["remaining"])
        raise not_run(RefusalReason.WRONG_HOME, "not the home")

    setup.serve("h1", record_remaining)
    setup.serve("h2", record_remaining)
    await outcome(setup, make_statement(StatementKind.WRITE))
    assert seen[0] == 0.5
    assert seen[1] < seen[0]


@pytest.mark.parametrize(
    ("fault", "lost"),
    [(crash_home, ["h1"]), (lose_request, ["h1"]), (home_moved, [])],
)
@in_virtual_time
async def test_unresponsive_host_is_reported_lost(
    fault: Callable[[DispatchSetup], None], lost: list[str]
) -> None:
    setup = DispatchSetup()
    reported: list[str] = []
    setup.entry.dispatch.on_host_lost = lambda host: reported.append(host.host)
    fault(setup)
    statement = Statement(StatementKind.READ, "g1", "gate", "select 1", [], 1.0)
    try:
        await setup.entry.dispatch.execute(TARGET, statement)
    except RefusalError:
        pass
    assert reported == lost
