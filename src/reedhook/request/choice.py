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
from .position import Position
from .statement import Consistency, Statement
from .view import GroupView, MemberView

HEAD_SPACING: Final = 0.05
MAX_HEADS: Final = 256
COVER_WAIT: Final = 0.02
MISS_BACKOFF: Final = 2.0
AGE_BACKOFF: Final = 1.05
EASE_IN: Final = 3.0
FIRST_EXCLUSION: Final = 0.25
LAST_EXCLUSION: Final = 5.0
WAIT_DECAY: Final = 1.0
INFLIGHT_WAIT: Final = 0.001
NEAR_HOP: Final = 0.0005
FAR_HOP: Final = 0.003


class Heads:
    """Keep when the positions of a group were first heard of.

    Recent ones are kept each, older ones at a spacing of `HEAD_SPACING`.
    """

    __slots__ = ("positions", "times")

    def __init__(self) -> None:
        self.positions: list[Position] = []
        self.times: list[float] = []

    def hear(self, position: Position, now: float) -> None:
        """Note that `position` exists."""
        if self.positions and self.positions[-1] >= position:
            return
        self.positions.append(position)
        self.times.append(now)
        if len(self.times) > MAX_HEADS:
            self.thin()

    def thin(self) -> None:
        """Drop the older half except for one head in each spacing."""
        half = len(self.times) // 2
        kept = [0]
        for at in range(1, half):
            if self.times[at] - self.times[kept[-1]] >= HEAD_SPACING:
                kept.append(at)
        kept = kept[-half // 2 :]
        self.positions[:half] = [self.positions[at] for at in kept]
        self.times[:half] = [self.times[at] for at in kept]

    def since(self, position: Position) -> float | None:
        """Return by when `position` existed; None if it was never heard of."""
        at = bisect_left(self.positions, position)
        return self.times[at] if at < len(self.times) else None

    def lags(self, applied: Position, seen: float) -> tuple[float, float]:
        """Return the least and the greatest lag of a member, in seconds.

        At `seen` it showed the entry `applied`, and not yet the next one that
        was heard of. The oldest head may have been written long before it was
        heard of, so that it bounds nothing from above.
        """
        at = bisect_left(self.positions, applied)
        if at >= len(self.times):
            return 0.0, 0.0
        greatest = max(0.0, seen - self.times[at]) if at > 0 else inf
        if at + 1 >= len(self.times):
            return 0.0, greatest
        return max(0.0, seen - self.times[at + 1]), greatest


class Track:
    """Keep what this host experienced with one member.

    :ivar lag: usual delay in seconds from an entry's being heard of until the
        member's reads see it; 0 until something else is seen.
    :ivar inflight: statements of this host that run at the member.
    :ivar excluded_until: no read goes there before this time.
    :ivar returned: when it served again after a failure.
    """

    __slots__ = (
        "lag",
        "inflight",
        "exclusion",
        "excluded_until",
        "returned",
    )

    def __init__(self) -> None:
        self.lag = 0.0
        self.inflight = 0
        self.exclusion = 0.0
        self.excluded_until = float("-inf")
        self.returned = float("-inf")

    def failed(self, now: float) -> None:
        """Exclude the member for a while that doubles with each failure."""
        self.exclusion = min(max(2 * self.exclusion, FIRST_EXCLUSION), LAST_EXCLUSION)
        self.excluded_until = now + self.exclusion

    def served(self, now: float) -> None:
        """Note a success; the first after a failure begins the easing in."""
        if self.exclusion > 0.0:
            self.exclusion = 0.0
            self.returned = now

    def admits(self, now: float, rng: random.Random) -> bool:
        """Say whether a read may go there; rarely at first after a failure."""
        if now < self.excluded_until:
            return False
        since = now - self.returned
        if since >= EASE_IN and self.exclusion == 0.0:
            return True
        share = 0.05 if self.exclusion > 0.0 else max(0.05, since / EASE_IN)
        return rng.random() < share


class GroupTrack:
    """Keep what this host experienced with the members of one group."""

    __slots__ = ("heads", "members")

    def __init__(self) -> None:
        self.heads = Heads()
        self.members: dict[str, Track] = {}

    def member(self, name: str) -> Track:
        """Return the track of the member `name`."""
        track = self.members.get(name)
        if track is None:
            track = self.members[name] = Track()
        return track

    def learn(self, view: GroupView, now: float) -> None:
        """Take the positions of a view into account."""
        for one in view.members.values():
            self.heads.hear(one.applied, now)
        for one in view.members.values():
            if one.member != view.primary:
                self.sighted(one.member, one.applied, one.seen)

    def sighted(self, member: str, applied: Position, seen: float) -> None:
        """Move the usual lag of a replica as little as this sighting allows."""
        least, greatest = self.heads.lags(applied, seen)
        track = self.member(member)
        track.lag = min(max(track.lag, least), greatest)

    def missed(self, member: str, position: Position, now: float) -> None:
        """Note that `member` did not cover `position` when asked."""
        since = self.heads.since(position)
        delay = COVER_WAIT if since is None else now - since
        self.lags(member, MISS_BACKOFF * delay)

    def lags(self, member: str, delay: float) -> None:
        """Note that `member` is taken to be `delay` seconds behind at least."""
        track = self.member(member)
        track.lag = max(track.lag, delay)


class Need(Record):
    """Say which read needs a replica now, and what is known of the group.

    :param tried: replicas that refused it already.
    :param now: local monotonic time in seconds.
    """

    __slots__ = ("group", "view", "track", "statement", "tried", "now")

    def __init__(
        self,
        group: Group,
        view: GroupView,
        track: GroupTrack,
        statement: Statement,
        tried: frozenset[str],
        now: float,
    ) -> None:
        self.group = group
        self.view = view
        self.track = track
        self.statement = statement
        self.tried = tried
        self.now = now


class Chooser:
    """Choose replicas for reads of this host.

    :param zone: the availability zone of this host.
    """

    __slots__ = ("zone", "random")

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.zone = zone
        self.random = rng

    def replica(self, need: Need) -> str | None:
        """Return the replica for a read, or None if only the primary will do."""
        best = None
        best_cost = 0.0
        for member in self.two(self.fit(need)):
            cost = self.cost(member, need)
            if best is None or cost < best_cost:
                best, best_cost = member.member, cost
        return best

    def two(self, members: list[Member]) -> list[Member]:
        """Return two members at random, or fewer if there are not so many."""
        return members if len(members) <= 2 else self.random.sample(members, 2)

    def fit(self, need: Need) -> list[Member]:
        """Return the replicas that can be expected to meet the demand.

        Those that are known to meet it go before those that only should, of
        which the one least behind is taken.
        """
        known = []
        likely = []
        views = need.view.members
        for member in need.group.members:
            one = views.get(member.member)
            if one is None or not self.admitted(one, need):
                continue
            if meets(one, need.statement, need.now):
                known.append(member)
            elif should_meet(one, need):
                likely.append(member)
        if known or not likely:
            return known
        return [min(likely, key=lambda member: usual_lag(views[member.member], need))]

    def admitted(self, one: MemberView, need: Need) -> bool:
        """Say whether a member is a replica that takes reads at all."""
        if one.leaving or one.member == need.view.primary or one.member in need.tried:
            return False
        return need.track.member(one.member).admits(need.now, self.random)

    def cost(self, member: Member, need: Need) -> float:
        """Return the wait to expect at `member`, with the way there, in seconds."""
        one = need.view.members[member.member]
        age = need.now - one.seen
        wait = one.wait * max(0.0, 1.0 - age / WAIT_DECAY)
        hop = NEAR_HOP if member.zone == self.zone else FAR_HOP
        inflight = need.track.member(member.member).inflight
        return wait + hop + INFLIGHT_WAIT * inflight


def usual_lag(one: MemberView, need: Need) -> float:
    """Return the lag in seconds to expect of a replica.

    The age proved when it was seen is its lag and the time since the last
    sample, hence never less. A replica of which nothing is known is taken to
    keep up; its home knows better.
    """
    lag = need.track.member(one.member).lag
    return lag if one.lag is None else min(one.lag, lag)


def meets(one: MemberView, statement: Statement, now: float) -> bool:
    """Say whether a replica is known to meet what a read demands."""
    if statement.covers is not None and one.applied < statement.covers:
        return False
    if statement.consistency is not Consistency.MAX_AGE:
        return True
    assert statement.max_age is not None
    return one.lag is not None and one.lag + now - one.seen <= statement.max_age


def should_meet(one: MemberView, need: Need) -> bool:
    """Say whether a replica should by now meet what a read demands."""
    statement = need.statement
    lag = usual_lag(one, need)
    if statement.covers is not None and one.applied < statement.covers:
        since = need.track.heads.since(statement.covers)
        if since is None or need.now + COVER_WAIT < since + lag:
            return False
    if statement.consistency is not Consistency.MAX_AGE:
        return True
    assert statement.max_age is not None
    return lag <= statement.max_age
