"""Render an event history as text: one line per event, then the failovers."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

from .timeline import Event, Stamp
from .timeline_merge import EventHistory, Failover, failovers, order


def text_of(history: EventHistory) -> str:
    """Return the history as human-readable text."""
    lines = list(event_lines(history.events)) or ["No events."]
    for failover in failovers(history.events):
        lines += ["", *failover_lines(failover)]
    for gap in gaps(history):
        lines += ["", gap]
    return "\n".join(lines)


def gaps(history: EventHistory) -> Iterator[str]:
    """Yield a line for each host with missing or omitted events."""
    for host, reason in sorted(history.missing.items()):
        yield f"The events of {host} are missing: {reason}."
    for host in sorted(history.cut):
        yield f"Older events of {host} are left out."


def event_lines(events: Iterable[Event]) -> Iterator[str]:
    """Yield one line for each event, in aligned columns."""
    rows = [
        (clock_time(one.stamp), one.host, one.kind.value, one.subject, details(one))
        for one in events
    ]
    widths = [max(map(len, column)) for column in zip(*rows)]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        yield "  ".join(cells).rstrip()


def failover_lines(failover: Failover) -> Iterator[str]:
    """Yield the steps of one change of primary, in causal order."""
    start = failover.suspected[0] if failover.suspected else None
    yield f"Change of primary of {failover.group} to term {failover.term}:"
    for event, words in sorted(failover_steps(failover), key=step_order):
        yield f"  {since(start, event)}  {event.host} {words}"


def failover_steps(failover: Failover) -> Iterator[tuple[Event, str]]:
    """Yield the event of each step with its description."""
    for one in failover.suspected:
        yield one, f"suspected the primary{inline(one)}"
    if failover.raised:
        members = plain(failover.raised.detail.get("members"))
        yield failover.raised, f"raised the term at {members}"
    if failover.promoted:
        primary = plain(failover.promoted.detail.get("primary"))
        yield failover.promoted, f"made {primary} primary"
    for one in failover.learned:
        yield one, "learned of the new primary"
    if failover.resumed:
        yield failover.resumed, "saw writes flow again"


def step_order(step: tuple[Event, str]) -> tuple[int, int, str]:
    """Return the sort key of a step in the causal order."""
    return order(step[0])


def since(start: Event | None, event: Event) -> str:
    """Return the time from `start` to `event`, or the time of day."""
    if start is None:
        return clock_time(event.stamp)
    elapsed_ms = event.stamp.wall_ms - start.stamp.wall_ms
    return f"{elapsed_ms:+7d} ms"


def clock_time(stamp: Stamp) -> str:
    """Return the UTC time of a stamp in ISO 8601 format."""
    moment = datetime.fromtimestamp(stamp.wall_ms / 1000, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def inline(event: Event) -> str:
    """Return the details of an event in parentheses; empty if there are none."""
    text = details(event)
    return f" ({text})" if text else ""


def details(event: Event) -> str:
    """Return the details of an event as one line."""
    pairs = event.detail.items()
    return ", ".join(f"{name} {plain(value)}" for name, value in pairs)


def plain(value: Any) -> str:
    """Return the value of a detail as human-readable text."""
    if isinstance(value, list | tuple):
        return "+".join(map(plain, value))
    return "-" if value is None else str(value)
