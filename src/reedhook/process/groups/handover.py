"""Planned change of primary with a short pause of writes."""

import asyncio
from typing import Final

from ...clock import Clock
from .coordinator import Coordinator
from .knowledge import Knowledge
from .suspicion import Cause

CATCH_UP: Final = 0.5
CATCH_UP_STEP: Final = 0.005


class HandOver:
    """Hold writes back while the lead moves to a replica that has them all."""

    def __init__(
        self, knowledge: Knowledge, coordinator: Coordinator, clock: Clock
    ) -> None:
        self.knowledge = knowledge
        self.coordinator = coordinator
        self.clock = clock
        self.open = asyncio.Event()
        self.open.set()

    async def run(self, timeout: float) -> bool:
        """Move the lead; return whether another member leads now."""
        former = self.knowledge.primary
        if former is None:
            return False
        self.open.clear()
        try:
            async with asyncio.timeout(timeout):
                await self.caught_up(former)
                while self.knowledge.primary == former:
                    await self.coordinator.change(Cause.PLANNED, 0.0)
        except TimeoutError:
            pass
        finally:
            self.open.set()
        return self.knowledge.primary not in (former, None)

    async def caught_up(self, former: str) -> None:
        """Wait a little for a replica that holds all that `former` holds."""
        until = self.clock.monotonic() + CATCH_UP
        while self.clock.monotonic() < until and not self.matched(former):
            await self.clock.sleep(CATCH_UP_STEP)

    def matched(self, former: str) -> bool:
        """Say whether some replica holds all that `former` is known to hold."""
        states = self.knowledge.states
        if former not in states:
            return True
        return any(
            state.held.covers(states[former].held)
            for member, state in states.items()
            if member != former
        )
