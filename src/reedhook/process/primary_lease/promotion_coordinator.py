"""Orders of promotions by one host at a time, the promotion coordinator.

Its fencing token is the revision of the store item that names it.
"""

import asyncio
from abc import ABC, abstractmethod
from enum import Enum
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import Json, non_negative_int_field, string_field
from ..fleet.membership_record import MembershipState
from ..fleet.membership_table import MembershipTable
from .coordinator_role import (
    ORDER_TIMEOUT_SECONDS,
    CoordinatorReading,
    CoordinatorRecord,
    CoordinatorRole,
)
from .holder_failure_detector import HolderFailureDetector
from .lease_record import HostIncarnation

PROMOTE_PATH: Final = "promote"

PROMOTE_CALL_TIMEOUT_SECONDS: Final = 2.5
"""Timeout of a call to the coordinator, which may have to wait before it orders;
exceeds COORDINATOR_WAIT_SECONDS, two reads of the store and the order."""

MAX_READS: Final = 3
"""Reads of the store for one order: each is discarded if its answer took too long."""

REPLACE_SILENT_HOLDER_SECONDS: Final = 1.5
"""Time without a response after which another host may replace a coordinator that
is not found lost."""


class OrderOutcome(str, Enum):
    """Name the outcome of a promotion order."""

    DONE = "done"
    NOT_RUNNING = "not_running"
    UNANSWERED = "unanswered"


class Promoter(ABC):
    """Order promotions from the platform."""

    @abstractmethod
    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        """Order the promotion of `target` to primary of `service`.

        :param holder: the coordinator's host.
        :param token: fencing token, which increases with each coordinator.
        :param timeout: seconds, for the connection and the answer together. The order
            must not be sent later, nor arrive later as far as that can be prevented.
        """


