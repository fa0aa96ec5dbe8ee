"""The benchmarks' runner and plot."""

from pathlib import Path

import pytest

from bench.plot import draw
from bench.run import read_figures

DEPLOYMENT = {
    "plant": {
        "replica_share": 0.8,
        "baseline_share": 0.0,
        "median_gap_s": 0.6,
        "baseline_gap_s": 5.0,
    }
}


@pytest.mark.parametrize("text", ["", "not JSON", "[1]"])
def test_output_that_is_no_object_is_an_error(text: str) -> None:
    assert "error" in read_figures(text)


def test_output_that_is_an_object_is_taken_over() -> None:
    assert read_figures('{"median_us": 3}') == {"median_us": 3}


def test_failed_benchmarks_are_left_out_of_the_plot(tmp_path: Path) -> None:
    path = tmp_path / "deep" / "bench.png"
    draw({"deployment": DEPLOYMENT, "hop": {"error": "not done"}}, path)
    assert path.read_bytes().startswith(b"\x89PNG")


def test_without_figures_there_is_no_plot(tmp_path: Path) -> None:
    path = tmp_path / "bench.png"
    draw({"hop": {"error": "not done"}}, path)
    assert not path.exists()
