"""Whether a target leaves all writes unanswered while it answers otherwise."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock

STALLED_AFTER_SECONDS: Final = 2.0
"""Seconds without any answered write after which writes count as stalled."""

MIN_UNANSWERED_WRITES: Final = 3
"""Writes that must have stayed unanswered in that time; one may be a slow one."""


class StalledWriteDetector:
    """Follow how writes and commits end.

    :param on_stall_change: is called with the monotonic time since when writes have
        stalled, in seconds, and with None once one is answered again.
    :ivar since: when the first unanswered write was sent; None if the last one
        was answered.
    """

    __slots__ = ("clock", "on_stall_change", "since", "unanswered", "stall_reported")

    def __init__(
        self, clock: Clock, on_stall_change: Callable[[float | None], None]
    ) -> None:
        self.clock = clock
        self.on_stall_change = on_stall_change
        self.since: float | None = None
        self.unanswered = 0
        self.stall_reported = False

    def record_unanswered(self, began: float) -> None:
        """Take note that a write sent at `began` got no answer."""
        if self.since is None:
            self.since = began
        self.unanswered += 1
        lasted = self.clock.monotonic() - self.since
        if (
            self.stall_reported
            or lasted < STALLED_AFTER_SECONDS
            or self.unanswered < MIN_UNANSWERED_WRITES
        ):
            return
        self.stall_reported = True
        self.on_stall_change(self.since)

    def record_answered(self) -> None:
        """Take note of an answer to a write; a refusal is one, too."""
        told = self.stall_reported
        self.reset()
        if told:
            self.on_stall_change(None)

    def reset(self) -> None:
        """Begin anew, since the target answers nothing at all."""
        self.since = None
        self.unanswered = 0
        self.stall_reported = False
