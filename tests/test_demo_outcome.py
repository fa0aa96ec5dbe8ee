"""The report of a demo run."""

from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict
from reedhook_standins.history import (
    Effect,
    History,
    ReadSeen,
    RecordedFault,
    WriteAttempt,
)
from reedhook_standins.outcome import judge, text


def write(serial: int, started: float, verdict: Verdict = Verdict.DONE) -> WriteAttempt:
    reason = None if verdict is Verdict.DONE else "no_primary"
    return WriteAttempt(
        f"id-{serial}",
        "feed",
        "gate",
        serial,
        "gate",
        "host",
        started,
        started + 0.1,
        verdict,
        reason,
    )


def view(started: float, role: str) -> ReadSeen:
    return ReadSeen(
        "mix view",
        "feed",
        "viewer",
        "host",
        Consistency.MAX_AGE,
        started,
        started + 0.1,
        "mark",
        "mark",
        {},
        None,
        role,
        0.5,
    )


def failover_history(history: History) -> tuple[list[Effect], History]:
    history.attempts.extend(
        [write(1, 1.0), write(2, 1.8, Verdict.NOT_RUN), write(2, 2.6)]
    )
    history.reads.extend([view(1.0, "replica")] * 3 + [view(1.5, "primary")])
    history.faults.append(RecordedFault("killed", "m1", "feed", 1.5))
    effects = [
        Effect("id-1", "feed", "gate", 1, 1.05),
        Effect("id-2", "feed", "gate", 2, 2.65),
    ]
    return effects, history


def test_run_with_failover_passes() -> None:
    effects, history = failover_history(History())
    outcome = judge("plant", 3.0, history, effects, [])
    assert outcome.good
    assert outcome.acknowledged == 2
    assert outcome.replica_share() == 0.75
    assert outcome.replica_share(Consistency.FRESH) is None
    (gap,) = outcome.gaps
    assert gap.to_first_write is not None
    assert round(gap.to_first_write, 3) == 1.2
    assert round(gap.longest, 3) == 1.6
    assert "failover gap, killed m1" in text(outcome)


def test_violation_is_reported_and_fails_the_run() -> None:
    effects, history = failover_history(History())
    outcome = judge("plant", 3.0, history, effects[:1], [])
    assert not outcome.good
    assert outcome.to_json()["promises"]["acknowledged writes lost"] == 1
    assert "BROKEN: acknowledged writes lost: id-2" in text(outcome)


def test_run_without_expected_events_fails() -> None:
    effects, history = failover_history(History())
    history.attempts.pop()
    history.reads = [view(1.0, "primary")]
    outcome = judge("plant", 3.0, history, effects[:1], ["gate: still no_primary"])
    assert outcome.missing == [
        "no read was served by a replica",
        "writes to feed did not resume",
        "a caller gave up: gate: still no_primary",
    ]


def test_run_without_faults_fails() -> None:
    effects, history = failover_history(History())
    history.faults.clear()
    outcome = judge("plant", 3.0, history, effects, [])
    assert outcome.missing == ["no primary was lost"]
