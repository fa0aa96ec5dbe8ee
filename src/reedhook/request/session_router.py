"""Routes session statements to the primary or to a replica."""

from typing import Final

from ..clock import Clock
from ..connection.session_target import StatementFault
from ..connection.session_target_home import BUSY_RETRY_SECONDS, MAX_BUSY_RETRIES
from ..decision_log import DecisionLog
from ..host_directory import HostDirectory
from ..peer import PeerClient, PeerError
from ..process.discovery.store_revision import NO_REVISION, StoreRevision
from ..process.primary_lease.lease_recovery import RECORDS_PATH
from ..process.primary_lease.lease_registry import PrimaryLeaseRegistry
from ..version.route_table import Route, RouteConsistency
from ..wire import WireError
from .position import Position
from .refusal import RefusalError, RefusalReason, not_run
from .replica_reader import ReplicaReader, ReplicaReadResult, retry_after_seconds
from .session_statement import (
    SessionStatement,
    SessionStatementKind,
    SessionStatementResult,
)
from .statement_forwarder import LocatedResult, StatementForwarder, StatementLocation
from .verdict import Verdict

RECORDS_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of a request for another host's primary lease records."""

MAX_PRIMARY_WAIT_SECONDS: Final = 0.5
"""Limit of the search for a primary. It must leave enough of the shortest
statement timeout to run the statement afterwards."""

PRIMARY_RETRY_SECONDS: Final = 0.06

RETRY_AFTER_MS: Final = 100

PRIMARY_MOVED_REASONS: Final = frozenset(
    {
        RefusalReason.WRONG_HOME,
        RefusalReason.HOST_UNREACHABLE,
        RefusalReason.TARGET_UNREACHABLE,
        RefusalReason.NO_PRIMARY,
    }
)
"""Refusals after which another host may soon hold the primary lease."""


