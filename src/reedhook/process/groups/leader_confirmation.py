"""Proof that a primary still led, one round shared by all that wait."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

from ...clock import Clock
from ...connection.target import MemberState, Role
from ...record import Record
from .primary_sample import PrimarySample

StateRequester: TypeAlias = Callable[
    [str, float], Coroutine[Any, Any, MemberState | None]
]

STALL_MARGIN_SECONDS: Final = 0.02
"""Seconds beyond the timeout after which a round tells of a stall of this process:
each question ends at its timeout, a busy loop is late by some milliseconds."""


class GroupLeader(Record):
    """Name the leader that a round is to confirm."""

    __slots__ = ("term", "primary")

    def __init__(self, term: int, primary: str) -> None:
        self.term = term
        self.primary = primary


class LeaderConfirmation:
    """Run confirmation rounds, one at a time, while somebody wants one.

    A caller takes a ticket and later waits for the round of that number,
    which begins after the ticket was taken. Everybody who came during a
    round shares the next one.

    :param request_state: asks a member for a state sent after the call; gives None if
        no answer came within the timeout, in seconds.
    :param current_leader: tells the leader to confirm; None if there is none here.
    :param on_confirmed: is called with the sample of each successful round.
    :ivar stalled: whether this process stood still during the last round, so that
        a missing answer proves nothing.
    """

    def __init__(
        self,
        members: list[str],
        majority: int,
        request_state: StateRequester,
        current_leader: Callable[[], GroupLeader | None],
        on_confirmed: Callable[[PrimarySample], None],
        clock: Clock,
        timeout: float,
    ) -> None:
        self.members = members
        self.majority = majority
        self.request_state = request_state
        self.current_leader = current_leader
        self.on_confirmed = on_confirmed
        self.clock = clock
        self.timeout = timeout
        self.stalled = False
        self.begun = 0
        self.ended = 0
        self.requested_round = 0
        self.confirmed_round = 0
        self.confirmed_term = 0
        self.waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.running: asyncio.Task[None] | None = None
        self.state_requests: set[asyncio.Task[MemberState | None]] = set()

    def request_round(self) -> int:
        """Take the ticket of a round that begins after this call."""
        self.requested_round = self.begun + 1
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.run())
        return self.requested_round

    def is_confirmed(self, round_number: int, term: int) -> bool:
        """Say whether a round of `ticket` or later confirmed `term`."""
        return self.confirmed_round >= round_number and self.confirmed_term == term

    async def wait_for_round(self, round_number: int) -> None:
        """Return once the round of `ticket` has ended, well or not."""
        if self.ended >= round_number:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append((round_number, waiter))
        await waiter

    async def run(self) -> None:
        """Run rounds until no ticket is left."""
        while self.requested_round > self.begun:
            self.begun += 1
            try:
                await self.run_round()
            finally:
                self.ended = self.begun
                self.wake()

    def wake(self) -> None:
        """Answer those whose round has ended."""
        waiting = self.waiters
        self.waiters = []
        for ticket, waiter in waiting:
            if ticket > self.ended:
                self.waiters.append((ticket, waiter))
            elif not waiter.done():
                waiter.set_result(None)

    async def run_round(self) -> None:
        """Ask all members; succeed once a majority with the primary agrees."""
        lead = self.current_leader()
        if lead is None:
            return
        asked = self.clock.monotonic()
        questions = [self.start_state_request(member) for member in self.members]
        agreed = 0
        leader: MemberState | None = None
        for answer in asyncio.as_completed(questions):
            state = await answer
            if state is None or state.promised > lead.term:
                continue
            agreed += 1
            if is_leader_state(state, lead):
                leader = state
            if leader is not None and agreed >= self.majority:
                self.confirmed_round = self.begun
                self.confirmed_term = lead.term
                self.on_confirmed(PrimarySample(leader.held, asked))
                break
        self.stalled = (
            self.clock.monotonic() - asked > self.timeout + STALL_MARGIN_SECONDS
        )

    def start_state_request(self, member: str) -> "asyncio.Task[MemberState | None]":
        """Ask `member` in a task that may outlive the round."""
        task = asyncio.create_task(self.request_state(member, self.timeout))
        self.state_requests.add(task)
        task.add_done_callback(self.state_requests.discard)
        return task

    def close(self) -> None:
        """Stop rounds and questions."""
        for task in [self.running, *self.state_requests]:
            if task is not None:
                task.cancel()


def is_leader_state(state: MemberState, leader: GroupLeader) -> bool:
    """Say whether `state` is that of the primary that `lead` names."""
    return (
        state.member == leader.primary
        and state.role is Role.PRIMARY
        and state.leader_term == leader.term
    )
