"""Challenges of lease holders that no other host can confirm to be lost.

A host that is the only one left cannot tell a lost holder from a broken link. It then
asks through the store: it writes a challenge, and a holder that reaches the store
answers by writing its lease record again. If the record stays as it is, its holder is
lost, or cut off from the store as well, and the lease may be claimed.
"""

from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...record import Record
from ...wire import encode
from ..discovery.announcements import SYSTEM_KEY_PREFIX, Announcements
from ..discovery.key_value_store import Item, KeyValueStore, KeyValueStoreError
from ..discovery.store_revision import NO_REVISION, StoreRevision
from .lease_claim import STORE_TIMEOUT_SECONDS
from .lease_record import HostIncarnation, PrimaryLeaseRecord

CHALLENGE_KEY_PREFIX: Final = f"{SYSTEM_KEY_PREFIX}challenge/"

ANSWER_SECONDS: Final = 5.0
"""Time for the holder to answer: a watch that has gone silent is noticed after 2.5 s,
and the answer takes a few calls to the store."""

RETRY_SECONDS: Final = 6.0
"""Interval of challenges to the same lease; each one costs the holder a write."""


class StandingChallenge(Record):
    """Carry a challenge of this host.

    :param order: order of the challenged record.
    :param sent_at: `Clock.monotonic` before it was sent.
    :param stored_at: `Clock.monotonic` after the store took it; None before.
    """

    __slots__ = ("order", "sent_at", "stored_at")

    def __init__(
        self, order: StoreRevision, sent_at: float, stored_at: float | None
    ) -> None:
        self.order = order
        self.sent_at = sent_at
        self.stored_at = stored_at


class LeaseChallenges:
    """Challenge holders of leases, and track challenges by other hosts.

    :ivar revisions: revision of the latest challenge, by service.
    :ivar standing: the latest challenge of this host, by service.
    """

    def __init__(
        self,
        me: HostIncarnation,
        keyspace: KeyValueStore,
        announcements: Announcements,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.keyspace = keyspace
        self.clock = clock
        self.decisions = decisions
        self.revisions: dict[str, StoreRevision] = {}
        self.standing: dict[str, StandingChallenge] = {}
        announcements.on_host_item.append(self.handle_item)

    def handle_item(self, item: Item) -> None:
        """Process a changed item of the store; ignore other keys."""
        if item.key.startswith(CHALLENGE_KEY_PREFIX):
            self.revisions[item.key[len(CHALLENGE_KEY_PREFIX) :]] = item.revision

    def is_challenged(self, record: PrimaryLeaseRecord) -> bool:
        """Return whether a record was challenged since it was written."""
        return self.revisions.get(record.service, NO_REVISION) > record.revision

    async def challenge(self, record: PrimaryLeaseRecord) -> None:
        """Challenge the holder of a record, unless that was done recently."""
        now = self.clock.monotonic()
        known = self.standing.get(record.service)
        if known is not None and now - known.sent_at < RETRY_SECONDS:
            return
        self.standing[record.service] = StandingChallenge(record.order, now, None)
        self.decisions.record(
            "lease_challenged",
            service=record.service,
            holder=record.holder.ref.host,
            revision=record.revision.to_json(),
        )
        key = CHALLENGE_KEY_PREFIX + record.service
        try:
            await self.keyspace.put(
                key, encode(self.me.to_json()), None, STORE_TIMEOUT_SECONDS
            )
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_challenge_not_written", service=record.service, error=str(error)
            )
            return
        stored_at = self.clock.monotonic()
        self.standing[record.service] = StandingChallenge(record.order, now, stored_at)

    def is_unanswered(self, record: PrimaryLeaseRecord) -> bool:
        """Return whether the holder of a record has not answered in time.

        Whoever acts on it has to read the record again: a holder may have answered
        while this host received no updates.
        """
        known = self.standing.get(record.service)
        if known is None or known.stored_at is None or known.order != record.order:
            return False
        return self.clock.monotonic() - known.stored_at >= ANSWER_SECONDS
