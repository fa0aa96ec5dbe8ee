"""Merge the events of many hosts in causal order and derive failovers from them."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

from ...record import Record
from ...wire import Json
from .timeline import Event, EventKind


class EventHistory(Record):
    """Represent the events of many hosts in one causal order.

    :param events: the events, in causal order.
    :param missing: hosts whose events are missing, with the reason.
    :param cut: hosts with older events that were left out.
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
        """Return the JSON encoding of the history."""
        return {
            "events": [event.to_json() for event in self.events],
            "missing": self.missing,
            "cut": self.cut,
        }

    @classmethod
    def from_json(cls, message: Json) -> "EventHistory":
        """Decode a history from JSON.

        :raises WireError: if an event is malformed.
        """
        events = tuple(Event.from_json(one) for one in message["events"])
        return cls(events, dict(message["missing"]), tuple(message["cut"]))


class Failover(Record):
    """Represent one change of primary with the events of its steps.

    :param suspected: suspicions of the former primary.
    :param raised: the term was raised at a majority; None if not recorded.
    :param promoted: the member was promoted; None if not recorded.
    :param learned: other hosts learned of the new primary.
    :param resumed: the first write of the term was safe; None if not recorded.
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
    """Merge event rings into one causal order.

    Each ring must be sorted already; equal stamps are ordered by host.
    """
    return tuple(heapq.merge(*rings, key=order))


def order(event: Event) -> tuple[int, int, str]:
    """Return the sort key of an event in the causal order."""
    return event.stamp.wall_ms, event.stamp.count, event.host


def failovers(events: Iterable[Event]) -> list[Failover]:
    """Return the changes of primary recorded in `events`, which are in causal order."""
    groups: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.kind in FAILOVER_KINDS:
            groups[event.subject].append(event)
    changes = [one for events in groups.values() for one in failovers_of(events)]
    return sorted(changes, key=first_event)


def failovers_of(events: list[Event]) -> list[Failover]:
    """Return the changes of primary of one group.

    A host that learns of a primary when it starts has not seen a change.
    """
    terms = sorted({term_of(one) for one in events if one.kind in NEW_TERM_KINDS})
    changes = [failover_of(events, term) for term in terms]
    return [one for one in changes if one.suspected or one.raised or one.promoted]


def failover_of(events: list[Event], term: int) -> Failover:
    """Return the change of primary that led to `term`."""
    term_events = [one for one in events if term_of(one) == term]
    learned = [one for one in term_events if one.kind is EventKind.PRIMARY_LEARNED]
    return Failover(
        group=events[0].subject,
        term=term,
        suspected=suspicions(events, term),
        raised=last(term_events, EventKind.TERM_RAISED),
        promoted=last(term_events, EventKind.PRIMARY_PROMOTED),
        learned=tuple(learned),
        resumed=first(term_events, EventKind.WRITES_RESUMED),
    )


def suspicions(events: list[Event], term: int) -> tuple[Event, ...]:
    """Return the suspicions that led to `term`.

    A suspicion carries the term of the suspected primary, which must be the highest
    known term below `term`.
    """
    kind = EventKind.PRIMARY_SUSPECTED
    earlier = [one for one in events if one.kind is kind and term_of(one) < term]
    former_term = max((term_of(one) for one in earlier), default=0)
    known_terms = [term_of(one) for one in events if one.kind in NEW_TERM_KINDS]
    if any(former_term < one < term for one in known_terms):
        return ()
    return tuple(one for one in earlier if term_of(one) == former_term)


def first(events: list[Event], kind: EventKind) -> Event | None:
    """Return the first event of a kind, or None."""
    return next((one for one in events if one.kind is kind), None)


def last(events: list[Event], kind: EventKind) -> Event | None:
    """Return the last event of a kind, or None."""
    return first(events[::-1], kind)


def term_of(event: Event) -> int:
    """Return the term of an event; 0 if it has none."""
    term = event.detail.get("term")
    return term if isinstance(term, int) else 0


def first_event(failover: Failover) -> tuple[int, int, str]:
    """Return the sort key of the first event of a failover."""
    steps = (*failover.suspected, failover.raised, failover.promoted)
    all_steps = (*steps, *failover.learned, failover.resumed)
    return min(order(one) for one in all_steps if one is not None)


NEW_TERM_KINDS = frozenset({EventKind.PRIMARY_PROMOTED, EventKind.PRIMARY_LEARNED})
FAILOVER_KINDS = NEW_TERM_KINDS | {
    EventKind.PRIMARY_SUSPECTED,
    EventKind.TERM_RAISED,
    EventKind.WRITES_RESUMED,
}
