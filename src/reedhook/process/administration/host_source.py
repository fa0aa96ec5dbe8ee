"""Implementation of the administration API's interface to the host."""

from collections.abc import Callable
from typing import Final

from ...metrics import MemoryMetrics, Metrics
from ...peer import HostRef
from ...request.api import Api
from ...request.group_view import GroupView
from ...request.group_view_cache import GroupViewCache
from ...version.catalog import Catalog, Group
from ..configuring.configuration_manager import ConfigurationManager
from ..events.timeline import Timeline
from ..fleet.membership import Membership
from ..groups.local_homes import LocalHomes
from .admin_source import AdminSource
from .admin_status import HostPhase, HostStatus, KnownHost

MS_PER_SECOND: Final = 1000


class HostSource(AdminSource):
    """Collect the state of a host for the administration API.

    :param drain: starts to drain the host, without waiting for the end.
    :ivar state: the current phase, set by the host.
    """

    def __init__(
        self,
        timeline: Timeline,
        membership: Membership,
        configuration: ConfigurationManager,
        homes: LocalHomes,
        views: GroupViewCache,
        api: Api,
        kept_metrics: Metrics,
        drain: Callable[[], None],
    ) -> None:
        self.me = membership.me
        self.timeline = timeline
        self.membership = membership
        self.configuration = configuration
        self.homes = homes
        self.views = views
        self.api = api
        self.kept_metrics = kept_metrics
        self.drain = drain
        self.state = HostPhase.STARTING
        self.started_ms = int(timeline.clock.wall() * MS_PER_SECOND)

    def now(self) -> float:
        return self.timeline.clock.monotonic()

    def status(self) -> HostStatus:
        since = self.configuration.in_force_since
        return HostStatus(
            host=self.me.host,
            zone=self.me.zone,
            address=self.me.address,
            state=self.state,
            version=self.configuration.version,
            in_force_ms=None if since is None else int(since * MS_PER_SECOND),
            started_ms=self.started_ms,
            active=self.api.active_requests,
            homes=tuple(sorted(self.homes.held)),
            rejected_stamps=self.timeline.rejected,
        )

    def known_hosts(self) -> list[KnownHost]:
        return [
            KnownHost(
                record.ref.host,
                record.ref.zone,
                record.ref.address,
                record.state.name.lower(),
                self.version_of(record.ref.host),
            )
            for record in self.membership.table.records.values()
        ]

    def version_of(self, host: str) -> int | None:
        """Return the configuration version that `host` last reported, or None."""
        if host == self.me.host:
            return self.configuration.version
        return self.membership.configuration_versions.get(host)

    def others(self) -> list[HostRef]:
        return [
            record.ref
            for record in self.membership.table.records.values()
            if record.live and record.ref.host != self.me.host
        ]

    def catalog(self) -> Catalog | None:
        return self.configuration.catalog

    async def view(self, group: Group) -> GroupView:
        await self.views.refresh(group)
        return self.views.group(group.name).view

    def home(self, member: str, zone: str) -> HostRef | None:
        return self.homes.directory.home(member, zone)

    def start_drain(self) -> None:
        self.drain()

    def metrics(self) -> MemoryMetrics | None:
        metrics = self.kept_metrics
        return metrics if isinstance(metrics, MemoryMetrics) else None
