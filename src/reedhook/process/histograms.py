"""Counters and histograms of durations, served as text."""

from bisect import bisect_left
from typing import Final

from ..metrics import MemoryMetrics

BUCKET_BOUNDS_SECONDS: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
)
"""Upper bounds of the buckets; must include the latency objectives."""


class HistogramMetrics(MemoryMetrics):
    """Keep counters, gauges and a histogram of each duration."""

    __slots__ = ("histograms", "sums")

    def __init__(self) -> None:
        super().__init__()
        self.histograms: dict[str, list[int]] = {}
        self.sums: dict[str, float] = {}

    def timing(self, name: str, seconds: float) -> None:
        buckets = self.histograms.get(name)
        if buckets is None:
            buckets = self.histograms[name] = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
            self.sums[name] = 0.0
        buckets[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.sums[name] += seconds

    def render(self) -> str:
        """Return all metrics as text, one per line."""
        lines = [f"{name} {count}" for name, count in sorted(self.counters.items())]
        lines += [f"{name} {value}" for name, value in sorted(self.gauges.items())]
        for name in sorted(self.histograms):
            lines += self.render_histogram(name)
        return "\n".join(lines) + "\n"

    def render_histogram(self, name: str) -> list[str]:
        """Return the lines of one histogram, with cumulative bucket counts."""
        lines = []
        total = 0
        for bound, count in zip(
            BUCKET_BOUNDS_SECONDS, self.histograms[name], strict=False
        ):
            total += count
            lines.append(f"{name}_seconds_bucket{{le={bound}}} {total}")
        total += self.histograms[name][-1]
        lines.append(f"{name}_seconds_count {total}")
        lines.append(f"{name}_seconds_sum {self.sums[name]:.6f}")
        return lines
