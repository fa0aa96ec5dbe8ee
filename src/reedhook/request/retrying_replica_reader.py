"""Runs reads at replicas chosen by load reports, and again after a target's error."""

from collections.abc import Coroutine
from copy import copy
from random import Random
from typing import Any, Final

from ..clock import Clock
from ..connection.session_target import StatementFault
from ..decision_log import DecisionLog
from ..host_directory import HostDirectory
from ..peer import PeerClient
from ..process.discovery.announcements import Announcements
from ..process.primary_lease.lease_registry import PrimaryLeaseRegistry
from ..process.statement_server import StatementServer
from ..version.route_table import TargetAnnouncement
from .hedge import HedgedRead
from .position import Position
from .refusal import RefusalError, RefusalReason, not_run
from .replica_reader import ReplicaReader, ReplicaReadResult
from .service_observations import TargetObservations
from .session_statement import SessionStatement
from .statement_forwarder import LocatedResult, StatementForwarder, StatementLocation
from .statement_retries import (
    HEDGE,
    StatementRetries,
    is_single_read,
    may_repeat_after_reply,
)
from .target_choice import TargetChoice
from .target_load import TargetCondition
from .target_loads import TargetLoads

MIN_ATTEMPT_SECONDS: Final = 0.005
"""Remaining time below which a read is not run again. It covers the hop to another
host and back."""


class RetryingReplicaReader(ReplicaReader):
    """Choose replicas by load reports, hedge suspected ones, and repeat failed reads.

    :param loads: the latest load reports.
    :param retries: the retries of this host, shared with its router.
    """

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
        loads: TargetLoads,
        retries: StatementRetries,
        random: Random,
    ) -> None:
        super().__init__(
            forwarder,
            local_handler,
            lease_registry,
            directory,
            peers,
            announcements,
            clock,
            decisions,
        )
        self.loads = loads
        self.retries = retries
        self.choice = TargetChoice(loads, directory.me.zone, random)

    def best_replica(
        self, service: str, min_position: Position, tried: set[str]
    ) -> TargetAnnouncement | None:
        now = self.clock.monotonic()
        observations = self.observations(service)
        eligible = [
            entry
            for entry in self.replicas(service, tried)
            if now >= observations.target(entry.target).avoid_until
            or self.covers(entry, observations.target(entry.target), min_position)
        ]
        return self.choice.choose(eligible, observations, now)

    def covers(
        self,
        entry: TargetAnnouncement,
        target: TargetObservations,
        min_position: Position,
    ) -> bool:
        """Return whether a target is known to hold a position.

        A position from a load report ends the backoff of a replica that was found
        lagging as soon as any host has seen it catch up.
        """
        if target.position is not None and target.position >= min_position:
            return True
        load = self.loads.find(entry)
        if load is None or load.position is None:
            return False
        return load.position >= min_position

    def lags(
        self,
        entry: TargetAnnouncement,
        target: TargetObservations,
        min_position: Position,
    ) -> bool:
        """Return whether a target is avoided since it lacks a position."""
        return (
            self.clock.monotonic() < target.avoid_until
            and target.position is not None
            and not self.covers(entry, target, min_position)
        )

    def last_resort(
        self, service: str, min_position: Position, tried: set[str]
    ) -> TargetAnnouncement | None:
        """Return an untried replica, even one that is overloaded or ejected.

        One that was found lagging a moment ago is left out. The budget would go to
        reads that it cannot serve, as many as an overloaded primary refuses.
        """
        now = self.clock.monotonic()
        observations = self.observations(service)
        entries = [
            entry
            for entry in self.replicas(service, tried)
            if not self.lags(entry, observations.target(entry.target), min_position)
        ]
        chosen = self.choice.choose(entries, observations, now)
        return chosen or self.choice.cheaper(entries, observations, now)

    async def run_at(
        self,
        entry: TargetAnnouncement,
        location: StatementLocation,
        statement: SessionStatement,
        deadline: float,
    ) -> LocatedResult:
        first = super().run_at(entry, location, statement, deadline)
        if not is_single_read(statement) or not self.is_suspected(entry):
            return await first

        def start_second() -> Coroutine[Any, Any, LocatedResult] | None:
            return self.start_hedge(entry, statement, deadline)

        latency = self.observations(statement.service).latency_percentile
        return await HedgedRead[LocatedResult](latency.seconds, start_second).run(first)

    def is_suspected(self, entry: TargetAnnouncement) -> bool:
        """Return whether the target's home suspects it."""
        now = self.clock.monotonic()
        return self.choice.condition(entry, now) is TargetCondition.SUSPECTED

    def start_hedge(
        self, entry: TargetAnnouncement, statement: SessionStatement, deadline: float
    ) -> Coroutine[Any, Any, LocatedResult] | None:
        """Return the second attempt of a read; None without a replica or budget."""
        assert statement.min_position is not None
        service = statement.service
        other = self.best_replica(service, statement.min_position, {entry.target})
        if other is None:
            return None
        host = self.directory.home(other.target, other.zone)
        if host is None or not self.retries.allows(statement, entry.target, HEDGE):
            return None
        second = copy(statement)
        second.target = other.target
        second.subtract_elapsed(second.remaining - (deadline - self.clock.monotonic()))
        return self.run_hedge(StatementLocation(host, other.target), second)

    async def run_hedge(
        self, location: StatementLocation, statement: SessionStatement
    ) -> LocatedResult:
        """Run the second attempt of a read.

        :raises RefusalError: also if the target replies with an error, so that the
            first attempt goes on.
        """
        result = await self.forwarder.run_at(location, statement)
        if result.reply.fault is not StatementFault.NONE:
            raise not_run(RefusalReason.STATEMENT_FAILED, result.reply.detail)
        return LocatedResult(result, location)

    def allows_reroute(
        self,
        entry: TargetAnnouncement,
        statement: SessionStatement,
        refusal: RefusalError,
    ) -> bool:
        # Other refusals reached no target, and only a few targets are tried.
        if refusal.reason is not RefusalReason.TARGET_LOST:
            return True
        target = self.observations(statement.service).target(entry.target)
        target.record_failure(self.clock.monotonic())
        return self.retries.allows(statement, entry.target, refusal.reason.value)

    def read_outcome(
        self,
        entry: TargetAnnouncement,
        statement: SessionStatement,
        located: LocatedResult,
        started_at: float,
        deadline: float,
    ) -> ReplicaReadResult:
        now = self.clock.monotonic()
        observations = self.observations(statement.service)
        reply = located.result.reply
        if may_repeat_after_reply(statement, reply):
            observations.target(entry.target).record_failure(now)
            if not self.may_repeat(statement, entry.target, located, deadline):
                return ReplicaReadResult(located)
            return ReplicaReadResult(failure=located)
        if located.location.target != entry.target:
            # The position is that of the target of the hedge. The one at `entry` would
            # have taken longer than this.
            observations.target(entry.target).record_answer(now - started_at, None, now)
            observations.target(located.location.target).position = reply.position
            return ReplicaReadResult(located)
        if reply.fault is StatementFault.NONE:
            observations.latency_percentile.add(now - started_at)
        return super().read_outcome(entry, statement, located, started_at, deadline)

    def may_repeat(
        self,
        statement: SessionStatement,
        target: str,
        failure: LocatedResult,
        deadline: float,
    ) -> bool:
        """Return whether time and budget allow to repeat a failed read elsewhere."""
        if deadline - self.clock.monotonic() < MIN_ATTEMPT_SECONDS:
            return False
        cause = failure.result.reply.fault.value
        return self.retries.allows(statement, target, cause)
