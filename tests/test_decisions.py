"""Structured lines are bounded, and no event drowns another."""

import os

from reedhook.decision_log import BURST_LINES, DecisionLog
from reedhook.wire import decode

from .fakes_clock import LoopClock, in_virtual_time


def written(descriptor: int) -> list[str]:
    """Return the events of the lines in a pipe."""
    lines = os.read(descriptor, 1 << 20).splitlines()
    return [decode(line)["event"] for line in lines]


@in_virtual_time
async def test_a_flood_of_one_event_leaves_room_for_others() -> None:
    reading, writing = os.pipe()
    decisions = DecisionLog("h1", LoopClock(), writing)
    for _ in range(1000):
        decisions.record("target_unreachable", target="i-1")
    decisions.record("primary_change", service="db")
    events = written(reading)
    assert events[-1] == "primary_change"
    assert len(events) < BURST_LINES
    os.close(reading)
    os.close(writing)


@in_virtual_time
async def test_all_events_together_are_bounded() -> None:
    reading, writing = os.pipe()
    decisions = DecisionLog("h1", LoopClock(), writing)
    for number in range(1000):
        decisions.record(f"event_{number % 20}")
    assert len(written(reading)) <= BURST_LINES
    os.close(reading)
    os.close(writing)
