"""Where the statements of sessions run: at the primary, or at a replica."""

from typing import Final

from ..clock import Clock
from ..connection.session_target import StatementFault
from ..connection.session_target_home import BUSY_RETRY_SECONDS, MAX_BUSY_RETRIES
from ..decision_log import DecisionLog
from ..host_directory import HostDirectory
from ..peer import PeerClient, PeerError
from ..process.primary_lease.lease_manager import RECORDS_PATH
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
"""Seconds for another host to say who holds the leads."""

MAX_PRIMARY_WAIT_SECONDS: Final = 0.5
"""Seconds for which a statement looks for a primary; half of the shortest
timeout of a statement, rounded, so that it can run afterwards."""

PRIMARY_RETRY_SECONDS: Final = 0.06
"""Seconds between two tries to find the primary."""

RETRY_AFTER_MS: Final = 100
"""When to come back if no primary is found, in milliseconds."""

PRIMARY_MOVED_REASONS: Final = frozenset(
    {
        RefusalReason.WRONG_HOME,
        RefusalReason.HOST_UNREACHABLE,
        RefusalReason.TARGET_UNREACHABLE,
        RefusalReason.NO_PRIMARY,
    }
)
"""Reasons for which the primary may be found at another host a little later."""


class SessionRouter:
    """Bring statements to targets by way of their homes."""

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
        """Run a statement that belongs to no transaction yet.

        :param session_position: the position of the session's last commit.
        :param replica_allowed: whether a replica may serve it.
        :raises Refusal: with a verdict that holds.
        """
        deadline = self.clock.monotonic() + statement.remaining
        if not replica_allowed or route.kind is RouteConsistency.PRIMARY:
            return await self.run_at_primary(statement, deadline)
        tried = await self.replica_reader.run_read(
            route, statement, session_position, deadline
        )
        if tried.located_result is not None:
            return tried.located_result
        if tried.overloaded_replica is not None:
            return await self.run_at_shortest_wait(statement, tried, deadline)
        statement.wait_limit_seconds = None
        return await self.run_at_primary(statement, deadline)

    async def run_at_shortest_wait(
        self,
        statement: SessionStatement,
        replica_result: ReplicaReadResult,
        deadline: float,
    ) -> LocatedResult:
        """Run a read at the primary if it has a slot free, else where it is soonest.

        All slots of a service are used so before any read waits for long. While
        one replica of two was cut off, the other got 3.8 statements at a time for
        its 3 slots, and the primary ran 0.8 with its own.

        :raises Refusal: with a verdict that holds.
        """
        assert replica_result.overloaded_replica is not None
        floor = statement.min_position
        try:
            return await self.run_at_primary(statement, deadline)
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN or statement.remaining <= 0.0:
                raise
            if refusal.reason in (
                RefusalReason.TRANSACTION_LOST,
                RefusalReason.RATE_LIMITED,
            ):
                # Its first statement was sent, and would run on a second connection;
                # or it may run nowhere now.
                raise
            soonest = refusal.reason is RefusalReason.OVERLOADED
            soonest = (
                soonest and retry_after_seconds(refusal) < replica_result.wait_seconds
            )
        statement.wait_limit_seconds = None
        if not soonest:
            statement.min_position = floor
            again = await self.replica_reader.run_at_replica(
                replica_result.overloaded_replica, statement, deadline
            )
            if again.located_result is not None:
                return again.located_result
        return await self.run_at_primary(statement, deadline)

    async def run_at_primary(
        self, statement: SessionStatement, deadline: float
    ) -> LocatedResult:
        """Run a statement at the primary, looking for it for a while.

        :raises Refusal: with a verdict that holds.
        """
        statement.target = ""
        statement.min_position = None
        give_up = self.clock.monotonic() + min(
            MAX_PRIMARY_WAIT_SECONDS, statement.remaining / 2
        )
        busy = 0
        refused_by_deputy = False
        while True:
            record = self.lease_registry.get(statement.service)
            revision = 0 if record is None else record.revision
            statement.subtract_elapsed(
                statement.remaining - (deadline - self.clock.monotonic())
            )
            try:
                if record is None:
                    raise no_primary(statement.service)
                host = self.forwarder.acting_holder(record, refused_by_deputy)
                place = StatementLocation(host, "")
                answer = await self.forwarder.run_at(place, statement)
            except RefusalError as refusal:
                if record is not None and host != record.holder.ref:
                    refused_by_deputy = True
                    if refusal.reason is RefusalReason.WRONG_HOME:
                        continue
                await self.wait_before_retry(statement, refusal, revision, give_up)
                continue
            fault = answer.reply.fault
            if (
                fault is StatementFault.BUSY
                and busy < MAX_BUSY_RETRIES
                and statement.kind is not SessionStatementKind.COMMIT
            ):
                busy += 1
                await self.clock.sleep(BUSY_RETRY_SECONDS)
                continue
            if fault is StatementFault.READ_ONLY and self.clock.monotonic() < give_up:
                self.forwarder.log_reroute(statement, answer.target, fault.value)
                await self.clock.sleep(PRIMARY_RETRY_SECONDS)
                continue
            self.record_proof(statement.service, answer)
            return LocatedResult(answer, place)

    async def wait_before_retry(
        self,
        statement: SessionStatement,
        refusal: RefusalError,
        revision: int,
        give_up_at: float,
    ) -> None:
        """Return once another try makes sense, or raise what is final."""
        if (
            refusal.verdict is not Verdict.NOT_RUN
            or refusal.reason not in PRIMARY_MOVED_REASONS
        ):
            raise refusal
        record = self.lease_registry.get(statement.service)
        same = record is not None and record.revision == revision
        if self.clock.monotonic() >= give_up_at:
            raise refusal
        if (
            same
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
        """Ask the present holder, or else somebody, who holds the leads."""
        record = self.lease_registry.get(service)
        others = [
            ref
            for ref in self.directory.ranked(service, self.me.zone)
            if ref != self.me
        ]
        asked = others[:1] if record is None else [record.holder.ref, *others[:1]]
        for host in asked:
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
        """Take over what an answer of the primary tells."""
        self.replica_reader.observations(service).add_proof(answer.proof)


def no_primary(service: str) -> RefusalError:
    """Return the refusal of a statement whose service nobody leads."""
    return not_run(
        RefusalReason.NO_PRIMARY, f"nobody leads the service {service}", RETRY_AFTER_MS
    )
