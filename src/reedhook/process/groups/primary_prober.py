"""Probes of a suspected primary through other hosts."""

import asyncio
from enum import Enum
from typing import Final

from ...host_directory import HostDirectory
from ...peer import HostRef, PeerClient, PeerError
from ...request.refusal import RefusalError
from ...version.catalog import Group
from ...wire import Json

PROBE_TIMEOUT_SECONDS: Final = 0.08
PROBE_RETRY_DELAY_SECONDS: Final = 0.04
RELAY_TIMEOUT_SECONDS: Final = 0.1
MAX_PROBED_HOSTS: Final = 3


class PrimaryLiveness(str, Enum):
    """Result of probing the primary; HOMELESS is alive without a working home."""

    ALIVE = "alive"
    HOMELESS = "homeless"
    LOST = "lost"


class PromotionCause(str, Enum):
    """Reason to consider a change of primary."""

    SILENT = "silent"
    TARGET_LOST = "target_lost"
    HOMELESS = "homeless"
    FENCED = "fenced"
    LEADERLESS = "leaderless"
    PLANNED = "planned"


class PrimaryProber:
    """Probe the primary through all hosts that may still reach it.

    These are its home and its standby hosts, and the homes of the other members,
    which may reach its availability zone when this host cannot.
    """

    def __init__(
        self, group: Group, directory: HostDirectory, peers: PeerClient
    ) -> None:
        self.group = group
        self.directory = directory
        self.peers = peers
        self.probe_tasks: set[asyncio.Task[PrimaryLiveness]] = set()

    async def probe_primary(self, primary: str) -> PrimaryLiveness:
        """Return the best result of any host."""
        direct = [
            self.spawn(primary, host, False) for host in self.direct_probers(primary)
        ]
        relayed = [
            self.spawn(primary, host, True) for host in self.indirect_probers(primary)
        ]
        return await best_probe_result(direct + relayed)

    async def probe_for_peer(self, primary: str) -> PrimaryLiveness:
        """Probe directly for a host that may not reach the primary's zone."""
        return await best_probe_result(
            [self.spawn(primary, host, False) for host in self.direct_probers(primary)]
        )

    def direct_probers(self, primary: str) -> list[HostRef]:
        """Return the hosts that can connect to the primary: its home and standbys."""
        for member in self.group.members:
            if member.member_id == primary:
                return self.directory.ranked(primary, member.zone)[:MAX_PROBED_HOSTS]
        return []

    def indirect_probers(self, primary: str) -> list[HostRef]:
        """Return the homes of the other members, which relay a probe."""
        own_host = self.directory.me.host
        direct = {host.host for host in self.direct_probers(primary)}
        found: dict[str, HostRef] = {}
        for member in self.group.members:
            host = self.directory.home(member.member_id, member.zone)
            if host is not None and host.host not in direct and host.host != own_host:
                found[host.host] = host
        return list(found.values())

    def spawn(
        self, primary: str, host: HostRef, relay: bool
    ) -> "asyncio.Task[PrimaryLiveness]":
        """Probe through one host in a task that may outlive the check."""
        task = asyncio.create_task(self.probe_with_retry(primary, host, relay))
        self.probe_tasks.add(task)
        task.add_done_callback(self.probe_tasks.discard)
        return task

    async def probe_with_retry(
        self, primary: str, host: HostRef, relay: bool
    ) -> PrimaryLiveness:
        """Probe through one host; send a second request in case the first is lost."""
        first = asyncio.create_task(self.probe_once(primary, host, relay))
        done, _ = await asyncio.wait([first], timeout=PROBE_RETRY_DELAY_SECONDS)
        if done and first.result() is not None:
            return first.result() or PrimaryLiveness.LOST
        second = asyncio.create_task(self.probe_once(primary, host, relay))
        for answer in asyncio.as_completed([first, second]):
            liveness = await answer
            if liveness is not None:
                return liveness
        return PrimaryLiveness.LOST

    async def probe_once(
        self, primary: str, host: HostRef, relay: bool
    ) -> PrimaryLiveness | None:
        """Send one probe; return None without an answer."""
        body = {"member": primary, "relay": relay}
        timeout = RELAY_TIMEOUT_SECONDS if relay else PROBE_TIMEOUT_SECONDS
        try:
            answer = await self.peers.call(host, "probe", body, timeout)
        except (PeerError, RefusalError):
            return None
        return parse_probe_answer(answer)


async def best_probe_result(
    questions: "list[asyncio.Task[PrimaryLiveness]]",
) -> PrimaryLiveness:
    """Return the best result, or ALIVE as soon as one host reports it."""
    best = PrimaryLiveness.LOST
    for probe in asyncio.as_completed(questions):
        liveness = await probe
        if liveness is PrimaryLiveness.ALIVE:
            return liveness
        if liveness is PrimaryLiveness.HOMELESS:
            best = liveness
    return best


def parse_probe_answer(answer: Json) -> PrimaryLiveness:
    """Parse the answer of the peer path ``probe``."""
    if not answer["alive"]:
        return PrimaryLiveness.LOST
    return PrimaryLiveness.ALIVE if answer["home"] else PrimaryLiveness.HOMELESS
