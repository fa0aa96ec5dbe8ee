"""Interface for metrics, and an implementation that keeps them in memory."""

from abc import ABC, abstractmethod
from collections import Counter


class Metrics(ABC):
    """Record counters, durations and gauges."""

    @abstractmethod
    def increment(self, name: str, by: int = 1) -> None:
        """Add `by` to the counter `name`."""

    @abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Record a duration for the timer `name`."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name` to `value`."""


class MemoryMetrics(Metrics):
    """Keep metrics in memory for the administration API and for tests."""

    __slots__ = ("counters", "gauges")

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def increment(self, name: str, by: int = 1) -> None:
        self.counters[name] += by

    def timing(self, name: str, seconds: float) -> None:
        self.counters[f"{name}.count"] += 1

    def gauge(self, name: str, value: float) -> None:
        self.gauges[name] = value
