"""Records for claims of leases whose record a restore of the store may have lost.

After a restore the store holds the record of a copy, or none. Hosts remember records
that were written after the copy; a claimer takes over the newest one that it knows or
that other hosts know.
"""

import asyncio
from typing import Final

from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from ...wire import Json, WireError
from ..discovery.store_revision import StoreRevision
from .indirect_prober import IndirectProber
from .lease_record import HostIncarnation, PrimaryLeaseRecord
from .lease_registry import PrimaryLeaseRegistry

RECORDS_PATH: Final = "records"

MAX_RECORD_REQUESTS: Final = 4
"""Hosts asked for a record, in different zones as far as possible; each follows the
store through another relay or zone, so that one of them has heard of a late record."""

RECORDS_TIMEOUT_SECONDS: Final = 0.25
"""Timeout of such a request; a claim waits for the slowest of them."""


class LeaseRecovery:
    """Collect what hosts remember of a lease record, and make the claimer's record."""

    def __init__(
        self,
        me: HostIncarnation,
        registry: PrimaryLeaseRegistry,
        indirect_prober: IndirectProber,
        peers: PeerClient,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.registry = registry
        self.indirect_prober = indirect_prober
        self.peers = peers
        self.decisions = decisions

    async def learn(self, service: str) -> None:
        """Ask other hosts for the record of a service, and keep the newest one."""
        hosts = self.indirect_prober.chosen(self.me.ref.zone)[:MAX_RECORD_REQUESTS]
        await asyncio.gather(*(self.learn_from(host, service) for host in hosts))

    async def learn_from(self, host: HostRef, service: str) -> None:
        """Ask one host for the record of a service."""
        body: Json = {"service": service}
        try:
            answer = await self.peers.call(
                host, RECORDS_PATH, body, RECORDS_TIMEOUT_SECONDS
            )
            self.registry.merge(answer["records"], host.host)
        except (PeerError, RefusalError, WireError, LookupError) as error:
            self.decisions.record("records_unknown", host=host.host, error=str(error))

    def claimed_record(
        self,
        service: str,
        stored: PrimaryLeaseRecord | None,
        revision: StoreRevision,
    ) -> PrimaryLeaseRecord:
        """Return the record of this host as the holder.

        :param stored: the unconfirmed record in the store, if there is one.
        :param revision: revision of the item that the record replaces.
        """
        known = self.registry.get(service) or stored
        if known is None:
            known = PrimaryLeaseRecord(
                service, self.me, None, [], True, "", 0, "", revision
            )
        if known.holder != self.me:
            known = known.claimed_by(self.me)
        return known.in_epoch(revision).with_inherited_successor()
