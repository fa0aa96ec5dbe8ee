"""The home of a target for sessions: runs their statements on its connections."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..decisions import Decisions
from ..request.position import Position
from ..request.refusal import RefusalError, RefusalReason, not_run
from ..request.work import SessionStatement, SessionStatementKind, TransactionMode
from ..version.registry import TargetEntry
from .homerefusals import (
    RETRY_MS,
    closed,
    lost_transaction,
    silent,
    stalled,
    unanswered,
)
from .lane import Lane
from .lanes import LONGEST_QUEUE, Lanes, Opened
from .member import (
    Fault,
    MemberDriver,
    MemberReply,
    MemberSilent,
    MemberUnreachable,
    Phrases,
    Query,
)
from .opentransactions import OpenTransactions, Transaction
from .state import SessionState
from .turns import Demand, Room, Turns

FIRST_PATIENCE: Final = 0.35
"""Seconds after which a read is sent again on a new connection; the longest
statements take 110 ms, the first of the queue of 2 slots included 220."""

BUSY_PAUSE: Final = 0.015
"""Seconds until a target with a full queue is asked again; one statement."""

MOST_BUSY: Final = 3
"""Times that a target with a full queue is asked again for one statement."""

STALLED: Final = 0.15
"""Seconds in which a target whose slots are taken answers nothing, after which new
ones are refused at once, and those that wait for their turn. Each of them would wait
for as long as its caller allows: at a replica that was down 170 did so at a time."""


class MemberHome:
    """Run statements of sessions at one target.

    :param limit: connections that this host may open to it.
    :param permit: raises `Refusal` unless the target may be used right now.
    :param seen: is told each position with the moment before which all that
        was acknowledged is covered by it, by `Clock.elapsed`.
    :param rest: seconds for which a transaction may rest.
    :param opened: see `Lanes`.
    :param most: see `Lanes`.
    """

    def __init__(
        self,
        entry: TargetEntry,
        driver: MemberDriver,
        phrases: Phrases,
        limit: int,
        clock: Clock,
        decisions: Decisions,
        permit: Callable[[], None],
        seen: Callable[[Position, float], None],
        rest: float,
        opened: Opened = lambda position: None,
        most: int | None = None,
    ) -> None:
        self.entry = entry
        self.phrases = phrases
        self.clock = clock
        self.decisions = decisions
        self.permit = permit
        self.seen = seen
        self.lanes = Lanes(entry, driver, phrases, limit, clock, opened, most)
        room = Room(lambda: not self.lanes.exhausted(), self.lanes.expected_wait)
        self.turns = Turns(entry.target, entry.slots, room, clock)
        self.lanes.on_free = self.turns.dispatch
        self.transactions = OpenTransactions(
            entry.target, self.lanes, phrases, rest, decisions
        )
        self.active = 0
        self.running = 0
        self.running_since = float("-inf")
        self.answered_at = float("-inf")

    async def run(self, work: SessionStatement) -> MemberReply:
        """Run a statement alone or in its transaction.

        :raises Refusal: with a verdict that holds.
        """
        now = self.clock.monotonic()
        deadline = now + work.remaining
        demand = self.demand(work, now)
        if not demand.inside and self.stalled():
            raise stalled(self.entry.target)
        self.active += 1
        try:
            turn = await self.turns.enter(demand)
            try:
                return await self.run_in_turn(work, deadline)
            finally:
                self.turns.leave(turn)
        finally:
            self.active -= 1

    def stalled(self) -> bool:
        """Say whether the target's slots are taken and it has answered nothing.

        A target that has turned slow is given as much longer.
        """
        if self.running < min(self.entry.slots, self.lanes.limit):
            return False
        since = max(self.running_since, self.answered_at)
        patience = max(STALLED, self.turns.longest())
        return self.clock.monotonic() - since > patience

    def demand(self, work: SessionStatement, now: float) -> Demand:
        """Return what a statement needs of the target.

        One that is to get a connection is refused while its caller still has the
        time for another try.
        """
        inside = work.transaction in self.transactions
        longest = (
            work.remaining if inside else max(work.soft_deadline_seconds, LONGEST_QUEUE)
        )
        return Demand(
            work.database,
            work.priority,
            now + work.soft_deadline_seconds,
            now + min(work.remaining, longest),
            inside,
            work.wait_limit_seconds,
        )

    async def run_in_turn(self, work: SessionStatement, deadline: float) -> MemberReply:
        """Run a statement whose turn it is; raises as `run`."""
        if not self.running:
            self.running_since = self.clock.monotonic()
        self.running += 1
        try:
            return await self.run_at_target(work, deadline)
        except RefusalError:
            if self.stalled():
                self.turns.refuse_waiting(stalled(self.entry.target))
            raise
        finally:
            self.running -= 1

    async def run_at_target(
        self, work: SessionStatement, deadline: float
    ) -> MemberReply:
        """Run a statement alone or in its transaction; raises as `run`."""
        if not work.transaction:
            return await self.run_single(work, deadline)
        transaction = self.transactions.get(work.transaction)
        if transaction is None:
            begun = await self.begin(work, deadline)
            if isinstance(begun, MemberReply):
                return begun
            transaction = begun
        if transaction.workspace != work.workspace:
            raise not_run(
                RefusalReason.TRANSACTION_LOST, "the transaction is another workspace's"
            )
        return await self.step(transaction, work, deadline)

    async def run_single(self, work: SessionStatement, deadline: float) -> MemberReply:
        """Run a statement outside transactions.

        A read that stays unanswered is sent once more on a new connection.
        """
        first = True
        while True:
            lane = await self.ready_lane(work, deadline)
            left = deadline - self.clock.monotonic()
            is_read = work.kind is SessionStatementKind.READ
            patience = min(left, FIRST_PATIENCE) if is_read and first else left
            try:
                reply = await self.exchange(lane, work, patience)
            except MemberSilent as error:
                self.lanes.discard(lane)
                self.silence(work, error)
                if is_read and self.lanes.closed:
                    raise closed() from error
                if not is_read:
                    raise silent(self.entry.target) from error
                if not first or deadline - self.clock.monotonic() <= 0.0:
                    raise unanswered(self.entry.target) from error
                first = False
                continue
            except BaseException:
                self.lanes.discard(lane)
                raise
            self.lanes.release(lane, reply)
            return reply

    async def ready_lane(self, work: SessionStatement, deadline: float) -> Lane:
        """Return a connection in the state of the statement's session.

        :raises Refusal: not run.
        """
        lane, _ = await self.prepared(work, deadline, None)
        return lane

    async def prepared(
        self, work: SessionStatement, deadline: float, last: Query | None
    ) -> tuple[Lane, MemberReply | None]:
        """Return a connection in the session's state, and the answer to `last`.

        :raises Refusal: not run.
        """
        for _ in range(2):
            left = deadline - self.clock.monotonic()
            try:
                lane = await self.lanes.borrow(work.session, left, work.workspace)
            except MemberUnreachable as error:
                self.decisions.note(
                    "target_unreachable", target=self.entry.target, error=str(error)
                )
                raise not_run(
                    RefusalReason.TARGET_UNREACHABLE, str(error), RETRY_MS
                ) from None
            try:
                self.permit()
                reply = await self.lanes.prepare(
                    lane, work.session, work.settings, False, last
                )
                return lane, reply
            except MemberSilent as error:
                self.lanes.discard(lane)
                self.silence(work, error)
            except BaseException:
                self.lanes.discard(lane)
                raise
        raise not_run(
            RefusalReason.TARGET_UNREACHABLE,
            f"the target {self.entry.target} gives no answer",
            RETRY_MS,
        )

    def silence(self, work: SessionStatement, error: MemberSilent) -> None:
        """Take note that a connection went silent or broke."""
        self.decisions.note(
            "connection_lost", id=work.id, target=self.entry.target, error=str(error)
        )
        self.lanes.drop_idle()

    async def exchange(
        self, lane: Lane, work: SessionStatement, timeout: float
    ) -> MemberReply:
        """Send the statement itself.

        :raises Refusal: not run, if the target may not be used any more.
        :raises MemberSilent: if no answer comes.
        """
        self.permit()
        asked = self.clock.elapsed()
        sent = self.clock.monotonic()
        after = None if work.transaction else work.min_position
        query = Query(work.id, work.text, after)
        (reply,) = await lane.connection.exchange([query], timeout)
        if reply.fault is Fault.NONE:
            self.turns.learn(work.database, self.clock.monotonic() - sent)
        # Inside a transaction the position may be that of its snapshot, which
        # proves nothing about what was acknowledged since.
        outside = not work.transaction or work.kind is SessionStatementKind.COMMIT
        self.answered(reply, asked if outside else None)
        return reply

    def answered(self, reply: MemberReply, asked: float | None) -> None:
        """Take note of a sign of life and of the position that it carries.

        :param asked: when it was sent; None if its position proves nothing.
        """
        self.answered_at = self.clock.monotonic()
        if reply.position is not None and asked is not None:
            self.seen(reply.position, asked)

    async def begin(
        self, work: SessionStatement, deadline: float
    ) -> Transaction | MemberReply:
        """Open a transaction for its first statement.

        :returns: the target's answer if it refuses to begin.
        :raises Refusal: not run.
        """
        if work.begin is TransactionMode.NONE:
            raise not_run(
                RefusalReason.TRANSACTION_LOST,
                "the transaction is not open at its target any more",
                RETRY_MS,
            )
        text = self.phrases.begin(work.begin is TransactionMode.READ)
        lane, reply = await self.prepared(
            work, deadline, Query("", text, work.min_position)
        )
        assert reply is not None
        self.answered(reply, None)
        if reply.fault is not Fault.NONE:
            self.lanes.release(lane, reply)
            return reply
        transaction = Transaction(work.transaction, lane, work.settings, work.workspace)
        self.transactions.add(transaction)
        return transaction

    async def step(
        self, transaction: Transaction, work: SessionStatement, deadline: float
    ) -> MemberReply:
        """Run a statement of an open transaction, or its commit."""
        if transaction.busy:
            raise not_run(
                RefusalReason.CONFLICT,
                "another statement of the transaction is in progress",
            )
        transaction.busy = True
        if transaction.timer is not None:
            transaction.timer.cancel()
        lane = transaction.lane
        try:
            if work.settings != transaction.settings:
                await self.lanes.prepare(lane, work.session, work.settings, True)
                transaction.settings = work.settings
            reply = await self.patient(lane, work, deadline)
        except MemberSilent as error:
            self.transactions.drop(transaction)
            self.silence(work, error)
            if work.kind is SessionStatementKind.COMMIT:
                raise silent(self.entry.target) from error
            raise lost_transaction() from error
        except BaseException:
            self.transactions.drop(transaction)
            raise
        self.transactions.after_step(transaction, work, reply)
        return reply

    async def patient(
        self, lane: Lane, work: SessionStatement, deadline: float
    ) -> MemberReply:
        """Send a statement of a transaction, again while the queue is full.

        Refused, it would cost the caller the whole transaction.

        :raises MemberSilent: if no answer comes.
        """
        reply = await self.exchange(lane, work, deadline - self.clock.monotonic())
        for _ in range(MOST_BUSY):
            left = deadline - self.clock.monotonic() - BUSY_PAUSE
            turned_away = reply.fault is Fault.BUSY
            if not turned_away or reply.state is not SessionState.OPEN or left <= 0.0:
                break
            await self.clock.sleep(BUSY_PAUSE)
            reply = await self.exchange(lane, work, left)
        return reply

    def quiet(self) -> bool:
        """Say whether nothing is in progress."""
        return self.active == 0 and not self.transactions.by_name

    async def sight(self, timeout: float) -> None:
        """Ask the target for a sign of life, and for its position.

        :raises MemberUnreachable: if it cannot be reached.
        :raises MemberSilent: if it gives no answer.
        """
        lane = await self.lanes.borrow("", timeout, None)
        try:
            asked = self.clock.elapsed()
            lane.unsure = True
            query = Query("", self.phrases.reset())
            (reply,) = await lane.connection.exchange([query], timeout)
        except BaseException:
            self.lanes.discard(lane)
            raise
        lane.applied = {}
        lane.unsure = False
        lane.session = ""
        self.answered(reply, asked)
        self.lanes.give_back(lane)

    async def close(self) -> None:
        """Close all connections; what is in progress ends at once."""
        self.transactions.close()
        self.turns.refuse_waiting(closed())
        self.lanes.close()
        for lane in list(self.lanes.lent):
            lane.connection.close()
