"""The report of a run: checked guarantees and measurements."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import pairwise
from typing import Final

from reedhook.record import Record
from reedhook.request.statement import Consistency
from reedhook.wire import Json

from .history import (
    Effect,
    History,
    Promise,
    RecordedFault,
    Violation,
    WriteAttempt,
    violations,
)

SHOWN_VIOLATIONS: Final = 10
NAME_WIDTH: Final = 46
AFTERMATH_S: Final = 3.0


class Gap(Record):
    """Represent how long one group took no writes after a fault.

    :param to_first_write: seconds from the fault to the first acknowledgement of a
        write that was sent after it; None if none came.
    :param longest: the longest time in seconds without an acknowledgement that includes
        or follows the fault.
    """

    __slots__ = ("fault", "to_first_write", "longest")

    def __init__(
        self, fault: RecordedFault, to_first_write: float | None, longest: float
    ) -> None:
        self.fault = fault
        self.to_first_write = to_first_write
        self.longest = longest

    def to_json(self) -> Json:
        """Return the gap as JSON."""
        return {
            "fault": self.fault.name,
            "subject": self.fault.subject,
            "group": self.fault.group,
            "to_first_write_s": rounded(self.to_first_write),
            "longest_without_ack_s": rounded(self.longest),
        }


class DayReport(Record):
    """Represent the report of a run.

    :param broken: the violated guarantees.
    :param missing: expected events that did not happen.
    :param reads: answered reads by consistency and role.
    """

    __slots__ = (
        "deployment",
        "seconds",
        "acknowledged",
        "attempts",
        "effects",
        "reads",
        "refusals",
        "gave_up",
        "gaps",
        "broken",
        "missing",
    )

    def __init__(
        self,
        deployment: str,
        seconds: float,
        acknowledged: int,
        attempts: int,
        effects: int,
        reads: Counter[tuple[str, str]],
        refusals: Counter[str],
        gave_up: list[str],
        gaps: list[Gap],
        broken: list[Violation],
        missing: list[str],
    ) -> None:
        self.deployment = deployment
        self.seconds = seconds
        self.acknowledged = acknowledged
        self.attempts = attempts
        self.effects = effects
        self.reads = reads
        self.refusals = refusals
        self.gave_up = gave_up
        self.gaps = gaps
        self.broken = broken
        self.missing = missing

    @property
    def good(self) -> bool:
        """Return whether the guarantees held and the expected events happened."""
        return not self.broken and not self.missing

    def replica_share(self, consistency: Consistency | None = None) -> float | None:
        """Return the fraction of answered reads that replicas served."""
        counted = {
            role: sum(
                count
                for (wanted, served), count in self.reads.items()
                if served == role and consistency in (None, wanted)
            )
            for role in ("primary", "replica")
        }
        total = sum(counted.values())
        return counted["replica"] / total if total else None

    def to_json(self) -> Json:
        """Return the report as JSON."""
        counts = Counter(violation.promise for violation in self.broken)
        return {
            "deployment": self.deployment,
            "seconds": rounded(self.seconds),
            "good": self.good,
            "promises": {promise.value: counts[promise] for promise in Promise},
            "missing": self.missing,
            "acknowledged_writes": self.acknowledged,
            "write_attempts": self.attempts,
            "effects": self.effects,
            "reads": sum(self.reads.values()),
            "replica_share": rounded(self.replica_share()),
            "replica_share_by_consistency": {
                one.value: rounded(self.replica_share(one)) for one in Consistency
            },
            "refusals": dict(self.refusals),
            "gave_up": self.gave_up,
            "gaps": [gap.to_json() for gap in self.gaps],
            "violations": [
                [one.promise.value, one.subject, one.detail] for one in self.broken
            ],
        }


def judge(
    deployment: str,
    seconds: float,
    history: History,
    effects: Iterable[Effect],
    gave_up: list[str],
) -> DayReport:
    """Return the report of `history`, given the effects in the groups at its end."""
    effect_list = list(effects)
    gaps = [gap for fault in history.faults if (gap := gap_after(history, fault))]
    reads = Counter(
        (read.consistency.value, read.role or "") for read in history.answered()
    )
    refusals = Counter(history.refusals())
    outcome = DayReport(
        deployment=deployment,
        seconds=seconds,
        acknowledged=len(history.acknowledged()),
        attempts=len(history.attempts),
        effects=len(effect_list),
        reads=reads,
        refusals=refusals,
        gave_up=gave_up,
        gaps=gaps,
        broken=violations(history, effect_list),
        missing=[],
    )
    outcome.missing.extend(what_is_missing(outcome))
    return outcome


def gap_after(history: History, fault: RecordedFault) -> Gap | None:
    """Return how long a group took no writes after a fault of its primary."""
    if fault.group is None:
        return None
    acks = [
        attempt for attempt in history.acknowledged() if attempt.group == fault.group
    ]
    later_acks = [attempt.ended for attempt in acks if attempt.ended > fault.at]
    if not later_acks:
        return Gap(fault, None, history.end() - fault.at)
    return Gap(fault, first_new(acks, fault), longest_gap(acks, fault))


def first_new(acks: list[WriteAttempt], fault: RecordedFault) -> float | None:
    """Return the time to the first write that was sent after the fault."""
    return min(
        (attempt.ended - fault.at for attempt in acks if attempt.started > fault.at),
        default=None,
    )


def longest_gap(acks: list[WriteAttempt], fault: RecordedFault) -> float:
    """Return the longest time without an acknowledgement around the fault."""
    ack_times = sorted(attempt.ended for attempt in acks)
    return max(
        (
            later - earlier
            for earlier, later in pairwise(ack_times)
            if later > fault.at and earlier < fault.at + AFTERMATH_S
        ),
        default=0.0,
    )


def what_is_missing(outcome: DayReport) -> Iterator[str]:
    """Yield the expected events that did not happen."""
    if not outcome.acknowledged:
        yield "no write was acknowledged"
    if not outcome.replica_share():
        yield "no read was served by a replica"
    if not outcome.gaps:
        yield "no primary was lost"
    for gap in outcome.gaps:
        if gap.to_first_write is None:
            yield f"writes to {gap.fault.group} did not resume"
    for message in outcome.gave_up:
        yield f"a caller gave up: {message}"


def text(outcome: DayReport) -> str:
    """Format the report as text."""
    counts = Counter(violation.promise for violation in outcome.broken)
    lines = [
        f"{outcome.deployment}, {outcome.seconds:.1f} s",
        "",
        "Promises",
        *(line(promise.value, str(counts[promise])) for promise in Promise),
        "",
        "Measured",
        line("acknowledged writes", str(outcome.acknowledged)),
        line("attempts of writes", str(outcome.attempts)),
        line("writes that the groups hold", str(outcome.effects)),
        line("answered reads", str(sum(outcome.reads.values()))),
        line("share of reads served by replicas", percent(outcome.replica_share())),
        *(share_line(outcome, item) for item in Consistency),
        *(gap_line(gap) for gap in outcome.gaps),
        "",
        "Refusals that callers saw (each was retried)",
        *(line(reason, str(count)) for reason, count in outcome.refusals.most_common()),
        "",
        *(f"MISSING: {item}" for item in outcome.missing),
        *(broken_line(item) for item in outcome.broken[:SHOWN_VIOLATIONS]),
        "All promises held." if outcome.good else "NOT GOOD.",
    ]
    return "\n".join(lines)


def line(name: str, value: str) -> str:
    """Return one line of the report."""
    return f"  {name:<{NAME_WIDTH}} {value:>10}"


def share_line(outcome: DayReport, consistency: Consistency) -> str:
    """Return the line of the replica share of one consistency."""
    share = percent(outcome.replica_share(consistency))
    return line(f"- {consistency.value} reads", share)


def gap_line(gap: Gap) -> str:
    """Return the line of one failover gap."""
    name = f"failover gap, {gap.fault.name} {gap.fault.subject}"
    if gap.to_first_write is None:
        return line(name, "open")
    return line(name, f"{gap.to_first_write * 1000:.0f} ms")


def broken_line(violation: Violation) -> str:
    """Return the line of one violated guarantee."""
    return f"BROKEN: {violation.promise.value}: {violation.subject}: {violation.detail}"


def percent(share: float | None) -> str:
    """Format a fraction as a percentage."""
    return "-" if share is None else f"{share:.1%}"


def rounded(value: float | None) -> float | None:
    """Round a figure to the digits of the report."""
    return None if value is None else round(value, 4)
