"""Planned change of primary with a short pause of writes."""

import asyncio
from typing import Final

from ...clock import Clock
from .group_promotion_coordinator import GroupPromotionCoordinator
from .group_state import GroupState
from .primary_prober import PromotionCause

MAX_CATCH_UP_WAIT_SECONDS: Final = 0.5
CATCH_UP_POLL_INTERVAL_SECONDS: Final = 0.005


class PlannedHandover:
    """Hold writes back while the lead moves to a replica that has them all."""

    def __init__(
        self,
        group_state: GroupState,
        coordinator: GroupPromotionCoordinator,
        clock: Clock,
    ) -> None:
        self.group_state = group_state
        self.coordinator = coordinator
        self.clock = clock
        self.writes_allowed = asyncio.Event()
        self.writes_allowed.set()

    async def run(self, timeout: float) -> bool:
        """Move the lead; return whether another member leads now."""
        former = self.group_state.primary
        if former is None:
            return False
        self.writes_allowed.clear()
        try:
            async with asyncio.timeout(timeout):
                await self.wait_for_caught_up_replica(former)
                while self.group_state.primary == former:
                    await self.coordinator.change_primary(PromotionCause.PLANNED, 0.0)
        except TimeoutError:
            pass
        finally:
            self.writes_allowed.set()
        return self.group_state.primary not in (former, None)

    async def wait_for_caught_up_replica(self, former: str) -> None:
        """Wait a little for a replica that holds all that `former` holds."""
        until = self.clock.monotonic() + MAX_CATCH_UP_WAIT_SECONDS
        while self.clock.monotonic() < until and not self.has_caught_up_replica(former):
            await self.clock.sleep(CATCH_UP_POLL_INTERVAL_SECONDS)

    def has_caught_up_replica(self, former: str) -> bool:
        """Say whether some replica holds all that `former` is known to hold."""
        states = self.group_state.states
        if former not in states:
            return True
        return any(
            state.held.covers(states[former].held)
            for member, state in states.items()
            if member != former
        )
