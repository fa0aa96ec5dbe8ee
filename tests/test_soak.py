"""Real host processes keep the guarantees under faults for some seconds."""

import asyncio
from pathlib import Path

import pytest

from reedhook_standins.soak.faults import DRAWS
from reedhook_standins.soak.soak import Soak

HOSTS = 6

SEEDS = [
    (1, 8.0),
    # Guards against a transaction that continues at a second replica after the host of
    # the first one was killed.
    (100, 20.0),
    (102, 20.0),
    # Guards against SIGHUP ending a host that has not installed its handler yet.
    (91000, 30.0),
]
"""Seeds with seconds of faults; failed seeds stay as regression cases."""

RESTORED_SEED = 68
"""A seed whose first fault is a restore soon after the loss of the primary."""

RESTORED_SECONDS = 25.0

LATE_SEED = 402
LATE_SECONDS = 30.0

PLANNED_SEED = 1
PLANNED_SECONDS = 15.0

SYNC_SEED = 1
SYNC_SECONDS = 25.0
SYNC_REPLICAS = 1

LAST_HOST_SEED = 1
LAST_HOST_SECONDS = 20.0


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_guarantees_hold_under_process_faults(
    seed: int, seconds: float, tmp_path: Path
) -> None:
    soak = Soak(seed, HOSTS, seconds, tmp_path)
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.struck


# Guards against a database that no host serves again, falling fencing tokens and
# commits at a superseded primary after the store was restored from an older copy.
def test_guarantees_hold_over_restores(tmp_path: Path) -> None:
    soak = Soak(RESTORED_SEED, HOSTS, RESTORED_SECONDS, tmp_path, DRAWS["restores"])
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.around.store.epoch > 0


# Guards against commits at a superseded primary, and reads that lack them, after the
# store recorded a successor late and the holder was told to end.
def test_guarantees_hold_over_late_writes(tmp_path: Path) -> None:
    soak = Soak(LATE_SEED, HOSTS, LATE_SECONDS, tmp_path, DRAWS["successors"])
    soak.at_once = 1
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.struck


# Guards against requests that a host has read and cuts as it ends after SIGTERM.
def test_guarantees_hold_over_planned_work(tmp_path: Path) -> None:
    soak = Soak(
        PLANNED_SEED,
        HOSTS,
        PLANNED_SECONDS,
        tmp_path,
        DRAWS["planned"],
        check_cuts=True,
    )
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.struck


# Guards against a successor that lacks acknowledged commits, which may be at a replica
# that drains, responds late or is down for a moment.
def test_guarantees_hold_with_synchronous_replicas(tmp_path: Path) -> None:
    faults = DRAWS["replicas"]
    soak = Soak(
        SYNC_SEED, HOSTS, SYNC_SECONDS, tmp_path, faults, sync_replicas=SYNC_REPLICAS
    )
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.around.group.promotions


# Guards against a last host that serves nothing, since no other one confirms the loss
# of the lease holder, and against paused holders that go on to use the primary.
def test_last_host_serves(tmp_path: Path) -> None:
    soak = Soak(LAST_HOST_SEED, 3, LAST_HOST_SECONDS, tmp_path, DRAWS["last-host"])
    soak.at_once = 1
    violations = asyncio.run(soak.run())
    assert not violations
    assert soak.promises.acknowledged
    assert soak.struck
