"""An event loop whose time jumps to the next timer, and clocks that read it."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, Final, ParamSpec, TypeVar

from reedhook.clock import Clock

T = TypeVar("T")
P = ParamSpec("P")

EPOCH: Final = 1_700_000_000.0
IDLE_LIMIT: Final = 2.0

MAX_ITERATIONS: Final = 10_000_000
"""Iterations of a loop in virtual time after which it counts as hanging. A limit in
seconds would depend on the load of the machine."""


class VirtualTimeStuck(Exception):
    """Report that all tasks wait and no timer is set, or that the loop never ends."""


class VirtualSelector(selectors.SelectSelector):
    """Advance virtual time instead of waiting.

    :ivar now: virtual time in seconds.
    :ivar stall: seconds by which each iteration of the loop is late.
    :ivar iterations: iterations of the loop so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.stall = 0.0
        self.iterations = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self.now += self.stall
        self.iterations += 1
        if self.iterations > MAX_ITERATIONS:
            # The tasks still get turns to end.
            self.iterations = 0
            raise VirtualTimeStuck(f"the loop has not ended at {self.now:.3f} s")
        if timeout == 0.0:
            # Callbacks are ready; descriptors wait until the loop has run them.
            return []
        if timeout is not None:
            ready = super().select(0)
            if not ready:
                self.now += timeout
            return ready
        ready = super().select(IDLE_LIMIT)
        if not ready:
            raise VirtualTimeStuck("no timer is set and nothing is ready")
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in virtual time; only for tests without sockets."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` in virtual time, which starts at 0."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


def in_virtual_time(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Turn a coroutine into a test in virtual time."""

    @wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run_virtual(test(*args, **kwargs))

    return run_test


def stall_loop(seconds: float) -> None:
    """Make each iteration of the running virtual loop late; 0 ends the stall."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.selector.stall = seconds


class LoopClock(Clock):
    """Read the time of the running loop; each host has its own clock.

    :param skew: offset of the wall clock, in seconds.
    """

    def __init__(self, skew: float = 0.0) -> None:
        self.skew = skew
        self.running = asyncio.Event()
        self.running.set()

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return EPOCH + self.skew + self.monotonic()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.running.wait()

    def pause(self) -> None:
        """Block all sleepers, as in a paused process, until `resume`."""
        self.running.clear()

    def resume(self) -> None:
        """Wake the sleepers; the clock includes the time of the pause."""
        self.running.set()


async def settle(rounds: int = 20) -> None:
    """Run ready tasks without advancing time."""
    for _ in range(rounds):
        await asyncio.sleep(0)
