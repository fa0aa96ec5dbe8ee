"""Draw the main figures of a benchmark run."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeAlias

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

Figures: TypeAlias = dict[str, Any]
Panel: TypeAlias = Callable[[Any, Any], None]

WIDTH: Final = 5.0
HEIGHT: Final = 4.0
DOTS_PER_INCH: Final = 120
BAR: Final = 0.38


def draw(figures: Figures, path: Path) -> None:
    """Draw `figures`, one panel each, to the PNG file `path`."""
    panels = [
        (panel, figures[name])
        for name, panel in PANELS
        if "error" not in figures.get(name, {"error": "absent"})
    ]
    if not panels:
        return
    size = (WIDTH * len(panels), HEIGHT)
    figure, axes = pyplot.subplots(1, len(panels), figsize=size, squeeze=False)
    for axis, (panel, measured) in zip(axes[0], panels, strict=True):
        panel(axis, measured)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=DOTS_PER_INCH)


def replica_share(axis: Any, measured: Figures) -> None:
    """Draw the fraction of reads at replicas and the baseline."""
    names = list(measured)
    pairs(
        axis,
        names,
        ("reedhook", [measured[name]["replica_share"] for name in names]),
        ("all to the primary", [measured[name]["baseline_share"] for name in names]),
    )
    axis.set_ylim(0, 1.05)
    axis.set_title("Share of reads at replicas")


def failover_gap(axis: Any, measured: Figures) -> None:
    """Draw the median failover gap and the baseline, in seconds."""
    names = list(measured)
    pairs(
        axis,
        names,
        ("reedhook", [measured[name]["median_gap_s"] for name in names]),
        ("5 s detection", [measured[name]["baseline_gap_s"] for name in names]),
    )
    axis.set_yscale("log")
    axis.set_title("Failover gap, s")


def hop_cost(axis: Any, measured: Figures) -> None:
    """Draw processor time per statement and the bare pass-through."""
    names = ["pass-through", "home", "forwarding"]
    values = [measured["courses"][name]["processor_us"] for name in names]
    axis.bar(names, values)
    axis.set_title("Processor time a statement, µs")


def pairs(
    axis: Any,
    names: list[str],
    one: tuple[str, list[float]],
    other: tuple[str, list[float]],
) -> None:
    """Draw two bars for each name."""
    for shift, (label, values) in ((-BAR / 2, one), (BAR / 2, other)):
        positions = [index + shift for index in range(len(names))]
        bars = axis.bar(positions, values, BAR, label=label)
        axis.bar_label(bars, fmt="%.3g")
    axis.set_xticks(range(len(names)), names)
    axis.legend()


PANELS: Final[list[tuple[str, Panel]]] = [
    ("deployment", replica_share),
    ("deployment", failover_gap),
    ("hop", hop_cost),
]
