"""Timeouts for replies, derived from the observed durations of statements."""

from typing import Final

MIN_SILENCE_SECONDS: Final = 0.25
"""Minimum time without a reply before the target is probed."""

SILENCE_FACTOR: Final = 4.0
"""Multiple of the usual duration after which the target is probed."""

ABANDON_FACTOR: Final = 4.0
"""Multiple of the silence timeout after which a statement that cannot be repeated is
abandoned although the target is alive."""

QUANTILE: Final = 0.99
QUANTILE_STEP_FACTOR: Final = 0.1
"""Tracked quantile of durations, and the relative step of its estimate."""

MAX_KNOWN_TEXTS: Final = 256
"""Statement texts with a timeout of their own."""

TEXT_DECAY_FACTOR: Final = 0.95
"""Factor by which the recorded duration of a text falls with each faster run."""


class ResponseTimeouts:
    """Estimate durations of statements and derive timeouts from them.

    :ivar p99_seconds: running estimate of the 99th percentile, in seconds.
    :ivar texts: recorded duration in seconds by the hash of the statement text.
    """

    __slots__ = ("p99_seconds", "texts")

    def __init__(self) -> None:
        self.p99_seconds = MIN_SILENCE_SECONDS / SILENCE_FACTOR
        self.texts: dict[int, float] = {}

    def record_duration(self, sql: str, seconds: float) -> None:
        """Record the duration of a statement that was answered or abandoned."""
        if seconds > self.p99_seconds:
            self.p99_seconds *= 1.0 + QUANTILE_STEP_FACTOR * QUANTILE
        else:
            self.p99_seconds *= 1.0 - QUANTILE_STEP_FACTOR * (1.0 - QUANTILE)
        text_hash = hash(sql)
        known = self.texts.get(text_hash)
        if known is not None:
            self.texts[text_hash] = max(seconds, known * TEXT_DECAY_FACTOR)
            return
        if len(self.texts) >= MAX_KNOWN_TEXTS:
            del self.texts[next(iter(self.texts))]
        self.texts[text_hash] = seconds

    def silence_timeout(self, sql: str) -> float:
        """Return the seconds without a reply after which the target is probed."""
        usual = self.texts.get(hash(sql), self.p99_seconds)
        return max(usual * SILENCE_FACTOR, MIN_SILENCE_SECONDS)

    def abandon_timeout(self, sql: str) -> float | None:
        """Return the seconds after which an unanswered statement is abandoned.

        Return None for an unknown text, which may simply be slow.
        """
        if hash(sql) not in self.texts:
            return None
        return self.silence_timeout(sql) * ABANDON_FACTOR
