"""Interface between the administration API and the host."""

from abc import ABC, abstractmethod

from ...metrics import MemoryMetrics
from ...peer import HostRef
from ...request.group_view import GroupView
from ...version.catalog import Catalog, Group
from ..events.timeline import Timeline
from .admin_status import HostStatus, KnownHost


class AdminSource(ABC):
    """Report the state of this host and drain it.

    :ivar me: this host.
    :ivar timeline: the events of this host.
    """

    me: HostRef
    timeline: Timeline

    @abstractmethod
    def now(self) -> float:
        """Return local monotonic time in seconds."""

    @abstractmethod
    def status(self) -> HostStatus:
        """Return the status of this host."""

    @abstractmethod
    def known_hosts(self) -> list[KnownHost]:
        """Return all known hosts, including this one."""

    @abstractmethod
    def others(self) -> list[HostRef]:
        """Return all other live hosts."""

    @abstractmethod
    def catalog(self) -> Catalog | None:
        """Return the configuration in force, or None before the first."""

    @abstractmethod
    async def view(self, group: Group) -> GroupView:
        """Query the homes of `group` and return the group's view."""

    @abstractmethod
    def home(self, member: str, zone: str) -> HostRef | None:
        """Return the home of a target."""

    @abstractmethod
    def start_drain(self) -> None:
        """Start to drain this host, without waiting for the end."""

    @abstractmethod
    def metrics(self) -> MemoryMetrics | None:
        """Return the metrics of this process; None if not kept in memory."""
