"""One structured line for each decision that an operator may ask about."""

import os
from collections import deque
from typing import Any, Final

from .clock import Clock
from .wire import encode

MAX_LINES_PER_SECOND: Final = 60.0
"""Lines that are written at most in the long run; at about 200 bytes a line
that is 12 KB/s, and 0.1 % of a core by the 20 us that a line takes."""

BURST_LINES: Final = 300.0
"""Lines that may come at once, such as those of a failed target."""

PER_EVENT_FRACTION: Final = 0.25
"""Share of both that one event may use: a target that is cut off makes hundreds
of lines a second of a few events, among which the change of primary must show."""

MAX_PENDING_LINES: Final = 1000
"""Lines that wait for a reader of the output that is slow."""

STDOUT_FD: Final = 1


class LogRateLimiter:
    """Let lines through at a rate, and some more at once.

    :param rate: lines a second.
    :param burst: lines at once.
    """

    __slots__ = ("rate", "burst", "tokens", "refilled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def admits(self, now: float) -> bool:
        """Say whether another line is within the rate."""
        earned = (now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now
        return self.tokens >= 1.0


class DecisionLog:
    """Write lines to the standard output and never wait for its reader.

    Each line is a JSON object: `t` in seconds by `Clock.elapsed`, `host`,
    `event`, and what decided with its age or version.

    :param host: the host's id.
    :param output_fd: the descriptor to write to; None writes nowhere.
    :ivar dropped: lines that were not written.
    """

    def __init__(
        self, host: str, clock: Clock, output_fd: int | None = STDOUT_FD
    ) -> None:
        self.host = host
        self.clock = clock
        self.output_fd = output_fd
        self.total_limiter = LogRateLimiter(
            MAX_LINES_PER_SECOND, BURST_LINES, clock.monotonic()
        )
        self.event_limiters: dict[str, LogRateLimiter] = {}
        self.pending_lines: deque[bytes] = deque()
        self.dropped = 0
        if output_fd is not None:
            os.set_blocking(output_fd, False)

    def record(self, event: str, **inputs: Any) -> None:
        """Write one line, unless too many were written of late."""
        if self.output_fd is None:
            return
        if not self.admits(event):
            self.dropped += 1
            return
        line = {
            "t": round(self.clock.boottime(), 3),
            "host": self.host,
            "event": event,
            **inputs,
        }
        if self.dropped:
            line["dropped"], self.dropped = self.dropped, 0
        self.pending_lines.append(encode(line) + b"\n")
        self.flush()

    def admits(self, event: str) -> bool:
        """Say whether another line of an event is within the rates."""
        now = self.clock.monotonic()
        own = self.event_limiters.get(event)
        if own is None:
            rate, burst = (
                MAX_LINES_PER_SECOND * PER_EVENT_FRACTION,
                BURST_LINES * PER_EVENT_FRACTION,
            )
            own = self.event_limiters[event] = LogRateLimiter(rate, burst, now)
        if not self.total_limiter.admits(now) or not own.admits(now):
            return False
        if len(self.pending_lines) >= MAX_PENDING_LINES:
            return False
        self.total_limiter.tokens -= 1.0
        own.tokens -= 1.0
        return True

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        assert self.output_fd is not None
        while self.pending_lines:
            try:
                written = os.write(self.output_fd, self.pending_lines[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more, so that nobody can be told.
                self.pending_lines.clear()
                return
            line = self.pending_lines.popleft()
            if written < len(line):
                self.pending_lines.appendleft(line[written:])
                return
