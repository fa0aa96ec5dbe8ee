"""Timeline: stamps, filters and the causal order of merged event rings."""

import json

import pytest
from hypothesis import given, strategies as st
from syrupy.assertion import SnapshotAssertion

from reedhook.process.events.timeline import (
    MAX_AHEAD_MS,
    Event,
    EventKind,
    Stamp,
    Timeline,
)
from reedhook.process.events.timeline_filter import EventFilter
from reedhook.process.events.timeline_html import page_of
from reedhook.process.events.timeline_merge import EventHistory, failovers, merge, order
from reedhook.process.events.timeline_text import text_of
from reedhook.wire import WireError

from .timeline_fakes import HandClock, a_failover, event

# A step is (host, None) for an event at a host, or (host, other) for a message
# from one host to another.
hosts = st.integers(0, 3)
steps = st.lists(st.tuples(hosts, st.none() | hosts), max_size=40)
drifts = st.lists(st.integers(-20, 20), min_size=4, max_size=4)


@given(steps, drifts)
def test_merge_orders_causes_before_effects(
    script: list[tuple[int, int | None]], clock_offsets: list[int]
) -> None:
    clocks = [HandClock(1000.0 + offset) for offset in clock_offsets]
    lines = [Timeline(f"h{i}", clocks[i]) for i in range(4)]
    causes: dict[str, set[str]] = {f"h{i}": set() for i in range(4)}
    causes_by_event: dict[str, set[str]] = {}
    for number, (host, other) in enumerate(script):
        name, line = f"h{host}", lines[host]
        if other is None:
            line.record(EventKind.STORE, str(number))
            causes_by_event[str(number)] = set(causes[name])
            causes[name].add(str(number))
            continue
        stamp = line.tick()
        lines[other].observe(stamp.wall_ms, stamp.count)
        causes[f"h{other}"] |= causes[name]
    seen: set[str] = set()
    merged = merge(line.events for line in lines)
    assert len(merged) == len(causes_by_event)
    for one in merged:
        assert causes_by_event[one.subject] <= seen
        seen.add(one.subject)


def test_stamp_far_ahead_is_not_adopted() -> None:
    line = Timeline("h", HandClock(1000.0))
    line.observe(1_000_000 + MAX_AHEAD_MS, 3)
    assert line.stamp == Stamp(1_000_000 + MAX_AHEAD_MS, 3)
    line.observe(2**60, 0)
    assert line.stamp == Stamp(1_000_000 + MAX_AHEAD_MS, 3)
    assert line.rejected == 1


def test_ring_keeps_the_newest_events() -> None:
    line = Timeline("h", HandClock(1000.0), size=2)
    for name in ("a", "b", "c"):
        line.record(EventKind.STORE, name)
    assert [one.subject for one in line.events] == ["b", "c"]


def test_events_are_encoded_and_decoded() -> None:
    one = event(7, "h", EventKind.DRAIN, "h", seconds=3)
    assert Event.from_json(json.loads(json.dumps(one.to_json()))) == one


@pytest.mark.parametrize(
    "message",
    [
        None,
        {},
        {"stamp": [1], "host": "h", "kind": "drain", "subject": "", "detail": {}},
        {"stamp": [1, 0], "host": "h", "kind": "odd", "subject": "", "detail": {}},
        {"stamp": [1, 0], "host": "h", "kind": "drain", "subject": "", "detail": 4},
    ],
)
def test_malformed_event_is_rejected(message: object) -> None:
    with pytest.raises(WireError):
        Event.from_json(message)


def test_filter_matches_names_host_kind_and_time() -> None:
    silent = event(10, "h", EventKind.CONNECTION_SILENT, "g-a")
    drain = event(20, "i", EventKind.DRAIN, "i", group="g")
    names = EventFilter(names=frozenset({"g", "g-a"}))
    assert names.accepts(silent) and names.accepts(drain)
    assert not EventFilter(names=frozenset({"f"})).accepts(silent)
    assert EventFilter(host="h").accepts(silent)
    assert not EventFilter(host="h").accepts(drain)
    assert not EventFilter(kinds=frozenset({EventKind.DRAIN})).accepts(silent)
    assert not EventFilter(since_ms=drain.stamp.wall_ms).accepts(silent)
    assert EventFilter(since_ms=drain.stamp.wall_ms).accepts(drain)


def test_filter_is_encoded_and_decoded() -> None:
    one = EventFilter(frozenset({"g"}), "h", frozenset({EventKind.DRAIN}), 5)
    assert EventFilter.from_json(json.loads(json.dumps(one.to_json()))) == one
    for message in ({"host": 3}, {"kinds": ["odd"]}, {"names": "g"}, {"since_ms": "1"}):
        with pytest.raises(WireError):
            EventFilter.from_json(message)


def test_a_failover_is_told_step_by_step(snapshot: SnapshotAssertion) -> None:
    history = EventHistory(
        merge(a_failover()), {"ragusa-office-1": "no answer in time"}
    )
    assert text_of(history) == snapshot


def test_missing_and_omitted_events_are_reported() -> None:
    history = EventHistory(merge(a_failover()), {"i": "no answer"}, ("comiso-1",))
    for shown in (text_of(history), page_of(history)):
        assert "The events of i are missing: no answer." in shown
        assert "Older events of comiso-1 are left out." in shown
    assert EventHistory.from_json(json.loads(json.dumps(history.to_json()))) == history


def test_failover_contains_suspicions_promotion_and_resumed_writes() -> None:
    (found,) = failovers(merge(a_failover()))
    assert [one.host for one in found.suspected] == ["comiso-1", "ispica-1"]
    assert found.raised and found.raised.detail["members"][0] == "feedlog-1-b"
    assert found.promoted and found.resumed
    assert order(found.promoted) < order(found.resumed)


def test_suspicions_belong_to_one_failover() -> None:
    rings = a_failover()
    rings.append(
        [
            event(9000, "x", EventKind.PRIMARY_SUSPECTED, "feedlog-1", term=4),
            event(9100, "x", EventKind.PRIMARY_PROMOTED, "feedlog-1", term=5),
            event(9900, "x", EventKind.PRIMARY_PROMOTED, "feedlog-1", term=6),
        ]
    )
    found = failovers(merge(rings))
    assert [one.term for one in found] == [4, 5, 6]
    assert [len(one.suspected) for one in found] == [2, 1, 0]


def test_primary_learned_at_start_is_no_failover() -> None:
    learned = event(10, "h", EventKind.PRIMARY_LEARNED, "feedlog-1", term=1)
    resumed = event(20, "h", EventKind.WRITES_RESUMED, "feedlog-1", term=1)
    assert failovers([learned, resumed]) == []


def test_the_page_is_whole_and_escapes(snapshot: SnapshotAssertion) -> None:
    rings = a_failover()
    rings.append([event(6000, "h", EventKind.STORE, "<script>alert(1)</script>")])
    page = page_of(EventHistory(merge(rings), {"i": "a <b> reason"}))
    assert "<script>alert" not in page
    assert "a <b> reason" not in page
    assert "http" not in page.replace("http://www.w3.org/2000/svg", "")
    assert page.count("<circle") == 8
    assert page.count('class="failover"') == 1
    svg = page[page.index("<svg") : page.index("</svg>")]
    assert svg == snapshot


def test_empty_history_is_rendered() -> None:
    assert text_of(EventHistory((), {})) == "No events."
    assert "<svg" in page_of(EventHistory((), {}))
