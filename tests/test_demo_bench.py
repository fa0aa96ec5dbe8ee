"""The runner and the plot of the benchmarks."""

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
def test_output_without_json_object_is_an_error(text: str) -> None:
    assert "error" in read_figures(text)


def test_json_object_output_is_returned() -> None:
    assert read_figures('{"median_us": 3}') == {"median_us": 3}


def test_failed_benchmarks_are_omitted_from_plot(tmp_path: Path) -> None:
    path = tmp_path / "deep" / "bench.png"
    draw({"deployment": DEPLOYMENT, "hop": {"error": "not done"}}, path)
    assert path.read_bytes().startswith(b"\x89PNG")


def test_no_figures_draw_no_plot(tmp_path: Path) -> None:
    path = tmp_path / "bench.png"
    draw({"hop": {"error": "not done"}}, path)
    assert not path.exists()
