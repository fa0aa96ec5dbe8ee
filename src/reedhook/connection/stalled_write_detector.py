"""Detection of a target that answers reads but no writes."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock

STALLED_AFTER_SECONDS: Final = 2.0
"""Time without an answered write after which writes count as stalled."""

MIN_UNANSWERED_WRITES: Final = 3
"""Unanswered writes needed for a stall; a single one may just be slow."""


class StalledWriteDetector:
    """Track the outcomes of writes and commits.

    :param on_stall_change: called with the monotonic time in seconds since when writes
        have stalled, and with None once one is answered again.
    :ivar since: monotonic time of the first unanswered write; None if the last write
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
        """Record that a write sent at `began` got no reply."""
        if self.since is None:
            self.since = began
        self.unanswered += 1
        stalled_seconds = self.clock.monotonic() - self.since
        if (
            self.stall_reported
            or stalled_seconds < STALLED_AFTER_SECONDS
            or self.unanswered < MIN_UNANSWERED_WRITES
        ):
            return
        self.stall_reported = True
        self.on_stall_change(self.since)

    def record_answered(self) -> None:
        """Record a reply to a write; a refusal counts as a reply."""
        was_reported = self.stall_reported
        self.reset()
        if was_reported:
            self.on_stall_change(None)

    def reset(self) -> None:
        """Forget the unanswered writes."""
        self.since = None
        self.unanswered = 0
        self.stall_reported = False
