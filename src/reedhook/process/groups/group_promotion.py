"""One promotion attempt: raise the term at a majority, promote, notify followers.

The members act as acceptors, so any number of coordinators may run at once, and
each may stop or be paused between any two steps. An attempt has a term and an
owner of its own and promotes only one member.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, NoReturn, TypeAlias

from ...clock import Clock
from ...connection.target import MemberState, Role
from ...record import Record
from ...request.refusal import RefusalError, RefusalReason
from ...version.catalog import Group
from .member_control import ControlOperation, MemberController, MemberControlRequest

STEP_TIMEOUT_SECONDS: Final = 0.25
RAISE_GRACE_SECONDS: Final = 0.02
MAX_PROMOTE_ATTEMPTS: Final = 3


RaisedCallback: TypeAlias = Callable[[int, list[str]], None]


class GroupPromotionError(Exception):
    """Promotion attempt that ended without a known new primary.

    :param step: the failed step, ``raise`` or ``promote``.
    :param promised: the highest promised term seen; the next attempt must exceed it.
    """

    def __init__(self, step: str, detail: str, promised: int) -> None:
        super().__init__(detail)
        self.step = step
        self.detail = detail
        self.promised = promised


class GroupPromotionResult(Record):
    """Outcome of a successful attempt.

    :param agreement_seconds: seconds until a majority had promised the term.
    :param promotion_seconds: seconds of the promotion after the agreement.
    """

    __slots__ = ("term", "primary", "agreement_seconds", "promotion_seconds")

    def __init__(
        self,
        term: int,
        primary: str,
        agreement_seconds: float,
        promotion_seconds: float,
    ) -> None:
        self.term = term
        self.primary = primary
        self.agreement_seconds = agreement_seconds
        self.promotion_seconds = promotion_seconds


class GroupPromotion:
    """Carry out one promotion attempt.

    :param term: higher than any term that the coordinator knows of.
    :param owner: unique identifier of this attempt.
    :param preferred: the member chosen among equal candidates; None for any.
    :param avoided: members not chosen if a majority promised without them.
    :param on_raised: called with the term and the members that promised it.
    :ivar promised: the highest promised term seen.
    """

    def __init__(
        self,
        group: Group,
        controller: MemberController,
        clock: Clock,
        term: int,
        owner: str,
        preferred: str | None = None,
        avoided: frozenset[str] = frozenset(),
        on_raised: RaisedCallback | None = None,
    ) -> None:
        self.group = group
        self.controller = controller
        self.clock = clock
        self.term = term
        self.owner = owner
        self.preferred = preferred
        self.avoided = avoided
        self.on_raised = on_raised
        self.promised = term
        self.promises: dict[str, MemberState] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> GroupPromotionResult:
        """Run the attempt; followers are notified in the background.

        :raises GroupPromotionError: if no majority promised the term or the chosen
            member was not promoted.
        """
        started_at = self.clock.monotonic()
        await self.raise_term()
        agreed_at = self.clock.monotonic()
        if self.on_raised is not None:
            self.on_raised(self.term, sorted(self.promises))
        chosen = self.choose()
        await self.promote(chosen)
        promoted_at = self.clock.monotonic()
        self.notify_followers(chosen)
        return GroupPromotionResult(
            self.term, chosen, agreed_at - started_at, promoted_at - agreed_at
        )

    async def raise_term(self) -> None:
        """Request promises of all members and wait for a majority.

        Remaining members get `RAISE_GRACE_SECONDS` more, since one of them may
        lag less; safety does not depend on it. Avoided members are not waited
        for.

        :raises GroupPromotionError: if no majority promised the term.
        """
        requests = {
            member.member_id: self.spawn(self.request_promise(member.member_id))
            for member in self.group.members
        }
        expected = {
            task for member, task in requests.items() if member not in self.avoided
        }
        waiting = expected
        while waiting and not self.agreed():
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
        if waiting:
            await asyncio.wait(waiting, timeout=RAISE_GRACE_SECONDS)
        if not self.agreed():
            self.fail_raise()

    def agreed(self) -> bool:
        """Return whether a majority promised the term."""
        return len(self.promises) >= self.group.majority

    def fail_raise(self) -> NoReturn:
        """Raise the error of an attempt without a majority."""
        detail = f"{len(self.promises)} of {len(self.group.members)} members promised"
        raise GroupPromotionError("raise", detail, self.promised)

    async def request_promise(self, member: str) -> None:
        """Request the promise of one member, and its promised term if it declines."""
        request = MemberControlRequest(
            member, ControlOperation.RAISE, self.term, self.owner
        )
        try:
            self.promises[member] = await self.controller.control(
                request, STEP_TIMEOUT_SECONDS
            )
        except RefusalError as refusal:
            if refusal.reason is RefusalReason.CONFLICT:
                await self.fetch_promised_term(member)

    async def fetch_promised_term(self, member: str) -> None:
        """Fetch the term that `member` has promised."""
        try:
            state = await self.controller.control(
                MemberControlRequest(member, ControlOperation.STATE),
                STEP_TIMEOUT_SECONDS,
            )
        except RefusalError:
            return
        self.promised = max(self.promised, state.promised)

    def choose(self) -> str:
        """Return the member with the highest held position among the promises."""
        candidates = [
            state
            for state in self.promises.values()
            if state.member not in self.avoided
        ]
        if len(candidates) < self.group.majority:
            candidates = list(self.promises.values())
        best = max(
            candidates,
            key=lambda state: (
                state.held,
                state.member == self.preferred,
                state.applied,
                state.member,
            ),
        )
        return best.member

    async def promote(self, chosen: str) -> None:
        """Promote `chosen`; the request is repeated if its answer was lost.

        :raises GroupPromotionError: if the member refused or did not answer.
        """
        request = MemberControlRequest(
            chosen, ControlOperation.PROMOTE, self.term, self.owner
        )
        for attempts_left in reversed(range(MAX_PROMOTE_ATTEMPTS)):
            try:
                state = await self.controller.control(request, STEP_TIMEOUT_SECONDS)
            except RefusalError as refusal:
                if attempts_left and refusal.reason is not RefusalReason.CONFLICT:
                    continue
                await self.fetch_promised_term(chosen)
                raise GroupPromotionError(
                    "promote", refusal.detail, self.promised
                ) from refusal
            if state.role is Role.PRIMARY and state.leader_term == self.term:
                return
            self.promised = max(self.promised, state.promised)
            raise GroupPromotionError("promote", "it was superseded", self.promised)

    def notify_followers(self, chosen: str) -> None:
        """Request the other members to follow `chosen`, each in its own task."""
        for member in self.group.members:
            if member.member_id != chosen:
                self.spawn(self.notify_follower(member.member_id, chosen))

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run `work` in a task and keep a reference until it ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def notify_follower(self, member: str, chosen: str) -> None:
        """Request one member to follow; its home repeats a lost request."""
        request = MemberControlRequest(
            member, ControlOperation.FOLLOW, self.term, primary=chosen
        )
        try:
            await self.controller.control(request, STEP_TIMEOUT_SECONDS)
        except RefusalError:
            return
