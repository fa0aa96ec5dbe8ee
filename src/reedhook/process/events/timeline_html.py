"""Render an event history as an HTML page with a diagram of hosts and events."""

from collections.abc import Iterable, Iterator
from html import escape
from math import log10
from typing import Final

from ...record import Record
from .timeline import Event, EventKind
from .timeline_merge import EventHistory, Failover, failovers, order
from .timeline_text import clock_time, details, failover_lines, gaps

LEFT_PIXELS: Final = 170
TOP_PIXELS: Final = 40
ROW_HEIGHT_PIXELS: Final = 30
MARGIN: Final = 40
MIN_STEP_PIXELS: Final = 9.0
STEP_PER_DECADE: Final = 9.0
MAX_STEP_PIXELS: Final = 60.0
LABEL_DISTANCE: Final = 110.0
MARK_RADIUS_PIXELS: Final = 5

TROUBLE: Final = "#d55e00"
AGREEMENT: Final = "#e69f00"
RECOVERY: Final = "#009e73"
MEMBERSHIP: Final = "#0072b2"
CONFIGURATION: Final = "#cc79a7"
OTHER: Final = "#707070"
COLOURS: Final = {
    EventKind.PRIMARY_SUSPECTED: TROUBLE,
    EventKind.MEMBER_SUSPECTED: TROUBLE,
    EventKind.CONNECTION_SILENT: TROUBLE,
    EventKind.WRITES_STALLED: TROUBLE,
    EventKind.WRITES_ANSWERED: RECOVERY,
    EventKind.PROMOTION_FAILED: TROUBLE,
    EventKind.REFUSED: TROUBLE,
    EventKind.TERM_RAISED: AGREEMENT,
    EventKind.PRIMARY_PROMOTED: AGREEMENT,
    EventKind.PRIMARY_LEARNED: AGREEMENT,
    EventKind.PRIMARY_CLEARED: RECOVERY,
    EventKind.WRITES_RESUMED: RECOVERY,
    EventKind.MEMBER_JOINED: MEMBERSHIP,
    EventKind.MEMBER_LEFT: MEMBERSHIP,
    EventKind.HOME_TAKEN: MEMBERSHIP,
    EventKind.HOME_RELEASED: MEMBERSHIP,
    EventKind.DRAIN: MEMBERSHIP,
    EventKind.CONFIGURATION: CONFIGURATION,
}
LEGEND: Final = {
    TROUBLE: "suspicion or failure",
    AGREEMENT: "agreement on a primary",
    RECOVERY: "recovery",
    MEMBERSHIP: "hosts and homes",
    CONFIGURATION: "configuration",
    OTHER: "other",
}

STYLE: Final = """
body { font: 14px sans-serif; margin: 24px; color: #222; }
figure { overflow-x: auto; margin: 16px 0; border: 1px solid #ccc; }
svg text { font: 12px sans-serif; fill: #222; }
svg .lane { stroke: #ddd; }
svg .time { fill: #777; font-size: 10px; }
svg .failover { fill: #d55e00; fill-opacity: 0.12; }
table { border-collapse: collapse; font: 13px monospace; }
td, th { padding: 2px 12px 2px 0; text-align: left; white-space: nowrap; }
.key { display: inline-block; margin-right: 16px; }
.key i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; }
.off { display: none; }
pre { background: #f6f6f6; padding: 12px; overflow-x: auto; }
"""
SCRIPT: Final = """
const subject = document.getElementById("subject");
subject.addEventListener("change", () => {
  for (const one of document.querySelectorAll("[data-subject]")) {
    const shown = !subject.value || one.dataset.subject === subject.value;
    one.classList.toggle("off", !shown);
  }
});
"""


class MarkPosition(Record):
    """Represent the position of an event's mark in the diagram, in pixels."""

    __slots__ = ("event", "x", "y")

    def __init__(self, event: Event, x: float, y: float) -> None:
        self.event = event
        self.x = x
        self.y = y


class Picture:
    """Compute the layout of the diagram of an event history.

    Marks are placed in causal order. The distance between two marks is logarithmic
    in the time between them, so that the steps of a failover remain distinguishable
    in a history of hours.

    :ivar lanes: the vertical position of the row of each host.
    :ivar places: the positions of all events, in causal order.
    """

    __slots__ = ("lanes", "places", "width", "height")

    def __init__(self, events: tuple[Event, ...]) -> None:
        hosts = sorted({event.host for event in events})
        self.lanes = {
            host: TOP_PIXELS + ROW_HEIGHT_PIXELS * (i + 0.5)
            for i, host in enumerate(hosts)
        }
        self.places: list[MarkPosition] = []
        x = float(LEFT_PIXELS)
        previous: Event | None = None
        for event in events:
            if previous is not None:
                x += distance(previous, event)
            self.places.append(MarkPosition(event, x, self.lanes[event.host]))
            previous = event
        self.width = x + MARGIN
        self.height = TOP_PIXELS + ROW_HEIGHT_PIXELS * len(hosts) + MARGIN

    def x_of(self, event: Event) -> float:
        """Return the horizontal position of `event` or of the next event after it."""
        key = order(event)
        later = (place.x for place in self.places if order(place.event) >= key)
        return next(later, self.width)


