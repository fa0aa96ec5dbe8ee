"""Hedged reads: a second attempt at another member if the first is slow."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, Generic, TypeVar

from .refusal import RefusalError

T = TypeVar("T")

QUANTILE: Final = 0.95
INITIAL_ESTIMATE_SECONDS: Final = 0.05
STEP_FACTOR: Final = 0.02
MIN_DELAY_SECONDS: Final = 0.002


class LatencyPercentile:
    """Estimate the 95th percentile of durations, one step for each sample.

    :ivar seconds: the estimate.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = INITIAL_ESTIMATE_SECONDS

    def add(self, duration: float) -> None:
        """Update the estimate with a duration in seconds."""
        if duration > self.seconds:
            self.seconds *= 1.0 + STEP_FACTOR * QUANTILE
        else:
            self.seconds *= 1.0 - STEP_FACTOR * (1.0 - QUANTILE)
        self.seconds = max(self.seconds, MIN_DELAY_SECONDS)


class HedgedRead(Generic[T]):
    """Run a second attempt after `delay` seconds without a response.

    The first attempt runs in the caller's task, so that a read without a hedge
    costs one timer and no task. The first response wins; the other attempt is
    cancelled.

    :param start_second: returns the second attempt; None if no member or no budget
        is left for it.
    :ivar owner: the task that runs the first attempt; None when it is not running.
    :ivar interrupted: whether the second attempt cancelled the first, or replaced it.
    """

    __slots__ = ("delay", "start_second", "owner", "second_attempt", "interrupted")

    def __init__(
        self,
        delay: float,
        start_second: Callable[[], Coroutine[Any, Any, T] | None],
    ) -> None:
        self.delay = delay
        self.start_second = start_second
        self.owner: asyncio.Task[Any] | None = None
        self.second_attempt: asyncio.Task[T] | None = None
        self.interrupted = False

    async def run(self, first: Awaitable[T]) -> T:
        """Return the first response.

        :raises RefusalError: the refusal of the last attempt, if both fail.
        """
        self.owner = asyncio.current_task()
        timer = asyncio.get_running_loop().call_later(self.delay, self.start)
        try:
            return await first
        except RefusalError:
            if self.second_attempt is None:
                raise
            return await self.fallback()
        except asyncio.CancelledError:
            if not self.interrupted or not self.clear_interruption():
                raise
            assert self.second_attempt is not None
            return self.second_attempt.result()
        finally:
            timer.cancel()
            self.owner = None
            if self.second_attempt is not None:
                self.second_attempt.cancel()

    def start(self) -> None:
        """Start the second attempt; called by the timer."""
        attempt = self.start_second()
        if attempt is None:
            return
        self.second_attempt = asyncio.create_task(attempt)
        self.second_attempt.add_done_callback(self.finish)

    def finish(self, attempt: asyncio.Task[T]) -> None:
        """Cancel the first attempt once the second has succeeded."""
        if attempt.cancelled() or attempt.exception() is not None:
            return
        if self.owner is not None and not self.interrupted:
            self.interrupted = True
            self.owner.cancel()

    def clear_interruption(self) -> bool:
        """Undo the cancellation; return whether no other one is pending."""
        return self.owner is not None and self.owner.uncancel() == 0

    async def fallback(self) -> T:
        """Return the response of the second attempt after the first was refused.

        :raises RefusalError: the refusal of the second attempt.
        """
        if self.interrupted:
            self.clear_interruption()
        self.interrupted = True
        assert self.second_attempt is not None
        return await self.second_attempt
