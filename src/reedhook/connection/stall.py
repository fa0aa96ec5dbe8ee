"""Whether a target leaves all writes unanswered while it answers otherwise."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock

STALLED_AFTER: Final = 2.0
"""Seconds without any answered write after which writes count as stalled."""

STALLED_COUNT: Final = 3
"""Writes that must have stayed unanswered in that time; one may be a slow one."""


class Stall:
    """Follow how writes and commits end.

    :param changed: is called with the monotonic time since when writes have
        stalled, in seconds, and with None once one is answered again.
    :ivar since: when the first unanswered write was sent; None if the last one
        was answered.
    """

    __slots__ = ("clock", "changed", "since", "unanswered", "told")

    def __init__(self, clock: Clock, changed: Callable[[float | None], None]) -> None:
        self.clock = clock
        self.changed = changed
        self.since: float | None = None
        self.unanswered = 0
        self.told = False

    def lost(self, began: float) -> None:
        """Take note that a write sent at `began` got no answer."""
        if self.since is None:
            self.since = began
        self.unanswered += 1
        lasted = self.clock.monotonic() - self.since
        if self.told or lasted < STALLED_AFTER or self.unanswered < STALLED_COUNT:
            return
        self.told = True
        self.changed(self.since)

    def answered(self) -> None:
        """Take note of an answer to a write; a refusal is one, too."""
        told = self.told
        self.forget()
        if told:
            self.changed(None)

    def forget(self) -> None:
        """Begin anew, since the target answers nothing at all."""
        self.since = None
        self.unanswered = 0
        self.told = False
