"""Run session statements at the primaries and replicas that this host serves."""

import asyncio
from collections import OrderedDict
from typing import Final

from ..clock import Clock
from ..connection.session_target import RETRYABLE_FAULTS
from ..connection.session_target_home import SessionTargetHome
from ..decision_log import DecisionLog
from ..peer import PeerRoutes
from ..request.refusal import RefusalError, RefusalReason, may_have_run, not_run
from ..request.session_statement import (
    PositionProof,
    SessionStatement,
    SessionStatementKind,
    SessionStatementResult,
)
from ..request.verdict import Verdict
from ..version.route_table import TargetAnnouncement
from ..wire import Json, string_field
from .discovery.announcements import Announcements
from .primary_lease.lease_manager import PrimaryLeaseManager
from .primary_lease.primary_client import HomeFactory, PrimaryClient
from .rates.workspace_rate_limiter import WorkspaceRateLimiter

WORK: Final = "work"
END: Final = "end"
PROOF: Final = "proof"

OUTCOME_RETENTION_SECONDS: Final = 10.0
"""How long the outcome of a write is kept for resent requests; must exceed every
statement deadline."""

CLEANUP_INTERVAL_SECONDS: Final = 2.0
FINISH_POLL_SECONDS: Final = 0.02
POSSIBLY_SENT_REASONS: Final = frozenset(
    {RefusalReason.TARGET_LOST, RefusalReason.TRANSACTION_LOST}
)
"""Refusal reasons of operations that may have reached a target, without effect."""

RETRY_MS: Final = 50
"""Retry delay after a statement was sent to a leaving target."""


