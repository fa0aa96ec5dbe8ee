"""Primary leases of this host: holding, claiming and transferring them."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias

from ...background_tasks import BackgroundTasks
from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError, RefusalReason, not_run
from ...wire import Json, WireError, string_field
from ..discovery.announcements import Announcements
from ..discovery.key_value_store import (
    KeyValueStore,
    KeyValueStoreError,
    StoreUnansweredError,
)
from ..discovery.store_revision import NO_REVISION, StoreRevision
from ..fleet.membership_table import MembershipTable
from .backup_holders import BackupHolders
from .former_wait import UNKNOWN_WAIT, FormerHolderWait
from .holder_failure_detector import HolderFailureDetector
from .holder_ranking import LeaseHolderRanking
from .indirect_prober import CLAIM_PATH, CLAIM_TIMEOUT_SECONDS, IndirectProber
from .lease_challenge import LeaseChallenges
from .lease_claim import STORE_TIMEOUT_SECONDS
from .lease_holder import PrimaryLeaseHolder
from .lease_record import HostIncarnation, PrimaryLeaseRecord, lease_key
from .lease_recovery import RECORDS_PATH, LeaseRecovery
from .lease_registry import PrimaryLeaseRegistry
from .other_holders import INCARNATION_PATH, LEASE_STATUS_PATH
from .primary_client import PrimaryClient
from .stop_announcer import STOPPED_PATH, StopAnnouncer

LeaseHolderFactory: TypeAlias = Callable[
    [PrimaryLeaseRecord, float], PrimaryLeaseHolder
]

CLAIM_LOST_PATH: Final = "take_lost"

MAX_CLAIM_REQUESTS: Final = 4
"""Hosts asked in turn to claim a lease that this host cannot claim."""

CHECK_INTERVAL_SECONDS: Final = 0.2

MEMBERSHIP_STABLE_SECONDS: Final = 0.3
"""Time without membership changes before a first claim, so that hosts starting
together agree on the holder."""

CLAIM_RETRY_SECONDS: Final = 0.3

LEARN_INTERVAL_SECONDS: Final = 1.0
"""Interval at which a host that knows an unconfirmed record asks for a newer one."""

RELEASE_WAIT_SECONDS: Final = 0.25
"""Half of STOP_CONFIRMATION_TIMEOUT_SECONDS, the successor's timeout for the
response."""

DRAIN_TIMEOUT_SECONDS: Final = 2.0
"""Time for open transactions to end on a lease that another host has claimed."""


class PrimaryLeaseManager:
    """Hold leases, claim vacant ones, and transfer them to other hosts.

    :ivar held: leases of this host, by service.
    :ivar releasing: tasks that release leases claimed by other hosts, by service.
    :ivar holder_incarnations: incarnation of the last known holder, by service.
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
        challenges: LeaseChallenges,
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
        self.challenges = challenges
        self.peers = peers
        self.make_lease_holder = make_lease_holder
        self.clock = clock
        self.decisions = decisions
        self.held: dict[str, PrimaryLeaseHolder] = {}
        self.releasing: dict[str, asyncio.Task[None]] = {}
        self.holder_incarnations: dict[str, str] = {}
        self.claiming: set[str] = set()
        self.tried_at: dict[str, float] = {}
        self.learned_at: dict[str, float] = {}
        self.recovery = LeaseRecovery(me, registry, indirect_prober, peers, decisions)
        self.stop_announcer = StopAnnouncer(
            me, registry, self.may_use_primary, peers, clock, decisions
        )
        self.background = BackgroundTasks(decisions)
        self.leaving = False
        self.wake = asyncio.Event()
        registry.on_change.append(self.handle_record)
        keyspace.epoch.on_change.append(self.handle_epoch)
        announcements.on_targets.append(self.wake.set)
        # Claim the lease of a lost holder without waiting for the next check.
        failure_detector.on_lost = self.wake.set

    def register(self, routes: PeerRoutes) -> None:
        """Add the peer handlers."""
        routes.add(LEASE_STATUS_PATH, self.handle_lease_status)
        routes.add(CLAIM_PATH, self.handle_claim)
        routes.add(CLAIM_LOST_PATH, self.handle_claim_lost)
        routes.add(RECORDS_PATH, self.answer_records)
        routes.add(INCARNATION_PATH, self.handle_incarnation)
        routes.add(STOPPED_PATH, self.handle_stopped)

    async def handle_lease_status(self, body: Json) -> Json:
        """Report whether this host may still use the primary of a service.

        A backup holder gives up the records up to the requested revision.
        """
        records = body.get("records")
        if isinstance(records, dict):
            self.registry.merge(records, "peer")
        service = string_field(body, "service")
        await self.backup_holders.relinquish(service, revision_field(body, "revision"))
        return {
            "life": self.me.incarnation,
            "holds": not await self.has_released(service),
        }

    async def has_released(self, service: str) -> bool:
        """Return whether the lease is released, after a short wait if it is due."""
        release_task = self.releasing.get(service)
        if release_task is not None:
            await asyncio.wait({release_task}, timeout=RELEASE_WAIT_SECONDS)
        return service not in self.held

    async def handle_incarnation(self, body: Json) -> Json:
        """Report the incarnation of this host.

        :raises RefusalError: if this host is shutting down, since it is asked in order
            to become backup holder.
        """
        if self.leaving:
            raise leaving_refusal()
        return {"life": self.me.incarnation}

    async def handle_stopped(self, body: Json) -> Json:
        """Process the statement of a stopping host; see `StopAnnouncer`."""
        service, incarnation = string_field(body, "service"), string_field(body, "life")
        holder = self.held.get(service)
        if holder is None or holder.draining:
            return {"noted": False}
        holder.handle_ended(incarnation)
        return {"noted": True}

    async def handle_claim(self, body: Json) -> Json:
        """Claim a lease at the request of its holder.

        :raises RefusalError: if this host is shutting down.
        """
        if self.leaving:
            raise leaving_refusal()
        if not self.announcements.store_reached:
            # Fail fast, so that the holder asks another host or retries the store.
            return {"taken": False}
        service = string_field(body, "service")
        wait = FormerHolderWait.from_json(body)
        return {"taken": await self.claim(service, requested=True, wait=wait)}

    async def answer_records(self, body: Json) -> Json:
        """Report the known lease records, or that of one service."""
        service = body.get("service")
        return {
            "records": self.registry.to_json(
                service if isinstance(service, str) else ""
            )
        }

    async def run(self) -> None:
        """Claim vacant leases until cancelled."""
        while True:
            await self.wait_for_change()
            if self.leaving:
                continue
            for service in list(self.announcements.table.services):
                self.learn_if_due(service)
                self.monitor_holder(service)
                await self.challenge_if_due(service)
                if self.should_claim(service):
                    await self.claim(service, requested=False)
                lost = service not in self.held and self.is_holder_silent(service)
                await self.backup_holders.set_holder_lost(service, lost)

    def handle_epoch(self, epoch: int) -> None:
        """Prepare the held leases for a restored store; release expired ones.

        If a lease has expired, another host may have claimed it and have ordered a
        promotion in a record that is lost, so that this host has to claim it anew.
        """
        for service, holder in self.held.items():
            if holder.validity.valid:
                holder.handle_epoch()
            elif not holder.draining:
                self.decisions.record(
                    "lease_expired_at_restore", service=service, epoch=epoch
                )
                self.spawn_release(holder)
        self.wake.set()

    def learn_if_due(self, service: str) -> None:
        """Ask other hosts for a record if the store has lost the newest one.

        Otherwise hosts that started after a restore would probe the holder that the
        restored copy names.
        """
        record = self.registry.get(service)
        if record is None or record.confirmed or service in self.held:
            return
        now = self.clock.monotonic()
        if now - self.learned_at.get(service, float("-inf")) < LEARN_INTERVAL_SECONDS:
            return
        self.learned_at[service] = now
        self.background.spawn(self.recovery.learn(service))

    def primary_client(self, service: str) -> PrimaryClient | None:
        """Return the client that uses the primary of a service here, or None."""
        holder = self.held.get(service)
        return self.backup_holders.active_holder(service) if holder is None else holder

    def may_use_primary(self, service: str) -> bool:
        """Return whether this host may use the primary of a service, or soon could."""
        if service in self.held or service in self.claiming:
            return True
        return self.backup_holders.may_use_primary(service)

    async def wait_for_change(self) -> None:
        """Wait for a change of a lease or a target, or for the next check."""
        try:
            async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            # Time for the periodic check.
            return
        finally:
            self.wake.clear()

    def monitor_holder(self, service: str) -> None:
        """Probe the holder of a lease if this host is one of its standbys."""
        record = self.registry.get(service)
        if record is None or service in self.held:
            return
        if record.holder.ref.host == self.me.ref.host:
            return
        if self.me.ref in self.ranking.standbys(service, record.holder.ref):
            self.failure_detector.probe_if_due(record.holder.ref)

    async def challenge_if_due(self, service: str) -> None:
        """Challenge a holder that is unreachable and that no other host reports on."""
        record = self.registry.get(service)
        if record is None or service in self.held:
            return
        if not self.failure_detector.is_unreachable(record.holder.ref):
            return
        if not self.announcements.store_reached or self.is_claimable(service):
            return
        if self.me.ref in self.ranking.standbys(service, record.holder.ref):
            await self.challenges.challenge(record)

    def is_holder_silent(self, service: str) -> bool:
        """Return whether the holder of a lease is lost, or unreachable from here.

        A backup holder may act while the holder does, so that no other host has to
        confirm the loss.
        """
        record = self.registry.get(service)
        if record is None or self.is_claimable(service):
            return True
        return self.failure_detector.is_unreachable(record.holder.ref)

    def should_claim(self, service: str) -> bool:
        """Return whether this host should claim the lease of a service now."""
        now = self.clock.monotonic()
        if service in self.held:
            return False
        if now - self.tried_at.get(service, float("-inf")) < CLAIM_RETRY_SECONDS:
            return False
        if not self.is_claimable(service) or not self.is_announced(service):
            return False
        record = self.registry.get(service)
        if record is not None and record.holder.ref.host == self.me.ref.host:
            # Other hosts see this one alive and do not claim the lease.
            return True
        if record is None:
            if now - self.table.changed_at < MEMBERSHIP_STABLE_SECONDS:
                return False
            return self.ranking.ranked(service)[0] == self.me.ref
        return self.me.ref in self.ranking.standbys(service, record.holder.ref)

    def is_claimable(self, service: str) -> bool:
        """Return whether the lease of a service has no live holder.

        A holder is lost only if probes from here failed: membership reports may come
        from hosts that are partitioned themselves. Where no other host can confirm the
        loss, the holder must have left a challenge in the store unanswered.
        """
        record = self.registry.get(service)
        if record is None:
            return True
        if record.holder.ref.host == self.me.ref.host:
            # If this process is named and holds no lease, its claim took effect
            # late, a restore revived it, or it had expired at the restore.
            return service not in self.held
        if self.failure_detector.is_lost(record.holder.ref):
            return True
        return self.failure_detector.is_unreachable(
            record.holder.ref
        ) and self.challenges.is_unanswered(record)

    def is_announced(self, service: str) -> bool:
        """Return whether the service has a current or former primary.

        The recorded one may have left before this host started.
        """
        record = self.registry.get(service)
        if record is not None and record.primary:
            return True
        return bool(self.ranking.primary_zone(service))

    async def claim(
        self,
        service: str,
        requested: bool,
        wait: FormerHolderWait = UNKNOWN_WAIT,
    ) -> bool:
        """Claim the lease of a service; return whether this host holds it.

        :param requested: whether the holder requests it, so that the lease need not
            be vacant.
        :param wait: what the holder states of former holders.
        """
        told_at = self.clock.boottime()
        holder = self.held.get(service)
        if holder is not None:
            return not holder.draining
        if service in self.claiming:
            return False
        self.claiming.add(service)
        self.tried_at[service] = self.clock.monotonic()
        try:
            return await self.claim_at_store(service, requested, wait, told_at)
        except StoreUnansweredError as error:
            self.decisions.record(
                "lease_not_acquired", service=service, error=str(error)
            )
            if not requested:
                self.background.spawn(self.request_claim_by_others(service))
            return False
        except KeyValueStoreError as error:
            self.decisions.record(
                "lease_not_acquired", service=service, error=str(error)
            )
            return False
        finally:
            self.claiming.discard(service)

    async def request_claim_by_others(self, service: str) -> None:
        """Have another host claim a lease because the store is unreachable here."""
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
                    "lease_transfer_unanswered", host=host.host, error=str(error)
                )
                continue
            if answer.get("taken") is True:
                return

    async def handle_claim_lost(self, body: Json) -> Json:
        """Claim a lease if its holder is lost from here, too."""
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
        self, service: str, requested: bool, wait: FormerHolderWait, told_at: float
    ) -> bool:
        """Write this host as the holder into the stored record.

        :param told_at: `Clock.boottime` from which `wait` counts.
        :raises KeyValueStoreError: if the store does not respond.
        """
        key = lease_key(service)
        item = await self.keyspace.get(key, STORE_TIMEOUT_SECONDS)
        stored = None if item is None else PrimaryLeaseRecord.from_item(item)
        if stored is not None:
            self.registry.update(stored, "look")
        if self.may_be_outdated(stored):
            await self.recovery.learn(service)
        if stored is not None or self.may_be_outdated(stored):
            if not requested and not self.is_claimable(service):
                return False
        record = self.record_to_claim(service, stored, wait)
        requested_at = self.clock.boottime()
        revision = await self.keyspace.put(
            key, record.encoded(), record.revision, STORE_TIMEOUT_SECONDS
        )
        record = record.with_revision(revision)
        if not record.confirmed:
            self.decisions.record(
                "lease_write_unconfirmed", service=service, revision=revision.to_json()
            )
            return False
        holder = self.start_holding(record, requested_at)
        if stored is not None and stored.order == wait.order:
            holder.others.adopt_wait(stored, told_at + wait.seconds)
        if self.leaving:
            # `transfer_all` did not see this lease.
            self.background.spawn(self.transfer(service))
        return True

    def may_be_outdated(self, stored: PrimaryLeaseRecord | None) -> bool:
        """Return whether a restore may have lost a newer record than the stored one."""
        if stored is None:
            return self.keyspace.epoch.current > 0
        return not stored.confirmed

    def record_to_claim(
        self,
        service: str,
        stored: PrimaryLeaseRecord | None,
        wait: FormerHolderWait,
    ) -> PrimaryLeaseRecord:
        """Return the record that names this host as the holder.

        The statement of the holder holds only for the record for which it was made: a
        write may have replaced the backup holder since, and a restore may have lost the
        claim of another host.
        """
        if self.may_be_outdated(stored):
            revision = StoreRevision(self.keyspace.epoch.current, 0)
            if stored is not None:
                revision = stored.revision
            return self.recovery.claimed_record(service, stored, revision)
        if stored is None:
            return PrimaryLeaseRecord(
                service, self.me, None, [], True, "", 0, "", NO_REVISION
            )
        if stored.holder == self.me:
            return stored
        no_former_holders = wait.order == stored.order and wait.seconds == 0.0
        return stored.claimed_by(self.me, no_former_holders)

    def start_holding(
        self, record: PrimaryLeaseRecord, requested_at: float
    ) -> PrimaryLeaseHolder:
        """Start to use the primary under a claimed lease."""
        self.decisions.record(
            "lease_acquired",
            service=record.service,
            revision=record.revision.to_json(),
            former=[one.ref.host for one in record.former],
            successor=record.successor,
        )
        holder = self.make_lease_holder(record, requested_at)
        self.held[record.service] = holder
        self.registry.update(record, "own")
        holder.start()
        return holder

    def handle_record(self, record: PrimaryLeaseRecord) -> None:
        """Process a new lease record.

        A new incarnation of the holder is not the process that was found lost.
        Claiming its lease would only move its callers to another home.
        """
        self.wake.set()
        if self.holder_incarnations.get(record.service) != record.holder.incarnation:
            self.holder_incarnations[record.service] = record.holder.incarnation
            self.failure_detector.clear_lost(record.holder.ref)
        self.backup_holders.handle_record(record)
        holder = self.held.get(record.service)
        if holder is None or record.holder == self.me or holder.draining:
            return
        if record.order > holder.record.order:
            self.spawn_release(holder)

    def spawn_release(self, holder: PrimaryLeaseHolder) -> None:
        """Release a lease in the background."""
        holder.draining = True
        self.releasing[holder.service] = self.background.spawn(self.release(holder))

    async def release(self, holder: PrimaryLeaseHolder) -> None:
        """Release a lease once its transactions have ended."""
        await holder.release(DRAIN_TIMEOUT_SECONDS)
        self.releasing.pop(holder.service, None)
        if self.held.get(holder.service) is holder:
            del self.held[holder.service]

    async def transfer_all(self) -> None:
        """Transfer all leases to other hosts before this host shuts down."""
        self.leaving = True
        await self.backup_holders.close()
        await asyncio.gather(*(self.transfer(one) for one in list(self.held)))

    async def transfer(self, service: str) -> None:
        """Transfer one lease to the next host in rank."""
        for host in self.ranking.ranked(service):
            if host.host == self.me.ref.host:
                continue
            holder = self.held.get(service)
            wait = None if holder is None else holder.others.former_wait()
            if await self.indirect_prober.transfer_lease(service, host, wait):
                self.decisions.record(
                    "lease_transferred", service=service, to=host.host
                )
                break
        holder = self.held.get(service)
        if holder is not None and not holder.draining:
            self.spawn_release(holder)

    async def close(self) -> None:
        """Stop using all primaries."""
        await self.backup_holders.close()
        for holder in list(self.held.values()):
            holder.stop()
            holder.validity.revoke()
            if holder.home is not None:
                await holder.home.close()
        self.held.clear()


def leaving_refusal() -> RefusalError:
    """Return the refusal of a role that a stopping host does not take over."""
    return not_run(RefusalReason.DRAINING, "this host is shutting down")


def revision_field(body: Json, name: str) -> StoreRevision:
    """Return a revision in a request, or `NO_REVISION` if it has none."""
    try:
        return StoreRevision.from_json(body.get(name))
    except WireError:
        return NO_REVISION
