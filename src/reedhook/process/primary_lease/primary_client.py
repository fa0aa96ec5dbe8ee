"""A host's use of the primary of one service, while it is permitted."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from ...background_tasks import BackgroundTasks
from ...clock import Clock
from ...connection.session_connection_pool import OnConnectionOpened
from ...connection.session_target import (
    SessionTargetDataLossError,
    SessionTargetNoReplyError,
    SessionTargetStatus,
    SessionTargetUnreachableError,
    StatementFault,
)
from ...connection.session_target_home import SessionTargetHome
from ...decision_log import DecisionLog
from ...request.position import Position
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...request.session_statement import (
    PositionProof,
    SessionStatement,
    SessionStatementResult,
)
from ...version.route_table import TargetAnnouncement
from .lease_claim import LeaseClaim
from .lease_record import PrimaryLeaseRecord
from .lease_validity import LeaseValidity
from .target_status import TargetStatusClient


class HomeFactory(Protocol):
    """Make the home of a target; see `MemberHome` for what is given."""

    def __call__(
        self,
        entry: TargetAnnouncement,
        permit: Callable[[], None],
        seen: Callable[[Position, float], None],
        opened: OnConnectionOpened = ...,
    ) -> SessionTargetHome: ...


PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Seconds in which a target answers what needs no slot."""

MAX_DOUBT_SECONDS: Final = 1.5
"""Seconds from the first doubt in which a primary answers again or its successor
is decided on; later statements are refused at once."""

PRIMARY_WAIT_LIMIT_SECONDS: Final = 0.45
"""Seconds for which a statement waits for a primary that is being promoted;
half of the shortest timeout of a statement, so that it can run afterwards."""

DRAIN_POLL_SECONDS: Final = 0.05
"""Seconds between two looks at what is still in progress."""

RETRY_MS: Final = 150
"""When to come back while another primary is promoted, in milliseconds."""


