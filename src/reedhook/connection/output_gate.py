"""Pause of a connection whose peer does not read what is written to it.

A transport keeps what its socket does not take, without a bound. It calls
`pause_writing` above its high-water mark; whoever writes has to wait then.
"""

import asyncio


class OutputGate:
    """Hold writers back while a peer does not read.

    :ivar open: set unless the transport holds more than its high-water mark.
    """

    __slots__ = ("open",)

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()

    async def passable(self, timeout: float) -> bool:
        """Wait until more may be written; return whether that was in time.

        A lost connection opens the gate, so that its writers can end.
        """
        if self.open.is_set():
            return True
        try:
            async with asyncio.timeout(timeout):
                await self.open.wait()
        except TimeoutError:
            return False
        return True


class GatedProtocol(asyncio.Protocol):
    """Handle the flow control of a connection that writes through a gate."""

    def __init__(self) -> None:
        self.output = OutputGate()

    def pause_writing(self) -> None:
        """Close the gate; called by the event loop."""
        self.output.open.clear()

    def resume_writing(self) -> None:
        """Open the gate; called by the event loop."""
        self.output.open.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Open the gate for good; called by the event loop."""
        self.output.open.set()
