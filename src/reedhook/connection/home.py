"""Interface of the home of a target, the only host component that accesses it."""

from abc import ABC, abstractmethod

from ..record import Record
from ..request.refusal import RefusalError
from ..request.statement import Statement
from ..version.catalog import Group, Limits, Member
from .target import MemberState, TargetResult


class HomeLoad(Record):
    """Describe the current load of a home.

    :param wait: expected wait of a new statement, in seconds.
    :param queued: number of waiting statements.
    :param busy: slots in use.
    """

    __slots__ = ("wait", "queued", "busy")

    def __init__(self, wait: float, queued: int, busy: int) -> None:
        self.wait = wait
        self.queued = queued
        self.busy = busy


class Home(ABC):
    """Own the connections, slots, queue and known state of one target.

    :ivar group: the group that the target belongs to.
    :ivar member: the target.
    :ivar state: the newest known state; None before the first answer.
    :ivar state_requested_at: local monotonic time in seconds at which `state` was
        requested; the state is at least as new.
    :ivar unreachable_since: local monotonic time in seconds since when the target has
        not replied, even on new connections; None while it replies.
    :ivar leaving: whether the target accepts no new work.
    """

    group: Group
    member: Member
    state: MemberState | None
    state_requested_at: float
    unreachable_since: float | None
    leaving: bool

    @abstractmethod
    async def start(self) -> None:
        """Start to follow the state of the target."""

    @abstractmethod
    async def close(self, grace: float) -> None:
        """Refuse new work, let current work end within `grace` seconds, and close."""

    @abstractmethod
    def update_limits(self, limits: Limits) -> None:
        """Apply limits that have changed in the configuration."""

    @abstractmethod
    async def run(self, statement: Statement) -> TargetResult:
        """Queue `statement`, run it in a slot, and return the result.

        A transaction is pinned to one connection, which ``begin`` reserves. The caller
        of this method chooses its id, ``statement.transaction``.

        :raises RefusalError: with a correct verdict.
        """

    @abstractmethod
    def has_transaction(self, transaction: str) -> bool:
        """Return whether a transaction is open here."""

    @abstractmethod
    def unknown_transaction_refusal(self, statement: Statement) -> RefusalError:
        """Return the refusal of a statement whose transaction is not open here.

        The reason is ``transaction_lost`` if this home ended the transaction.
        """

    @abstractmethod
    async def wait_for_state_change(self, revision: int, timeout: float) -> None:
        """Wait until the revision of `state` differs, or for `timeout` seconds."""

    @abstractmethod
    def merge_state(self, state: MemberState, requested_at: float) -> None:
        """Replace the known state with one from elsewhere, if that is newer."""

    @abstractmethod
    async def fetch_state(self, timeout: float) -> MemberState:
        """Request the current state from the target, on a new connection if need be.

        :raises TargetError: if the request fails on a new connection too.
        """

    @abstractmethod
    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        """Call `TargetConnection.raise_term` on the target."""

    @abstractmethod
    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        """Call `TargetConnection.promote` on the target."""

    @abstractmethod
    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        """Call `TargetConnection.follow` on the target."""

    @abstractmethod
    def load(self) -> HomeLoad:
        """Return the current load."""
