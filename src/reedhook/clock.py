"""Time as the process sees it, behind an interface that tests replace."""

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Give monotonic time in seconds and let tasks sleep."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return monotonic time in seconds."""

    def boottime(self) -> float:
        """Return seconds that also pass while the machine is suspended.

        Permissions and proofs of age run on it: the monotonic clock stands
        still during a suspension, and what it dates would look too young.
        """
        return self.monotonic()

    @abstractmethod
    def wall(self) -> float:
        """Return wall-clock time in seconds since the epoch, for people only."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleep for `seconds`."""


class SystemClock(Clock):
    """Read the clock of the operating system."""

    def monotonic(self) -> float:
        return time.monotonic()

    def boottime(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
