"""Recorded traces replayed against real hosts, checked for their stated results."""

import pytest
from syrupy.assertion import SnapshotAssertion

from .fakes_clock import run_virtual
from .trace_replay import FOLDER, Replay, load

NAMES = sorted(path.stem for path in FOLDER.glob("*.yaml"))
REVIEWED = {"isolated_primary", "host_dead_in_transaction", "paused_home_wakes"}


@pytest.mark.parametrize("name", NAMES)
def test_a_trace_comes_out_as_it_states(name: str, snapshot: SnapshotAssertion) -> None:
    replay = Replay(load(name))
    run_virtual(replay.run())
    if name in REVIEWED:
        assert "\n".join(replay.lines()) == snapshot


@pytest.mark.parametrize("seed", range(1, 11))
def test_healed_partition_causes_no_unneeded_promotion(seed: int) -> None:
    """Replay with other interleavings of queries sent before and after the heal.

    Guards against a second promotion when a query to the primary is lost and the other
    is not, or while hosts of the primary's zone are still unknown.
    """
    trace = load("cut_off_zone_heals")
    trace["scene"]["seed"] = seed
    run_virtual(Replay(trace).run())
