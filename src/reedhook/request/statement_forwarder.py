"""The hop of a statement from the host of its session to the home of a target."""

import asyncio
from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..decision_log import DecisionLog
from ..peer import HostRef, PeerError
from ..process.network.answer_tracking_peers import AnswerTrackingPeers
from ..process.primary_lease.holder_failure_detector import ALIVE_PATH as ALIVE
from ..process.primary_lease.lease_record import PrimaryLeaseRecord
from ..process.statement_server import END, WORK, StatementServer
from ..record import Record
from ..wire import Json, WireError
from .position import Position
from .refusal import RefusalError, RefusalReason, may_have_run, not_run
from .remote_rate_limits import RemoteRateLimits
from .session_statement import (
    SessionStatement,
    SessionStatementKind,
    SessionStatementResult,
)

HOP_GRACE_SECONDS: Final = 0.05
"""Seconds beyond the deadline for the answer of another host to arrive."""

READ_WAIT_LIMIT_SECONDS: Final = 0.45
"""Seconds after which a read that another host does not answer is sent
elsewhere; the host itself gives a target 0.35 s."""

LIVENESS_PROBE_DELAY_SECONDS: Final = 0.1
"""Seconds without an answer after which a host is asked whether it lives, if it has
answered nothing else meanwhile. Machines that lost power refuse no connection, and
what was sent to one waited 0.45 s to be sent elsewhere, a statement of a transaction
its whole time; it is 0.2 s now, where callers expect the whole answer in 0.1 to 0.5 s.
A call between hosts takes 3 ms, most statements 3 to 30 ms at their target."""

LIVENESS_PROBE_TIMEOUT_SECONDS: Final = 0.1
"""Seconds for the answer that it lives, which takes 3 ms; a host whose share of a
processor is used up stands still for less."""

QUEUE_GRACE_SECONDS: Final = 0.1
"""Seconds beyond the time in which its caller expects the answer for which a read
waits at another host: it may wait there for its turn, and run as it is due."""

OUTCOME_QUERY_TIMEOUT_SECONDS: Final = 0.5
"""Seconds for another host to say again what became of a write."""

SILENT_HOST_RETRY_SECONDS: Final = 0.2
"""Seconds between two statements that try a host which gave no answer."""

FAILOVER_SECONDS: Final = 1.5
"""Seconds in which another host takes over from one that is lost; later what
depends on it is refused at once."""

RETRY_AFTER_MS: Final = 100
"""When to come back after a host gave no answer, in milliseconds."""


class StatementLocation(Record):
    """Say where a transaction runs.

    :param target: empty for the primary.
    """

    __slots__ = ("host", "target")

    def __init__(self, host: HostRef, target: str) -> None:
        self.host = host
        self.target = target


class LocatedResult(Record):
    """Carry an answer with the place that gave it."""

    __slots__ = ("result", "location")

    def __init__(
        self, result: SessionStatementResult, location: StatementLocation
    ) -> None:
        self.result = result
        self.location = location


