"""A host that serves sessions on a platform with a store."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, TypeVar

import logbook

from ..background_tasks import BackgroundTasks
from ..clock import Clock
from ..connection.fair_share import MAX_PRIORITY, weight_of_priority
from ..connection.overload_control import OverloadControl
from ..connection.session_connection_pool import OnConnectionOpened
from ..connection.session_target import SessionTargetDriver, StatementDialect
from ..connection.session_target_home import SessionTargetHome
from ..decision_log import DecisionLog
from ..peer import HostRef, PeerClient, PeerRoutes
from ..request.authorization import Authorizer
from ..request.position import Position
from ..request.replica_reader import ReplicaReader
from ..request.retry_budget import RetryBudget
from ..request.retrying_replica_reader import RetryingReplicaReader
from ..request.retrying_router import RetryingRouter
from ..request.session_router import SessionRouter
from ..request.statement_forwarder import StatementForwarder
from ..request.statement_retries import StatementRetries
from ..request.target_loads import TargetLoads
from ..version.route_table import RouteTable, TargetAnnouncement
from ..wire import Json
from .caller_sessions import CallerSessions
from .discovery.announcements import Announcements
from .discovery.configuration_freshness import ConfigurationFreshness
from .discovery.freshness_prover import FreshnessProver
from .discovery.host_capacities import HostCapacities, capacity
from .discovery.host_registration import HostRegistration
from .discovery.key_value_store import KeyValueStore
from .discovery.route_table_transfer import RouteTableFetcher, RouteTableServer
from .discovery.store_value_parser import StoreValueParser
from .discovery.store_watcher import StoreWatcher
from .discovery.update_source import PeerUpdateSource, UpdateServer
from .drain_schedule import DrainSchedule
from .events.timeline import Timeline
from .fleet.heartbeat import Heartbeats
from .fleet.membership import Membership
from .fleet.membership_directory import MembershipDirectory
from .fleet.rendezvous import connection_quota, home_connection_limit
from .histograms import HistogramMetrics
from .load_reporter import LoadReporter
from .network.answer_tracking_peers import AnswerTrackingPeers
from .primary_lease.backup_holder import BackupHolder
from .primary_lease.backup_holders import BackupHolders
from .primary_lease.coordinator_role import CoordinatorRole
from .primary_lease.coordinator_standby import CoordinatorStandby
from .primary_lease.epoch_age import EpochAge
from .primary_lease.holder_failure_detector import HolderFailureDetector
from .primary_lease.holder_ranking import LeaseHolderRanking
from .primary_lease.indirect_prober import IndirectProber
from .primary_lease.lease_challenge import LeaseChallenges
from .primary_lease.lease_claim import BackupHolderClaim, HolderClaim, LeaseClaim
from .primary_lease.lease_holder import PrimaryLeaseHolder
from .primary_lease.lease_manager import PrimaryLeaseManager
from .primary_lease.lease_record import HostIncarnation, PrimaryLeaseRecord
from .primary_lease.lease_registry import PrimaryLeaseRegistry
from .primary_lease.other_holders import OtherHolders
from .primary_lease.primary_replacement import PrimaryReplacement
from .primary_lease.promotion_coordinator import Promoter, PromotionCoordinator
from .primary_lease.target_status import TargetStatusClient
from .rates.rate_owner import RateOwner
from .rates.workspace_rate_limiter import WorkspaceRateLimiter
from .session_host_settings import SessionHostSettings
from .statement_server import StatementServer
from .zone_isolation import ZoneIsolationDetector

INCARNATION_BITS: Final = 48
"""Random bits that distinguish the incarnations of a process."""

HANDOVER_TIMEOUT_SECONDS: Final = 1.5
"""Time limit for handing over the primary leases at shutdown."""

DEFAULT_CONNECTIONS: Final = 16
"""Connections to a target whose service is not configured."""

PROVER: Final = "prover"
"""Key that ranks the hosts; the first one verifies the configuration's freshness."""

POLL_INTERVAL_SECONDS: Final = 0.05
log = logbook.Logger("host")

LeaseClaimT = TypeVar("LeaseClaimT", bound=LeaseClaim)


