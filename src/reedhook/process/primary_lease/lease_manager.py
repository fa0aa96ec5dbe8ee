"""The leads of services: which this host holds, and which it takes over."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

from ...background_tasks import BackgroundTasks
from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import Json, string_field
from ..discovery.announcements import Announcements
from ..discovery.key_value_store import (
    KeyValueStore,
    KeyValueStoreError,
    StoreUnansweredError,
)
from ..fleet.membership_table import MembershipTable
from .backup_holders import BackupHolders
from .holder_failure_detector import HolderFailureDetector
from .holder_ranking import LeaseHolderRanking
from .indirect_prober import CLAIM_PATH, CLAIM_TIMEOUT_SECONDS, IndirectProber
from .lease_claim import STORE_TIMEOUT_SECONDS
from .lease_holder import PrimaryLeaseHolder
from .lease_record import HostIncarnation, PrimaryLeaseRecord, lease_key
from .lease_registry import PrimaryLeaseRegistry
from .other_holders import INCARNATION_PATH, LEASE_STATUS_PATH
from .primary_client import PrimaryClient

LeaseHolderFactory: TypeAlias = Callable[
    [PrimaryLeaseRecord, float], PrimaryLeaseHolder
]

RECORDS_PATH: Final = "records"
CLAIM_LOST_PATH: Final = "take_lost"

MAX_CLAIM_REQUESTS: Final = 4
"""Hosts that are asked in turn to take a lead that this one cannot take."""

CHECK_INTERVAL_SECONDS: Final = 0.2
"""Seconds between two looks at who holds the leads."""

MEMBERSHIP_STABLE_SECONDS: Final = 0.3
"""Seconds for which the known hosts must stay the same, so that those that
start together agree on who takes a lead."""

CLAIM_RETRY_SECONDS: Final = 0.3
"""Seconds until a lead that could not be taken is tried for again."""

RELEASE_WAIT_SECONDS: Final = 0.25
"""Seconds for which the answer to a successor waits for this host to let go; half
of what the successor waits for the answer. Asked again, it would cost 0.5 s."""

DRAIN_TIMEOUT_SECONDS: Final = 2.0
"""Seconds for which transactions may end on a lead that has moved."""


class PrimaryLeaseManager:
    """Hold leads, take over those that nobody holds, pass them on.

    :ivar held: leads of this host, by service.
    :ivar releasing: what lets leads go that have moved, by service.
    :ivar holder_incarnations: life of the last known holder, by service.
    """

    def __init__(
        self,
        me: HostIncarnation,
        keyspace: KeyValueStore,
        announcements: Announcements,
        registry: PrimaryLeaseRegistry,
        table: MembershipTable,
        ranking: LeaseHolderRanking,
        backup_holders: BackupHolders,
        indirect_prober: IndirectProber,
        failure_detector: HolderFailureDetector,
        peers: PeerClient,
        make_lease_holder: LeaseHolderFactory,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.keyspace = keyspace
        self.announcements = announcements
        self.registry = registry
        self.table = table
        self.ranking = ranking
        self.backup_holders = backup_holders
        self.indirect_prober = indirect_prober
        self.failure_detector = failure_detector
        self.peers = peers
        self.make_lease_holder = make_lease_holder
        self.clock = clock
        self.decisions = decisions
        self.held: dict[str, PrimaryLeaseHolder] = {}
        self.releasing: dict[str, asyncio.Task[None]] = {}
        self.holder_incarnations: dict[str, str] = {}
        self.claiming: set[str] = set()
        self.tried_at: dict[str, float] = {}
        self.background = BackgroundTasks(decisions)
        self.leaving = False
        self.wake = asyncio.Event()
        registry.on_change.append(self.handle_record)
        announcements.on_targets.append(self.wake.set)
        # A holder that was lost is replaced 0.1 s sooner than at the next look.
        failure_detector.on_lost = self.wake.set

    def register(self, routes: PeerRoutes) -> None:
        """Add the handlers of this host."""
        routes.add(LEASE_STATUS_PATH, self.handle_lease_status)
        routes.add(CLAIM_PATH, self.handle_claim)
        routes.add(CLAIM_LOST_PATH, self.handle_claim_lost)
        routes.add(RECORDS_PATH, self.answer_records)
        routes.add(INCARNATION_PATH, self.handle_incarnation)

    async def handle_lease_status(self, body: Json) -> Json:
        """Say whether this host may still use the primary of a service.

        A deputy gives its word not to act by the record that the holder has.
        """
        records = body.get("records")
        if isinstance(records, dict):
            self.registry.merge(records, "peer")
        service = string_field(body, "service")
        revision = body.get("revision")
        await self.backup_holders.relinquish(
            service, revision if isinstance(revision, int) else 0
        )
        return {
            "life": self.me.incarnation,
            "holds": not await self.has_released(service),
        }

    async def has_released(self, service: str) -> bool:
        """Say whether this host holds a lead no more, which may be due soon."""
        giving_up = self.releasing.get(service)
        if giving_up is not None:
            await asyncio.wait({giving_up}, timeout=RELEASE_WAIT_SECONDS)
        return service not in self.held

    async def handle_incarnation(self, body: Json) -> Json:
        """Say which life of its process this host is in."""
        return {"life": self.me.incarnation}

    async def handle_claim(self, body: Json) -> Json:
        """Take a lead over at the wish of its holder.

        :raises Refusal: if this host ends itself.
        """
        if self.leaving:
            raise not_run(RefusalReason.DRAINING, "this host ends itself")
        if not self.announcements.store_reached:
            # Said at once: who asks goes on to the next host, or tries the
            # store anew, in place of waiting for a call that fails.
            return {"taken": False}
        service = string_field(body, "service")
        alone = body.get("alone") is True
        return {
            "taken": await self.claim(service, requested=True, no_former_holders=alone)
        }

    async def answer_records(self, body: Json) -> Json:
        """Return what is known of the leads."""
        return {"records": self.registry.to_json()}

    async def run(self) -> None:
        """Take over what nobody holds, until cancelled."""
        while True:
            await self.wait_for_change()
            if self.leaving:
                continue
            for service in list(self.announcements.table.services):
                self.monitor_holder(service)
                if self.should_claim(service):
                    await self.claim(service, requested=False)
                lost = service not in self.held and self.is_claimable(service)
                await self.backup_holders.set_holder_lost(service, lost)

    def primary_client(self, service: str) -> PrimaryClient | None:
        """Return what uses the primary of a service here, or None."""
        lead = self.held.get(service)
        return self.backup_holders.active_holder(service) if lead is None else lead

    async def wait_for_change(self) -> None:
        """Wait for news of a lead or a target, or for the next look."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            # Nothing was heard; it is time to look all the same.
            return
        finally:
            self.wake.clear()

    def monitor_holder(self, service: str) -> None:
        """Ask after the holder of a lead, if this host stands by for it."""
        record = self.registry.get(service)
        if record is None or service in self.held:
            return
        if record.holder.ref.host == self.me.ref.host:
            return
        if self.me.ref in self.ranking.standbys(service, record.holder.ref):
            self.failure_detector.probe_if_due(record.holder.ref)

    def should_claim(self, service: str) -> bool:
        """Say whether this host is to take a lead now."""
        now = self.clock.monotonic()
        if service in self.held:
            return False
        if now - self.tried_at.get(service, float("-inf")) < CLAIM_RETRY_SECONDS:
            return False
        if not self.is_claimable(service) or not self.is_announced(service):
            return False
        record = self.registry.get(service)
        if record is not None and record.holder.ref.host == self.me.ref.host:
            # Others see this host live and leave the lead to it.
            return True
        if record is None:
            if now - self.table.changed_at < MEMBERSHIP_STABLE_SECONDS:
                return False
            return self.ranking.ranked(service)[0] == self.me.ref
        return self.me.ref in self.ranking.standbys(service, record.holder.ref)

    def is_claimable(self, service: str) -> bool:
        """Say whether nobody who lives holds the lead of a service.

        A holder counts as lost once it was asked for in vain; what membership
        says may come from hosts that were cut off themselves.
        """
        record = self.registry.get(service)
        if record is None:
            return True
        if record.holder.ref.host == self.me.ref.host:
            return record.holder.incarnation != self.me.incarnation
        return self.failure_detector.is_lost(record.holder.ref)

    def is_announced(self, service: str) -> bool:
        """Say whether there is a target that leads, or led."""
        return bool(self.ranking.primary_zone(service))

    async def claim(
        self, service: str, requested: bool, no_former_holders: bool = False
    ) -> bool:
        """Take the lead of a service; return whether this host holds it.

        :param requested: whether its holder wants that, so that it need not be
            vacant.
        :param no_former_holders: whether the holder says that no earlier one is left.
        """
        if service in self.held:
            return True
        if service in self.claiming:
            return False
        self.claiming.add(service)
        self.tried_at[service] = self.clock.monotonic()
        try:
            return await self.claim_at_store(service, requested, no_former_holders)
        except StoreUnansweredError as error:
            self.decisions.record("lead_not_taken", service=service, error=str(error))
            if not requested:
                self.background.spawn(self.request_claim_by_others(service))
            return False
        except KeyValueStoreError as error:
            self.decisions.record("lead_not_taken", service=service, error=str(error))
            return False
        finally:
            self.claiming.discard(service)

    async def request_claim_by_others(self, service: str) -> None:
        """Have a host take a lead over that this one cannot take at the store."""
        record = self.registry.get(service)
        if record is None:
            return
        body: Json = {"service": service, "lost": record.holder.ref.to_json()}
        for host in self.indirect_prober.chosen(record.holder.ref.zone)[
            :MAX_CLAIM_REQUESTS
        ]:
            try:
                answer = await self.peers.call(
                    host, CLAIM_LOST_PATH, body, CLAIM_TIMEOUT_SECONDS
                )
            except (PeerError, RefusalError) as error:
                self.decisions.record(
                    "take_unanswered", host=host.host, error=str(error)
                )
                continue
            if answer.get("taken") is True:
                return

    async def handle_claim_lost(self, body: Json) -> Json:
        """Take a lead over if its holder is found lost from here, too."""
        service = string_field(body, "service")
        record = self.registry.get(service)
        if self.leaving or record is None or not self.announcements.store_reached:
            return {"taken": False}
        if record.holder.ref.to_json() != body.get("lost"):
            return {"taken": False}
        await self.failure_detector.probe(record.holder.ref)
        if not self.failure_detector.is_lost(record.holder.ref):
            return {"taken": False}
        return {"taken": await self.claim(service, requested=False)}

    async def claim_at_store(
        self, service: str, requested: bool, no_former_holders: bool
    ) -> bool:
        """Write this host into the record as it stands in the store.

        :raises KeyspaceError: if the store gives no answer.
        """
        key = lease_key(service)
        item = await self.keyspace.get(key, STORE_TIMEOUT_SECONDS)
        if item is not None:
            record = PrimaryLeaseRecord.from_item(item)
            self.registry.update(record, "look")
            if not requested and not self.is_claimable(service):
                return False
            if record.holder != self.me:
                record = record.claimed_by(self.me, no_former_holders)
        else:
            record = PrimaryLeaseRecord(service, self.me, None, [], True, "", 0, "", 0)
        asked = self.clock.boottime()
        revision = await self.keyspace.put(
            key, record.encoded(), record.revision, STORE_TIMEOUT_SECONDS
        )
        self.start_holding(record.with_revision(revision), asked)
        return True

    def start_holding(self, record: PrimaryLeaseRecord, requested_at: float) -> None:
        """Hold a lead from now on."""
        self.decisions.record(
            "lead_taken",
            service=record.service,
            revision=record.revision,
            former=[one.ref.host for one in record.former],
        )
        lead = self.make_lease_holder(record, requested_at)
        self.held[record.service] = lead
        self.registry.update(record, "own")
        lead.start()

    def handle_record(self, record: PrimaryLeaseRecord) -> None:
        """Act on news of who holds a lead.

        A holder in a new life was not the one that was found lost: taking the
        lead from it would cost its callers another change of home.
        """
        self.wake.set()
        if self.holder_incarnations.get(record.service) != record.holder.incarnation:
            self.holder_incarnations[record.service] = record.holder.incarnation
            self.failure_detector.clear_lost(record.holder.ref)
        self.backup_holders.handle_record(record)
        lead = self.held.get(record.service)
        if lead is None or record.holder == self.me or lead.draining:
            return
        if record.revision > lead.record.revision:
            self.spawn_give_up(lead)

    def spawn_give_up(self, lead: PrimaryLeaseHolder) -> None:
        """Let go of a lead in the background."""
        lead.draining = True
        self.releasing[lead.service] = self.background.spawn(self.release(lead))

    async def release(self, lead: PrimaryLeaseHolder) -> None:
        """Let go of a lead once its transactions have ended."""
        await lead.release(DRAIN_TIMEOUT_SECONDS)
        self.releasing.pop(lead.service, None)
        if self.held.get(lead.service) is lead:
            del self.held[lead.service]

    async def transfer_all(self) -> None:
        """Have others take all leads over, as this host ends."""
        self.leaving = True
        await self.backup_holders.close()
        await asyncio.gather(*(self.transfer(one) for one in list(self.held)))

    async def transfer(self, service: str) -> None:
        """Have the next in rank take one lead over."""
        for host in self.ranking.ranked(service):
            if host.host == self.me.ref.host:
                continue
            lead = self.held.get(service)
            alone = lead is not None and lead.others.former_expired()
            if await self.indirect_prober.transfer_lease(service, host, alone):
                self.decisions.record("lead_passed_on", service=service, to=host.host)
                break
        lead = self.held.get(service)
        if lead is not None and not lead.draining:
            self.spawn_give_up(lead)

    async def close(self) -> None:
        """Use no primary any more."""
        await self.backup_holders.close()
        for lead in list(self.held.values()):
            lead.stop()
            lead.validity.revoke()
            if lead.home is not None:
                await lead.home.close()
        self.held.clear()
