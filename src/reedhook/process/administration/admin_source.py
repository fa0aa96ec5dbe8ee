"""What the administration API needs of the host, behind one interface."""

from abc import ABC, abstractmethod

from ...metrics import MemoryMetrics
from ...peer import HostRef
from ...request.group_view import GroupView
from ...version.catalog import Catalog, Group
from ..events.timeline import Timeline
from .admin_status import HostStatus, KnownHost


class AdminSource(ABC):
    """Tell of this host and act on it.

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
        """Return what this host says of itself."""

    @abstractmethod
    def known_hosts(self) -> list[KnownHost]:
        """Return all hosts that are known, this one included."""

    @abstractmethod
    def others(self) -> list[HostRef]:
        """Return all other hosts that may answer."""

    @abstractmethod
    def catalog(self) -> Catalog | None:
        """Return the configuration in force here."""

    @abstractmethod
    async def view(self, group: Group) -> GroupView:
        """Return what the homes of `group` know of it."""

    @abstractmethod
    def home(self, member: str, zone: str) -> HostRef | None:
        """Return the home of a target."""

    @abstractmethod
    def start_drain(self) -> None:
        """Begin to hand over all work; return at once."""

    @abstractmethod
    def metrics(self) -> MemoryMetrics | None:
        """Return the metrics gathered in this process, if they are kept."""
