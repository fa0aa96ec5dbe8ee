"""How many proofs for statements are in progress."""

import asyncio


class Proofs:
    """Count proofs in progress, each within an ``async with`` block."""

    __slots__ = ("count", "none")

    def __init__(self) -> None:
        self.count = 0
        self.none = asyncio.Event()
        self.none.set()

    async def __aenter__(self) -> None:
        self.count += 1
        self.none.clear()

    async def __aexit__(self, *exc: object) -> None:
        self.count -= 1
        if self.count == 0:
            self.none.set()

    async def ended(self) -> None:
        """Return once no proof is in progress."""
        await self.none.wait()
