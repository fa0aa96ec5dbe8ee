"""How far a host trusts its own view, by how late answers come."""

from reedhook.peer import HostRef
from reedhook.process.fleet.local_health import MIN_RECOVERY_SECONDS, LocalHealth

from .timeline_fakes import HandClock

ANSWER = 0.1
"""Seconds that an answer may take while all is well."""

REFS = [HostRef(f"a-{number}", "a", f"10.0.0.1:{number}") for number in range(5)]


def doubtful() -> tuple[LocalHealth, HandClock]:
    """Return the trust of a host that several others have just not answered."""
    clock = HandClock(0.0)
    health = LocalHealth("a", ANSWER, clock)
    for ref in REFS[:2]:
        health.record_timeout(ref)
    assert health.timeout_factor == 2
    return health, clock


def answers(health: LocalHealth, clock: HandClock, took: float, seconds: float) -> None:
    """Have all hosts answer after `took` seconds, again and again."""
    until = clock.monotonic() + seconds
    while clock.monotonic() < until:
        for ref in REFS:
            clock.now += 0.1
            health.record_answer(ref, took)


def test_waits_stay_long_while_answers_would_miss_shorter_ones() -> None:
    health, clock = doubtful()
    answers(health, clock, 0.16, 10 * MIN_RECOVERY_SECONDS)
    assert health.timeout_factor == 2


def test_waits_are_short_again_once_answers_would_be_in_time() -> None:
    health, clock = doubtful()
    answers(health, clock, 0.16, 10 * MIN_RECOVERY_SECONDS)
    answers(health, clock, 0.003, MIN_RECOVERY_SECONDS + 1.0)
    assert health.timeout_factor == 1


def test_one_host_that_is_slow_does_not_keep_waits_long() -> None:
    health, clock = doubtful()
    for _ in range(40):
        clock.now += 0.1
        health.record_answer(REFS[0], 0.16)
        for ref in REFS[1:]:
            health.record_answer(ref, 0.003)
    assert health.timeout_factor == 1
