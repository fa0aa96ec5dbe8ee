"""Where statements of sessions run at this host: at leads and at replicas."""

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
"""Seconds for which the outcome of a write is kept for who asks again; longer
than any deadline of a statement."""

CLEANUP_INTERVAL_SECONDS: Final = 2.0
"""Seconds between two looks for homes and outcomes that are needed no more."""

POSSIBLY_SENT_REASONS: Final = frozenset(
    {RefusalReason.TARGET_LOST, RefusalReason.TRANSACTION_LOST}
)
"""Reasons of refusals of operations that may have reached a target, without effect."""

RETRY_MS: Final = 50
"""When to come back after a statement met a target that leaves, in milliseconds."""


class StatementServer:
    """Run statements that hosts send here, each write at most once.

    :ivar replica_homes: of replicas, by target.
    :ivar replaced_homes: homes of targets that are announced at another address now, or
        have started again; they are closed once nothing is in progress there.
    :ivar outcomes: of writes and commits, by id, for those who lost the answer.
    """

    def __init__(
        self,
        announcements: Announcements,
        leads: PrimaryLeaseManager,
        make_home: HomeFactory,
        allowances: WorkspaceRateLimiter,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.allowances = allowances
        self.announcements = announcements
        self.leads = leads
        self.make_home = make_home
        self.clock = clock
        self.decisions = decisions
        self.replica_homes: dict[str, SessionTargetHome] = {}
        self.replaced_homes: list[SessionTargetHome] = []
        self.outcomes: OrderedDict[str, WriteOutcome] = OrderedDict()

    def register(self, routes: PeerRoutes) -> None:
        """Add the handlers of this host."""
        routes.add(WORK, self.handle_work)
        routes.add(END, self.handle_rollback)
        routes.add(PROOF, self.handle_proof)

    async def handle_work(self, body: Json) -> Json:
        """Run a statement for another host."""
        answer = await self.execute(SessionStatement.from_json(body))
        return answer.to_json(self.clock.boottime())

    async def handle_rollback(self, body: Json) -> Json:
        """Roll a transaction back for another host."""
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
        """Run a statement, or return the outcome if it has run before.

        :raises Refusal: with a verdict that holds.
        """
        if work.kind is SessionStatementKind.READ:
            return await self.run(work)
        known = self.outcomes.get(work.id)
        if known is not None:
            return await known.wait_for_answer()
        if work.resent:
            raise may_have_run(
                RefusalReason.HOST_UNREACHABLE,
                "this host does not know what became of it",
            )
        outcome = self.outcomes[work.id] = WriteOutcome(self.clock.monotonic())
        try:
            answer = await self.run(work)
        except RefusalError as refusal:
            outcome.fail(refusal)
            if refusal.verdict is Verdict.NOT_RUN:
                # It may be sent anew, and then it is to run.
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
        """Run a statement, if its workspace may run another operation.

        One that reaches no target counts for nothing.

        :raises Refusal: with a verdict that holds.
        """
        if not work.workspace or not work.starts_operation:
            return await self.run_at_target(work)
        begun = self.clock.monotonic()
        await self.allowances.admit(work.workspace)
        work.subtract_elapsed(self.clock.monotonic() - begun)
        try:
            answer = await self.run_at_target(work)
        except RefusalError as refusal:
            not_sent = refusal.reason not in POSSIBLY_SENT_REASONS
            if refusal.verdict is Verdict.NOT_RUN and not_sent:
                self.allowances.give_back(work.workspace)
            raise
        if answer.reply.fault in RETRYABLE_FAULTS:
            self.allowances.give_back(work.workspace)
        return answer

    async def run_at_target(self, work: SessionStatement) -> SessionStatementResult:
        """Run a statement at the primary or at a replica."""
        if not work.target:
            return await self.get_primary_user(work.service).execute(work)
        home = self.get_replica_home(work)
        reply = await home.run(work)
        return SessionStatementResult(work.target, reply, None)

    def get_replica_home(self, work: SessionStatement) -> SessionTargetHome:
        """Return the home of a replica, made when it is first needed.

        :raises Refusal: not run, if the target takes no new work.
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
        """Return the home of a replica at which a transaction is open, or None."""
        homes = [self.replica_homes.get(target), *self.replaced_homes]
        for home in homes:
            if home is not None and transaction in home.transactions:
                return home
        return None

    def roll_back(self, service: str, target: str, transaction_id: str) -> None:
        """Roll a transaction back, if it is open here."""
        lead = self.leads.primary_client(service)
        home = self.find_transaction_home(target, transaction_id)
        if not target and lead is not None:
            home = lead.home
        if home is not None:
            home.transactions.end(transaction_id)

    async def prove(self, service: str, not_before: float) -> PositionProof:
        """Return a proof of a primary's position that is young enough.

        :raises Refusal: if this host cannot give one.
        """
        return await self.get_primary_user(service).prove(not_before)

    def get_primary_user(self, service: str) -> PrimaryClient:
        """Return what uses the primary of a service here.

        :raises Refusal: not run, if this host does not.
        """
        user = self.leads.primary_client(service)
        if user is None:
            raise not_run(
                RefusalReason.WRONG_HOME, f"this host does not lead {service}"
            )
        return user

    async def run_cleanup(self) -> None:
        """Close what is needed no more, until cancelled."""
        while True:
            await self.clock.sleep(CLEANUP_INTERVAL_SECONDS)
            self.allowances.tidy()
            before = self.clock.monotonic() - OUTCOME_RETENTION_SECONDS
            while self.outcomes:
                oldest = next(iter(self.outcomes))
                if self.outcomes[oldest].started_at > before:
                    break
                del self.outcomes[oldest]
            await self.close_unused_homes()

    async def close_unused_homes(self) -> None:
        """Close homes of targets that lead, leave or have left."""
        primaries = {one.primary for one in self.leads.registry.records.values()}
        for target, home in list(self.replica_homes.items()):
            home.connections.drop_unused()
            entry = self.announcements.targets.get(target)
            gone = entry is None or entry.leaving or target in primaries
            if gone and home.is_idle():
                del self.replica_homes[target]
                await home.close()
        for home in [one for one in self.replaced_homes if one.is_idle()]:
            self.replaced_homes.remove(home)
            await home.close()
        for lead in self.leads.held.values():
            if lead.home is not None:
                lead.home.connections.drop_unused()

    def is_idle(self) -> bool:
        """Say whether no statement and no transaction is in progress here."""
        return all(
            home.is_idle()
            for home in [*self.replica_homes.values(), *self.replaced_homes]
        )

    async def close(self) -> None:
        """Close all homes of replicas."""
        self.allowances.close()
        for home in [*self.replica_homes.values(), *self.replaced_homes]:
            await home.close()
        self.replica_homes.clear()
        self.replaced_homes.clear()


class WriteOutcome:
    """Hold what became of a write, for all who ask.

    :ivar started_at: monotonic time at which it began.
    """

    __slots__ = ("started_at", "result")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.result: asyncio.Future[SessionStatementResult | RefusalError] = (
            asyncio.get_running_loop().create_future()
        )

    def done(self, answer: SessionStatementResult) -> None:
        """Keep an answer."""
        self.result.set_result(answer)

    def fail(self, refusal: RefusalError) -> None:
        """Keep a refusal."""
        self.result.set_result(refusal)

    async def wait_for_answer(self) -> SessionStatementResult:
        """Return the answer or raise the refusal, once it is there."""
        result = await asyncio.shield(self.result)
        if isinstance(result, RefusalError):
            raise result
        return result


def has_moved(before: TargetAnnouncement, now: TargetAnnouncement) -> bool:
    """Say whether connections made before lead elsewhere than new ones."""
    return before.address != now.address or not now.is_incarnation(before.started_at_ms)


def always() -> None:
    """Permit the use of a replica: what it may answer is in each statement."""
