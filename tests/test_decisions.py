"""Tests that the decision log is rate-limited without hiding rare events."""

import os

from reedhook.decision_log import BURST_LINES, DecisionLog
from reedhook.wire import decode

from .fakes_clock import LoopClock, in_virtual_time


def read_events(descriptor: int) -> list[str]:
    """Return the event names of the lines in a pipe."""
    lines = os.read(descriptor, 1 << 20).splitlines()
    return [decode(line)["event"] for line in lines]


@in_virtual_time
async def test_frequent_event_does_not_suppress_others() -> None:
    read_fd, write_fd = os.pipe()
    decisions = DecisionLog("h1", LoopClock(), write_fd)
    for _ in range(1000):
        decisions.record("target_unreachable", target="i-1")
    decisions.record("primary_change", service="db")
    events = read_events(read_fd)
    assert events[-1] == "primary_change"
    assert len(events) < BURST_LINES
    os.close(read_fd)
    os.close(write_fd)


@in_virtual_time
async def test_total_rate_of_events_is_limited() -> None:
    read_fd, write_fd = os.pipe()
    decisions = DecisionLog("h1", LoopClock(), write_fd)
    for number in range(1000):
        decisions.record(f"event_{number % 20}")
    assert len(read_events(read_fd)) <= BURST_LINES
    os.close(read_fd)
    os.close(write_fd)
