"""Forwards statements from the host of a session to the home of a target."""

import asyncio
from collections.abc import Callable
from copy import copy
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
from .caller_presence import caller_gone_refusal, current_presence
from .position import Position
from .refusal import RefusalError, RefusalReason, may_have_run, not_run
from .remote_rate_limits import RemoteRateLimits
from .session_statement import (
    SessionStatement,
    SessionStatementKind,
    SessionStatementResult,
)
from .target_load import TargetLoad

PEER_CALL_GRACE_SECONDS: Final = 0.05
"""Time after the deadline in which another host's result may still arrive."""

READ_WAIT_LIMIT_SECONDS: Final = 0.45
"""Time after which a read without a result is retried elsewhere. It must exceed the
read timeout that the other host applies to its target."""

LIVENESS_PROBE_DELAY_SECONDS: Final = 0.1
"""Time without a result before an otherwise quiet host is probed. A machine that
lost power refuses no connection, so calls to it would only time out."""

LIVENESS_PROBE_TIMEOUT_SECONDS: Final = 0.1
"""Must exceed the pauses of a live host whose CPU quota is used up."""

QUEUE_GRACE_SECONDS: Final = 0.1
"""Time beyond its soft deadline that a read may take at another host, since it may
wait in the slot queue until the soft deadline and run then."""

OUTCOME_QUERY_TIMEOUT_SECONDS: Final = 0.5
"""Timeout of a repeated call that retrieves the outcome of a write."""

UNRESPONSIVE_HOST_RETRY_SECONDS: Final = 0.2
"""Interval at which one statement tries an unresponsive host again."""

FAILOVER_SECONDS: Final = 1.5
"""Time in which another host takes over from a lost host. Afterwards, statements
that need the lost host are refused at once."""

RETRY_AFTER_MS: Final = 100


class StatementLocation(Record):
    """Identify the host and target that run a transaction.

    :param target: empty for the primary.
    """

    __slots__ = ("host", "target")

    def __init__(self, host: HostRef, target: str) -> None:
        self.host = host
        self.target = target


class LocatedResult(Record):
    """Carry a result with the location that produced it."""

    __slots__ = ("result", "location")

    def __init__(
        self, result: SessionStatementResult, location: StatementLocation
    ) -> None:
        self.result = result
        self.location = location


