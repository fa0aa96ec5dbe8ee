"""The open transactions at one target, and how they end."""

import asyncio
from typing import Final

from ..background_tasks import BackgroundTasks
from ..decision_log import DecisionLog
from ..request.session_statement import SessionStatement, SessionStatementKind
from .pooled_connection import PooledConnection
from .session_connection_pool import SessionConnectionPool
from .session_state import SessionState
from .session_target import (
    SessionTargetNoReplyError,
    SessionTargetReply,
    StatementDialect,
    TargetQuery,
)

IDLE_MARGIN_SECONDS: Final = 1.0
"""Seconds beyond the rest that a transaction is allowed, after which the home
ends it itself: the host of its session has gone then."""

ROLLBACK_TIMEOUT_SECONDS: Final = 0.3
"""Seconds for a rollback; after them the connection is closed, which rolls back."""


class SessionTargetTransaction:
    """Hold the connection of an open transaction."""

    __slots__ = ("name", "pooled_connection", "busy", "timer", "settings", "workspace")

    def __init__(
        self,
        name: str,
        pooled_connection: PooledConnection,
        settings: dict[str, str],
        workspace: str = "",
    ) -> None:
        self.name = name
        self.workspace = workspace
        self.pooled_connection = pooled_connection
        self.busy = False
        self.timer: asyncio.TimerHandle | None = None
        self.settings = settings


class SessionTargetTransactions:
    """Keep the transactions that are open at one target, each on its connection.

    :param target: the target's id.
    :param idle_seconds: seconds for which a transaction may rest.
    :ivar by_name: those that are open.
    """

    def __init__(
        self,
        target: str,
        connections: SessionConnectionPool,
        dialect: StatementDialect,
        idle_seconds: float,
        decisions: DecisionLog,
    ) -> None:
        self.target = target
        self.connections = connections
        self.dialect = dialect
        self.idle_seconds = idle_seconds
        self.decisions = decisions
        self.by_name: dict[str, SessionTargetTransaction] = {}
        self.background = BackgroundTasks(decisions, target=target)

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    def add(self, transaction: SessionTargetTransaction) -> None:
        """Keep a transaction that was begun."""
        self.by_name[transaction.name] = transaction

    def get(self, name: str) -> SessionTargetTransaction | None:
        """Return a transaction, or None if it is not open."""
        return self.by_name.get(name)

    def after_step(
        self,
        transaction: SessionTargetTransaction,
        work: SessionStatement,
        reply: SessionTargetReply,
    ) -> None:
        """Let the transaction rest, or end it.

        A commit that was turned away leaves it open at the target.
        """
        transaction.busy = False
        if reply.state is SessionState.IDLE:
            self.forget(transaction)
            self.connections.give_back(transaction.pooled_connection)
            return
        if (
            work.kind is SessionStatementKind.COMMIT
            or reply.state is SessionState.FAILED
        ):
            self.start_rollback(transaction)
            return
        loop = asyncio.get_running_loop()
        transaction.timer = loop.call_later(
            self.idle_seconds + IDLE_MARGIN_SECONDS, self.abort_idle, transaction
        )

    def abort_idle(self, transaction: SessionTargetTransaction) -> None:
        """End a transaction whose session seems to be gone."""
        self.decisions.record(
            "transaction_ended",
            transaction=transaction.name,
            target=self.target,
            cause="rested too long",
        )
        self.start_rollback(transaction)

    def end(self, name: str) -> None:
        """Roll a transaction back, if it is open."""
        transaction = self.get(name)
        if transaction is None:
            return
        if transaction.busy:
            self.drop(transaction)
        else:
            self.start_rollback(transaction)

    def drop(self, transaction: SessionTargetTransaction) -> None:
        """Close the connection of a transaction, which rolls it back."""
        self.forget(transaction)
        self.connections.discard(transaction.pooled_connection)

    def start_rollback(self, transaction: SessionTargetTransaction) -> None:
        """Roll back in the background and keep the connection."""
        self.forget(transaction)
        self.background.spawn(self.run_rollback(transaction))

    def forget(self, transaction: SessionTargetTransaction) -> None:
        """Keep a transaction no more; its connection is still lent."""
        self.by_name.pop(transaction.name, None)
        if transaction.timer is not None:
            transaction.timer.cancel()

    async def run_rollback(self, transaction: SessionTargetTransaction) -> None:
        """Send the rollback; a connection that does not answer is closed."""
        lane = transaction.pooled_connection
        # Whether a rollback takes values back that were set in the transaction
        # is not stated, so that the state is made anew.
        lane.state_uncertain = True
        try:
            query = TargetQuery("", self.dialect.rollback())
            (reply,) = await lane.connection.exchange([query], ROLLBACK_TIMEOUT_SECONDS)
        except SessionTargetNoReplyError as error:
            self.decisions.record(
                "rollback_unanswered", target=self.target, error=str(error)
            )
            self.connections.discard(lane)
            return
        self.connections.release(lane, reply)

    def end_all(self, cause: str) -> None:
        """Roll all open transactions back by closing their connections."""
        for transaction in list(self.by_name.values()):
            self.decisions.record(
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
