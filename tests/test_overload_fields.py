"""What a session and its host tell the home of a target about a statement."""

import pytest

from reedhook.connection.overload_control import OverloadControl
from reedhook.connection.session import Session, SessionReply
from reedhook.connection.session_connection_pool import MAX_CONNECTION_WAIT_SECONDS
from reedhook.connection.session_state import SessionState
from reedhook.connection.session_target_home import SessionTargetHome
from reedhook.decision_log import DecisionLog
from reedhook.request.refusal import RefusalReason, not_run
from reedhook.request.session_command import SessionCommand, SessionCommandKind
from reedhook.request.session_statement import (
    SessionStatement,
    SessionStatementKind,
    TransactionMode,
)
from reedhook.version.route_table import TargetAnnouncement

from .fakes_clock import LoopClock, in_virtual_time
from .fakes_members import FakeDriver, FakePhrases
from .load import now


def make_read(target: str = "", **fields: object) -> SessionStatement:
    """Return a read outside transactions with a soft deadline of 0.1 s."""
    statement = SessionStatement(
        "db",
        target,
        "s1",
        {},
        "",
        TransactionMode.NONE,
        None,
        SessionStatementKind.READ,
        "i",
        "READ a",
        0.8,
        soft_deadline_seconds=0.1,
        workspace="farm",
    )
    for name, value in fields.items():
        setattr(statement, name, value)
    return statement


def test_fields_are_sent_only_if_they_are_set() -> None:
    """Statements of earlier deployments must not change."""
    message = make_read().to_json()
    assert not {"first", "replica_allowed"} & set(message)
    statement = make_read(replica_allowed=True, first_attempt_age=0.25)
    statement.subtract_elapsed(0.05)
    message = statement.to_json()
    assert message["first"] == 300
    decoded = SessionStatement.from_json(message)
    assert decoded.replica_allowed
    assert decoded.first_attempt_age == pytest.approx(0.3)
    without = SessionStatement.from_json(make_read().to_json())
    assert not without.replica_allowed
    assert without.first_attempt_age is None


def make_home(control: OverloadControl | None) -> SessionTargetHome:
    """Return the home of a target without connections."""
    clock = LoopClock()
    return SessionTargetHome(
        TargetAnnouncement("t", "db", "10.0.0.1:1", "z", False, True),
        FakeDriver("h", []),
        FakePhrases(),
        4,
        clock,
        DecisionLog("h", clock, output_fd=None),
        lambda: None,
        lambda position, asked: None,
        3.0,
        weight_of={"farm": 2.0}.__getitem__,
        control=control,
    )


@in_virtual_time
async def test_home_takes_the_timeout_as_deadline_only_under_overload_control() -> None:
    statement = make_read(replica_allowed=True, first_attempt_age=0.25)
    before = make_home(None).admission_request(statement, now())
    assert before.deadline == now() + MAX_CONNECTION_WAIT_SECONDS
    request = make_home(OverloadControl(2)).admission_request(statement, now())
    assert request.deadline == now() + 0.8
    assert (request.workspace, request.weight) == ("farm", 2.0)
    assert request.session == "s1"
    assert request.first_attempt == now() - 0.25


@in_virtual_time
async def test_only_reads_at_the_primary_are_limited_to_its_room() -> None:
    """A replica has no statements that it alone can run."""
    home = make_home(OverloadControl(2))
    at_primary = make_read(replica_allowed=True)
    at_replica = make_read(target="t", replica_allowed=True)
    assert home.admission_request(at_primary, now()).replica_allowed
    assert not home.admission_request(at_replica, now()).replica_allowed
    assert not home.admission_request(make_read(), now()).replica_allowed


class BareSession(Session):
    """A session without what the tests do not use."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.overloaded = None


def command(text: str) -> SessionCommand:
    """Return a read."""
    return SessionCommand(SessionCommandKind.READ, text)


@in_virtual_time
async def test_session_knows_the_first_attempt_of_a_repeated_statement() -> None:
    """Otherwise callers that wait longest lose their place with each refusal."""
    session = BareSession()
    overloaded = not_run(RefusalReason.OVERLOADED, "full", 50)
    refused = SessionReply(SessionState.IDLE, refusal=overloaded)
    session.note_overload(command("a"), refused, 1.0)
    session.note_overload(command("a"), refused, 2.0)
    assert session.first_attempt_age(command("a")) == now() - 1.0
    assert session.first_attempt_age(command("b")) is None
    session.note_overload(command("b"), refused, 3.0)
    assert session.first_attempt_age(command("a")) is None
    assert session.first_attempt_age(command("b")) == now() - 3.0
    session.note_overload(command("b"), SessionReply(SessionState.IDLE), 4.0)
    assert session.first_attempt_age(command("b")) is None