class StatementForwarder:
    """Run statements at this host or at others, and track unresponsive hosts.

    :param is_zone_isolated: returns whether this host reaches no other availability
        zone.
    :ivar lost_since: monotonic time of the first lost answer, by unresponsive host.
    :ivar last_attempt_at: monotonic time of the last retry, by unresponsive host.
    :ivar on_host_lost: called with a host that did not answer.
    :ivar on_load: called with the load report of each result; None to ignore them.
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
        self.on_load: Callable[[TargetLoad], object] | None = None

    def acting_holder(
        self, record: PrimaryLeaseRecord, refused_by_backup: bool
    ) -> HostRef:
        """Return the host that uses the primary: the holder or its backup holder.

        :param refused_by_backup: whether the backup holder has refused this statement.
        """
        holder, backup = record.holder.ref, record.backup_holder
        if refused_by_backup or backup is None or holder.host not in self.lost_since:
            return holder
        return holder if backup.ref.host in self.lost_since else backup.ref

    async def run_at(
        self, location: StatementLocation, statement: SessionStatement
    ) -> SessionStatementResult:
        """Run a statement at a location.

        :raises RefusalError: with a correct verdict even if the connection fails.
        """
        if location.host.host == self.me.host:
            result = await self.local_handler.execute(statement)
            if result.load is not None and self.on_load is not None:
                self.on_load(result.load)
            return result
        self.check_host(location.host)
        self.rate_limits.check(location.host.host, statement)
        requested_at = self.clock.boottime()
        sent_at = self.clock.monotonic()
        if statement.kind is SessionStatementKind.READ and not statement.transaction:
            # The home must give up first, or it would run a read nobody waits for.
            wait_limit = max(
                READ_WAIT_LIMIT_SECONDS,
                statement.soft_deadline_seconds + QUEUE_GRACE_SECONDS,
            )
            # The limit is that of this call. Other attempts, also concurrent ones,
            # date both deadlines from the remaining time.
            statement = copy(statement)
            statement.remaining = min(
                statement.remaining, wait_limit - PEER_CALL_GRACE_SECONDS
            )
        timeout = statement.remaining + PEER_CALL_GRACE_SECONDS
        try:
            message = await self.call_host(location.host, statement, timeout)
            self.lost_since.pop(location.host.host, None)
            self.read_load(location, message, sent_at)
            return SessionStatementResult.from_json(message, requested_at)
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

    def read_load(
        self, location: StatementLocation, message: Json, requested_at: float
    ) -> None:
        """Keep the load report of a result, if it has a valid one.

        :param requested_at: when the statement was sent, by `Clock.monotonic`.
        """
        report = message.get("load")
        if report is None or self.on_load is None:
            return
        try:
            self.on_load(TargetLoad.from_json(report, requested_at))
        except WireError as error:
            self.decisions.record(
                "load_report_invalid", source=location.host.host, error=str(error)
            )

    async def call_host(
        self, host: HostRef, statement: SessionStatement, timeout: float
    ) -> Json:
        """Send a statement to a host; cancel the call if the host fails a probe.

        A statement that may be in doubt without its result is not cancelled for that.
        Any call is cancelled if the caller disconnects, so that a statement that still
        waits at the other host leaves its queue.

        :raises PeerError: if the host does not answer.
        :raises RefusalError: if the host refuses, or the caller has disconnected.
        """
        presence = current_presence()
        if presence.gone:
            raise caller_gone_refusal()
        task = asyncio.current_task()
        assert task is not None
        presence.listeners.add(task.cancel)
        try:
            return await self.wait_for_answer(host, statement, timeout)
        except asyncio.CancelledError:
            # As in `asyncio.timeout`: others may have cancelled the task as well.
            if not presence.gone or task.uncancel() > 0:
                raise
            if statement.may_be_in_doubt():
                raise may_have_run(
                    RefusalReason.CALLER_GONE, "the caller has disconnected"
                ) from None
            raise caller_gone_refusal() from None
        finally:
            presence.listeners.discard(task.cancel)

    async def wait_for_answer(
        self, host: HostRef, statement: SessionStatement, timeout: float
    ) -> Json:
        """Send a statement and return the answer; raise as `call_host`."""
        call = self.peers.call(host, WORK, statement.to_json(), timeout)
        if statement.may_be_in_doubt():
            return await call
        sent_at = self.clock.monotonic()
        answer = asyncio.ensure_future(call)
        try:
            await asyncio.wait({answer}, timeout=LIVENESS_PROBE_DELAY_SECONDS)
            if not answer.done() and not await self.is_alive(host, sent_at, answer):
                raise PeerError(f"{host.host} is unresponsive", sent=True)
            return await answer
        finally:
            answer.cancel()

    async def is_alive(
        self, host: HostRef, since: float, pending_answer: "asyncio.Future[Json]"
    ) -> bool:
        """Return whether a host answers a probe or has answered any call since.

        :param since: monotonic time from which answers count.
        :param pending_answer: a call in progress whose completion proves it, too.
        """
        if self.peers.host_answered_since(host.host, since):
            return True
        try:
            await self.peers.call(host, ALIVE, {}, LIVENESS_PROBE_TIMEOUT_SECONDS)
        except (PeerError, RefusalError) as error:
            # The first call may have completed during the probe.
            if not pending_answer.done():
                self.decisions.record(
                    "host_unresponsive", host=host.host, error=str(error)
                )
            return pending_answer.done()
        return True

    def check_host(self, host: HostRef) -> None:
        """Refuse at once a statement for a host that is known to be unresponsive.

        One statement in each `UNRESPONSIVE_HOST_RETRY_SECONDS` tries the host again.
        None does while this host reaches no other zone: such statements would time
        out or leave writes in doubt, and reachability is probed without them.

        :raises RefusalError: not run.
        """
        if self.in_unreachable_zone(host):
            raise not_run(
                RefusalReason.HOST_UNREACHABLE,
                "no other availability zone can be reached",
                RETRY_AFTER_MS,
            )
        since = self.lost_since.get(host.host)
        if since is None:
            return
        now = self.clock.monotonic()
        if (
            now - self.last_attempt_at.get(host.host, since)
            < UNRESPONSIVE_HOST_RETRY_SECONDS
        ):
            raise not_run(
                RefusalReason.HOST_UNREACHABLE,
                f"the host {host.host} is unresponsive",
                RETRY_AFTER_MS,
            )
        self.last_attempt_at[host.host] = now

    def in_unreachable_zone(self, host: HostRef) -> bool:
        """Return whether a host is in another zone while no other zone is reachable."""
        return host.zone != self.me.zone and self.is_zone_isolated()

    def expects_failover(self, host: HostRef) -> bool:
        """Return whether an unresponsive host is likely to be replaced soon.

        The replacement of a host on the other side of a network partition is not
        visible here.
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
        """Determine the outcome of a statement whose result was lost.

        A read has no effect, and a transaction is rolled back unless its commit was
        sent. The outcome of a statement in doubt is queried once more.

        A host that has answered other calls since `sent_at` is alive, and the
        statement waits there for its target. If it counted as lost, all statements
        for its primary leases would be refused.

        :param sent_at: when the statement was sent, by `Clock.monotonic`.
        :raises RefusalError: unless the host returns the outcome.
        """
        host_alive = self.peers.host_answered_since(location.host.host, sent_at)
        if not host_alive:
            self.on_host_lost(location.host)
            self.lost_since.setdefault(location.host.host, self.clock.monotonic())
        self.decisions.record(
            "host_silent",
            id=statement.id,
            host=location.host.host,
            sent=sent,
            lives=host_alive,
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
        requested_at = self.clock.boottime()
        try:
            message = await self.peers.call(
                location.host, WORK, statement.to_json(), OUTCOME_QUERY_TIMEOUT_SECONDS
            )
            return SessionStatementResult.from_json(message, requested_at)
        except (PeerError, WireError) as error:
            raise may_have_run(RefusalReason.HOST_UNREACHABLE, text) from error

    async def roll_back(
        self, service: str, location: StatementLocation, name: str
    ) -> None:
        """Roll back a transaction; if the call fails, its home does so on timeout."""
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
        """Record that a statement is rerouted away from `target`."""
        position = None if min_position is None else min_position.to_json()
        self.decisions.record(
            "rerouted", id=statement.id, target=target, cause=cause, floor=position
        )
