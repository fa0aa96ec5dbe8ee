"""Interface to the clocks of the operating system, replaced in tests."""

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Read time and sleep."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return monotonic time in seconds."""

    def boottime(self) -> float:
        """Return monotonic time that includes time in suspension, in seconds.

        Leases and proofs of age use it: the monotonic clock stops while the
        machine is suspended, so that they would appear too young.
        """
        return self.monotonic()

    @abstractmethod
    def wall(self) -> float:
        """Return wall-clock time in seconds since the epoch, for display only."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleep for `seconds`."""


class SystemClock(Clock):
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        return time.monotonic()

    def boottime(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
