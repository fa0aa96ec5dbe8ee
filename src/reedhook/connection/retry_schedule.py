"""Return times that a home names in its refusals for overload.

Callers that return together are refused together again. Their return times are
therefore spread by the rate at which the target completes statements.
"""

from bisect import bisect_left, insort
from collections.abc import Hashable
from heapq import heappop, heappush
from typing import Final, TypeAlias

from ..record import Record
from .recent_sum import RecentSum

MAX_PROMISES: Final = 4096
"""Promises that a home keeps, as a bound of its memory."""

RETURN_TOLERANCE_SECONDS: Final = 0.5
"""Time after the promised one within which a return has precedence."""

DRAIN_RATE_WINDOW_SECONDS: Final = 1.0
"""Period over which completed statements are counted."""

ShareKey: TypeAlias = tuple[int, str]


class Promise(Record):
    """Record the return time that was named to a session.

    :param priority: the priority of its statement.
    :param at: the return time, by `Clock.monotonic`.
    :param first_attempt: when the caller first sent the statement.
    :param number: order of the promises of the home.
    """

    __slots__ = (
        "session",
        "priority",
        "workspace",
        "weight",
        "at",
        "first_attempt",
        "number",
    )

    def __init__(
        self,
        session: Hashable,
        priority: int,
        workspace: str,
        weight: float,
        at: float,
        first_attempt: float,
        number: int,
    ) -> None:
        self.session = session
        self.priority = priority
        self.workspace = workspace
        self.weight = weight
        self.at = at
        self.first_attempt = first_attempt
        self.number = number


class RetrySchedule:
    """Keep the promised return times of one target.

    :ivar promises: by session, which waits for one statement at a time.
    :ivar first_attempts: those of the promises of each priority and workspace, sorted.
    :ivar weights: sum of the weights of the workspaces with promises, by priority.
    """

    __slots__ = (
        "promises",
        "first_attempts",
        "weights",
        "expiries",
        "completed",
        "numbers",
    )

    def __init__(self) -> None:
        self.promises: dict[Hashable, Promise] = {}
        self.first_attempts: dict[ShareKey, list[tuple[float, int]]] = {}
        self.weights: dict[int, float] = {}
        self.expiries: list[tuple[float, int, Hashable]] = []
        self.completed: dict[int, RecentSum] = {}
        self.numbers = 0

    def record_completed(self, priority: int, now: float) -> None:
        """Count a completed statement."""
        completed = self.completed.get(priority)
        if completed is None:
            completed = RecentSum(DRAIN_RATE_WINDOW_SECONDS)
            self.completed[priority] = completed
        completed.add(1.0, now)

    def drain_rate(self, priority: int, now: float) -> float:
        """Return the completed statements per second of a priority and above."""
        return (
            sum(
                completed.value(now)
                for other, completed in self.completed.items()
                if other <= priority
            )
            / DRAIN_RATE_WINDOW_SECONDS
        )

    def promise(
        self,
        session: Hashable,
        priority: int,
        workspace: str,
        weight: float,
        first_attempt: float,
        earliest: float,
        deadline: float,
        now: float,
    ) -> float | None:
        """Return the time at which a refused caller is to return.

        :param session: one without a name cannot be recognised when it returns.
        :param first_attempt: when the caller first sent the statement.
        :param earliest: the time at which capacity is expected.
        :param deadline: when the caller gives up.
        :returns: None if no promise can be kept.
        """
        self.forget_expired(now)
        self.forget(session)
        if not session:
            return earliest if earliest <= deadline else None
        if len(self.promises) >= MAX_PROMISES:
            return None
        share_key = (priority, workspace)
        queue = self.first_attempts.get(share_key, [])
        at = earliest
        rate = self.drain_rate(priority, now)
        if rate > 0.0:
            total = self.weights.get(priority, 0.0) + (0.0 if queue else weight)
            position = bisect_left(queue, (first_attempt, self.numbers + 1))
            at += position / (rate * min(weight / total, 1.0))
        if at > deadline:
            return None
        self.numbers += 1
        self.keep(
            Promise(
                session, priority, workspace, weight, at, first_attempt, self.numbers
            )
        )
        return at

    def keep(self, promise: Promise) -> None:
        """Keep a promise until it expires."""
        self.promises[promise.session] = promise
        queue = self.first_attempts.setdefault(
            (promise.priority, promise.workspace), []
        )
        if not queue:
            self.weights[promise.priority] = (
                self.weights.get(promise.priority, 0.0) + promise.weight
            )
        insort(queue, (promise.first_attempt, promise.number))
        expiry = promise.at + RETURN_TOLERANCE_SECONDS
        heappush(self.expiries, (expiry, promise.number, promise.session))

    def kept(self, session: Hashable, priority: int, now: float) -> Promise | None:
        """Return the promise of a session that returns in time, or None."""
        promise = self.promises.get(session)
        if promise is None or promise.priority != priority:
            return None
        if promise.at <= now <= promise.at + RETURN_TOLERANCE_SECONDS:
            return promise
        return None

    def forget(self, session: Hashable) -> None:
        """Drop the promise of a session, if there is one."""
        promise = self.promises.pop(session, None)
        if promise is None:
            return
        share_key = (promise.priority, promise.workspace)
        queue = self.first_attempts[share_key]
        queue.pop(bisect_left(queue, (promise.first_attempt, promise.number)))
        if not queue:
            del self.first_attempts[share_key]
            self.weights[promise.priority] -= promise.weight

    def forget_expired(self, now: float) -> None:
        """Drop the promises whose sessions have not returned in time."""
        while self.expiries and self.expiries[0][0] < now:
            _, number, session = heappop(self.expiries)
            promise = self.promises.get(session)
            if promise is not None and promise.number == number:
                self.forget(session)
