"""A statement on its way from the host of a session to the home of a target."""

from enum import Enum
from typing import Final

from ..connection.session_state import SessionState
from ..connection.session_target import SessionTargetReply, StatementFault
from ..record import Record
from ..wire import Json, wraps_decode_errors
from .position import Position

DEFAULT_PRIORITY: Final = 1
"""Priority of a statement whose route states none."""


DEFAULT_SOFT_DEADLINE_SECONDS: Final = 0.25
"""Seconds in which an answer is expected where nothing is stated."""


class SessionStatementKind(str, Enum):
    """Name what a statement does at the target."""

    READ = "read"
    WRITE = "write"
    COMMIT = "commit"


class TransactionMode(str, Enum):
    """Name the transaction that a statement opens, if it is the first of one."""

    NONE = ""
    READ = "read"
    WRITE = "write"


class SessionStatement(Record):
    """Carry one statement of a session.

    :param target: where it runs; empty for the primary, whichever that is.
    :param session: names the session in all hosts.
    :param settings: what is set or prepared in the session: its own statement
        by kind and name.
    :param transaction: names the transaction it belongs to; empty for none.
    :param begin: the transaction that is opened first.
    :param min_position: the position that the target's log must hold.
    :param id: the caller's id of the statement.
    :param remaining: seconds to the deadline; a duration, since clocks differ.
    :param soft_deadline_seconds: seconds until the caller expects the answer; less than
        0 once that
        is over.
    :param database: the route that it came by; statements of one take about as long.
    :param priority: of the route; 0 goes first.
    :param wait_limit_seconds: seconds for which it waits for its turn at this target,
        since
        others may serve it, too; None if it waits for as long as it can.
    :param resent: whether it was sent before; it must not run a second time.
    :param workspace: whose caller sent it; empty where callers need no key.
    """

    __slots__ = (
        "service",
        "target",
        "session",
        "settings",
        "transaction",
        "begin",
        "min_position",
        "kind",
        "id",
        "text",
        "remaining",
        "resent",
        "soft_deadline_seconds",
        "database",
        "priority",
        "wait_limit_seconds",
        "workspace",
    )

    def __init__(
        self,
        service: str,
        target: str,
        session: str,
        settings: dict[str, str],
        transaction: str,
        begin: TransactionMode,
        min_position: Position | None,
        kind: SessionStatementKind,
        id: str,
        text: str,
        remaining: float,
        resent: bool = False,
        soft_deadline_seconds: float | None = None,
        database: str = "",
        priority: int = DEFAULT_PRIORITY,
        wait_limit_seconds: float | None = None,
        workspace: str = "",
    ) -> None:
        self.workspace = workspace
        self.service = service
        self.target = target
        self.session = session
        self.settings = settings
        self.transaction = transaction
        self.begin = begin
        self.min_position = min_position
        self.kind = kind
        self.id = id
        self.text = text
        self.remaining = remaining
        self.resent = resent
        self.soft_deadline_seconds = (
            min(remaining, DEFAULT_SOFT_DEADLINE_SECONDS)
            if soft_deadline_seconds is None
            else soft_deadline_seconds
        )
        self.database = database
        self.priority = priority
        self.wait_limit_seconds = wait_limit_seconds

    @property
    def starts_operation(self) -> bool:
        """Say whether it is the first, or the only one, of a caller's operation."""
        return not self.transaction or self.begin is not TransactionMode.NONE

    def subtract_elapsed(self, seconds: float) -> None:
        """Take note that time has passed."""
        self.remaining -= seconds
        self.soft_deadline_seconds -= seconds

    def may_be_in_doubt(self) -> bool:
        """Say whether it may take effect though its answer is missing.

        A read has none, and a transaction whose commit was not sent is rolled back.
        """
        if self.kind is SessionStatementKind.READ:
            return False
        return self.kind is not SessionStatementKind.WRITE or not self.transaction

    def to_json(self) -> Json:
        """Return the statement as it stands on the wire between hosts."""
        message: Json = {
            "service": self.service,
            "target": self.target,
            "session": self.session,
            "kind": self.kind.value,
            "id": self.id,
            "text": self.text,
            "left": round(self.remaining, 4),
            "due": round(self.soft_deadline_seconds, 4),
            "database": self.database,
            "priority": self.priority,
        }
        if self.settings:
            message["settings"] = self.settings
        if self.transaction:
            message["transaction"] = self.transaction
        if self.begin is not TransactionMode.NONE:
            message["begin"] = self.begin.value
        if self.min_position is not None:
            message["after"] = self.min_position.to_json()
        if self.resent:
            message["again"] = True
        if self.wait_limit_seconds is not None:
            message["patience"] = self.wait_limit_seconds
        if self.workspace:
            message["workspace"] = self.workspace
        return message

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "SessionStatement":
        """Read a statement that another host sent."""
        after = message.get("after")
        return cls(
            service=message["service"],
            target=message["target"],
            session=message["session"],
            settings=dict(message.get("settings", {})),
            transaction=message.get("transaction", ""),
            begin=TransactionMode(message.get("begin", "")),
            min_position=None if after is None else Position.from_json(after),
            kind=SessionStatementKind(message["kind"]),
            id=message["id"],
            text=message["text"],
            remaining=float(message["left"]),
            resent=bool(message.get("again", False)),
            soft_deadline_seconds=message.get("due"),
            database=str(message.get("database", "")),
            priority=int(message.get("priority", DEFAULT_PRIORITY)),
            wait_limit_seconds=message.get("patience"),
            workspace=str(message.get("workspace", "")),
        )


