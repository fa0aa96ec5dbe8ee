"""Which events of a time line are asked for."""

from typing import Any

from ...record import Record
from ...wire import Json, WireError
from .timeline import Event, EventKind


class EventFilter(Record):
    """Say which events are wanted; None stands for any.

    :param names: a group and its targets; the event is about one of them.
    :param host: the host that recorded it.
    :param kinds: its kind is one of these.
    :param since_ms: stamped no earlier, in milliseconds since the epoch.
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
        """Say whether `event` is wanted."""
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
        """Return the filter as it stands on the wire."""
        kinds = None if self.kinds is None else sorted(one.value for one in self.kinds)
        return {
            "names": None if self.names is None else sorted(self.names),
            "host": self.host,
            "kinds": kinds,
            "since_ms": self.since_ms,
        }

    @classmethod
    def from_json(cls, message: Json) -> "EventFilter":
        """Read a filter from the wire.

        :raises WireError: if it has another form.
        """
        host, since_ms = message.get("host"), message.get("since_ms")
        if not isinstance(host, str | None) or type(since_ms) not in (int, type(None)):
            raise WireError("not a filter of events")
        names = texts(message.get("names"))
        kinds = texts(message.get("kinds"))
        try:
            known = None if kinds is None else frozenset(map(EventKind, kinds))
        except ValueError as error:
            raise WireError(f"unknown kind of event: {error}") from error
        return cls(names, host, known, since_ms)


def texts(value: Any) -> frozenset[str] | None:
    """Return a list of texts from the wire as a set.

    :raises WireError: if it is something else.
    """
    if value is None:
        return None
    if not isinstance(value, list) or not all(isinstance(one, str) for one in value):
        raise WireError("not a list of texts")
    return frozenset(value)
