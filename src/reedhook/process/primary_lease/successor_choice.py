"""Choice of the next primary among the targets of a service that respond.

With `sync_replicas`, a commit is acknowledged once its primary and so many other
targets hold it, whichever these are: one that leaves, one that responds late or one
that is down for a moment. A target is promoted only if none that did not respond may
hold more.
"""

from collections.abc import Callable
from typing import Any, TypeAlias

from ...connection.session_target import SessionTargetStatus
from ...record import Record
from ...request.position import Position
from ...version.route_table import TargetAnnouncement

TargetReport: TypeAlias = tuple[TargetAnnouncement, SessionTargetStatus]


class TargetSurvey(Record):
    """Carry what the targets of a service report before a promotion.

    :param reports: the targets that may be promoted and responded, with their status.
    :param silent: those that did not respond and may still run.
    :param silent_former: the target to be replaced, if it did not respond and may still
        run; None otherwise.
    :param former_position: its position if it responded; None otherwise.
    :param sync_replicas: replicas that hold a commit before it is acknowledged.
    :param term: term of the primary whose commits were acknowledged last.
    :param highest_position: highest known position of that primary, or None.
    :param restarted: targets that are known to have started again without their log.
    """

    __slots__ = (
        "reports",
        "silent",
        "silent_former",
        "former_position",
        "sync_replicas",
        "term",
        "highest_position",
        "restarted",
    )

    def __init__(
        self,
        reports: list[TargetReport],
        silent: list[TargetAnnouncement],
        silent_former: TargetAnnouncement | None = None,
        former_position: Position | None = None,
        sync_replicas: int = 0,
        term: int = 0,
        highest_position: Position | None = None,
        restarted: frozenset[str] = frozenset(),
    ) -> None:
        self.reports = reports
        self.silent = silent
        self.silent_former = silent_former
        self.former_position = former_position
        self.sync_replicas = sync_replicas
        self.term = term
        self.highest_position = highest_position
        self.restarted = restarted

    def best(
        self, fitness: Callable[[TargetReport], Any], planned: bool = False
    ) -> TargetReport | None:
        """Return the target to be promoted, or None.

        One that leaves is promoted only if it holds what no other one does. A planned
        change waits for another one instead.

        :param fitness: sort key that begins with the position.
        """
        if not self.reports or not (self.complete or any(map(has_log, self.reports))):
            # Targets without commits have restarted. A silent one may hold them.
            return None
        staying = [report for report in self.reports if not report[0].leaving]
        if not staying:
            return None if planned else max(self.reports, key=fitness)
        chosen = max(staying, key=fitness)
        if not self.sync_replicas or planned:
            return chosen
        highest = max(self.reports, key=fitness)
        return highest if highest[1].received > chosen[1].received else chosen

    @property
    def complete(self) -> bool:
        """Return whether all targets responded."""
        return not self.silent

    def awaited(self) -> list[TargetAnnouncement]:
        """Return the targets that may hold an acknowledged commit that no report has.

        The commits that a primary inherited at its promotion may be at no other target
        before one has received a commit of its term.
        """
        if not self.sync_replicas:
            return []
        without_log = sum(map(self.may_have_lost_log, self.reports))
        enough = len(self.silent) + without_log < self.sync_replicas
        if enough and self.holds_inherited():
            return []
        former = [] if self.silent_former is None else [self.silent_former]
        return self.silent + former

    def may_have_lost_log(self, report: TargetReport) -> bool:
        """Return whether a target has started again and not caught up since."""
        if not has_log(report):
            return True
        if self.highest_position is None or report[0].target not in self.restarted:
            return False
        return report[1].received < self.highest_position

    def holds_inherited(self) -> bool:
        """Return whether a report covers what the primary held at its promotion."""
        received = max((status.received for _, status in self.reports), default=None)
        if received is None:
            return False
        if self.highest_position is not None and received >= self.highest_position:
            return True
        return received.term >= self.term


def has_log(report: TargetReport) -> bool:
    """Return whether the log of a target holds any commit."""
    return report[1].received.index > 0
