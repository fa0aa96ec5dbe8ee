"""A host that serves sessions on a platform with a store."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

import logbook

from ..background import Background
from ..clock import Clock
from ..connection.lanes import OnConnectionOpened
from ..connection.member import SessionTargetDriver, StatementDialect
from ..connection.memberhome import SessionTargetHome
from ..decisions import Decisions
from ..peer import HostRef, PeerRoutes, Peers
from ..request.authorization import Authorizer
from ..request.hop import StatementForwarder
from ..request.position import Position
from ..request.replicas import ReplicaReader
from ..request.steering import SessionRouter
from ..version.registry import RouteTable, TargetAnnouncement
from ..wire import Json
from .announced.announcements import Announcements
from .announced.capacities import HostCapacities, capacity
from .announced.documents import StoreValueParser
from .announced.freshness import ConfigurationFreshness
from .announced.keyspace import KeyValueStore
from .announced.news import PeerUpdateSource, UpdateServer
from .announced.proving import FreshnessProver
from .announced.registration import HostRegistration
from .announced.tables import RouteTableFetcher, RouteTableServer
from .announced.watch import StoreWatcher
from .callers import Callers
from .desk import Desk
from .events.timeline import Timeline
from .fleet.directory import MembershipDirectory
from .fleet.heartbeat import Heartbeats
from .fleet.membership import Membership
from .fleet.rendezvous import connection_quota, home_connection_limit
from .histograms import HistogramMetrics
from .hosting_settings import HostingSettings
from .lead.book import PrimaryLeaseRegistry
from .lead.claim import BackupHolderClaim, HolderClaim, LeaseClaim
from .lead.deputies import BackupHolders
from .lead.deputy import BackupHolder
from .lead.duty import Promoter, PromotionCoordinator
from .lead.lead import PrimaryLeaseHolder
from .lead.leads import PrimaryLeaseManager
from .lead.others import OtherHolders
from .lead.promotion import PrimaryReplacement
from .lead.ranking import LeaseHolderRanking
from .lead.record import HostIncarnation, PrimaryLeaseRecord
from .lead.states import TargetStatusClient
from .lead.vigil import HolderFailureDetector
from .lead.witness import IndirectProber
from .network.heard_peers import HeardPeers
from .partition import Partition
from .rates.allowances import WorkspaceRateLimiter
from .rates.owner import RateOwner

LIFE_BITS: Final = 48
"""Random bits that tell one life of a process from another."""

TRANSACTIONS_SHARE: Final = 0.5
"""Share of the time to stop for which open transactions may go on."""

HANDOVER_TIMEOUT: Final = 1.5
"""Seconds in which other hosts take the leads of one that ends."""

END_MARGIN: Final = 1.2
"""Seconds before the process is killed at which it ends by itself."""

DEFAULT_CONNECTIONS: Final = 16
"""Connections of a target whose service is not described."""

PROVER: Final = "prover"
"""Ranks the hosts of which the first asks the store how new the configuration is."""

POLL: Final = 0.05
"""Seconds between two looks at what is still in progress."""

log = logbook.Logger("host")


class SessionHost:
    """Hold the parts of one host.

    :ivar ready: whether callers may be sent here.
    """

    def __init__(
        self,
        settings: HostingSettings,
        clock: Clock,
        random: Random,
        keyspace: KeyValueStore,
        documents: StoreValueParser,
        promoter: Promoter,
        driver: SessionTargetDriver,
        phrases: StatementDialect,
        peers: Peers,
        timeline: Timeline,
        decisions: Decisions,
        metrics: HistogramMetrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.keyspace = keyspace
        self.promoter = promoter
        self.driver = driver
        self.phrases = phrases
        self.peers = HeardPeers(peers, clock)
        self.decisions = decisions
        self.metrics = metrics
        self.me = HostRef(settings.host, settings.zone, settings.peer_listen)
        self.holder = HostIncarnation(self.me, f"{random.getrandbits(LIFE_BITS):x}")
        self.routes = PeerRoutes()
        self.leaving = False
        self.background = Background(decisions)
        self.announcements = Announcements(documents, clock, decisions)
        self.freshness = ConfigurationFreshness(self.announcements, clock)
        self.capacities = HostCapacities(self.announcements)
        self.make_membership(timeline)
        self.make_news()
        self.registration = HostRegistration(
            self.me,
            capacity(settings.cores, settings.link_mbps),
            keyspace,
            self.announcements,
            clock,
            random,
            decisions,
        )
        self.make_leads()
        self.make_requests()
        self.connect()

    def make_membership(self, timeline: Timeline) -> None:
        """Make what knows the other hosts."""
        self.membership = Membership(self.me, self.clock, self.random, timeline)
        self.directory = MembershipDirectory(
            self.me, self.membership.table, self.capacities.is_weak
        )
        self.heartbeats = Heartbeats(
            self.membership,
            self.peers,
            self.clock,
            self.random,
            list_addresses=self.addresses,
        )

    def make_news(self) -> None:
        """Make what learns from the store, and hands on what it has learned."""
        self.news = UpdateServer(self.announcements, self.clock, self.freshness)
        self.table_desk = RouteTableServer(self.announcements, self.clock)
        self.tables = RouteTableFetcher(
            self.me,
            self.peers,
            self.announcements,
            self.holders,
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
        )
        self.watch = StoreWatcher(
            self.keyspace,
            self.announcements,
            source,
            self.clock,
            self.random,
            self.freshness,
        )
        self.proving = FreshnessProver(
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

    def make_leads(self) -> None:
        """Make what holds and passes on the leads of services."""
        table = self.membership.table
        self.book = PrimaryLeaseRegistry(self.announcements, self.decisions)
        self.duty = PromotionCoordinator(
            self.holder,
            self.keyspace,
            self.promoter,
            self.peers,
            table,
            self.clock,
            self.decisions,
        )
        self.states = TargetStatusClient(self.announcements, self.driver)
        self.witnesses = IndirectProber(
            self.me, table, self.peers, self.announcements, self.states, self.random
        )
        self.vigil = HolderFailureDetector(
            self.me, table, self.peers, self.clock, self.random, self.decisions
        )
        self.partition = Partition(
            self.me,
            table,
            self.announcements,
            self.states,
            self.vigil,
            self.peers,
            self.clock,
            self.random,
            self.decisions,
        )
        self.ranking = LeaseHolderRanking(
            self.me,
            self.directory,
            self.announcements,
            self.book,
            self.vigil,
            self.capacities.is_weak,
        )
        self.leads = PrimaryLeaseManager(
            self.holder,
            self.keyspace,
            self.announcements,
            self.book,
            table,
            self.ranking,
            BackupHolders(self.holder, self.make_deputy, self.decisions),
            self.witnesses,
            self.vigil,
            self.peers,
            self.make_lead,
            self.clock,
            self.decisions,
        )

    def make_requests(self) -> None:
        """Make what serves callers."""
        self.rate_owner = RateOwner(
            self.directory,
            lambda: self.announcements.table.workspaces,
            self.freshness,
            lambda: self.partition.cut_off,
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
        self.desk = Desk(
            self.announcements,
            self.leads,
            self.make_home,
            allowances,
            self.clock,
            self.decisions,
        )
        self.hops = StatementForwarder(
            self.me,
            self.desk,
            self.peers,
            lambda: self.partition.cut_off,
            self.clock,
            self.decisions,
        )
        self.replicas = ReplicaReader(
            self.hops,
            self.desk,
            self.book,
            self.directory,
            self.peers,
            self.announcements,
            self.clock,
            self.decisions,
        )
        self.steering = SessionRouter(
            self.hops,
            self.replicas,
            self.book,
            self.directory,
            self.peers,
            self.clock,
            self.decisions,
        )
        authorization = Authorizer(
            self.announcements,
            self.freshness,
            self.settings.revoke,
            self.decisions,
            self.metrics,
        )
        self.callers = Callers(
            self.holder.incarnation,
            self.steering,
            self.announcements,
            authorization,
            self.clock,
            self.decisions,
            self.metrics,
        )

    def connect(self) -> None:
        """Register the handlers of peer calls and tell the parts of each other."""
        self.heartbeats.register(self.routes)
        self.duty.register(self.routes)
        self.witnesses.register(self.routes)
        self.vigil.register(self.routes)
        self.leads.register(self.routes)
        self.desk.register(self.routes)
        self.rate_owner.register(self.routes)
        self.news.register(self.routes)
        self.table_desk.register(self.routes)
        self.hops.on_host_lost = self.host_lost
        self.membership.on_newer_configuration = self.tables.request_version
        self.membership.on_answer = self.state_age
        self.heartbeats.on_answer = self.freshness.read_age
        self.heartbeats.on_presumed_dead = self.rate_owner.reset
        self.announcements.on_table.append(self.configured)
        self.announcements.on_update.append(self.learned)
        self.announcements.on_restart.append(self.replicas.forget_target)

    def make_home(
        self,
        entry: TargetAnnouncement,
        permit: Callable[[], None],
        seen: Callable[[Position, float], None],
        opened: OnConnectionOpened = lambda position: None,
    ) -> SessionTargetHome:
        """Return a home of a target within this host's share of connections."""
        terms = self.announcements.table.services.get(entry.service)
        connections = DEFAULT_CONNECTIONS if terms is None else terms.connections
        return SessionTargetHome(
            entry,
            self.driver,
            self.phrases,
            connection_quota(connections, 0),
            self.clock,
            self.decisions,
            permit,
            seen,
            self.announcements.table.transaction_idle,
            opened,
            home_connection_limit(connections),
        )

    def make_lead(self, record: PrimaryLeaseRecord, asked: float) -> PrimaryLeaseHolder:
        """Return a lead that this host has taken."""
        claim = self.claim(HolderClaim, record, asked)
        others = OtherHolders(
            claim, self.ranking, self.vigil, self.peers, self.clock, self.decisions
        )
        promotion = PrimaryReplacement(
            claim, others, self.states, self.duty, self.clock, self.decisions
        )
        return PrimaryLeaseHolder(
            claim,
            others,
            promotion,
            self.ranking,
            self.witnesses,
            self.announcements,
            self.states,
            self.driver,
            self.phrases,
            self.make_home,
            self.clock,
            self.decisions,
        )

    def make_deputy(self, record: PrimaryLeaseRecord, asked: float) -> BackupHolder:
        """Return what stands in for the holder of a lead."""
        return BackupHolder(
            self.claim(BackupHolderClaim, record, asked),
            self.announcements,
            self.states,
            self.make_home,
            self.clock,
            self.decisions,
        )

    def claim(
        self, kind: type[LeaseClaim], record: PrimaryLeaseRecord, asked: float
    ) -> LeaseClaim:
        """Return this host's place in a record."""
        return kind(
            record,
            asked,
            self.holder,
            self.keyspace,
            self.book,
            self.clock,
            self.decisions,
        )

    # Life

    async def start(self) -> None:
        """Begin to learn, to announce this host and to take leads."""
        self.decisions.note(
            "start",
            zone=self.me.zone,
            life=self.holder.incarnation,
            peers=self.me.address,
        )
        for work in (
            self.watch.run(),
            self.proving.run(),
            self.registration.run(),
            self.heartbeats.run(),
            self.desk.tidy(),
            self.leads.run(),
            self.partition.run(),
            self.callers.move(self.partition.lasted),
        ):
            self.background.spawn(work)

    @property
    def ready(self) -> bool:
        """Say whether callers may be sent here."""
        if self.leaving or self.partition.cut_off:
            return False
        return self.announcements.configured.is_set()

    async def drain(self) -> None:
        """Pass the leads on and end all sessions, within the time to stop."""
        self.decisions.note("stop", sessions=len(self.callers.connections))
        self.leaving = True
        # The process is killed at the end of `grace`.
        deadline = self.clock.monotonic() + self.settings.grace - END_MARGIN
        await asyncio.gather(
            self.pass_leads_on(),
            self.callers.drain(self.settings.grace * TRANSACTIONS_SHARE),
        )
        self.membership.leave()
        while self.in_progress() and self.clock.monotonic() < deadline:
            self.callers.close_idle(self.callers.connections)
            await self.clock.sleep(POLL)
        await self.registration.withdraw()
        self.decisions.note("stopped", cut=len(self.callers.connections))

    async def pass_leads_on(self) -> None:
        """Have other hosts take the leads over."""
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT):
                await self.leads.transfer_all()
        except TimeoutError:
            self.decisions.note("leads_not_passed_on", left=list(self.leads.held))

    def in_progress(self) -> bool:
        """Say whether this host still works for somebody."""
        if self.callers.busy() or not self.desk.quiet():
            return True
        return bool(self.leads.held)

    async def close(self) -> None:
        """Release everything at once."""
        tasks = list(self.background.tasks)
        self.background.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.tables.close()
        await self.leads.close()
        await self.desk.close()
        await self.peers.close()
        await self.keyspace.close()

    def reloaded(self, settings: HostingSettings) -> None:
        """Take over settings that may change while the host runs."""
        self.decisions.note(
            "reload", store=settings.store, promotions=settings.promotions
        )
        self.settings = settings

    # News

    async def addresses(self) -> list[str]:
        """Return the addresses of hosts that announce themselves."""
        return self.registration.addresses()

    def learned(self) -> None:
        """Have heartbeats look for hosts that announce themselves."""
        if addresses := self.registration.pop_new_addresses():
            self.heartbeats.discovery.update_listed_addresses(addresses)

    def state_age(self, answer: Json) -> None:
        """Say in the answer to a heartbeat how surely the version is the newest."""
        self.freshness.add_age(answer, self.clock.elapsed())

    def configured(self, table: RouteTable) -> None:
        """State the version in force with the heartbeats."""
        self.membership.set_configuration_version(table.version)

    def host_lost(self, host: HostRef) -> None:
        """Have heartbeats look at a host that gave no answer."""
        self.heartbeats.request_probe(host.host)

    def holders(self, version: int) -> list[HostRef]:
        """Return live hosts that said they have a version, if any of this zone."""
        table = self.membership.table
        said = self.membership.configuration_versions
        found = [ref for ref in table.refs() if said.get(ref.host, 0) >= version]
        return [ref for ref in found if ref.zone == self.me.zone] or found
