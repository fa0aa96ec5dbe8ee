"""Selects the replica for a read by position, age, expected wait and distance.

The position of a replica in a group view is a lower bound, since replication
has continued. A replica is therefore also eligible if, by its usual lag, it
should have reached the position by now. Its home checks this and refuses at once
if the replica is behind.
"""

import random
from bisect import bisect_left
from math import inf
from typing import Final

from ..record import Record
from ..version.catalog import Group, Member
from .group_view import GroupView, MemberView
from .position import Position
from .statement import Consistency, Statement

HISTORY_SPACING_SECONDS: Final = 0.05
MAX_HISTORY_POSITIONS: Final = 256
MAX_COVERAGE_WAIT_SECONDS: Final = 0.02
NOT_COVERED_LAG_FACTOR: Final = 2.0
AGE_UNPROVED_LAG_FACTOR: Final = 1.05
SLOW_START_SECONDS: Final = 3.0
MIN_EXCLUSION_SECONDS: Final = 0.25
MAX_EXCLUSION_SECONDS: Final = 5.0
WAIT_DECAY_SECONDS: Final = 1.0
INFLIGHT_COST_SECONDS: Final = 0.001
SAME_ZONE_HOP_SECONDS: Final = 0.0005
CROSS_ZONE_HOP_SECONDS: Final = 0.003


