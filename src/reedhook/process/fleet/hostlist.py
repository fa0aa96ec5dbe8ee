"""Interface of the platform's lagging list of live and leaving hosts."""

from abc import ABC, abstractmethod
from enum import Enum

from ...record import Record


class ListedState(str, Enum):
    """Name the state that the platform gives a host."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedKind(str, Enum):
    """Name what a line of the list stands for."""

    HOST = "host"
    TARGET = "target"


class HostListEntry(Record):
    """Carry one line of the platform's list.

    :param host: the id of the entry host or target.
    :param zone: its availability zone.
    :param address: ``IP:port`` where other hosts reach it.
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
    """Say that the list could not be read."""


class HostList(ABC):
    """Read the platform's list."""

    @abstractmethod
    async def hosts(self, timeout: float) -> list[HostListEntry]:
        """Return the entry hosts and targets listed now.

        :raises HostListUnavailable: if no answer came.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""
