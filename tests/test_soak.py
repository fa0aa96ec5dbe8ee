"""Real hosts under faults from outside, for some seconds."""

import asyncio
from pathlib import Path

import pytest

from reedhook_standins.soak.soak import Soak

SECONDS = 8.0
HOSTS = 6

SEEDS = [
    # Any seed that ever failed stays here, with a line on its cause.
    1,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_among_processes(seed: int, tmp_path: Path) -> None:
    soak = Soak(seed, HOSTS, SECONDS, tmp_path)
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.struck
