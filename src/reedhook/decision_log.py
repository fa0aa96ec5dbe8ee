"""Rate-limited log of routing decisions, one JSON object a line."""

import os
from collections import deque
from typing import Any, Final

from .clock import Clock
from .wire import encode

MAX_LINES_PER_SECOND: Final = 60.0
"""Sustained limit of written lines."""

BURST_LINES: Final = 300.0
"""Lines that may be written at once, such as after a target fails."""

PER_EVENT_FRACTION: Final = 0.25
"""Share of both limits that one event may use, so that frequent events do not
hide rare ones such as a change of primary."""

MAX_PENDING_LINES: Final = 1000
"""Lines that are buffered while the reader of the output is slow."""

STDOUT_FD: Final = 1


class LogRateLimiter:
    """Limit log lines with a token bucket; the caller takes the tokens.

    :param rate: lines a second.
    :param burst: capacity of the bucket, in lines.
    """

    __slots__ = ("rate", "burst", "tokens", "refilled_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = now

    def admits(self, now: float) -> bool:
        """Return whether another line is within the rate."""
        refill = (now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + refill)
        self.refilled_at = now
        return self.tokens >= 1.0


class DecisionLog:
    """Write decisions to standard output without blocking.

    Each line is a JSON object: `t` in seconds of `Clock.boottime`, `host`,
    `event`, and the inputs of the decision with their ages or versions.

    :param host: the host's id.
    :param output_fd: the descriptor to write to; None disables the log.
    :ivar dropped: lines dropped since the last written line.
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
        """Write one line, or drop it if a limit is exceeded."""
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
        """Return whether to write a line of `event`, and take its tokens."""
        now = self.clock.monotonic()
        event_limiter = self.event_limiters.get(event)
        if event_limiter is None:
            rate, burst = (
                MAX_LINES_PER_SECOND * PER_EVENT_FRACTION,
                BURST_LINES * PER_EVENT_FRACTION,
            )
            event_limiter = self.event_limiters[event] = LogRateLimiter(
                rate, burst, now
            )
        if not self.total_limiter.admits(now) or not event_limiter.admits(now):
            return False
        if len(self.pending_lines) >= MAX_PENDING_LINES:
            return False
        self.total_limiter.tokens -= 1.0
        event_limiter.tokens -= 1.0
        return True

    def flush(self) -> None:
        """Write pending lines until the output would block."""
        assert self.output_fd is not None
        while self.pending_lines:
            try:
                written = os.write(self.output_fd, self.pending_lines[0])
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, so that the error cannot be reported either.
                self.pending_lines.clear()
                return
            line = self.pending_lines.popleft()
            if written < len(line):
                self.pending_lines.appendleft(line[written:])
                return
