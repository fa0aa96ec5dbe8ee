"""Planned handover of the primary with a short pause of writes."""

import asyncio
from typing import Final

from ...clock import Clock
from .group_promotion_coordinator import GroupPromotionCoordinator
from .group_state import GroupState
from .primary_prober import PromotionCause

MAX_CATCH_UP_WAIT_SECONDS: Final = 0.5
CATCH_UP_POLL_INTERVAL_SECONDS: Final = 0.005


class PlannedHandover:
    """Pause writes while a replica that holds all of them is promoted."""

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
        """Promote another member; return whether another one leads now."""
        former_primary = self.group_state.primary
        if former_primary is None:
            return False
        self.writes_allowed.clear()
        try:
            async with asyncio.timeout(timeout):
                await self.wait_for_caught_up_replica(former_primary)
                while self.group_state.primary == former_primary:
                    await self.coordinator.change_primary(PromotionCause.PLANNED, 0.0)
        except TimeoutError:
            pass
        finally:
            self.writes_allowed.set()
        return self.group_state.primary not in (former_primary, None)

    async def wait_for_caught_up_replica(self, former: str) -> None:
        """Wait for a replica that holds all entries of `former`, up to a limit."""
        deadline = self.clock.monotonic() + MAX_CATCH_UP_WAIT_SECONDS
        while self.clock.monotonic() < deadline and not self.has_caught_up_replica(
            former
        ):
            await self.clock.sleep(CATCH_UP_POLL_INTERVAL_SECONDS)

    def has_caught_up_replica(self, former: str) -> bool:
        """Return whether a replica holds all entries that `former` is known to hold."""
        states = self.group_state.states
        if former not in states:
            return True
        return any(
            state.held.covers(states[former].held)
            for member, state in states.items()
            if member != former
        )