class SessionRouter:
    """Route statements to targets through their homes."""

    def __init__(
        self,
        forwarder: StatementForwarder,
        replica_reader: ReplicaReader,
        lease_registry: PrimaryLeaseRegistry,
        directory: HostDirectory,
        peers: PeerClient,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.forwarder = forwarder
        self.replica_reader = replica_reader
        self.lease_registry = lease_registry
        self.directory = directory
        self.me = directory.me
        self.peers = peers
        self.clock = clock
        self.decisions = decisions

    async def run(
        self,
        route: Route,
        statement: SessionStatement,
        session_position: Position | None,
        replica_allowed: bool,
    ) -> LocatedResult:
        """Run a statement that is not part of an open transaction.

        :param session_position: the position of the session's last commit.
        :param replica_allowed: whether a replica may serve the statement.
        :raises RefusalError: with a verdict that covers all attempts.
        """
        deadline = self.clock.monotonic() + statement.remaining
        if not replica_allowed or route.kind is RouteConsistency.PRIMARY:
            return await self.run_at_primary(statement, deadline)
        statement.replica_allowed = not statement.transaction
        replica_result = await self.replica_reader.run_read(
            route, statement, session_position, deadline
        )
        if replica_result.located_result is not None:
            return replica_result.located_result
        return await self.run_after_replicas(statement, replica_result, deadline)

    async def run_after_replicas(
        self,
        statement: SessionStatement,
        replica_result: ReplicaReadResult,
        deadline: float,
    ) -> LocatedResult:
        """Run a read that no replica served at once.

        :raises RefusalError: with a verdict that covers all attempts.
        """
        if replica_result.overloaded_replica is not None:
            return await self.run_at_shortest_wait(statement, replica_result, deadline)
        statement.wait_limit_seconds = None
        return await self.run_at_primary(statement, deadline)

    async def run_at_shortest_wait(
        self,
        statement: SessionStatement,
        replica_result: ReplicaReadResult,
        deadline: float,
    ) -> LocatedResult:
        """Run a read at the primary if it has a free slot, else at the shortest queue.

        This uses the free slots of all targets before a read waits in a queue.

        :raises RefusalError: with a verdict that covers all attempts.
        """
        assert replica_result.overloaded_replica is not None
        min_position = statement.min_position
        try:
            return await self.run_at_primary(statement, deadline)
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN or statement.remaining <= 0.0:
                raise
            if refusal.reason in (
                RefusalReason.TRANSACTION_LOST,
                RefusalReason.RATE_LIMITED,
                RefusalReason.CALLER_GONE,
            ):
                # The first statement of a lost transaction was sent and must not run
                # on a second connection. The others hold for all targets.
                raise
            primary_is_sooner = refusal.reason is RefusalReason.OVERLOADED
            primary_is_sooner = (
                primary_is_sooner
                and retry_after_seconds(refusal) < replica_result.wait_seconds
            )
        statement.wait_limit_seconds = None
        if not primary_is_sooner:
            statement.min_position = min_position
            retried = await self.replica_reader.run_at_replica(
                replica_result.overloaded_replica, statement, deadline
            )
            if retried.located_result is not None:
                return retried.located_result
        return await self.run_at_primary(statement, deadline)

    async def run_at_primary(
        self, statement: SessionStatement, deadline: float
    ) -> LocatedResult:
        """Run a statement at the primary, retrying while the primary may move.

        :raises RefusalError: with a verdict that covers all attempts.
        """
        statement.target = ""
        statement.min_position = None
        give_up_at = self.clock.monotonic() + min(
            MAX_PRIMARY_WAIT_SECONDS, statement.remaining / 2
        )
        busy_retries = 0
        refused_by_backup = False
        while True:
            record = self.lease_registry.get(statement.service)
            revision = NO_REVISION if record is None else record.revision
            statement.subtract_elapsed(
                statement.remaining - (deadline - self.clock.monotonic())
            )
            try:
                if record is None:
                    raise no_primary(statement.service)
                host = self.forwarder.acting_holder(record, refused_by_backup)
                location = StatementLocation(host, "")
                result = await self.forwarder.run_at(location, statement)
            except RefusalError as refusal:
                if record is not None and host != record.holder.ref:
                    refused_by_backup = True
                    if refusal.reason is RefusalReason.WRONG_HOME:
                        continue
                await self.wait_before_retry(statement, refusal, revision, give_up_at)
                continue
            fault = result.reply.fault
            if (
                fault is StatementFault.BUSY
                and busy_retries < MAX_BUSY_RETRIES
                and statement.kind is not SessionStatementKind.COMMIT
            ):
                busy_retries += 1
                await self.clock.sleep(BUSY_RETRY_SECONDS)
                continue
            if (
                fault is StatementFault.READ_ONLY
                and self.clock.monotonic() < give_up_at
            ):
                self.forwarder.log_reroute(statement, result.target, fault.value)
                await self.clock.sleep(PRIMARY_RETRY_SECONDS)
                continue
            self.record_proof(statement.service, result)
            return LocatedResult(result, location)

    async def wait_before_retry(
        self,
        statement: SessionStatement,
        refusal: RefusalError,
        revision: StoreRevision,
        give_up_at: float,
    ) -> None:
        """Wait until another attempt may succeed.

        :raises RefusalError: if `refusal` is final or `give_up_at` has passed.
        """
        if (
            refusal.verdict is not Verdict.NOT_RUN
            or refusal.reason not in PRIMARY_MOVED_REASONS
        ):
            raise refusal
        if (
            refusal.reason is RefusalReason.NO_PRIMARY
            and retry_after_seconds(refusal) > MAX_PRIMARY_WAIT_SECONDS
        ):
            # The holder expects no primary while this statement may wait for one.
            raise refusal
        record = self.lease_registry.get(statement.service)
        unchanged = record is not None and record.revision == revision
        if self.clock.monotonic() >= give_up_at:
            raise refusal
        if (
            unchanged
            and record is not None
            and not self.forwarder.expects_failover(record.holder.ref)
        ):
            raise refusal
        self.forwarder.log_reroute(statement, "primary", refusal.reason.value)
        if refusal.reason in (RefusalReason.WRONG_HOME, RefusalReason.HOST_UNREACHABLE):
            await self.fetch_lease_records(statement.service)
        record = self.lease_registry.get(statement.service)
        if record is None or record.revision == revision:
            await self.clock.sleep(PRIMARY_RETRY_SECONDS)

    async def fetch_lease_records(self, service: str) -> None:
        """Fetch lease records from the known holder or the next ranked host."""
        record = self.lease_registry.get(service)
        others = [
            ref
            for ref in self.directory.ranked(service, self.me.zone)
            if ref != self.me
        ]
        hosts = others[:1] if record is None else [record.holder.ref, *others[:1]]
        for host in hosts:
            if host.host == self.me.host:
                continue
            try:
                answer = await self.peers.call(
                    host, RECORDS_PATH, {}, RECORDS_TIMEOUT_SECONDS
                )
                self.lease_registry.merge(answer["records"], host.host)
                return
            except (PeerError, RefusalError, WireError, LookupError) as error:
                self.decisions.record(
                    "records_unknown", host=host.host, error=str(error)
                )

    def record_proof(self, service: str, answer: SessionStatementResult) -> None:
        """Store the position proof of a result of the primary, if it has one."""
        self.replica_reader.observations(service).add_proof(answer.proof)


def no_primary(service: str) -> RefusalError:
    """Return the refusal of a statement whose service has no known primary."""
    return not_run(
        RefusalReason.NO_PRIMARY,
        f"no primary of the service {service} is known",
        RETRY_AFTER_MS,
    )
