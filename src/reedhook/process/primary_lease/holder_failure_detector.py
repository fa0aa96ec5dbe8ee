"""Whether the holders of leads live, asked by those who would take over."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from ...clock import Clock
from ...decision_log import DecisionLog
from ...peer import HostRef, PeerClient, PeerError, PeerRoutes
from ...request.refusal import RefusalError
from ...wire import Json, WireError
from ..fleet.membership_table import MembershipTable

ALIVE_PATH: Final = "alive"
REACH_PATH: Final = "reaches"

PROBE_INTERVAL_SECONDS: Final = 0.3
"""Seconds between two questions to a holder. Membership notices the loss of a
host of another zone within seconds; writes wait for this one."""

PROBE_TIMEOUT_SECONDS: Final = 0.25
"""Seconds for an answer, which takes 3 ms; a host that does not answer for as
long is asked for elsewhere."""

LOST_VALIDITY_SECONDS: Final = 2.0
"""Seconds for which a finding is believed; one takes up to 1.3 s, so that it is
renewed before."""

MAX_INDIRECT_PROBERS: Final = 3
"""Hosts that are asked whether they reach the holder."""


class HolderFailureDetector:
    """Ask after holders, and say which are lost.

    A host that reaches nobody in another availability zone calls nobody lost:
    more likely it is cut off itself.

    :ivar lost_at: when hosts were last found lost, by monotonic time.
    :ivar on_lost: is called when a host was found lost.
    """

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
    ) -> None:
        self.me = me
        self.table = table
        self.peers = peers
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.lost_at: dict[str, float] = {}
        self.probed_at: dict[str, float] = {}
        self.probe_tasks: dict[str, asyncio.Task[None]] = {}
        self.on_lost: Callable[[], None] = lambda: None

    def register(self, routes: PeerRoutes) -> None:
        """Add the handlers of this host."""
        routes.add(ALIVE_PATH, self.handle_alive)
        routes.add(REACH_PATH, self.handle_reaches)

    async def handle_alive(self, body: Json) -> Json:
        """Say that this host lives."""
        return {}

    async def handle_reaches(self, body: Json) -> Json:
        """Say whether this host reaches another one."""
        try:
            host = HostRef.from_json(body["host"])
        except (LookupError, TypeError) as error:
            raise WireError("a host is expected") from error
        return {"reached": await self.is_reachable(host)}

    def probe_if_due(self, host: HostRef) -> None:
        """Ask after a host unless that was done of late."""
        now = self.clock.monotonic()
        if now - self.probed_at.get(host.host, float("-inf")) < PROBE_INTERVAL_SECONDS:
            return
        known = self.probe_tasks.get(host.host)
        if known is not None and not known.done():
            return
        self.probed_at[host.host] = now
        loop = asyncio.get_running_loop()
        self.probe_tasks[host.host] = loop.create_task(self.probe(host))

    async def probe(self, host: HostRef) -> None:
        """Ask a host; without an answer, ask again and ask others about it.

        The second question goes out on a new connection.
        """
        if await self.is_reachable(host):
            self.lost_at.pop(host.host, None)
            return
        again, *answers = await asyncio.gather(
            self.is_reachable(host),
            *(self.probe_indirectly(one, host) for one in self.choose_probers(host)),
        )
        if again:
            self.lost_at.pop(host.host, None)
            return
        if True in answers or False not in answers:
            return
        self.lost_at[host.host] = self.clock.monotonic()
        self.decisions.record("holder_lost", lost=host.host, witnesses=len(answers))
        self.on_lost()

    def is_lost(self, host: HostRef) -> bool:
        """Say whether a host was found lost just now."""
        now = self.clock.monotonic()
        return now - self.lost_at.get(host.host, float("-inf")) < LOST_VALIDITY_SECONDS

    def clear_lost(self, host: HostRef) -> None:
        """Drop what was found: the host was heard of in another life."""
        self.lost_at.pop(host.host, None)

    async def is_reachable(
        self, host: HostRef, timeout: float = PROBE_TIMEOUT_SECONDS
    ) -> bool:
        """Say whether a host answers within `timeout` seconds."""
        try:
            await self.peers.call(host, ALIVE_PATH, {}, timeout)
        except (PeerError, RefusalError):
            return False
        return True

    async def probe_indirectly(self, prober: HostRef, host: HostRef) -> bool | None:
        """Ask a witness; None if it gives no answer itself."""
        body: Json = {"host": host.to_json()}
        try:
            answer = await self.peers.call(
                prober, REACH_PATH, body, 2 * PROBE_TIMEOUT_SECONDS
            )
        except (PeerError, RefusalError):
            return None
        return answer.get("reached") is True

    def choose_probers(self, host: HostRef) -> list[HostRef]:
        """Choose hosts of other zones than this one's, of each zone in turn.

        Where all hosts are in one zone, others of that zone are chosen.
        """
        others = [
            ref
            for ref in self.table.refs()
            if ref.host not in (self.me.host, host.host)
        ]
        self.random.shuffle(others)
        far = [ref for ref in others if ref.zone != self.me.zone] or others
        far.sort(key=lambda ref: ref.zone == host.zone)
        return far[:MAX_INDIRECT_PROBERS]
