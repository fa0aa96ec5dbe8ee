"""A host: its components and the order in which they start and stop."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final

import logbook

from ..clock import Clock
from ..connection.home import Home
from ..connection.target import TargetFactory
from ..connection.target_home import TargetHome
from ..metrics import Metrics
from ..peer import HostRef, PeerClient, PeerRoutes
from ..request.api import Api
from ..request.group_view_cache import GroupViewCache
from ..request.replica_selector import ReplicaSelector
from ..request.router import Router
from ..request.statement_dispatcher import StatementDispatcher
from ..version.catalog import Catalog, Group, Limits, Member
from .administration.admin import Admin
from .administration.admin_fleet import FleetQueries
from .administration.admin_operator import OperatorAuthenticator
from .administration.admin_status import HostPhase
from .administration.host_source import HostSource
from .configuring.configuration_manager import ConfigurationManager
from .configuring.configuration_relay import ConfigurationRelay
from .configuring.editor import ConfigurationEditor
from .configuring.snapshot_repository import SnapshotRepository
from .configuring.store import Store
from .events.timeline import EventKind, Timeline
from .fleet.heartbeat import Heartbeats
from .fleet.hostlist import HostList
from .fleet.hostlist_poller import HostListPoller
from .fleet.leaving_targets import LeavingTargetHandler
from .fleet.membership import Membership
from .fleet.membership_directory import MembershipDirectory
from .groups.group_manager import GroupManager
from .groups.group_managers import GroupManagers
from .groups.group_routes import GroupRoutes
from .groups.local_homes import LocalHomes
from .groups.local_statement_executor import LocalStatementExecutor
from .groups.primary_hints import PrimaryHints
from .lifecycle import DRAIN_NOTICE_SECONDS, Lifecycle
from .settings import Settings

DRAIN_POLL_SECONDS: Final = 0.02

log = logbook.Logger("host")


class Host(Lifecycle):
    """Assemble, start and stop the components of one host.

    :param store: the platform's key-value service.
    :param hostlist: the platform's list of hosts.
    :param targets: opens connections to targets.
    :ivar routes: the handlers of peer requests.
    :ivar api: handles requests of callers.
    :ivar admin: handles requests of operators.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        store: Store,
        hostlist: HostList,
        targets: TargetFactory,
        timeline: Timeline,
        peers: PeerClient,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.store = store
        self.hostlist = hostlist
        self.targets = targets
        self.timeline = timeline
        self.peers = peers
        self.metrics = metrics
        self.me = HostRef(settings.host, settings.zone, settings.peer_listen)
        self.routes = PeerRoutes()
        self.tasks: list[asyncio.Task[None]] = []
        self.draining: asyncio.Task[None] | None = None
        self.on_drained: Callable[[], None] = lambda: None
        self.make_membership()
        self.make_configuration()
        self.make_groups()
        self.make_requests()
        self.make_administration()
        self.connect()

    def make_membership(self) -> None:
        """Create membership, host list polling and heartbeats."""
        self.membership = Membership(self.me, self.clock, self.random, self.timeline)
        self.directory = MembershipDirectory(self.me, self.membership.table)
        self.listing = HostListPoller(
            self.hostlist,
            self.membership,
            self.directory,
            self.peers,
            self.catalog,
            self.clock,
            self.random,
        )
        self.heartbeats = Heartbeats(
            self.membership,
            self.peers,
            self.clock,
            self.random,
            self.settings.seeds,
            list_addresses=self.listing.addresses,
        )

    def make_configuration(self) -> None:
        """Create what accepts, fetches and distributes the configuration."""
        self.archive = SnapshotRepository(self.store)
        self.configuration = ConfigurationManager(
            self.me,
            self.peers,
            self.sample_peers,
            self.clock,
            self.random,
            self.timeline,
            self.metrics,
        )
        self.editor = ConfigurationEditor(self.configuration, self.archive, self.clock)
        self.relay = ConfigurationRelay(
            self.configuration,
            self.archive,
            self.directory.is_relay,
            self.clock,
            self.random,
        )

    def make_groups(self) -> None:
        """Create the homes of targets and the managers of their groups."""
        self.homes = LocalHomes(
            self.membership,
            self.directory,
            self.peers,
            self.clock,
            self.timeline,
            self.make_home,
            self.heartbeats.discovery.joined,
        )
        self.group_managers = GroupManagers(
            self.make_group_manager, self.homes.open_and_closing_homes
        )
        self.leaving_targets = LeavingTargetHandler(
            self.homes.get, self.group_managers.get, self.clock, self.timeline
        )
        self.hints = PrimaryHints(self.store, self.clock, self.random)
        self.executor = LocalStatementExecutor(
            self.homes.get,
            self.homes.find_transaction_home,
            self.group_managers.get,
            self.clock,
            self.me,
        )
        self.group_routes = GroupRoutes(
            self.catalog,
            self.homes.get,
            self.group_managers.get,
            self.executor,
            self.targets,
            self.directory,
            self.clock,
        )

    def make_requests(self) -> None:
        """Create what routes the statements of callers."""
        self.dispatcher = StatementDispatcher(
            self.executor, self.directory, self.peers, self.catalog, self.clock
        )
        self.views = GroupViewCache(
            self.clock,
            self.random,
            self.directory,
            self.peers,
            self.group_routes.view,
        )
        self.router = Router(
            self.dispatcher,
            self.views,
            ReplicaSelector(self.me.zone, self.random),
            self.clock,
            self.random,
            self.metrics,
        )
        self.api = Api(
            self.me,
            self.catalog,
            self.router,
            self.dispatcher,
            self.token_secrets(),
            self.clock,
            self.metrics,
            self.settings.limits.body_bytes,
        )

    def token_secrets(self) -> tuple[bytes, ...]:
        """Return the secrets of session tokens; the first one signs new tokens."""
        former = self.settings.former_token_secrets
        return tuple(
            secret.encode() for secret in (self.settings.token_secret, *former)
        )

    def make_administration(self) -> None:
        """Create the administration API."""
        self.source = HostSource(
            self.timeline,
            self.membership,
            self.configuration,
            self.homes,
            self.views,
            self.api,
            self.metrics,
            self.start_drain,
        )
        self.fleet = FleetQueries(self.source, self.peers)
        self.admin = Admin(
            self.source,
            self.fleet,
            OperatorAuthenticator(self.settings.admins),
            self.settings.limits.admin_body_bytes,
        )

    def connect(self) -> None:
        """Register peer handlers and connect the callbacks of the components."""
        self.heartbeats.register(self.routes)
        self.homes.register(self.routes)
        self.configuration.register(self.routes)
        self.group_routes.register(self.routes)
        self.leaving_targets.register(self.routes)
        self.fleet.register(self.routes)
        self.homes.on_change(self.group_managers.reconcile)
        self.listing.on_addresses = self.heartbeats.discovery.update_listed_addresses
        self.membership.on_newer_configuration = self.handle_peer_version
        self.dispatcher.on_host_lost = self.suspect_host
        self.membership.on_leave_requested = self.start_drain
        self.configuration.on_change(self.apply_configuration)

    async def start(self) -> None:
        """Join the other hosts and start serving."""
        self.timeline.record(EventKind.HOST_STARTED, self.me.host, zone=self.me.zone)
        self.spawn(self.heartbeats.run())
        await self.heartbeats.discovery.joined.wait()
        await self.configuration.start()
        await self.relay.start()
        self.spawn(self.homes.run())
        self.spawn(self.listing.run())
        self.source.state = HostPhase.SERVING

    async def drain(self) -> None:
        """Hand over the homes, then let requests in progress finish."""
        if self.draining is None:
            self.draining = asyncio.create_task(self.hand_over())
        await self.draining

    async def hand_over(self) -> None:
        """Hand over the homes, then stop accepting requests of callers.

        Callers are still served for `DRAIN_NOTICE_SECONDS`, until the load balancer
        has noticed that this host leaves.
        """
        self.timeline.record(EventKind.HOST_STOPPING, self.me.host)
        self.source.state = HostPhase.DRAINING
        self.api.leaving = True
        await asyncio.gather(self.homes.drain(), self.clock.sleep(DRAIN_NOTICE_SECONDS))
        self.api.draining = True
        while self.api.active_requests > 0:
            await self.clock.sleep(DRAIN_POLL_SECONDS)
        self.timeline.record(EventKind.DRAIN, self.me.host, step="done")

    async def close(self) -> None:
        """Cancel all tasks and release all resources immediately."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.leaving_targets.close()
        await self.group_managers.close()
        await self.homes.close()
        await self.relay.close()
        await self.configuration.close()
        await self.hints.close()
        await self.views.close()
        await self.peers.close()
        await self.store.close()
        await self.hostlist.close()

    def start_drain(self) -> None:
        """Start draining in the background; `on_drained` is called at the end."""
        task = asyncio.create_task(self.drain_and_notify())
        self.tasks.append(task)

    async def drain_and_notify(self) -> None:
        """Drain, then call `on_drained`."""
        await self.drain()
        self.on_drained()

    def catalog(self) -> Catalog | None:
        """Return the configuration in force."""
        return self.configuration.catalog

    def apply_configuration(self, catalog: Catalog) -> None:
        """Apply a configuration to all components."""
        self.membership.set_configuration_version(catalog.version)
        self.homes.apply(catalog)
        self.group_managers.apply_catalog(catalog)

    def handle_peer_version(self, peer: HostRef, version: int) -> None:
        """Handle a peer's announcement of a newer configuration version."""
        self.configuration.record_peer_version(version, peer)

    def sample_peers(self, count: int) -> list[HostRef]:
        """Return up to `count` live peers, chosen at random."""
        others = self.source.others()
        return self.random.sample(others, min(count, len(others)))

    def make_home(self, group: Group, member: Member, share: int) -> Home:
        """Create the home of a target."""
        catalog = self.catalog()
        return TargetHome(
            group,
            member,
            self.targets.target(member.member_id, member.address),
            share,
            Limits() if catalog is None else catalog.limits,
            self.clock,
            self.random,
            self.timeline,
            self.metrics,
        )

    def make_group_manager(self, group: Group) -> GroupManager:
        """Create the manager of a group."""
        return GroupManager(
            group,
            lambda: self.homes.of_group(group.name),
            self.directory,
            self.peers,
            self.clock,
            self.random,
            self.timeline,
            self.metrics,
            self.hints.publish,
            self.suspect_host,
        )

    def suspect_host(self, peer: HostRef) -> None:
        """Have heartbeats probe a host that did not respond."""
        self.heartbeats.request_probe(peer.host)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a background task until the host is closed; log its failure."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(report_failure)
        self.tasks.append(task)


def report_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a background task that has failed."""
    if not task.cancelled() and task.exception() is not None:
        log.error(
            "A background task of the host failed and is not restarted: {!r}.",
            task.exception(),
        )
