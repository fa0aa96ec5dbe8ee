"""Helpers that several tests share."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from functools import wraps
from inspect import Signature, signature
from typing import Any, Concatenate, ParamSpec, TypeVar

T = TypeVar("T")
P = ParamSpec("P")

Run = Callable[[Coroutine[Any, Any, None]], None]


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` on a new event loop."""
    return asyncio.run(main)


def on_loop(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Turn a coroutine into a test on a new event loop."""

    @wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test


def using(
    enter: Callable[[], AbstractAsyncContextManager[T]], start: Run = run
) -> Callable[[Callable[Concatenate[T, P], Awaitable[None]]], Callable[P, None]]:
    """Turn a coroutine into a test and pass it what `enter` yields first.

    :param start: runs the coroutine, on a loop of its choice.
    """

    def decorate(
        test: Callable[Concatenate[T, P], Awaitable[None]],
    ) -> Callable[P, None]:
        @wraps(test)
        def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
            async def main() -> None:
                async with enter() as given:
                    await test(given, *args, **kwargs)

            start(main())

        parameters = list(signature(test).parameters.values())[1:]
        # The remaining parameters are pytest fixtures and test parameters.
        run_test.__signature__ = Signature(parameters)  # type: ignore[attr-defined]
        return run_test

    return decorate
