"""A network partition between zones, injected into the hosts' adapters."""

from typing import Final

from reedhook.clock import Clock
from reedhook.peer import HostRef, PeerClient, PeerError
from reedhook.process.configuring.store import StoreUnavailableError
from reedhook.process.configuring.store_http import HttpStore
from reedhook.process.fleet.hostlist import HostListEntry, HostListUnavailableError
from reedhook.process.fleet.hostlist_http import HttpHostList
from reedhook.wire import Json

LOST: Final = "the message was lost in the partition"


class ZonePartition:
    """Record which zones are cut off from one another and from the platform.

    :ivar cut_off: the isolated zones, each separated from all others.
    """

    __slots__ = ("cut_off", "clock")

    def __init__(self, clock: Clock) -> None:
        self.cut_off: set[str] = set()
        self.clock = clock

    def separates(self, one: str, other: str) -> bool:
        """Return whether messages between two zones are lost."""
        return one != other and bool({one, other} & self.cut_off)


class PartitionedPeers(PeerClient):
    """Drop calls across the partition, and the answers in flight.

    :param zone: the zone of the calling host.
    """

    def __init__(self, peers: PeerClient, zone: str, partition: ZonePartition) -> None:
        self.peers = peers
        self.zone = zone
        self.partition = partition
        self.closed = False

    async def call(self, peer: HostRef, path: str, body: Json, timeout: float) -> Json:
        if self.closed:
            raise PeerError("the calling host is dead", sent=False)
        clock = self.partition.clock
        until = clock.monotonic() + timeout
        if not self.partition.separates(self.zone, peer.zone):
            answer = await self.peers.call(peer, path, body, timeout)
            if not self.partition.separates(self.zone, peer.zone):
                return answer
        await clock.sleep(until - clock.monotonic())
        raise PeerError(LOST, sent=True)

    async def close(self) -> None:
        self.closed = True
        await self.peers.close()


class PartitionedStore(HttpStore):
    """Drop calls of a zone that is cut off from the platform."""

    def __init__(self, address: str, zone: str, partition: ZonePartition) -> None:
        super().__init__(address)
        self.zone = zone
        self.partition = partition

    async def ask(self, path: str, body: Json, timeout: float) -> Json:
        clock = self.partition.clock
        until = clock.monotonic() + timeout
        if self.zone not in self.partition.cut_off:
            answer = await super().ask(path, body, timeout)
            if self.zone not in self.partition.cut_off:
                return answer
        await clock.sleep(until - clock.monotonic())
        raise StoreUnavailableError(LOST)


class PartitionedHostList(HttpHostList):
    """Drop calls of a zone that is cut off from the platform."""

    def __init__(self, address: str, zone: str, partition: ZonePartition) -> None:
        super().__init__(address)
        self.zone = zone
        self.partition = partition

    async def hosts(self, timeout: float) -> list[HostListEntry]:
        if self.zone in self.partition.cut_off:
            await self.partition.clock.sleep(timeout)
            raise HostListUnavailableError(LOST)
        return await super().hosts(timeout)
