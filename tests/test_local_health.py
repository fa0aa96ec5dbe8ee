"""Guard against timeouts of a slow host that are shortened too early or too late."""

from reedhook.peer import HostRef
from reedhook.process.fleet.local_health import MIN_RECOVERY_SECONDS, LocalHealth

from .timeline_fakes import HandClock

ANSWER = 0.1
"""Probe timeout in seconds at level 0."""

REFS = [HostRef(f"a-{number}", "a", f"10.0.0.1:{number}") for number in range(5)]


def degraded_health() -> tuple[LocalHealth, HandClock]:
    """Return the health, at level 1, of a host after several timeouts."""
    clock = HandClock(0.0)
    health = LocalHealth("a", ANSWER, clock)
    for ref in REFS[:2]:
        health.record_timeout(ref)
    assert health.timeout_factor == 2
    return health, clock


def record_answers(
    health: LocalHealth, clock: HandClock, took: float, seconds: float
) -> None:
    """Record responses of all hosts after `took` seconds, for `seconds` seconds."""
    until = clock.monotonic() + seconds
    while clock.monotonic() < until:
        for ref in REFS:
            clock.now += 0.1
            health.record_answer(ref, took)


def test_timeouts_stay_long_while_responses_would_miss_shorter_ones() -> None:
    health, clock = degraded_health()
    record_answers(health, clock, 0.16, 10 * MIN_RECOVERY_SECONDS)
    assert health.timeout_factor == 2


def test_timeouts_return_to_normal_once_responses_are_fast_again() -> None:
    health, clock = degraded_health()
    record_answers(health, clock, 0.16, 10 * MIN_RECOVERY_SECONDS)
    record_answers(health, clock, 0.003, MIN_RECOVERY_SECONDS + 1.0)
    assert health.timeout_factor == 1


def test_single_slow_host_does_not_keep_timeouts_long() -> None:
    health, clock = degraded_health()
    for _ in range(40):
        clock.now += 0.1
        health.record_answer(REFS[0], 0.16)
        for ref in REFS[1:]:
            health.record_answer(ref, 0.003)
    assert health.timeout_factor == 1
