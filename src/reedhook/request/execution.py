"""Interface by which a statement is executed at the home of a member."""

from abc import ABC, abstractmethod

from ..record import Record
from .statement import Answer, Statement
from .view import GroupView


class Served(Record):
    """Carry an answer with what the home says besides.

    :param wait: expected wait of the next statement at this home, in seconds.
    :param view: what the home knows of the group.
    """

    __slots__ = ("answer", "wait", "view")

    def __init__(self, answer: Answer, wait: float, view: GroupView) -> None:
        self.answer = answer
        self.wait = wait
        self.view = view


class Execution(ABC):
    """Execute statements at members, here or at another host."""

    @abstractmethod
    async def execute(self, member: str, statement: Statement) -> Served:
        """Execute `statement` at `member` and prove what it demands.

        :raises Refusal: with a verdict that holds.
        """
