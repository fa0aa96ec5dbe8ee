"""Interface of connections to targets that keep the state of a session."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Final

from ..record import Record
from ..request.position import Position
from ..version.route_table import TargetAnnouncement
from .session_state import SessionState


class SessionTargetUnreachableError(Exception):
    """Say that no connection could be opened; nothing was sent."""


class SessionTargetFullError(SessionTargetUnreachableError):
    """Say that the target accepts no further connection."""


class WrongTargetError(SessionTargetUnreachableError):
    """Say that another target answers at the address."""


class SessionTargetDataLossError(SessionTargetUnreachableError):
    """Say that the target holds less than it has answered with before."""


class SessionTargetNoReplyError(Exception):
    """Say that an exchange was not answered in full; it may have run."""


class TargetQuery(Record):
    """Carry one statement for a target.

    :param id: the caller's id of the statement; empty for one of our own.
    :param text: as the target is to run it.
    :param min_position: the position that the target's log must hold.
    """

    __slots__ = ("id", "text", "min_position")

    def __init__(
        self, id: str, text: str, min_position: Position | None = None
    ) -> None:
        self.id = id
        self.text = text
        self.min_position = min_position


class StatementFault(str, Enum):
    """Name why a target did not do what it was asked for."""

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
"""Faults after which the same statement may be sent anew."""


class SessionTargetReply(Record):
    """Carry the answer of a target to one statement.

    :param signature: the target's proof that it ran the statement.
    :param fault: why it failed; `Fault.NONE` for a success.
    :param detail: text that goes with the fault.
    :param state: of the connection afterwards; a transaction that is open, or
        failed, keeps others from using it.
    :param position: the last entry in the log that reads see.
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
    """Carry what a target says of itself.

    :param is_primary: whether it is the primary of `term`.
    :param received: the last entry that it holds.
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

    :ivar lost: whether the connection has ended or is in doubt.
    :ivar initial_position: the position that the target stated as the connection
        opened.
    """

    closed: bool
    initial_position: Position | None

    @abstractmethod
    async def exchange(
        self, queries: list[TargetQuery], timeout: float
    ) -> list[SessionTargetReply]:
        """Send the queries together and return their answers in order.

        The bytes are handed to the operating system before the first pause.

        :param timeout: seconds for all answers.
        :raises MemberSilent: if an answer is missing; the connection is closed.
        """

    @abstractmethod
    async def status(self, timeout: float) -> SessionTargetStatus:
        """Ask the target for its state.

        :raises MemberSilent: if it gives no usable answer.
        """

    @abstractmethod
    def close(self) -> None:
        """Close; the target rolls an open transaction back."""


class SessionTargetDriver(ABC):
    """Open connections to targets."""

    @abstractmethod
    async def connect(
        self, entry: TargetAnnouncement, timeout: float, workspace: str = ""
    ) -> SessionTargetConnection:
        """Open a connection to the target and check that it is the one.

        :param timeout: seconds.
        :param workspace: whose statements it is for; empty for those of this system,
            and for those of callers without a workspace.
        :raises MemberUnreachable: if it cannot be opened.
        """


class StatementDialect(ABC):
    """Word our own statements as the targets expect them."""

    @abstractmethod
    def begin(self, read_only: bool) -> str:
        """Return the text that begins a transaction."""

    @abstractmethod
    def rollback(self) -> str:
        """Return the text that rolls a transaction back."""

    @abstractmethod
    def reset(self) -> str:
        """Return the text that clears values and prepared statements."""

    @abstractmethod
    def deallocate(self, name: str) -> str:
        """Return the text that forgets a prepared statement."""

    @abstractmethod
    def demote(self, term: int) -> str:
        """Return the text that makes a primary of a lower term a replica."""
