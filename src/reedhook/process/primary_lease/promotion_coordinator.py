"""The duty to order promotions, which one host has at a time."""

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
from ..fleet.membership_record import MembershipState
from ..fleet.membership_table import MembershipTable
from .lease_record import PROMOTION_COORDINATOR_KEY, HostIncarnation

PROMOTE_PATH: Final = "promote"

RESPONSE_TIMEOUT_SECONDS: Final = 1.0
"""Seconds for an answer of the store or of the platform's promotion call."""

ORDER_TIMEOUT_SECONDS: Final = 2.5
"""Seconds for the holder of the duty to look at the store and to order."""

MAX_READ_AGE_SECONDS: Final = 0.5
"""Seconds for which the look that finds this host named permits an order."""

REPLACE_SILENT_HOLDER_SECONDS: Final = 1.5
"""Seconds for which a holder that is not known to be gone must have been silent
before another host takes the duty."""

TAKEOVER_DELAY_SECONDS: Final = 1.5
"""Seconds for which a new holder orders nothing unless its predecessor is
known to be gone: an order of its may be on the way since its last look."""


class OrderOutcome(str, Enum):
    """Name what became of an order to promote."""

    DONE = "done"
    NOT_RUNNING = "not_running"
    UNANSWERED = "unanswered"


class Promoter(ABC):
    """Order promotions at the platform."""

    @abstractmethod
    async def promote(
        self, service: str, target: str, holder: str, token: int, timeout: float
    ) -> OrderOutcome:
        """Order that `target` leads `service`.

        :param holder: the host that has the duty.
        :param token: the fencing token, which rises with each holder.
        :param timeout: seconds.
        """


class PromotionCoordinator:
    """Order promotions for all hosts, or have the holder of the duty do it.

    :ivar ended_incarnations: lives of holders whose hosts have said that they are over.
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
        """Add the handler of this host."""
        routes.add(PROMOTE_PATH, self.handle_promote)

    async def handle_promote(self, body: Json) -> Json:
        """Order a promotion for another host.

        :raises Refusal: if this host does not have the duty.
        """
        outcome = await self.order_here(
            string_field(body, "service"), string_field(body, "target")
        )
        if outcome is None:
            raise not_run(RefusalReason.WRONG_HOME, "this host does not have the duty")
        return {"outcome": outcome.value}

    async def order(self, service: str, target: str) -> OrderOutcome:
        """Order that `target` leads `service`.

        The duty stays where it is while its holder lives: holders that take
        turns would send fencing tokens in the wrong order.
        """
        asked = self.clock.boottime()
        try:
            item = await self.keyspace.get(
                PROMOTION_COORDINATOR_KEY, RESPONSE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record("duty_unknown", error=str(error))
            return OrderOutcome.UNANSWERED
        holder = None if item is None else read_holder(item)
        if holder == self.me and item is not None:
            async with self.lock:
                return await self.order_by(item, asked, service, target)
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
        """Say whether a holder has given no answer for long enough to replace it."""
        now = self.clock.monotonic()
        if self.silent != holder:
            self.silent, self.silent_since = holder, now
        return now - self.silent_since >= REPLACE_SILENT_HOLDER_SECONDS

    def gone(self, holder: HostIncarnation) -> bool:
        """Say whether that life of a host is known to be over."""
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
        """Have the holder order; None if it is not the holder, or is lost."""
        body: Json = {"service": service, "target": target}
        try:
            answer = await self.peers.call(
                holder.ref, PROMOTE_PATH, body, ORDER_TIMEOUT_SECONDS
            )
            return OrderOutcome(answer["outcome"])
        except RefusalError as refusal:
            # The store names that life, and the process there is another one.
            if refusal.reason is RefusalReason.WRONG_HOME:
                self.ended_incarnations.add(holder.incarnation)
            cause = refusal.detail
        except (PeerError, LookupError, ValueError) as error:
            cause = str(error)
        self.decisions.record("duty_unreachable", holder=holder.ref.host, error=cause)
        return None

    async def order_here(self, service: str, target: str) -> OrderOutcome | None:
        """Order as the holder; None if this host is not the holder."""
        async with self.lock:
            asked = self.clock.boottime()
            try:
                item = await self.keyspace.get(
                    PROMOTION_COORDINATOR_KEY, RESPONSE_TIMEOUT_SECONDS
                )
            except KeyValueStoreError as error:
                self.decisions.record("duty_unknown", error=str(error))
                return OrderOutcome.UNANSWERED
            if item is None or read_holder(item) != self.me:
                return None
            return await self.order_by(item, asked, service, target)

    async def order_by(
        self, item: Item, read_at: float, service: str, target: str
    ) -> OrderOutcome:
        """Order by an item that names this host, if it was read just now.

        :param read_at: when the question that found it was sent.
        """
        wait = self.not_before - self.clock.boottime()
        if wait > 0.0 or self.clock.boottime() - read_at > MAX_READ_AGE_SECONDS:
            await self.clock.sleep(max(wait, 0.0))
            return OrderOutcome.UNANSWERED
        return await self.send(service, target, item.revision)

    async def send(self, service: str, target: str, token: int) -> OrderOutcome:
        """Send an order to the platform."""
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
        """Take the duty from who is named; return whether this host has it now.

        Each try has a value of its own, so that a lost answer is resolved by
        the next look.
        """
        before = None if item is None else read_holder(item)
        revision = 0 if item is None else item.revision
        value = encode(self.me.to_json())
        try:
            await self.keyspace.put(
                PROMOTION_COORDINATOR_KEY, value, revision, RESPONSE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record("duty_not_taken", error=str(error))
            return False
        if before is not None and not self.gone(before):
            self.not_before = self.clock.boottime() + TAKEOVER_DELAY_SECONDS
        self.decisions.record(
            "duty_taken", before=None if before is None else before.ref.host
        )
        return True


def read_holder(item: Item) -> HostIncarnation | None:
    """Return the holder that an item names, or None if it is malformed."""
    try:
        return HostIncarnation.from_json(decode(item.value or b""))
    except WireError:
        return None
