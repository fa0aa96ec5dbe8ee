"""Which replica is to serve a read: by coverage, age, expected wait and distance.

What a view says of a replica is a lower bound: it has gone on since. So a
replica is also taken if by its usual lag it should have reached the position
by now; its home proves it or refuses at once.
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
    """Keep when the positions of a group were first heard of.

    Recent ones are kept each, older ones at a spacing of `HEAD_SPACING`.
    """

    __slots__ = ("positions", "times")

    def __init__(self) -> None:
        self.positions: list[Position] = []
        self.times: list[float] = []

    def record(self, position: Position, now: float) -> None:
        """Note that `position` exists."""
        if self.positions and self.positions[-1] >= position:
            return
        self.positions.append(position)
        self.times.append(now)
        if len(self.times) > MAX_HISTORY_POSITIONS:
            self.thin()

    def thin(self) -> None:
        """Drop the older half except for one head in each spacing."""
        half = len(self.times) // 2
        kept = [0]
        for at in range(1, half):
            if self.times[at] - self.times[kept[-1]] >= HISTORY_SPACING_SECONDS:
                kept.append(at)
        kept = kept[-half // 2 :]
        self.positions[:half] = [self.positions[at] for at in kept]
        self.times[:half] = [self.times[at] for at in kept]

    def existed_by(self, position: Position) -> float | None:
        """Return by when `position` existed; None if it was never heard of."""
        at = bisect_left(self.positions, position)
        return self.times[at] if at < len(self.times) else None

    def lag_bounds(self, applied: Position, observed_at: float) -> tuple[float, float]:
        """Return the least and the greatest lag of a member, in seconds.

        At `seen` it showed the entry `applied`, and not yet the next one that
        was heard of. The oldest head may have been written long before it was
        heard of, so that it bounds nothing from above.
        """
        at = bisect_left(self.positions, applied)
        if at >= len(self.times):
            return 0.0, 0.0
        greatest = max(0.0, observed_at - self.times[at]) if at > 0 else inf
        if at + 1 >= len(self.times):
            return 0.0, greatest
        return max(0.0, observed_at - self.times[at + 1]), greatest


class MemberObservations:
    """Keep what this host experienced with one member.

    :ivar lag: usual delay in seconds from an entry's being heard of until the
        member's reads see it; 0 until something else is seen.
    :ivar inflight: statements of this host that run at the member.
    :ivar excluded_until: no read goes there before this time.
    :ivar recovered_at: when it served again after a failure.
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
        """Exclude the member for a while that doubles with each failure."""
        self.exclusion_seconds = min(
            max(2 * self.exclusion_seconds, MIN_EXCLUSION_SECONDS),
            MAX_EXCLUSION_SECONDS,
        )
        self.excluded_until = now + self.exclusion_seconds

    def record_success(self, now: float) -> None:
        """Note a success; the first after a failure begins the easing in."""
        if self.exclusion_seconds > 0.0:
            self.exclusion_seconds = 0.0
            self.recovered_at = now

    def admits_read(self, now: float, rng: random.Random) -> bool:
        """Say whether a read may go there; rarely at first after a failure."""
        if now < self.excluded_until:
            return False
        since = now - self.recovered_at
        if since >= SLOW_START_SECONDS and self.exclusion_seconds == 0.0:
            return True
        share = (
            0.05
            if self.exclusion_seconds > 0.0
            else max(0.05, since / SLOW_START_SECONDS)
        )
        return rng.random() < share