class SessionHost:
    """Assemble, start and stop the components of one session host."""

    def __init__(
        self,
        settings: SessionHostSettings,
        clock: Clock,
        random: Random,
        keyspace: KeyValueStore,
        documents: StoreValueParser,
        promoter: Promoter,
        driver: SessionTargetDriver,
        phrases: StatementDialect,
        peers: PeerClient,
        timeline: Timeline,
        decisions: DecisionLog,
        metrics: HistogramMetrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.keyspace = keyspace
        self.promoter = promoter
        self.driver = driver
        self.dialect = phrases
        self.peers = AnswerTrackingPeers(peers, clock)
        self.decisions = decisions
        self.metrics = metrics
        self.me = HostRef(settings.host, settings.zone, settings.peer_listen)
        self.holder = HostIncarnation(
            self.me, f"{random.getrandbits(INCARNATION_BITS):x}"
        )
        self.routes = PeerRoutes()
        self.leaving = False
        self.drain_schedule = DrainSchedule(clock, random)
        self.background = BackgroundTasks(decisions)
        self.announcements = Announcements(documents, clock, decisions)
        self.freshness = ConfigurationFreshness(
            self.announcements, clock, keyspace.epoch
        )
        self.capacities = HostCapacities(self.announcements)
        self.make_membership(timeline)
        self.make_updates()
        self.registration = HostRegistration(
            self.me,
            capacity(settings.cores, settings.link_mbps),
            keyspace,
            self.announcements,
            clock,
            random,
            decisions,
            lambda: len(self.membership.table.refs()),
        )
        self.make_leases()
        self.make_requests()
        self.connect()

    def make_membership(self, timeline: Timeline) -> None:
        """Create membership and heartbeats."""
        self.membership = Membership(self.me, self.clock, self.random, timeline)
        self.directory = MembershipDirectory(
            self.me,
            self.membership.table,
            self.capacities.is_weak,
            lambda: self.capacities.version,
        )
        self.heartbeats = Heartbeats(
            self.membership,
            self.peers,
            self.clock,
            self.random,
            list_addresses=self.addresses,
        )

    def make_updates(self) -> None:
        """Create what watches the store and distributes its updates to other hosts."""
        self.updates_server = UpdateServer(
            self.announcements, self.clock, self.freshness, self.keyspace.epoch
        )
        self.table_server = RouteTableServer(self.announcements, self.clock)
        self.tables = RouteTableFetcher(
            self.me,
            self.peers,
            self.announcements,
            self.hosts_with_version,
            self.clock,
            self.random,
            self.decisions,
        )
        source = PeerUpdateSource(
            self.me,
            lambda: self.directory.relays(self.me.zone),
            self.peers,
            self.announcements,
            self.tables.request_version,
            self.clock,
            self.random,
            self.decisions,
            self.freshness,
            self.keyspace.epoch,
        )
        self.watch = StoreWatcher(
            self.keyspace,
            self.announcements,
            source,
            self.clock,
            self.random,
            self.freshness,
        )
        self.freshness_prover = FreshnessProver(
            self.keyspace,
            self.announcements,
            self.freshness,
            self.me,
            lambda: self.directory.home(PROVER, ""),
            self.directory.is_relay,
            self.heartbeats.probe,
            self.clock,
            self.random,
        )

    def make_leases(self) -> None:
        """Create what holds and hands over the primary leases of services."""
        table = self.membership.table
        self.epoch_age = EpochAge(self.keyspace.epoch, self.clock)
        self.lease_registry = PrimaryLeaseRegistry(self.announcements, self.decisions)
        self.states = TargetStatusClient(self.announcements, self.driver)
        self.indirect_probers = IndirectProber(
            self.me, table, self.peers, self.announcements, self.states, self.random
        )
        self.failure_detector = HolderFailureDetector(
            self.me, table, self.peers, self.clock, self.random, self.decisions
        )
        self.challenges = LeaseChallenges(
            self.holder, self.keyspace, self.announcements, self.clock, self.decisions
        )
        self.make_promotion_coordinator()
        self.zone_isolation = ZoneIsolationDetector(
            self.me,
            table,
            self.announcements,
            self.states,
            self.failure_detector,
            self.peers,
            self.clock,
            self.random,
            self.decisions,
        )
        self.ranking = LeaseHolderRanking(
            self.me,
            self.directory,
            self.announcements,
            self.lease_registry,
            self.failure_detector,
            self.capacities.is_weak,
            lambda: self.capacities.version,
        )
        self.primary_leases = PrimaryLeaseManager(
            self.holder,
            self.keyspace,
            self.announcements,
            self.lease_registry,
            table,
            self.ranking,
            BackupHolders(self.holder, self.make_backup_holder, self.decisions),
            self.indirect_probers,
            self.failure_detector,
            self.challenges,
            self.peers,
            self.make_lease,
            self.clock,
            self.decisions,
        )

    def make_promotion_coordinator(self) -> None:
        """Create what orders promotions, and replaces a lost coordinator."""
        self.coordinator_role = CoordinatorRole(
            self.holder,
            self.keyspace,
            self.peers,
            self.epoch_age,
            self.clock,
            self.decisions,
        )
        self.announcements.on_host_item.append(self.coordinator_role.handle_item)
        self.promotion_coordinator = PromotionCoordinator(
            self.coordinator_role,
            self.promoter,
            self.peers,
            self.membership.table,
            self.failure_detector,
            self.clock,
            self.decisions,
        )
        self.coordinator_standby = CoordinatorStandby(
            self.me,
            self.coordinator_role,
            self.directory,
            self.failure_detector,
            self.clock,
        )

    def make_requests(self) -> None:
        """Create what serves callers."""
        self.rate_owner = RateOwner(
            self.directory,
            lambda: self.announcements.table.workspaces,
            self.freshness,
            lambda: self.zone_isolation.is_isolated,
            self.membership.table.sees_majority,
            self.heartbeats.request_probe,
            self.settings.rates,
            self.clock,
            self.decisions,
        )
        allowances = WorkspaceRateLimiter(
            self.rate_owner,
            self.peers,
            self.settings.rates,
            self.clock,
            self.decisions,
            self.metrics,
        )
        self.statement_server = StatementServer(
            self.announcements,
            self.primary_leases,
            self.make_home,
            allowances,
            self.clock,
            self.decisions,
        )
        self.forwarder = StatementForwarder(
            self.me,
            self.statement_server,
            self.peers,
            lambda: self.zone_isolation.is_isolated,
            self.clock,
            self.decisions,
        )
        self.loads = TargetLoads(self.clock)
        self.load_reporter = LoadReporter(
            self.statement_server,
            self.directory,
            self.loads,
            self.clock,
            self.decisions,
        )
        if self.settings.target_outlier_detection:
            self.make_retrying_router()
        else:
            self.make_router()
        authorization = Authorizer(
            self.announcements,
            self.freshness,
            self.settings.revoke,
            self.decisions,
            self.metrics,
        )
        self.caller_sessions = CallerSessions(
            self.holder.incarnation,
            self.router,
            self.announcements,
            authorization,
            self.drain_schedule,
            self.clock,
            self.decisions,
            self.metrics,
        )

    def make_router(self) -> None:
        """Create what routes statements by this host's own samples."""
        self.replicas: ReplicaReader = ReplicaReader(
            self.forwarder,
            self.statement_server,
            self.lease_registry,
            self.directory,
            self.peers,
            self.announcements,
            self.clock,
            self.decisions,
        )
        self.router: SessionRouter = SessionRouter(
            self.forwarder,
            self.replicas,
            self.lease_registry,
            self.directory,
            self.peers,
            self.clock,
            self.decisions,
        )

    def make_retrying_router(self) -> None:
        """Create what routes statements by load reports and repeats failed reads."""
        retries = StatementRetries(
            RetryBudget(self.clock), self.decisions, self.metrics
        )
        replicas = RetryingReplicaReader(
            self.forwarder,
            self.statement_server,
            self.lease_registry,
            self.directory,
            self.peers,
            self.announcements,
            self.clock,
            self.decisions,
            self.loads,
            retries,
            self.random,
        )
        self.replicas = replicas
        self.router = RetryingRouter(
            self.forwarder,
            replicas,
            self.lease_registry,
            self.directory,
            self.peers,
            self.clock,
            self.decisions,
            retries,
        )

    def connect(self) -> None:
        """Register peer handlers and connect the callbacks of the components."""
        self.heartbeats.register(self.routes)
        self.promotion_coordinator.register(self.routes)
        self.indirect_probers.register(self.routes)
        self.failure_detector.register(self.routes)
        self.primary_leases.register(self.routes)
        self.statement_server.register(self.routes)
        self.rate_owner.register(self.routes)
        self.updates_server.register(self.routes)
        self.table_server.register(self.routes)
        self.forwarder.on_host_lost = self.suspect_host
        self.membership.on_newer_configuration = self.request_version
        self.membership.on_answer = self.state_age
        self.heartbeats.on_answer = self.freshness.read_age
        self.heartbeats.on_presumed_dead = self.rate_owner.reset
        self.announcements.on_table.append(self.publish_version)
        self.announcements.on_update.append(self.offer_announced_hosts)
        self.announcements.on_restart.append(self.replicas.forget_target)
        if self.settings.target_outlier_detection:
            self.connect_load_reports()

    def connect_load_reports(self) -> None:
        """Send and read load reports with results and heartbeats."""
        self.statement_server.reports_load = True
        self.forwarder.on_load = self.loads.record
        self.heartbeats.on_probe = self.load_reporter.request_reports
        self.membership.on_request = self.load_reporter.add_reports
        read_age = self.freshness.read_age

        def read_fields(
            answer: Json, version: int, requested_at: float, host: str
        ) -> None:
            read_age(answer, version, requested_at, host)
            self.load_reporter.read_reports(answer, requested_at, host)

        self.heartbeats.on_answer = read_fields

    def make_home(
        self,
        entry: TargetAnnouncement,
        permit: Callable[[], None],
        seen: Callable[[Position, float], None],
        opened: OnConnectionOpened = lambda position: None,
    ) -> SessionTargetHome:
        """Create a home of a target, limited to this host's share of connections."""
        service = self.announcements.table.services.get(entry.service)
        connections = DEFAULT_CONNECTIONS if service is None else service.connections
        return SessionTargetHome(
            entry,
            self.driver,
            self.dialect,
            connection_quota(connections, 0),
            self.clock,
            self.decisions,
            permit,
            seen,
            self.announcements.table.transaction_idle,
            opened,
            home_connection_limit(connections),
            self.weight_of,
            self.make_overload_control(entry),
        )

    def make_overload_control(
        self, entry: TargetAnnouncement
    ) -> OverloadControl | None:
        """Create the rules of admission to a target that the settings enable."""
        if not self.settings.overload_control:
            return None
        return OverloadControl(entry.slots, self.metrics)

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace; an unknown one has the lowest."""
        found = self.announcements.table.workspaces.by_name.get(workspace)
        return weight_of_priority(MAX_PRIORITY if found is None else found.priority)

    def make_lease(
        self, record: PrimaryLeaseRecord, requested_at: float
    ) -> PrimaryLeaseHolder:
        """Create the holder of a primary lease that this host has acquired."""
        claim = self.make_claim(HolderClaim, record, requested_at)
        others = OtherHolders(
            claim,
            self.ranking,
            self.failure_detector,
            self.peers,
            self.clock,
            self.decisions,
        )
        promotion = PrimaryReplacement(
            claim,
            others,
            self.states,
            self.promotion_coordinator,
            self.clock,
            self.decisions,
        )
        return PrimaryLeaseHolder(
            claim,
            others,
            promotion,
            self.ranking,
            self.indirect_probers,
            self.announcements,
            self.states,
            self.driver,
            self.dialect,
            self.make_home,
            self.epoch_age,
            self.challenges,
            self.clock,
            self.decisions,
        )

    def make_backup_holder(
        self, record: PrimaryLeaseRecord, requested_at: float
    ) -> BackupHolder:
        """Create the backup holder of a primary lease."""
        return BackupHolder(
            self.make_claim(BackupHolderClaim, record, requested_at),
            self.announcements,
            self.states,
            self.make_home,
            self.clock,
            self.decisions,
        )

    def make_claim(
        self, kind: type[LeaseClaimT], record: PrimaryLeaseRecord, requested_at: float
    ) -> LeaseClaimT:
        """Create this host's claim to a role in a lease record."""
        return kind(
            record,
            requested_at,
            self.holder,
            self.keyspace,
            self.lease_registry,
            self.clock,
            self.decisions,
        )

    # Lifecycle

    async def start(self) -> None:
        """Start the background tasks of all components."""
        self.decisions.record(
            "start",
            zone=self.me.zone,
            life=self.holder.incarnation,
            peers=self.me.address,
        )
        for coroutine in (
            self.watch.run(),
            self.freshness_prover.run(),
            self.registration.run(),
            self.heartbeats.run(),
            self.statement_server.run_cleanup(),
            self.primary_leases.run(),
            self.coordinator_standby.run(),
            self.zone_isolation.run(),
            self.caller_sessions.close_while_unready(
                self.zone_isolation.isolated_seconds
            ),
        ):
            self.background.spawn(coroutine)

    @property
    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        if self.leaving or self.zone_isolation.is_isolated:
            return False
        return self.announcements.configured.is_set()

    async def drain(self) -> None:
        """Hand over primary leases and end sessions one by one.

        Returns when all work has ended, or when it is time for `finish`.
        """
        self.decisions.record("stop", sessions=len(self.caller_sessions.connections))
        self.leaving = True
        await asyncio.gather(
            self.hand_over_leases(), self.caller_sessions.drain(self.settings.grace)
        )
        self.membership.leave()
        while self.has_work_in_progress() and not self.caller_sessions.accepts_none():
            self.caller_sessions.close_due()
            await self.clock.sleep(POLL_INTERVAL_SECONDS)

    async def finish(self) -> None:
        """Refuse all statements, and end when those in progress are answered."""
        await asyncio.gather(
            self.caller_sessions.finish(),
            self.statement_server.finish(self.drain_schedule.exit_at),
        )
        await self.registration.withdraw()
        self.decisions.record("stopped", cut=len(self.caller_sessions.connections))

    async def hand_over_leases(self) -> None:
        """Hand over all primary leases to other hosts."""
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                await self.primary_leases.transfer_all()
        except TimeoutError:
            self.decisions.record(
                "leases_not_transferred", left=list(self.primary_leases.held)
            )
        self.background.spawn(self.primary_leases.stop_announcer.run())

    def has_work_in_progress(self) -> bool:
        """Return whether requests, statements or held primary leases remain."""
        if (
            self.caller_sessions.has_requests_in_progress()
            or not self.statement_server.is_idle()
        ):
            return True
        return bool(self.primary_leases.held)

    async def close(self) -> None:
        """Cancel all tasks and release all resources immediately."""
        tasks = list(self.background.tasks)
        self.background.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.tables.close()
        await self.primary_leases.close()
        await self.statement_server.close()
        await self.peers.close()
        await self.keyspace.close()

    def apply_settings(self, settings: SessionHostSettings) -> None:
        """Apply the settings that may change while the host runs."""
        self.decisions.record(
            "reload", store=settings.store, promotions=settings.promotions
        )
        self.settings = settings

    # Peers and updates

    async def addresses(self) -> list[str]:
        """Return the peer addresses of hosts that are registered in the store."""
        return self.registration.addresses()

    def offer_announced_hosts(self) -> None:
        """Pass addresses of newly registered hosts to heartbeat discovery."""
        if addresses := self.registration.pop_new_addresses():
            self.heartbeats.discovery.update_listed_addresses(addresses)

    def state_age(self, answer: Json) -> None:
        """Add the age of the last freshness proof to a heartbeat response."""
        self.freshness.add_age(answer, self.clock.boottime())

    def request_version(self, peer: HostRef, version: int) -> None:
        """Fetch a newer configuration that another host has."""
        self.freshness.learn_version(version)
        self.tables.request_version(peer, version)

    def publish_version(self, table: RouteTable) -> None:
        """Publish the configuration version in force with the heartbeats."""
        self.membership.set_configuration_version(table.version)

    def suspect_host(self, host: HostRef) -> None:
        """Have heartbeats probe a host that did not respond."""
        self.heartbeats.request_probe(host.host)

    def hosts_with_version(self, version: int) -> list[HostRef]:
        """Return live hosts that have a version; only those of this zone if any."""
        table = self.membership.table
        versions = self.membership.configuration_versions
        holders = [ref for ref in table.refs() if versions.get(ref.host, 0) >= version]
        return [ref for ref in holders if ref.zone == self.me.zone] or holders
