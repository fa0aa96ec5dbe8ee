"""Confirmation that a primary still led, in rounds shared by all waiters."""

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
"""A round that exceeds the timeout by more shows a stall of this process; must exceed
the usual delay of a busy event loop."""


class GroupLeader(Record):
    """Leader that a round has to confirm."""

    __slots__ = ("term", "primary")

    def __init__(self, term: int, primary: str) -> None:
        self.term = term
        self.primary = primary


class LeaderConfirmation:
    """Run confirmation rounds, one at a time, on request.

    :meth:`request_round` returns the number of a round that starts after the
    call. All requests made during a round share the next one.

    :param request_state: fetches a state that a member sends after the call; returns
        None without an answer within the timeout, in seconds.
    :param current_leader: returns the leader to confirm, or None if unknown.
    :param on_confirmed: called with the sample of each successful round.
    :param timeout: seconds to wait for each member.
    :ivar started_round: the number of the last round that started.
    :ivar ended_round: the number of the last round that ended.
    :ivar stalled: whether this process stalled during the last round, so that
        missing answers prove nothing.
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
        self.started_round = 0
        self.ended_round = 0
        self.requested_round = 0
        self.confirmed_round = 0
        self.confirmed_term = 0
        self.waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.running: asyncio.Task[None] | None = None
        self.state_requests: set[asyncio.Task[MemberState | None]] = set()

    def request_round(self) -> int:
        """Return the number of a round that starts after this call."""
        self.requested_round = self.started_round + 1
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.run())
        return self.requested_round

    def is_confirmed(self, round_number: int, term: int) -> bool:
        """Return whether round `round_number` or a later one confirmed `term`."""
        return self.confirmed_round >= round_number and self.confirmed_term == term

    async def wait_for_round(self, round_number: int) -> None:
        """Wait until round `round_number` has ended, successfully or not."""
        if self.ended_round >= round_number:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append((round_number, waiter))
        await waiter

    async def run(self) -> None:
        """Run rounds until all requested ones have run."""
        while self.requested_round > self.started_round:
            self.started_round += 1
            try:
                await self.run_round()
            finally:
                self.ended_round = self.started_round
                self.wake()

    def wake(self) -> None:
        """Wake the waiters whose round has ended."""
        waiting = self.waiters
        self.waiters = []
        for round_number, waiter in waiting:
            if round_number > self.ended_round:
                self.waiters.append((round_number, waiter))
            elif not waiter.done():
                waiter.set_result(None)

    async def run_round(self) -> None:
        """Query all members; succeed once a majority with the primary agrees."""
        expected = self.current_leader()
        if expected is None:
            return
        asked = self.clock.monotonic()
        requests = [self.start_state_request(member) for member in self.members]
        agreed = 0
        leader_state: MemberState | None = None
        for request in asyncio.as_completed(requests):
            state = await request
            if state is None or state.promised > expected.term:
                continue
            agreed += 1
            if is_leader_state(state, expected):
                leader_state = state
            if leader_state is not None and agreed >= self.majority:
                self.confirmed_round = self.started_round
                self.confirmed_term = expected.term
                self.on_confirmed(PrimarySample(leader_state.held, asked))
                break
        self.stalled = (
            self.clock.monotonic() - asked > self.timeout + STALL_MARGIN_SECONDS
        )

    def start_state_request(self, member: str) -> "asyncio.Task[MemberState | None]":
        """Query `member` in a task that may outlive the round."""
        task = asyncio.create_task(self.request_state(member, self.timeout))
        self.state_requests.add(task)
        task.add_done_callback(self.state_requests.discard)
        return task

    def close(self) -> None:
        """Cancel running rounds and requests."""
        for task in [self.running, *self.state_requests]:
            if task is not None:
                task.cancel()


def is_leader_state(state: MemberState, leader: GroupLeader) -> bool:
    """Return whether `state` shows `leader` as primary of its term."""
    return (
        state.member == leader.primary
        and state.role is Role.PRIMARY
        and state.leader_term == leader.term
    )