class PositionHistory:
    """Keep the times at which the positions of a group were first observed.

    All recent positions are kept, older ones at intervals of at least
    `HISTORY_SPACING_SECONDS`. Positions and times are in ascending order.
    """

    __slots__ = ("positions", "times")

    def __init__(self) -> None:
        self.positions: list[Position] = []
        self.times: list[float] = []

    def record(self, position: Position, now: float) -> None:
        """Record that `position` exists, if it is the newest."""
        if self.positions and self.positions[-1] >= position:
            return
        self.positions.append(position)
        self.times.append(now)
        if len(self.times) > MAX_HISTORY_POSITIONS:
            self.thin()

    def thin(self) -> None:
        """Thin out the older half to one position per spacing interval."""
        half = len(self.times) // 2
        kept = [0]
        for index in range(1, half):
            if self.times[index] - self.times[kept[-1]] >= HISTORY_SPACING_SECONDS:
                kept.append(index)
        kept = kept[-half // 2 :]
        self.positions[:half] = [self.positions[index] for index in kept]
        self.times[:half] = [self.times[index] for index in kept]

    def existed_by(self, position: Position) -> float | None:
        """Return a time at which `position` existed; None if none is known."""
        index = bisect_left(self.positions, position)
        return self.times[index] if index < len(self.times) else None

    def lag_bounds(self, applied: Position, observed_at: float) -> tuple[float, float]:
        """Return the lower and the upper bound of a member's lag, in seconds.

        At `observed_at` the member had applied `applied`, but not yet the next
        position of the history. The oldest position may have been written long
        before it was first observed, so it gives no upper bound.
        """
        index = bisect_left(self.positions, applied)
        if index >= len(self.times):
            return 0.0, 0.0
        upper = max(0.0, observed_at - self.times[index]) if index > 0 else inf
        if index + 1 >= len(self.times):
            return 0.0, upper
        return max(0.0, observed_at - self.times[index + 1]), upper


class MemberObservations:
    """Keep lag, load and failures of one member as seen by this host.

    :ivar lag: usual delay in seconds between the first observation of a position
        and its visibility to the member's reads; 0 until another is observed.
    :ivar inflight: statements of this host in progress at the member.
    :ivar exclusion_seconds: length of the last exclusion; 0 after a success.
    :ivar excluded_until: monotonic time before which it gets no reads.
    :ivar recovered_at: monotonic time of the first success after a failure.
    """

    __slots__ = (
        "lag",
        "inflight",
        "exclusion_seconds",
        "excluded_until",
        "recovered_at",
    )

    def __init__(self) -> None:
        self.lag = 0.0
        self.inflight = 0
        self.exclusion_seconds = 0.0
        self.excluded_until = float("-inf")
        self.recovered_at = float("-inf")

    def record_failure(self, now: float) -> None:
        """Exclude the member for a time that doubles with each failure."""
        self.exclusion_seconds = min(
            max(2 * self.exclusion_seconds, MIN_EXCLUSION_SECONDS),
            MAX_EXCLUSION_SECONDS,
        )
        self.excluded_until = now + self.exclusion_seconds

    def record_success(self, now: float) -> None:
        """Record a success; the first one after a failure begins the slow start."""
        if self.exclusion_seconds > 0.0:
            self.exclusion_seconds = 0.0
            self.recovered_at = now

    def admits_read(self, now: float, rng: random.Random) -> bool:
        """Return whether the member may get a read.

        After an exclusion only a growing share of the reads is admitted.
        """
        if now < self.excluded_until:
            return False
        elapsed = now - self.recovered_at
        if elapsed >= SLOW_START_SECONDS and self.exclusion_seconds == 0.0:
            return True
        admitted_fraction = (
            0.05
            if self.exclusion_seconds > 0.0
            else max(0.05, elapsed / SLOW_START_SECONDS)
        )
        return rng.random() < admitted_fraction


class GroupObservations:
    """Keep this host's observations of the members of one group."""

    __slots__ = ("position_history", "members")

    def __init__(self) -> None:
        self.position_history = PositionHistory()
        self.members: dict[str, MemberObservations] = {}

    def member(self, name: str) -> MemberObservations:
        """Return the observations of the member `name`, created on first use."""
        observations = self.members.get(name)
        if observations is None:
            observations = self.members[name] = MemberObservations()
        return observations

    def record_view(self, view: GroupView, now: float) -> None:
        """Record the positions of a view."""
        for member in view.members.values():
            self.position_history.record(member.applied, now)
        for member in view.members.values():
            if member.member != view.primary:
                self.record_position(member.member, member.applied, member.observed_at)

    def record_position(
        self, member: str, applied: Position, observed_at: float
    ) -> None:
        """Move the usual lag of a replica to the nearest bound observed."""
        lower, upper = self.position_history.lag_bounds(applied, observed_at)
        observations = self.member(member)
        observations.lag = min(max(observations.lag, lower), upper)

    def record_not_covered(self, member: str, position: Position, now: float) -> None:
        """Raise the lag of `member` after it did not cover `position`."""
        existed_at = self.position_history.existed_by(position)
        delay = MAX_COVERAGE_WAIT_SECONDS if existed_at is None else now - existed_at
        self.record_min_lag(member, NOT_COVERED_LAG_FACTOR * delay)

    def record_min_lag(self, member: str, delay: float) -> None:
        """Raise the lag of `member` to at least `delay` seconds."""
        observations = self.member(member)
        observations.lag = max(observations.lag, delay)


class SelectionContext(Record):
    """Carry a read that needs a replica and the known state of its group.

    :param tried: replicas that have refused the read.
    :param now: local monotonic time in seconds.
    """

    __slots__ = ("group", "view", "observations", "statement", "tried", "now")

    def __init__(
        self,
        group: Group,
        view: GroupView,
        observations: GroupObservations,
        statement: Statement,
        tried: frozenset[str],
        now: float,
    ) -> None:
        self.group = group
        self.view = view
        self.observations = observations
        self.statement = statement
        self.tried = tried
        self.now = now


class ReplicaSelector:
    """Choose replicas for the reads of this host.

    :param zone: the availability zone of this host.
    """

    __slots__ = ("zone", "random")

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.zone = zone
        self.random = rng

    def select_replica(self, context: SelectionContext) -> str | None:
        """Return the replica for a read, or None if the primary must serve it.

        The cheaper of two random eligible replicas is chosen, so that hosts with
        the same view do not all choose the same replica.
        """
        best = None
        best_cost = 0.0
        for member in self.sample_two(self.eligible_members(context)):
            cost = self.cost(member, context)
            if best is None or cost < best_cost:
                best, best_cost = member.member_id, cost
        return best

    def sample_two(self, members: list[Member]) -> list[Member]:
        """Return two random members, or all if there are fewer."""
        return members if len(members) <= 2 else self.random.sample(members, 2)

    def eligible_members(self, context: SelectionContext) -> list[Member]:
        """Return the replicas that can serve the read.

        If none is known to satisfy it, return the replica with the least lag among
        those that are expected to.
        """
        satisfying = []
        expected = []
        views = context.view.members
        for member in context.group.members:
            member_view = views.get(member.member_id)
            if member_view is None or not self.accepts_reads(member_view, context):
                continue
            if is_known_to_satisfy(member_view, context.statement, context.now):
                satisfying.append(member)
            elif is_expected_to_satisfy(member_view, context):
                expected.append(member)
        if satisfying or not expected:
            return satisfying
        return [
            min(
                expected,
                key=lambda member: expected_lag(views[member.member_id], context),
            )
        ]

    def accepts_reads(self, member_view: MemberView, context: SelectionContext) -> bool:
        """Return whether a member is a replica that accepts reads."""
        if (
            member_view.leaving
            or member_view.member == context.view.primary
            or member_view.member in context.tried
        ):
            return False
        return context.observations.member(member_view.member).admits_read(
            context.now, self.random
        )

    def cost(self, member: Member, context: SelectionContext) -> float:
        """Return the expected wait at `member` plus network delay, in seconds."""
        member_view = context.view.members[member.member_id]
        age = context.now - member_view.observed_at
        wait = member_view.expected_wait * max(0.0, 1.0 - age / WAIT_DECAY_SECONDS)
        hop = (
            SAME_ZONE_HOP_SECONDS
            if member.zone == self.zone
            else CROSS_ZONE_HOP_SECONDS
        )
        inflight = context.observations.member(member.member_id).inflight
        return wait + hop + INFLIGHT_COST_SECONDS * inflight


def expected_lag(member_view: MemberView, context: SelectionContext) -> float:
    """Return the expected lag of a replica in seconds.

    The proved age of its view includes the time since the last sample, so it is
    an upper bound of the lag. An unobserved replica is assumed to have no lag; its
    home refuses the read if that is wrong.
    """
    lag = context.observations.member(member_view.member).lag
    return lag if member_view.lag is None else min(member_view.lag, lag)


def is_known_to_satisfy(
    member_view: MemberView, statement: Statement, now: float
) -> bool:
    """Return whether a replica is known to satisfy a read."""
    if (
        statement.min_position is not None
        and member_view.applied < statement.min_position
    ):
        return False
    if statement.consistency is not Consistency.MAX_AGE:
        return True
    assert statement.max_age is not None
    return (
        member_view.lag is not None
        and member_view.lag + now - member_view.observed_at <= statement.max_age
    )


def is_expected_to_satisfy(member_view: MemberView, context: SelectionContext) -> bool:
    """Return whether a replica is expected to satisfy a read by now."""
    statement = context.statement
    lag = expected_lag(member_view, context)
    if (
        statement.min_position is not None
        and member_view.applied < statement.min_position
    ):
        existed_at = context.observations.position_history.existed_by(
            statement.min_position
        )
        if (
            existed_at is None
            or context.now + MAX_COVERAGE_WAIT_SECONDS < existed_at + lag
        ):
            return False
    if statement.consistency is not Consistency.MAX_AGE:
        return True
    assert statement.max_age is not None
    return lag <= statement.max_age
