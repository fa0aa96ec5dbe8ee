"""Interface for executing a statement at the home of a member."""

from abc import ABC, abstractmethod

from ..peer import HostRef
from ..record import Record
from ..wire import Json
from .group_view import GroupView
from .statement import Statement, StatementResult


class HomeResponse(Record):
    """Carry a statement's result with the state of the home.

    :param expected_wait: expected wait of the next statement at this home, in seconds.
    :param view: the home's view of the group.
    :param host: the host that executed the statement; set by the receiver.
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
        """Return the JSON response of the peer path ``statement``."""
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
        """Decode the response of `host`.

        :param requested_at: local monotonic time at which the statement was sent.
        :param include_members: whether to decode the members in the view.
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
        """Execute `statement` at `member` with the consistency that it requires.

        :raises RefusalError: with a correct verdict.
        """
