"""Runs reads at the replica that is fresh enough and expected to answer first."""

from typing import Final

from ..clock import Clock
from ..connection.session_target import StatementFault
from ..decision_log import DecisionLog
from ..host_directory import HostDirectory
from ..peer import PeerClient, PeerError
from ..process.discovery.announcements import Announcements
from ..process.primary_lease.lease_registry import PrimaryLeaseRegistry
from ..process.statement_server import PROOF, StatementServer
from ..record import Record
from ..version.route_table import Route, TargetAnnouncement
from ..wire import Json, WireError
from .position import Position
from .refusal import RefusalError, RefusalReason
from .service_observations import ServiceObservations
from .session_statement import PositionProof, SessionStatement
from .statement_forwarder import LocatedResult, StatementForwarder, StatementLocation
from .verdict import Verdict

AGE_MARGIN_SECONDS: Final = 0.15
"""Margin between the age of a proof and the age that a read allows. It covers the
delay until the read runs at the target."""

PROOF_TIMEOUT_SECONDS: Final = 0.25

MS_PER_SECOND: Final = 1000.0

MAX_REPLICAS: Final = 2
"""Replicas that a read tries before the primary."""

SLOT_WAIT_LIMIT_SECONDS: Final = 0.02
"""Queueing limit of a read at one target while another may have a free slot."""

CROSS_ZONE_COST_SECONDS: Final = 0.012
"""Cost added to a target in another availability zone, for the slower hop and for
billed traffic between zones."""


class ReplicaReadResult(Record):
    """Carry the outcome of a read at the replicas.

    :param located_result: the result; None if no replica answered.
    :param overloaded_replica: the overloaded replica with the shortest wait; None if
        no replica refused for overload.
    :param wait_seconds: the wait at `overloaded_replica`.
    :param failure: an error of a target after which another one may run the read.
    :ivar tried: the replicas that were tried.
    """

    __slots__ = (
        "located_result",
        "overloaded_replica",
        "wait_seconds",
        "failure",
        "tried",
    )

    def __init__(
        self,
        located_result: LocatedResult | None = None,
        overloaded_replica: TargetAnnouncement | None = None,
        wait_seconds: float = 0.0,
        failure: LocatedResult | None = None,
    ) -> None:
        self.failure = failure
        self.tried: set[str] = set()
        self.located_result = located_result
        self.overloaded_replica = overloaded_replica
        self.wait_seconds = wait_seconds


