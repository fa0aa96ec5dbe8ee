"""Interface of the home of a target: the one place that talks to it."""

from abc import ABC, abstractmethod

from ..record import Record
from ..request.refusal import RefusalError
from ..request.statement import Statement
from ..version.catalog import Group, Limits, Member
from .target import MemberState, TargetResult


class HomeLoad(Record):
    """Carry how busy a home is.

    :param wait: expected wait of a new statement, in seconds.
    :param queued: statements that wait.
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
    :ivar state_requested_at: local monotonic time in seconds at which the question
        was sent that `state` answers; the state is at least as new.
    :ivar unreachable_since: local monotonic time since when the target
        answers nothing, also on a new connection; None while it answers.
    :ivar leaving: whether the target takes no new work.
    """

    group: Group
    member: Member
    state: MemberState | None
    state_requested_at: float
    unreachable_since: float | None
    leaving: bool

    @abstractmethod
    async def start(self) -> None:
        """Open the control connection and begin to follow the state."""

    @abstractmethod
    async def close(self, grace: float) -> None:
        """Refuse new work, let work in progress end for `grace` seconds, close."""

    @abstractmethod
    def update_limits(self, limits: Limits) -> None:
        """Put limits in force that the configuration has changed."""

    @abstractmethod
    async def run(self, statement: Statement) -> TargetResult:
        """Queue `statement`, run it in a slot, and return the result.

        Transactions are pinned to one connection: ``begin`` reserves it under
        ``statement.transaction``, which the caller of this method chose.

        :raises Refusal: with a verdict that holds.
        """

    @abstractmethod
    def has_transaction(self, transaction: str) -> bool:
        """Say whether a transaction is open here."""

    @abstractmethod
    def unknown_transaction_refusal(self, statement: Statement) -> RefusalError:
        """Return the refusal of a statement whose transaction is not open here.

        It is ``transaction_lost`` if this home ended the transaction.
        """

    @abstractmethod
    async def wait_for_state_change(self, revision: int, timeout: float) -> None:
        """Return once `state` has another revision, or after `timeout` seconds."""

    @abstractmethod
    def merge_state(self, state: MemberState, requested_at: float) -> None:
        """Take over a state that was learned elsewhere, if it is newer."""

    @abstractmethod
    async def fetch_state(self, timeout: float) -> MemberState:
        """Ask the target for its state now, on a new connection if need be.

        :raises TargetError: if it does not answer on a new connection either.
        """

    @abstractmethod
    async def raise_term(self, term: int, owner: str, timeout: float) -> MemberState:
        """Pass on to the target; see `TargetConnection.raise_term`."""

    @abstractmethod
    async def promote(self, term: int, owner: str, timeout: float) -> MemberState:
        """Pass on to the target; see `TargetConnection.promote`."""

    @abstractmethod
    async def follow(self, term: int, primary: str, timeout: float) -> MemberState:
        """Pass on to the target; see `TargetConnection.follow`."""

    @abstractmethod
    def load(self) -> HomeLoad:
        """Return how busy the home is now."""
