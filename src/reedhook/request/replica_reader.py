"""Reads at replicas: which of them is fresh enough, and expected to be quick."""

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
"""Seconds by which a proof must be younger than a read demands: the way of the
read to the target, with a wait for a connection."""

PROOF_TIMEOUT_SECONDS: Final = 0.25
"""Seconds for another host to state a position."""

MS_PER_SECOND: Final = 1000.0

MAX_REPLICAS: Final = 2
"""Replicas that are tried before the primary."""

SLOT_WAIT_LIMIT_SECONDS: Final = 0.02
"""Seconds for which a read waits for its turn at a target while another one may
have a slot free; a hop there takes 2 to 4 ms, a statement 6 to 30."""

CROSS_ZONE_COST_SECONDS: Final = 0.012
"""Seconds by which a target of another availability zone must be faster: a hop
of 3 ms, and bytes between zones that are paid for."""


class ReplicaReadResult(Record):
    """Say what became of a read at the replicas.

    :param located_result: its answer; None if no replica has given one.
    :param overloaded_replica: the replica that could serve it after the least wait;
        None if
        none could.
    :param wait_seconds: seconds until then.
    """

    __slots__ = ("located_result", "overloaded_replica", "wait_seconds")

    def __init__(
        self,
        located_result: LocatedResult | None = None,
        overloaded_replica: TargetAnnouncement | None = None,
        wait_seconds: float = 0.0,
    ) -> None:
        self.located_result = located_result
        self.overloaded_replica = overloaded_replica
        self.wait_seconds = wait_seconds


class ReplicaReader:
    """Choose a replica for each read, by what its answers have told."""

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
        """Run a read at a replica that is fresh enough and has a slot free soon."""
        floor = await self.required_position(route, session_position)
        if floor is None:
            return ReplicaReadResult()
        statement.min_position = floor
        statement.wait_limit_seconds = SLOT_WAIT_LIMIT_SECONDS
        crowded, wait = None, float("inf")
        tried: set[str] = set()
        while len(tried) < MAX_REPLICAS:
            entry = self.best_replica(route.service, floor, tried)
            if entry is None:
                break
            tried.add(entry.target)
            found = await self.run_at_replica(entry, statement, deadline)
            if found.located_result is not None:
                return found
            if found.overloaded_replica is not None and found.wait_seconds < wait:
                crowded, wait = found.overloaded_replica, found.wait_seconds
        return ReplicaReadResult(None, crowded, wait)

    async def required_position(
        self, route: Route, session_position: Position | None
    ) -> Position | None:
        """Return the position that a replica must hold; None if unknown."""
        if route.max_age is None:
            return session_position
        since = self.clock.boottime() - route.max_age + AGE_MARGIN_SECONDS
        sightings = self.observations(route.service)
        proof = sightings.oldest_proof_since(since)
        if proof is None:
            proof = await self.request_proof(route, sightings)
        if proof is None:
            return None
        if session_position is not None and session_position > proof.position:
            return session_position
        return proof.position

    async def request_proof(
        self, route: Route, observations: ServiceObservations
    ) -> PositionProof | None:
        """Ask the host that leads the service for the primary's position."""
        record = self.lease_registry.get(route.service)
        assert route.max_age is not None
        age = route.max_age / 2
        if record is None:
            return None
        host = self.forwarder.acting_holder(record, False)
        asked = self.clock.boottime()
        try:
            if host.host == self.me.host:
                proof = await self.local_handler.prove(route.service, asked - age)
            else:
                body: Json = {"service": route.service, "age": age}
                answer = await self.peers.call(host, PROOF, body, PROOF_TIMEOUT_SECONDS)
                proof = PositionProof.from_json(answer, asked)
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
        """Return the replica that is expected to answer first, or None."""
        now = self.clock.monotonic()
        sightings = self.observations(service)
        record = self.lease_registry.get(service)
        primary = "" if record is None else record.primary
        best: TargetAnnouncement | None = None
        least = float("inf")
        for entry in self.announcements.targets.values():
            if entry.service != service or entry.leaving or entry.target == primary:
                continue
            seen = sightings.target(entry.target)
            covered = seen.position is not None and seen.position >= min_position
            if entry.target in tried or (now < seen.avoid_until and not covered):
                continue
            cost = seen.expected_seconds(now)
            cost += 0.0 if entry.zone == self.me.zone else CROSS_ZONE_COST_SECONDS
            if cost < least:
                best, least = entry, cost
        return best

    async def run_at_replica(
        self, entry: TargetAnnouncement, statement: SessionStatement, deadline: float
    ) -> ReplicaReadResult:
        """Run a read at one replica, unless another target is to serve it."""
        host = self.directory.home(entry.target, entry.zone)
        if host is None:
            return ReplicaReadResult()
        statement.target = entry.target
        statement.subtract_elapsed(
            statement.remaining - (deadline - self.clock.monotonic())
        )
        seen = self.observations(statement.service).target(entry.target)
        begun = self.clock.monotonic()
        seen.inflight += 1
        place = StatementLocation(host, entry.target)
        try:
            answer = await self.forwarder.run_at(place, statement)
        except RefusalError as refusal:
            if refusal.verdict is not Verdict.NOT_RUN or statement.remaining <= 0.0:
                raise
            if refusal.reason is RefusalReason.TRANSACTION_LOST:
                # Its first statement was sent; elsewhere it would run on a second
                # connection. The caller repeats the whole transaction.
                raise
            if refusal.reason is RefusalReason.RATE_LIMITED:
                # The rate holds at all targets together.
                raise
            self.forwarder.log_reroute(statement, entry.target, refusal.reason.value)
            if refusal.reason is RefusalReason.OVERLOADED:
                seen.record_overload(self.clock.monotonic())
                return ReplicaReadResult(None, entry, retry_after_seconds(refusal))
            seen.record_unreachable(self.clock.monotonic())
            return ReplicaReadResult()
        finally:
            seen.inflight -= 1
        now = self.clock.monotonic()
        reply = answer.reply
        if reply.fault is StatementFault.LAGGING:
            seen.record_lag(reply.position, now)
            self.forwarder.log_reroute(
                statement, entry.target, reply.fault.value, statement.min_position
            )
            return ReplicaReadResult()
        if reply.fault is StatementFault.BUSY:
            self.forwarder.log_reroute(statement, entry.target, reply.fault.value)
            return ReplicaReadResult()
        seen.record_answer(now - begun, reply.position, now)
        return ReplicaReadResult(LocatedResult(answer, place))

    def forget_target(self, entry: TargetAnnouncement) -> None:
        """Forget what was learned of a target that holds nothing of it now."""
        self.observations(entry.service).targets.pop(entry.target, None)

    def observations(self, service: str) -> ServiceObservations:
        """Return what this host has learned of a service."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = ServiceObservations()
        return found


def retry_after_seconds(refusal: RefusalError) -> float:
    """Return in how many seconds what is refused may come back."""
    return (refusal.retry_after_ms or 0) / MS_PER_SECOND