class PromotionCoordinator:
    """Order promotions as the coordinator, or through the host that holds the role."""

    def __init__(
        self,
        role: CoordinatorRole,
        promoter: Promoter,
        peers: PeerClient,
        table: MembershipTable,
        failure_detector: HolderFailureDetector,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.role = role
        self.me = role.me
        self.promoter = promoter
        self.peers = peers
        self.table = table
        self.failure_detector = failure_detector
        self.clock = clock
        self.decisions = decisions
        self.lock = asyncio.Lock()
        self.silent: HostIncarnation | None = None
        self.silent_since = 0.0

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handler."""
        routes.add(PROMOTE_PATH, self.handle_promote)

    async def handle_promote(self, body: Json) -> Json:
        """Order a promotion for another host.

        :raises RefusalError: if this host is not the coordinator.
        """
        epoch = non_negative_int_field(body, "epoch") if "epoch" in body else 0
        outcome = await self.order_here(
            string_field(body, "service"), string_field(body, "target"), epoch
        )
        if outcome is None:
            raise not_run(
                RefusalReason.WRONG_HOME, "this host is not the promotion coordinator"
            )
        return {"outcome": outcome.value}

    async def order(self, service: str, target: str, epoch: int = 0) -> OrderOutcome:
        """Order the promotion of `target` to primary of `service`.

        The role stays with a live coordinator, since each change of the role costs a
        wait before the next order.

        :param epoch: epoch of the store in which the lease record was written.
        """
        reading = await self.role.read()
        if reading is None:
            return OrderOutcome.UNANSWERED
        holder = self.coordinator(reading)
        if reading.holder == self.me:
            outcome = await self.order_here(service, target, epoch, reading)
            return outcome or OrderOutcome.UNANSWERED
        if holder is not None and not self.is_replaceable(holder):
            outcome = await self.order_at(holder, service, target, epoch)
            if outcome is not None:
                return outcome
            if not self.is_replaceable(holder) and not self.is_silent_too_long(holder):
                return OrderOutcome.UNANSWERED
        if not await self.role.claim(reading):
            return OrderOutcome.UNANSWERED
        return await self.order_here(service, target, epoch) or OrderOutcome.UNANSWERED

    def coordinator(self, reading: CoordinatorReading) -> HostIncarnation | None:
        """Return the other host that orders promotions, or None.

        Where a restore has lost or outdated the record, that is the last known one,
        which claims the role again.
        """
        known = reading.holder
        if known is None and reading.epoch and self.role.known is not None:
            known = self.role.known.holder
        return None if known == self.me else known

    def is_silent_too_long(self, holder: HostIncarnation) -> bool:
        """Return whether a coordinator has been silent long enough to replace it."""
        now = self.clock.monotonic()
        if self.silent != holder:
            self.silent, self.silent_since = holder, now
        return now - self.silent_since >= REPLACE_SILENT_HOLDER_SECONDS

    def is_replaceable(self, holder: HostIncarnation) -> bool:
        """Return whether a coordinator has ended or appears to be lost.

        A live coordinator may appear lost; the wait that follows a claim covers it.
        """
        if self.role.has_ended(holder) or self.failure_detector.is_lost(holder.ref):
            return True
        record = self.table.get(holder.ref.host)
        return record is not None and record.state >= MembershipState.DEAD

    async def order_at(
        self, holder: HostIncarnation, service: str, target: str, epoch: int
    ) -> OrderOutcome | None:
        """Order through the coordinator.

        :returns: None if it is unreachable, refuses or is replaced meanwhile.
        """
        call = asyncio.ensure_future(
            self.call_coordinator(holder, service, target, epoch)
        )
        replaced = asyncio.ensure_future(self.role.until_replaced(holder))
        try:
            await asyncio.wait({call, replaced}, return_when=asyncio.FIRST_COMPLETED)
            return call.result() if call.done() else None
        finally:
            call.cancel()
            replaced.cancel()

    async def call_coordinator(
        self, holder: HostIncarnation, service: str, target: str, epoch: int
    ) -> OrderOutcome | None:
        """Have the coordinator order; None if it is unreachable or refuses."""
        body: Json = {"service": service, "target": target}
        if epoch:
            body["epoch"] = epoch
        try:
            answer = await self.peers.call(
                holder.ref, PROMOTE_PATH, body, PROMOTE_CALL_TIMEOUT_SECONDS
            )
            return OrderOutcome(answer["outcome"])
        except RefusalError as refusal:
            # It has lost the role, or the store names an earlier process there.
            if refusal.reason is RefusalReason.WRONG_HOME:
                await self.role.check_ended(holder)
            cause = refusal.detail
        except (PeerError, LookupError, ValueError) as error:
            cause = str(error)
        self.decisions.record(
            "promotion_role_unreachable", holder=holder.ref.host, error=cause
        )
        return None

    async def order_here(
        self,
        service: str,
        target: str,
        epoch: int,
        reading: CoordinatorReading | None = None,
    ) -> OrderOutcome | None:
        """Order as the coordinator; None if this host is not the coordinator.

        :param epoch: epoch of the lease record; the order is refused in another one.
        :param reading: a recent reading of the role, if there is one.
        """
        async with self.lock:
            for _ in range(MAX_READS):
                await self.role.until_free()
                if reading is None or not self.role.permits(reading):
                    reading = await self.role.read()
                if reading is None:
                    return OrderOutcome.UNANSWERED
                if reading.record is None or reading.holder != self.me:
                    return await self.without_role(reading)
                if reading.epoch != epoch:
                    self.decisions.record(
                        "promotion_order_refused",
                        service=service,
                        epoch=epoch,
                        current=reading.epoch,
                    )
                    return OrderOutcome.UNANSWERED
                if self.role.permits(reading):
                    return await self.send(
                        service, target, reading.record, reading.requested_at
                    )
            return OrderOutcome.UNANSWERED

    async def without_role(self, reading: CoordinatorReading) -> OrderOutcome | None:
        """Return the outcome if this host is not named, or not in this epoch.

        If it held the role, it claims it again, and the requester is to ask again. A
        late write of an earlier epoch may have replaced its record at any time.
        """
        known = self.role.known
        if reading.holder is None and known is not None and known.holder == self.me:
            await self.role.claim(reading)
            return OrderOutcome.UNANSWERED
        return None

    async def send(
        self,
        service: str,
        target: str,
        record: CoordinatorRecord,
        requested_at: float,
    ) -> OrderOutcome:
        """Send an order to the platform with the fencing token of `record`.

        :param requested_at: `Clock.boottime` when the read that permits it was sent.
        """
        holder = self.me.ref.host
        read_age = self.clock.boottime() - requested_at
        outcome = await self.promoter.promote(
            service, target, holder, record.token, ORDER_TIMEOUT_SECONDS
        )
        self.decisions.record(
            "promotion_ordered",
            service=service,
            target=target,
            token=record.token,
            revision=record.revision.to_json(),
            read_age=round(read_age, 3),
            outcome=outcome.value,
        )
        return outcome
