"""The open transactions at one target, and how they end."""

import asyncio
from typing import Final

from ..background import Background
from ..decisions import Decisions
from ..request.work import SessionStatement, SessionStatementKind
from .lane import Lane
from .lanes import Lanes
from .member import MemberReply, MemberSilent, Phrases, Query
from .state import SessionState

REST_MARGIN: Final = 1.0
"""Seconds beyond the rest that a transaction is allowed, after which the home
ends it itself: the host of its session has gone then."""

ROLLBACK_TIMEOUT: Final = 0.3
"""Seconds for a rollback; after them the connection is closed, which rolls back."""


class Transaction:
    """Hold the connection of an open transaction."""

    __slots__ = ("name", "lane", "busy", "timer", "settings", "workspace")

    def __init__(
        self,
        name: str,
        lane: Lane,
        settings: dict[str, str],
        workspace: str = "",
    ) -> None:
        self.name = name
        self.workspace = workspace
        self.lane = lane
        self.busy = False
        self.timer: asyncio.TimerHandle | None = None
        self.settings = settings


class OpenTransactions:
    """Keep the transactions that are open at one target, each on its connection.

    :param target: the target's id.
    :param rest: seconds for which a transaction may rest.
    :ivar by_name: those that are open.
    """

    def __init__(
        self,
        target: str,
        lanes: Lanes,
        phrases: Phrases,
        rest: float,
        decisions: Decisions,
    ) -> None:
        self.target = target
        self.lanes = lanes
        self.phrases = phrases
        self.rest = rest
        self.decisions = decisions
        self.by_name: dict[str, Transaction] = {}
        self.background = Background(decisions, target=target)

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    def add(self, transaction: Transaction) -> None:
        """Keep a transaction that was begun."""
        self.by_name[transaction.name] = transaction

    def get(self, name: str) -> Transaction | None:
        """Return a transaction, or None if it is not open."""
        return self.by_name.get(name)

    def after_step(
        self, transaction: Transaction, work: SessionStatement, reply: MemberReply
    ) -> None:
        """Let the transaction rest, or end it.

        A commit that was turned away leaves it open at the target.
        """
        transaction.busy = False
        if reply.state is SessionState.IDLE:
            self.forget(transaction)
            self.lanes.give_back(transaction.lane)
            return
        if (
            work.kind is SessionStatementKind.COMMIT
            or reply.state is SessionState.FAILED
        ):
            self.roll_back(transaction)
            return
        loop = asyncio.get_running_loop()
        transaction.timer = loop.call_later(
            self.rest + REST_MARGIN, self.rested, transaction
        )

    def rested(self, transaction: Transaction) -> None:
        """End a transaction whose session seems to be gone."""
        self.decisions.note(
            "transaction_ended",
            transaction=transaction.name,
            target=self.target,
            cause="rested too long",
        )
        self.roll_back(transaction)

    def end(self, name: str) -> None:
        """Roll a transaction back, if it is open."""
        transaction = self.get(name)
        if transaction is None:
            return
        if transaction.busy:
            self.drop(transaction)
        else:
            self.roll_back(transaction)

    def drop(self, transaction: Transaction) -> None:
        """Close the connection of a transaction, which rolls it back."""
        self.forget(transaction)
        self.lanes.discard(transaction.lane)

    def roll_back(self, transaction: Transaction) -> None:
        """Roll back in the background and keep the connection."""
        self.forget(transaction)
        self.background.spawn(self.rolled_back(transaction))

    def forget(self, transaction: Transaction) -> None:
        """Keep a transaction no more; its connection is still lent."""
        self.by_name.pop(transaction.name, None)
        if transaction.timer is not None:
            transaction.timer.cancel()

    async def rolled_back(self, transaction: Transaction) -> None:
        """Send the rollback; a connection that does not answer is closed."""
        lane = transaction.lane
        # Whether a rollback takes values back that were set in the transaction
        # is not stated, so that the state is made anew.
        lane.unsure = True
        try:
            query = Query("", self.phrases.rollback())
            (reply,) = await lane.connection.exchange([query], ROLLBACK_TIMEOUT)
        except MemberSilent as error:
            self.decisions.note(
                "rollback_unanswered", target=self.target, error=str(error)
            )
            self.lanes.discard(lane)
            return
        self.lanes.release(lane, reply)

    def end_all(self, cause: str) -> None:
        """Roll all open transactions back by closing their connections."""
        for transaction in list(self.by_name.values()):
            self.decisions.note(
                "transaction_ended",
                transaction=transaction.name,
                target=self.target,
                cause=cause,
            )
            self.drop(transaction)

    def close(self) -> None:
        """End all transactions, and the rollbacks in progress."""
        self.end_all("the home was closed")
        self.background.cancel()
