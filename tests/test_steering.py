"""Reads that no replica has a slot for."""

import pytest

from reedhook.connection.session_target_refusals import transaction_lost_refusal
from reedhook.request.refusal import RefusalError, RefusalReason, not_run
from reedhook.request.replica_reader import ReplicaReader, ReplicaReadResult
from reedhook.request.session_router import SessionRouter
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.request.statement_forwarder import LocatedResult
from reedhook.version.route_table import TargetAnnouncement

from .fakes_clock import in_virtual_time

CROWDED = TargetAnnouncement("m2", "db", "10.0.0.2:1", "z2", False, False)


class Crowded(ReplicaReader):
    """Keep which reads came back to a crowded replica."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def run_at_replica(
        self, entry: TargetAnnouncement, statement: SessionStatement, deadline: float
    ) -> ReplicaReadResult:
        self.asked.append(entry.target)
        assert statement.wait_limit_seconds is None
        return ReplicaReadResult()


class Refusing(SessionRouter):
    """Find each read refused at the primary."""

    def __init__(self, refusals: list[RefusalError]) -> None:
        self.replica_reader = Crowded()
        self.refusals = refusals

    async def run_at_primary(
        self, statement: SessionStatement, deadline: float
    ) -> LocatedResult:
        raise self.refusals.pop(0)


def read() -> SessionStatement:
    """Return the first statement of a transaction that only reads."""
    work = SessionStatement(
        "db",
        "",
        "s",
        {},
        "t",
        TransactionMode.READ,
        None,
        SessionStatementKind.READ,
        "r1",
        "READ a",
        0.8,
    )
    work.wait_limit_seconds = 0.02
    return work


def overloaded(wait_ms: int) -> RefusalError:
    """Return the refusal of a target whose slots are taken."""
    return not_run(RefusalReason.OVERLOADED, "no slot", wait_ms)


@pytest.mark.parametrize(
    "first, asked",
    [
        (overloaded(90), ["m2"]),
        (overloaded(60), []),
        (not_run(RefusalReason.NO_PRIMARY, "none"), ["m2"]),
    ],
    ids=["replica sooner", "primary sooner", "no primary"],
)
@in_virtual_time
async def test_a_read_waits_where_the_wait_is_least(
    first: RefusalError, asked: list[str]
) -> None:
    steering = Refusing([first, overloaded(90)])
    with pytest.raises(RefusalError):
        await steering.run_at_shortest_wait(
            read(), ReplicaReadResult(None, CROWDED, 0.08), 1.0
        )
    assert steering.replica_reader.asked == asked  # type: ignore[attr-defined]


@in_virtual_time
async def test_what_was_sent_in_a_transaction_runs_nowhere_else() -> None:
    """On a second connection it would run outside its transaction."""
    steering = Refusing([transaction_lost_refusal()])
    with pytest.raises(RefusalError) as caught:
        await steering.run_at_shortest_wait(
            read(), ReplicaReadResult(None, CROWDED, 0.08), 1.0
        )
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert steering.replica_reader.asked == []  # type: ignore[attr-defined]
