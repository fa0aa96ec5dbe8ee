"""Calls between hosts of the system, behind an interface that tests replace."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from .record import Record
from .wire import Json

PeerHandler: TypeAlias = Callable[[Json], Awaitable[Json]]


class HostRef(Record):
    """Name a host of the system and where other hosts reach it.

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
        """Return the reference as it stands on the wire."""
        return [self.host, self.zone, self.address]

    @classmethod
    def from_json(cls, value: list[str]) -> "HostRef":
        """Read a reference from the wire."""
        return cls(*value)


class PeerError(Exception):
    """Say that a peer gave no answer.

    :param sent: whether the request may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerClient(ABC):
    """Call other hosts."""

    @abstractmethod
    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        """Send `body` to the handler of `path` at `peer` and return its answer.

        :param path: one word, such as ``heartbeat``.
        :param timeout: in seconds.
        :raises PeerError: if no answer came.
        :raises Refusal: if the peer's handler raised one.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release connections."""


class PeerRoutes:
    """Map paths to the handlers of this host.

    A handler may raise `Refusal`, which reaches the calling host as such.
    """

    __slots__ = ("handlers",)

    def __init__(self) -> None:
        self.handlers: dict[str, PeerHandler] = {}

    def add(self, path: str, handler: PeerHandler) -> None:
        """Register `handler` for `path`."""
        self.handlers[path] = handler
