"""Bounded ring of typed events with hybrid logical clock stamps.

See docs/design/timeline.md for why stamps far ahead are not adopted.
"""

from collections import deque
from enum import Enum
from typing import Any, Final

from ...clock import Clock
from ...record import Record
from ...wire import WireError

RING_SIZE: Final = 4096
MAX_AHEAD_MS: Final = 60_000


class EventKind(str, Enum):
    """Enumerate the kinds of events."""

    HOST_STARTED = "host_started"
    HOST_STOPPING = "host_stopping"
    CONFIGURATION = "configuration"
    MEMBER_JOINED = "member_joined"
    MEMBER_SUSPECTED = "member_suspected"
    MEMBER_LEFT = "member_left"
    HOME_TAKEN = "home_taken"
    HOME_RELEASED = "home_released"
    CONNECTION_SILENT = "connection_silent"
    WRITES_STALLED = "writes_stalled"
    WRITES_ANSWERED = "writes_answered"
    TARGET_LEAVING = "target_leaving"
    PRIMARY_SUSPECTED = "primary_suspected"
    PRIMARY_CLEARED = "primary_cleared"
    TERM_RAISED = "term_raised"
    PRIMARY_PROMOTED = "primary_promoted"
    PROMOTION_FAILED = "promotion_failed"
    PRIMARY_LEARNED = "primary_learned"
    WRITES_RESUMED = "writes_resumed"
    DRAIN = "drain"
    REFUSED = "refused"
    STORE = "store"


class Stamp(Record):
    """Order events causally across processes.

    :param wall_ms: highest wall-clock time seen, in milliseconds since the epoch.
    :param count: counter that orders stamps with equal `wall_ms`.
    """

    __slots__ = ("wall_ms", "count")

    def __init__(self, wall_ms: int, count: int) -> None:
        self.wall_ms = wall_ms
        self.count = count

    def to_json(self) -> list[int]:
        """Return the JSON encoding of the stamp."""
        return [self.wall_ms, self.count]

    @classmethod
    def from_json(cls, value: Any) -> "Stamp":
        """Decode a stamp from JSON.

        :raises WireError: if it is malformed.
        """
        if not isinstance(value, list) or [type(one) for one in value] != [int, int]:
            raise WireError("a stamp must be a list of two integers")
        return cls(*value)


class Event(Record):
    """Represent one event.

    :param subject: the group, target or host that the event concerns.
    :param detail: additional fields, as plain JSON values.
    """

    __slots__ = ("stamp", "host", "kind", "subject", "detail")

    def __init__(
        self,
        stamp: Stamp,
        host: str,
        kind: EventKind,
        subject: str,
        detail: dict[str, Any],
    ) -> None:
        self.stamp = stamp
        self.host = host
        self.kind = kind
        self.subject = subject
        self.detail = detail

    def to_json(self) -> dict[str, Any]:
        """Return the JSON encoding of the event."""
        return {
            "stamp": self.stamp.to_json(),
            "host": self.host,
            "kind": self.kind.value,
            "subject": self.subject,
            "detail": self.detail,
        }

    @classmethod
    def from_json(cls, message: Any) -> "Event":
        """Decode an event from JSON.

        :raises WireError: if it is malformed or its kind is unknown.
        """
        try:
            return cls(
                Stamp.from_json(message["stamp"]),
                str(message["host"]),
                EventKind(message["kind"]),
                str(message["subject"]),
                dict(message["detail"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise WireError(f"malformed event: {error}") from error


class Timeline:
    """Record the latest events of this process in a ring buffer.

    :ivar rejected: number of stamps of other processes that were too far ahead.
    """

    __slots__ = ("host", "clock", "stamp", "events", "rejected")

    def __init__(self, host: str, clock: Clock, size: int = RING_SIZE) -> None:
        self.host = host
        self.clock = clock
        self.stamp = Stamp(0, 0)
        self.events: deque[Event] = deque(maxlen=size)
        self.rejected = 0

    def record(self, kind: EventKind, subject: str, **detail: Any) -> None:
        """Append an event with the current time."""
        self.events.append(Event(self.tick(), self.host, kind, subject, detail))

    def tick(self) -> Stamp:
        """Advance the clock and return a stamp for an event or a message."""
        now = int(self.clock.wall() * 1000)
        if now > self.stamp.wall_ms:
            self.stamp = Stamp(now, 0)
        else:
            self.stamp = Stamp(self.stamp.wall_ms, self.stamp.count + 1)
        return self.stamp

    def observe(self, wall_ms: int, count: int) -> None:
        """Advance the clock to the stamp of a message from another process.

        A stamp more than `MAX_AHEAD_MS` ahead of the local wall clock is not
        adopted: one host with a wrong clock would advance the clocks of all others.
        """
        if (wall_ms, count) <= (self.stamp.wall_ms, self.stamp.count):
            return
        if wall_ms > self.clock.wall() * 1000 + MAX_AHEAD_MS:
            self.rejected += 1
            return
        self.stamp = Stamp(wall_ms, count)
