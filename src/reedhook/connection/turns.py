"""The order in which statements go to one target, and which are refused early.

A target runs as many statements at a time as it has slots and lets the others wait
in the order of their arrival. While more arrives than it can run, nearly all would
be answered just too late there. So they wait at its home, and only as many are
under way as keep the slots busy.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..record import Record
from ..request.refusal import RefusalError, RefusalReason, not_run

AHEAD: Final = 1
"""Statements under way beyond the slots: one stands ready as a slot comes free,
while the answer is on its way. At 1.35 times what the slots bear, none left 4 of 100
callers less in time in a simulation, and three, which wait out of order, 4 less."""

USUAL: Final = 0.012
"""Seconds that a statement takes of which nothing is known yet."""

LEARNING: Final = 0.1
"""Weight of the newest statement in the average of its route; ten statements, a
tenth of a second at a busy target, change it."""

OUTLIER: Final = 4.0
"""Times the average that one statement counts as at the most. One that waited for a
promotion made its route pass for ten times as long, so that others went first, and
nothing of it ran from which to learn better: for 2 s a route was not served."""

MEMORY: Final = 1.0
"""Seconds over which the share of the slots that statements in time take is
averaged; a surge of 2 s is told from a burst of 0.2 s."""

LEAST_ROOM: Final = 0.02
"""Share of the slots that is counted as left at the least."""

OVERDUE: Final = 4.0
LEAST_OVERDUE: Final = 0.1
"""Times the average of its route, and seconds, after which a statement that got no
answer is taken to hang, and another goes to the target in its place. A target that
hangs on a part of its work would otherwise take no work at all."""

RETRY_MS: Final = 50
"""The least time after which to come back, in milliseconds: some four statements."""

MILLISECONDS: Final = 1000.0


class Demand(Record):
    """Say what a statement needs of its target.

    :param route: its statements take about as long, whether they read or write.
        Told apart by that, kinds that differ by a tenth would go before one another.
    :param priority: 0 goes first.
    :param due: when its caller expects the answer, by `Clock.monotonic`.
    :param deadline: when nobody waits for it any more.
    :param inside: whether its transaction is open, and has a connection.
    :param patience: seconds for which it waits here while another target may have
        a slot free; None if there is none.
    """

    __slots__ = ("route", "priority", "due", "deadline", "inside", "patience")

    def __init__(
        self,
        route: str,
        priority: int,
        due: float,
        deadline: float,
        inside: bool,
        patience: float | None = None,
    ) -> None:
        self.route = route
        self.priority = priority
        self.due = due
        self.deadline = deadline
        self.inside = inside
        self.patience = patience


class Turn:
    """Hold the place of one statement, in the queue or under way.

    :ivar work: seconds that it is expected to take.
    :ivar granted: set once it may go; fails with the refusal otherwise.
    :ivar under_way: whether it counts among those at the target.
    """

    __slots__ = ("demand", "work", "arrived", "granted", "timer", "under_way")

    def __init__(self, demand: Demand, work: float, arrived: float) -> None:
        self.demand = demand
        self.work = work
        self.arrived = arrived
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.timer: asyncio.TimerHandle | None = None
        self.under_way = False

    def is_late(self, now: float) -> bool:
        """Say whether its caller gets the answer too late, if it went now."""
        return now + self.work > self.demand.due

    def rank(self, now: float) -> tuple[int, int, float, float]:
        """Return its place among those that wait; the least goes first.

        What holds a connection goes first, what is late last. Then priority
        counts, and of equal ones short statements go first: at 1.35 times what the
        slots bear 71 of 100 callers were in time so, by worth, 48 by their dues alone
        and 14 in the order of arrival (simulated, kinds of 6, 18 and 30 ms).
        """
        if self.demand.inside:
            return 0, 0, self.arrived, 0.0
        if self.is_late(now):
            return 2, 0, self.arrived, 0.0
        return 1, self.demand.priority, self.work, self.demand.due


class Load:
    """Keep which share of the slots the statements of one route took of late.

    :ivar priority: of the newest of them.
    :ivar work: seconds that it was expected to take.
    """

    __slots__ = ("priority", "work", "share", "at")

    def __init__(self) -> None:
        self.priority = 0
        self.work = 0.0
        self.share = 0.0
        self.at = 0.0

    def add(self, turn: Turn, slots: int, now: float) -> None:
        """Take note that a statement goes to the target."""
        self.share = self.taken(now) + turn.work / slots / MEMORY
        self.at = now
        self.priority = turn.demand.priority
        self.work = turn.work

    def taken(self, now: float) -> float:
        """Return the share of the slots."""
        return self.share * math.exp((self.at - now) / MEMORY)

    def goes_before(self, turn: Turn) -> bool:
        """Say whether such statements go before a statement in time."""
        return (self.priority, self.work) < (turn.demand.priority, turn.work)


class Room:
    """Tell whether a connection is there for a statement that needs one.

    :param free: says whether one is.
    :param wait: returns in how many seconds one comes free on average.
    """

    __slots__ = ("free", "wait")

    def __init__(self, free: Callable[[], bool], wait: Callable[[], float]) -> None:
        self.free = free
        self.wait = wait


class Turns:
    """Let statements go to one target in turn.

    :param slots: statements that the target runs at a time.
    :ivar under_way: statements at the target, but for those that hang.
    :ivar inside: those of them whose transactions are open.
    :ivar means: seconds that statements take, by route.
    """

    def __init__(self, target: str, slots: int, room: Room, clock: Clock) -> None:
        self.target = target
        self.slots = slots
        self.room = room
        self.clock = clock
        self.waiting: list[Turn] = []
        self.under_way = 0
        self.inside = 0
        self.means: dict[str, float] = {}
        self.loads: dict[str, Load] = {}

    async def enter(self, demand: Demand) -> Turn:
        """Wait for the turn of a statement; give it back with `leave`.

        :raises Refusal: not run, at once if it is known not to be answered, or as
            soon as that becomes known.
        """
        now = self.clock.monotonic()
        turn = Turn(demand, self.means.get(demand.route, USUAL), now)
        if not self.waiting and self.admits(turn):
            self.start(turn, now)
            return turn
        self.check(turn, now)
        self.waiting.append(turn)
        self.watch(turn, now)
        self.dispatch()
        try:
            await turn.granted
        except asyncio.CancelledError:
            self.cancelled(turn)
            raise
        return turn

    def leave(self, turn: Turn) -> None:
        """Take note that a statement is at the target no more."""
        if turn.timer is not None:
            turn.timer.cancel()
        self.end(turn)

    def learn(self, route: str, seconds: float) -> None:
        """Take note of how long a statement took at the target."""
        mean = self.means.get(route, USUAL)
        sample = min(seconds, OUTLIER * mean)
        self.means[route] = mean + LEARNING * (sample - mean)

    def longest(self) -> float:
        """Return the seconds after which even a long statement is overdue."""
        return OVERDUE * max(self.means.values(), default=USUAL)

    def dispatch(self) -> None:
        """Let the next ones go, as far as there is room."""
        now = self.clock.monotonic()
        while self.waiting:
            ready = [turn for turn in self.waiting if self.admits(turn)]
            if not ready:
                return
            turn = min(ready, key=lambda one: one.rank(now))
            self.forget(turn)
            if turn.granted.done():
                continue
            self.start(turn, now)
            turn.granted.set_result(None)

    def admits(self, turn: Turn) -> bool:
        """Say whether a statement may go now.

        Those of open transactions count by themselves: what waits for the
        connections that they hold must not keep them from ending.
        """
        if turn.demand.inside:
            return self.inside < self.slots + AHEAD
        return self.under_way < self.slots + AHEAD and self.room.free()

    def start(self, turn: Turn, now: float) -> None:
        """Let a statement go."""
        turn.under_way = True
        self.under_way += 1
        self.inside += turn.demand.inside
        if not turn.is_late(now):
            load = self.loads.setdefault(turn.demand.route, Load())
            load.add(turn, self.slots, now)
        hangs_after = max(OVERDUE * turn.work, LEAST_OVERDUE)
        loop = asyncio.get_running_loop()
        turn.timer = loop.call_later(hangs_after, self.end, turn)

    def end(self, turn: Turn) -> None:
        """Count a statement no more, and let the next one go."""
        if not turn.under_way:
            return
        turn.under_way = False
        self.under_way -= 1
        self.inside -= turn.demand.inside
        self.dispatch()

    def left_over(self, now: float, before: Turn | None = None) -> float:
        """Return the share of the slots that statements in time left free of late.

        :param before: only what goes before it counts, if it is given.
        """
        taken = sum(
            load.taken(now)
            for load in self.loads.values()
            if before is None or load.goes_before(before)
        )
        return max(1.0 - taken, LEAST_ROOM)

    # What waits

    def refuse_waiting(self, refusal: RefusalError) -> None:
        """Refuse all that wait for a connection and a slot."""
        for turn in [one for one in self.waiting if not one.demand.inside]:
            self.forget(turn)
            if not turn.granted.done():
                turn.granted.set_exception(refusal)

    def check(self, turn: Turn, now: float) -> None:
        """Refuse what is known not to be answered, unless a transaction is open.

        What can be answered in time by what waits before it may wait. What cannot
        is served by the slots that are left over, so that it may wait as long as
        those are expected to come to it before its deadline.

        :raises Refusal: not run.
        """
        demand = turn.demand
        if demand.inside:
            if now + turn.work > demand.deadline:
                raise self.refusal(turn, now, 0.0)
            return
        wait = self.expected_wait(turn, now)
        if demand.patience is not None and wait > demand.patience:
            raise self.refusal(turn, now, wait)
        if now + wait + turn.work <= demand.due:
            return
        late = self.backlog(turn) / self.left_over(now)
        if now + max(wait, late) > demand.deadline:
            raise self.refusal(turn, now, wait)

    def expected_wait(self, turn: Turn, now: float) -> float:
        """Return after how many seconds the turn of a statement would come.

        What goes before it and is yet to arrive is expected to come as of late. Left
        out of account, long statements were taken in, overtaken until they were late
        and refused then: at 1.35 times what the slots bear 12 of 100 callers waited
        for half of their time in vain, and 71 were in time; with it 1 and 82
        (simulated, by worth).
        """
        rank = turn.rank(now)
        before = [
            one.work
            for one in self.waiting
            if one is not turn and one.rank(now) <= rank
        ]
        work = sum(before) + self.under_way * turn.work / 2
        wait = work / self.slots / self.left_over(now, turn)
        if self.room.free():
            return wait
        return max(wait, (len(before) + 1) * self.room.wait())

    def backlog(self, turn: Turn) -> float:
        """Return the seconds that all slots need for all that waits and runs."""
        works = sum(one.work for one in self.waiting if one is not turn)
        return (works + self.under_way * turn.work / 2 + turn.work) / self.slots

    def refusal(self, turn: Turn, now: float, wait: float) -> RefusalError:
        """Return the refusal of a statement, with when what waits has run."""
        due = (turn.demand.due - now) * MILLISECONDS
        back = max(wait, self.backlog(turn)) * MILLISECONDS
        return not_run(
            RefusalReason.OVERLOADED,
            f"{len(self.waiting)} statements wait at {self.target}: "
            f"{wait * MILLISECONDS:.0f} ms for one due in {due:.0f} ms",
            max(RETRY_MS, int(back)),
        )

    def watch(self, turn: Turn, now: float) -> None:
        """Look at a statement again when it becomes late, or too late.

        One that has begun to wait stays: elsewhere it would wait again.
        """
        turn.demand.patience = None
        moment = turn.demand.due - turn.work
        if moment <= now:
            moment = turn.demand.deadline - turn.work
        loop = asyncio.get_running_loop()
        turn.timer = loop.call_later(max(moment - now, 0.0), self.reconsider, turn)

    def reconsider(self, turn: Turn) -> None:
        """Let a statement wait on, or refuse it."""
        now = self.clock.monotonic()
        try:
            if now + turn.work >= turn.demand.deadline:
                raise self.refusal(turn, now, 0.0)
            self.check(turn, now)
        except RefusalError as refusal:
            self.forget(turn)
            if not turn.granted.done():
                turn.granted.set_exception(refusal)
            return
        self.watch(turn, now)

    def forget(self, turn: Turn) -> None:
        """Take a statement out of those that wait."""
        if turn.timer is not None:
            turn.timer.cancel()
        self.waiting.remove(turn)

    def cancelled(self, turn: Turn) -> None:
        """Pass on what a statement has or waits for whose caller is gone."""
        if turn in self.waiting:
            self.forget(turn)
            return
        self.leave(turn)
