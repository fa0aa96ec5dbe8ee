"""Samples of the primary that prove the age of data without synchronized clocks."""

from collections import deque
from typing import Final

from ...record import Record
from ...request.position import Position
from ...wire import Json

MAX_SAMPLES: Final = 64
MIN_SAMPLE_SPACING_SECONDS: Final = 0.005


class PrimarySample(Record):
    """Position of a confirmed primary at or after `as_of`.

    A member that has applied `position` reflects every write acknowledged
    before `as_of`.

    :param position: the last entry of the primary.
    :param as_of: local monotonic time in seconds.
    """

    __slots__ = ("position", "as_of")

    def __init__(self, position: Position, as_of: float) -> None:
        self.position = position
        self.as_of = as_of

    def to_json(self, now: float) -> Json:
        """Return the JSON form, with the age at `now` instead of a time."""
        return {"position": self.position.to_json(), "age": now - self.as_of}

    @classmethod
    def from_json(cls, message: Json, asked: float) -> "PrimarySample":
        """Parse a sample that was requested at `asked`, local monotonic seconds.

        The age was computed after the request was sent. Counting it back from the
        request makes the sample seem older than it is, never newer.
        """
        age = max(0.0, float(message["age"]))
        return cls(Position.from_json(message["position"]), asked - age)


class PrimarySamples:
    """The newest samples; a lagging replica proves its age by an older one."""

    __slots__ = ("kept",)

    def __init__(self) -> None:
        self.kept: deque[PrimarySample] = deque(maxlen=MAX_SAMPLES)

    @property
    def newest(self) -> PrimarySample | None:
        """Return the sample with the latest time, or None."""
        return self.kept[-1] if self.kept else None

    def add(self, sample: PrimarySample) -> None:
        """Keep `sample` if it is newer than all others.

        Samples close together in time replace each other. Otherwise a busy group
        would evict the older samples that a lagging replica needs.
        """
        newest = self.newest
        if newest is not None and sample.as_of <= newest.as_of:
            return
        previous = self.kept[-2] if len(self.kept) > 1 else None
        if (
            previous is not None
            and sample.as_of - previous.as_of < MIN_SAMPLE_SPACING_SECONDS
        ):
            self.kept.pop()
        self.kept.append(sample)

    def age(self, applied: Position, now: float) -> float | None:
        """Return a proved upper bound of the age of `applied` at `now`.

        :returns: seconds, or None if no sample proves anything.
        """
        for sample in reversed(self.kept):
            if applied.covers(sample.position):
                return now - sample.as_of
        return None
