"""Proof that a primary still led, one round shared by all that wait."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias

from ...clock import Clock
from ...connection.target import MemberState, Role
from ...record import Record
from .sample import Sample

Ask: TypeAlias = Callable[[str, float], Coroutine[Any, Any, MemberState | None]]

STALL: Final = 0.02
"""Seconds beyond the timeout after which a round tells of a stall of this process:
each question ends at its timeout, a busy loop is late by some milliseconds."""


class Lead(Record):
    """Name the leader that a round is to confirm."""

    __slots__ = ("term", "primary")

    def __init__(self, term: int, primary: str) -> None:
        self.term = term
        self.primary = primary


class Confirmation:
    """Run confirmation rounds, one at a time, while somebody wants one.

    A caller takes a ticket and later waits for the round of that number,
    which begins after the ticket was taken. Everybody who came during a
    round shares the next one.

    :param ask: asks a member for a state sent after the call; gives None if
        no answer came within the timeout, in seconds.
    :param lead: tells the leader to confirm; None if there is none here.
    :param found: is called with the sample of each successful round.
    :ivar stalled: whether this process stood still during the last round, so that
        a missing answer proves nothing.
    """

    def __init__(
        self,
        members: list[str],
        majority: int,
        ask: Ask,
        lead: Callable[[], Lead | None],
        found: Callable[[Sample], None],
        clock: Clock,
        timeout: float,
    ) -> None:
        self.members = members
        self.majority = majority
        self.ask = ask
        self.lead = lead
        self.found = found
        self.clock = clock
        self.timeout = timeout
        self.stalled = False
        self.begun = 0
        self.ended = 0
        self.wanted = 0
        self.proved = 0
        self.proved_term = 0
        self.waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.running: asyncio.Task[None] | None = None
        self.asking: set[asyncio.Task[MemberState | None]] = set()

    def request(self) -> int:
        """Take the ticket of a round that begins after this call."""
        self.wanted = self.begun + 1
        if self.running is None or self.running.done():
            self.running = asyncio.create_task(self.run())
        return self.wanted

    def confirms(self, ticket: int, term: int) -> bool:
        """Say whether a round of `ticket` or later confirmed `term`."""
        return self.proved >= ticket and self.proved_term == term

    async def wait(self, ticket: int) -> None:
        """Return once the round of `ticket` has ended, well or not."""
        if self.ended >= ticket:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append((ticket, waiter))
        await waiter

    async def run(self) -> None:
        """Run rounds until no ticket is left."""
        while self.wanted > self.begun:
            self.begun += 1
            try:
                await self.round()
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

    async def round(self) -> None:
        """Ask all members; succeed once a majority with the primary agrees."""
        lead = self.lead()
        if lead is None:
            return
        asked = self.clock.monotonic()
        questions = [self.question(member) for member in self.members]
        agreed = 0
        leader: MemberState | None = None
        for answer in asyncio.as_completed(questions):
            state = await answer
            if state is None or state.promised > lead.term:
                continue
            agreed += 1
            if leads(state, lead):
                leader = state
            if leader is not None and agreed >= self.majority:
                self.proved = self.begun
                self.proved_term = lead.term
                self.found(Sample(leader.held, asked))
                break
        self.stalled = self.clock.monotonic() - asked > self.timeout + STALL

    def question(self, member: str) -> "asyncio.Task[MemberState | None]":
        """Ask `member` in a task that may outlive the round."""
        task = asyncio.create_task(self.ask(member, self.timeout))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)
        return task

    def close(self) -> None:
        """Stop rounds and questions."""
        for task in [self.running, *self.asking]:
            if task is not None:
                task.cancel()


def leads(state: MemberState, lead: Lead) -> bool:
    """Say whether `state` is that of the primary that `lead` names."""
    return (
        state.member == lead.primary
        and state.role is Role.PRIMARY
        and state.leader_term == lead.term
    )