def distance(earlier: Event, later: Event) -> float:
    """Return the distance between the marks of two adjacent events, in pixels."""
    elapsed_ms = max(0, later.stamp.wall_ms - earlier.stamp.wall_ms)
    return min(
        MAX_STEP_PIXELS, MIN_STEP_PIXELS + STEP_PER_DECADE * log10(1 + elapsed_ms)
    )


def page_of(history: EventHistory, title: str = "Time line") -> str:
    """Return a self-contained HTML page."""
    heading = escape(title)
    parts = [
        "<!DOCTYPE html>",
        f'<html lang="en"><head><meta charset="utf-8"><title>{heading}</title>',
        f"<style>{STYLE}</style></head><body><h1>{heading}</h1>",
        *choices(history.events),
        *legend(),
        "<figure>",
        *picture(history.events),
        "</figure>",
        *(f"<p>{escape(gap)}</p>" for gap in gaps(history)),
        *failover_texts(history),
        *table(history.events),
        f"<script>{SCRIPT}</script></body></html>",
    ]
    return "\n".join(parts) + "\n"


def choices(events: tuple[Event, ...]) -> Iterator[str]:
    """Yield the selection list of subjects."""
    yield '<label>Show <select id="subject"><option value="">everything</option>'
    for subject in sorted({event.subject for event in events}):
        yield f"<option>{escape(subject)}</option>"
    yield "</select></label>"


def legend() -> Iterator[str]:
    """Yield the legend of the colours."""
    yield "<p>"
    for colour, meaning in LEGEND.items():
        dot = f'<i style="background:{colour}"></i>'
        yield f'<span class="key">{dot} {meaning}</span>'
    yield "</p>"


def picture(events: tuple[Event, ...]) -> Iterator[str]:
    """Yield the SVG diagram."""
    layout = Picture(events)
    size = f'width="{layout.width:.0f}" height="{layout.height:.0f}"'
    yield f'<svg xmlns="http://www.w3.org/2000/svg" {size} role="img">'
    for failover in failovers(events):
        yield from window(layout, failover)
    for host, y in layout.lanes.items():
        end = f"{layout.width:.0f}"
        yield f'<line class="lane" x1="{LEFT_PIXELS}" x2="{end}" y1="{y}" y2="{y}"/>'
        yield f'<text x="8" y="{y + 4}">{escape(host)}</text>'
    yield from time_labels(layout)
    for place in layout.places:
        yield mark(place)
    yield "</svg>"


def window(plan: Picture, failover: Failover) -> Iterator[str]:
    """Yield the rectangle from the first suspicion to the first resumed write."""
    if not failover.suspected or failover.resumed is None:
        return
    left = plan.x_of(failover.suspected[0])
    width = max(1.0, plan.x_of(failover.resumed) - left)
    subject = escape(failover.group)
    place = f'x="{left:.1f}" y="{TOP_PIXELS}" width="{width:.1f}"'
    yield f'<rect class="failover" data-subject="{subject}" {place}'
    yield f' height="{plan.height - TOP_PIXELS - MARGIN:.0f}"/>'


def time_labels(plan: Picture) -> Iterator[str]:
    """Yield times of day, spaced so that they do not overlap."""
    next_x = 0.0
    for place in plan.places:
        if place.x < next_x:
            continue
        next_x = place.x + LABEL_DISTANCE
        time = clock_time(place.event.stamp).split("T")[1]
        yield (
            f'<text class="time" x="{place.x:.1f}" '
            f'y="{TOP_PIXELS - 14}">{time}</text>'
        )


def mark(place: MarkPosition) -> str:
    """Return the mark of one event."""
    event = place.event
    colour = COLOURS.get(event.kind, OTHER)
    attributes = (
        f'cx="{place.x:.1f}" cy="{place.y}" r="{MARK_RADIUS_PIXELS}" fill="{colour}"'
    )
    words = (clock_time(event.stamp), event.host, event.kind.value, event.subject)
    title = escape(" ".join((*words, details(event))))
    subject = escape(event.subject)
    return (
        f'<circle data-subject="{subject}" {attributes}><title>{title}</title></circle>'
    )


def failover_texts(history: EventHistory) -> Iterator[str]:
    """Yield the changes of primary as text."""
    changes = failovers(history.events)
    if changes:
        text = "\n".join(line for change in changes for line in failover_lines(change))
        yield f"<h2>Changes of primary</h2><pre>{escape(text)}</pre>"


def table(events: Iterable[Event]) -> Iterator[str]:
    """Yield a table with one row for each event."""
    yield "<h2>Events</h2><table><tr><th>time<th>host<th>event<th>about<th>details</tr>"
    for event in events:
        subject = escape(event.subject)
        cells = (
            clock_time(event.stamp),
            event.host,
            event.kind.value,
            event.subject,
            details(event),
        )
        row = "".join(f"<td>{escape(cell)}" for cell in cells)
        yield f'<tr data-subject="{subject}">{row}</tr>'
    yield "</table>"
