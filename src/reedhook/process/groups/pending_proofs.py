"""Count of the consistency proofs in progress."""

import asyncio


class PendingProofs:
    """Count proofs in progress, each within an ``async with`` block."""

    __slots__ = ("count", "idle")

    def __init__(self) -> None:
        self.count = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def __aenter__(self) -> None:
        self.count += 1
        self.idle.clear()

    async def __aexit__(self, *exc: object) -> None:
        self.count -= 1
        if self.count == 0:
            self.idle.set()

    async def wait_until_idle(self) -> None:
        """Return once no proof is in progress."""
        await self.idle.wait()
