"""Load reports: malformed ones, stale ones, and those of earlier incarnations."""

from typing import Any

import pytest
from hypothesis import given, strategies as st

from reedhook.request.position import Position
from reedhook.request.target_load import TargetCondition, TargetLoad
from reedhook.request.target_loads import (
    MAX_REPORTS_PER_HEARTBEAT,
    MAX_SENT_AGE_SECONDS,
    REPORT_RETENTION_SECONDS,
    TargetLoads,
)
from reedhook.version.route_table import TargetAnnouncement
from reedhook.wire import WireError, decode, encode

from .timeline_fakes import HandClock

BORN = 1_764_815_000_000
VALID: list[Any] = ["db-1", BORN, 12.5, 3, 18.2, "healthy", 40]


def load(
    target: str = "db-1", as_of: float = 0.0, born: int = BORN, wait: float = 0.0
) -> TargetLoad:
    """Return a report of a healthy target."""
    return TargetLoad(target, born, wait, 4, 0.012, TargetCondition.HEALTHY, as_of)


def entry(target: str = "db-1", born: int = BORN) -> TargetAnnouncement:
    """Return the announcement of a target."""
    return TargetAnnouncement(
        target, "orders", "127.0.0.1:1", "north", False, False, born
    )


def test_report_is_the_same_after_the_wire() -> None:
    sent = TargetLoad(
        "db-1", BORN, 0.0125, 3, 0.0182, TargetCondition.PROBATION, 10.0, Position(2, 9)
    )
    wire = decode(encode({"load": sent.to_json(10.04)}))["load"]
    assert wire == ["db-1", BORN, 12.5, 3, 18.2, "probation", 40, 2, 9]
    assert TargetLoad.from_json(wire, 100.04).values() == pytest.approx(
        (*sent.values()[:6], 100.0, sent.position)
    )


def test_report_is_dated_from_its_request_and_never_too_late() -> None:
    received = TargetLoad.from_json(load(as_of=10.0).to_json(10.0004), 50.0)
    assert received.as_of <= 50.0 - 0.0004


@pytest.mark.parametrize(
    "index, value",
    [
        (0, 7),
        (0, ""),
        (1, -1),
        (1, 1.5),
        (1, True),
        (2, "1"),
        (2, -0.1),
        (2, float("nan")),
        (2, float("inf")),
        (3, None),
        (3, 2.0),
        (4, [1]),
        (5, "dead"),
        (5, None),
        (6, -1),
    ],
)
def test_report_with_an_invalid_field_is_refused(index: int, value: object) -> None:
    report = [*VALID[:index], value, *VALID[index + 1 :]]
    with pytest.raises(WireError):
        TargetLoad.from_json(report, 0.0)


@pytest.mark.parametrize(
    "report",
    [VALID[:6], [*VALID, 1], [*VALID, 1, 2, 3], [*VALID, 1, -2], {}, "report", None],
)
def test_report_with_missing_or_further_fields_is_refused(report: object) -> None:
    with pytest.raises(WireError):
        TargetLoad.from_json(report, 0.0)


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=12))
def test_decoder_raises_only_wire_errors(value: object) -> None:
    loads = TargetLoads(HandClock(100.0))
    try:
        loads.record_received(value, 0.0)
    except WireError:
        assert not loads.reports


def test_older_report_passed_on_by_a_third_host_does_not_replace_a_newer_one() -> None:
    clock = HandClock(100.0)
    loads = TargetLoads(clock)
    assert loads.record(load(as_of=99.5, wait=0.2))
    third = load(as_of=10.0, wait=0.9).to_json(10.7)
    loads.record_received([third], 99.9)
    found = loads.find(entry())
    assert found is not None and found.wait_seconds == 0.2
    newer = load(as_of=10.0, wait=0.4).to_json(10.1)
    loads.record_received([newer], 99.9)
    found = loads.find(entry())
    assert found is not None and found.wait_seconds == 0.4
    assert loads.age(found) == pytest.approx(0.2)


def test_report_of_an_earlier_incarnation_is_not_used_for_the_restarted_target() -> (
    None
):
    clock = HandClock(100.0)
    loads = TargetLoads(clock)
    loads.record(load(born=BORN, as_of=clock.now, wait=5.0))
    assert loads.find(entry(born=BORN + 900)) is None
    loads.record(load(born=BORN + 900, as_of=clock.now, wait=0.1))
    loads.record(load(born=BORN, as_of=clock.now, wait=5.0))
    found = loads.find(entry(born=BORN + 900))
    assert found is not None and found.wait_seconds == 0.1


def test_old_reports_are_neither_passed_on_nor_kept() -> None:
    clock = HandClock(100.0)
    loads = TargetLoads(clock)
    loads.record(load("db-1", as_of=clock.now))
    clock.now += MAX_SENT_AGE_SECONDS + 0.1
    assert loads.reports_to_send([]) == []
    assert loads.find(entry("db-1")) is not None
    clock.now += REPORT_RETENTION_SECONDS
    loads.record(load("db-2", as_of=clock.now))
    assert loads.find(entry("db-1")) is None
    assert not loads.record(load("db-1", as_of=0.0 - REPORT_RETENTION_SECONDS))


def test_heartbeat_has_own_reports_first_and_then_the_newest_of_others() -> None:
    clock = HandClock(100.0)
    loads = TargetLoads(clock)
    for number in range(12):
        loads.record(load(f"other-{number}", as_of=clock.now - 0.1 * number))
    loads.record(load("own-1", as_of=clock.now - 0.05))
    own = [load("own-1", as_of=clock.now), load("own-2", as_of=clock.now)]
    names = [report[0] for report in loads.reports_to_send(own)]
    assert names == ["own-1", "own-2", *(f"other-{number}" for number in range(6))]


def test_host_with_more_targets_than_fit_reports_all_of_them_in_turn() -> None:
    clock = HandClock(100.0)
    loads = TargetLoads(clock)
    own = [load(f"own-{number}", as_of=clock.now) for number in range(20)]
    sent: set[str] = set()
    for _ in range(3):
        reports = loads.reports_to_send(own)
        assert len(reports) == MAX_REPORTS_PER_HEARTBEAT
        sent |= {report[0] for report in reports}
    assert len(sent) == 20


def test_heartbeat_with_too_many_reports_is_refused() -> None:
    with pytest.raises(WireError):
        TargetLoads(HandClock(100.0)).record_received([VALID] * 9, 0.0)