class PositionProof(Record):
    """State that a position covers all that was acknowledged before a moment.

    :param as_of: that moment, on this host's clock `Clock.elapsed`.
    """

    __slots__ = ("position", "as_of")

    def __init__(self, position: Position, as_of: float) -> None:
        self.position = position
        self.as_of = as_of

    def to_json(self, now: float) -> Json:
        """Return the proof for the wire; the moment becomes an age."""
        return {"position": self.position.to_json(), "age": round(now - self.as_of, 4)}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json, requested_at: float) -> "PositionProof":
        """Read a proof that another host sent.

        :param requested_at: when it was asked for, which makes it older, not younger.
        """
        return cls(
            Position.from_json(message["position"]), requested_at - message["age"]
        )


class SessionStatementResult(Record):
    """Carry what a target answered, with what its home knows.

    :param target: the target that answered.
    :param proof: of the primary's position, if the home leads the service.
    """

    __slots__ = ("target", "reply", "proof")

    def __init__(
        self, target: str, reply: SessionTargetReply, proof: PositionProof | None
    ) -> None:
        self.target = target
        self.reply = reply
        self.proof = proof

    def to_json(self, now: float) -> Json:
        """Return the answer as it stands on the wire between hosts."""
        reply = self.reply
        position = reply.position
        message: Json = {
            "target": self.target,
            "rows": reply.rows,
            "signature": reply.signature,
            "position": None if position is None else position.to_json(),
        }
        if reply.fault is not StatementFault.NONE:
            message["fault"] = reply.fault.value
            message["detail"] = reply.detail
        if reply.state is not SessionState.IDLE:
            message["state"] = reply.state.value
        if self.proof is not None:
            message["proof"] = self.proof.to_json(now)
        return message

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json, requested_at: float) -> "SessionStatementResult":
        """Read an answer; `asked` is when the question was sent."""
        position, proof = message["position"], message.get("proof")
        reply = SessionTargetReply(
            message["rows"],
            message["signature"],
            StatementFault(message.get("fault", "")),
            message.get("detail", ""),
            SessionState(message.get("state", SessionState.IDLE.value)),
            None if position is None else Position.from_json(position),
        )
        return cls(
            message["target"],
            reply,
            None if proof is None else PositionProof.from_json(proof, requested_at),
        )
