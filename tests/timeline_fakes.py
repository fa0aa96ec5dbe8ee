"""Events shared by the tests of the timeline."""

from typing import Any

from reedhook.clock import Clock
from reedhook.process.events.timeline import Event, EventKind, Stamp

START_MS = 1_770_000_000_000


class HandClock(Clock):
    """Return a wall-clock time set by the test, in seconds."""

    def __init__(self, wall: float) -> None:
        self.now = wall

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


def event(at: int, host: str, kind: EventKind, subject: str, **detail: Any) -> Event:
    """Return an event `at` milliseconds after the start."""
    return Event(Stamp(START_MS + at, 0), host, kind, subject, detail)


def a_failover() -> list[list[Event]]:
    """Return the event histories of three hosts that saw a change of primary."""
    group = "feedlog-1"
    return [
        [
            event(0, "vittoria-1", EventKind.HOST_STARTED, "vittoria-1"),
            event(
                5200,
                "vittoria-1",
                EventKind.PRIMARY_LEARNED,
                group,
                term=4,
                primary="feedlog-1-b",
            ),
        ],
        [
            event(
                5000,
                "comiso-1",
                EventKind.PRIMARY_SUSPECTED,
                group,
                primary="feedlog-1-a",
                term=3,
                cause="silent",
                since_ms=180,
            ),
            event(
                5060,
                "comiso-1",
                EventKind.TERM_RAISED,
                group,
                term=4,
                members=["feedlog-1-b", "feedlog-1-c"],
            ),
            event(
                5110,
                "comiso-1",
                EventKind.PRIMARY_PROMOTED,
                group,
                term=4,
                primary="feedlog-1-b",
                former="feedlog-1-a",
            ),
            event(5180, "comiso-1", EventKind.WRITES_RESUMED, group, term=4),
        ],
        [
            event(
                5030,
                "ispica-1",
                EventKind.PRIMARY_SUSPECTED,
                group,
                primary="feedlog-1-a",
                term=3,
                cause="silent",
                since_ms=210,
            ),
        ],
    ]
