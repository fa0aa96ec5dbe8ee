"""Load reports of targets, as measured by their homes and sent between hosts."""

import math
from enum import Enum
from typing import Any, Final, TypeAlias

from ..record import Record
from ..wire import WireError, wraps_decode_errors
from .position import Position

MS_PER_SECOND: Final = 1000.0

WHOLE_MS_FROM: Final = 100.0
"""Durations from here on are sent in whole ms, shorter ones in tenths. Whole ms would
change the mean duration of a short statement by 10%."""

REPORT_FIELDS: Final = 7
"""Fields of a report without a position."""

TargetIncarnation: TypeAlias = tuple[str, int]
"""The id of a target and the start time of its process in Unix milliseconds."""


class TargetCondition(str, Enum):
    """Enumerate the conditions of a target, as judged by its home."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    EJECTED = "ejected"
    PROBATION = "probation"


class TargetLoad(Record):
    """Report the load of one target.

    :param started_at_ms: when the target's process started; 0 if unknown.
    :param wait_seconds: expected wait for a slot of a read of average duration.
    :param free_slots: slots without a statement.
    :param service_seconds: mean duration of a statement at the target.
    :param condition: the condition of the target.
    :param as_of: when the report was made, by this host's `Clock.monotonic`.
    :param position: the last position that a reply of the target had; None if unknown.
    """

    __slots__ = (
        "target",
        "started_at_ms",
        "wait_seconds",
        "free_slots",
        "service_seconds",
        "condition",
        "as_of",
        "position",
    )

    def __init__(
        self,
        target: str,
        started_at_ms: int,
        wait_seconds: float,
        free_slots: int,
        service_seconds: float,
        condition: TargetCondition,
        as_of: float,
        position: Position | None = None,
    ) -> None:
        self.target = target
        self.started_at_ms = started_at_ms
        self.wait_seconds = wait_seconds
        self.free_slots = free_slots
        self.service_seconds = service_seconds
        self.condition = condition
        self.as_of = as_of
        self.position = position

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the target and the start time of its process."""
        return self.target, self.started_at_ms

    def to_json(self, now: float) -> list[Any]:
        """Return the report in its wire format, with the time as an age at `now`.

        :param now: by `Clock.monotonic`.
        """
        report: list[Any] = [
            self.target,
            self.started_at_ms,
            to_ms(self.wait_seconds),
            self.free_slots,
            to_ms(self.service_seconds),
            self.condition.value,
            math.ceil(max(now - self.as_of, 0.0) * MS_PER_SECOND),
        ]
        if self.position is not None:
            report += self.position.to_json()
        return report

    @classmethod
    @wraps_decode_errors
    def from_json(cls, value: Any, requested_at: float) -> "TargetLoad":
        """Decode a report sent by another host.

        :param requested_at: when the report was requested, by `Clock.monotonic`. Its
            age counts from there, so that the report is never dated too late.
        :raises WireError: if any field has another type or range.
        """
        if not isinstance(value, list):
            raise WireError("a load report must be a list")
        target, started_at_ms, wait, free_slots, service, condition, age = value[
            :REPORT_FIELDS
        ]
        if not isinstance(target, str) or not target:
            raise WireError("the target of a load report must be a name")
        return cls(
            target,
            non_negative_int(started_at_ms),
            from_ms(wait),
            non_negative_int(free_slots),
            from_ms(service),
            TargetCondition(condition),
            requested_at - from_ms(age),
            read_position(value[REPORT_FIELDS:]),
        )


def read_position(fields: list[Any]) -> Position | None:
    """Return the position at the end of a report; None if it has none.

    :raises WireError: if there are other fields.
    """
    if not fields:
        return None
    term, index = fields
    return Position(non_negative_int(term), non_negative_int(index))


def to_ms(seconds: float) -> float:
    """Return a duration in milliseconds, rounded for the wire."""
    value = seconds * MS_PER_SECOND
    return round(value) if value >= WHOLE_MS_FROM else round(value, 1)


def from_ms(value: Any) -> float:
    """Return a duration in seconds.

    :raises WireError: if `value` is not a finite number of at least 0.
    """
    if type(value) not in (int, float) or not 0.0 <= value < math.inf:
        raise WireError("a duration must be a number of at least 0")
    return float(value) / MS_PER_SECOND


def non_negative_int(value: Any) -> int:
    """Return an integer of at least 0.

    :raises WireError: if `value` is anything else, booleans included.
    """
    if type(value) is not int or value < 0:
        raise WireError("a count must be an integer of at least 0")
    return value
