"""Routes statements, and runs failed reads again at other targets."""

from typing import Final

from ..clock import Clock
from ..connection.session_target import StatementFault
from ..decision_log import DecisionLog
from ..host_directory import HostDirectory
from ..peer import PeerClient
from ..process.primary_lease.lease_registry import PrimaryLeaseRegistry
from ..version.route_table import Route, TargetAnnouncement
from .position import Position
from .refusal import RefusalError, RefusalReason
from .replica_reader import ReplicaReadResult
from .retry_budget import REFUSAL_RESERVE
from .retrying_replica_reader import MIN_ATTEMPT_SECONDS, RetryingReplicaReader
from .session_router import SessionRouter
from .session_statement import SessionStatement
from .statement_forwarder import LocatedResult, StatementForwarder
from .statement_retries import (
    StatementRetries,
    may_repeat_after_refusal,
    may_repeat_after_reply,
)

MAX_EXTRA_ATTEMPTS: Final = 2
"""Attempts after those at two replicas and the primary. A service has few targets, and
each attempt takes time from the caller's."""

PRIMARY: Final = "primary"
"""Target of a refusal by the primary in the log, since its id may be unknown."""


class RetryingRouter(SessionRouter):
    """Give a read's error to the caller only when no other target can serve it.

    Statements that write run again only in `SessionRouter.run_at_primary`, which
    repeats them while nothing has run.
    """

    def __init__(
        self,
        forwarder: StatementForwarder,
        replica_reader: RetryingReplicaReader,
        lease_registry: PrimaryLeaseRegistry,
        directory: HostDirectory,
        peers: PeerClient,
        clock: Clock,
        decisions: DecisionLog,
        retries: StatementRetries,
    ) -> None:
        super().__init__(
            forwarder,
            replica_reader,
            lease_registry,
            directory,
            peers,
            clock,
            decisions,
        )
        self.reader = replica_reader
        self.retries = retries

    async def run(
        self,
        route: Route,
        statement: SessionStatement,
        session_position: Position | None,
        replica_allowed: bool,
    ) -> LocatedResult:
        located = await super().run(route, statement, session_position, replica_allowed)
        if located.result.reply.fault is StatementFault.NONE:
            self.retries.record_success()
        return located

    async def run_after_replicas(
        self,
        statement: SessionStatement,
        replica_result: ReplicaReadResult,
        deadline: float,
    ) -> LocatedResult:
        min_position = statement.min_position
        try:
            located = await super().run_after_replicas(
                statement, replica_result, deadline
            )
        except RefusalError as refusal:
            other = None
            if may_repeat_after_refusal(statement, refusal):
                cause = refusal.reason.value
                other = await self.run_elsewhere(
                    statement,
                    min_position,
                    replica_result,
                    deadline,
                    cause,
                    REFUSAL_RESERVE,
                )
            other = other or replica_result.failure
            if other is None:
                raise
            return other
        if not may_repeat_after_reply(statement, located.result.reply):
            return located
        cause = located.result.reply.fault.value
        other = await self.run_elsewhere(
            statement, min_position, replica_result, deadline, cause
        )
        return other or located

    async def run_elsewhere(
        self,
        statement: SessionStatement,
        min_position: Position | None,
        replica_result: ReplicaReadResult,
        deadline: float,
        cause: str,
        reserve: float = 0.0,
    ) -> LocatedResult | None:
        """Run a read at the replicas that are left after the primary did not serve it.

        :param min_position: the position that the read requires of any replica; None
            if only the primary may serve it.
        :param cause: why the primary did not serve it.
        :param reserve: tokens of the retry budget that this must leave.
        :returns: None if no target served it.
        """
        if min_position is None:
            return None
        for _ in range(MAX_EXTRA_ATTEMPTS):
            tried = replica_result.tried
            entry = self.reader.last_resort(statement.service, min_position, tried)
            if entry is None or deadline - self.clock.monotonic() < MIN_ATTEMPT_SECONDS:
                return None
            if not self.retries.allows(statement, PRIMARY, cause, reserve):
                return None
            tried.add(entry.target)
            statement.min_position = min_position
            statement.wait_limit_seconds = None
            outcome = await self.try_replica(entry, statement, deadline)
            if outcome is not None and outcome.located_result is not None:
                return outcome.located_result
        return None

    async def try_replica(
        self, entry: TargetAnnouncement, statement: SessionStatement, deadline: float
    ) -> ReplicaReadResult | None:
        """Run a read at a replica; return None if it refused.

        :raises RefusalError: if no target may run the statement any more.
        """
        try:
            return await self.reader.run_at_replica(entry, statement, deadline)
        except RefusalError as refusal:
            if refusal.reason is RefusalReason.TARGET_LOST:
                return None
            raise
