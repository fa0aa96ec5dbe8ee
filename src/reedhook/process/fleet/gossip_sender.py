"""Rate-limited gossip of urgent membership updates."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

from ...clock import Clock
from ...peer import HostRef
from .local_health import LocalHealth
from .membership_table import MembershipTable

GOSSIP_FANOUT: Final = 4
BATCH_DELAY_SECONDS: Final = 0.002
MAX_BURST_ROUNDS: Final = 6.0
MAX_ROUNDS_PER_SECOND: Final = 2.0


class GossipSender:
    """Send a heartbeat to a few random hosts as soon as there is an update.

    Each host that receives a new update does the same, so it reaches all hosts in
    a few rounds; periodic heartbeats reach those that were missed.

    :param probe: sends a heartbeat to one host.
    """

    def __init__(
        self,
        me: HostRef,
        table: MembershipTable,
        probe: Callable[[HostRef], Awaitable[bool]],
        health: LocalHealth,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.table = table
        self.probe = probe
        self.health = health
        self.clock = clock
        self.rng = rng
        self.gossip_pending = asyncio.Event()
        self.tokens = MAX_BURST_ROUNDS
        self.allowed_at = clock.monotonic()

    async def run(self) -> None:
        """Send batched updates until cancelled."""
        while True:
            await self.gossip_pending.wait()
            await self.clock.sleep(BATCH_DELAY_SECONDS)
            self.gossip_pending.clear()
            await self.spend()
            await asyncio.gather(*map(self.probe, self.choose_peers()))

    def choose_peers(self) -> list[HostRef]:
        """Choose the peers of one round, most of them in this zone."""
        live = [ref for ref in self.table.refs() if ref != self.me]
        near = [ref for ref in live if ref.zone == self.me.zone]
        far = [ref for ref in live if ref.zone != self.me.zone]
        chosen = self.sample(near, GOSSIP_FANOUT - 1)
        return chosen + self.sample(far, GOSSIP_FANOUT - len(chosen))

    def sample(self, refs: list[HostRef], count: int) -> list[HostRef]:
        """Return up to `count` of `refs` at random."""
        return self.rng.sample(refs, min(count, len(refs)))

    async def spend(self) -> None:
        """Take a token of the rate limit, waiting for one if necessary."""
        now = self.clock.monotonic()
        gained = (
            (now - self.allowed_at) * MAX_ROUNDS_PER_SECOND / self.health.timeout_factor
        )
        self.tokens = min(MAX_BURST_ROUNDS, self.tokens + gained)
        self.allowed_at = now
        self.tokens -= 1.0
        if self.tokens < 0:
            await self.clock.sleep(-self.tokens / MAX_ROUNDS_PER_SECOND)
