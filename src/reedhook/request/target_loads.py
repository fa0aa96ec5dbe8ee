"""The latest load report of each target, from results and heartbeats."""

import heapq
from typing import Any, Final

from ..clock import Clock
from ..version.route_table import TargetAnnouncement
from ..wire import WireError
from .target_load import TargetIncarnation, TargetLoad

MAX_REPORTS_PER_HEARTBEAT: Final = 8

REPORT_RETENTION_SECONDS: Final = 20.0
"""How long a report is kept. It exceeds the longest ejection (16 s), so that a new
home knows of an ejection by the home before."""

MAX_SENT_AGE_SECONDS: Final = 2.0
"""Age from which a report is not passed on. Its weight has fallen to 1/16 by then."""

MIN_PRUNE_INTERVAL_SECONDS: Final = 1.0


class TargetLoads:
    """Keep the latest load report of each incarnation of a target.

    Incarnations are kept apart, since a report of an earlier one may arrive later.

    :ivar reports: the latest reports, by target and start time.
    """

    __slots__ = ("clock", "reports", "pruned_at", "next_own")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reports: dict[TargetIncarnation, TargetLoad] = {}
        self.pruned_at = clock.monotonic()
        self.next_own = 0

    def record(self, load: TargetLoad) -> bool:
        """Keep a report unless a newer one is known; return whether it was kept."""
        now = self.clock.monotonic()
        if now - load.as_of > REPORT_RETENTION_SECONDS:
            return False
        known = self.reports.get(load.incarnation)
        if known is not None and known.as_of >= load.as_of:
            return False
        self.reports[load.incarnation] = load
        if now - self.pruned_at >= MIN_PRUNE_INTERVAL_SECONDS:
            self.prune(now)
        return True

    def find(self, entry: TargetAnnouncement) -> TargetLoad | None:
        """Return the latest report of the announced incarnation of a target."""
        return self.reports.get((entry.target, entry.started_at_ms))

    def age(self, load: TargetLoad) -> float:
        """Return the age of a report in seconds."""
        return self.clock.monotonic() - load.as_of

    def prune(self, now: float) -> None:
        """Remove expired reports."""
        self.pruned_at = now
        oldest = now - REPORT_RETENTION_SECONDS
        self.reports = {
            incarnation: load
            for incarnation, load in self.reports.items()
            if load.as_of >= oldest
        }

    def reports_to_send(self, own: list[TargetLoad]) -> list[list[Any]]:
        """Return the reports of a heartbeat: this host's own, then the newest known.

        :param own: current reports of the targets whose home is this host. If there
            are too many for one heartbeat, they are sent in turn.
        """
        now = self.clock.monotonic()
        chosen = self.own_in_turn(own)
        own_targets = {load.target for load in own}
        others = [
            load
            for load in self.reports.values()
            if load.target not in own_targets
            and now - load.as_of <= MAX_SENT_AGE_SECONDS
        ]
        free = MAX_REPORTS_PER_HEARTBEAT - len(chosen)
        chosen += heapq.nlargest(free, others, key=lambda load: load.as_of)
        return [load.to_json(now) for load in chosen]

    def own_in_turn(self, own: list[TargetLoad]) -> list[TargetLoad]:
        """Return up to `MAX_REPORTS_PER_HEARTBEAT` of the host's own reports."""
        if len(own) <= MAX_REPORTS_PER_HEARTBEAT:
            return list(own)
        first = self.next_own % len(own)
        self.next_own = first + MAX_REPORTS_PER_HEARTBEAT
        return (own[first:] + own[:first])[:MAX_REPORTS_PER_HEARTBEAT]

    def record_received(self, message: Any, requested_at: float) -> None:
        """Keep the reports of a heartbeat that are newer than the known ones.

        :param requested_at: when the heartbeat was requested, by `Clock.monotonic`.
        :raises WireError: if any report is malformed; none is kept then.
        """
        if not isinstance(message, list) or len(message) > MAX_REPORTS_PER_HEARTBEAT:
            raise WireError("load reports must be a list of at most 8")
        for load in [TargetLoad.from_json(report, requested_at) for report in message]:
            self.record(load)
