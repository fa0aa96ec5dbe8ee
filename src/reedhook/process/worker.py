"""Run CPU-bound work outside the event loop."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ParamSpec, TypeVar

P = ParamSpec("P")
T = TypeVar("T")


class Worker(ABC):
    """Run functions that must not block the event loop."""

    @abstractmethod
    async def run(
        self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs
    ) -> T:
        """Return the result of `function`; its exceptions propagate."""


class ThreadWorker(Worker):
    """Run functions in the default thread pool of the event loop."""

    async def run(
        self, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs
    ) -> T:
        return await asyncio.to_thread(function, *args, **kwargs)