class StatementForwarder:
    """Have statements run at hosts, and know which of these gave no answer.

    :param is_zone_isolated: says whether this host reaches no other availability zone.
    :ivar lost_since: when hosts first gave no answer, by monotonic time.
    :ivar on_host_lost: is told of a host that gave no answer.
    """

    def __init__(
        self,
        me: HostRef,
        local_handler: StatementServer,
        peers: AnswerTrackingPeers,
        is_zone_isolated: Callable[[], bool],
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.local_handler = local_handler
        self.peers = peers
        self.is_zone_isolated = is_zone_isolated
        self.clock = clock
        self.decisions = decisions
        self.lost_since: dict[str, float] = {}
        self.last_attempt_at: dict[str, float] = {}
        self.rate_limits = RemoteRateLimits(clock)
        self.on_host_lost: Callable[[HostRef], None] = lambda host: None

    def acting_holder(
        self, record: PrimaryLeaseRecord, refused_by_backup: bool
    ) -> HostRef:
        """Return the host that uses the primary: the holder, or its deputy.

        :param refused_by_backup: whether the deputy was asked for this
            statement and does not act.
        """
        holder, deputy = record.holder.ref, record.backup_holder
        if refused_by_backup or deputy is None or holder.host not in self.lost_since:
            return holder
        return holder if deputy.ref.host in self.lost_since else deputy.ref

    async def run_at(
        self, location: StatementLocation, statement: SessionStatement
    ) -> SessionStatementResult:
        """Run a statement at a place.

        :raises Refusal: with a verdict that holds also if the hop breaks.
        """
        if location.host.host == self.me.host:
            return await self.local_handler.execute(statement)
        self.check_host(location.host)
        self.rate_limits.check(location.host.host, statement)
        asked = self.clock.boottime()
        sent_at = self.clock.monotonic()
        if statement.kind is SessionStatementKind.READ and not statement.transaction:
            # The home gives it up before this host does: nobody would wait for it.
            patience = max(
                READ_WAIT_LIMIT_SECONDS,
                statement.soft_deadline_seconds + QUEUE_GRACE_SECONDS,
            )
            statement.remaining = min(statement.remaining, patience - HOP_GRACE_SECONDS)
        timeout = statement.remaining + HOP_GRACE_SECONDS
        try:
            message = await self.call_host(location.host, statement, timeout)
            self.lost_since.pop(location.host.host, None)
            return SessionStatementResult.from_json(message, asked)
        except RefusalError as refusal:
            self.rate_limits.record_refusal(location.host.host, statement, refusal)
            raise
        except WireError as error:
            return await self.resolve_lost_answer(
                location, statement, str(error), True, sent_at
            )
        except PeerError as error:
            return await self.resolve_lost_answer(
                location, statement, str(error), error.sent, sent_at
            )

    async def call_host(
        self, host: HostRef, statement: SessionStatement, timeout: float
    ) -> Json:
        """Send a statement to a host; give it up once the host is found silent.

        What may be in doubt afterwards is waited for to its end.

        :raises PeerError: without an answer.
        :raises Refusal: if the host refuses.
        """
        call = self.peers.call(host, WORK, statement.to_json(), timeout)
        if statement.may_be_in_doubt():
            return await call
        sent_at = self.clock.monotonic()
        answer = asyncio.ensure_future(call)
        try:
            await asyncio.wait({answer}, timeout=LIVENESS_PROBE_DELAY_SECONDS)
            if not answer.done() and not await self.is_alive(host, sent_at, answer):
                raise PeerError(f"{host.host} is silent", sent=True)
            return await answer
        finally:
            answer.cancel()

    async def is_alive(
        self, host: HostRef, since: float, pending_answer: "asyncio.Future[Json]"
    ) -> bool:
        """Say whether a host answers, or has answered anything since then.

        :param pending_answer: an answer of it that would tell, too.
        """
        if self.peers.host_answered_since(host.host, since):
            return True
        try:
            await self.peers.call(host, ALIVE, {}, LIVENESS_PROBE_TIMEOUT_SECONDS)
        except (PeerError, RefusalError) as error:
            # What was sent first may be answered all the same.
            if not pending_answer.done():
                self.decisions.record(
                    "host_not_alive", host=host.host, error=str(error)
                )
            return pending_answer.done()
        return True

    def check_host(self, host: HostRef) -> None:
        """Refuse at once what would wait for a host that is known to be silent.

        Now and then one statement tries it all the same, unless no host of its zone
        can be reached: whether one can is found out without statements then. Sent
        all the same, those of a zone cut off were refused after 0.44 s in the median,
        and writes left in doubt, until the cut was over.

        :raises Refusal: not run.
        """
        if self.in_unreachable_zone(host):
            raise not_run(
                RefusalReason.HOST_UNREACHABLE,
                "no other zone can be reached",
                RETRY_AFTER_MS,
            )
        since = self.lost_since.get(host.host)
        if since is None:
            return
        now = self.clock.monotonic()
        if now - self.last_attempt_at.get(host.host, since) < SILENT_HOST_RETRY_SECONDS:
            raise not_run(
                RefusalReason.HOST_UNREACHABLE,
                f"the host {host.host} is silent",
                RETRY_AFTER_MS,
            )
        self.last_attempt_at[host.host] = now

    def in_unreachable_zone(self, host: HostRef) -> bool:
        """Say whether a host is in another zone, none of which can be reached."""
        return host.zone != self.me.zone and self.is_zone_isolated()

    def expects_failover(self, host: HostRef) -> bool:
        """Say whether a silent host is likely to be replaced soon.

        One beyond a cut is replaced there, where this host learns nothing of it.
        """
        if self.in_unreachable_zone(host):
            return False
        since = self.lost_since.get(host.host)
        return since is None or self.clock.monotonic() - since < FAILOVER_SECONDS

    async def resolve_lost_answer(
        self,
        location: StatementLocation,
        statement: SessionStatement,
        detail: str,
        sent: bool,
        sent_at: float,
    ) -> SessionStatementResult:
        """Find out what became of a statement whose hop broke.

        A read has no effect, and a transaction is rolled back unless its
        commit was sent. What is in doubt is asked for once more.

        A host that has answered others since lives: what was sent waits there for
        a target. Taken for lost, all that it leads would be refused.

        :param sent_at: when the statement was sent, by `Clock.monotonic`.
        :raises Refusal: unless the host still tells the outcome.
        """
        lives = self.peers.host_answered_since(location.host.host, sent_at)
        if not lives:
            self.on_host_lost(location.host)
            self.lost_since.setdefault(location.host.host, self.clock.monotonic())
        self.decisions.record(
            "host_silent",
            id=statement.id,
            host=location.host.host,
            sent=sent,
            lives=lives,
            error=detail,
        )
        text = f"the host {location.host.host} gave no answer"
        if (
            not sent
            or statement.kind is SessionStatementKind.READ
            and not statement.transaction
        ):
            raise not_run(RefusalReason.HOST_UNREACHABLE, text, RETRY_AFTER_MS)
        if not statement.may_be_in_doubt():
            raise not_run(RefusalReason.TRANSACTION_LOST, text, RETRY_AFTER_MS)
        statement.resent = True
        asked = self.clock.boottime()
        try:
            message = await self.peers.call(
                location.host, WORK, statement.to_json(), OUTCOME_QUERY_TIMEOUT_SECONDS
            )
            return SessionStatementResult.from_json(message, asked)
        except (PeerError, WireError) as error:
            raise may_have_run(RefusalReason.HOST_UNREACHABLE, text) from error

    async def roll_back(
        self, service: str, location: StatementLocation, name: str
    ) -> None:
        """Roll a transaction back; without an answer its home does so itself."""
        if location.host.host == self.me.host:
            self.local_handler.roll_back(service, location.target, name)
            return
        body: Json = {"service": service, "target": location.target, "name": name}
        try:
            await self.peers.call(
                location.host, END, body, OUTCOME_QUERY_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError) as error:
            self.decisions.record(
                "rollback_unanswered", host=location.host.host, error=str(error)
            )

    def log_reroute(
        self,
        statement: SessionStatement,
        target: str,
        cause: str,
        min_position: Position | None = None,
    ) -> None:
        """Log that a statement goes elsewhere."""
        position = None if min_position is None else min_position.to_json()
        self.decisions.record(
            "rerouted", id=statement.id, target=target, cause=cause, floor=position
        )
