"""Choice among the targets that may serve a read, by load reports and own samples."""

from random import Random
from typing import Final

from ..version.route_table import TargetAnnouncement
from .service_observations import (
    FAILURE_COST_SECONDS,
    ServiceObservations,
    TargetObservations,
)
from .target_load import TargetCondition, TargetLoad
from .target_loads import TargetLoads

OTHER_ZONE_HOP_SECONDS: Final = 0.012
"""Cost added to a target in another availability zone."""

REPORT_HALF_LIFE_SECONDS: Final = 0.5
"""Time in which the weight of a report halves in favour of the host's own samples."""

MAX_REPORT_AGE_SECONDS: Final = 5.0
"""Age from which a report is not used. Its weight has fallen to 1/1024, and a target
whose home no longer reports must not stay ejected."""

MIN_CANDIDATES_TO_DRAW: Final = 3
"""Number of candidates from which on two of them are drawn and compared."""

TIE_FRACTION: Final = 0.3
"""Targets whose expected completions differ by less are equally good. The mean
duration that a home reports varies by a quarter if durations are exponential, and all
hosts that know the same reports would prefer the same target."""


class TargetChoice:
    """Choose targets for the reads of one host.

    :param zone: the availability zone of the host.
    """

    __slots__ = ("loads", "zone", "random")

    def __init__(self, loads: TargetLoads, zone: str, random: Random) -> None:
        self.loads = loads
        self.zone = zone
        self.random = random

    def choose(
        self,
        entries: list[TargetAnnouncement],
        observations: ServiceObservations,
        now: float,
    ) -> TargetAnnouncement | None:
        """Return the target for a read; None if all are ejected or there is none."""
        usable: list[TargetAnnouncement] = []
        on_probation: list[TargetAnnouncement] = []
        for entry in entries:
            condition = self.condition(entry, now)
            if condition is TargetCondition.PROBATION:
                on_probation.append(entry)
            elif condition is not TargetCondition.EJECTED:
                usable.append(entry)
        if on_probation and (not usable or observations.is_probation_turn()):
            return self.cheaper(on_probation, observations, now)
        return self.cheaper(usable, observations, now)

    def condition(self, entry: TargetAnnouncement, now: float) -> TargetCondition:
        """Return the reported condition of a target; healthy if it is unknown."""
        load = self.find_report(entry, now)
        return TargetCondition.HEALTHY if load is None else load.condition

    def find_report(self, entry: TargetAnnouncement, now: float) -> TargetLoad | None:
        """Return the latest report of a target, unless it is too old."""
        load = self.loads.find(entry)
        if load is None or now - load.as_of > MAX_REPORT_AGE_SECONDS:
            return None
        return load

    def cheaper(
        self,
        entries: list[TargetAnnouncement],
        observations: ServiceObservations,
        now: float,
    ) -> TargetAnnouncement | None:
        """Return the cheaper one of two random entries; None without entries."""
        if len(entries) < 2:
            return entries[0] if entries else None
        first, second = self.draw(entries)
        one = self.expected_seconds(first, observations.target(first.target), now)
        other = self.expected_seconds(second, observations.target(second.target), now)
        same_hop = (first.zone == self.zone) == (second.zone == self.zone)
        if same_hop and abs(one - other) < TIE_FRACTION * max(one, other):
            return self.break_tie(first, second, now)
        return first if one < other else second

    def draw(
        self, entries: list[TargetAnnouncement]
    ) -> tuple[TargetAnnouncement, TargetAnnouncement]:
        """Return two different entries, drawn at random if there are more."""
        if len(entries) < MIN_CANDIDATES_TO_DRAW:
            return entries[0], entries[1]
        first = int(self.random.random() * len(entries))
        second = int(self.random.random() * (len(entries) - 1))
        second += second >= first
        return entries[first], entries[second]

    def break_tie(
        self, first: TargetAnnouncement, second: TargetAnnouncement, now: float
    ) -> TargetAnnouncement:
        """Return one of two targets at random, in proportion to their free slots."""
        one, other = self.free_slots(first, now), self.free_slots(second, now)
        if one + other <= 0:
            one = other = 1
        return first if self.random.random() * (one + other) < one else second

    def free_slots(self, entry: TargetAnnouncement, now: float) -> int:
        """Return the reported free slots of a target; all if there is no report."""
        load = self.find_report(entry, now)
        return entry.slots if load is None else load.free_slots

    def expected_seconds(
        self, entry: TargetAnnouncement, target: TargetObservations, now: float
    ) -> float:
        """Return the expected time until a read at a target is answered.

        The report counts for less with its age. Statements of this host in progress
        are added, since the report may not include them, and the cost of failures by
        the share of this host's statements that failed.
        """
        load = self.find_report(entry, now)
        if load is None:
            seconds = target.expected_seconds(now)
        else:
            weight = 2.0 ** ((load.as_of - now) / REPORT_HALF_LIFE_SECONDS)
            seconds = (
                weight * (load.wait_seconds + load.service_seconds)
                + (1.0 - weight) * target.mean_at(now)
                + target.inflight * load.service_seconds / entry.slots
            )
        if target.failed_share:
            seconds += FAILURE_COST_SECONDS * target.failed_share_at(now)
        if entry.zone != self.zone:
            seconds += OTHER_ZONE_HOP_SECONDS
        return seconds
