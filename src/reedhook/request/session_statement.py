"""Session statements and their results, as sent between hosts."""

from enum import Enum
from typing import Final

from ..connection.session_state import SessionState
from ..connection.session_target import SessionTargetReply, StatementFault
from ..record import Record
from ..wire import Json, wraps_decode_errors
from .position import Position
from .target_load import TargetLoad

DEFAULT_PRIORITY: Final = 1
"""Priority of a statement whose route specifies none."""

DEFAULT_SOFT_DEADLINE_SECONDS: Final = 0.25
"""Soft deadline of a statement that specifies none."""

MS_PER_SECOND: Final = 1000.0


class SessionStatementKind(str, Enum):
    """Enumerate the kinds of session statements."""

    READ = "read"
    WRITE = "write"
    COMMIT = "commit"


class TransactionMode(str, Enum):
    """Enumerate the kinds of transactions that a statement may open."""

    NONE = ""
    READ = "read"
    WRITE = "write"


class SessionStatement(Record):
    """Carry one statement of a session.

    :param target: the target that runs it; empty for the current primary.
    :param session: the id of the session, unique across hosts.
    :param settings: the SET and PREPARE statements of the session, by kind and name.
    :param transaction: the name of its transaction; empty for none.
    :param begin: the transaction to open before the statement.
    :param min_position: the position that the target's log must hold.
    :param id: the caller's id of the statement.
    :param remaining: seconds to the deadline; a duration, since clocks differ.
    :param soft_deadline_seconds: seconds until the caller expects the result; negative
        afterwards.
    :param database: the route of the statement, as a key for latency estimates.
    :param priority: the priority of the route; 0 runs first.
    :param wait_limit_seconds: maximum wait for a slot at this target, if another target
        may serve the statement; None for no limit but the deadline.
    :param resent: whether it was sent before; it must not run a second time.
    :param workspace: the workspace of the caller; empty on public routes.
    :param replica_allowed: whether it is a read outside transactions that its route
        permits at a replica.
    :param first_attempt_age: seconds since the caller's first attempt; None if this is
        the first one or the session does not know it.
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
        "replica_allowed",
        "first_attempt_age",
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
        replica_allowed: bool = False,
        first_attempt_age: float | None = None,
    ) -> None:
        self.workspace = workspace
        self.replica_allowed = replica_allowed
        self.first_attempt_age = first_attempt_age
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
        """Return whether it is the first or only statement of an operation."""
        return not self.transaction or self.begin is not TransactionMode.NONE

    def subtract_elapsed(self, seconds: float) -> None:
        """Subtract elapsed time from the deadlines, and add it to the age."""
        self.remaining -= seconds
        self.soft_deadline_seconds -= seconds
        if self.first_attempt_age is not None:
            self.first_attempt_age += seconds

    def may_be_in_doubt(self) -> bool:
        """Return whether its effect is unknown if the result is lost.

        A read has no effect, and a transaction whose commit was not sent is rolled
        back.
        """
        if self.kind is SessionStatementKind.READ:
            return False
        return self.kind is not SessionStatementKind.WRITE or not self.transaction

    def to_json(self) -> Json:
        """Return the statement in the wire format between hosts."""
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
        if self.replica_allowed:
            message["replica_allowed"] = True
        if self.first_attempt_age is not None:
            message["first"] = round(self.first_attempt_age * MS_PER_SECOND)
        return message

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json) -> "SessionStatement":
        """Decode a statement sent by another host."""
        after = message.get("after")
        first = message.get("first")
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
            replica_allowed=bool(message.get("replica_allowed", False)),
            first_attempt_age=None if first is None else float(first) / MS_PER_SECOND,
        )


class PositionProof(Record):
    """Prove that a position covers all writes acknowledged before a time.

    :param as_of: that time, by this host's `Clock.boottime`.
    """

    __slots__ = ("position", "as_of")

    def __init__(self, position: Position, as_of: float) -> None:
        self.position = position
        self.as_of = as_of

    def to_json(self, now: float) -> Json:
        """Return the proof in its wire format, with the time as an age at `now`."""
        return {"position": self.position.to_json(), "age": round(now - self.as_of, 4)}

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json, requested_at: float) -> "PositionProof":
        """Decode a proof sent by another host.

        :param requested_at: when the proof was requested. Its age counts from there, so
            that the proof is never dated too late.
        """
        return cls(
            Position.from_json(message["position"]), requested_at - message["age"]
        )


class SessionStatementResult(Record):
    """Carry a target's reply with a position proof of its home.

    :param target: the target that replied.
    :param proof: a proof of the primary's position, if the home holds the primary
        lease of the service.
    :param load: the load of the target; None if it is not reported.
    """

    __slots__ = ("target", "reply", "proof", "load")

    def __init__(
        self,
        target: str,
        reply: SessionTargetReply,
        proof: PositionProof | None,
        load: TargetLoad | None = None,
    ) -> None:
        self.target = target
        self.reply = reply
        self.proof = proof
        self.load = load

    def to_json(self, now: float, monotonic_now: float = 0.0) -> Json:
        """Return the result in the wire format between hosts.

        :param now: by `Clock.boottime`.
        :param monotonic_now: by `Clock.monotonic`; needed if there is a load report.
        """
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
        if self.load is not None:
            message["load"] = self.load.to_json(monotonic_now)
        return message

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Json, requested_at: float) -> "SessionStatementResult":
        """Decode a result without its load report.

        The report is read by `StatementForwarder`, since a malformed one must not cost
        the result.

        :param requested_at: when the statement was sent, by `Clock.boottime`.
        """
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
