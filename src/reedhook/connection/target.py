"""Interface of a target: one member of a database group."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

from ..record import Record
from ..request.position import Position
from ..request.statement import Row
from ..wire import wraps_decode_errors


class Role(str, Enum):
    """Role of a member in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class MemberState(Record):
    """Carry the state that a member reports.

    :param member: the member's id.
    :param role: its role; ``fenced`` once it has promised a higher term than that of
        its primary and does not follow a new primary yet.
    :param promised: the highest term it has promised; it accepts no entries of lower
        terms.
    :param leader_term: the term of the primary that it is or follows.
    :param held: the last log entry that it holds durably.
    :param applied: the last log entry visible to its reads.
    :param connections: connections open to it from all hosts.
    :param revision: a counter that grows with each change of the state.
    """

    __slots__ = (
        "member",
        "role",
        "promised",
        "leader_term",
        "held",
        "applied",
        "connections",
        "revision",
    )

    def __init__(
        self,
        member: str,
        role: Role,
        promised: int,
        leader_term: int,
        held: Position,
        applied: Position,
        connections: int,
        revision: int,
    ) -> None:
        self.member = member
        self.role = role
        self.promised = promised
        self.leader_term = leader_term
        self.held = held
        self.applied = applied
        self.connections = connections
        self.revision = revision

    def to_json(self) -> dict[str, Any]:
        """Return the wire form of the state."""
        return {
            "member": self.member,
            "role": self.role.value,
            "promised": self.promised,
            "leader_term": self.leader_term,
            "held": self.held.to_json(),
            "applied": self.applied.to_json(),
            "connections": self.connections,
            "revision": self.revision,
        }

    @classmethod
    @wraps_decode_errors
    def from_json(cls, message: dict[str, Any]) -> "MemberState":
        """Parse a state from its wire form."""
        return cls(
            member=message["member"],
            role=Role(message["role"]),
            promised=int(message["promised"]),
            leader_term=int(message["leader_term"]),
            held=Position.from_json(message["held"]),
            applied=Position.from_json(message["applied"]),
            connections=int(message["connections"]),
            revision=int(message["revision"]),
        )


class TargetResult(Record):
    """Carry the result of a statement from the target.

    :param position: for a write, the position of its log entry; for a repeated write,
        the primary's last position; for a read, the position that it reflects.
    :param term: the leader term under which the member replied.
    :param repeated: whether a request with the same id had run before; the result is
        that of the earlier run.
    """

    __slots__ = (
        "columns",
        "rows",
        "rowcount",
        "position",
        "term",
        "role",
        "repeated",
    )

    def __init__(
        self,
        columns: list[str],
        rows: list[Row],
        rowcount: int,
        position: Position,
        term: int,
        role: Role,
        repeated: bool = False,
    ) -> None:
        self.columns = columns
        self.rows = rows
        self.rowcount = rowcount
        self.position = position
        self.term = term
        self.role = role
        self.repeated = repeated


class TargetError(Exception):
    """Base class of errors raised when a target gives no result."""


class TargetUnreachableError(TargetError):
    """The connection could not be opened or had closed; nothing was sent."""


class TargetFullError(TargetUnreachableError):
    """The target accepts no further connections."""


class TargetNoReplyError(TargetError):
    """A request was sent and got no reply; it may have run."""


class TargetRefusedError(TargetError):
    """The target refused the request and ran nothing.

    :param code: ``not_primary``, ``superseded``, ``statement_failed``,
        ``request_expired``, ``request_reused``, ``unknown_transaction``,
        ``leaving``, ``term_refused``, ``busy`` (no slot or lock became free
        in time) or ``bad_request``.
    """

    def __init__(self, code: str, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


class TargetConnection(ABC):
    """Hold one open connection to a target.

    One statement runs at a time. After `TargetNoReplyError` the state of the connection
    is unknown; it must be closed and never reused. Timeouts are in seconds. All methods
    raise `TargetError`.
    """

    @abstractmethod
    async def read(self, sql: str, params: list[Any], timeout: float) -> TargetResult:
        """Run a read on the member, whatever its role."""

    @abstractmethod
    async def write(
        self, sql: str, params: list[Any], request_id: str | None, timeout: float
    ) -> TargetResult:
        """Run a write on the primary and record `request_id` with its effect."""

    @abstractmethod
    async def begin(self, request_id: str | None, timeout: float) -> TargetResult:
        """Open a transaction on this connection; closing it rolls back.

        The request id is recorded with the transaction's effect at commit.
        """

    @abstractmethod
    async def step(self, sql: str, params: list[Any], timeout: float) -> TargetResult:
        """Run a statement in the open transaction."""

    @abstractmethod
    async def commit(self, timeout: float) -> TargetResult:
        """Commit the open transaction."""

    @abstractmethod
    async def rollback(self, timeout: float) -> None:
        """Roll back the open transaction."""

    @abstractmethod
    async def state(self, timeout: float) -> MemberState:
        """Request the state of the member."""

    @abstractmethod
    async def wait_state(self, revision: int, hold: float) -> MemberState:
        """Long-poll for a state whose revision differs from `revision`.

        The target replies after at most `hold` seconds.
        """

    @abstractmethod
    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        """Make the member promise `term` to `owner`, which fences all lower terms.

        Granted if `term` is higher than the current promise, or equal to it and of the
        same owner.

        :raises TargetRefusedError: with ``term_refused`` if not granted.
        """

    @abstractmethod
    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        """Make the member the primary of `term`, if the term is promised to `owner`.

        The new primary starts its term with a log entry of its own.
        """

    @abstractmethod
    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        """Make the member follow `primary` as the primary of `term`.

        Granted if `term` is not lower than the promise. Entries that the primary's log
        lacks are discarded.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class Target(ABC):
    """Open connections to one target."""

    @abstractmethod
    async def connect(self, timeout: float) -> TargetConnection:
        """Open a connection.

        :raises TargetUnreachableError: if it cannot be opened in `timeout` seconds.
        :raises TargetFullError: if the target accepts no further connections.
        """


class TargetFactory(ABC):
    """Create the `Target` of an address; other platforms implement this."""

    @abstractmethod
    def target(self, member: str, address: str) -> Target:
        """Return the target of `member` at `address` (``IP:port``)."""
