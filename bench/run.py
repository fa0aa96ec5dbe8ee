"""Run all benchmarks, print their figures as JSON and draw them.

The benchmarks run sequentially in separate processes, so that they do not disturb each
other.
"""

import importlib.util
import json
import os
import platform
import subprocess
import sys
from datetime import date
from pathlib import Path
from typing import Any, Final

from .plot import draw

BENCHMARKS: Final = (
    "hop",
    "deployment",
    "routing",
    "overload",
    "failover",
    "membership",
    "configuration",
    "propagation",
)
TIMEOUT_S: Final = 600
PLOT: Final = Path("build/bench.png")
REPORT: Final = Path("build/bench.json")
# The default hour of lossy traffic would dominate the run time.
ARGUMENTS: Final = {"failover": ("--runs=50", "--hours=0.1")}
ERROR_LINES: Final = 5


def main() -> int:
    """Run the named benchmarks, by default all; return 1 if one failed.

    Intermediate figures are saved beside the plot, as a run takes minutes.
    """
    names = sys.argv[1:] or [name for name in BENCHMARKS if exists(name)]
    figures: dict[str, Any] = {}
    report = {"machine": machine(), "figures": figures}
    PLOT.parent.mkdir(parents=True, exist_ok=True)
    for name in names:
        figures[name] = run(name)
        REPORT.write_text(json.dumps(report, indent=2), encoding="utf-8")
    print(json.dumps(report, indent=2))
    draw(figures, PLOT)
    print(f"plot: {PLOT}", file=sys.stderr)
    return int(any("error" in result for result in figures.values()))


def exists(name: str) -> bool:
    """Return whether the benchmark exists."""
    return importlib.util.find_spec(f"bench.{name}") is not None


def run(name: str) -> dict[str, Any]:
    """Run one benchmark and return its figures, or its error."""
    print(f"running {name}", file=sys.stderr)
    command = [sys.executable, "-m", f"bench.{name}", *ARGUMENTS.get(name, ())]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return {"error": f"not done within {TIMEOUT_S} s"}
    if done.returncode:
        last = done.stderr.splitlines()[-ERROR_LINES:]
        return {"error": "\n".join(last), "exit": done.returncode}
    return read_figures(done.stdout)


def read_figures(text: str) -> dict[str, Any]:
    """Parse the JSON object that a benchmark printed."""
    try:
        figures = json.loads(text)
    except json.JSONDecodeError as error:
        return {"error": f"no JSON: {error}"}
    if not isinstance(figures, dict):
        return {"error": "no JSON object"}
    return figures


def machine() -> dict[str, Any]:
    """Describe the machine of the run."""
    return {
        "date": date.today().isoformat(),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_before": os.getloadavg()[0],
    }


if __name__ == "__main__":
    sys.exit(main())
