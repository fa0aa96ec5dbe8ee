"""Use of the primary of one service while its lease is valid."""

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
    """Make the home of a target; see `SessionTargetHome` for the parameters."""

    def __call__(
        self,
        entry: TargetAnnouncement,
        permit: Callable[[], None],
        seen: Callable[[Position, float], None],
        opened: OnConnectionOpened = ...,
    ) -> SessionTargetHome: ...


PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of a position probe, which needs no slot."""

MAX_DOUBT_SECONDS: Final = 1.5
"""Time for which statements wait for a doubtful primary to recover or its successor
to be chosen; later statements are refused at once."""

PRIMARY_WAIT_LIMIT_SECONDS: Final = 0.45
"""Maximum wait of a statement for a promotion; half of the shortest statement
timeout, so that the statement can still run."""

DRAIN_POLL_SECONDS: Final = 0.05

RETRY_MS: Final = 150


class PrimaryClient:
    """Run statements at the primary of one service.

    :param claim: names this host as the holder or the backup holder.
    :ivar ready: set while the primary is believed to be usable.
    :ivar home: home of the primary; None before it is known.
    :ivar highest_position: highest known position of the primary.
    :ivar highest_answered: highest position in its replies.
    :ivar leadership_questioned: whether the primary may have lost its role or its
        data, so that its status is to be queried.
    :ivar draining: whether new statements are refused.
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
        """Return the validity of the lease."""
        return self.claim.validity

    async def execute(self, work: SessionStatement) -> SessionStatementResult:
        """Run a statement at the primary.

        :raises RefusalError: with the outcome of the statement.
        """
        home = self.home
        if home is not None and work.transaction in home.transactions:
            return await self.run_at(home, work)
        home = await self.wait_for_primary(work)
        return await self.run_at(home, work)

    async def run_at(
        self, home: SessionTargetHome, work: SessionStatement
    ) -> SessionStatementResult:
        """Run a statement at a home and add the latest position proof."""
        reply = await home.run(work)
        if reply.fault is StatementFault.READ_ONLY and home is self.home:
            self.leadership_questioned = True
        return SessionStatementResult(home.entry.target, reply, self.proof)

    async def wait_for_primary(self, work: SessionStatement) -> SessionTargetHome:
        """Return the home of the primary, after a limited wait for one.

        :raises RefusalError: if there is no usable primary; nothing ran.
        """
        if not self.ready.is_set() and not self.draining and self.expects_primary():
            wait = min(PRIMARY_WAIT_LIMIT_SECONDS, work.remaining / 2)
            started_at = self.clock.monotonic()
            try:
                async with asyncio.timeout(wait):
                    await self.ready.wait()
            except TimeoutError:
                # Refused below, since no primary has become usable.
                pass
            work.subtract_elapsed(self.clock.monotonic() - started_at)
        if self.draining:
            raise not_run(
                RefusalReason.WRONG_HOME,
                "another host takes over the primary lease",
                RETRY_MS,
            )
        if self.home is None or not self.ready.is_set():
            raise not_run(
                RefusalReason.NO_PRIMARY,
                f"the service {self.service} has no primary now",
                self.retry_ms(),
            )
        return self.home

    def expects_primary(self) -> bool:
        """Return whether a usable primary is expected soon."""
        return self.clock.monotonic() - self.doubted_at < MAX_DOUBT_SECONDS

    def retry_ms(self) -> int:
        """Return when a caller that found no primary is to try again."""
        return RETRY_MS

    def check_permitted(self) -> None:
        """Check that the lease is valid now.

        :raises RefusalError: if it has expired; nothing ran.
        """
        self.validity.check()

    def record_position(self, position: Position, requested_at: float) -> None:
        """Record the primary's position and use it as the proof if it is newer.

        It covers only commits acknowledged before the request was sent: a host that
        has claimed the lease may use the primary before this one is notified.
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
        """Check the position that the primary reports on a new connection.

        A process restarted under the primary's ID holds less than the primary had
        replied with, and its positions would be accepted as fresh.

        :raises SessionTargetDataLossError: if the position is lower or missing.
        """
        if self.highest_answered is None or self.draining:
            return
        if position is not None and position >= self.highest_answered:
            return
        self.leadership_questioned = True
        self.decisions.record(
            "primary_data_loss",
            service=self.service,
            primary=self.record.primary,
            position=None if position is None else position.to_json(),
            answered=self.highest_answered.to_json(),
        )
        raise SessionTargetDataLossError(
            f"{self.record.primary} has lost acknowledged data"
        )

    async def prove(self, not_before: float) -> PositionProof:
        """Return a proof of the primary's position that is recent enough.

        :param not_before: the earliest acceptable time, by `Clock.boottime`.
        :raises RefusalError: if there is none; nothing ran.
        """
        if self.proof is None or self.proof.as_of < not_before:
            await self.query_position()
        if self.proof is None or self.proof.as_of < not_before:
            raise not_run(
                RefusalReason.AGE_UNPROVED,
                "the primary did not report its position",
                RETRY_MS,
            )
        return self.proof

    async def query_position(self) -> None:
        """Query the position of the primary; concurrent calls share one query."""
        if self.probe_task is None or self.probe_task.done():
            loop = asyncio.get_running_loop()
            self.probe_task = loop.create_task(self.probe())
        await asyncio.shield(self.probe_task)

    async def probe(self) -> None:
        """Query the position of the primary if it may be used.

        One that leaves takes no statements, but proves the age of its replicas until
        its successor is recorded.
        """
        home = self.home
        if home is None or not self.validity.valid:
            return
        if not self.ready.is_set() and self.accepts_new_work():
            return
        try:
            if home.connections.exhausted():
                # The next reply to a statement carries the position as well.
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
        """Create the home of a primary and admit statements to it, unless it leaves.

        Its status does not show whether it leaves.
        """
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
            leaving=not self.accepts_new_work(),
        )
        self.admit_statements()

    def accepts_new_work(self) -> bool:
        """Return whether the primary in use, if any, neither leaves nor is gone."""
        return self.home is None or self.states.accepts_new_work(self.home.entry.target)

    def admit_statements(self) -> None:
        """Admit statements to the primary if it accepts new work."""
        if self.accepts_new_work():
            self.ready.set()
        else:
            self.ready.clear()

    async def until_quiet(self, home: SessionTargetHome, timeout: float) -> None:
        """Wait up to `timeout` seconds for open transactions, then end the rest."""
        deadline = self.clock.monotonic() + timeout
        while not home.is_idle() and self.clock.monotonic() < deadline:
            await self.clock.sleep(DRAIN_POLL_SECONDS)
        home.transactions.end_all("the primary is being replaced")

    async def release(self, timeout: float) -> None:
        """Refuse new statements, drain transactions, and stop using the primary.

        Transactions at an unresponsive primary cannot end and are not waited for,
        since a promotion waits for the confirmation that this host has stopped.
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
        """Record that the lease is released."""
        self.decisions.record(
            "lease_released",
            service=self.service,
            revision=self.record.revision.to_json(),
            successor=self.record.successor,
        )

    def stop(self) -> None:
        """Cancel the background tasks."""
        self.background.cancel()
