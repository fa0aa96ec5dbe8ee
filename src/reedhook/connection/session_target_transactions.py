"""Open transactions of sessions at one target."""

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
"""Grace beyond the idle limit, which the session's host enforces. After it the home
rolls back the transaction, since that host has probably failed."""

ROLLBACK_TIMEOUT_SECONDS: Final = 0.3
"""Timeout of a rollback, after which the connection is closed instead."""


class SessionTargetTransaction:
    """Track an open transaction and its connection."""

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
    """Track the open transactions at one target, each on its own connection.

    :param target: the target's id.
    :param idle_seconds: seconds for which a transaction may be idle.
    :ivar by_name: open transactions by name.
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
        """Add a transaction that has begun."""
        self.by_name[transaction.name] = transaction

    def get(self, name: str) -> SessionTargetTransaction | None:
        """Return an open transaction, or None."""
        return self.by_name.get(name)

    def after_step(
        self,
        transaction: SessionTargetTransaction,
        work: SessionStatement,
        reply: SessionTargetReply,
    ) -> None:
        """Start the idle timer of a transaction, or end it.

        A commit that the target refused leaves the transaction open there, so it is
        rolled back.
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
        """Roll back an idle transaction whose session has probably been lost."""
        self.decisions.record(
            "transaction_ended",
            transaction=transaction.name,
            target=self.target,
            cause="idle for too long",
        )
        self.start_rollback(transaction)

    def end(self, name: str) -> None:
        """Roll back a transaction, if it is open."""
        transaction = self.get(name)
        if transaction is None:
            return
        if transaction.busy:
            self.drop(transaction)
        else:
            self.start_rollback(transaction)

    def drop(self, transaction: SessionTargetTransaction) -> None:
        """Close the connection of a transaction, which rolls back the transaction.

        Its statement in progress then fails and drops it once more, without effect.
        """
        if self.by_name.get(transaction.name) is not transaction:
            return
        self.forget(transaction)
        self.connections.discard(transaction.pooled_connection)

    def start_rollback(self, transaction: SessionTargetTransaction) -> None:
        """Roll back in the background and keep the connection."""
        self.forget(transaction)
        self.background.spawn(self.run_rollback(transaction))

    def forget(self, transaction: SessionTargetTransaction) -> None:
        """Remove a transaction; its connection remains lent."""
        self.by_name.pop(transaction.name, None)
        if transaction.timer is not None:
            transaction.timer.cancel()

    async def run_rollback(self, transaction: SessionTargetTransaction) -> None:
        """Send the rollback, and close the connection if there is no reply."""
        pooled = transaction.pooled_connection
        # A rollback may or may not undo settings made in the transaction, so the
        # state must be applied anew.
        pooled.state_uncertain = True
        try:
            query = TargetQuery("", self.dialect.rollback())
            (reply,) = await pooled.connection.exchange(
                [query], ROLLBACK_TIMEOUT_SECONDS
            )
        except SessionTargetNoReplyError as error:
            self.decisions.record(
                "rollback_unanswered", target=self.target, error=str(error)
            )
            self.connections.discard(pooled)
            return
        self.connections.release(pooled, reply)

    def end_all(self, cause: str) -> None:
        """Roll back all open transactions by closing their connections."""
        for transaction in list(self.by_name.values()):
            self.decisions.record(
                "transaction_ended",
                transaction=transaction.name,
                target=self.target,
                cause=cause,
            )
            self.drop(transaction)

    def close(self) -> None:
        """End all transactions and cancel rollbacks in progress."""
        self.end_all("the home was closed")
        self.background.cancel()
