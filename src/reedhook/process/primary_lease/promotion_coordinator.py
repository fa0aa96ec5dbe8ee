"""Promotion coordinator role, held by one host at a time.

Only the coordinator orders promotions from the platform. Its fencing token is the
revision of the store item that names it.
"""

import asyncio
from abc import ABC, abstractmethod
from enum import Enum
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import Json, WireError, decode, encode, string_field
from ..discovery.key_value_store import Item, KeyValueStore, KeyValueStoreError
from ..discovery.store_revision import NO_REVISION
from ..fleet.membership_record import MembershipState
from ..fleet.membership_table import MembershipTable
from .lease_record import PROMOTION_COORDINATOR_KEY, HostIncarnation

PROMOTE_PATH: Final = "promote"

RESPONSE_TIMEOUT_SECONDS: Final = 1.0
"""Timeout of a call to the store or of the platform's promotion call."""

ORDER_TIMEOUT_SECONDS: Final = 2.5
"""Timeout for the coordinator to read the store and order the promotion; exceeds two
times RESPONSE_TIMEOUT_SECONDS."""

MAX_READ_AGE_SECONDS: Final = 0.5
"""Age of the store read beyond which this host must not order a promotion."""

REPLACE_SILENT_HOLDER_SECONDS: Final = 1.5
"""Time without a response after which another host may replace a coordinator that
is not known to be gone."""

