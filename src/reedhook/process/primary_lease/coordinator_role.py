"""Role of the promotion coordinator: which host holds it, and when that host may order.

The role is an item in the store that names one host. The platform accepts tokens in
rising order only, so an order of a former coordinator must not arrive after one of its
successor. A coordinator orders within ORDER_PERMIT_SECONDS of having sent the read that
names it, and an order ends within ORDER_TIMEOUT_SECONDS; a successor orders nothing for
the sum of both, counted from when its claim is known to have taken effect.

A restore of the store may lose claims and assigns revisions again, so the epoch is part
of the token, and a record written in an earlier epoch permits no order.
"""

import asyncio
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import PeerClient, PeerError
from ...record import Record
from ...request.refusal import RefusalError
from ...wire import WireError, decode, encode, non_negative_int_field
from ..discovery.key_value_store import Item, KeyValueStore, KeyValueStoreError
from ..discovery.store_revision import NO_REVISION, StoreRevision
from .epoch_age import EpochAge
from .lease_claim import STORE_TIMEOUT_SECONDS
from .lease_record import PROMOTION_COORDINATOR_KEY, HostIncarnation
from .other_holders import INCARNATION_PATH

SLOWEST_STORE_ANSWER_SECONDS: Final = 0.24
"""The slowest answer of a slow store: 60 times 4 ms."""

MIN_WAIT_STORE_ANSWER_RATIO: Final = 4
"""COORDINATOR_WAIT_SECONDS must exceed this multiple of the slowest store answer."""

ORDER_PERMIT_SECONDS: Final = 0.3
"""Time for which a read of the store permits an order, counted from when the read was
sent; exceeds the slowest store answer, since nothing could be ordered otherwise."""

ORDER_TIMEOUT_SECONDS: Final = 0.7
"""Timeout of an order, its connection included; exceeds the longest promotion, 0.6 s,
in case the platform answers only after it."""

COORDINATOR_WAIT_SECONDS: Final = ORDER_PERMIT_SECONDS + ORDER_TIMEOUT_SECONDS
"""Time in which a new coordinator orders nothing, unless its predecessor's process is
known to have ended."""

TOKEN_EPOCH_SHIFT: Final = 40
"""Bits of the token below the epoch; revision numbers stay below 2 ** 40."""

INCARNATION_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of the question whether a coordinator's process has been replaced."""


class CoordinatorRecord(Record):
    """Name the promotion coordinator.

    :param holder: the coordinator; None if the item is malformed.
    :param revision: revision of the item, with the epoch of the answer.
    :param epoch: epoch of the store in which the record was written.
    """

    __slots__ = ("holder", "revision", "epoch")

    def __init__(
        self, holder: HostIncarnation | None, revision: StoreRevision, epoch: int
    ) -> None:
        self.holder = holder
        self.revision = revision
        self.epoch = epoch

    @property
    def confirmed(self) -> bool:
        """Return whether the record was written in the epoch in which it was read."""
        return self.epoch == self.revision.epoch

    @property
    def token(self) -> int:
        """Return the fencing token of orders under this record."""
        return self.epoch << TOKEN_EPOCH_SHIFT | self.revision.number

    def supersedes(self, known: "CoordinatorRecord") -> bool:
        """Return whether this record replaces the known one.

        An unconfirmed one comes from a restored copy and replaces no confirmed one.
        """
        if self.confirmed is not known.confirmed:
            return self.confirmed and self.epoch >= known.epoch
        return self.token > known.token

    def encoded(self) -> bytes:
        """Return the value of the item."""
        message = {} if self.holder is None else self.holder.to_json()
        if self.epoch:
            message["epoch"] = self.epoch
        return encode(message)

    @classmethod
    def from_item(cls, item: Item) -> "CoordinatorRecord":
        """Decode an item of the store."""
        try:
            message = decode(item.value or b"")
            epoch = 0
            if "epoch" in message:
                epoch = non_negative_int_field(message, "epoch")
            return cls(HostIncarnation.from_json(message), item.revision, epoch)
        except WireError:
            return cls(None, item.revision, item.revision.epoch)


