"""Filter for queries of timeline events."""

from typing import Any

from ...record import Record
from ...wire import Json, WireError
from .timeline import Event, EventKind


class EventFilter(Record):
    """Select events; a criterion that is None matches all events.

    :param names: a group and its targets; the event concerns one of them.
    :param host: the host that recorded the event.
    :param kinds: accepted kinds of events.
    :param since_ms: earliest stamp, in milliseconds since the epoch.
    """

    __slots__ = ("names", "host", "kinds", "since_ms")

    def __init__(
        self,
        names: frozenset[str] | None = None,
        host: str | None = None,
        kinds: frozenset[EventKind] | None = None,
        since_ms: int | None = None,
    ) -> None:
        self.names = names
        self.host = host
        self.kinds = kinds
        self.since_ms = since_ms

    def accepts(self, event: Event) -> bool:
        """Return whether `event` matches all criteria."""
        if self.host is not None and event.host != self.host:
            return False
        if self.kinds is not None and event.kind not in self.kinds:
            return False
        if self.since_ms is not None and event.stamp.wall_ms < self.since_ms:
            return False
        if self.names is None:
            return True
        return event.subject in self.names or event.detail.get("group") in self.names

    def to_json(self) -> Json:
        """Return the JSON encoding of the filter."""
        kinds = None if self.kinds is None else sorted(one.value for one in self.kinds)
        return {
            "names": None if self.names is None else sorted(self.names),
            "host": self.host,
            "kinds": kinds,
            "since_ms": self.since_ms,
        }

    @classmethod
    def from_json(cls, message: Json) -> "EventFilter":
        """Decode a filter from JSON.

        :raises WireError: if it is malformed.
        """
        host, since_ms = message.get("host"), message.get("since_ms")
        if not isinstance(host, str | None) or type(since_ms) not in (int, type(None)):
            raise WireError("malformed event filter")
        names = texts(message.get("names"))
        kinds = texts(message.get("kinds"))
        try:
            event_kinds = None if kinds is None else frozenset(map(EventKind, kinds))
        except ValueError as error:
            raise WireError(f"unknown event kind: {error}") from error
        return cls(names, host, event_kinds, since_ms)


def texts(value: Any) -> frozenset[str] | None:
    """Decode a JSON list of strings as a set; None stays None.

    :raises WireError: if it is malformed.
    """
    if value is None:
        return None
    if not isinstance(value, list) or not all(isinstance(one, str) for one in value):
        raise WireError("a list of strings is expected")
    return frozenset(value)
