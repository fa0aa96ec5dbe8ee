"""Interface by which a statement is executed at the home of a member."""

from abc import ABC, abstractmethod

from ..peer import HostRef
from ..record import Record
from ..wire import Json
from .group_view import GroupView
from .statement import Statement, StatementResult


class HomeResponse(Record):
    """Carry an answer with what the home says besides.

    :param expected_wait: expected wait of the next statement at this home, in seconds.
    :param view: what the home knows of the group.
    :param host: the host that executed the statement; set by the sender.
    """

    __slots__ = ("result", "expected_wait", "view", "host")

    def __init__(
        self,
        result: StatementResult,
        expected_wait: float,
        view: GroupView,
        host: HostRef | None = None,
    ) -> None:
        self.result = result
        self.expected_wait = expected_wait
        self.view = view
        self.host = host

    def to_json(self, now: float) -> Json:
        """Return the answer of the peer path ``statement``."""
        return {
            "answer": self.result.to_json(),
            "wait": self.expected_wait,
            "view": self.view.to_json(now),
        }

    @classmethod
    def from_json(
        cls,
        message: Json,
        requested_at: float,
        host: HostRef,
        include_members: bool = True,
    ) -> "HomeResponse":
        """Read the answer of `host` to a statement sent at `asked`.

        :param include_members: whether to read what the view says of the members.
        """
        return cls(
            StatementResult.from_json(message["answer"]),
            message["wait"],
            GroupView.from_json(message["view"], requested_at, include_members),
            host,
        )


class StatementExecutor(ABC):
    """Execute statements at members, here or at another host."""

    @abstractmethod
    async def execute(self, member: str, statement: Statement) -> HomeResponse:
        """Execute `statement` at `member` and prove what it demands.

        :raises Refusal: with a verdict that holds.
        """
