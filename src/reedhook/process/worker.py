"""Where work runs that takes the processor for long."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ParamSpec, TypeVar

P = ParamSpec("P")
T = TypeVar("T")


class Worker(ABC):
    """Run a function that must not hold up the event loop."""

    @abstractmethod
    async def run(
        self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs
    ) -> T:
        """Return what `function` returns; its exceptions pass through."""


class ThreadWorker(Worker):
    """Run functions in a thread of the loop's pool."""

    async def run(
        self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs
    ) -> T:
        return await asyncio.to_thread(function, *args, **kwargs)
