"""Interface for calls between hosts, replaced in tests."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from .record import Record
from .wire import Json

PeerHandler: TypeAlias = Callable[[Json], Awaitable[Json]]


class HostRef(Record):
    """Identify a host and the address of its peer interface.

    :param host: the host's id.
    :param zone: its availability zone.
    :param address: ``IP:port`` of its peer interface.
    """

    __slots__ = ("host", "zone", "address")

    def __init__(self, host: str, zone: str, address: str) -> None:
        self.host = host
        self.zone = zone
        self.address = address

    def to_json(self) -> list[str]:
        """Return the reference as JSON."""
        return [self.host, self.zone, self.address]

    @classmethod
    def from_json(cls, value: list[str]) -> "HostRef":
        """Parse a reference from JSON."""
        return cls(*value)


class PeerError(Exception):
    """Report that a peer did not answer.

    :param sent: whether the request may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerClient(ABC):
    """Send requests to other hosts."""

    @abstractmethod
    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        """Send `body` to the handler of `path` at `peer` and return its answer.

        :param path: one word, such as ``heartbeat``.
        :param timeout: in seconds.
        :raises PeerError: if the peer did not answer.
        :raises RefusalError: if the peer's handler raised it.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""


class PeerRoutes:
    """Map paths to the handlers of this host.

    A `RefusalError` of a handler is raised again at the calling host.
    """

    __slots__ = ("handlers",)

    def __init__(self) -> None:
        self.handlers: dict[str, PeerHandler] = {}

    def add(self, path: str, handler: PeerHandler) -> None:
        """Register `handler` for `path`."""
        self.handlers[path] = handler
