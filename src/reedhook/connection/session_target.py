"""Interface of connections to targets that keep session state."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Final

from ..record import Record
from ..request.position import Position
from ..version.route_table import TargetAnnouncement
from .session_state import SessionState


class SessionTargetUnreachableError(Exception):
    """No connection could be opened; nothing was sent."""


class SessionTargetFullError(SessionTargetUnreachableError):
    """The target accepts no further connection."""


class WrongTargetError(SessionTargetUnreachableError):
    """Another target replies at the address."""


class SessionTargetDataLossError(SessionTargetUnreachableError):
    """The target has lost data that it had acknowledged or returned before."""


class SessionTargetNoReplyError(Exception):
    """An exchange got no complete reply; its statements may have run."""


class TargetQuery(Record):
    """Carry one statement to a target.

    :param id: the caller's id of the statement; empty for an internal one.
    :param text: the text that the target runs.
    :param min_position: the lowest log position at which the target may run it.
    """

    __slots__ = ("id", "text", "min_position")

    def __init__(
        self, id: str, text: str, min_position: Position | None = None
    ) -> None:
        self.id = id
        self.text = text
        self.min_position = min_position


class StatementFault(str, Enum):
    """Reason why a target did not run a statement successfully."""

    NONE = ""
    BUSY = "busy"
    UNKNOWN_NAME = "unknown_name"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    ABORTED = "aborted"
    MALFORMED = "malformed"
    FAILED = "failed"
    TIMEOUT = "timeout"


RETRYABLE_FAULTS: Final = frozenset(
    {StatementFault.BUSY, StatementFault.LAGGING, StatementFault.READ_ONLY}
)
"""Faults after which the same statement may be sent again."""


class SessionTargetReply(Record):
    """Carry the reply of a target to one statement.

    :param signature: the target's proof of execution.
    :param fault: why it failed; `StatementFault.NONE` for success.
    :param detail: message of the fault.
    :param state: state of the connection afterwards; other sessions must not use it
        while a transaction is open or failed.
    :param position: the last log entry visible to reads.
    """

    __slots__ = ("rows", "signature", "fault", "detail", "state", "position")

    def __init__(
        self,
        rows: list[str],
        signature: str,
        fault: StatementFault,
        detail: str,
        state: SessionState,
        position: Position | None,
    ) -> None:
        self.rows = rows
        self.signature = signature
        self.fault = fault
        self.detail = detail
        self.state = state
        self.position = position


class SessionTargetStatus(Record):
    """Carry the state that a target reports.

    :param is_primary: whether it is the primary of `term`.
    :param received: the last log entry that it holds.
    :param connections: connections open to it from all hosts.
    """

    __slots__ = ("is_primary", "term", "received", "connections")

    def __init__(
        self, is_primary: bool, term: int, received: Position, connections: int
    ) -> None:
        self.is_primary = is_primary
        self.term = term
        self.received = received
        self.connections = connections


class SessionTargetConnection(ABC):
    """Hold one open connection; one exchange runs at a time.

    :ivar closed: whether the connection has ended or its state is unknown.
    :ivar initial_position: the position that the target reported when the connection
        was opened.
    """

    closed: bool
    initial_position: Position | None

    @abstractmethod
    async def exchange(
        self, queries: list[TargetQuery], timeout: float
    ) -> list[SessionTargetReply]:
        """Send the queries together and return their replies in order.

        The bytes are handed to the operating system before the first await suspends.

        :param timeout: seconds for all replies.
        :raises SessionTargetNoReplyError: if a reply is missing; the connection is
            closed.
        """

    @abstractmethod
    async def status(self, timeout: float) -> SessionTargetStatus:
        """Request the state of the target.

        :raises SessionTargetNoReplyError: if it gives no usable reply.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class SessionTargetDriver(ABC):
    """Open connections to targets."""

    @abstractmethod
    async def connect(
        self, entry: TargetAnnouncement, timeout: float, workspace: str = ""
    ) -> SessionTargetConnection:
        """Open a connection to the target and verify the target's identity.

        :param timeout: seconds.
        :param workspace: the workspace that the connection is bound to; empty for
            internal statements and for callers without a workspace.
        :raises SessionTargetUnreachableError: if it cannot be opened.
        """


class StatementDialect(ABC):
    """Build internal statements in the syntax of the targets."""

    @abstractmethod
    def begin(self, read_only: bool) -> str:
        """Return the text that begins a transaction."""

    @abstractmethod
    def rollback(self) -> str:
        """Return the text that rolls back a transaction."""

    @abstractmethod
    def reset(self) -> str:
        """Return the text that clears settings and prepared statements."""

    @abstractmethod
    def deallocate(self, name: str) -> str:
        """Return the text that deallocates a prepared statement."""

    @abstractmethod
    def demote(self, term: int) -> str:
        """Return the text that demotes a primary of a term lower than `term`."""
