"""Proofs of age without synchronized clocks."""

from collections import deque
from typing import Final

from ...record import Record
from ...request.position import Position
from ...wire import Json

MAX_SAMPLES: Final = 64
MIN_SAMPLE_SPACING_SECONDS: Final = 0.005


class PrimarySample(Record):
    """Say that a confirmed primary was at `position` no earlier than `dated`.

    A member that has applied `position` reflects every write acknowledged
    before `dated`.

    :param position: the last entry of the primary.
    :param as_of: local monotonic time in seconds.
    """

    __slots__ = ("position", "as_of")

    def __init__(self, position: Position, as_of: float) -> None:
        self.position = position
        self.as_of = as_of

    def to_json(self, now: float) -> Json:
        """Return the sample for the wire; its time becomes an age at `now`."""
        return {"position": self.position.to_json(), "age": now - self.as_of}

    @classmethod
    def from_json(cls, message: Json, asked: float) -> "PrimarySample":
        """Read a sample; `asked` is when the question was sent, local monotonic.

        The age was stated after the question was sent, so dating it from the
        question makes the sample older than it is, never newer.
        """
        age = max(0.0, float(message["age"]))
        return cls(Position.from_json(message["position"]), asked - age)


class PrimarySamples:
    """Keep the newest samples, so that a replica that lags proves an older one."""

    __slots__ = ("kept",)

    def __init__(self) -> None:
        self.kept: deque[PrimarySample] = deque(maxlen=MAX_SAMPLES)

    @property
    def newest(self) -> PrimarySample | None:
        """Return the sample with the latest date."""
        return self.kept[-1] if self.kept else None

    def add(self, sample: PrimarySample) -> None:
        """Keep `sample` if it is dated later than all others.

        Samples close together in time replace each other, lest a busy group
        push out the older ones that a replica far behind needs.
        """
        last = self.newest
        if last is not None and sample.as_of <= last.as_of:
            return
        before = self.kept[-2] if len(self.kept) > 1 else None
        if (
            before is not None
            and sample.as_of - before.as_of < MIN_SAMPLE_SPACING_SECONDS
        ):
            self.kept.pop()
        self.kept.append(sample)

    def age(self, applied: Position, now: float) -> float | None:
        """Return the proved upper bound of the age of `applied` at `now`.

        :returns: seconds, or None if no sample proves anything.
        """
        for sample in reversed(self.kept):
            if applied.covers(sample.position):
                return now - sample.as_of
        return None
