"""Statements for targets and their results, as sent between hosts."""

from enum import Enum
from typing import Any, TypeAlias

from ..record import Record
from ..wire import Json, wraps_decode_errors
from .position import Position

Row: TypeAlias = list[Any]


class Consistency(str, Enum):
    """Enumerate the consistency levels of reads."""

    FRESH = "fresh"
    SESSION = "session"
    MAX_AGE = "max_age"


class StatementKind(str, Enum):
    """Enumerate the kinds of statements."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    STEP = "step"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Statement(Record):
    """Carry one statement from the entry host to the home of a target.

    :param group: the name of the database group.
    :param caller: the name of the caller, for fair queueing.
    :param priority: the priority class; lower runs first.
    :param min_position: the position that a read must reflect.
    :param max_age: the maximum age that a bounded read accepts, in seconds.
    :param request_id: the id of a request that is not idempotent.
    :param transaction: the id of the interactive transaction it belongs to.
    :param remaining: the time left to the deadline, in seconds; a duration,
        since clocks of hosts are not synchronized.
    """

    __slots__ = (
        "kind",
        "group",
        "caller",
        "priority",
        "sql",
        "params",
        "consistency",
        "min_position",
        "max_age",
        "request_id",
        "transaction",
        "remaining",
    )

    def __init__(
        self,
        kind: StatementKind,
        group: str,
        caller: str,
        sql: str,
        params: list[Any],
        remaining: float,
        priority: int = 1,
        consistency: Consistency = Consistency.SESSION,
        min_position: Position | None = None,
        max_age: float | None = None,
        request_id: str | None = None,
        transaction: str | None = None,
    ) -> None:
        self.kind = kind
        self.group = group
        self.caller = caller
        self.priority = priority
        self.sql = sql
        self.params = params
        self.consistency = consistency
        self.min_position = min_position
        self.max_age = max_age
        self.request_id = request_id
        self.transaction = transaction
        self.remaining = remaining

    def to_json(self) -> Json:
        """Return the statement in the wire format between hosts."""
        return {
            "kind": self.kind.value,
            "group": self.group,
            "caller": self.caller,
            "priority": self.priority,
            "sql": self.sql,
            "params": self.params,
            "consistency": self.consistency.value,
            "covers": self.min_position.to_json() if self.min_position else None,
            "max_age": self.max_age,
            "request_id": self.request_id,
            "transaction": self.transaction,
            "remaining": self.remaining,
        }

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: Any) -> "Statement":
        """Decode a statement sent by another host."""
        covers = message["covers"]
        return cls(
            kind=StatementKind(message["kind"]),
            group=message["group"],
            caller=message["caller"],
            priority=message["priority"],
            sql=message["sql"],
            params=message["params"],
            consistency=Consistency(message["consistency"]),
            min_position=Position.from_json(covers) if covers else None,
            max_age=message["max_age"],
            request_id=message["request_id"],
            transaction=message["transaction"],
            remaining=float(message["remaining"]),
        )


class StatementResult(Record):
    """Carry the result of a statement with its position and age.

    :param columns: names of the columns of a read.
    :param rows: rows of a read.
    :param rowcount: rows changed by a write.
    :param target: the member that served the statement.
    :param role: ``primary`` or ``replica``, as the member reported.
    :param position: the position that the result reflects.
    :param age: proved upper bound of the age in seconds; None if unproved.
    :param repeated: whether the result is that of an earlier run of the same
        request id.
    :param transaction: the id of the interactive transaction, if one is open.
    """

    __slots__ = (
        "columns",
        "rows",
        "rowcount",
        "target",
        "role",
        "position",
        "age",
        "repeated",
        "transaction",
    )

    def __init__(
        self,
        columns: list[str],
        rows: list[Row],
        rowcount: int,
        target: str,
        role: str,
        position: Position,
        age: float | None = None,
        repeated: bool = False,
        transaction: str | None = None,
    ) -> None:
        self.columns = columns
        self.rows = rows
        self.rowcount = rowcount
        self.target = target
        self.role = role
        self.position = position
        self.age = age
        self.repeated = repeated
        self.transaction = transaction

    def to_json(self) -> Json:
        """Return the result in the wire format between hosts."""
        return {
            "columns": self.columns,
            "rows": self.rows,
            "rowcount": self.rowcount,
            "target": self.target,
            "role": self.role,
            "position": self.position.to_json(),
            "age": self.age,
            "repeated": self.repeated,
            "transaction": self.transaction,
        }

    @classmethod
    def from_json(cls, message: Json) -> "StatementResult":
        """Decode a result sent by another host."""
        return cls(
            columns=message["columns"],
            rows=message["rows"],
            rowcount=message["rowcount"],
            target=message["target"],
            role=message["role"],
            position=Position.from_json(message["position"]),
            age=message["age"],
            repeated=message["repeated"],
            transaction=message["transaction"],
        )
