"""How long a target may take before a connection counts as silent."""

from typing import Final

MIN_SILENCE_SECONDS: Final = 0.25
"""Seconds of silence below which no connection is suspected."""

SILENCE_FACTOR: Final = 4.0
"""Multiple of the usual service time that counts as silence."""

ABANDON_FACTOR: Final = 4.0
"""Multiple of the silence bound after which a statement that cannot be
repeated is given up, though the target lives."""

QUANTILE: Final = 0.99
QUANTILE_STEP_FACTOR: Final = 0.1
"""Quantile of the service time that is followed, and how fast."""

MAX_KNOWN_TEXTS: Final = 256
"""Statement texts whose own time is remembered."""

TEXT_DECAY_FACTOR: Final = 0.95
"""Factor by which the remembered time of a text falls with each quicker run."""


class ResponseTimeouts:
    """Learn service times and derive the bounds of silence from them.

    :ivar p99_seconds: running estimate of the 99th percentile, in seconds.
    :ivar texts: seconds that known statement texts may take, by the hash of
        the text, so that long texts are not kept.
    """

    __slots__ = ("p99_seconds", "texts")

    def __init__(self) -> None:
        self.p99_seconds = MIN_SILENCE_SECONDS / SILENCE_FACTOR
        self.texts: dict[int, float] = {}

    def record_duration(self, sql: str, seconds: float) -> None:
        """Take note of a statement that was answered, or given up."""
        if seconds > self.p99_seconds:
            self.p99_seconds *= 1.0 + QUANTILE_STEP_FACTOR * QUANTILE
        else:
            self.p99_seconds *= 1.0 - QUANTILE_STEP_FACTOR * (1.0 - QUANTILE)
        text = hash(sql)
        known = self.texts.get(text)
        if known is not None:
            self.texts[text] = max(seconds, known * TEXT_DECAY_FACTOR)
            return
        if len(self.texts) >= MAX_KNOWN_TEXTS:
            del self.texts[next(iter(self.texts))]
        self.texts[text] = seconds

    def silence_timeout(self, sql: str) -> float:
        """Return the seconds after which silence is looked into."""
        usual = self.texts.get(hash(sql), self.p99_seconds)
        return max(usual * SILENCE_FACTOR, MIN_SILENCE_SECONDS)

    def abandon_timeout(self, sql: str) -> float | None:
        """Return the seconds after which a silent statement is given up.

        None for an unknown text: it may well be a slow one.
        """
        if hash(sql) not in self.texts:
            return None
        return self.silence_timeout(sql) * ABANDON_FACTOR