class PrimaryClient:
    """Run statements at the primary of one service.

    :param claim: names this host as the holder or the deputy.
    :ivar ready: set while the primary may be used as far as is known.
    :ivar home: of the primary; None before it is known.
    :ivar highest_position: the highest position that the primary holds, as far as is
        known.
    :ivar highest_answered: the highest position that it has answered statements with.
    :ivar leadership_questioned: whether something says that it leads no more; it is
        asked.
    :ivar draining: whether no new work is taken any more.
    """

    def __init__(
        self,
        claim: LeaseClaim,
        states: TargetStatusClient,
        make_home: HomeFactory,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.claim = claim
        self.service = claim.service
        self.states = states
        self.make_home = make_home
        self.clock = clock
        self.decisions = decisions
        self.ready = asyncio.Event()
        self.home: SessionTargetHome | None = None
        self.proof: PositionProof | None = None
        self.highest_position: Position | None = None
        self.highest_answered: Position | None = None
        self.leadership_questioned = False
        self.draining = False
        self.probe_task: asyncio.Task[None] | None = None
        self.doubted_at = clock.monotonic()
        self.position_updated = asyncio.Event()
        self.background = BackgroundTasks(decisions, service=self.service)

    @property
    def record(self) -> PrimaryLeaseRecord:
        """Return the record that names this host."""
        return self.claim.record

    @property
    def validity(self) -> LeaseValidity:
        """Return until when the primary may be used."""
        return self.claim.validity

    async def execute(self, work: SessionStatement) -> SessionStatementResult:
        """Run a statement at the primary.

        :raises Refusal: with a verdict that holds.
        """
        home = self.home
        if home is not None and work.transaction in home.transactions:
            return await self.run_at(home, work)
        home = await self.wait_for_primary(work)
        return await self.run_at(home, work)

    async def run_at(
        self, home: SessionTargetHome, work: SessionStatement
    ) -> SessionStatementResult:
        """Run a statement at a home and add what is known of the position."""
        reply = await home.run(work)
        if reply.fault is StatementFault.READ_ONLY and home is self.home:
            self.leadership_questioned = True
        return SessionStatementResult(home.entry.target, reply, self.proof)

    async def wait_for_primary(self, work: SessionStatement) -> SessionTargetHome:
        """Return the home of the primary, waiting a little for one.

        :raises Refusal: not run.
        """
        if not self.ready.is_set() and not self.draining and self.expects_primary():
            wait = min(PRIMARY_WAIT_LIMIT_SECONDS, work.remaining / 2)
            begun = self.clock.monotonic()
            try:
                async with asyncio.timeout(wait):
                    await self.ready.wait()
            except TimeoutError:
                # Refused below, since nothing has become usable.
                pass
            work.subtract_elapsed(self.clock.monotonic() - begun)
        if self.draining:
            raise not_run(
                RefusalReason.WRONG_HOME, "another host takes the lead", RETRY_MS
            )
        if self.home is None or not self.ready.is_set():
            raise not_run(
                RefusalReason.NO_PRIMARY,
                f"the service {self.service} has no primary now",
                RETRY_MS,
            )
        return self.home

    def expects_primary(self) -> bool:
        """Say whether a primary is likely to be there soon."""
        return self.clock.monotonic() - self.doubted_at < MAX_DOUBT_SECONDS

    def check_permitted(self) -> None:
        """Raise unless the primary may be used right now."""
        self.validity.check()

    def record_position(self, position: Position, requested_at: float) -> None:
        """Take note of the primary's position.

        It covers what was acknowledged before the question was sent, and no
        more: a host that has taken the lead over may use the primary, too,
        before this one has heard of it.
        """
        if self.highest_position is None or self.highest_position < position:
            self.highest_position = position
        if self.highest_answered is None or self.highest_answered < position:
            self.highest_answered = position
        known = self.proof
        if known is None or requested_at > known.as_of:
            self.proof = PositionProof(position, requested_at)
            self.position_updated.set()

    def check_opened_connection(self, position: Position | None) -> None:
        """Look at the position that the primary states on a new connection.

        A process that has started again under the id of the primary holds less
        than that had answered with; what it says would pass for fresh.

        :raises MemberReborn: if the target is not to be used.
        """
        if self.highest_answered is None or self.draining:
            return
        if position is not None and position >= self.highest_answered:
            return
        self.leadership_questioned = True
        self.decisions.record(
            "primary_holds_less",
            service=self.service,
            primary=self.record.primary,
            position=None if position is None else position.to_json(),
            answered=self.highest_answered.to_json(),
        )
        raise SessionTargetDataLossError(f"{self.record.primary} has lost what it held")

    async def prove(self, not_before: float) -> PositionProof:
        """Return a proof of the primary's position that is young enough.

        :param not_before: a moment by `Clock.elapsed`.
        :raises Refusal: if there is none; nothing ran.
        """
        if self.proof is None or self.proof.as_of < not_before:
            await self.query_position()
        if self.proof is None or self.proof.as_of < not_before:
            raise not_run(
                RefusalReason.AGE_UNPROVED, "the primary gives no position", RETRY_MS
            )
        return self.proof

    async def query_position(self) -> None:
        """Ask the primary for its position, once for all who wait for it."""
        if self.probe_task is None or self.probe_task.done():
            loop = asyncio.get_running_loop()
            self.probe_task = loop.create_task(self.probe())
        await asyncio.shield(self.probe_task)

    async def probe(self) -> None:
        """Ask the primary for its position, if it may be used."""
        home = self.home
        if home is None or not self.ready.is_set() or not self.validity.valid:
            return
        try:
            if home.connections.exhausted():
                # The next answer to a statement tells as well.
                self.position_updated.clear()
                async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                    await self.position_updated.wait()
                return
            await home.probe_position(PROBE_TIMEOUT_SECONDS)
        except (
            SessionTargetNoReplyError,
            SessionTargetUnreachableError,
            RefusalError,
            TimeoutError,
        ) as error:
            self.decisions.record(
                "primary_unanswered", service=self.service, error=repr(error)
            )

    def use_primary(
        self, entry: TargetAnnouncement, status: SessionTargetStatus
    ) -> None:
        """Make the home of a primary."""
        self.home = self.make_home(
            entry,
            self.check_permitted,
            self.record_position,
            self.check_opened_connection,
        )
        self.proof = None
        self.highest_answered = None
        self.leadership_questioned = False
        self.highest_position = status.received
        self.decisions.record(
            "primary_in_use",
            service=self.service,
            primary=entry.target,
            term=self.record.term,
        )
        self.ready.set()

    async def until_quiet(self, home: SessionTargetHome, timeout: float) -> None:
        """Let open transactions end for a while, then end the rest."""
        deadline = self.clock.monotonic() + timeout
        while not home.is_idle() and self.clock.monotonic() < deadline:
            await self.clock.sleep(DRAIN_POLL_SECONDS)
        home.transactions.end_all("the primary changes")

    async def release(self, timeout: float) -> None:
        """Take no new work, let transactions end, and use the primary no more.

        At a primary that gives no answer none can end, and a promotion waits
        for the word that this host has stopped.
        """
        self.draining = True
        usable = self.ready.is_set()
        self.ready.set()
        home = self.home
        if home is not None:
            await self.until_quiet(home, timeout if usable else 0.0)
            await home.close()
        self.validity.revoke()
        self.stop()
        self.log_released()

    def log_released(self) -> None:
        """Tell that the primary is used no more."""
        self.decisions.record("lead_given_up", service=self.service)

    def stop(self) -> None:
        """End the tasks."""
        self.background.cancel()