class ReplicaReader:
    """Choose a replica for each read from observations of earlier results."""

    def __init__(
        self,
        forwarder: StatementForwarder,
        local_handler: StatementServer,
        lease_registry: PrimaryLeaseRegistry,
        directory: HostDirectory,
        peers: PeerClient,
        announcements: Announcements,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.forwarder = forwarder
        self.local_handler = local_handler
        self.lease_registry = lease_registry
        self.directory = directory
        self.me = directory.me
        self.peers = peers
        self.announcements = announcements
        self.clock = clock
        self.decisions = decisions
        self.services: dict[str, ServiceObservations] = {}

    async def run_read(
        self,
        route: Route,
        statement: SessionStatement,
        session_position: Position | None,
        deadline: float,
    ) -> ReplicaReadResult:
        """Run a read at a replica that is fresh enough and has a slot soon."""
        min_position = await self.required_position(route, session_position)
        if min_position is None:
            return ReplicaReadResult()
        statement.min_position = min_position
        statement.wait_limit_seconds = SLOT_WAIT_LIMIT_SECONDS
        outcome = ReplicaReadResult(wait_seconds=float("inf"))
        while len(outcome.tried) < MAX_REPLICAS:
            entry = self.best_replica(route.service, min_position, outcome.tried)
            if entry is None:
                break
            outcome.tried.add(entry.target)
            result = await self.run_at_replica(entry, statement, deadline)
            if result.located_result is not None:
                return result
            outcome.failure = result.failure or outcome.failure
            if result.overloaded_replica is None:
                continue
            if (
                outcome.overloaded_replica is None
                or result.wait_seconds < outcome.wait_seconds
            ):
                outcome.overloaded_replica = result.overloaded_replica
                outcome.wait_seconds = result.wait_seconds
        return outcome

    async def required_position(
        self, route: Route, session_position: Position | None
    ) -> Position | None:
        """Return the position that a replica must hold; None if it is unknown."""
        if route.max_age is None:
            return session_position
        since = self.clock.boottime() - route.max_age + AGE_MARGIN_SECONDS
        observations = self.observations(route.service)
        proof = observations.oldest_proof_since(since)
        if proof is None:
            proof = await self.request_proof(route, observations)
        if proof is None:
            return None
        if session_position is not None and session_position > proof.position:
            return session_position
        return proof.position

    async def request_proof(
        self, route: Route, observations: ServiceObservations
    ) -> PositionProof | None:
        """Request a proof of the primary's position from its acting lease holder."""
        record = self.lease_registry.get(route.service)
        assert route.max_age is not None
        max_proof_age = route.max_age / 2
        if record is None:
            return None
        host = self.forwarder.acting_holder(record, False)
        requested_at = self.clock.boottime()
        try:
            if host.host == self.me.host:
                proof = await self.local_handler.prove(
                    route.service, requested_at - max_proof_age
                )
            else:
                body: Json = {"service": route.service, "age": max_proof_age}
                answer = await self.peers.call(host, PROOF, body, PROOF_TIMEOUT_SECONDS)
                proof = PositionProof.from_json(answer, requested_at)
        except (PeerError, RefusalError, WireError) as error:
            self.decisions.record(
                "position_unknown", service=route.service, error=str(error)
            )
            return None
        observations.add_proof(proof)
        return proof

    def best_replica(
        self, service: str, min_position: Position, tried: set[str]
    ) -> TargetAnnouncement | None:
        """Return the eligible replica with the lowest expected cost, or None."""
        now = self.clock.monotonic()
        observations = self.observations(service)
        best: TargetAnnouncement | None = None
        best_cost = float("inf")
        for entry in self.replicas(service, tried):
            target = observations.target(entry.target)
            covered = target.position is not None and target.position >= min_position
            if now < target.avoid_until and not covered:
                continue
            cost = target.expected_seconds(now)
            cost += 0.0 if entry.zone == self.me.zone else CROSS_ZONE_COST_SECONDS
            if cost < best_cost:
                best, best_cost = entry, cost
        return best

    def replicas(self, service: str, tried: set[str]) -> list[TargetAnnouncement]:
        """Return the replicas of a service that take new work, except those tried."""
        record = self.lease_registry.get(service)
        primary = "" if record is None else record.primary
        return [
            entry
            for entry in self.announcements.targets.values()
            if entry.service == service
            and not entry.leaving
            and entry.target != primary
            and entry.target not in tried
        ]

    async def run_at_replica(
        self, entry: TargetAnnouncement, statement: SessionStatement, deadline: float
    ) -> ReplicaReadResult:
        """Run a read at one replica.

        :raises RefusalError: if no other target may run the statement.
        """
        host = self.directory.home(entry.target, entry.zone)
        if host is None:
            return ReplicaReadResult()
        statement.target = entry.target
        statement.subtract_elapsed(
            statement.remaining - (deadline - self.clock.monotonic())
        )
        target = self.observations(statement.service).target(entry.target)
        started_at = self.clock.monotonic()
        target.inflight += 1
        location = StatementLocation(host, entry.target)
        try:
            located = await self.run_at(entry, location, statement, deadline)
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN or statement.remaining <= 0.0:
                raise
            if refusal.reason is RefusalReason.TRANSACTION_LOST:
                # The first statement of the transaction was sent and must not run on
                # a second connection. The caller must retry the whole transaction.
                raise
            if refusal.reason in (
                RefusalReason.RATE_LIMITED,
                RefusalReason.CALLER_GONE,
            ):
                # They hold for all targets.
                raise
            if not self.allows_reroute(entry, statement, refusal):
                raise
            self.forwarder.log_reroute(statement, entry.target, refusal.reason.value)
            if refusal.reason is RefusalReason.OVERLOADED:
                target.record_overload(self.clock.monotonic())
                return ReplicaReadResult(None, entry, retry_after_seconds(refusal))
            target.record_unreachable(self.clock.monotonic())
            return ReplicaReadResult()
        finally:
            target.inflight -= 1
        return self.read_outcome(entry, statement, located, started_at, deadline)

    def allows_reroute(
        self,
        entry: TargetAnnouncement,
        statement: SessionStatement,
        refusal: RefusalError,
    ) -> bool:
        """Return whether a read that has not run at `entry` may run elsewhere."""
        return True

    async def run_at(
        self,
        entry: TargetAnnouncement,
        location: StatementLocation,
        statement: SessionStatement,
        deadline: float,
    ) -> LocatedResult:
        """Run a read at the location of one replica.

        :raises RefusalError: with a correct verdict.
        """
        return LocatedResult(await self.forwarder.run_at(location, statement), location)

    def read_outcome(
        self,
        entry: TargetAnnouncement,
        statement: SessionStatement,
        located: LocatedResult,
        started_at: float,
        deadline: float,
    ) -> ReplicaReadResult:
        """Record what an answer tells of its target; return the outcome of the read."""
        target = self.observations(statement.service).target(entry.target)
        now = self.clock.monotonic()
        reply = located.result.reply
        if reply.fault is StatementFault.LAGGING:
            target.record_lag(reply.position, now)
            self.forwarder.log_reroute(
                statement, entry.target, reply.fault.value, statement.min_position
            )
            return ReplicaReadResult()
        if reply.fault is StatementFault.BUSY:
            self.forwarder.log_reroute(statement, entry.target, reply.fault.value)
            return ReplicaReadResult()
        target.record_answer(now - started_at, reply.position, now)
        return ReplicaReadResult(located)

    def forget_target(self, entry: TargetAnnouncement) -> None:
        """Drop the observations of a target that has restarted."""
        self.observations(entry.service).targets.pop(entry.target, None)

    def observations(self, service: str) -> ServiceObservations:
        """Return the observations of a service, created on first use."""
        observations = self.services.get(service)
        if observations is None:
            observations = self.services[service] = ServiceObservations()
        return observations


def retry_after_seconds(refusal: RefusalError) -> float:
    """Return the retry delay of a refusal in seconds; infinite if it names none."""
    if refusal.retry_after_ms is None:
        return float("inf")
    return refusal.retry_after_ms / MS_PER_SECOND