class StatementServer:
    """Run statements that other hosts forward, each write at most once.

    :ivar replica_homes: homes of replicas, by target.
    :ivar replaced_homes: homes of replicas whose address has changed or that have
        restarted; they are closed once idle.
    :ivar outcomes: outcomes of writes and commits, by statement id, for hosts that
        lost the response.
    :ivar reports_load: whether results carry the load of their targets.
    :ivar forwarded: statements of other hosts that are in progress.
    :ivar stopped: whether statements of other hosts are refused.
    """

    def __init__(
        self,
        announcements: Announcements,
        primary_leases: PrimaryLeaseManager,
        make_home: HomeFactory,
        rate_limiter: WorkspaceRateLimiter,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.rate_limiter = rate_limiter
        self.announcements = announcements
        self.primary_leases = primary_leases
        self.make_home = make_home
        self.clock = clock
        self.decisions = decisions
        self.replica_homes: dict[str, SessionTargetHome] = {}
        self.replaced_homes: list[SessionTargetHome] = []
        self.outcomes: OrderedDict[str, WriteOutcome] = OrderedDict()
        self.reports_load = False
        self.forwarded = 0
        self.stopped = False

    def register(self, routes: PeerRoutes) -> None:
        """Register the handlers of peer requests."""
        routes.add(WORK, self.handle_work)
        routes.add(END, self.handle_rollback)
        routes.add(PROOF, self.handle_proof)

    async def handle_work(self, body: Json) -> Json:
        """Run a statement for another host.

        :raises RefusalError: with the final verdict.
        """
        work = SessionStatement.from_json(body)
        if self.stopped and not work.resent and work.id not in self.outcomes:
            raise stopped_refusal(work)
        self.forwarded += 1
        try:
            answer = await self.execute(work)
        finally:
            self.forwarded -= 1
        return answer.to_json(self.clock.boottime(), self.clock.monotonic())

    async def handle_rollback(self, body: Json) -> Json:
        """Roll back a transaction for another host."""
        self.roll_back(
            string_field(body, "service"),
            string_field(body, "target"),
            string_field(body, "name"),
        )
        return {}

    async def handle_proof(self, body: Json) -> Json:
        """Return a proof of a primary's position."""
        now = self.clock.boottime()
        proof = await self.prove(
            string_field(body, "service"), now - float(body["age"])
        )
        return proof.to_json(self.clock.boottime())

    async def execute(self, work: SessionStatement) -> SessionStatementResult:
        """Run a statement, or return the known outcome if it was sent before.

        :raises RefusalError: with the final verdict.
        """
        if work.kind is SessionStatementKind.READ:
            return await self.run(work)
        known_outcome = self.outcomes.get(work.id)
        if known_outcome is not None and (work.resent or not known_outcome.dropped):
            return await known_outcome.wait_for_answer()
        if work.resent:
            raise may_have_run(
                RefusalReason.HOST_UNREACHABLE,
                "this host has no record of the outcome of the resent statement",
            )
        outcome = self.outcomes[work.id] = WriteOutcome(self.clock.monotonic())
        try:
            answer = await self.run(work)
        except RefusalError as refusal:
            outcome.fail(refusal)
            if refusal.reason is RefusalReason.CALLER_GONE:
                # The calling host may have lost the connection only. It learns the
                # verdict when it resends the statement.
                outcome.dropped = True
            elif refusal.verdict is Verdict.NOT_RUN:
                # A resent statement has to run, not to get this refusal.
                del self.outcomes[work.id]
            raise
        except BaseException:
            detail = "the statement ended without an answer"
            outcome.fail(may_have_run(RefusalReason.INTERNAL, detail))
            raise
        outcome.done(answer)
        if answer.reply.fault in RETRYABLE_FAULTS:
            del self.outcomes[work.id]
        return answer

    async def run(self, work: SessionStatement) -> SessionStatementResult:
        """Run a statement within the rate limit of its workspace.

        A statement that reaches no target does not count against the limit.

        :raises RefusalError: with the final verdict.
        """
        if not work.workspace or not work.starts_operation:
            return await self.run_at_target(work)
        started_at = self.clock.monotonic()
        await self.rate_limiter.admit(work.workspace)
        work.subtract_elapsed(self.clock.monotonic() - started_at)
        try:
            answer = await self.run_at_target(work)
        except RefusalError as refusal:
            not_sent = refusal.reason not in POSSIBLY_SENT_REASONS
            if refusal.verdict is Verdict.NOT_RUN and not_sent:
                self.rate_limiter.give_back(work.workspace)
            raise
        if answer.reply.fault in RETRYABLE_FAULTS:
            self.rate_limiter.give_back(work.workspace)
        return answer

    async def run_at_target(self, work: SessionStatement) -> SessionStatementResult:
        """Run a statement at the primary or at a replica."""
        if not work.target:
            client = self.get_primary_user(work.service)
            answer = await client.execute(work)
            self.add_load(answer, client.home)
            return answer
        home = self.get_replica_home(work)
        reply = await home.run(work)
        answer = SessionStatementResult(work.target, reply, None)
        self.add_load(answer, home)
        return answer

    def add_load(
        self, answer: SessionStatementResult, home: SessionTargetHome | None
    ) -> None:
        """Add the load of the target to a result of it."""
        if not self.reports_load or home is None:
            return
        if home.entry.target == answer.target:
            answer.load = home.load_meter.report()

    def get_replica_home(self, work: SessionStatement) -> SessionTargetHome:
        """Return the home of a replica, creating it on first use.

        :raises RefusalError: not run, if the target accepts no new work.
        """
        home = self.find_transaction_home(work.target, work.transaction)
        if home is not None:
            return home
        entry = self.announcements.targets.get(work.target)
        if entry is None or entry.leaving or entry.service != work.service:
            raise not_run(
                RefusalReason.TARGET_LEAVING,
                f"{work.target} takes no new work",
                RETRY_MS,
            )
        home = self.replica_homes.get(work.target)
        if home is not None and has_moved(home.entry, entry):
            self.replaced_homes.append(home)
            home = None
        if home is None:
            home = self.replica_homes[work.target] = self.make_home(
                entry, always, lambda position, asked: None
            )
        return home

    def find_transaction_home(
        self, target: str, transaction: str
    ) -> SessionTargetHome | None:
        """Return the replica home at which a transaction is open, or None."""
        homes = [self.replica_homes.get(target), *self.replaced_homes]
        for home in homes:
            if home is not None and transaction in home.transactions:
                return home
        return None

    def roll_back(self, service: str, target: str, transaction_id: str) -> None:
        """Roll back a transaction if it is open at this host."""
        client = self.primary_leases.primary_client(service)
        home = self.find_transaction_home(target, transaction_id)
        if not target and client is not None:
            home = client.home
        if home is not None:
            home.transactions.end(transaction_id)

    async def prove(self, service: str, not_before: float) -> PositionProof:
        """Return a proof of a primary's position taken at `not_before` or later.

        :raises RefusalError: if this host cannot provide one.
        """
        return await self.get_primary_user(service).prove(not_before)

    def get_primary_user(self, service: str) -> PrimaryClient:
        """Return this host's client of the primary of a service.

        :raises RefusalError: not run, if this host does not serve the primary.
        """
        client = self.primary_leases.primary_client(service)
        if client is None:
            raise not_run(
                RefusalReason.WRONG_HOME,
                f"this host does not hold the primary lease of {service}",
            )
        return client

    async def run_cleanup(self) -> None:
        """Remove expired outcomes and close unused homes, until cancelled."""
        while True:
            await self.clock.sleep(CLEANUP_INTERVAL_SECONDS)
            self.rate_limiter.tidy()
            cutoff = self.clock.monotonic() - OUTCOME_RETENTION_SECONDS
            while self.outcomes:
                oldest = next(iter(self.outcomes))
                if self.outcomes[oldest].started_at > cutoff:
                    break
                del self.outcomes[oldest]
            await self.close_unused_homes()

    async def close_unused_homes(self) -> None:
        """Close idle homes of targets that are primaries, leave or have left."""
        primaries = {
            record.primary for record in self.primary_leases.registry.records.values()
        }
        for target, home in list(self.replica_homes.items()):
            home.connections.drop_unused()
            entry = self.announcements.targets.get(target)
            unused = entry is None or entry.leaving or target in primaries
            if unused and home.is_idle():
                del self.replica_homes[target]
                await home.close()
        for home in [one for one in self.replaced_homes if one.is_idle()]:
            self.replaced_homes.remove(home)
            await home.close()
        for lease in self.primary_leases.held.values():
            if lease.home is not None:
                lease.home.connections.drop_unused()

    def is_idle(self) -> bool:
        """Return whether no replica home has a statement or transaction in progress."""
        return all(
            home.is_idle()
            for home in [*self.replica_homes.values(), *self.replaced_homes]
        )

    async def finish(self, deadline: float) -> None:
        """Refuse statements of other hosts, and wait for those in progress.

        :param deadline: monotonic time after which they are not waited for.
        """
        self.stopped = True
        while self.forwarded and self.clock.monotonic() < deadline:
            await self.clock.sleep(FINISH_POLL_SECONDS)

    async def close(self) -> None:
        """Close all homes of replicas."""
        self.rate_limiter.close()
        for home in [*self.replica_homes.values(), *self.replaced_homes]:
            await home.close()
        self.replica_homes.clear()
        self.replaced_homes.clear()


class WriteOutcome:
    """Hold the outcome of a write for all hosts that request it.

    :ivar started_at: monotonic time at which the write began.
    :ivar dropped: whether it left the queue since its caller had disconnected; a new
        attempt with the same id may run.
    """

    __slots__ = ("started_at", "result", "dropped")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.dropped = False
        self.result: asyncio.Future[SessionStatementResult | RefusalError] = (
            asyncio.get_running_loop().create_future()
        )

    def done(self, answer: SessionStatementResult) -> None:
        """Store the result."""
        self.result.set_result(answer)

    def fail(self, refusal: RefusalError) -> None:
        """Store the refusal."""
        self.result.set_result(refusal)

    async def wait_for_answer(self) -> SessionStatementResult:
        """Wait for the outcome; return the result or raise the refusal."""
        result = await asyncio.shield(self.result)
        if isinstance(result, RefusalError):
            raise result
        return result


def has_moved(before: TargetAnnouncement, now: TargetAnnouncement) -> bool:
    """Return whether a target has changed its address or restarted."""
    return before.address != now.address or not now.is_incarnation(before.started_at_ms)


def always() -> None:
    """Permit the use of a replica; each statement states which answers it accepts."""


def stopped_refusal(work: SessionStatement) -> RefusalError:
    """Return the refusal of a statement that another host can run."""
    detail = "this host is shutting down"
    if work.starts_operation:
        return not_run(RefusalReason.WRONG_HOME, detail, RETRY_MS)
    return not_run(RefusalReason.TRANSACTION_LOST, detail, RETRY_MS)
