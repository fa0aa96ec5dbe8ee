"""Reads refused by overloaded replicas: waits at the longer queue, double runs."""

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

OVERLOADED_REPLICA = TargetAnnouncement("m2", "db", "10.0.0.2:1", "z2", False, False)


class RecordingReplicaReader(ReplicaReader):
    """Record the replicas at which reads are run."""

    def __init__(self) -> None:
        self.tried: list[str] = []

    async def run_at_replica(
        self, entry: TargetAnnouncement, statement: SessionStatement, deadline: float
    ) -> ReplicaReadResult:
        self.tried.append(entry.target)
        assert statement.wait_limit_seconds is None
        return ReplicaReadResult()


class RefusingRouter(SessionRouter):
    """Refuse each statement at the primary."""

    def __init__(self, refusals: list[RefusalError]) -> None:
        self.replica_reader = RecordingReplicaReader()
        self.refusals = refusals

    async def run_at_primary(
        self, statement: SessionStatement, deadline: float
    ) -> LocatedResult:
        raise self.refusals.pop(0)


def make_read() -> SessionStatement:
    """Return the first statement of a read-only transaction."""
    statement = SessionStatement(
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
    statement.wait_limit_seconds = 0.02
    return statement


def overloaded(wait_ms: int) -> RefusalError:
    """Return the refusal of a target without a free slot."""
    return not_run(RefusalReason.OVERLOADED, "no slot", wait_ms)


@pytest.mark.parametrize(
    "first, tried",
    [
        (overloaded(90), ["m2"]),
        (overloaded(60), []),
        (not_run(RefusalReason.NO_PRIMARY, "none"), ["m2"]),
    ],
    ids=["replica sooner", "primary sooner", "no primary"],
)
@in_virtual_time
async def test_read_waits_at_target_with_shortest_wait(
    first: RefusalError, tried: list[str]
) -> None:
    router = RefusingRouter([first, overloaded(90)])
    with pytest.raises(RefusalError):
        await router.run_at_shortest_wait(
            make_read(), ReplicaReadResult(None, OVERLOADED_REPLICA, 0.08), 1.0
        )
    assert router.replica_reader.tried == tried  # type: ignore[attr-defined]


@in_virtual_time
async def test_lost_transaction_is_not_run_elsewhere() -> None:
    """On another connection it would run outside its transaction."""
    router = RefusingRouter([transaction_lost_refusal()])
    with pytest.raises(RefusalError) as caught:
        await router.run_at_shortest_wait(
            make_read(), ReplicaReadResult(None, OVERLOADED_REPLICA, 0.08), 1.0
        )
    assert caught.value.reason is RefusalReason.TRANSACTION_LOST
    assert router.replica_reader.tried == []  # type: ignore[attr-defined]