class GroupObservations:
    """Keep what this host experienced with the members of one group."""

    __slots__ = ("position_history", "members")

    def __init__(self) -> None:
        self.position_history = PositionHistory()
        self.members: dict[str, MemberObservations] = {}

    def member(self, name: str) -> MemberObservations:
        """Return the track of the member `name`."""
        track = self.members.get(name)
        if track is None:
            track = self.members[name] = MemberObservations()
        return track

    def record_view(self, view: GroupView, now: float) -> None:
        """Take the positions of a view into account."""
        for one in view.members.values():
            self.position_history.record(one.applied, now)
        for one in view.members.values():
            if one.member != view.primary:
                self.record_position(one.member, one.applied, one.observed_at)

    def record_position(
        self, member: str, applied: Position, observed_at: float
    ) -> None:
        """Move the usual lag of a replica as little as this sighting allows."""
        least, greatest = self.position_history.lag_bounds(applied, observed_at)
        track = self.member(member)
        track.lag = min(max(track.lag, least), greatest)

    def record_not_covered(self, member: str, position: Position, now: float) -> None:
        """Note that `member` did not cover `position` when asked."""
        since = self.position_history.existed_by(position)
        delay = MAX_COVERAGE_WAIT_SECONDS if since is None else now - since
        self.record_min_lag(member, NOT_COVERED_LAG_FACTOR * delay)

    def record_min_lag(self, member: str, delay: float) -> None:
        """Note that `member` is taken to be `delay` seconds behind at least."""
        track = self.member(member)
        track.lag = max(track.lag, delay)


class SelectionContext(Record):
    """Say which read needs a replica now, and what is known of the group.

    :param tried: replicas that refused it already.
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
    """Choose replicas for reads of this host.

    :param zone: the availability zone of this host.
    """

    __slots__ = ("zone", "random")

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.zone = zone
        self.random = rng

    def select_replica(self, context: SelectionContext) -> str | None:
        """Return the replica for a read, or None if only the primary will do."""
        best = None
        best_cost = 0.0
        for member in self.sample_two(self.eligible_members(context)):
            cost = self.cost(member, context)
            if best is None or cost < best_cost:
                best, best_cost = member.member_id, cost
        return best

    def sample_two(self, members: list[Member]) -> list[Member]:
        """Return two members at random, or fewer if there are not so many."""
        return members if len(members) <= 2 else self.random.sample(members, 2)

    def eligible_members(self, context: SelectionContext) -> list[Member]:
        """Return the replicas that can be expected to meet the demand.

        Those that are known to meet it go before those that only should, of
        which the one least behind is taken.
        """
        known = []
        likely = []
        views = context.view.members
        for member in context.group.members:
            one = views.get(member.member_id)
            if one is None or not self.accepts_reads(one, context):
                continue
            if is_known_to_satisfy(one, context.statement, context.now):
                known.append(member)
            elif is_expected_to_satisfy(one, context):
                likely.append(member)
        if known or not likely:
            return known
        return [
            min(
                likely,
                key=lambda member: expected_lag(views[member.member_id], context),
            )
        ]

    def accepts_reads(self, member_view: MemberView, context: SelectionContext) -> bool:
        """Say whether a member is a replica that takes reads at all."""
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
        """Return the wait to expect at `member`, with the way there, in seconds."""
        one = context.view.members[member.member_id]
        age = context.now - one.observed_at
        wait = one.expected_wait * max(0.0, 1.0 - age / WAIT_DECAY_SECONDS)
        hop = (
            SAME_ZONE_HOP_SECONDS
            if member.zone == self.zone
            else CROSS_ZONE_HOP_SECONDS
        )
        inflight = context.observations.member(member.member_id).inflight
        return wait + hop + INFLIGHT_COST_SECONDS * inflight


def expected_lag(member_view: MemberView, context: SelectionContext) -> float:
    """Return the lag in seconds to expect of a replica.

    The age proved when it was seen is its lag and the time since the last
    sample, hence never less. A replica of which nothing is known is taken to
    keep up; its home knows better.
    """
    lag = context.observations.member(member_view.member).lag
    return lag if member_view.lag is None else min(member_view.lag, lag)


def is_known_to_satisfy(
    member_view: MemberView, statement: Statement, now: float
) -> bool:
    """Say whether a replica is known to meet what a read demands."""
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
    """Say whether a replica should by now meet what a read demands."""
    statement = context.statement
    lag = expected_lag(member_view, context)
    if (
        statement.min_position is not None
        and member_view.applied < statement.min_position
    ):
        since = context.observations.position_history.existed_by(statement.min_position)
        if since is None or context.now + MAX_COVERAGE_WAIT_SECONDS < since + lag:
            return False
    if statement.consistency is not Consistency.MAX_AGE:
        return True
    assert statement.max_age is not None
    return lag <= statement.max_age
