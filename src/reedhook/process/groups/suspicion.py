"""Doubts about the primary, and the questions that settle them."""

import asyncio
from enum import Enum
from typing import Final

from ...directory import Directory
from ...peer import HostRef, PeerError, Peers
from ...request.refusal import RefusalError
from ...version.catalog import Group
from ...wire import Json

PROBE_TIMEOUT: Final = 0.08
PROBE_AGAIN: Final = 0.04
RELAY_TIMEOUT: Final = 0.1
ASKED_HOSTS: Final = 3


class Evidence(str, Enum):
    """Name what could be found out about the primary."""

    ALIVE = "alive"
    HOMELESS = "homeless"
    LOST = "lost"


class Cause(str, Enum):
    """Name why a change of primary is weighed."""

    SILENT = "silent"
    TARGET_LOST = "target_lost"
    HOMELESS = "homeless"
    FENCED = "fenced"
    LEADERLESS = "leaderless"
    PLANNED = "planned"


class Verifier:
    """Ask all hosts that may still reach the primary whether it answers.

    These are its home and its standbys, and the homes of the other replicas,
    which may reach its zone when this host cannot.
    """

    def __init__(self, group: Group, directory: Directory, peers: Peers) -> None:
        self.group = group
        self.directory = directory
        self.peers = peers
        self.asking: set[asyncio.Task[Evidence]] = set()

    async def check(self, primary: str) -> Evidence:
        """Return the best evidence that any host gives."""
        near = [self.spawn(primary, host, False) for host in self.near(primary)]
        far = [self.spawn(primary, host, True) for host in self.far(primary)]
        return await best_of(near + far)

    async def relayed(self, primary: str) -> Evidence:
        """Ask on behalf of a host that may not reach the primary's zone."""
        return await best_of(
            [self.spawn(primary, host, False) for host in self.near(primary)]
        )

    def near(self, primary: str) -> list[HostRef]:
        """Return the hosts that talk to the primary themselves."""
        for member in self.group.members:
            if member.member == primary:
                return self.directory.ranked(primary, member.zone)[:ASKED_HOSTS]
        return []

    def far(self, primary: str) -> list[HostRef]:
        """Return the homes of the other members."""
        me = self.directory.me.host
        near = {host.host for host in self.near(primary)}
        found: dict[str, HostRef] = {}
        for member in self.group.members:
            host = self.directory.home(member.member, member.zone)
            if host is not None and host.host not in near and host.host != me:
                found[host.host] = host
        return list(found.values())

    def spawn(
        self, primary: str, host: HostRef, relay: bool
    ) -> "asyncio.Task[Evidence]":
        """Ask one host in a task that may outlive the check."""
        task = asyncio.create_task(self.ask_twice(primary, host, relay))
        self.asking.add(task)
        task.add_done_callback(self.asking.discard)
        return task

    async def ask_twice(self, primary: str, host: HostRef, relay: bool) -> Evidence:
        """Ask one host, and again soon after, since one message may be lost."""
        first = asyncio.create_task(self.ask(primary, host, relay))
        done, _ = await asyncio.wait([first], timeout=PROBE_AGAIN)
        if done and first.result() is not None:
            return first.result() or Evidence.LOST
        second = asyncio.create_task(self.ask(primary, host, relay))
        for answer in asyncio.as_completed([first, second]):
            evidence = await answer
            if evidence is not None:
                return evidence
        return Evidence.LOST

    async def ask(self, primary: str, host: HostRef, relay: bool) -> Evidence | None:
        """Ask once; None if no answer came."""
        body = {"member": primary, "relay": relay}
        timeout = RELAY_TIMEOUT if relay else PROBE_TIMEOUT
        try:
            answer = await self.peers.call(host, "probe", body, timeout)
        except (PeerError, RefusalError):
            return None
        return evidence_of(answer)


async def best_of(questions: "list[asyncio.Task[Evidence]]") -> Evidence:
    """Return the best answer; at once when the primary's home is shown alive."""
    best = Evidence.LOST
    for answer in asyncio.as_completed(questions):
        evidence = await answer
        if evidence is Evidence.ALIVE:
            return evidence
        if evidence is Evidence.HOMELESS:
            best = evidence
    return best


def evidence_of(answer: Json) -> Evidence:
    """Read the answer of the peer path ``probe``."""
    if not answer["alive"]:
        return Evidence.LOST
    return Evidence.ALIVE if answer["home"] else Evidence.HOMELESS
