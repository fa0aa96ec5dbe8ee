"""Times of a graceful shutdown: when sessions close, and what is still accepted."""

import math
from collections.abc import Iterable
from random import Random
from typing import Final

from ..clock import Clock
from ..request.refusal import RefusalError, RefusalReason, not_run

ROTATION_DELAY_SECONDS: Final = 2.2
"""Time until the load balancer stops sending connections to an unready host: it
removes a host after two failed readiness checks, one a second."""

TRANSACTION_DRAIN_FRACTION: Final = 0.5
"""Fraction of the grace period after which open transactions are aborted."""

MIN_SESSION_SECONDS: Final = 0.25
"""Time that a session opened during the shutdown has for its first operation."""

MIN_TRANSACTION_SECONDS: Final = 0.5
"""A transaction with less time than this would probably be aborted before its end."""

REPLY_MARGIN_SECONDS: Final = 1.2
"""Time before the kill at which the timeouts of all accepted statements have passed.
It leaves time to query the outcome of a statement that another host did not answer."""

DEADLINE_MARGIN_SECONDS: Final = 0.8
"""Time before the kill to which the deadlines of statements are shortened."""

EXIT_MARGIN_SECONDS: Final = 0.4
"""Time before the kill at which the process exits in any case."""

MARGIN_FRACTION: Final = 0.2
"""Limit of `REPLY_MARGIN_SECONDS` as a fraction of the grace period; a short period
reduces the other margins in proportion."""

RETRY_MS: Final = 50
"""Retry delay of what a stopping host refuses; other hosts accept it at once."""


class DrainSchedule:
    """Schedule the closing of sessions and the last statements of a stopping host.

    Before `start`, sessions are not closed and all statements are accepted.

    :ivar started_at: monotonic time of the stop signal; infinite before it.
    :ivar transactions_end: monotonic time at which open transactions are aborted.
    :ivar replies_end: monotonic time by which accepted statements have timed out.
    :ivar deadlines_end: monotonic time that no deadline of a statement exceeds.
    :ivar exit_at: monotonic time at which the process exits in any case.
    :ivar stopped: whether no statement is accepted any more.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.stopped = False
        self.started_at = math.inf
        self.closing_start = math.inf
        self.transactions_end = math.inf
        self.replies_end = math.inf
        self.deadlines_end = math.inf
        self.exit_at = math.inf

    def start(self, grace: float) -> None:
        """Schedule the shutdown.

        :param grace: seconds from now until the process is killed.
        """
        self.started_at = self.clock.monotonic()
        transactions = grace * TRANSACTION_DRAIN_FRACTION
        # A session that is closed earlier would be opened here again.
        closing_delay = min(ROTATION_DELAY_SECONDS, transactions / 2)
        self.closing_start = self.started_at + closing_delay
        self.transactions_end = self.started_at + transactions
        scale = min(1.0, grace * MARGIN_FRACTION / REPLY_MARGIN_SECONDS)
        killed_at = self.started_at + grace
        self.replies_end = killed_at - REPLY_MARGIN_SECONDS * scale
        self.deadlines_end = killed_at - DEADLINE_MARGIN_SECONDS * scale
        self.exit_at = killed_at - EXIT_MARGIN_SECONDS * scale

    def stop(self) -> None:
        """Refuse all statements and transactions from now on."""
        self.stopped = True

    @property
    def started(self) -> bool:
        """Return whether the host is stopping."""
        return self.started_at < math.inf

    def closing_time(self) -> float:
        """Return a time for closing a session; infinite before the shutdown.

        The times are spread, since the callers open new sessions at other hosts.
        """
        if not self.started:
            return math.inf
        session_end = self.clock.monotonic() + MIN_SESSION_SECONDS
        earliest = max(self.closing_start, session_end)
        return self.random.uniform(earliest, max(earliest, self.transactions_end))

    def is_out_of_rotation(self) -> bool:
        """Return whether the load balancer has had time to notice the shutdown."""
        elapsed = self.clock.monotonic() - self.started_at
        return elapsed >= ROTATION_DELAY_SECONDS

    def are_transactions_over(self) -> bool:
        """Return whether open transactions have to be aborted."""
        return self.clock.monotonic() >= self.transactions_end

    def last_statement_at(self, timeout: float) -> float:
        """Return the time until which statements with a timeout are accepted.

        Long ones are accepted as long as transactions are, with a shorter deadline.
        """
        return max(self.transactions_end, self.replies_end - timeout)

    def accepts_none(self, timeouts: Iterable[float]) -> bool:
        """Return whether no statement with one of the timeouts is accepted."""
        shortest = min(timeouts, default=math.inf)
        return self.clock.monotonic() >= self.last_statement_at(shortest)

    def check_statement(self, timeout: float) -> None:
        """Refuse a statement that might not end before the process does.

        :raises RefusalError: not run.
        """
        late = self.clock.monotonic() >= self.last_statement_at(timeout)
        if self.stopped or late:
            raise stopping_refusal()

    def check_transaction(self) -> None:
        """Refuse a transaction that would be aborted soon.

        :raises RefusalError: not run.
        """
        end = self.clock.monotonic() + MIN_TRANSACTION_SECONDS
        if self.stopped or end > self.transactions_end:
            raise stopping_refusal()

    def limit(self, remaining: float) -> float:
        """Return the seconds that a statement has, which end before the process."""
        return min(remaining, max(self.deadlines_end - self.clock.monotonic(), 0.0))


def stopping_refusal() -> RefusalError:
    """Return the refusal of what a stopping host does not accept any more."""
    return not_run(RefusalReason.DRAINING, "this host is shutting down", RETRY_MS)
