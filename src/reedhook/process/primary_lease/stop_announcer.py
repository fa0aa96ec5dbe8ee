"""Statements of a stopping host that it uses the primary of a service no more."""

import asyncio
from collections.abc import Callable
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from ...wire import Json
from .lease_record import HostIncarnation, PrimaryLeaseRecord
from .lease_registry import PrimaryLeaseRegistry

STOPPED_PATH: Final = "stopped"

INTERVAL_SECONDS: Final = 0.3
TIMEOUT_SECONDS: Final = 0.5


class StopAnnouncer:
    """Tell the holders whose records name this host that it has stopped for good.

    Once the process has ended, nobody can answer for it, and each holder would wait
    until its lease has expired.

    :param may_use: returns whether this host may still use the primary of a service.
    :ivar told: services with the holder that knows it.
    """

    def __init__(
        self,
        me: HostIncarnation,
        registry: PrimaryLeaseRegistry,
        may_use: Callable[[str], bool],
        peers: PeerClient,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.registry = registry
        self.may_use = may_use
        self.peers = peers
        self.clock = clock
        self.decisions = decisions
        self.told: set[tuple[str, HostIncarnation]] = set()

    async def run(self) -> None:
        """Tell present and later holders until cancelled."""
        while True:
            due = [one for one in self.registry.records.values() if self.is_due(one)]
            await asyncio.gather(*(self.tell(record) for record in due))
            await self.clock.sleep(INTERVAL_SECONDS)

    def is_due(self, record: PrimaryLeaseRecord) -> bool:
        """Return whether the holder of a record waits for this host."""
        if (record.service, record.holder) in self.told:
            return False
        if self.me != record.backup_holder and self.me not in record.former:
            return False
        return not self.may_use(record.service)

    async def tell(self, record: PrimaryLeaseRecord) -> None:
        """Tell the holder of a record; it is told again unless it confirms."""
        if await self.is_noted(record.holder.ref, record.service):
            self.told.add((record.service, record.holder))
            self.decisions.record(
                "stop_noted", service=record.service, host=record.holder.ref.host
            )

    async def is_noted(self, holder: HostRef, service: str) -> bool:
        """Send the statement; return whether the host holds the lease and noted it."""
        body: Json = {"service": service, "life": self.me.incarnation}
        try:
            answer = await self.peers.call(holder, STOPPED_PATH, body, TIMEOUT_SECONDS)
        except (PeerError, RefusalError) as error:
            self.decisions.record(
                "stop_not_noted", service=service, host=holder.host, error=str(error)
            )
            return False
        return answer.get("noted") is True