class CoordinatorReading(Record):
    """Carry the record that the store returned.

    :param record: None if the store has none.
    :param epoch: epoch of the answer.
    :param requested_at: `Clock.boottime` when the read was sent.
    """

    __slots__ = ("record", "epoch", "requested_at")

    def __init__(
        self, record: CoordinatorRecord | None, epoch: int, requested_at: float
    ) -> None:
        self.record = record
        self.epoch = epoch
        self.requested_at = requested_at

    @property
    def holder(self) -> HostIncarnation | None:
        """Return the coordinator; None if none is named in a confirmed record."""
        if self.record is None or not self.record.confirmed:
            return None
        return self.record.holder


class CoordinatorRole:
    """Read and claim the role, and determine when this host may order under it.

    :ivar known: the latest known record.
    :ivar known_at: `Clock.boottime` when this host first saw it.
    :ivar not_before: `Clock.boottime` before which this host orders nothing.
    :ivar free_from: `Clock.boottime` from which the latest claim of this host permits
        orders; None if that depends on when the claim takes effect.
    :ivar named_at: `Clock.boottime` when the latest read was sent, or claim made, that
        showed this host as the coordinator.
    :ivar ended_incarnations: incarnations of coordinators that are known to have ended.
    :ivar changed: set, and replaced by a new event, when another record is known.
    """

    def __init__(
        self,
        me: HostIncarnation,
        keyspace: KeyValueStore,
        peers: PeerClient,
        epoch_age: EpochAge,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.keyspace = keyspace
        self.peers = peers
        self.epoch_age = epoch_age
        self.clock = clock
        self.decisions = decisions
        self.known: CoordinatorRecord | None = None
        self.known_at = float("-inf")
        self.not_before = float("-inf")
        self.free_from: float | None = None
        self.named_at = float("-inf")
        self.ended_incarnations: set[str] = set()
        self.changed = asyncio.Event()
        self.claim_lock = asyncio.Lock()

    def handle_item(self, item: Item) -> None:
        """Process a changed item of the store; ignore other keys."""
        if item.key == PROMOTION_COORDINATOR_KEY and item.value is not None:
            self.observe(CoordinatorRecord.from_item(item))

    async def read(self) -> CoordinatorReading | None:
        """Read the record from the store; None if the store does not respond."""
        requested_at = self.clock.boottime()
        try:
            item = await self.keyspace.get(
                PROMOTION_COORDINATOR_KEY, STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record("promotion_role_unknown", error=str(error))
            return None
        if item is None:
            return CoordinatorReading(None, self.keyspace.epoch.current, requested_at)
        record = CoordinatorRecord.from_item(item)
        self.observe(record)
        reading = CoordinatorReading(record, item.revision.epoch, requested_at)
        if reading.holder == self.me:
            self.named_at = max(self.named_at, requested_at)
        return reading

    def observe(self, record: CoordinatorRecord) -> None:
        """Keep a record if it is newer; start the wait if it is this host's claim.

        The record of a claim whose answer was lost is first seen by a read or by an
        update, and may have taken effect at any time before.
        """
        if self.known is not None and not record.supersedes(self.known):
            return
        now = self.clock.boottime()
        self.known, self.known_at = record, now
        if record.holder == self.me and record.confirmed:
            free_from = self.free_from
            if free_from is None:
                free_from = now + COORDINATOR_WAIT_SECONDS
            # An earlier wait, for an earlier predecessor, still applies.
            self.not_before = max(self.not_before, free_from)
        self.changed.set()
        self.changed = asyncio.Event()

    async def until_replaced(self, holder: HostIncarnation) -> None:
        """Wait until the latest known record does not name `holder`."""
        while self.known is None or self.known.holder == holder:
            await self.changed.wait()

    async def until_free(self) -> None:
        """Wait until no order of a predecessor can be in flight."""
        while (wait := self.not_before - self.clock.boottime()) > 0.0:
            await self.clock.sleep(wait)

    def permits(self, reading: CoordinatorReading) -> bool:
        """Return whether this host may order now under a record just read."""
        now = self.clock.boottime()
        return (
            reading.holder == self.me
            and reading.epoch == self.keyspace.epoch.current
            and now >= self.not_before
            and now - reading.requested_at <= ORDER_PERMIT_SECONDS
        )

    def has_ended(self, holder: HostIncarnation) -> bool:
        """Return whether the process of a coordinator is known to have ended.

        That membership holds the host for dead does not show it: a live host may be
        cut off, and its last order in flight.
        """
        if holder.ref.host == self.me.ref.host:
            return holder.incarnation != self.me.incarnation
        return holder.incarnation in self.ended_incarnations

    async def check_ended(self, holder: HostIncarnation) -> bool:
        """Ask the host of a coordinator whether another process runs there."""
        try:
            answer = await self.peers.call(
                holder.ref, INCARNATION_PATH, {}, INCARNATION_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return False
        incarnation = answer.get("life")
        if isinstance(incarnation, str) and incarnation != holder.incarnation:
            self.ended_incarnations.add(holder.incarnation)
        return self.has_ended(holder)

    async def claim(self, reading: CoordinatorReading) -> bool:
        """Claim the role from a predecessor; return whether this host holds it.

        If the response is lost, the next read or update shows the outcome.
        """
        before = reading.record
        async with self.claim_lock:
            expected = NO_REVISION if before is None else before.revision
            self.free_from = self.order_time_after(reading)
            record = CoordinatorRecord(self.me, expected, reading.epoch)
            requested_at = self.clock.boottime()
            try:
                revision = await self.keyspace.put(
                    PROMOTION_COORDINATOR_KEY,
                    record.encoded(),
                    expected,
                    STORE_TIMEOUT_SECONDS,
                )
            except KeyValueStoreError as error:
                self.decisions.record("promotion_role_not_acquired", error=str(error))
                return False
            record = CoordinatorRecord(self.me, revision, reading.epoch)
            self.observe(record)
            if not record.confirmed:
                # The store was restored before it took the write.
                return False
            self.named_at = max(self.named_at, requested_at)
        wait = max(self.not_before - self.clock.boottime(), 0.0)
        self.decisions.record(
            "promotion_role_acquired",
            before=(
                None
                if before is None or before.holder is None
                else before.holder.ref.host
            ),
            wait=round(wait, 2),
        )
        return True

    def order_time_after(self, reading: CoordinatorReading) -> float | None:
        """Return the time from which a claim permits orders; None if not known yet.

        If the predecessor has ended, the coordinator before it may still have an order
        in flight, until a wait after this host first saw the predecessor's record.
        """
        before = reading.record
        if before is None or not before.confirmed:
            never_claimed = before is None and reading.epoch == 0
            held = never_claimed or self.held_at_restore()
            return float("-inf") if held else None
        if before != self.known or before.holder is None:
            return None
        if not self.has_ended(before.holder):
            return None
        return self.known_at + COORDINATOR_WAIT_SECONDS

    def held_at_restore(self) -> bool:
        """Return whether no other host can have ordered since this one held the role.

        The restore may have lost another host's claim. That host then waited before it
        ordered, and the read that permitted the order was sent at most
        ORDER_PERMIT_SECONDS before the end of its wait.
        """
        known = self.known
        if known is None or known.holder != self.me:
            return False
        if known.epoch >= self.keyspace.epoch.current:
            # Its record was replaced later than the restore.
            return False
        first_read = self.named_at + COORDINATOR_WAIT_SECONDS - ORDER_PERMIT_SECONDS
        return first_read >= self.epoch_age.learned_at
