"""Hedged reads: ask a second member when the first takes unusually long."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from .execution import Served
from .refusal import Refusal

QUANTILE: Final = 0.95
FIRST_GUESS: Final = 0.05
STEP: Final = 0.02
MIN_DELAY: Final = 0.002


class SlowBound:
    """Estimate the 95th percentile of durations, one step for each sample.

    :ivar seconds: the estimate.
    """

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = FIRST_GUESS

    def add(self, duration: float) -> None:
        """Take a duration in seconds into account."""
        if duration > self.seconds:
            self.seconds *= 1.0 + STEP * QUANTILE
        else:
            self.seconds *= 1.0 - STEP * (1.0 - QUANTILE)
        self.seconds = max(self.seconds, MIN_DELAY)


class Hedge:
    """Run a second attempt once `delay` seconds passed without an answer.

    The first attempt runs in the task of its caller, so that a read which
    needs no hedge costs one timer and no task. Whichever attempt answers
    first wins; the other is cancelled.

    :param second: starts the second attempt; returns None if there is no
        member or no budget left for it.
    """

    __slots__ = ("delay", "second", "owner", "attempt", "interrupted")

    def __init__(
        self,
        delay: float,
        second: Callable[[], Coroutine[Any, Any, Served] | None],
    ) -> None:
        self.delay = delay
        self.second = second
        self.owner: asyncio.Task[Any] | None = None
        self.attempt: asyncio.Task[Served] | None = None
        self.interrupted = False

    async def run(self, first: Awaitable[Served]) -> Served:
        """Return the first answer.

        :raises Refusal: that of the last attempt, if none answers.
        """
        self.owner = asyncio.current_task()
        timer = asyncio.get_running_loop().call_later(self.delay, self.start)
        try:
            return await first
        except Refusal:
            if self.attempt is None:
                raise
            return await self.fallback()
        except asyncio.CancelledError:
            if not self.interrupted or not self.resumed():
                raise
            assert self.attempt is not None
            return self.attempt.result()
        finally:
            timer.cancel()
            self.owner = None
            if self.attempt is not None:
                self.attempt.cancel()

    def start(self) -> None:
        """Start the second attempt; called by the timer."""
        attempt = self.second()
        if attempt is None:
            return
        self.attempt = asyncio.create_task(attempt)
        self.attempt.add_done_callback(self.finish)

    def finish(self, attempt: asyncio.Task[Served]) -> None:
        """Interrupt the first attempt once the second has answered."""
        if attempt.cancelled() or attempt.exception() is not None:
            return
        if self.owner is not None and not self.interrupted:
            self.interrupted = True
            self.owner.cancel()

    def resumed(self) -> bool:
        """Take back the interruption; return whether nobody else cancelled."""
        return self.owner is not None and self.owner.uncancel() == 0

    async def fallback(self) -> Served:
        """Wait for the second attempt after the first was refused."""
        if self.interrupted:
            self.resumed()
        self.interrupted = True
        assert self.attempt is not None
        return await self.attempt
