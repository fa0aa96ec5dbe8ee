"""One causal order of the events of many hosts, and what it tells of failovers."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

from ...record import Record
from ...wire import Json
from .timeline import Event, EventKind


class EventHistory(Record):
    """Carry the events of many hosts in one causal order.

    :param events: in that order.
    :param missing: why the events of a host are not there, by host.
    :param cut: hosts that have older events than were asked for.
    """

    __slots__ = ("events", "missing", "cut")

    def __init__(
        self,
        events: tuple[Event, ...],
        missing: dict[str, str],
        cut: tuple[str, ...] = (),
    ) -> None:
        self.events = events
        self.missing = missing
        self.cut = cut

    def to_json(self) -> Json:
        """Return the history as it stands on the wire."""
        return {
            "events": [event.to_json() for event in self.events],
            "missing": self.missing,
            "cut": self.cut,
        }

    @classmethod
    def from_json(cls, message: Json) -> "EventHistory":
        """Read a history from the wire.

        :raises WireError: if an event has another form.
        """
        events = tuple(Event.from_json(one) for one in message["events"])
        return cls(events, dict(message["missing"]), tuple(message["cut"]))


class Failover(Record):
    """Tell one change of primary from the events about it.

    :param suspected: suspicions of the former primary, by those who had them.
    :param raised: the term was raised at a majority; None if nobody saw it.
    :param promoted: the member was made primary; None if nobody saw it.
    :param learned: how other hosts came to know.
    :param resumed: the first write of the term was safe; None if not seen.
    """

    __slots__ = (
        "group",
        "term",
        "suspected",
        "raised",
        "promoted",
        "learned",
        "resumed",
    )

    def __init__(
        self,
        group: str,
        term: int,
        suspected: tuple[Event, ...],
        raised: Event | None,
        promoted: Event | None,
        learned: tuple[Event, ...],
        resumed: Event | None,
    ) -> None:
        self.group = group
        self.term = term
        self.suspected = suspected
        self.raised = raised
        self.promoted = promoted
        self.learned = learned
        self.resumed = resumed


def merge(rings: Iterable[Iterable[Event]]) -> tuple[Event, ...]:
    """Merge rings into one order that has each cause before its effects.

    Each ring is in its own order already; equal stamps go by host.
    """
    return tuple(heapq.merge(*rings, key=order))


def order(event: Event) -> tuple[int, int, str]:
    """Return the place of an event in the causal order."""
    return event.stamp.wall_ms, event.stamp.count, event.host


def failovers(events: Iterable[Event]) -> list[Failover]:
    """Return the changes of primary that `events`, in causal order, tell of."""
    groups: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.kind in FAILOVER_KINDS:
            groups[event.subject].append(event)
    found = [one for events in groups.values() for one in failovers_of(events)]
    return sorted(found, key=first_event)


def failovers_of(events: list[Event]) -> list[Failover]:
    """Return the changes of primary of one group.

    A host that learns of a primary at its start saw no change.
    """
    terms = sorted({term_of(one) for one in events if one.kind in NEW_TERM_KINDS})
    found = [failover_of(events, term) for term in terms]
    return [one for one in found if one.suspected or one.raised or one.promoted]


def failover_of(events: list[Event], term: int) -> Failover:
    """Return the change of primary that led to `term`."""
    ours = [one for one in events if term_of(one) == term]
    learned = [one for one in ours if one.kind is EventKind.PRIMARY_LEARNED]
    return Failover(
        group=events[0].subject,
        term=term,
        suspected=suspicions(events, term),
        raised=last(ours, EventKind.TERM_RAISED),
        promoted=last(ours, EventKind.PRIMARY_PROMOTED),
        learned=tuple(learned),
        resumed=first(ours, EventKind.WRITES_RESUMED),
    )


def suspicions(events: list[Event], term: int) -> tuple[Event, ...]:
    """Return the suspicions that led to `term`.

    A suspicion names the term of the primary that is suspected: the highest
    one below `term` that anything is known of.
    """
    wanted = EventKind.PRIMARY_SUSPECTED
    found = [one for one in events if one.kind is wanted and term_of(one) < term]
    former = max((term_of(one) for one in found), default=0)
    led = [term_of(one) for one in events if one.kind in NEW_TERM_KINDS]
    if any(former < one < term for one in led):
        return ()
    return tuple(one for one in found if term_of(one) == former)


def first(events: list[Event], kind: EventKind) -> Event | None:
    """Return the first event of a kind, or None."""
    return next((one for one in events if one.kind is kind), None)


def last(events: list[Event], kind: EventKind) -> Event | None:
    """Return the last event of a kind, or None."""
    return first(events[::-1], kind)


def term_of(event: Event) -> int:
    """Return the term that an event names; 0 if it names none."""
    term = event.detail.get("term")
    return term if isinstance(term, int) else 0


def first_event(failover: Failover) -> tuple[int, int, str]:
    """Return the place of a failover in the causal order."""
    steps = (*failover.suspected, failover.raised, failover.promoted)
    known = (*steps, *failover.learned, failover.resumed)
    return min(order(one) for one in known if one is not None)


NEW_TERM_KINDS = frozenset({EventKind.PRIMARY_PROMOTED, EventKind.PRIMARY_LEARNED})
FAILOVER_KINDS = NEW_TERM_KINDS | {
    EventKind.PRIMARY_SUSPECTED,
    EventKind.TERM_RAISED,
    EventKind.WRITES_RESUMED,
}