TAKEOVER_DELAY_SECONDS: Final = 1.5
"""Time in which a new coordinator orders nothing, unless its predecessor is known to
be gone: an order of the predecessor may still be in flight."""


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
        :param timeout: seconds.
        """


class PromotionCoordinator:
    """Order promotions as the coordinator, or through the host that holds the role.

    :ivar not_before: `Clock.boottime` before which this host orders nothing.
    :ivar ended_incarnations: incarnations of coordinators that are known to have ended.
    """

    def __init__(
        self,
        me: HostIncarnation,
        keyspace: KeyValueStore,
        promoter: Promoter,
        peers: PeerClient,
        table: MembershipTable,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.keyspace = keyspace
        self.promoter = promoter
        self.peers = peers
        self.table = table
        self.clock = clock
        self.decisions = decisions
        self.lock = asyncio.Lock()
        self.not_before = float("-inf")
        self.ended_incarnations: set[str] = set()
        self.silent: HostIncarnation | None = None
        self.silent_since = 0.0

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handler."""
        routes.add(PROMOTE_PATH, self.handle_promote)

    async def handle_promote(self, body: Json) -> Json:
        """Order a promotion for another host.

        :raises RefusalError: if this host is not the coordinator.
        """
        outcome = await self.order_here(
            string_field(body, "service"), string_field(body, "target")
        )
        if outcome is None:
            raise not_run(
                RefusalReason.WRONG_HOME, "this host is not the promotion coordinator"
            )
        return {"outcome": outcome.value}

    async def order(self, service: str, target: str) -> OrderOutcome:
        """Order the promotion of `target` to primary of `service`.

        The role stays with a live coordinator: alternating coordinators would send
        fencing tokens out of order.
        """
        requested_at = self.clock.boottime()
        try:
            item = await self.keyspace.get(
                PROMOTION_COORDINATOR_KEY, RESPONSE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record("promotion_role_unknown", error=str(error))
            return OrderOutcome.UNANSWERED
        holder = None if item is None else read_holder(item)
        if holder == self.me and item is not None:
            async with self.lock:
                return await self.order_by(item, requested_at, service, target)
        if holder is not None and not self.gone(holder):
            outcome = await self.order_at(holder, service, target)
            if outcome is not None:
                return outcome
            if not self.gone(holder) and not self.is_silent_too_long(holder):
                return OrderOutcome.UNANSWERED
        if not await self.claim_role(item):
            return OrderOutcome.UNANSWERED
        return await self.order_here(service, target) or OrderOutcome.UNANSWERED

    def is_silent_too_long(self, holder: HostIncarnation) -> bool:
        """Return whether a coordinator has been silent long enough to replace it."""
        now = self.clock.monotonic()
        if self.silent != holder:
            self.silent, self.silent_since = holder, now
        return now - self.silent_since >= REPLACE_SILENT_HOLDER_SECONDS

    def gone(self, holder: HostIncarnation) -> bool:
        """Return whether an incarnation of a host is known to have ended."""
        if (
            holder.ref.host == self.me.ref.host
            or holder.incarnation in self.ended_incarnations
        ):
            return True
        record = self.table.get(holder.ref.host)
        return record is not None and record.state >= MembershipState.DEAD

    async def order_at(
        self, holder: HostIncarnation, service: str, target: str
    ) -> OrderOutcome | None:
        """Order through the coordinator; None if it is unreachable or refuses."""
        body: Json = {"service": service, "target": target}
        try:
            answer = await self.peers.call(
                holder.ref, PROMOTE_PATH, body, ORDER_TIMEOUT_SECONDS
            )
            return OrderOutcome(answer["outcome"])
        except RefusalError as refusal:
            # The store names an earlier incarnation of the process at that host.
            if refusal.reason is RefusalReason.WRONG_HOME:
                self.ended_incarnations.add(holder.incarnation)
            cause = refusal.detail
        except (PeerError, LookupError, ValueError) as error:
            cause = str(error)
        self.decisions.record(
            "promotion_role_unreachable", holder=holder.ref.host, error=cause
        )
        return None

    async def order_here(self, service: str, target: str) -> OrderOutcome | None:
        """Order as the coordinator; None if this host is not the coordinator."""
        async with self.lock:
            requested_at = self.clock.boottime()
            try:
                item = await self.keyspace.get(
                    PROMOTION_COORDINATOR_KEY, RESPONSE_TIMEOUT_SECONDS
                )
            except KeyValueStoreError as error:
                self.decisions.record("promotion_role_unknown", error=str(error))
                return OrderOutcome.UNANSWERED
            if item is None or read_holder(item) != self.me:
                return None
            return await self.order_by(item, requested_at, service, target)

    async def order_by(
        self, item: Item, read_at: float, service: str, target: str
    ) -> OrderOutcome:
        """Order under an item that names this host, unless it was read too long ago.

        :param read_at: `Clock.boottime` when the read was sent.
        """
        wait = self.not_before - self.clock.boottime()
        if wait > 0.0 or self.clock.boottime() - read_at > MAX_READ_AGE_SECONDS:
            await self.clock.sleep(max(wait, 0.0))
            return OrderOutcome.UNANSWERED
        return await self.send(service, target, item.revision.number)

    async def send(self, service: str, target: str, token: int) -> OrderOutcome:
        """Send an order to the platform with fencing token `token`."""
        holder = self.me.ref.host
        outcome = await self.promoter.promote(
            service, target, holder, token, RESPONSE_TIMEOUT_SECONDS
        )
        self.decisions.record(
            "promotion_ordered",
            service=service,
            target=target,
            token=token,
            outcome=outcome.value,
        )
        return outcome

    async def claim_role(self, item: Item | None) -> bool:
        """Claim the role from the named host; return whether this host holds it.

        If the response is lost, the next read of the item shows the outcome.
        """
        before = None if item is None else read_holder(item)
        revision = NO_REVISION if item is None else item.revision
        value = encode(self.me.to_json())
        try:
            await self.keyspace.put(
                PROMOTION_COORDINATOR_KEY, value, revision, RESPONSE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record("promotion_role_not_acquired", error=str(error))
            return False
        if before is not None and not self.gone(before):
            self.not_before = self.clock.boottime() + TAKEOVER_DELAY_SECONDS
        self.decisions.record(
            "promotion_role_acquired",
            before=None if before is None else before.ref.host,
        )
        return True


def read_holder(item: Item) -> HostIncarnation | None:
    """Return the coordinator that an item names, or None if it is malformed."""
    try:
        return HostIncarnation.from_json(decode(item.value or b""))
    except WireError:
        return None
