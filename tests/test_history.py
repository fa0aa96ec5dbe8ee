"""The guarantee checks on crafted histories of callers."""

import pytest

from reedhook.request.statement import Consistency
from reedhook.request.verdict import Verdict
from reedhook_standins.history import (
    Effect,
    History,
    Promise,
    ReadSeen,
    WriteAttempt,
    violations,
)


def attempt(
    request_id: str,
    version: int,
    started: float,
    ended: float,
    verdict: Verdict = Verdict.DONE,
    session: str = "gate",
    repeated: bool = False,
) -> WriteAttempt:
    reason = None if verdict is Verdict.DONE else "target_lost"
    return WriteAttempt(
        request_id,
        "feed",
        "gate",
        version,
        session,
        "host",
        started,
        ended,
        verdict,
        reason,
        repeated,
    )


def read(
    version: int,
    started: float,
    consistency: Consistency,
    age: float | None = None,
    session: str = "gate",
    echoed: str = "mark",
    reason: str | None = None,
) -> ReadSeen:
    return ReadSeen(
        "ticket",
        "feed",
        session,
        "host",
        consistency,
        started,
        started + 0.1,
        "mark",
        echoed,
        {"gate": version},
        reason,
        "replica",
        age,
    )


def effect(request_id: str, version: int, committed: float | None) -> Effect:
    return Effect(request_id, "feed", "gate", version, committed)


def violated_promises(
    attempts: list[WriteAttempt], reads: list[ReadSeen], effects: list[Effect]
) -> list[Promise]:
    history = History()
    history.attempts.extend(attempts)
    history.reads.extend(reads)
    return [violation.promise for violation in violations(history, effects)]


FIRST = attempt("a", 1, 1.0, 1.2)
SECOND = attempt("b", 2, 2.0, 2.2)
EFFECTS = [effect("a", 1, 1.1), effect("b", 2, 2.1)]


def test_history_without_violations_passes() -> None:
    reads = [
        read(2, 2.3, Consistency.FRESH),
        read(2, 2.5, Consistency.SESSION),
        read(1, 2.7, Consistency.MAX_AGE, age=0.8, session="clerk"),
        read(0, 2.9, Consistency.FRESH, reason="unconfirmed"),
    ]
    assert violated_promises([FIRST, SECOND], reads, EFFECTS) == []


def test_missing_acknowledged_write_is_reported_as_lost() -> None:
    assert violated_promises([FIRST, SECOND], [], EFFECTS[:1]) == [Promise.LOST]


def test_write_in_doubt_may_be_missing() -> None:
    in_doubt = attempt("b", 2, 2.0, 2.2, Verdict.MAY_HAVE_RUN)
    assert violated_promises([FIRST, in_doubt], [], EFFECTS[:1]) == []


def test_write_with_two_effects_is_reported_as_doubled() -> None:
    effects = [*EFFECTS, effect("b", 2, 2.4)]
    assert violated_promises([FIRST, SECOND], [], effects) == [Promise.DOUBLED]


def test_effect_of_write_answered_not_run_is_reported() -> None:
    refused = attempt("b", 2, 2.0, 2.2, Verdict.NOT_RUN)
    assert violated_promises([FIRST, refused], [], EFFECTS) == [Promise.UNTRUE_NOT_RUN]


def test_attempt_explains_only_later_effects() -> None:
    refused = attempt("b", 2, 2.0, 2.2, Verdict.NOT_RUN)
    retry = attempt("b", 2, 3.0, 3.2)
    early = [EFFECTS[0], effect("b", 2, 2.1)]
    effects = [EFFECTS[0], effect("b", 2, 3.1)]
    assert violated_promises([FIRST, refused, retry], [], early) == [
        Promise.UNTRUE_NOT_RUN
    ]
    assert violated_promises([FIRST, refused, retry], [], effects) == []


def test_repeated_answer_does_not_explain_earlier_effect() -> None:
    refused = attempt("b", 2, 2.0, 2.2, Verdict.NOT_RUN)
    in_doubt = attempt("b", 2, 2.0, 2.2, Verdict.MAY_HAVE_RUN)
    retry = attempt("b", 2, 3.0, 3.2, repeated=True)
    assert violated_promises([FIRST, refused, retry], [], EFFECTS) == [
        Promise.UNTRUE_NOT_RUN
    ]
    assert violated_promises([FIRST, in_doubt, retry], [], EFFECTS) == []


def test_repeated_answer_may_explain_effect_during_its_attempt() -> None:
    once = attempt("b", 2, 2.0, 2.2, repeated=True)
    assert violated_promises([FIRST, once], [], EFFECTS) == []


def test_effect_without_attempt_is_reported() -> None:
    assert violated_promises([FIRST], [], EFFECTS) == [Promise.UNTRUE_NOT_RUN]


def test_fresh_read_must_see_earlier_acknowledged_write() -> None:
    stale = read(1, 2.3, Consistency.FRESH, session="viewer")
    assert violated_promises([FIRST, SECOND], [stale], EFFECTS) == [Promise.STALE_FRESH]


def test_fresh_read_may_miss_concurrent_write() -> None:
    meanwhile = read(1, 2.15, Consistency.FRESH, session="viewer")
    assert violated_promises([FIRST, SECOND], [meanwhile], EFFECTS) == []


def test_session_read_must_see_own_write() -> None:
    miss = read(1, 2.3, Consistency.SESSION)
    assert violated_promises([FIRST, SECOND], [miss], EFFECTS) == [Promise.SESSION]


def test_session_read_may_miss_writes_of_other_sessions() -> None:
    other_read = read(1, 2.3, Consistency.SESSION, session="skipper")
    assert violated_promises([FIRST, SECOND], [other_read], EFFECTS) == []


def test_session_reads_are_monotonic() -> None:
    reads = [
        read(2, 2.3, Consistency.SESSION, session="skipper"),
        read(1, 2.5, Consistency.SESSION, session="skipper"),
    ]
    assert violated_promises([FIRST, SECOND], reads, EFFECTS) == [Promise.SESSION]


@pytest.mark.parametrize(("age", "broken"), [(0.1, [Promise.AGE]), (0.95, [])])
def test_reported_age_is_an_upper_bound(age: float, broken: list[Promise]) -> None:
    bounded_read = read(1, 3.0, Consistency.MAX_AGE, age=age, session="clerk")
    assert violated_promises([FIRST, SECOND], [bounded_read], EFFECTS) == broken


def test_age_is_checked_by_acknowledgement_without_commit_time() -> None:
    effects = [effect("a", 1, None), effect("b", 2, None)]
    bounded_read = read(1, 3.0, Consistency.MAX_AGE, age=0.5, session="clerk")
    assert violated_promises([FIRST, SECOND], [bounded_read], effects) == [Promise.AGE]


def test_answer_to_another_request_is_reported() -> None:
    foreign = read(2, 2.3, Consistency.SESSION, echoed="another")
    assert violated_promises([FIRST, SECOND], [foreign], EFFECTS) == [Promise.MIXED]
