"""Interface to the platform's eventually consistent list of hosts."""

from abc import ABC, abstractmethod
from enum import Enum

from ...record import Record


class ListedState(str, Enum):
    """State of a host or target in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedKind(str, Enum):
    """Kind of an entry in the platform's list."""

    HOST = "host"
    TARGET = "target"


class HostListEntry(Record):
    """Describe one entry of the platform's list.

    :param host: the id of the entry host or target.
    :param zone: its availability zone.
    :param address: ``IP:port`` for connections from other hosts.
    :param kind: whether it is an entry host or a target.
    """

    __slots__ = ("host", "zone", "address", "state", "kind")

    def __init__(
        self,
        host: str,
        zone: str,
        address: str,
        state: ListedState,
        kind: ListedKind = ListedKind.HOST,
    ) -> None:
        self.host = host
        self.zone = zone
        self.address = address
        self.state = state
        self.kind = kind


class HostListUnavailableError(Exception):
    """Signal that the list could not be read."""


class HostList(ABC):
    """Read the platform's list."""

    @abstractmethod
    async def hosts(self, timeout: float) -> list[HostListEntry]:
        """Return the entry hosts and targets listed now.

        :raises HostListUnavailableError: if there is no valid response.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
